"""Actors: a mailbox, one message at a time, and what happens when one fails."""

from __future__ import annotations

import asyncio
import traceback
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any, Generic, TypeVar

from lotusstream.counters import Counters
from lotusstream.invariants import Invariants
from lotusstream.log import Log

Message = TypeVar("Message")
RESTART_BACKOFF_S = 0.1  # seconds, so that what fails at once does not take the core


class Mailbox(Generic[Message]):
    def __init__(self) -> None:
        self._messages: deque[Message] = deque()
        self._filled = asyncio.Event()

    def __len__(self) -> int:
        return len(self._messages)

    def put(self, message: Message) -> None:
        self._messages.append(message)
        self._filled.set()

    async def wait(self) -> None:
        await self._filled.wait()

    def wake(self) -> None:
        """Whoever waits is to look, though no message may have come."""
        self._filled.set()

    def clear_wake(self) -> None:
        self._filled.clear()

    def take(self) -> Message | None:
        if self._messages:
            return self._messages.popleft()
        self._filled.clear()
        return None


class Supervisor:
    """Holds the running tasks. One that fails is counted and logged, and leaves the rest running."""

    def __init__(self) -> None:
        self.counters, self.log = Counters(), Log()
        self.invariants = Invariants(self.counters, self.log)
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, name: str, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def start_restarting(self, name: str, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """As `start`, and begun anew whenever it fails."""

        async def again() -> None:
            while True:
                try:
                    return await work()
                except Exception as error:
                    self.failed(name, error)
                    await asyncio.sleep(RESTART_BACKOFF_S)

        self.start(name, again())

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self.failed(task.get_name(), error)

    def failed(self, name: str, error: BaseException) -> None:
        self.counters.add("failed tasks")
        self.log.write("failed", f"{name}\n{''.join(traceback.format_exception(error))}")

    async def stop(self) -> None:
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class Actor(Generic[Message]):
    """Whoever has news for it posts a message; `receive` handles one after the other."""

    def __init__(self, name: str, supervisor: Supervisor) -> None:
        self.name, self.supervisor = name, supervisor
        self.mailbox: Mailbox[Message] = Mailbox()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        self._task = self.supervisor.start(self.name, self.run())

    async def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def post(self, message: Message) -> None:
        self.mailbox.put(message)

    async def run(self) -> None:
        while True:
            await self.mailbox.wait()
            while (message := self.mailbox.take()) is not None:
                try:
                    await self.receive(message)
                except Exception as error:
                    self.supervisor.failed(f"{self.name}, {type(message).__name__}", error)

    async def receive(self, message: Message) -> None:
        raise NotImplementedError
