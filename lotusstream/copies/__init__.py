"""Replicates idempotency records to the disks of several machines. No I/O. See docs/design/copies.md."""
