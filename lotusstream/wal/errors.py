"""What can be wrong with a log. All errors have `LogError` as base."""

from __future__ import annotations

import errno

_DISK_HINTS = {
    errno.ENOSPC: "make room on the disk",
    errno.EDQUOT: "make room on the disk",
    errno.EROFS: "name a file on a disk that can be written",
    errno.EACCES: "let this user write there",
    errno.ENOENT: "make the folder first",
}


class LogError(Exception):
    """The log can't be used.

    `path` names the file, `problem` what is wrong, `hint` what to do about it.
    """

    def __init__(self, path: str, problem: str, hint: str) -> None:
        super().__init__(f"{path}: {problem}; {hint}")
        self.path = path
        self.problem = problem
        self.hint = hint


class NewerLogError(LogError):
    """A later version of this program has written the log."""


class CorruptLogError(LogError):
    """The file was changed in its middle, or is no log.

    `offset` is the first byte that can't be read on from.
    """

    def __init__(self, path: str, problem: str, hint: str, offset: int) -> None:
        super().__init__(path, problem, hint)
        self.offset = offset


class LogInUseError(LogError):
    """Another process has the log open."""


class DiskError(LogError):
    """The disk is full, read-only, or failed. What was appended before stays in the log."""

    @classmethod
    def from_os_error(cls, path: str, error: OSError) -> DiskError:
        """Describe a failed system call."""
        hint = _DISK_HINTS.get(error.errno or 0, "look at the disk")
        return cls(path, error.strerror or str(error), hint)
