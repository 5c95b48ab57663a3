"""Actors, which handle the messages of a mailbox one at a time, and the supervisor of all tasks."""

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
RESTART_BACKOFF_S = 0.1  # without this pause, a task that fails whenever it starts would use a whole core


class Mailbox(Generic[Message]):
    """An unbounded message queue with one reader."""

    def __init__(self) -> None:
        self._messages: deque[Message] = deque()
        self._is_filled = asyncio.Event()

    def __len__(self) -> int:
        return len(self._messages)

    def put(self, message: Message) -> None:
        """Adds a message and wakes the reader."""
        self._messages.append(message)
        self._is_filled.set()

    async def wait(self) -> None:
        """Waits until there is a message or `wake` is called."""
        await self._is_filled.wait()

    def wake(self) -> None:
        """Wakes the reader even if the queue is empty."""
        self._is_filled.set()

    def clear_wake(self) -> None:
        """Resets the wake-up, so that `wait` blocks until the next message."""
        self._is_filled.clear()

    def take(self) -> Message | None:
        """Removes and returns the first message; None if the queue is empty."""
        if self._messages:
            return self._messages.popleft()
        self._is_filled.clear()
        return None


class Supervisor:
    """Holds all running tasks. A task that fails is counted and logged; the other tasks keep running."""

    def __init__(self) -> None:
        self.counters = Counters()
        self.log = Log()
        self.invariants = Invariants(self.counters, self.log)
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, name: str, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Starts a task that is not restarted if it fails."""
        task = asyncio.get_running_loop().create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def start_restarting(self, name: str, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Starts a task that is restarted after RESTART_BACKOFF_S whenever it fails."""

        async def run_until_done() -> None:
            while True:
                try:
                    return await work()
                except Exception as error:
                    self.record_failure(name, error)
                    await asyncio.sleep(RESTART_BACKOFF_S)

        self.start(name, run_until_done())

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self.record_failure(task.get_name(), error)

    def record_failure(self, name: str, error: BaseException) -> None:
        """Counts and logs a failure. `name`: the task or operation that failed."""
        self.counters.add("failed tasks")
        self.log.write("failed", f"{name}\n{''.join(traceback.format_exception(error))}")

    async def stop(self) -> None:
        """Cancels all tasks and waits until they have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class Actor(Generic[Message]):
    """Queues the messages that any task passes to `post`, and handles them one at a time in `receive`."""

    def __init__(self, name: str, supervisor: Supervisor) -> None:
        self.name = name
        self.supervisor = supervisor
        self.mailbox: Mailbox[Message] = Mailbox()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts the task that handles messages."""
        self._task = self.supervisor.start(self.name, self.run())

    async def stop(self) -> None:
        """Cancels the task and waits until it has ended."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            # A cancelled task keeps its traceback, and this actor with it, in a reference cycle.
            self._task = None

    def post(self, message: Message) -> None:
        """Queues a message for `receive`."""
        self.mailbox.put(message)

    async def run(self) -> None:
        """Handles messages until cancelled. A message whose handling raises is logged and skipped."""
        while True:
            await self.mailbox.wait()
            while (message := self.mailbox.take()) is not None:
                try:
                    await self.receive(message)
                except Exception as error:
                    self.supervisor.record_failure(f"{self.name}, {type(message).__name__}", error)

    async def receive(self, message: Message) -> None:
        """Handles one message."""
        raise NotImplementedError
