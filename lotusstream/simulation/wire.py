"""Codec of the simulator's wire protocol: decodes batches of events and encodes replies with actions.

Only this module maps the protocol's names and codes to those of the interface. Names of structs and codes
are the protocol's.
"""

from __future__ import annotations

import json
import struct
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import BinaryIO

from lotusstream import interface as api
from lotusstream.deployment import SettingsError, read_settings
from lotusstream.simulation.errors import MalformedInputError

EVENT_SIZE = 56  # bytes of an event record
ACTION_SIZE = 24  # bytes of an action record
ENTRY_SIZE = 25  # bytes of an endpoint list entry

BATCH_HEADER = struct.Struct("<IQII")
REPLY_HEADER = struct.Struct("<III")
INSTANCE_ID = struct.Struct("<I")

INIT = struct.Struct("<IQII")
INVENTORY = struct.Struct("<BII")
VIEW = struct.Struct("<IIBB")
ORDER = struct.Struct("<IQBIBfIfQ")
RESPONSE = struct.Struct("<IQIIHB6sHB4f")
UPDATE_OF = struct.Struct("<IQfBH6s")
CLIENT_GONE = struct.Struct("<IQ")
RING = struct.Struct("<IQ")
PROBE_RESULT = struct.Struct("<IHI6sB4f")
ENTRY = struct.Struct("<HBQ6sfHH")

ASSIGN = struct.Struct("<BIQ6sI")
RESOURCES = struct.Struct("<BIQfB")
OVERLOAD_REPLY = struct.Struct("<BIQI")
FAIL = struct.Struct("<BIQ")
WITHDRAW = struct.Struct("<BIQH")
SAMPLE = struct.Struct("<BI6s")
SET_TIMER = struct.Struct("<BIQQ")
KEEP_INFORMED = struct.Struct("<BIB")
DIE = struct.Struct("<BIII")

WORK_HINT_IS_VALID = 1  # bit of ORDER's attributes field: set if the record contains a work hint
MAX_TIMEOUT_US = 2**32 - 1  # largest timeout that an ASSIGN record can contain


class EventCode(IntEnum):
    """The kinds of events; the code is the first byte of the event record."""

    PROBE_RESULT = 1
    RESPONSE = 2
    UPDATE_OF = 3
    ORDER = 4
    INVENTORY = 6
    CLIENT_GONE = 7
    RING = 8
    VIEW = 9
    INIT = 10
    EXIT = 11


class ActionCode(IntEnum):
    """The kinds of actions; the code is the first byte of the action record."""

    RESOURCES = 66
    ASSIGN = 70
    FAIL = 71
    OVERLOAD_REPLY = 72
    KEEP_INFORMED = 73
    SET_TIMER = 74
    SAMPLE = 75
    DIE = 76
    WITHDRAW = 77


STATUS_BY_HEALTH = {
    0: api.EndpointStatus.DRAINING,
    1: api.EndpointStatus.REMOVED,
    2: api.EndpointStatus.READY,
}
LIST_KINDS = {
    0: api.EndpointListKind.DELTA,
    1: api.EndpointListKind.SNAPSHOT,
    2: api.EndpointListKind.CACHED_SNAPSHOT,
    3: api.EndpointListKind.FAILED,
}


@dataclass(frozen=True, slots=True)
class Batch:
    """The events that the simulator sends for one point in time."""

    number: int
    clock: int  # the simulator's time, microseconds
    records: bytes  # event records of EVENT_SIZE bytes each
    count: int  # number of records
    tail: bytes  # data of variable size; records refer to it by offset and length

    def record(self, index: int) -> tuple[int, bytes]:
        """Returns the event code and the body of one record."""
        start = index * EVENT_SIZE
        return self.records[start], self.records[start + 1 : start + EVENT_SIZE]

    def tail_slice(self, offset: int, length: int) -> bytes:
        """Returns `length` bytes of the tail at `offset`. Raises MalformedInputError if it is shorter."""
        if offset + length > len(self.tail):
            raise MalformedInputError(
                f"batch {self.number}: field of {length} bytes at offset {offset} exceeds the tail"
            )
        return self.tail[offset : offset + length]


