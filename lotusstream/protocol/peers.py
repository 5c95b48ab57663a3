"""The frames between gateways: a length of four bytes, big-endian, then a msgpack array. No I/O.

The first frame in each direction is a Greeting. The gateway that opens a connection sends requests on it and
receives the replies on it. The order of fields and the tags are the wire format.
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
PROTOCOL_VERSION = 1  # version of the frame format; frames of another version can't be decoded
FRAME_VERSION = 2  # version of the newest frame types that this program understands
MAX_FRAME_BYTES = 2 << 20  # a record of the write-ahead log, which has at most 1 MB, has to fit


class PeerProtocolError(ProtocolError):
    """The received bytes are not a valid frame; the connection has to be closed."""


class FrameBase(msgspec.Struct, frozen=True, array_like=True, tag_field="is"):
    """Base of all frames between gateways."""


class Greeting(FrameBase, frozen=True, tag="greeting"):
    """Identifies the sender, as the first frame on a connection."""

    version: int  # PROTOCOL_VERSION of the sender; a gateway with another one can't decode its frames
    group: str  # name of the sender's fleet, to reject accidental connections between fleets; not a secret
    name: str  # name of the sending gateway
    frame_version: int = 1  # FRAME_VERSION of the sender; programs of frame version 1 omit it


class Ping(FrameBase, frozen=True, tag="ping"):
    """Checks that the gateway at the other end of the connection still answers."""


class Pong(FrameBase, frozen=True, tag="pong"):
    """Answers a Ping."""


class RaftFrame(FrameBase, frozen=True, tag="quorum"):
    """A Raft message between two nodes of the quorum."""

    envelope: RaftEnvelope


class LeaseOperationRequest(FrameBase, frozen=True, tag="ask"):
    """Requests an operation on the lease table from a node of the quorum."""

    number: int  # request id, returned with the reply
    operation: LeaseOperation


class LeaseTableRequest(FrameBase, frozen=True, tag="look"):
    """Requests the quorum's members and the lease table, including all changes committed so far."""

    number: int  # request id, returned with the reply


class MembershipChangeRequest(FrameBase, frozen=True, tag="alter"):
    """Requests that a node be added to the quorum, or removed from it."""

    number: int  # request id, returned with the reply
    name: str  # node to add or remove
    add: bool  # True adds the node, False removes it


class QuorumReply(FrameBase, frozen=True, tag="told"):
    """Answers a request to the quorum, or notifies a waiting gateway that a lease is free."""

    number: int  # id of the answered request; 0 in a notification
    done: bool  # whether the quorum has carried out the request
    result: LeaseResult | None  # None if the outcome is unknown, or the request was not a lease operation
    leader: str  # name of the quorum's leader; '' where it is not known
    reason: str  # why the request failed or its outcome is unknown, for operators; '' if neither
    view: dict[str, Any] | None = None  # members and lease table; None in answers that carry none


class ReplicationFrame(FrameBase, frozen=True, tag="word"):
    """A message between two replicas."""

    source: ReplicaId  # replica that sends the message
    target: ReplicaId  # replica that the message is for; any other replica drops it
    message: ReplicaMessage


class ReplicaHeartbeat(FrameBase, frozen=True, tag="beat"):
    """A replica's heartbeat to the shard controller."""

    number: int  # heartbeat id, returned with the reply
    host: ReplicaHost  # gateway that hosts the replica, with its machine and zone
    session: str  # unique id of one run of the gateway's program
    # By shard of which the sender is the primary: the epoch of its assignment, and the joining replicas that
    # have caught up.
    caught_up: dict[int, tuple[int, tuple[ReplicaId, ...]]]
    shutting_down: bool = False  # True: this run commits nothing more and is about to end
    # By shard of which the sender is the primary and a backup has a later position than the sender: the epoch
    # of the sender's assignment, and that backup.
    more_advanced: dict[int, tuple[int, ReplicaId]] = {}


class ReplicaHeartbeatReply(FrameBase, frozen=True, tag="beaten"):
    """Answers a ReplicaHeartbeat, and renews the replica's lease."""

    number: int  # id of the answered heartbeat
    assignments: tuple[ShardAssignment, ...]  # assignments that include this replica
    primaries: dict[int, ReplicaId]  # primary of each shard, by shard number
    epochs: dict[int, int] = {}  # newest epoch that the shard controller knows, by shard number


class CommitmentRequest(FrameBase, frozen=True, tag="keep"):
    """Asks a primary to commit an idempotency record.

    A gateway sends a claim before it sends the first attempt to an endpoint, and a completion before it gives
    the answer to the client.
    """

    number: int  # request id, returned with the reply
    is_completion: bool  # True: the record holds the answer; False: it claims the key
    record: IdempotencyRecord  # record to commit
    previous_owner: str = ""  # owner of the unanswered claim that this claim replaces; '' if none


class CommitmentReply(FrameBase, frozen=True, tag="kept"):
    """Answers a CommitmentRequest."""

    number: int  # id of the answered request
    outcome: str  # value of `ClaimOutcome`
    record: IdempotencyRecord | None  # existing record of the key, if the outcome is ALREADY_RECORDED
    reason: str  # why the record was not committed; '' if it was
    primary: str  # name of the gateway to retry at; '' where it is not known


class HealthReportSubscription(FrameBase, frozen=True, tag="hear"):
    """Asks a node of the quorum to forward health reports of endpoints to this gateway."""

    duration_us: int  # how long the subscription lasts


class HealthReportFrame(FrameBase, frozen=True, tag="tidings"):
    """Health reports: the gateway that checks endpoints sends them to the quorum, which forwards them."""

    reports: HealthReports
    age_us: int = 0  # microseconds for which the quorum member kept the reports before it sent this frame


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
}  # all other types are of frame version 1


def required_frame_version(frame: PeerFrame) -> int:
    """Return the lowest FRAME_VERSION with which a program understands this frame."""
    return INTRODUCED_IN_VERSION.get(type(frame.message if isinstance(frame, ReplicationFrame) else frame), 1)


_FRAME_DECODER: msgspec.msgpack.Decoder[PeerFrame] = msgspec.msgpack.Decoder(PeerFrame)


def encode(frame: PeerFrame) -> bytes:
    """Return the frame with its length prefix. Raises ValueError if it is too long."""
    payload = msgspec.msgpack.encode(frame)
    if len(payload) > MAX_FRAME_BYTES:
        raise ValueError(f"frame has {len(payload)} bytes, expected at most {MAX_FRAME_BYTES}")
    return LENGTH_PREFIX.pack(len(payload)) + payload


def decode_first(data: memoryview) -> tuple[PeerFrame, int] | None:
    """Return the first frame and its length in bytes, or None if it is not complete yet.

    :raises PeerProtocolError: the bytes are not a valid frame
    """
    if len(data) < LENGTH_PREFIX.size:
        return None
    (length,) = LENGTH_PREFIX.unpack_from(data)
    if not 0 < length <= MAX_FRAME_BYTES:
        raise PeerProtocolError(f"frame has {length} bytes, expected 1 to {MAX_FRAME_BYTES}")
    end = LENGTH_PREFIX.size + length
    if len(data) < end:
        return None
    try:
        return _FRAME_DECODER.decode(data[LENGTH_PREFIX.size : end]), end
    except (msgspec.MsgspecError, RecursionError) as error:
        raise PeerProtocolError(f"payload is no frame of a known type: {error}") from error
