"""An append-only log that survives crashes: a header, then frames of a length, a checksum and a payload.

Promised: what `append` has returned for is read again after any crash of this process, and after one of
the machine as far as fsync holds. A frame that was being written is read whole or not at all. `rewrite`
replaces all frames by others at once, or leaves them. Not promised: to mend a file whose middle was
changed; that is told as CorruptLog, and the file is left as it is.
"""

from __future__ import annotations

import contextlib
import errno
import os
import struct
import zlib
from collections.abc import Iterable
from pathlib import Path

MAGIC, VERSION = b"LSLOG\x00", 1
HEADER = struct.Struct("!6sHI")  # magic, version, checksum of both
FRAME = struct.Struct("!II")  # length, checksum of length and payload
MAX_PAYLOAD_BYTES = 1 << 20


class LogError(Exception):
    """The log can't be used. `hint`: what would do."""

    def __init__(self, path: str, what: str, hint: str) -> None:
        super().__init__(f"{path}: {what}; {hint}")
        self.path, self.problem, self.hint = path, what, hint


class NewerLogError(LogError):
    """Written by a later version of this program."""


class CorruptLogError(LogError):
    """Changed in its middle, or no log at all. `at`: the first byte that can't be read on from."""

    def __init__(self, path: str, what: str, hint: str, at: int) -> None:
        super().__init__(path, what, hint)
        self.offset = at


class LogInUseError(LogError):
    """Another process holds it."""


class DiskError(LogError):
    """The disk is full, read-only, or failed. What was appended before stands."""


class FileSystemCalls:
    """The system's calls, one by one, so that a test can end the process at any of them."""

    def write(self, descriptor: int, data: bytes) -> int:
        return os.write(descriptor, data)

    def sync(self, descriptor: int) -> None:
        os.fsync(descriptor)

    def truncate(self, descriptor: int, length: int) -> None:
        os.ftruncate(descriptor, length)

    def replace(self, source: str, target: str) -> None:
        os.replace(source, target)

    def sync_directory(self, path: str) -> None:
        descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


def encode_header(version: int = VERSION) -> bytes:
    head = MAGIC + version.to_bytes(2, "big")
    return HEADER.pack(MAGIC, version, zlib.crc32(head))


def encode_frame(payload: bytes) -> bytes:
    if not 0 < len(payload) <= MAX_PAYLOAD_BYTES:
        raise ValueError(f"a payload of {len(payload)} bytes; 1 to {MAX_PAYLOAD_BYTES} fit")
    length = len(payload).to_bytes(4, "big")
    return FRAME.pack(len(payload), zlib.crc32(payload, zlib.crc32(length))) + payload


def _frame_at(data: bytes, at: int) -> bytes | None:
    """The payload of the frame that begins here, if one does."""
    if at + FRAME.size > len(data):
        return None
    length, checksum = FRAME.unpack_from(data, at)
    payload = data[at + FRAME.size : at + FRAME.size + length]
    if not 0 < length <= MAX_PAYLOAD_BYTES or len(payload) < length:
        return None
    return payload if zlib.crc32(payload, zlib.crc32(data[at : at + 4])) == checksum else None


def _read_frames(data: bytes, path: str) -> tuple[list[bytes], int]:
    """All frames, and where the last whole one ends. What follows it is a torn tail if no frame is found
    in it, and proof of damage otherwise: a single process appends in order."""
    at, payloads = HEADER.size, list[bytes]()
    while (payload := _frame_at(data, at)) is not None:
        payloads.append(payload)
        at += FRAME.size + len(payload)
    for later in range(at + 1, len(data) - FRAME.size):
        if _frame_at(data, later) is not None:
            hint = "restore it from a copy, or move it away to begin anew without what it held"
            raise CorruptLogError(path, f"damaged at byte {at}, with whole frames after it", hint, at)
    return payloads, at


class LogInspection:
    """The file as it is now, to be read beside further writes: they only follow it, or make another file."""

    def __init__(self, descriptor: int, size: int) -> None:
        self._descriptor, self._size = descriptor, size

    def first_damaged_byte(self) -> int | None:
        """The first byte that can't be read on from, or None. Frame by frame: no memory for the whole."""
        with open(self._descriptor, "rb") as file:
            try:
                if file.read(HEADER.size) != encode_header():
                    return 0
                at = HEADER.size
                while at < self._size:
                    head = file.read(FRAME.size)
                    length = FRAME.unpack(head)[0] if len(head) == FRAME.size else 0
                    whole = head + file.read(min(length, MAX_PAYLOAD_BYTES))
                    if (payload := _frame_at(whole, 0)) is None:
                        return at
                    at += FRAME.size + len(payload)
            except OSError:
                return file.tell()
        return None


