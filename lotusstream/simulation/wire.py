"""Codec of the bench's wire: batches of events in, replies of actions out. No decision is made here."""

from __future__ import annotations

import json
import struct
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import BinaryIO

from lotusstream import interface as api
from lotusstream.deployment import SettingsError, read_settings

EVENT_SIZE, ACTION_SIZE, ENTRY_SIZE = 56, 24, 25
LIST_COUNT = 16

BATCH_HEADER = struct.Struct("<IQII")
REPLY_HEADER = struct.Struct("<III")
WHO = struct.Struct("<I")

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

HINT_VALID = 1
LONGEST_TIME_OUT = 2**32 - 1

STATES = {0: api.EndpointStatus.DRAINING, 1: api.EndpointStatus.REMOVED, 2: api.EndpointStatus.READY}
LIST_KINDS = {
    0: api.EndpointListKind.DELTA,
    1: api.EndpointListKind.SNAPSHOT,
    2: api.EndpointListKind.CACHED_SNAPSHOT,
    3: api.EndpointListKind.FAILED,
}


class MalformedInputError(Exception):
    """The input is not a batch of this wire."""


@dataclass(frozen=True, slots=True)
class Batch:
    number: int
    clock: int
    records: bytes
    count: int
    tail: bytes

    def record(self, index: int) -> tuple[int, bytes]:
        start = index * EVENT_SIZE
        return self.records[start], self.records[start + 1 : start + EVENT_SIZE]

    def cut(self, offset: int, length: int) -> bytes:
        if offset + length > len(self.tail):
            raise MalformedInputError(f"batch {self.number}: a tail field ends past the tail")
        return self.tail[offset : offset + length]


def _read_exactly(stream: BinaryIO, size: int) -> bytes:
    data = stream.read(size)
    if len(data) != size:
        raise MalformedInputError(f"input ends {size - len(data)} bytes short of a whole frame")
    return data


def read_batch(stream: BinaryIO) -> Batch | None:
    """The next batch, or None where the input has ended."""
    first = stream.read(1)
    if not first:
        return None
    header = first + _read_exactly(stream, BATCH_HEADER.size - 1)
    number, clock, length, count = BATCH_HEADER.unpack(header)
    body_size = length - WHO.size
    if body_size < count * EVENT_SIZE:
        raise MalformedInputError(f"batch {number}: {count} records do not fit in {length} bytes")
    body = _read_exactly(stream, body_size)
    split = count * EVENT_SIZE
    return Batch(number, clock, body[:split], count, body[split:])


def write_reply(stream: BinaryIO, batch: Batch, records: Sequence[bytes], tail: bytes = b"") -> None:
    body = b"".join(record.ljust(ACTION_SIZE, b"\0") for record in records) + tail
    stream.write(REPLY_HEADER.pack(batch.number, len(records), len(body)) + body)
    stream.flush()


def die_record(who: int, offset: int, length: int) -> bytes:
    return DIE.pack(76, who, offset, length)


def read_entries(batch: Batch, offset: int, count: int) -> tuple[api.EndpointEntry, ...]:
    data = batch.cut(offset, count * ENTRY_SIZE)
    entries = []
    for zone, health, started, engine, _weight, cell, kind in ENTRY.iter_unpack(data):
        if health not in STATES:
            raise MalformedInputError(f"batch {batch.number}: unknown health {health}")
        entries.append(api.EndpointEntry(engine, STATES[health], zone, cell, kind, started))
    return tuple(entries)


def decode_start(seed: int, text: bytes) -> tuple[api.GatewayStarted, tuple[str, ...]]:
    """The first event of an instance, and the names of its load report's columns."""
    try:
        deployment = read_settings(seed, json.loads(text))
    except (ValueError, SettingsError) as error:
        raise MalformedInputError(str(error)) from error
    return deployment.started, deployment.report_columns


class EventDecoder:
    """Turns one instance's records into events of the interface."""

    def __init__(self, columns: tuple[str, ...]) -> None:
        self._columns = columns
        self._decoders: dict[int, Callable[[bytes], api.Event]] = {
            1: self._probe_result,
            2: self._response,
            3: self._update_of,
            4: self._order,
            7: self._client_gone,
            8: self._ring,
        }

    def decode(self, code: int, body: bytes) -> api.Event | None:
        """The event, or None for begun streams and mail between gateways, which nothing here uses."""
        return self._decoders[code](body) if code in self._decoders else None

    def _report(self, count: int, values: tuple[float, ...]) -> api.LoadReport | None:
        if not count:
            return None
        told = dict(zip(self._columns, values[:count], strict=False))
        return api.LoadReport(told.get("active"), told.get("waiting"), told.get("cpu"))

    def _order(self, body: bytes) -> api.Event:
        _, call, profile, hint, attrs, memory, grace, group, key = ORDER.unpack_from(body)
        known = hint if attrs & HINT_VALID else None
        return api.RequestReceived(call, profile, known, memory or None, grace, int(group), key or None)

    def _response(self, body: bytes) -> api.Event:
        fields = RESPONSE.unpack_from(body)
        _, call, latency, cost, outcome, over, engine, trial, count, *values = fields
        work = (cost >> 12) * 1000 if cost else None
        memory = float((cost & 0xFFF) * 4) if cost else None
        report = self._report(count, tuple(values))
        how = api.Outcome(outcome)
        heard = how in api.REPORTED_BY_ENDPOINT
        return api.AttemptEnded(call, trial, engine, how, latency, bool(over), work, memory, report, heard)

    def _update_of(self, body: bytes) -> api.Event:
        _, call, amount, kind, trial, engine = UPDATE_OF.unpack_from(body)
        waits = api.ProgressKind.WAITS_FOR_LOAD if amount == 2 else api.ProgressKind.WAITS_FOR_MEMORY
        note = {1: api.ProgressKind.PROGRESS, 2: api.ProgressKind.SPILLS, 3: waits}[kind]
        return api.AttemptProgressed(call, trial, engine, note, amount)

    def _client_gone(self, body: bytes) -> api.Event:
        return api.ClientDisconnected(CLIENT_GONE.unpack_from(body)[1])

    def _ring(self, body: bytes) -> api.Event:
        return api.TimerFired(RING.unpack_from(body)[1])

    def _probe_result(self, body: bytes) -> api.Event:
        _, outcome, latency, engine, count, *values = PROBE_RESULT.unpack_from(body)
        return api.HealthCheckEnded(engine, api.Outcome(outcome), latency, self._report(count, tuple(values)))


def encode_action(who: int, action: api.Action) -> bytes:
    match action:
        case api.StartAttempt(command, engine, time_out):
            return ASSIGN.pack(70, who, command, engine, min(time_out, LONGEST_TIME_OUT))
        case api.SetResources(command, grant, priority):
            return RESOURCES.pack(66, who, command, grant, priority)
        case api.RejectRequest(command, come_back_after):
            return OVERLOAD_REPLY.pack(72, who, command, come_back_after)
        case api.FailRequest(command):
            return FAIL.pack(71, who, command)
        case api.CancelAttempt(command, send):
            return WITHDRAW.pack(77, who, command, send)
        case api.StartHealthCheck(engine):
            return SAMPLE.pack(75, who, engine)
        case api.SetTimer(at, token):
            return SET_TIMER.pack(74, who, at, token)
        case api.SetListSubscription(on):
            return KEEP_INFORMED.pack(73, who, on)
        case api.GatewaySnapshot():
            return b""  # nobody asks here