def _read_exactly(stream: BinaryIO, size: int) -> bytes:
    data = stream.read(size)
    if len(data) != size:
        raise MalformedInputError(f"input ends {size - len(data)} bytes before the end of a frame")
    return data


def read_batch(stream: BinaryIO) -> Batch | None:
    """Reads the next batch; returns None at the end of the input.

    :raises MalformedInputError: if the input ends within a batch, or a batch is shorter than its records.
    """
    first = stream.read(1)
    if not first:
        return None
    header = first + _read_exactly(stream, BATCH_HEADER.size - 1)
    number, clock, length, count = BATCH_HEADER.unpack(header)
    body_size = length - INSTANCE_ID.size
    if body_size < count * EVENT_SIZE:
        raise MalformedInputError(f"batch {number}: {count} records do not fit in {length} bytes")
    body = _read_exactly(stream, body_size)
    split = count * EVENT_SIZE
    return Batch(number, clock, body[:split], count, body[split:])


def write_reply(stream: BinaryIO, batch: Batch, records: Sequence[bytes], tail: bytes = b"") -> None:
    """Writes the reply to a batch. `records`: encoded actions, which are padded to ACTION_SIZE bytes."""
    body = b"".join(record.ljust(ACTION_SIZE, b"\0") for record in records) + tail
    stream.write(REPLY_HEADER.pack(batch.number, len(records), len(body)) + body)
    stream.flush()


def encode_die(instance_id: int, offset: int, length: int) -> bytes:
    """Encodes the failure of an instance. The error text is the `length` bytes at `offset` in the tail."""
    return DIE.pack(ActionCode.DIE, instance_id, offset, length)


def read_entries(batch: Batch, offset: int, count: int) -> tuple[api.EndpointEntry, ...]:
    """Decodes `count` endpoint list entries from the tail. Raises MalformedInputError."""
    data = batch.tail_slice(offset, count * ENTRY_SIZE)
    entries = []
    for zone, health, started_at, endpoint_id, _weight, cell, kind in ENTRY.iter_unpack(data):
        if health not in STATUS_BY_HEALTH:
            raise MalformedInputError(
                f"batch {batch.number}: unknown endpoint health {health}, expected 0, 1 or 2"
            )
        entries.append(api.EndpointEntry(endpoint_id, STATUS_BY_HEALTH[health], zone, cell, kind, started_at))
    return tuple(entries)


def decode_start(seed: int, text: bytes) -> tuple[api.GatewayStarted, tuple[str, ...]]:
    """Decodes the settings of an instance.

    :returns: the instance's first event, and the names of the values in its load reports.
    :raises MalformedInputError: if the settings are invalid.
    """
    try:
        deployment = read_settings(seed, json.loads(text))
    except (ValueError, SettingsError) as error:
        raise MalformedInputError(str(error)) from error
    return deployment.started, deployment.report_columns


