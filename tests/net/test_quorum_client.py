"""Calls to the quorum that are open at the same time."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest
from conftest import EventLog

from lotusstream.leases.table import LeaseResult, PutNote
from lotusstream.net import quorum_client
from lotusstream.net.quorum_client import QuorumClient
from lotusstream.protocol import peers as wire

MEMBERS = ("a", "b", "c")
NOTE = PutNote("copies", 1, "shard/1", 2, "value")


@pytest.fixture
def requests(monkeypatch: pytest.MonkeyPatch) -> EventLog:
    """The requests that the client has sent. A request is given up after 20 ms."""
    monkeypatch.setattr(quorum_client, "QUORUM_REPLY_TIMEOUT_S", 0.02)
    return EventLog()


@pytest.fixture
def client(requests: EventLog) -> QuorumClient:
    links: dict[str, Any] = {name: SimpleNamespace(put=requests.add) for name in MEMBERS}
    return QuorumClient("d", MEMBERS, links, None, lambda _event: None)


async def test_requests_of_calls_that_are_open_at_once_have_different_ids(
    client: QuorumClient, requests: EventLog
) -> None:
    """One call learns that it has asked no leader, while another one gets no reply. Both then asked with the
    same id, and one of them took the other's reply: a note counted as stored that was not."""
    note = asyncio.create_task(client.put_note(NOTE))
    view = asyncio.create_task(client.read_lease_table())
    first = await requests.until(lambda request: isinstance(request, wire.LeaseOperationRequest))
    client.on_reply(wire.QuorumReply(first.number, False, None, "", "not the leader", None))
    await asyncio.gather(note, view)
    numbers = [request.number for request in requests.items]
    assert len(numbers) > 4 and len(set(numbers)) == len(numbers)


async def test_late_reply_to_a_request_that_was_given_up_is_not_taken_for_another(
    client: QuorumClient, requests: EventLog
) -> None:
    """The reply of the first node comes when the second one has been asked. It belongs to another request."""
    note = asyncio.create_task(client.put_note(NOTE))
    second = await requests.until(lambda request: True, 2)
    client.on_reply(wire.QuorumReply(requests.items[0].number, False, None, "", "not the leader", None))
    stored = LeaseResult(True, "copies", "a", 1)
    client.on_reply(wire.QuorumReply(second.number, True, stored, "b", "", None))
    assert await note == "" and len(requests.items) == 2


async def test_note_without_a_result_is_not_taken_for_stored(
    client: QuorumClient, requests: EventLog
) -> None:
    """A reply that only says that a view was read must not count as the agreement of the quorum."""
    note = asyncio.create_task(client.put_note(NOTE))
    request = await requests.until(lambda request: True)
    client.on_reply(wire.QuorumReply(request.number, True, None, "a", "", {}))
    assert await note
