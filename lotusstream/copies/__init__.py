"""Idempotency records replicated to the disks of several machines; without I/O. See docs/design/copies.md."""