class WriteAheadLog:
    """One file, one writer. `payloads`: what was read when it was opened."""

    def __init__(self, path: str, disk: FileSystemCalls | None = None) -> None:
        self._path, self._disk = path, disk or FileSystemCalls()
        self._descriptor, self._lock = -1, -1
        self.size_bytes, self.payloads, self.discarded_bytes = 0, list[bytes](), 0
        self._failed = False

    def open(self) -> WriteAheadLog:
        """Makes the file if there is none. Raises LogTrouble, and leaves the file as it was then."""
        try:
            self._hold()
            if not os.path.exists(self._path):
                self._make([])
            self._read()
        except OSError as error:
            self.close()
            raise self._trouble(error) from error
        except LogError:
            self.close()
            raise
        return self

    def _hold(self) -> None:
        """A lock beside the file, since the file itself is replaced; the system lets go of it with the
        process."""
        import fcntl

        self._lock = os.open(f"{self._path}.lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            raise LogInUseError(self._path, "another process holds it", "end that one first") from error

    def _read(self) -> None:
        self._descriptor = os.open(self._path, os.O_RDWR | os.O_CLOEXEC)
        data = Path(self._path).read_bytes()
        self._check_header(data)
        self.payloads, whole = _read_frames(data, self._path)
        self.discarded_bytes = len(data) - whole
        if self.discarded_bytes:
            self._disk.truncate(self._descriptor, whole)
            self._disk.sync(self._descriptor)
        self.size_bytes = whole
        os.lseek(self._descriptor, whole, os.SEEK_SET)

    def _check_header(self, data: bytes) -> None:
        if len(data) < HEADER.size or data[: len(MAGIC)] != MAGIC:
            raise CorruptLogError(self._path, "no log of this program", "name another file", 0)
        _, version, checksum = HEADER.unpack_from(data)
        if checksum != zlib.crc32(data[: len(MAGIC) + 2]):
            hint = "restore it from a copy, or move it away to begin anew without what it held"
            raise CorruptLogError(self._path, "its header is damaged", hint, len(MAGIC))
        if version > VERSION:
            hint = "start the version that wrote it, or a later one"
            raise NewerLogError(self._path, f"format {version}, and {VERSION} is the newest known here", hint)

    def inspect(self) -> LogInspection:
        """For reading again what is on the disk so far. Not beside a write of this process. Raises
        DiskTrouble."""
        try:
            return LogInspection(os.open(self._path, os.O_RDONLY | os.O_CLOEXEC), self.size_bytes)
        except OSError as error:
            raise self._trouble(error) from error

    def append(self, *payloads: bytes) -> None:
        """Returns once they are on the disk, by one sync for all. Raises DiskTrouble: then none is in the
        log, now or later; after a crash in it a beginning of them may be."""
        if self._failed or self._descriptor < 0:
            raise DiskError(self._path, "not open for writing", "open it again")
        before = self.size_bytes
        try:
            data = b"".join(map(encode_frame, payloads))
            self._write(self._descriptor, data)
            self._disk.sync(self._descriptor)
        except OSError as error:
            self._undo(before)
            raise self._trouble(error) from error
        self.size_bytes = before + len(data)

    def _undo(self, whole: int) -> None:
        """What was written in part is taken back; where that fails too, nothing more is written behind it."""
        try:
            self._disk.truncate(self._descriptor, whole)
            os.lseek(self._descriptor, whole, os.SEEK_SET)
            self._disk.sync(self._descriptor)
        except OSError:
            self._failed = True

    def _write(self, descriptor: int, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[self._disk.write(descriptor, bytes(view)) :]

    def rewrite(self, payloads: Iterable[bytes]) -> None:
        """All frames at once, by a new file and a rename. Raises DiskTrouble: then the old ones stand."""
        try:
            self._make(list(payloads))
            descriptor = os.open(self._path, os.O_RDWR | os.O_CLOEXEC)
        except OSError as error:
            raise self._trouble(error) from error
        os.close(self._descriptor)
        self._descriptor, self._failed = descriptor, False
        self.size_bytes = os.lseek(descriptor, 0, os.SEEK_END)

    def _make(self, payloads: list[bytes]) -> None:
        made = f"{self._path}.new"
        descriptor = os.open(made, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            self._write(descriptor, encode_header() + b"".join(map(encode_frame, payloads)))
            self._disk.sync(descriptor)
        finally:
            os.close(descriptor)
        self._disk.replace(made, self._path)
        self._disk.sync_directory(os.path.dirname(os.path.abspath(self._path)))

    def _trouble(self, error: OSError) -> DiskError:
        hints = {
            errno.ENOSPC: "make room on the disk",
            errno.EDQUOT: "make room on the disk",
            errno.EROFS: "name a file on a disk that can be written",
            errno.EACCES: "let this user write there",
            errno.ENOENT: "make the folder first",
        }
        hint = hints.get(error.errno or 0, "look at the disk")
        return DiskError(self._path, error.strerror or str(error), hint)

    def close(self) -> None:
        for descriptor in (self._descriptor, self._lock):
            if descriptor >= 0:
                with contextlib.suppress(OSError):
                    os.close(descriptor)
        self._descriptor = self._lock = -1
