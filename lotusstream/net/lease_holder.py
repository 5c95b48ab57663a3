"""Acquires the leases of this gateway's tasks, and runs each task while its lease is held."""

from __future__ import annotations

import asyncio
import uuid
from collections.abc import Callable

from lotusstream.leases import holder as lease_holder
from lotusstream.leases.table import LeaseOperation
from lotusstream.net import clock
from lotusstream.net.actor import Actor, Supervisor
from lotusstream.net.connection import US_PER_S
from lotusstream.net.decider import Decider
from lotusstream.net.tasks import AgreeOnNote, FleetTask, TaskContext, TaskFactories
from lotusstream.operator.fleet import FleetSettings

MIN_TIMER_DELAY_US = 1000  # shortest delay of the lease holder's timer

SendOperation = Callable[[str, int, LeaseOperation], None]  # recipient's name, request id, operation


class LeaseHolderActor(Actor[lease_holder.LeaseHolderEvent]):
    """Runs a LeaseHolder, and starts and stops the tasks of its leases.

    Times are microseconds of the boot clock, which keeps counting while the machine is suspended.
    """

    def __init__(
        self,
        name: str,
        settings: FleetSettings,
        seed: int,
        send_operation: SendOperation,
        agree_on_note: AgreeOnNote,
        task_factories: TaskFactories,
        decider: Decider,
        supervisor: Supervisor,
    ) -> None:
        super().__init__("leases", supervisor)
        members = [member.name for member in settings.quorum_members]
        session = f"{name}-{uuid.uuid4().hex[:12]}"
        self.holder = lease_holder.LeaseHolder(name, session, members, settings.lease_timing, seed)
        self._send_operation = send_operation
        self._timer: asyncio.TimerHandle | None = None
        self.held_since: dict[str, int] = {}  # by task: when its lease was acquired, in microseconds
        self.tokens: dict[str, int] = {}  # by task: fencing token; only tasks whose lease is held here
        self.tasks: dict[str, FleetTask] = {}  # by name; all tasks whose leases this gateway acquires
        for task in settings.tasks:
            context = TaskContext(name, self._make_may_act(task), decider.post, supervisor, agree_on_note)
            self.tasks[task] = task_factories[task](context)

    def start(self) -> None:
        """Starts to acquire the leases of all tasks of this gateway."""
        super().start()
        for name, task in self.tasks.items():
            task.stop("the lease is not acquired yet")
            self.post(lease_holder.LeaseWanted(name))

    async def receive(self, message: lease_holder.LeaseHolderEvent) -> None:
        """Passes one event to the lease holder, and carries out its actions."""
        now = clock.boot_clock()
        for action in self.holder.handle(now, message):
            self._carry_out(now, action)
        if self._timer is not None:
            self._timer.cancel()
        delay_us = max(MIN_TIMER_DELAY_US, self.holder.next_timer_at - clock.boot_clock())
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_us / US_PER_S, self.post, lease_holder.LeaseTimeAdvanced())

    def restart_tasks(self) -> None:
        """Restarts the running tasks, so that they use settings that have changed."""
        for task, token in self.tokens.items():
            self.tasks[task].stop("settings were reloaded")
            self.tasks[task].activate(token)

    async def stop(self) -> None:
        """Stops the actor and its timer."""
        await super().stop()
        if self._timer is not None:
            self._timer.cancel()

    def _make_may_act(self, task: str) -> Callable[[], int]:
        return lambda: self.holder.may_act(clock.boot_clock(), task)

    def _carry_out(self, now: int, action: lease_holder.LeaseHolderAction) -> None:
        match action:
            case lease_holder.SendLeaseOperation(number, recipient, operation):
                self._send_operation(recipient, number, operation)
            case lease_holder.StartTask(task, token):
                self.held_since[task] = now
                self.tokens[task] = token
                self.supervisor.counters.add("leases got")
                self._log(task, token, f"lease acquired under token {token}")
                self.tasks[task].activate(token)
            case lease_holder.StopTask(task, token, reason):
                self.held_since.pop(task, None)
                self.tokens.pop(task, None)
                self.supervisor.counters.add("leases ended")
                self._log(task, token, f"lease under token {token} is no longer held: {reason}")
                self.tasks[task].stop(reason)

    def _log(self, task: str, token: int, text: str) -> None:
        self.supervisor.log.write("lease", f"{task}: {text}", "info", task=task, token=token)
