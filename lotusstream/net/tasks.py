"""What a gateway does for the whole fleet while it holds the lease of a task.

A task stops at once when it is told to, and checks its fencing token before each act.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

from lotusstream.cells.messages import MigrationLeaseChanged
from lotusstream.net.actor import Supervisor
from lotusstream.net.decider_messages import SubsystemEvent
from lotusstream.operator.fleet import MIGRATION_TASK

PLAN_NOTE_KEY = "plan"
PLAN_RETRY_DELAY_S = 1.0  # until a plan that was not agreed on is proposed again: it may have changed

AgreeOnNote = Callable[[str, int, str], Awaitable[str]]  # key, token, task: '' once agreed on, or why not


class FleetTask(Protocol):
    """A task that one gateway at a time does for the fleet."""

    def activate(self, token: int) -> None:
        """Acts from now on, under this fencing token."""

    def stop(self, why: str) -> None:
        """Stops acting at once."""


@dataclass(frozen=True, slots=True)
class TaskContext:
    """What a task gets from the gateway that does it."""

    name: str  # the gateway's
    may_act: Callable[[], int]  # the token at this moment, or 0; asked before each act
    notify_decider: Callable[[SubsystemEvent], None]
    supervisor: Supervisor
    agree_on_note: AgreeOnNote


class MigrationTask:
    """Has this gateway migrate tenants between cells, once all agree on its cell plan.

    The cell controller refuses migrations under an older token than the newest that it has seen.
    """

    def __init__(self, context: TaskContext) -> None:
        self._context = context
        self._agreement: asyncio.Task[None] | None = None

    def activate(self, token: int) -> None:
        """Begins to agree on the plan, and then to migrate."""
        self._agreement = self._context.supervisor.start("plan", self._agree_on_plan(token))

    def stop(self, why: str) -> None:
        """Begins no migration any more."""
        if self._agreement is not None:
            self._agreement.cancel()
            self._agreement = None
        self._context.notify_decider(SubsystemEvent(MigrationLeaseChanged(0)))

    async def _agree_on_plan(self, token: int) -> None:
        context = self._context
        while True:
            reason = await context.agree_on_note(PLAN_NOTE_KEY, token, MIGRATION_TASK)
            if not reason or context.may_act() != token:
                break
            context.supervisor.log.write("plan", f"no moves are begun here: {reason}", reason=reason)
            await asyncio.sleep(PLAN_RETRY_DELAY_S)
        if context.may_act() == token:
            context.notify_decider(SubsystemEvent(MigrationLeaseChanged(token)))


TaskFactories = dict[str, Callable[[TaskContext], FleetTask]]
TASK_FACTORIES: TaskFactories = {MIGRATION_TASK: MigrationTask}
