"""Hosts the decision module and restarts it if it raises."""

from __future__ import annotations

import traceback
from collections.abc import Callable, Sequence
from typing import Any, Protocol

from lotusstream import interface as api
from lotusstream.net.actor import Supervisor
from lotusstream.net.decision_timers import DecisionTimers
from lotusstream.policy import Gateway


class DecisionModule(Protocol):
    """Decides on events without I/O: the policy, or a subsystem that wraps it."""

    def handle(self, now: int, event: Any) -> list[api.Action]:
        """Returns the actions that result from an event. `now`: in microseconds."""
        ...


WrapModule = Callable[[DecisionModule], DecisionModule]


class DecisionModuleHost:
    """Keeps the gateway running if the decision module raises. The module's state is lost then: all open
    requests fail, except those whose answer the commitment gate is retaining, their attempts are cancelled,
    and a new module starts."""

    def __init__(
        self,
        wrap_module: WrapModule | None,
        timers: DecisionTimers,
        abandon_all: Callable[[], None],
        startup_events: Callable[[], Sequence[api.Event]],
        supervisor: Supervisor,
    ) -> None:
        """
        :param wrap_module: wraps each new module in the subsystems; None: there are none.
        :param timers: the module's timers, cleared when it is restarted.
        :param abandon_all: fails the open requests and cancels their attempts; called before a restart.
        :param startup_events: returns the events that a new module is notified of first.
        """
        self._wrap_module = wrap_module
        self._timers = timers
        self._abandon_all = abandon_all
        self._startup_events = startup_events
        self._supervisor = supervisor
        self._module = self._new_module()

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Returns the module's actions for an event. If it raises, restarts it and returns the actions that
        result from the startup events."""
        try:
            return list(self._module.handle(now, event))
        except Exception:
            self._supervisor.counters.add("module failed")
            self._supervisor.log.write("module failed", f"at {event}\n{traceback.format_exc()}")
        try:
            return self._restart(now)
        except Exception as error:
            self._supervisor.record_failure("restart of the decision module", error)
            return []

    def _new_module(self) -> DecisionModule:
        module = Gateway()
        return module if self._wrap_module is None else self._wrap_module(module)

    def _restart(self, now: int) -> list[api.Action]:
        self._abandon_all()
        self._module = self._new_module()
        self._timers.clear()
        actions: list[api.Action] = []
        for event in self._startup_events():
            actions += self._module.handle(now, event)
        return actions
