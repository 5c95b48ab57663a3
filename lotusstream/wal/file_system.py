"""The system calls by which a log changes the disk, one by one, so that tests can make any of them fail."""

from __future__ import annotations

import os


class FileSystemCalls:
    """The system's own calls. All raise OSError."""

    def write(self, descriptor: int, data: bytes) -> int:
        """Write some of the data and return how many bytes."""
        return os.write(descriptor, data)

    def sync(self, descriptor: int) -> None:
        """Return once the file is on the disk."""
        os.fsync(descriptor)

    def truncate(self, descriptor: int, length: int) -> None:
        """Cut the file to this length in bytes."""
        os.ftruncate(descriptor, length)

    def replace(self, source: str, target: str) -> None:
        """Rename a file, in place of another one."""
        os.replace(source, target)

    def sync_directory(self, path: str) -> None:
        """Return once the names in a directory are on the disk."""
        descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
