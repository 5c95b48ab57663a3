"""Messages between clients and the gateway: framed Thrift with the strict binary protocol."""

from __future__ import annotations

import re
import struct
from dataclasses import dataclass
from typing import Any

from thrift.protocol.TBinaryProtocol import TBinaryProtocol
from thrift.protocol.TProtocol import TProtocolException
from thrift.Thrift import TApplicationException, TMessageType, TType
from thrift.transport.TTransport import TMemoryBuffer

from lotusstream.deployment import Deployment
from lotusstream.interface import Idempotency
from lotusstream.protocol.errors import ProtocolError

FRAME = struct.Struct("!i")  # the frame header: the length in bytes of the message that follows
MAX_FRAME_BYTES = 256 << 10
MAX_FIELD_COUNT = 256  # most entries of a map in a message
# Most fields, elements and map entries in a message, all together. Decoding one takes a few microseconds, and
# the event loop serves no other client meanwhile.
MAX_VALUE_COUNT = 512
MAX_OPEN_REQUEST_COUNT = 32  # most open requests on one connection
MS = 1000  # microseconds in a millisecond
CLIENT_IDLE_TIMEOUT_US = 4000 * MS  # idle time after which clients close a connection
# If the gateway closes a connection and a request arrives within this time, the client resends it elsewhere.
CLOSE_RACE_US = 50 * MS
FIRST_MESSAGE_TIMEOUT_US = 3000 * MS  # longest time from a client's connect until its first valid message

_CALL_ID = re.compile(r"[0-9a-f]{16}\Z")
_HEADER_VALUE = re.compile(r"[\x21-\x7e]{1,256}\Z")
_NUMBER = re.compile(r"[0-9]{1,15}(\.[0-9]{1,15})?\Z")


class FrameError(ProtocolError):
    """A client's stream of frames is invalid, so its connection must be closed."""


class MessageFormatError(ProtocolError):
    """A message is malformed or names an unknown method. `fault`: the frame to reply with; None for a oneway
    message, which gets no reply."""

    def __init__(self, method: str, seqid: int, kind: int, reason: str, *, is_answered: bool) -> None:
        super().__init__(reason)
        self.fault = encode_fault(method, seqid, kind, reason) if is_answered else None


class RequestFormatError(ProtocolError):
    """A request has a missing or invalid field."""


@dataclass(frozen=True, slots=True)
class ProcessRequest:
    """A client's request."""

    seqid: int  # sequence number of the message
    fields: dict[str, str]  # values by field name, both as sent by the client
    body: bytes  # the statement, UTF-8


@dataclass(frozen=True, slots=True)
class CancelRequest:
    """A client's withdrawal of a request."""

    seqid: int  # sequence number of the request that is withdrawn


@dataclass(frozen=True, slots=True)
class HealthProbe:
    """Asks whether the gateway is healthy."""

    seqid: int  # sequence number of the message


@dataclass(frozen=True, slots=True)
class RequestFields:
    """The validated fields of a client's request."""

    profile: int  # index in the deployment's profiles
    call_id: str  # the client's id of the request, 16 hexadecimal digits
    time_left: int  # time from the sending of the request to its deadline, microseconds
    idempotency_key: str | None  # None: the request has none
    work_hint: int | None  # work that the client expects, thread microseconds; None: unknown
    memory_mb: float | None  # memory that the client expects the request to need, MB; None: unknown


def frame_length(data: memoryview) -> int | None:
    """Returns the length of the frame at the start of `data`; None while its header is incomplete. Raises
    FrameError."""
    if len(data) < FRAME.size:
        return None
    (length,) = FRAME.unpack_from(data)
    if not 0 < length <= MAX_FRAME_BYTES:
        raise FrameError(f"expected a frame length from 1 to {MAX_FRAME_BYTES} bytes, got {length}")
    return int(length)


def _read_text_map(protocol: TBinaryProtocol) -> dict[str, str]:
    key_type, value_type, size = protocol.readMapBegin()
    if size and (key_type, value_type) != (TType.STRING, TType.STRING):
        raise TProtocolException(TProtocolException.INVALID_DATA, "a map of other types than text")
    return {protocol.readString(): protocol.readString() for _ in range(size)}


_READERS: dict[int, Any] = {
    TType.MAP: _read_text_map,
    TType.STRING: TBinaryProtocol.readBinary,
    TType.I32: TBinaryProtocol.readI32,
    TType.BOOL: TBinaryProtocol.readBool,
}
_ARGUMENTS = {
    "process": {1: TType.MAP, 2: TType.STRING},
    "giveUp": {1: TType.I32},
    "probe": {1: TType.BOOL},
}


