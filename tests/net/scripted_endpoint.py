"""The base of endpoints whose responses break the protocol in one way."""

from __future__ import annotations

import asyncio
import re


class ScriptedEndpoint:
    """An endpoint whose subclass handles one call at a time in `_serve_call`."""

    def __init__(self) -> None:
        self.connections = 0  # number of connections accepted

    async def start(self) -> tuple[str, int]:
        """Listens on a free port of this machine and returns its address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return "127.0.0.1", int(self._server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while True:
                await self._serve_call(reader, writer)
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()  # also when the test ends: a writer that is collected later reports a closed loop

    async def _serve_call(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Reads one call and responds to it."""
        raise NotImplementedError


async def read_call(reader: asyncio.StreamReader) -> tuple[str, str]:
    """Reads one call. Returns its method and the id of its attempt."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    if length := re.search(r"Content-Length: (\d+)", head):
        await reader.readexactly(int(length[1]))
    call = re.search(r"X-Txn: (\w+)|/x/(\w+)", head)
    assert call is not None
    return head.split(" ", 1)[0], call[1] or call[2]
