"""Measures the process's usage of its allowed CPU time, memory and file descriptors."""

from __future__ import annotations

import contextlib
import os
import time
from dataclasses import dataclass
from pathlib import Path

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """The process's usage of each resource divided by its limit, 0 to 1. None: there is no limit, or the
    operating system does not report the usage."""

    core: float | None  # used CPU time divided by the CPU time of the allowed cores
    memory: float | None  # resident memory divided by allowed memory
    descriptors: float | None  # open file descriptors divided by the allowed number


class ProcessUsageReader:
    """Reads the usage of this process."""

    def __init__(self, cores: float, memory: int, descriptors: int) -> None:
        """
        :param cores: number of allowed cores
        :param memory: allowed memory, bytes
        :param descriptors: number of allowed file descriptors
        """
        self._cores, self._memory, self._descriptors = cores, memory, descriptors
        self._last = (time.monotonic(), time.process_time())  # time and CPU time of the last reading, seconds

    def read(self) -> ProcessUsage:
        """Returns the present usage; that of CPU time is the mean since the last reading."""
        wall, used = time.monotonic(), time.process_time()
        span, spent = wall - self._last[0], used - self._last[1]
        self._last = (wall, used)
        memory = descriptors = None
        with contextlib.suppress(OSError, ValueError, IndexError):
            pages = int(Path("/proc/self/statm").read_text().split()[1])
            memory = min(1.0, pages * PAGE_BYTES / self._memory) if self._memory else None
        with contextlib.suppress(OSError):
            count = len(os.listdir("/proc/self/fd")) - 1  # without the descriptor that lists the directory
            descriptors = min(1.0, count / self._descriptors) if self._descriptors else None
        core = min(1.0, spent / span / self._cores) if span > 0 and self._cores else None
        return ProcessUsage(core, memory, descriptors)
