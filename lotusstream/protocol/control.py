"""Messages on the control socket: a length of four bytes, big-endian, then JSON. Bytes only."""

from __future__ import annotations

import struct
from typing import Any

import msgspec

from lotusstream.protocol.errors import ProtocolError

LENGTH = struct.Struct("!I")
LONGEST_REPLY = 16 << 20


class ControlRequestError(ProtocolError):
    """What came is no request; the connection can't be read on where `fatal`."""

    def __init__(self, why: str, *, fatal: bool) -> None:
        super().__init__(why)
        self.fatal = fatal


class Request(msgspec.Struct, tag_field="ask", forbid_unknown_fields=True):
    """What a control client may ask."""


class Status(Request, tag="status"):
    """What the gateway is doing as a whole."""


class Levels(Request, tag="levels"):
    """The degradation levels, and their last `history` changes."""

    history: int = 10


class Engines(Request, tag="engines"):
    """The listed endpoints, as the decisions see them."""


class Commands(Request, tag="commands"):
    """The open requests, `most` of them at most."""

    most: int = 100


class CountersAsked(Request, tag="counters"):
    """All counters."""


class HoldLevel(Request, tag="hold"):
    """Hold a degradation level by hand for so many microseconds."""

    level: str
    microseconds: int


class ReleaseLevel(Request, tag="release"):
    """End the hold of a degradation level."""


class Cells(Request, tag="cells"):
    """The cells, or where one tenant belongs."""

    tenant: str | None = None


class MoveCell(Request, tag="move"):
    """Migrate a tenant to a cell; with `dry_run` only say whether that can be done."""

    tenant: str
    cell: str
    dry_run: bool = False


class AbortMove(Request, tag="abort"):
    """Roll the migration of a tenant back."""

    tenant: str


class Peers(Request, tag="peers"):
    """The connections to other gateways."""


class Quorum(Request, tag="quorum"):
    """The Raft group as this gateway and its leader see it."""


class ChangeKeeper(Request, tag="keeper"):
    """Add a member to the Raft group, or remove it."""

    name: str
    add: bool


class Leases(Request, tag="leases"):
    """Who holds which lease."""


class Copies(Request, tag="copies"):
    """Shards and replicas, and who decides on them."""


class Drain(Request, tag="drain"):
    """The machine is to hold nothing for others, or (`undo`) may again."""

    machine: str
    undo: bool = False


class GiveUpLease(Request, tag="give-up"):
    """`heir`: who gets it next, or whoever comes first."""

    task: str
    heir: str = ""


Asking = (
    Status
    | Levels
    | Engines
    | Commands
    | CountersAsked
    | HoldLevel
    | ReleaseLevel
    | Cells
    | MoveCell
    | AbortMove
    | Peers
    | Quorum
    | ChangeKeeper
    | Leases
    | GiveUpLease
    | Copies
    | Drain
)

_REQUESTS: msgspec.json.Decoder[Asking] = msgspec.json.Decoder(Asking)


class Refusal(msgspec.Struct):
    """Why a request was not carried out. `kind`: request, unknown, absent, busy."""

    kind: str
    why: str


class Reply(msgspec.Struct):
    """`told` holds what was asked for, unless it was refused."""

    refused: Refusal | None = None
    told: Any = None


_REPLIES: msgspec.json.Decoder[Reply] = msgspec.json.Decoder(Reply)


def frame(payload: bytes) -> bytes:
    """Returns the payload behind its length."""
    return LENGTH.pack(len(payload)) + payload


def encode_request(request: Asking) -> bytes:
    """Returns the bytes of a request."""
    return frame(msgspec.json.encode(request))


def encode_reply(reply: Reply) -> bytes:
    """Returns the bytes of a reply; one that would be too long becomes a rejection that says so."""
    payload = msgspec.json.encode(reply)
    if len(payload) > LONGEST_REPLY:
        refused = Refusal("request", f"the answer has {len(payload)} bytes: ask for less")
        payload = msgspec.json.encode(Reply(refused))
    return frame(payload)


def frame_length(head: bytes, longest: int) -> int:
    """Returns the length in bytes of what follows a head.

    Raises ControlRequestError where it is none or over `longest`.
    """
    (length,) = LENGTH.unpack(head)
    if not 0 < length <= longest:
        raise ControlRequestError(f"a request of {length} bytes; {longest} at most", fatal=True)
    return int(length)


def decode_request(payload: bytes) -> Asking:
    """Returns the request in a payload. Raises ControlRequestError."""
    try:
        return _REQUESTS.decode(payload)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise ControlRequestError(f"no request: {error}", fatal=False) from error


def decode_reply(payload: bytes) -> Reply:
    """Returns the reply in a payload. Raises ControlRequestError."""
    try:
        return _REPLIES.decode(payload)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise ControlRequestError(f"no reply: {error}", fatal=True) from error
