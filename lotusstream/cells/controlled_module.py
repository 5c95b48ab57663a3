"""A decision module with a cell controller in front of it."""

from __future__ import annotations

from collections.abc import Callable

from lotusstream import interface as api
from lotusstream.cells.controller import CellController
from lotusstream.cells.messages import CellAction, CellEvent, MigrationRejected, PersistMigration
from lotusstream.cells.migration import Migration

ModuleHandler = Callable[[int, api.Event], list[api.Action]]


class CellControlledModule:
    """Passes events to the decision module through the cell controller, which adds the number of the cell to
    requests and sends further events to the module."""

    def __init__(
        self,
        module: ModuleHandler,
        controller: CellController,
        persist: Callable[[Migration], None],
        on_rejected: Callable[[str], None],
    ) -> None:
        """
        :param module: the entry point of the decision module
        :param controller: assigns requests to cells and migrates tenants
        :param persist: writes a migration record to disk; its result is passed to `handle` as an event
        :param on_rejected: called with the reason when an order or a tenant's requests are rejected
        """
        self._module = module
        self.controller = controller
        self._persist = persist
        self._on_rejected = on_rejected

    def handle(self, now: int, event: api.Event | CellEvent) -> list[api.Action]:
        """Handles an event for the decision module or the cell controller. Returns the module's actions."""
        if isinstance(event, api.RequestReceived):
            return self._carry_out(now, self.controller.on_request_received(now, event))
        if isinstance(event, api.GatewayStarted):
            module_actions = self._module(now, event)
            return [*module_actions, *self._carry_out(now, self.controller.on_module_restarted())]
        if isinstance(event, CellEvent):
            return self._carry_out(now, self.controller.handle(now, event))
        # The controller handles an outcome before the module, because the module may start the next attempt.
        cell_actions = self.controller.handle(now, event)
        actions = list(self._module(now, event))
        for action in actions:
            cell_actions += self.controller.handle(now, action)
        return actions + self._carry_out(now, cell_actions)

    def _carry_out(self, now: int, cell_actions: list[CellAction]) -> list[api.Action]:
        """Carries out the controller's actions and sends its events to the module. Each resulting action of
        the module goes back to the controller, and its consequences are carried out before the next one."""
        module_actions: list[api.Action] = []
        for cell_action in cell_actions:
            if isinstance(cell_action, PersistMigration):
                self._persist(cell_action.migration)
            elif isinstance(cell_action, MigrationRejected):
                self._on_rejected(cell_action.reason)
            else:
                actions = list(self._module(now, cell_action))
                module_actions += actions
                for action in actions:
                    module_actions += self._carry_out(now, self.controller.handle(now, action))
        return module_actions
