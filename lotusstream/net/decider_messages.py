"""The messages that the decider handles, and the state that it reports to operators."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any

from lotusstream import interface as api
from lotusstream.net.attempt_messages import AttemptFinished
from lotusstream.net.commitment_gate import AnswerReady
from lotusstream.net.received_request import ReceivedRequest, RequestAbandoned, RequestOverdue
from lotusstream.protocol import discovery


@dataclass(frozen=True, slots=True)
class TimerDue:
    """The earliest timer of the decision module is due."""


@dataclass(frozen=True, slots=True)
class SubsystemEvent:
    """An event of a subsystem, which the decider passes on to the decision module unchanged."""

    event: Any  # its type is known only to the subsystems or the decision module


@dataclass(frozen=True, slots=True)
class BatchDue:
    """Requests a batch without an event, since a subsystem's state may change as time passes."""


@dataclass(frozen=True, slots=True)
class OpenRequestView:
    """One open request, as operators see it. The field names are keys of `ctl --json` and must not change."""

    command: int  # id of the request
    call: str  # the client's call id
    profile: str  # name of the profile
    group: int  # table group
    age: int  # time since its arrival, microseconds
    left: int  # time until its deadline, microseconds
    sends: int  # number of attempts so far
    engines: tuple[str, ...]  # ids of the endpoints where an attempt is in flight


@dataclass(frozen=True, slots=True)
class OperatorView:
    """The open requests and the decision module's state, as operators see them."""

    now: int  # time of the batch, microseconds
    snapshot: api.GatewaySnapshot
    requests: tuple[OpenRequestView, ...]
    addresses: dict[api.EndpointId, str]  # host:port of each endpoint that has a usable address
    kinds: tuple[str, ...]  # names of the endpoint kinds, by kind index


@dataclass(frozen=True, slots=True)
class ViewRequested:
    """Requests an OperatorView, which the next batch provides."""

    answer: asyncio.Future[OperatorView]  # set once the view is made


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
