"""One gateway of the rig: the real program, with a disk and a clock that can be made to fail.

It runs an additional task whose acts the rig records. The rig starts it as
`python -m lotusstream.lab.fleet.process FOLDER serve ...`.

Files in FOLDER control the faults:

- `clock`: 16 bytes: the rate of the clock, and the number of microseconds by which it is ahead.
- `disk`: the state of the disk. `ok`; `full`: writes fail; `failing`: syncs fail; a number: each sync takes
  so many milliseconds longer; `crash-N`: the process is killed at the N-th call from then on, where a write
  counts as one call and a sync as two, before and after it; `crash-N-FILE`: only calls for files whose names
  end in FILE count.
- `between`: if it exists, the process removes it and suspends itself (SIGSTOP) once, after the check of its
  lease and before its act.
"""

from __future__ import annotations

import asyncio
import errno
import mmap
import os
import runpy
import signal
import socket
import struct
import sys
import time
from pathlib import Path

import msgspec

from lotusstream.net import clock, raft_node, tasks
from lotusstream.operator import fleet as directives
from lotusstream.wal.file_system import FileSystemCalls

CLOCK_FILE = struct.Struct("!dq")  # rate of the clock; microseconds by which it is ahead
RECORDED_TASK = "witness"
ACT_INTERVAL_S = 0.01  # pause between two acts of the recorded task
FULL, FAILING, OK = "full", "failing", "ok"  # states of a disk


class Act(msgspec.Struct, array_like=True):
    """One act under a lease. Times are nanoseconds of the machine's monotonic clock, which has no faults."""

    task: str  # name of the task
    token: int  # fencing token of the lease
    holder: str  # name of the gateway
    lease_checked_ns: int  # time when the gateway checked that its lease allows the act
    acted_ns: int  # time of the act


class LabDisk(FileSystemCalls):
    """File system calls that fail according to the state in a file, which is read again at each call."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._calls = 0  # number of calls that `crash-N` has counted

    def _crash(self, disk_state: str, descriptor: int) -> None:
        """Kills the process if this call is the one that a state `crash-N` names."""
        if disk_state.startswith("crash-"):
            number, _, file = disk_state.removeprefix("crash-").partition("-")
            if not os.readlink(f"/proc/self/fd/{descriptor}").endswith(file):
                return
            self._calls += 1
            if self._calls >= int(number):
                os.kill(os.getpid(), signal.SIGKILL)

    def _disk_state(self) -> str:
        """Returns the state in the file, or OK if there is no file."""
        try:
            return self._path.read_text().strip()
        except OSError:
            return OK

    def write(self, descriptor: int, data: bytes) -> int:
        """Writes, unless the disk is full or the process is killed first."""
        if (disk_state := self._disk_state()) == FULL:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        self._crash(disk_state, descriptor)
        return super().write(descriptor, data)

    def sync(self, descriptor: int) -> None:
        """Syncs, unless the disk fails; a slow disk delays it first."""
        disk_state = self._disk_state()
        if disk_state == FAILING:
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        if disk_state.isdigit():
            time.sleep(int(disk_state) / 1000)
        self._crash(disk_state, descriptor)
        super().sync(descriptor)
        self._crash(disk_state, descriptor)


class LabClock:
    """The boot clock in microseconds, with a rate and an offset that a file sets. It never goes back.

    A new rate applies from the first call that reads it.
    """

    def __init__(self, path: Path) -> None:
        with path.open("r+b") as file:
            self._file = mmap.mmap(file.fileno(), CLOCK_FILE.size)
        self._rate, self._base, self._real_at_base = 1.0, clock.boot_clock(), clock.boot_clock()
        self._read_boot_clock, self._newest = clock.boot_clock, 0

    def __call__(self) -> int:
        rate, ahead = CLOCK_FILE.unpack_from(self._file)
        real = self._read_boot_clock()
        if rate != self._rate:
            self._base += int((real - self._real_at_base) * self._rate)
            self._rate, self._real_at_base = rate, real
        self._newest = max(self._newest, self._base + int((real - self._real_at_base) * rate) + ahead)
        return self._newest


class RecordedTask:
    """A fleet task that acts at short intervals while its lease allows it, and reports each act over UDP."""

    def __init__(self, context: tasks.TaskContext, suspend_file: Path) -> None:
        self._context, self._suspend_file = context, suspend_file
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        host, _, port = os.environ["LOTUSSTREAM_WITNESS"].rpartition(":")
        self._sock.connect((host, int(port)))
        self._loop_task: asyncio.Task[None] | None = None

    def activate(self, token: int) -> None:
        """Starts to act. Each act gets its token from a new lease check, not from `token`."""
        self.stop("it starts again under a new token")
        self._loop_task = self._context.supervisor.start(RECORDED_TASK, self._act())

    def stop(self, why: str) -> None:
        """Stops acting at once."""
        if self._loop_task is not None:
            self._loop_task.cancel()
            self._loop_task = None

    async def _act(self) -> None:
        while True:
            lease_checked_ns = time.monotonic_ns()
            token = self._context.may_act()
            if token and self._suspend_file.exists():
                self._suspend_file.unlink()
                os.kill(os.getpid(), signal.SIGSTOP)
            if token:
                act = Act(RECORDED_TASK, token, self._context.name, lease_checked_ns, time.monotonic_ns())
                try:
                    self._sock.send(msgspec.msgpack.encode(act))
                except OSError:
                    self._context.supervisor.counters.add("acts untold")
            await asyncio.sleep(ACT_INTERVAL_S)


def main() -> None:
    """Replaces the program's clock and disk, adds the recorded task, and runs the program."""
    folder = Path(sys.argv[1])
    directives.TASK_DESCRIPTIONS[RECORDED_TASK] = "acts at short intervals, which the rig records"
    tasks.TASK_FACTORIES[RECORDED_TASK] = lambda context: RecordedTask(context, folder / "between")
    lab_clock = LabClock(folder / "clock")
    clock.boot_clock = lab_clock
    raft_node.make_disk = lambda: LabDisk(folder / "disk")
    sys.argv = ["lotusstream", *sys.argv[2:]]
    runpy.run_module("lotusstream", run_name="__main__")


if __name__ == "__main__":
    main()
