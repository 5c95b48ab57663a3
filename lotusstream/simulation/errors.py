"""Exceptions of the simulation adapter."""

from __future__ import annotations


class SimulationError(Exception):
    """The simulation adapter cannot process its input."""


class MalformedInputError(SimulationError):
    """The input violates the simulator's wire protocol."""


class GatewayError(SimulationError):
    """The decision module of an instance raised an exception, which is the `__cause__` of this one."""

    def __init__(self, instance_id: int) -> None:
        super().__init__(instance_id)
        self.instance_id = instance_id
