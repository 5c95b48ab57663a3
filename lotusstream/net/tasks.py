"""Fleet tasks: work that one gateway does for the whole fleet while it holds the task's lease.

`stop` ends a task at once, and a task checks its fencing token before each action.
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
PLAN_RETRY_DELAY_S = 1.0  # before a rejected cell plan is proposed again; the plan may have changed

# Proposes this gateway's note, a versioned value that the quorum stores under a key. Takes the key, a fencing
# token and the name of the task. Returns '' if the quorum has stored the note, else the reason why not.
AgreeOnNote = Callable[[str, int, str], Awaitable[str]]


class FleetTask(Protocol):
    """A task that at most one gateway at a time does for the fleet."""

    def activate(self, token: int) -> None:
        """Starts the task under this fencing token."""

    def stop(self, why: str) -> None:
        """Stops the task at once. `why`: the reason, for the log."""


@dataclass(frozen=True, slots=True)
class TaskContext:
    """The gateway's functions and data that a task uses."""

    name: str  # the gateway's name
    # Returns the current fencing token; 0: the lease is not held. Must be called before each action.
    may_act: Callable[[], int]
    notify_decider: Callable[[SubsystemEvent], None]
    supervisor: Supervisor
    agree_on_note: AgreeOnNote  # has the quorum store a note, such as the cell plan


class MigrationTask:
    """Lets this gateway migrate tenants between cells once the quorum has stored this gateway's cell plan.

    The cell controller rejects migrations whose fencing token is older than the newest it has seen.
    """

    def __init__(self, context: TaskContext) -> None:
        self._context = context
        self._agreement: asyncio.Task[None] | None = None

    def activate(self, token: int) -> None:
        """Proposes the cell plan to the quorum until it is stored; only then migrations may start."""
        self._agreement = self._context.supervisor.start("plan", self._agree_on_plan(token))

    def stop(self, why: str) -> None:
        """Stops proposing the cell plan and prevents further migrations."""
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
            context.supervisor.log.write("plan", f"migrations are not started: {reason}", reason=reason)
            await asyncio.sleep(PLAN_RETRY_DELAY_S)
        if context.may_act() == token:
            context.notify_decider(SubsystemEvent(MigrationLeaseChanged(token)))


TaskFactories = dict[str, Callable[[TaskContext], FleetTask]]
TASK_FACTORIES: TaskFactories = {MIGRATION_TASK: MigrationTask}
