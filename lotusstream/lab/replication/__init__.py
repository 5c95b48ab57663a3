"""Replicated idempotency records on a virtual clock: gateways, clients, endpoints and faults under seeds."""
