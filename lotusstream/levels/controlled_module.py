"""A decision module with a level controller in front of it."""

from __future__ import annotations

from collections.abc import Callable

from lotusstream import interface as api
from lotusstream.levels.controller import LevelController
from lotusstream.levels.messages import LevelEvent

ModuleHandler = Callable[[int, api.Event], list[api.Action]]


class LevelControlledModule:
    """Passes all events and actions of the decision module to the level controller, and the controller's
    events to the module. After an exception in the controller, the module continues at full service and the
    controller is not called again. The exception is stored in `LevelController.error`."""

    def __init__(self, module: ModuleHandler, controller: LevelController) -> None:
        """
        :param module: the entry point of the decision module
        :param controller: decides which level is in force
        """
        self._module = module
        self.controller = controller
        self._has_failed = False

    def handle(self, now: int, event: api.Event | LevelEvent) -> list[api.Action]:
        """Handles an event for the decision module or the level controller. Returns the module's actions."""
        if isinstance(event, LevelEvent):
            return self._send_to_module(now, self._run_controller(now, event))
        actions = self._module(now, event)
        if isinstance(event, api.GatewayStarted):
            return actions + self._restore_level_in_force(now, event)
        level_events = self._run_controller(now, event)
        for action in actions:
            level_events = level_events + self._run_controller(now, action)
        return actions + self._send_to_module(now, level_events)

    def _restore_level_in_force(self, now: int, event: api.GatewayStarted) -> list[api.Action]:
        """Sends the level in force to a decision module that has restarted and lost it."""
        self._run_controller(now, event)
        reduced = self.controller.in_force()
        return self._module(now, reduced) if reduced is not None else []

    def _run_controller(self, now: int, event: api.Event | api.Action | LevelEvent) -> list[api.Event]:
        if self._has_failed:
            return []
        try:
            return self.controller.handle(now, event)
        except Exception as error:  # a fault of the controller must not stop the gateway
            self.controller.error = error
            self._has_failed = True
            return [self.controller.full_service()]

    def _send_to_module(self, now: int, events: list[api.Event]) -> list[api.Action]:
        """Sends events to the module. Snapshots go to the controller and are left out of the result."""
        module_actions: list[api.Action] = []
        for event in events:
            actions = list(self._module(now, event))
            for action in actions:
                self._run_controller(now, action)
            module_actions += [action for action in actions if not isinstance(action, api.GatewaySnapshot)]
        return module_actions
