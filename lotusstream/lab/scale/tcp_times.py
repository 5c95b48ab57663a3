"""When the kernel received or sent the last bytes of a TCP connection.

On a busy machine, a process reads bytes long after they arrived: it has to wait for a processor first. The
kernel, in TCP_INFO, records the times of the bytes themselves.
"""

from __future__ import annotations

import asyncio
import socket
import struct
import sys
import time
from dataclasses import dataclass

# Longest timer tick of a Linux kernel, seconds. TCP_INFO counts ticks, so its ages are wrong by one at most.
TICK_SECONDS = 0.01
_AGES = struct.Struct("=44xIIII")  # milliseconds since: data sent, ack sent (always 0), data and ack received


@dataclass(frozen=True, slots=True)
class TcpAges:
    """Time since a connection last sent and received data, as the kernel counts it: up to TICK_SECONDS too
    long or too short."""

    sent: float  # seconds
    received: float  # seconds


def tcp_ages(transport: asyncio.BaseTransport) -> TcpAges | None:
    """Returns the ages of a connection's last data; None if the socket is closed, or on other systems than
    Linux."""
    if not sys.platform.startswith("linux"):
        return None
    sock = transport.get_extra_info("socket")
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _AGES.size)
    except OSError:
        return None
    sent_ms, _, received_ms, _ = _AGES.unpack(info)
    return TcpAges(sent_ms / 1000, received_ms / 1000)


def arrival_time(transport: asyncio.BaseTransport) -> float:
    """Returns when the bytes that were just read arrived, Unix seconds, and never an earlier time.

    It is the current time, less the time for which the bytes waited unread if that exceeds TICK_SECONDS.
    """
    # The age is read first: if the process loses its processor in between, the result is too late.
    ages = tcp_ages(transport)
    unread = ages.received - TICK_SECONDS if ages is not None else 0.0
    return time.time() - max(0.0, unread)


def write_delay(transport: asyncio.BaseTransport, since: float) -> float:
    """Returns how long after `since`, in Unix seconds, the bytes that were just written were sent.

    The result is in seconds and never too long. It is 0 for delays up to TICK_SECONDS.
    """
    # The time is read first: if the process loses its processor in between, the result is too short.
    now = time.time()
    ages = tcp_ages(transport)
    return max(0.0, now - ages.sent - TICK_SECONDS - since) if ages is not None else 0.0
