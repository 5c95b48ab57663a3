"""An endpoint in a process of its own, which a test can stop and continue: `endpoint_process.py BACKLOG`.

It prints its port, then a line for each POST that it reads (`begun ID`) and for each statement that it has
run to its end (`executed ID`). The last number in a statement is the time that it runs, in seconds.
"""

from __future__ import annotations

import asyncio
import re
import sys


class Endpoint:
    """Runs statements. A DELETE that is read after the POST ends one; it has no effect before."""

    def __init__(self) -> None:
        self._running: dict[str, asyncio.Task[None]] = {}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers the calls of one connection."""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                length = re.search(r"(?i)content-length: (\d+)", head)
                body = await reader.readexactly(int(length[1]) if length else 0)
                writer.write(await self._answer(head, body.decode()))
        except (asyncio.IncompleteReadError, OSError):
            writer.close()

    async def _answer(self, head: str, body: str) -> bytes:
        found = re.search(r"(?i)x-txn: (\w+)|/x/(\w+)", head)
        assert found is not None
        call_id = found[1] or found[2]
        if head.startswith("DELETE"):
            if call_id in self._running:
                self._running[call_id].cancel()
            return b"HTTP/1.1 204 X\r\nContent-Length: 0\r\n\r\n"
        if head.startswith("POST"):
            print("begun", call_id, flush=True)
            self._running[call_id] = asyncio.create_task(self._run(call_id, _seconds(body)))
        elif call_id not in self._running:
            return b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"
        await asyncio.wait([self._running[call_id]], timeout=0.25)
        return self._news(self._running[call_id])

    @staticmethod
    def _news(task: asyncio.Task[None]) -> bytes:
        if not task.done():
            return b"HTTP/1.1 202 X\r\nContent-Length: 0\r\n\r\n"
        if task.cancelled():
            return b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"
        report = b"Result-Pages: 1\r\nQuery-Cost: 1\r\nQuery-Need: 1\r\n"
        return b"HTTP/1.1 200 X\r\nContent-Length: 6\r\n" + report + b"\r\na\tb\tc\n"

    async def _run(self, call_id: str, seconds: float) -> None:
        await asyncio.sleep(seconds)
        print("executed", call_id, flush=True)


def _seconds(statement: str) -> float:
    return float(re.findall(r"[0-9.]+", statement)[-1])


async def main(backlog: int) -> None:
    """Serves until the process is killed."""
    server = await asyncio.start_server(Endpoint().serve, "127.0.0.1", 0, backlog=backlog)
    print("port", server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1])))
