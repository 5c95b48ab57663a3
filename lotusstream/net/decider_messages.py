"""The messages that the decider takes, and its view for operators."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any

from lotusstream import interface as api
from lotusstream.net.attempt_messages import AttemptFinished
from lotusstream.net.client import ReceivedRequest, RequestAbandoned, RequestOverdue
from lotusstream.net.commitment_gate import AnswerReady
from lotusstream.protocol import discovery


@dataclass(frozen=True, slots=True)
class TimerDue:
    """The earliest timer of the decision module is due."""


@dataclass(frozen=True, slots=True)
class SubsystemEvent:
    """An event of a subsystem, which is passed on to the decision module as it is."""

    event: Any


@dataclass(frozen=True, slots=True)
class BatchDue:
    """A batch is due though nothing has happened: time alone may change the state of a subsystem."""


@dataclass(frozen=True, slots=True)
class OpenRequestView:
    """One open request, for operators. The names of the fields are keys of `ctl --json`, and stay."""

    command: int  # id of the request
    call: str  # the client's call id
    profile: str
    group: int  # table group
    age: int  # since its arrival, microseconds
    left: int  # until its deadline, microseconds
    sends: int  # number of its attempts
    engines: tuple[str, ...]  # ids of the endpoints with an attempt in flight


@dataclass(frozen=True, slots=True)
class OperatorView:
    """What is open and what the decision module knows, for operators."""

    now: int  # time of the batch, microseconds
    snapshot: api.GatewaySnapshot
    requests: tuple[OpenRequestView, ...]
    addresses: dict[api.EndpointId, str]  # host:port
    kinds: tuple[str, ...]  # names of the endpoint kinds, by their index


@dataclass(frozen=True, slots=True)
class ViewRequested:
    """Asks for a view, which the next batch gives."""

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
