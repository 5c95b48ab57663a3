"""A gateway process, started by its command line on loopback: its signals, log lines and resource usage."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import signal
import sys
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path

READY_TIMEOUT_S = 30.0  # limit of each wait: for the process to listen, and for its counters
LAST_LINE = "counters end"  # the line that ends a list of counters
PROGRAM = ("lotusstream",)


class NotStartedError(Exception):
    """The gateway ended before it listened. The message holds its log lines."""


@dataclass(slots=True)
class Usage:
    """Resources that the gateway has used since it started."""

    cpu_seconds: float = 0.0  # user and system time
    peak_memory: float = 0.0  # largest resident set, MB
    descriptors: int = 0  # most file descriptors seen open at once
    connections: int = 0  # connections that it has opened to servers
    list_bytes: int = 0  # bytes of the responses that discovery sent to it
    counters: dict[str, float] = field(default_factory=dict)


class GatewayProcess:
    """A gateway process. `lines` holds its log lines, `port` its port once it listens.

    `program`: the module to run, and its arguments before `serve`.
    """

    def __init__(self, folder: Path, program: Sequence[str] = PROGRAM) -> None:
        self.path = folder / "config.json"
        self.lines: list[str] = []
        self.usage = Usage()
        self.port = 0
        self._program = program
        self._process: asyncio.subprocess.Process | None = None
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def running(self) -> bool:
        return self._process is not None and self._process.returncode is None

    @property
    def status(self) -> int | None:
        return self._process.returncode if self._process is not None else None

    def configure(self, configuration: Mapping[str, object]) -> None:
        self.path.write_text(json.dumps(configuration))

    async def start(self) -> None:
        """Starts the process and waits until it listens.

        Raises NotStartedError if it ends first, and TimeoutError after READY_TIMEOUT_S.
        """
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-O", "-m", *self._program, "serve", "--config", str(self.path)),
            stderr=asyncio.subprocess.PIPE,
            limit=1 << 20,
        )
        async with asyncio.timeout(READY_TIMEOUT_S):
            self.port = await self._read_port()
        self._tasks = [
            asyncio.create_task(self._read_lines()),
            asyncio.create_task(self._sample_descriptors()),
        ]

    async def _read_port(self) -> int:
        """Reads log lines up to the one that names the port, and returns the port."""
        assert self._process is not None and self._process.stderr is not None
        while line := (await self._process.stderr.readline()).decode().rstrip():
            self.lines.append(line)
            if found := re.search(r"listening on 127\.0\.0\.1:(\d+)", line):
                return int(found[1])
        raise NotStartedError("\n".join(self.lines))

    async def _read_lines(self) -> None:
        assert self._process is not None and self._process.stderr is not None
        async for line in self._process.stderr:
            self.lines.append(line.decode().rstrip())

    async def _sample_descriptors(self) -> None:
        """Counts the open file descriptors every 0.1 s and keeps the largest count."""
        assert self._process is not None
        while True:
            try:
                open_count = len(os.listdir(f"/proc/{self._process.pid}/fd"))
            except OSError:
                return
            self.usage.descriptors = max(self.usage.descriptors, open_count)
            await asyncio.sleep(0.1)

    def signal(self, number: int) -> None:
        if self.running and self._process is not None:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(number)

    async def wait_for_exit(self, timeout_s: float) -> bool:
        """Returns whether the process ends within that many seconds. Does not kill it."""
        assert self._process is not None
        try:
            await asyncio.wait_for(self._process.wait(), timeout_s)
        except TimeoutError:
            return False
        return True

    async def kill(self) -> None:
        if self._process is not None:
            self.signal(signal.SIGKILL)
            await self._process.wait()
        for task in self._tasks:
            task.cancel()

    async def ask_counters(self) -> None:
        """Stores in `usage` the counters that the process prints on SIGUSR1."""
        count_before = self.lines.count(LAST_LINE)
        self.signal(signal.SIGUSR1)
        async with asyncio.timeout(READY_TIMEOUT_S):
            while self.lines.count(LAST_LINE) == count_before:
                await asyncio.sleep(0.02)
        for line in self.lines:
            if found := re.fullmatch(r"(.+?) ([0-9.e+]+)( at most)?", line):
                self.usage.counters[found[1]] = float(found[2])

    def own_memory_mb(self) -> float:
        """Returns the memory of the process without files, MB; 0 if it has ended."""
        assert self._process is not None
        try:
            status = Path(f"/proc/{self._process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"RssAnon:\s+(\d+) kB", status)
        return int(found[1]) / 1024 if found else 0.0

    def measure(self) -> Usage:
        """Reads processor time and peak memory from /proc into `usage`, and returns it."""
        assert self._process is not None
        ticks = Path(f"/proc/{self._process.pid}/stat").read_text().rpartition(")")[2].split()
        self.usage.cpu_seconds = (int(ticks[11]) + int(ticks[12])) / os.sysconf("SC_CLK_TCK")
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        found = re.search(r"VmHWM:\s+(\d+) kB", status)
        self.usage.peak_memory = int(found[1]) / 1024 if found else 0.0
        return self.usage
