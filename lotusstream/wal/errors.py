"""The errors of a write-ahead log. `LogError` is the base class of all of them."""

from __future__ import annotations

import errno

# By error number of a failed system call: what the operator can do about it.
_DISK_HINTS = {
    errno.ENOSPC: "make room on the disk",
    errno.EDQUOT: "make room on the disk",
    errno.EROFS: "choose a file on a writable disk",
    errno.EACCES: "give this user write permission",
    errno.ENOENT: "make the folder first",
}


class LogError(Exception):
    """The log can't be used.

    `path` is the file, `problem` says what is wrong with it, `hint` what the operator can do about it.
    """

    def __init__(self, path: str, problem: str, hint: str) -> None:
        super().__init__(f"{path}: {problem}; {hint}")
        self.path = path
        self.problem = problem
        self.hint = hint


class NewerLogError(LogError):
    """The log was written by a later version of this program, in a format that this version can't read."""


class CorruptLogError(LogError):
    """The file is damaged before its end, or is not a log.

    `offset` is the position in bytes of the first header or frame that can't be read.
    """

    def __init__(self, path: str, problem: str, hint: str, offset: int) -> None:
        super().__init__(path, problem, hint)
        self.offset = offset


class LogInUseError(LogError):
    """Another process has the log open."""


class DiskError(LogError):
    """The disk is full, read-only, or failed. Payloads appended before the error stay in the log."""

    @classmethod
    def from_os_error(cls, path: str, error: OSError) -> DiskError:
        """Return the error for a failed system call, with a hint that fits its error number."""
        hint = _DISK_HINTS.get(error.errno or 0, "check the disk")
        return cls(path, error.strerror or str(error), hint)
