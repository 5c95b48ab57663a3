"""The file format of a log: a header, then frames that each hold a length, a checksum and a payload."""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass

from lotusstream.wal.errors import CorruptLogError, NewerLogError

MAGIC = b"LSLOG\x00"
VERSION = 1
HEADER = struct.Struct("!6sHI")  # magic, version, CRC-32 of both
FRAME = struct.Struct("!II")  # length of the payload in bytes, CRC-32 of length and payload
LENGTH_BYTES = 4  # size of the length field at the start of a frame
MAX_PAYLOAD_BYTES = 1 << 20
RESTORE_HINT = "restore it from a backup, or move it away to start with an empty log"


def encode_header(version: int = VERSION) -> bytes:
    """Return the header of a log in this version of the format."""
    header_bytes = MAGIC + version.to_bytes(2, "big")
    return HEADER.pack(MAGIC, version, zlib.crc32(header_bytes))


def check_header(data: bytes, path: str) -> None:
    """Check that a file starts with the header of a log in a format version that this program can read.

    :raises CorruptLogError: the header is missing or damaged.
    :raises NewerLogError: the log was written by a later version of this program.
    """
    if len(data) < HEADER.size or data[: len(MAGIC)] != MAGIC:
        raise CorruptLogError(path, "no log of this program", "choose another file", 0)
    _, version, checksum = HEADER.unpack_from(data)
    if checksum != zlib.crc32(data[: len(MAGIC) + 2]):
        raise CorruptLogError(path, "the file header is damaged", RESTORE_HINT, len(MAGIC))
    if version > VERSION:
        hint = "start the program version that wrote it, or a later one"
        raise NewerLogError(path, f"format version is {version}, expected {VERSION} or lower", hint)


def encode_frame(payload: bytes) -> bytes:
    """Return the frame of a payload.

    :raises ValueError: the payload is empty or longer than `MAX_PAYLOAD_BYTES`.
    """
    if not 0 < len(payload) <= MAX_PAYLOAD_BYTES:
        raise ValueError(f"payload has {len(payload)} bytes, expected 1 to {MAX_PAYLOAD_BYTES}")
    length = len(payload).to_bytes(LENGTH_BYTES, "big")
    return FRAME.pack(len(payload), zlib.crc32(payload, zlib.crc32(length))) + payload


def decode_frame(data: bytes, offset: int) -> bytes | None:
    """Return the payload of the frame at `offset`, or None if there is no intact frame."""
    if offset + FRAME.size > len(data):
        return None
    length, checksum = FRAME.unpack_from(data, offset)
    payload = data[offset + FRAME.size : offset + FRAME.size + length]
    if not 0 < length <= MAX_PAYLOAD_BYTES or len(payload) < length:
        return None
    actual = zlib.crc32(payload, zlib.crc32(data[offset : offset + LENGTH_BYTES]))
    return payload if actual == checksum else None


@dataclass(frozen=True, slots=True)
class DecodedLog:
    """The contents of a log file."""

    payloads: list[bytes]
    end: int  # position in bytes of the end of the last intact frame; a torn write may follow it


def decode_log(data: bytes, path: str) -> DecodedLog:
    """Return all frames of a file.

    Unreadable bytes at the end are a torn write, which a crash can leave. Unreadable bytes with an intact
    frame after them prove damage, since the only writer appends frames in order.

    :raises CorruptLogError: an intact frame follows unreadable bytes.
    """
    offset = HEADER.size
    payloads: list[bytes] = []
    while (payload := decode_frame(data, offset)) is not None:
        payloads.append(payload)
        offset += FRAME.size + len(payload)
    for later_offset in range(offset + 1, len(data) - FRAME.size):
        if decode_frame(data, later_offset) is not None:
            problem = f"damaged at byte {offset}, with intact frames after it"
            raise CorruptLogError(path, problem, RESTORE_HINT, offset)
    return DecodedLog(payloads, offset)
