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
    pass


class Levels(Request, tag="levels"):
    history: int = 10


class Engines(Request, tag="engines"):
    pass


class Commands(Request, tag="commands"):
    most: int = 100


class CountersAsked(Request, tag="counters"):
    pass


class HoldLevel(Request, tag="hold"):
    level: str
    microseconds: int


class ReleaseLevel(Request, tag="release"):
    pass


class Cells(Request, tag="cells"):
    tenant: str | None = None


class MoveCell(Request, tag="move"):
    tenant: str
    cell: str
    dry_run: bool = False


class AbortMove(Request, tag="abort"):
    tenant: str


class Peers(Request, tag="peers"):
    pass


class Quorum(Request, tag="quorum"):
    pass


class ChangeKeeper(Request, tag="keeper"):
    name: str
    add: bool


class Leases(Request, tag="leases"):
    pass


class Copies(Request, tag="copies"):
    pass


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
    return LENGTH.pack(len(payload)) + payload


def encode_request(request: Asking) -> bytes:
    return frame(msgspec.json.encode(request))


def encode_reply(reply: Reply) -> bytes:
    payload = msgspec.json.encode(reply)
    if len(payload) > LONGEST_REPLY:
        refused = Refusal("request", f"the answer has {len(payload)} bytes: ask for less")
        payload = msgspec.json.encode(Reply(refused))
    return frame(payload)


def frame_length(head: bytes, longest: int) -> int:
    (length,) = LENGTH.unpack(head)
    if not 0 < length <= longest:
        raise ControlRequestError(f"a request of {length} bytes; {longest} at most", fatal=True)
    return int(length)


def decode_request(payload: bytes) -> Asking:
    try:
        return _REQUESTS.decode(payload)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise ControlRequestError(f"no request: {error}", fatal=False) from error


def decode_reply(payload: bytes) -> Reply:
    try:
        return _REPLIES.decode(payload)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise ControlRequestError(f"no reply: {error}", fatal=True) from error
