"""What gateways tell each other: a length of four bytes, big-endian, then msgpack. Bytes only.

The first frame each way is a Greeting. A caller opens the connection; what it asked is answered on it.
"""

from __future__ import annotations

import struct
from typing import Any

import msgspec

from lotusstream.copies.messages import (
    DigestReply,
    DigestRequest,
    IdempotencyRecord,
    ReplicaMessage,
    ShardAssignment,
)
from lotusstream.copies.shards import ReplicaHost, ReplicaId
from lotusstream.healthcheck.reports import HealthReports
from lotusstream.leases.table import AnyWish, Granted
from lotusstream.quorum.messages import Envelope

LENGTH = struct.Struct("!I")
VERSION = 1  # of the form of frames: another one can't be read at all
SPEAKS = 2  # the newest frames that are understood here
LONGEST = 2 << 20  # a record of the log is at most 1 MB


class PeerProtocolError(Exception):
    """What came is no frame of ours; the connection can't be read on."""


class Frame(msgspec.Struct, frozen=True, array_like=True, tag_field="is"):
    pass


class Greeting(Frame, frozen=True, tag="greeting"):
    """`group`: a told name that keeps strangers out by mistake; it is no secret. `speaks`: the newest frames
    that this side understands; programs of before there were any others do not say it."""

    version: int
    group: str
    name: str
    speaks: int = 1


class Ping(Frame, frozen=True, tag="ping"):
    pass


class Pong(Frame, frozen=True, tag="pong"):
    pass


class Quorum(Frame, frozen=True, tag="quorum"):
    envelope: Envelope


class Ask(Frame, frozen=True, tag="ask"):
    number: int
    wish: AnyWish


class Look(Frame, frozen=True, tag="look"):
    """The table of leases, and the keepers, as they are after all that was told before."""

    number: int


class Alter(Frame, frozen=True, tag="alter"):
    number: int
    name: str
    add: bool


class Told(Frame, frozen=True, tag="told"):
    """`granted` None: not known, or not asked for. `leader`: whom to ask. `view`: of a Look."""

    number: int
    done: bool
    granted: Granted | None
    leader: str
    why: str
    view: dict[str, Any] | None = None


class Word(Frame, frozen=True, tag="word"):
    """Between two holders of copies."""

    source: ReplicaId
    to: ReplicaId
    word: ReplicaMessage


class Beat(Frame, frozen=True, tag="beat"):
    """A holder's beacon to whoever decides on homes. `joined`: by shard, epoch and whom it has filled.
    `left`: it promises nothing any more. `yields`: by shard, epoch and whose disk has more."""

    number: int
    holder: ReplicaHost
    session: str
    joined: dict[int, tuple[int, tuple[ReplicaId, ...]]]
    left: bool = False
    yields: dict[int, tuple[int, ReplicaId]] = {}


class Beaten(Frame, frozen=True, tag="beaten"):
    """The answer: what this holder has to do with, all homes, and the epochs of all shards."""

    number: int
    assigned: tuple[ShardAssignment, ...]
    homes: dict[int, ReplicaId]
    epochs: dict[int, int] = {}


class Keep(Frame, frozen=True, tag="keep"):
    """Asks a home to hold something, before it is sent or (`finish`) answered. `after`: the owner whose claim
    it takes the place of."""

    number: int
    finish: bool
    holding: IdempotencyRecord
    after: str = ""


class Kept(Frame, frozen=True, tag="kept"):
    """`what`: promised, known (with the holding that is there), unkept, or maybe. `home`: whom to ask."""

    number: int
    what: str
    holding: IdempotencyRecord | None
    why: str
    home: str


class Hear(Frame, frozen=True, tag="hear"):
    """Asks a keeper to pass on what is found of engines, for `span` microseconds."""

    span: int


class Tidings(Frame, frozen=True, tag="tidings"):
    """From who examines engines to the keepers, and on to all. `late`: microseconds since it was told."""

    news: HealthReports
    late: int = 0


AnyFrame = (
    Greeting | Ping | Pong | Quorum | Ask | Look | Alter | Told | Word | Beat | Beaten | Keep | Kept
    | Hear | Tidings
)  # fmt: skip

SINCE: dict[type[Any], int] = {
    Hear: 2,
    Tidings: 2,
    DigestRequest: 2,
    DigestReply: 2,
}  # others are of the first


def since(frame: AnyFrame) -> int:
    """What a program has to speak to understand this."""
    return SINCE.get(type(frame.word if isinstance(frame, Word) else frame), 1)


_FRAMES: msgspec.msgpack.Decoder[AnyFrame] = msgspec.msgpack.Decoder(AnyFrame)


def encode(frame: AnyFrame) -> bytes:
    """Raises ValueError where it would be too long."""
    payload = msgspec.msgpack.encode(frame)
    if len(payload) > LONGEST:
        raise ValueError(f"a frame of {len(payload)} bytes; {LONGEST} at most")
    return LENGTH.pack(len(payload)) + payload


def take(data: memoryview) -> tuple[AnyFrame, int] | None:
    """The first frame and how many bytes it took, or None if it is not whole yet. Raises BrokenPeer."""
    if len(data) < LENGTH.size:
        return None
    (length,) = LENGTH.unpack_from(data)
    if not 0 < length <= LONGEST:
        raise PeerProtocolError(f"a frame of {length} bytes; {LONGEST} at most")
    end = LENGTH.size + length
    if len(data) < end:
        return None
    try:
        return _FRAMES.decode(data[LENGTH.size : end]), end
    except (msgspec.MsgspecError, RecursionError) as error:
        raise PeerProtocolError(f"no frame: {error}") from error
