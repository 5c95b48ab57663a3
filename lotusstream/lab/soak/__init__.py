"""Runs of real gateway processes under seeded faults, checked from outside against the gateway's rules."""
