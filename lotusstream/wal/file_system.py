"""The system calls with which a log changes the disk. Tests replace them to make any one of them fail."""

from __future__ import annotations

import os


class FileSystemCalls:
    """The system calls of the operating system. Each raises OSError if it fails."""

    def write(self, descriptor: int, data: bytes) -> int:
        """Write the data or the first part of it, and return the number of bytes written."""
        return os.write(descriptor, data)

    def sync(self, descriptor: int) -> None:
        """Flush the file to the disk."""
        os.fsync(descriptor)

    def truncate(self, descriptor: int, length: int) -> None:
        """Truncate the file to `length` bytes."""
        os.ftruncate(descriptor, length)

    def replace(self, source: str, target: str) -> None:
        """Rename `source` to `target`, replacing an existing file."""
        os.replace(source, target)

    def sync_directory(self, path: str) -> None:
        """Flush the entries of a directory to the disk, so that renames in it survive a crash."""
        descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
