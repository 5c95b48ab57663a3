"""Leases with fencing tokens: they decide which gateway runs each fleet task. See docs/design/leases.md."""