class _BoundedReader(TBinaryProtocol):  # type: ignore[misc]
    """Reads a message of at most MAX_VALUE_COUNT values. Skipped fields and their contents count as well."""

    def __init__(self, frame: bytes) -> None:
        super().__init__(
            TMemoryBuffer(frame),
            strictRead=True,
            string_length_limit=len(frame),
            container_length_limit=MAX_FIELD_COUNT,
        )
        self._value_count = 0

    def _count_values(self, count: int) -> None:
        self._value_count += count
        if self._value_count > MAX_VALUE_COUNT:
            limit = f"a message of more than {MAX_VALUE_COUNT} values"
            raise TProtocolException(TProtocolException.SIZE_LIMIT, limit)

    def readFieldBegin(self) -> tuple[str | None, int, int]:  # noqa: N802 - Thrift's name
        """Reads the head of a field."""
        self._count_values(1)
        head: tuple[str | None, int, int] = super().readFieldBegin()
        return head

    def readMapBegin(self) -> tuple[int, int, int]:  # noqa: N802 - Thrift's name
        """Reads the head of a map."""
        head: tuple[int, int, int] = super().readMapBegin()
        self._count_values(head[2])
        return head

    def readListBegin(self) -> tuple[int, int]:  # noqa: N802 - Thrift's name
        """Reads the head of a list."""
        head: tuple[int, int] = super().readListBegin()
        self._count_values(head[1])
        return head

    def readSetBegin(self) -> tuple[int, int]:  # noqa: N802 - Thrift's name
        """Reads the head of a set."""
        head: tuple[int, int] = super().readSetBegin()
        self._count_values(head[1])
        return head


def _reader(frame: bytes) -> TBinaryProtocol:
    return _BoundedReader(frame)


def _read_struct(
    protocol: TBinaryProtocol, known: dict[int, int], nested: dict[int, dict[int, int]] | None = None
) -> dict[int, Any]:
    """Reads a struct and returns the values of its known fields by field number; other fields are skipped.

    :param known: the Thrift type of each known field, by field number.
    :param nested: for each known field that is a struct, the known fields of that struct.
    """
    values: dict[int, Any] = {}
    protocol.readStructBegin()
    while True:
        _, kind, number = protocol.readFieldBegin()
        if kind == TType.STOP:
            return values
        if kind == TType.STRUCT and nested and number in nested:
            values[number] = _read_struct(protocol, nested[number])
        elif known.get(number) == kind:
            values[number] = _READERS[kind](protocol)
        else:
            protocol.skip(kind)


def decode(frame: bytes) -> ProcessRequest | CancelRequest | HealthProbe:
    """Decodes a client's message. Raises FrameError or MessageFormatError."""
    protocol = _reader(frame)
    try:
        method, kind, seqid = protocol.readMessageBegin()
    except Exception as error:  # the Thrift codec raises many types of errors on malformed input
        raise FrameError(f"frame has no message header of the strict binary protocol: {error!r}") from error
    if kind not in (TMessageType.CALL, TMessageType.ONEWAY):
        raise FrameError(f"expected a message of type CALL or ONEWAY, got type {kind}")
    is_answered = kind == TMessageType.CALL
    if method not in _ARGUMENTS:
        fault = TApplicationException.UNKNOWN_METHOD
        raise MessageFormatError(method, seqid, fault, "unknown method", is_answered=is_answered)
    try:
        return _decode_arguments(protocol, method, seqid)
    except Exception as error:  # the Thrift codec raises many types of errors on malformed input
        fault = TApplicationException.PROTOCOL_ERROR
        reason = f"unusable: {error!r}"
        raise MessageFormatError(method, seqid, fault, reason, is_answered=is_answered) from error


def _decode_arguments(
    protocol: TBinaryProtocol, method: str, seqid: int
) -> ProcessRequest | CancelRequest | HealthProbe:
    values = _read_struct(protocol, _ARGUMENTS[method])
    match method:
        case "probe":
            return HealthProbe(seqid)
        case "giveUp":
            return CancelRequest(values[1])
        case _:
            return ProcessRequest(seqid, values[1], values[2])


def _parse_number(fields: dict[str, str], name: str) -> float | None:
    if name not in fields:
        return None
    if not _NUMBER.match(fields[name]):
        raise RequestFormatError(f"{name} is no number")
    return float(fields[name])


