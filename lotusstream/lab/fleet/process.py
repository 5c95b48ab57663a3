"""One gateway of the rig: the program as it is, with a disk and a clock that can be made to fail, and a task
whose acts a witness takes down. Started as `python -m lotusstream.lab.fleet.process FOLDER serve ...`.

The folder holds `clock`, 16 bytes (rate, microseconds ahead), and `disk`, one word: ok, full, failing, a
number of milliseconds for every sync, or crash-N: killed at the N-th call from then on; crash-N-FILE: at the
N-th call for a file of that name. Where there is a file
`between`, the process stops itself (SIGSTOP) once between its look at the lease and its act.
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

CLOCK = struct.Struct("!dq")
WITNESS = "witness"
EVERY = 0.01  # seconds between two acts
FULL, FAILING, OK = "full", "failing", "ok"


class Act(msgspec.Struct, array_like=True):
    """One act, all times in nanoseconds of the machine's one clock: the look at the lease, and the act."""

    task: str
    token: int
    holder: str
    looked: int
    acted: int


class LabDisk(FileSystemCalls):
    """Fails as the word in its file says; looked at for each call."""

    def __init__(self, told: Path) -> None:
        self._told = told
        self._calls = 0

    def _crash(self, word: str, descriptor: int) -> None:
        if word.startswith("crash-"):
            number, _, file = word.removeprefix("crash-").partition("-")
            if not os.readlink(f"/proc/self/fd/{descriptor}").endswith(file):
                return
            self._calls += 1
            if self._calls >= int(number):
                os.kill(os.getpid(), signal.SIGKILL)

    def _word(self) -> str:
        try:
            return self._told.read_text().strip()
        except OSError:
            return OK

    def write(self, descriptor: int, data: bytes) -> int:
        if (word := self._word()) == FULL:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        self._crash(word, descriptor)
        return super().write(descriptor, data)

    def sync(self, descriptor: int) -> None:
        word = self._word()
        if word == FAILING:
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        if word.isdigit():
            time.sleep(int(word) / 1000)
        self._crash(word, descriptor)
        super().sync(descriptor)
        self._crash(word, descriptor)


class LabClock:
    """The boot clock, bent: at a rate from when it was set, and so much ahead."""

    def __init__(self, told: Path) -> None:
        with told.open("r+b") as file:
            self._told = mmap.mmap(file.fileno(), CLOCK.size)
        self._rate, self._base, self._real = 1.0, clock.boot_clock(), clock.boot_clock()
        self._read, self._newest = clock.boot_clock, 0

    def __call__(self) -> int:
        rate, ahead = CLOCK.unpack_from(self._told)
        real = self._read()
        if rate != self._rate:
            self._base += int((real - self._real) * self._rate)
            self._rate, self._real = rate, real
        self._newest = max(self._newest, self._base + int((real - self._real) * rate) + ahead)
        return self._newest


class WitnessTask:
    """Acts again and again while it may, and tells a witness over UDP."""

    def __init__(self, around: tasks.TaskContext, between: Path) -> None:
        self._around, self._between = around, between
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        host, _, port = os.environ["LOTUSSTREAM_WITNESS"].rpartition(":")
        self._sock.connect((host, int(port)))
        self._acting: asyncio.Task[None] | None = None

    def activate(self, token: int) -> None:
        self.stop("begun anew")
        self._acting = self._around.supervisor.start(WITNESS, self._act())

    def stop(self, why: str) -> None:
        if self._acting is not None:
            self._acting.cancel()
            self._acting = None

    async def _act(self) -> None:
        while True:
            looked = time.monotonic_ns()
            token = self._around.may_act()
            if token and self._between.exists():
                self._between.unlink()
                os.kill(os.getpid(), signal.SIGSTOP)
            if token:
                act = Act(WITNESS, token, self._around.name, looked, time.monotonic_ns())
                try:
                    self._sock.send(msgspec.msgpack.encode(act))
                except OSError:
                    self._around.supervisor.counters.add("acts untold")
            await asyncio.sleep(EVERY)


def main() -> None:
    folder = Path(sys.argv[1])
    directives.TASK_DESCRIPTIONS[WITNESS] = "acts that the rig's witness takes down"
    tasks.TASK_FACTORIES[WITNESS] = lambda around: WitnessTask(around, folder / "between")
    bent = LabClock(folder / "clock")
    clock.boot_clock = bent
    raft_node.make_disk = lambda: LabDisk(folder / "disk")
    sys.argv = ["lotusstream", *sys.argv[2:]]
    runpy.run_module("lotusstream", run_name="__main__")


if __name__ == "__main__":
    main()
