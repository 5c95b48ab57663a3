"""Fault-injection test beds: fleets of gateways on a virtual clock, and as real processes."""