def parse_request_fields(fields: dict[str, str], deployment: Deployment) -> RequestFields:
    """Validates the fields and converts the wire's names and units. Raises RequestFormatError."""
    profile = _parse_profile(fields, deployment)
    call_id = fields.get("call", "")
    if not _CALL_ID.match(call_id):
        raise RequestFormatError("call is no id")
    idempotency_key = fields.get("dedupe")
    if idempotency_key is not None and not _HEADER_VALUE.match(idempotency_key):
        raise RequestFormatError("dedupe is no mark")
    needs_key = deployment.started.profiles[profile].idempotency is Idempotency.IDEMPOTENT_WITH_KEY
    if needs_key and idempotency_key is None:
        raise RequestFormatError("dedupe is missing")
    time_left_ms = _parse_number(fields, "ttl")
    work_ms = _parse_number(fields, "work")
    if time_left_ms is None:
        raise RequestFormatError("ttl is missing")
    return RequestFields(
        profile=profile,
        call_id=call_id,
        time_left=int(time_left_ms * MS),
        idempotency_key=idempotency_key,
        work_hint=int(work_ms * MS) if work_ms else None,
        memory_mb=_parse_number(fields, "mem") or None,
    )


def _parse_profile(fields: dict[str, str], deployment: Deployment) -> int:
    profile = fields.get("op")
    if profile not in deployment.profiles:
        raise RequestFormatError("op names no profile")
    return deployment.profiles.index(profile)


def _begin_message(method: str, kind: int, seqid: int) -> TBinaryProtocol:
    protocol = TBinaryProtocol(TMemoryBuffer())
    protocol.writeMessageBegin(method, kind, seqid)
    return protocol


def _frame(protocol: TBinaryProtocol) -> bytes:
    message: bytes = protocol.trans.getvalue()
    return FRAME.pack(len(message)) + message


def _write_map(protocol: TBinaryProtocol, number: int, fields: dict[str, str]) -> None:
    protocol.writeFieldBegin("fields", TType.MAP, number)
    protocol.writeMapBegin(TType.STRING, TType.STRING, len(fields))
    for name, value in fields.items():
        protocol.writeString(name)
        protocol.writeString(value)


def encode_answer(method: str, seqid: int, body: bytes, is_healthy: bool) -> bytes:
    """Returns the frame of a successful reply.

    :param body: the rows of the request's result; empty in the reply to a health probe.
    :param is_healthy: the answer to a health probe; True in the reply to a request.
    """
    protocol = _begin_message(method, TMessageType.REPLY, seqid)
    protocol.writeFieldBegin("success", TType.STRUCT, 0)
    protocol.writeFieldBegin("body", TType.STRING, 1)
    protocol.writeBinary(body)
    _write_map(protocol, 2, {})
    protocol.writeFieldBegin("good", TType.BOOL, 3)
    protocol.writeBool(is_healthy)
    protocol.writeFieldStop()
    protocol.writeFieldStop()
    return _frame(protocol)


def _encode_exception(seqid: int, number: int, fields: dict[str, str]) -> bytes:
    """Returns the frame of an exception that the Thrift service declares. `number`: its field number in the
    result struct."""
    protocol = _begin_message("process", TMessageType.REPLY, seqid)
    protocol.writeFieldBegin("exception", TType.STRUCT, number)
    _write_map(protocol, 1, fields)
    protocol.writeFieldStop()
    protocol.writeFieldStop()
    return _frame(protocol)


def encode_rejection(seqid: int, retry_after: int) -> bytes:
    """Returns the frame of a rejection by load shedding. `retry_after`: microseconds; 0: not sent."""
    return _encode_exception(seqid, 1, {"pushback": str(retry_after // MS)} if retry_after else {})


def encode_failure(seqid: int, reason: str) -> bytes:
    """Returns the frame that reports a failed request."""
    return _encode_exception(seqid, 2, {"reason": reason})


def encode_fault(method: str, seqid: int, kind: int, reason: str) -> bytes:
    """Returns the frame that replies to an invalid message. `kind`: a type of TApplicationException."""
    protocol = _begin_message(method, TMessageType.EXCEPTION, seqid)
    TApplicationException(kind, reason).write(protocol)
    return _frame(protocol)


def encode_health_probe(seqid: int) -> bytes:
    """Returns the frame of a health probe as clients send it."""
    protocol = _begin_message("probe", TMessageType.CALL, seqid)
    protocol.writeFieldStop()
    return _frame(protocol)


def decode_health_probe_reply(frame: bytes) -> bool:
    """Returns whether a gateway has reported itself healthy. Raises FrameError."""
    protocol = _reader(frame)
    try:
        _, kind, _ = protocol.readMessageBegin()
        outer = _read_struct(protocol, {}, nested={0: {3: TType.BOOL}})
        return kind == TMessageType.REPLY and bool(outer.get(0, {}).get(3))
    except Exception as error:  # the Thrift codec raises many types of errors on malformed input
        raise FrameError(f"malformed reply to a health probe: {error!r}") from error
