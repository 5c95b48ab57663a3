"""The fleet rig: real processes of the program, with faults between them. docs/operators/fleet-rig.md."""
