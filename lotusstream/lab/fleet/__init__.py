"""The fleet rig: starts real processes of the program and injects faults between them.

See docs/operators/fleet.md.
"""
