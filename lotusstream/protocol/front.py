"""Messages between clients and the gateway: framed Thrift, strict binary protocol."""

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

FRAME = struct.Struct("!i")
MAX_FRAME_BYTES = 256 << 10
MAX_FIELD_COUNT = 256
MAX_OPEN_REQUEST_COUNT = 32  # on one connection
MS = 1000
CLIENT_IDLE_TIMEOUT_US = 4000 * MS  # clients close what has been idle for that long
CLOSE_RACE_US = 50 * MS  # a command that comes within that time after a close is sent again elsewhere
FIRST_MESSAGE_TIMEOUT_US = 3000 * MS  # from the connect, to whoever has sent nothing that can be used

_CALL = re.compile(r"[0-9a-f]{16}\Z")
_HEADER_VALUE = re.compile(r"[\x21-\x7e]{1,256}\Z")
_NUMBER = re.compile(r"[0-9]{1,15}(\.[0-9]{1,15})?\Z")


class FrameError(Exception):
    """The stream of frames can't be read on."""


class MessageFormatError(Exception):
    """One message that can't be used. `fault` is the answer to it, if one is owed."""

    def __init__(self, method: str, seqid: int, kind: int, why: str, *, answered: bool) -> None:
        super().__init__(why)
        self.fault = encode_fault(method, seqid, kind, why) if answered else None


class RequestFormatError(Exception):
    """A message whose fields can't be used."""


@dataclass(frozen=True, slots=True)
class ProcessRequest:
    seqid: int
    fields: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class CancelRequest:
    seqid: int  # of the command that is given up


@dataclass(frozen=True, slots=True)
class HealthProbe:
    seqid: int


@dataclass(frozen=True, slots=True)
class RequestFields:
    """What a client says of its command, in this project's units."""

    profile: int
    call_id: str
    time_left: int
    idempotency_key: str | None
    work_hint: int | None
    memory_mb: float | None


def frame_length(data: memoryview) -> int | None:
    """The length of the frame that begins here, or None while too little has come."""
    if len(data) < FRAME.size:
        return None
    (length,) = FRAME.unpack_from(data)
    if not 0 < length <= MAX_FRAME_BYTES:
        raise FrameError(f"a frame of {length} bytes")
    return int(length)


def _text_map(protocol: TBinaryProtocol) -> dict[str, str]:
    key_type, value_type, size = protocol.readMapBegin()
    if size and (key_type, value_type) != (TType.STRING, TType.STRING):
        raise TProtocolException(TProtocolException.INVALID_DATA, "a map of other types than text")
    return {protocol.readString(): protocol.readString() for _ in range(size)}


_READERS: dict[int, Any] = {
    TType.MAP: _text_map,
    TType.STRING: TBinaryProtocol.readBinary,
    TType.I32: TBinaryProtocol.readI32,
    TType.BOOL: TBinaryProtocol.readBool,
}
_ARGUMENTS = {
    "process": {1: TType.MAP, 2: TType.STRING},
    "giveUp": {1: TType.I32},
    "probe": {1: TType.BOOL},
}


def _reader(frame: bytes) -> TBinaryProtocol:
    return TBinaryProtocol(
        TMemoryBuffer(frame),
        strictRead=True,
        string_length_limit=len(frame),
        container_length_limit=MAX_FIELD_COUNT,
    )


def _arguments(
    protocol: TBinaryProtocol, known: dict[int, int], inside: dict[int, dict[int, int]] | None = None
) -> dict[int, Any]:
    """The known fields of a struct, and those of the known structs `inside` it."""
    values: dict[int, Any] = {}
    protocol.readStructBegin()
    while True:
        _, kind, number = protocol.readFieldBegin()
        if kind == TType.STOP:
            return values
        if kind == TType.STRUCT and inside and number in inside:
            values[number] = _arguments(protocol, inside[number])
        elif known.get(number) == kind:
            values[number] = _READERS[kind](protocol)
        else:
            protocol.skip(kind)


