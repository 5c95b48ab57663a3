"""What a gateway holds for others, on the disks of several machines; without I/O. docs/design/copies.md."""
