"""Cells: which endpoints the requests of a tenant may use, and migrations of tenants between cells.

The package decides and does no I/O: `admission` stands in front of the decision module, `controller`
dispatches what happens to `placement`, `migrations` and `quarantine`. Times are whole microseconds of the
caller's clock.
"""