def decode(frame: bytes) -> ProcessRequest | CancelRequest | HealthProbe:
    protocol = _reader(frame)
    try:
        method, kind, seqid = protocol.readMessageBegin()
    except Exception as error:  # the codec lets errors of many kinds through
        raise FrameError(f"no message: {error!r}") from error
    if kind not in (TMessageType.CALL, TMessageType.ONEWAY):
        raise FrameError(f"a message of type {kind}")
    if method not in _ARGUMENTS:
        why, fault = "unknown method", TApplicationException.UNKNOWN_METHOD
        raise MessageFormatError(method, seqid, fault, why, answered=kind == TMessageType.CALL)
    try:
        values = _arguments(protocol, _ARGUMENTS[method])
        if method == "probe":
            return HealthProbe(seqid)
        if method == "giveUp":
            return CancelRequest(values[1])
        return ProcessRequest(seqid, values[1], values[2])
    except Exception as error:  # as above
        why, fault = f"unusable: {error!r}", TApplicationException.PROTOCOL_ERROR
        raise MessageFormatError(method, seqid, fault, why, answered=kind == TMessageType.CALL) from error


def _number(fields: dict[str, str], name: str) -> float | None:
    if name not in fields:
        return None
    if not _NUMBER.match(fields[name]):
        raise RequestFormatError(f"{name} is no number")
    return float(fields[name])


def parse_request_fields(fields: dict[str, str], deployment: Deployment) -> RequestFields:
    profile, call, mark = fields.get("op"), fields.get("call", ""), fields.get("dedupe")
    if profile not in deployment.profiles:
        raise RequestFormatError("op names no profile")
    if not _CALL.match(call):
        raise RequestFormatError("call is no id")
    if mark is not None and not _HEADER_VALUE.match(mark):
        raise RequestFormatError("dedupe is no mark")
    index = deployment.profiles.index(profile)
    if deployment.started.profiles[index].idempotency is Idempotency.IDEMPOTENT_WITH_KEY and mark is None:
        raise RequestFormatError("dedupe is missing")
    ttl, work = _number(fields, "ttl"), _number(fields, "work")
    if ttl is None:
        raise RequestFormatError("ttl is missing")
    return RequestFields(
        profile=index,
        call_id=call,
        time_left=int(ttl * MS),
        idempotency_key=mark,
        work_hint=int(work * MS) if work else None,
        memory_mb=_number(fields, "mem") or None,
    )


def _message(method: str, kind: int, seqid: int) -> TBinaryProtocol:
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


def encode_answer(method: str, seqid: int, body: bytes, good: bool) -> bytes:
    protocol = _message(method, TMessageType.REPLY, seqid)
    protocol.writeFieldBegin("success", TType.STRUCT, 0)
    protocol.writeFieldBegin("body", TType.STRING, 1)
    protocol.writeBinary(body)
    _write_map(protocol, 2, {})
    protocol.writeFieldBegin("good", TType.BOOL, 3)
    protocol.writeBool(good)
    protocol.writeFieldStop()
    protocol.writeFieldStop()
    return _frame(protocol)


def _encode_declared(seqid: int, number: int, fields: dict[str, str]) -> bytes:
    protocol = _message("process", TMessageType.REPLY, seqid)
    protocol.writeFieldBegin("exception", TType.STRUCT, number)
    _write_map(protocol, 1, fields)
    protocol.writeFieldStop()
    protocol.writeFieldStop()
    return _frame(protocol)


def encode_rejection(seqid: int, come_back_after: int) -> bytes:
    return _encode_declared(seqid, 1, {"pushback": str(come_back_after // MS)} if come_back_after else {})


def encode_failure(seqid: int, why: str) -> bytes:
    return _encode_declared(seqid, 2, {"reason": why})


def encode_fault(method: str, seqid: int, kind: int, why: str) -> bytes:
    protocol = _message(method, TMessageType.EXCEPTION, seqid)
    TApplicationException(kind, why).write(protocol)
    return _frame(protocol)


def encode_health_probe(seqid: int) -> bytes:
    protocol = _message("probe", TMessageType.CALL, seqid)
    protocol.writeFieldStop()
    return _frame(protocol)


def decode_health_probe_reply(frame: bytes) -> bool:
    protocol = _reader(frame)
    try:
        _, kind, _ = protocol.readMessageBegin()
        outer = _arguments(protocol, {}, inside={0: {3: TType.BOOL}})
        return kind == TMessageType.REPLY and bool(outer.get(0, {}).get(3))
    except Exception as error:  # the codec lets errors of many kinds through
        raise FrameError(f"no answer to a probe: {error!r}") from error
