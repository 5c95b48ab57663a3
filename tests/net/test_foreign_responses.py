"""Responses to another attempt's calls must not be taken for an attempt's own."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import AsyncIterator
from types import SimpleNamespace
from typing import Any

import pytest
from conftest import EventLog, StandInEndpoint, http_answer
from scripted_endpoint import ScriptedEndpoint, read_call
from test_rare_moments import MS, S, run_attempt

from lotusstream import interface as api
from lotusstream.lab.stand_ins import Call
from lotusstream.net.actor import Supervisor
from lotusstream.net.clock import Clock
from lotusstream.net.connection import MAX_RESULTS_PER_CONNECTION, SocketBudget
from lotusstream.net.endpoint import EndpointActor
from lotusstream.protocol import http

ATTEMPT_COUNT = 150
DUPLICATE_SHARE = 0.3  # of the responses that an endpoint sends a second time
MAX_DUPLICATE_DELAY_S = 0.5
RUN_S = (0.0, 0.12)  # shortest and longest time that an attempt runs
LONG_POLL_S = 0.03


def rows_of(call_id: str) -> bytes:
    return f"{call_id}\tx\ty\n".encode()


class RepeatingEndpoint(ScriptedEndpoint):
    """An endpoint that runs each attempt for some time, and sends some of its responses a second time, up to
    half a second late."""

    def __init__(self, seed: int) -> None:
        super().__init__()
        self._random = random.Random(seed)
        self._ends_at: dict[str, float] = {}
        self.duplicate_count = 0

    async def _serve_call(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._write(writer, await self._response(*await read_call(reader)))

    async def _response(self, method: str, call_id: str) -> bytes:
        now = asyncio.get_running_loop().time()
        ends_at = self._ends_at.setdefault(call_id, now + self._random.uniform(*RUN_S))
        if method == "DELETE":
            return http_answer(204)
        await asyncio.sleep(min(LONG_POLL_S, max(0.0, ends_at - now)))
        if now + LONG_POLL_S < ends_at:
            return http_answer(202)
        return http_answer(200, rows_of(call_id), Result_Pages=1, Query_Cost=7, Query_Need=1)

    def _write(self, writer: asyncio.StreamWriter, response: bytes) -> None:
        writer.write(response)
        if self._random.random() < DUPLICATE_SHARE:
            self.duplicate_count += 1
            delay = self._random.uniform(0, MAX_DUPLICATE_DELAY_S)
            asyncio.get_running_loop().call_later(delay, self._write_late, writer, response)

    @staticmethod
    def _write_late(writer: asyncio.StreamWriter, response: bytes) -> None:
        if not writer.is_closing():
            writer.write(response)


@pytest.mark.parametrize("seed", [1, 2, 3])
async def test_late_second_responses_give_no_client_the_rows_of_another(seed: int) -> None:
    """A duplicate shifts the responses on a connection, so that the last one of an attempt is still to come
    when the connection is reused. The next attempt believed it: a client got another client's rows."""
    endpoint, reports, supervisor = RepeatingEndpoint(seed), EventLog(), Supervisor()
    address = await endpoint.start()
    actor = EndpointActor(
        b"s-1", address, SocketBudget(64), 250 * MS, 30 * S, Clock(), reports.add, supervisor
    )
    actor.start()
    for number in range(ATTEMPT_COUNT):
        actor.post(run_attempt(number, Clock()))
        await asyncio.sleep(0.01)
    await reports.until(lambda report: report.outcome is not None, ATTEMPT_COUNT)
    ended = [report for report in reports.items if report.outcome is api.Outcome.ANSWERED]
    foreign = [report.attempt for report in ended if report.rows != rows_of(f"{report.attempt:016x}")]
    assert not foreign and len(ended) == ATTEMPT_COUNT and endpoint.duplicate_count
    await supervisor.stop()


@pytest.fixture
async def endpoint() -> AsyncIterator[Any]:
    stand_in, reports, supervisor = StandInEndpoint("s-1"), EventLog(), Supervisor()
    await stand_in.start()
    address, budget = ("127.0.0.1", stand_in.port), SocketBudget(8)
    actor = EndpointActor(b"s-1", address, budget, 250 * MS, 30 * S, Clock(), reports.add, supervisor)
    actor.start()
    yield SimpleNamespace(actor=actor, stand_in=stand_in, reports=reports, supervisor=supervisor)
    await supervisor.stop()
    stand_in.close()


async def test_attempt_reset_before_a_response_does_not_get_the_result_of_another_with_its_id(
    endpoint: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A misbehaving client uses the id of a request that another gateway has sent to the same endpoint, and
    the connection of its own attempt is reset. The gateway asked for the result by the id, and served the
    other client's rows."""
    respond = StandInEndpoint.respond

    async def reset_attempts(stand_in: StandInEndpoint, call: Call) -> bytes | None:
        if call.method == "POST":
            for writer in stand_in._writers:
                writer.transport.abort()
            return None
        return await respond(stand_in, call)  # a call by the id gets the other client's rows

    monkeypatch.setattr(StandInEndpoint, "respond", reset_attempts)
    endpoint.actor.post(run_attempt(0, Clock()))
    ended = await endpoint.reports.until(lambda report: True)
    assert ended.outcome is api.Outcome.RESET and ended.rows is None


async def test_connection_that_has_carried_many_results_is_replaced(endpoint: Any) -> None:
    """A connection remembers its results to recognize their duplicates. Without a limit, a connection in
    constant use would take more and more memory."""
    costs = itertools.count(1)
    for number in range(MAX_RESULTS_PER_CONNECTION + 1):
        endpoint.stand_in.pages = [f"{next(costs)}\tb\tc\n".encode()]
        endpoint.actor.post(run_attempt(number, Clock()))
        await endpoint.reports.until(lambda report, number=number: report.attempt == number)
        await asyncio.sleep(1.2 * http.DUPLICATE_RESPONSE_DELAY_US / S)
    assert endpoint.stand_in.connections == 2


class TruncatingEndpoint(ScriptedEndpoint):
    """An endpoint that writes its result row by row, and claims the length of the first row."""

    ROWS = (b"1\ta\tb\n", b"2\ta\tb\n")

    async def _serve_call(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_call(reader)
        writer.write(http_answer(200, self.ROWS[0], Result_Pages=1, Query_Cost=1, Query_Need=1))
        await asyncio.sleep(0.005)
        writer.write(self.ROWS[1])


async def test_result_with_a_length_that_ends_at_an_earlier_row_is_not_believed() -> None:
    """An endpoint claims a Content-Length that is too short and ends at a row's end. The remaining rows
    arrive later than the response is read, and the client gets a result that lacks them."""
    endpoint, reports, supervisor = TruncatingEndpoint(), EventLog(), Supervisor()
    address = await endpoint.start()
    actor = EndpointActor(
        b"s-1", address, SocketBudget(8), 250 * MS, 30 * S, Clock(), reports.add, supervisor
    )
    actor.start()
    actor.post(run_attempt(0, Clock(), time_left=300 * MS))
    ended = await reports.until(lambda report: True)
    await supervisor.stop()
    assert ended.rows in (None, b"".join(endpoint.ROWS))
