"""Cells: decides which endpoints a tenant's requests may use, and migrates tenants between cells.

The package does no I/O. `controlled_module` puts the cell controller in front of the decision module.
`controller` dispatches events to `placement`, `migrations` and `quarantine`. Times are whole microseconds of
the caller's clock.
"""
