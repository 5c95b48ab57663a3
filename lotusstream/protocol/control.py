"""Encodes and decodes the messages of the control socket.

A message is JSON with a length prefix of four bytes, big-endian. The names of the classes are not part of the
protocol: a request is identified by its tag, and the field names are the keys of the JSON.
"""

from __future__ import annotations

import struct
from typing import Any

import msgspec

from lotusstream.protocol.errors import ProtocolError

LENGTH_PREFIX = struct.Struct("!I")
MAX_REPLY_BYTES = 16 << 20


class ControlRequestError(ProtocolError):
    """A message is invalid. If `fatal`, the start of the next message is unknown and the connection has to be
    closed."""

    def __init__(self, message: str, *, fatal: bool) -> None:
        super().__init__(message)
        self.fatal = fatal


class ControlRequest(msgspec.Struct, tag_field="ask", forbid_unknown_fields=True):
    """Base of all requests of control clients."""


class Status(ControlRequest, tag="status"):
    """Asks for a summary of the gateway's state."""


class Levels(ControlRequest, tag="levels"):
    """Asks for the degradation levels and the latest level changes."""

    history: int = 10  # most level changes in the reply; older ones are left out


class Endpoints(ControlRequest, tag="engines"):
    """Asks for the endpoints of the endpoint list, as the decision module sees them."""


class OpenRequests(ControlRequest, tag="commands"):
    """Asks for the open requests, the oldest first."""

    most: int = 100  # most requests in the reply


class Counters(ControlRequest, tag="counters"):
    """Asks for all counters."""


class HoldLevel(ControlRequest, tag="hold"):
    """Holds a degradation level by hand."""

    level: str  # name of the level
    microseconds: int  # duration of the hold


class ReleaseLevel(ControlRequest, tag="release"):
    """Ends the hold of a degradation level."""


class Cells(ControlRequest, tag="cells"):
    """Asks for the cells, and for the cell of one tenant."""

    tenant: str | None = None  # name of the tenant; None: only the cells are asked for


class MigrateTenant(ControlRequest, tag="move"):
    """Migrates a tenant to a cell."""

    tenant: str
    cell: str  # name of the target cell
    dry_run: bool = False  # True: only checks whether the migration is possible


class AbortMigration(ControlRequest, tag="abort"):
    """Rolls back the migration of a tenant."""

    tenant: str


class Peers(ControlRequest, tag="peers"):
    """Asks for the state of the connections to other gateways."""


class Quorum(ControlRequest, tag="quorum"):
    """Asks for the state of the quorum, as this gateway and the leader see it."""


class ChangeQuorumMember(ControlRequest, tag="keeper"):
    """Adds a Raft node to the quorum, or removes it."""

    name: str  # name of the node's gateway
    add: bool  # False: the node is removed


class Leases(ControlRequest, tag="leases"):
    """Asks for the leases and their holders."""


class ReplicaStatus(ControlRequest, tag="copies"):
    """Asks for the shards, their replicas and the shard controller."""


class DrainMachine(ControlRequest, tag="drain"):
    """Moves all replicas away from a machine, and assigns no further replicas to it."""

    machine: str  # name of the machine
    undo: bool = False  # True: ends the drain, so that the machine may be assigned replicas again


class RevokeLease(ControlRequest, tag="give-up"):
    """Revokes the lease of a task."""

    task: str
    heir: str = ""  # name of the gateway that is granted the lease next; empty: the first to request it


AnyControlRequest = (
    Status
    | Levels
    | Endpoints
    | OpenRequests
    | Counters
    | HoldLevel
    | ReleaseLevel
    | Cells
    | MigrateTenant
    | AbortMigration
    | Peers
    | Quorum
    | ChangeQuorumMember
    | Leases
    | RevokeLease
    | ReplicaStatus
    | DrainMachine
)

_REQUESTS: msgspec.json.Decoder[AnyControlRequest] = msgspec.json.Decoder(AnyControlRequest)


class Rejection(msgspec.Struct):
    """The reason why a request was not carried out."""

    # "request": the request is invalid. "unknown": it names something that does not exist, or can't be done
    # now. "absent": the operator file lacks the subsystem, or no level is held. "busy": no answer came in
    # time, or another gateway has to be asked.
    kind: str
    why: str  # explanation for operators


class ControlReply(msgspec.Struct):
    """The reply to a request: its result, or the reason why it was rejected."""

    refused: Rejection | None = None  # None: the request was carried out
    told: Any = None  # JSON value with the result; None if the request was rejected


_REPLIES: msgspec.json.Decoder[ControlReply] = msgspec.json.Decoder(ControlReply)


def frame(payload: bytes) -> bytes:
    """Returns the payload with its length prefix."""
    return LENGTH_PREFIX.pack(len(payload)) + payload


def encode_request(request: AnyControlRequest) -> bytes:
    """Returns the bytes of a request."""
    return frame(msgspec.json.encode(request))


def encode_reply(reply: ControlReply) -> bytes:
    """Returns the bytes of a reply. A reply over the size limit is replaced by a rejection."""
    payload = msgspec.json.encode(reply)
    if len(payload) > MAX_REPLY_BYTES:
        refused = Rejection(
            "request",
            f"the reply has {len(payload)} bytes, over the limit of {MAX_REPLY_BYTES}: request less",
        )
        payload = msgspec.json.encode(ControlReply(refused))
    return frame(payload)


def frame_length(prefix: bytes, max_bytes: int) -> int:
    """Returns the length in bytes of the payload that follows a length prefix.

    :raises ControlRequestError: the length is 0 or over `max_bytes`
    """
    (length,) = LENGTH_PREFIX.unpack(prefix)
    if not 0 < length <= max_bytes:
        raise ControlRequestError(f"message of {length} bytes; expected 1 to {max_bytes}", fatal=True)
    return int(length)


def decode_request(payload: bytes) -> AnyControlRequest:
    """Decodes a request. Raises ControlRequestError."""
    try:
        return _REQUESTS.decode(payload)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise ControlRequestError(f"invalid request: {error}", fatal=False) from error


def decode_reply(payload: bytes) -> ControlReply:
    """Decodes a reply. Raises ControlRequestError."""
    try:
        return _REPLIES.decode(payload)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise ControlRequestError(f"invalid reply: {error}", fatal=True) from error
