"""Clients that send messages which never end: `python -m lotusstream.lab.unfinished_messages PORT COUNT`.

They run in a process of their own, since they send as fast as they can. It ends when the gateway has ended.
"""

from __future__ import annotations

import asyncio
import contextlib
import sys
from collections.abc import AsyncIterator

from lotusstream.protocol import front

CLAIMED_BYTES = 262_000  # length that a message claims
FIRST_BYTES = 255_000  # bytes of it that are sent at once
NEXT_BYTE_SECONDS = 0.2  # pause between two further bytes
RECONNECT_SECONDS = 0.05  # pause after a connection was closed


@contextlib.asynccontextmanager
async def unfinished_messages(port: int, count: int) -> AsyncIterator[None]:
    """Runs the clients in a process of their own while the block is executed."""
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "lotusstream.lab.unfinished_messages", str(port), str(count))
    )
    try:
        yield
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()


async def send_unfinished_messages(port: int) -> None:
    """Sends a message that does not end, and another one on a new connection after each close. Returns when
    the port refuses connections."""
    message = front.FRAME.pack(CLAIMED_BYTES) + bytes(FIRST_BYTES)
    while True:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
        except ConnectionRefusedError:
            return
        except OSError:
            await asyncio.sleep(RECONNECT_SECONDS)
            continue
        writer.write(message)
        with contextlib.suppress(OSError):
            await _send_slowly(reader, writer)
        writer.transport.abort()
        await asyncio.sleep(RECONNECT_SECONDS)


async def _send_slowly(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Sends a byte at a time, until the gateway closes the connection or the message is almost complete."""
    for _ in range(CLAIMED_BYTES - FIRST_BYTES - 1):
        await writer.drain()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(NEXT_BYTE_SECONDS):
                await reader.read(1)
        if reader.at_eof():
            return
        writer.write(b"\0")


async def _run(port: int, count: int) -> None:
    await asyncio.gather(*[send_unfinished_messages(port) for _ in range(count)])


if __name__ == "__main__":
    asyncio.run(_run(int(sys.argv[1]), int(sys.argv[2])))
