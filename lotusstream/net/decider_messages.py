"""The messages that the decider takes, and its view for operators."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any

from lotusstream import interface as api
from lotusstream.net.client import ReceivedRequest, RequestAbandoned, RequestOverdue
from lotusstream.net.commitment_gate import AnswerReady
from lotusstream.net.endpoint import AttemptFinished
from lotusstream.protocol import discovery


class TimerDue:
    """A timer of the module has come due."""


@dataclass(frozen=True, slots=True)
class SubsystemEvent:
    """An event of whatever stands beside the module, such as the keeper of levels."""

    event: Any


class BatchDue:
    """A round is due though nothing has come: time alone may change something beside the module."""


@dataclass(frozen=True, slots=True)
class OpenRequestView:
    """For operators. Times in microseconds; `engines`: where its sends that are out went."""

    command: int
    call: str
    profile: str
    group: int
    age: int
    left: int
    sends: int
    engines: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class OperatorView:
    """For operators: what is open, and what the module believes."""

    now: int
    snapshot: api.GatewaySnapshot
    requests: tuple[OpenRequestView, ...]
    addresses: dict[api.EndpointId, str]
    kinds: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ViewRequested:
    """Asks for a View, at the next round."""

    answer: asyncio.Future[OperatorView]


DeciderMessage = (
    ReceivedRequest
    | RequestAbandoned
    | RequestOverdue
    | AttemptFinished
    | api.AttemptProgressed
    | discovery.EndpointListUpdate
    | api.ShutdownStarted
    | TimerDue
    | SubsystemEvent
    | BatchDue
    | ViewRequested
    | AnswerReady
)
