"""Simulation of replicated idempotency records: gateways, clients, endpoints and faults drawn from a seed."""
