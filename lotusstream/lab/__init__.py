"""The laboratory: whole fleets under faults, on a virtual clock and as real processes."""
