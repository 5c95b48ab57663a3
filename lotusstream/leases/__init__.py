"""Leases: which gateway may act for the fleet, under a fencing token; without I/O. docs/design/leases.md."""
