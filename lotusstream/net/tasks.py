"""What a gateway does for the whole fleet while it holds the lease of it. Each task stops at once when told
to, and looks at its token before each act."""

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
PLAN_RETRY_DELAY_S = 1.0  # seconds until a plan that was not agreed on is brought again: it may be read anew


AgreeOnNote = Callable[[str, int, str], Awaitable[str]]  # key, token, task: '' once agreed on, or why not


class FleetTask(Protocol):
    """`begin` under a token, until `stop`."""

    def activate(self, token: int) -> None: ...

    def stop(self, why: str) -> None: ...


@dataclass(frozen=True, slots=True)
class TaskContext:
    """What a task gets. `may_act`: the token at this moment, or 0: to be asked before each act."""

    name: str
    may_act: Callable[[], int]
    notify_decider: Callable[[SubsystemEvent], None]
    supervisor: Supervisor
    agree_on_note: AgreeOnNote


class MigrationTask:
    """Begins moves of tenants: by hand here, or of the poisonous, once all agree on this gateway's plan. The
    keeper of cells turns away what comes under an older token."""

    def __init__(self, around: TaskContext) -> None:
        self._context = around
        self._agreement: asyncio.Task[None] | None = None

    def activate(self, token: int) -> None:
        self._agreement = self._context.supervisor.start("plan", self._agree_on_plan(token))

    async def _agree_on_plan(self, token: int) -> None:
        while (
            why := await self._context.agree_on_note(PLAN_NOTE_KEY, token, MIGRATION_TASK)
        ) and self._context.may_act() == token:
            self._context.supervisor.log.write("plan", f"no moves are begun here: {why}", reason=why)
            await asyncio.sleep(PLAN_RETRY_DELAY_S)
        if self._context.may_act() == token:
            self._context.notify_decider(SubsystemEvent(MigrationLeaseChanged(token)))

    def stop(self, why: str) -> None:
        if self._agreement is not None:
            self._agreement.cancel()
            self._agreement = None
        self._context.notify_decider(SubsystemEvent(MigrationLeaseChanged(0)))


TaskFactories = dict[str, Callable[[TaskContext], FleetTask]]
TASK_FACTORIES: TaskFactories = {MIGRATION_TASK: MigrationTask}