class EventDecoder:
    """Decodes the event records of one instance."""

    def __init__(self, report_columns: tuple[str, ...]) -> None:
        """`report_columns`: names of the values in a load report, in order."""
        self._report_columns = report_columns
        self._decoders: dict[int, Callable[[bytes], api.Event]] = {
            EventCode.PROBE_RESULT: self._decode_probe_result,
            EventCode.RESPONSE: self._decode_response,
            EventCode.UPDATE_OF: self._decode_progress,
            EventCode.ORDER: self._decode_order,
            EventCode.CLIENT_GONE: self._decode_client_gone,
            EventCode.RING: self._decode_timer,
        }

    def decode(self, code: int, body: bytes) -> api.Event | None:
        """Decodes an event. Returns None for events that the adapter ignores.

        These events report a started stream or a message from another gateway.
        """
        decoder = self._decoders.get(code)
        return None if decoder is None else decoder(body)

    def _load_report(self, count: int, values: tuple[float, ...]) -> api.LoadReport | None:
        if not count:
            return None
        by_name = dict(zip(self._report_columns, values[:count], strict=False))
        return api.LoadReport(by_name.get("active"), by_name.get("waiting"), by_name.get("cpu"))

    def _decode_order(self, body: bytes) -> api.Event:
        _, request_id, profile, hint, attributes, memory_mb, grace, group, key = ORDER.unpack_from(body)
        work_hint = hint if attributes & WORK_HINT_IS_VALID else None
        return api.RequestReceived(
            request_id, profile, work_hint, memory_mb or None, grace, int(group), key or None
        )

    def _decode_response(self, body: bytes) -> api.Event:
        fields = RESPONSE.unpack_from(body)
        _, request_id, latency, cost, raw_outcome, is_finished, endpoint_id, attempt, count, *values = fields
        outcome = api.Outcome(raw_outcome)
        return api.AttemptEnded(
            request_id,
            attempt,
            endpoint_id,
            outcome,
            latency,
            bool(is_finished),
            work=(cost >> 12) * 1000 if cost else None,
            memory_mb=float((cost & 0xFFF) * 4) if cost else None,
            report=self._load_report(count, tuple(values)),
            endpoint_responded=outcome in api.REPORTED_BY_ENDPOINT,
        )

    def _decode_progress(self, body: bytes) -> api.Event:
        _, request_id, amount, code, attempt, endpoint_id = UPDATE_OF.unpack_from(body)
        waits = api.ProgressKind.WAITS_FOR_LOAD if amount == 2 else api.ProgressKind.WAITS_FOR_MEMORY
        kind = {1: api.ProgressKind.PROGRESS, 2: api.ProgressKind.SPILLS, 3: waits}[code]
        return api.AttemptProgressed(request_id, attempt, endpoint_id, kind, amount)

    def _decode_client_gone(self, body: bytes) -> api.Event:
        _, request_id = CLIENT_GONE.unpack_from(body)
        return api.ClientDisconnected(request_id)

    def _decode_timer(self, body: bytes) -> api.Event:
        _, token = RING.unpack_from(body)
        return api.TimerFired(token)

    def _decode_probe_result(self, body: bytes) -> api.Event:
        _, outcome, latency, endpoint_id, count, *values = PROBE_RESULT.unpack_from(body)
        report = self._load_report(count, tuple(values))
        return api.HealthCheckEnded(endpoint_id, api.Outcome(outcome), latency, report)


def encode_action(instance_id: int, action: api.Action) -> bytes:
    """Encodes an action of an instance as a record."""
    match action:
        case api.StartAttempt(request_id, endpoint_id, timeout):
            timeout = min(timeout, MAX_TIMEOUT_US)
            return ASSIGN.pack(ActionCode.ASSIGN, instance_id, request_id, endpoint_id, timeout)
        case api.SetResources(request_id, grant_mb, priority):
            return RESOURCES.pack(ActionCode.RESOURCES, instance_id, request_id, grant_mb, priority)
        case api.RejectRequest(request_id, retry_after):
            return OVERLOAD_REPLY.pack(ActionCode.OVERLOAD_REPLY, instance_id, request_id, retry_after)
        case api.FailRequest(request_id):
            return FAIL.pack(ActionCode.FAIL, instance_id, request_id)
        case api.CancelAttempt(request_id, attempt):
            return WITHDRAW.pack(ActionCode.WITHDRAW, instance_id, request_id, attempt)
        case api.StartHealthCheck(endpoint_id):
            return SAMPLE.pack(ActionCode.SAMPLE, instance_id, endpoint_id)
        case api.SetTimer(at, token):
            return SET_TIMER.pack(ActionCode.SET_TIMER, instance_id, at, token)
        case api.SetListSubscription(enabled):
            return KEEP_INFORMED.pack(ActionCode.KEEP_INFORMED, instance_id, enabled)
        case api.GatewaySnapshot():
            return b""  # cannot occur: the simulator has no event that requests a snapshot
