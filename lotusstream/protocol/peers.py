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
from lotusstream.leases.table import LeaseOperation, LeaseResult
from lotusstream.protocol.errors import ProtocolError
from lotusstream.quorum.messages import RaftEnvelope

LENGTH_PREFIX = struct.Struct("!I")
PROTOCOL_VERSION = 1  # of the form of frames: another one can't be read at all
FRAME_VERSION = 2  # the newest frames that are understood here
MAX_FRAME_BYTES = 2 << 20  # a record of the log is at most 1 MB


class PeerProtocolError(ProtocolError):
    """What came is no frame of ours; the connection can't be read on."""


class FrameBase(msgspec.Struct, frozen=True, array_like=True, tag_field="is"):
    pass


class Greeting(FrameBase, frozen=True, tag="greeting"):
    """`group`: a told name that keeps strangers out by mistake; it is no secret. `speaks`: the newest frames
    that this side understands; programs of before there were any others do not say it."""

    version: int
    group: str
    name: str
    frame_version: int = 1


class Ping(FrameBase, frozen=True, tag="ping"):
    pass


class Pong(FrameBase, frozen=True, tag="pong"):
    pass


class RaftFrame(FrameBase, frozen=True, tag="quorum"):
    envelope: RaftEnvelope


class LeaseOperationRequest(FrameBase, frozen=True, tag="ask"):
    number: int
    operation: LeaseOperation


class LeaseTableRequest(FrameBase, frozen=True, tag="look"):
    """The table of leases, and the keepers, as they are after all that was told before."""

    number: int


class MembershipChangeRequest(FrameBase, frozen=True, tag="alter"):
    number: int
    name: str
    add: bool


class QuorumReply(FrameBase, frozen=True, tag="told"):
    """`granted` None: not known, or not asked for. `leader`: whom to ask. `view`: of a Look."""

    number: int
    done: bool
    result: LeaseResult | None
    leader: str
    reason: str
    view: dict[str, Any] | None = None


class ReplicationFrame(FrameBase, frozen=True, tag="word"):
    """Between two holders of copies."""

    source: ReplicaId
    target: ReplicaId
    message: ReplicaMessage


class ReplicaHeartbeat(FrameBase, frozen=True, tag="beat"):
    """A holder's beacon to whoever decides on homes. `joined`: by shard, epoch and whom it has filled.
    `left`: it promises nothing any more. `yields`: by shard, epoch and whose disk has more."""

    number: int
    holder: ReplicaHost
    session: str
    joined: dict[int, tuple[int, tuple[ReplicaId, ...]]]
    left: bool = False
    yields: dict[int, tuple[int, ReplicaId]] = {}


class ReplicaHeartbeatReply(FrameBase, frozen=True, tag="beaten"):
    """The answer: what this holder has to do with, all homes, and the epochs of all shards."""

    number: int
    assigned: tuple[ShardAssignment, ...]
    homes: dict[int, ReplicaId]
    epochs: dict[int, int] = {}


class CommitmentRequest(FrameBase, frozen=True, tag="keep"):
    """Asks a home to hold something, before it is sent or (`finish`) answered. `after`: the owner whose claim
    it takes the place of."""

    number: int
    finish: bool
    holding: IdempotencyRecord
    after: str = ""


class CommitmentReply(FrameBase, frozen=True, tag="kept"):
    """`what`: promised, known (with the holding that is there), unkept, or maybe. `home`: whom to ask."""

    number: int
    what: str
    holding: IdempotencyRecord | None
    why: str
    home: str


class HealthReportSubscription(FrameBase, frozen=True, tag="hear"):
    """Asks a keeper to pass on what is found of engines, for `span` microseconds."""

    duration_us: int


class HealthReportFrame(FrameBase, frozen=True, tag="tidings"):
    """From who examines engines to the keepers, and on to all. `late`: microseconds since it was told."""

    reports: HealthReports
    age_us: int = 0


PeerFrame = (
    Greeting
    | Ping
    | Pong
    | RaftFrame
    | LeaseOperationRequest
    | LeaseTableRequest
    | MembershipChangeRequest
    | QuorumReply
    | ReplicationFrame
    | ReplicaHeartbeat
    | ReplicaHeartbeatReply
    | CommitmentRequest
    | CommitmentReply
    | HealthReportSubscription
    | HealthReportFrame
)

INTRODUCED_IN_VERSION: dict[type[Any], int] = {
    HealthReportSubscription: 2,
    HealthReportFrame: 2,
    DigestRequest: 2,
    DigestReply: 2,
}  # others are of the first


def required_frame_version(frame: PeerFrame) -> int:
    """What a program has to speak to understand this."""
    return INTRODUCED_IN_VERSION.get(type(frame.message if isinstance(frame, ReplicationFrame) else frame), 1)


_FRAME_DECODER: msgspec.msgpack.Decoder[PeerFrame] = msgspec.msgpack.Decoder(PeerFrame)


def encode(frame: PeerFrame) -> bytes:
    """Raises ValueError where it would be too long."""
    payload = msgspec.msgpack.encode(frame)
    if len(payload) > MAX_FRAME_BYTES:
        raise ValueError(f"a frame of {len(payload)} bytes; {MAX_FRAME_BYTES} at most")
    return LENGTH_PREFIX.pack(len(payload)) + payload


def decode_first(data: memoryview) -> tuple[PeerFrame, int] | None:
    """The first frame and how many bytes it took, or None if it is not whole yet. Raises BrokenPeer."""
    if len(data) < LENGTH_PREFIX.size:
        return None
    (length,) = LENGTH_PREFIX.unpack_from(data)
    if not 0 < length <= MAX_FRAME_BYTES:
        raise PeerProtocolError(f"a frame of {length} bytes; {MAX_FRAME_BYTES} at most")
    end = LENGTH_PREFIX.size + length
    if len(data) < end:
        return None
    try:
        return _FRAME_DECODER.decode(data[LENGTH_PREFIX.size : end]), end
    except (msgspec.MsgspecError, RecursionError) as error:
        raise PeerProtocolError(f"no frame: {error}") from error
