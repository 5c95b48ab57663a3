"""Cells: which engines a tenant's commands may use. No I/O, no clock."""
