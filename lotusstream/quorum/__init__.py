"""A replicated log among a few keepers, without I/O: events in, actions out. docs/design/leases.md."""
