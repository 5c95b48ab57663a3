"""The errors of this package."""

from __future__ import annotations


class SimulationError(Exception):
    """The simulation adapter can't go on with its input."""


class MalformedInputError(SimulationError):
    """The input is not a batch of this wire."""


class GatewayError(SimulationError):
    """The decision module of an instance raised an exception, which is the cause of this one."""

    def __init__(self, instance_id: int) -> None:
        super().__init__(instance_id)
        self.instance_id = instance_id
