"""An append-only log that survives crashes.

Guarantees: once `append` has returned, its payloads are read again after any crash of this process, and after
a crash of the machine if fsync is reliable there. A frame that was being written during a crash is read
completely or not at all. `rewrite` replaces all frames atomically, or leaves them unchanged. The log does not
repair a file that is damaged before its end: opening it raises CorruptLogError and leaves the file unchanged.
"""

from __future__ import annotations

import contextlib
import os
from collections.abc import Iterable
from pathlib import Path

from lotusstream.wal.errors import DiskError, LogError, LogInUseError
from lotusstream.wal.file_system import FileSystemCalls
from lotusstream.wal.frames import (
    FRAME,
    HEADER,
    MAX_PAYLOAD_BYTES,
    check_header,
    decode_frame,
    decode_log,
    encode_frame,
    encode_header,
)

CLOSED_DESCRIPTOR = -1  # file descriptor of a file that is not open
FILE_MODE = 0o600


class LogInspection:
    """Checks the frames that a log's file held when the check was created, while the log is in use.

    Later writes don't change the checked bytes: they append after them, or replace the file by another.
    """

    def __init__(self, descriptor: int, size_bytes: int) -> None:
        self._descriptor = descriptor
        self._size_bytes = size_bytes

    def first_damaged_byte(self) -> int | None:
        """Read the file once, frame by frame, and close it.

        :returns: the position of the first damaged frame or read error in bytes, or None if all is intact.
        """
        with open(self._descriptor, "rb") as file:
            try:
                if file.read(HEADER.size) != encode_header():
                    return 0
                offset = HEADER.size
                while offset < self._size_bytes:
                    header_bytes = file.read(FRAME.size)
                    length = FRAME.unpack(header_bytes)[0] if len(header_bytes) == FRAME.size else 0
                    frame = header_bytes + file.read(min(length, MAX_PAYLOAD_BYTES))
                    payload = decode_frame(frame, 0)
                    if payload is None:
                        return offset
                    offset += FRAME.size + len(payload)
            except OSError:
                return file.tell()
        return None


class WriteAheadLog:
    """A log in one file with one writer.

    `payloads` are those read when the log was opened, `discarded_bytes` is the length of the torn write
    truncated at that time, `size_bytes` is the current length of the file.
    """

    def __init__(self, path: str, file_system: FileSystemCalls | None = None) -> None:
        self._path = path
        self._file_system = file_system or FileSystemCalls()
        self._descriptor = CLOSED_DESCRIPTOR
        self._lock = CLOSED_DESCRIPTOR  # descriptor of the separate lock file
        self._failed = False  # True: the file may end with a partial frame, so nothing more may be appended
        self.size_bytes = 0
        self.payloads: list[bytes] = []
        self.discarded_bytes = 0

    def open(self) -> WriteAheadLog:
        """Open the file, and create it if it does not exist.

        :raises LogError: the file can't be used. Its contents are unchanged.
        """
        try:
            self._acquire_lock()
            if not os.path.exists(self._path):
                self._write_new_file([])
            self._read()
        except OSError as error:
            self.close()
            raise DiskError.from_os_error(self._path, error) from error
        except LogError:
            self.close()
            raise
        return self

    def _acquire_lock(self) -> None:
        """Lock a separate file, since `rewrite` replaces the log file. The lock ends with the process."""
        import fcntl

        self._lock = os.open(f"{self._path}.lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, FILE_MODE)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            raise LogInUseError(self._path, "another process has it open", "stop that process") from error

    def _read(self) -> None:
        """Read all frames, and truncate a torn write at the end."""
        self._descriptor = os.open(self._path, os.O_RDWR | os.O_CLOEXEC)
        data = Path(self._path).read_bytes()
        check_header(data, self._path)
        decoded = decode_log(data, self._path)
        self.payloads = decoded.payloads
        self.discarded_bytes = len(data) - decoded.end
        if self.discarded_bytes:
            self._file_system.truncate(self._descriptor, decoded.end)
            self._file_system.sync(self._descriptor)
        self.size_bytes = decoded.end
        os.lseek(self._descriptor, decoded.end, os.SEEK_SET)

    def inspect(self) -> LogInspection:
        """Open the file a second time, to check its present contents. Must not be called during a write.

        :raises DiskError: the file can't be opened.
        """
        try:
            return LogInspection(os.open(self._path, os.O_RDONLY | os.O_CLOEXEC), self.size_bytes)
        except OSError as error:
            raise DiskError.from_os_error(self._path, error) from error

    def append(self, *payloads: bytes) -> None:
        """Append payloads with a single sync, and return once they are on the disk.

        If the process crashes during this call, the log may contain the first few of the payloads.

        :raises DiskError: none of the payloads was appended.
        """
        if self._failed or self._descriptor < 0:
            raise DiskError(self._path, "the log is closed or an earlier write failed", "open it again")
        previous_size_bytes = self.size_bytes
        try:
            data = b"".join(map(encode_frame, payloads))
            self._write(self._descriptor, data)
            self._file_system.sync(self._descriptor)
        except OSError as error:
            self._truncate_partial_write(previous_size_bytes)
            raise DiskError.from_os_error(self._path, error) from error
        self.size_bytes = previous_size_bytes + len(data)

    def _truncate_partial_write(self, size_bytes: int) -> None:
        """Truncate the file to `size_bytes` after a failed write. If that fails too, reject later appends."""
        try:
            self._file_system.truncate(self._descriptor, size_bytes)
            os.lseek(self._descriptor, size_bytes, os.SEEK_SET)
            self._file_system.sync(self._descriptor)
        except OSError:
            self._failed = True

    def _write(self, descriptor: int, data: bytes) -> None:
        remaining = memoryview(data)
        while remaining:
            written = self._file_system.write(descriptor, bytes(remaining))
            remaining = remaining[written:]

    def rewrite(self, payloads: Iterable[bytes]) -> None:
        """Replace all frames atomically, by writing a new file and renaming it.

        :raises DiskError: the log still holds the old frames.
        """
        try:
            self._write_new_file(list(payloads))
            descriptor = os.open(self._path, os.O_RDWR | os.O_CLOEXEC)
        except OSError as error:
            raise DiskError.from_os_error(self._path, error) from error
        os.close(self._descriptor)
        self._descriptor = descriptor
        self._failed = False
        self.size_bytes = os.lseek(descriptor, 0, os.SEEK_END)

    def _write_new_file(self, payloads: list[bytes]) -> None:
        """Write a new file, sync it, rename it to the log's path, and sync the directory, in this order."""
        new_path = f"{self._path}.new"
        flags = os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
        descriptor = os.open(new_path, flags, FILE_MODE)
        try:
            self._write(descriptor, encode_header() + b"".join(map(encode_frame, payloads)))
            self._file_system.sync(descriptor)
        finally:
            os.close(descriptor)
        self._file_system.replace(new_path, self._path)
        self._file_system.sync_directory(os.path.dirname(os.path.abspath(self._path)))

    def close(self) -> None:
        """Close the file and release the lock. Does nothing on a closed log."""
        for descriptor in (self._descriptor, self._lock):
            if descriptor >= 0:
                with contextlib.suppress(OSError):
                    os.close(descriptor)
        self._descriptor = CLOSED_DESCRIPTOR
        self._lock = CLOSED_DESCRIPTOR
