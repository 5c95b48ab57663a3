"""Measures how long a process waits for a processor.

On a busy machine a process that could run must wait while the system runs others. The kernel counts that
time, the run queue wait, for each process.
"""

from __future__ import annotations

import contextlib
import time
from pathlib import Path

from lotusstream.lab.scale.process import GatewayProcess


class ProcessorWait:
    """Samples of the time for which one process has waited for a processor."""

    def __init__(self, pid: int) -> None:
        # Time of the sample in Unix seconds, and seconds of wait from the process's start until then.
        self.samples: list[tuple[float, float]] = []
        self._path = Path(f"/proc/{pid}/schedstat")

    def sample(self) -> float:
        """Takes a sample and returns the seconds of wait since the process started.

        Returns those of the last sample if the process has ended, and 0 if there is none.
        """
        with contextlib.suppress(OSError):
            wait_ns = int(self._path.read_bytes().split()[1])
            self.samples.append((time.time(), wait_ns / 1e9))
        return self.samples[-1][1] if self.samples else 0.0

    def before(self, until: float, since: float, not_waiting: float) -> float:
        """Returns the seconds of wait in an interval that ends at `until`, in Unix seconds.

        The interval starts at the earliest sample after which the process spent at most `not_waiting` seconds
        without waiting, but not before `since`. It ends at the first sample from `until` on, or at the last
        sample if there is none.
        """
        if not self.samples:
            return 0.0
        end, total = next((sample for sample in self.samples if sample[0] >= until), self.samples[-1])
        waited = 0.0
        for at, wait in reversed([sample for sample in self.samples if since <= sample[0] < end]):
            if end - at - (total - wait) > not_waiting:
                break
            waited = total - wait
        return waited


class SoakGatewayProcess(GatewayProcess):
    """A gateway process with samples of its wait for a processor. `wait` is set once it has started."""

    wait: ProcessorWait

    async def start(self) -> None:
        await super().start()
        assert self._process is not None
        self.wait = ProcessorWait(self._process.pid)
