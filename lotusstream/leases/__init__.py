"""Who may act for the fleet, with a token that only grows; without I/O. docs/design/leases.md."""
