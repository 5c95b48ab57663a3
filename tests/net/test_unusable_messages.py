"""Clients that send unusable messages at full speed must not keep other clients from their answers."""

from __future__ import annotations

import asyncio
import struct
import time

import pytest
from conftest import WAIT_TIMEOUT_S, StandInClient, World

from lotusstream.net.message_pause import (
    MAX_PAUSE_S,
    MAX_PAUSE_WITH_REQUESTS_S,
    MessagePause,
)
from lotusstream.protocol import front

BAD_CLIENT_COUNT = 60
FIELD_COUNT = 60_000
TIME_TO_LIVE_MS = 1000
LATEST_ANSWER_S = 1.5  # an answer later than half a second after its time is lost

HEADER = struct.pack("!Ii", 0x80010001, 7) + b"process" + struct.pack("!i", 1)
STOP = b"\0"
BOOL_FIELD = struct.pack("!bhb", 2, 9, 1)  # an unknown field of one byte
MAP_OF_255 = struct.pack("!bhbbi", 13, 1, 11, 11, 255) + 510 * struct.pack("!i", 0)
LIST_OF_200 = struct.pack("!bhbi", 15, 9, 2, 200) + bytes(200)

MANY_VALUES = {
    "fields": FIELD_COUNT * BOOL_FIELD,
    "maps": 100 * MAP_OF_255,
    "lists": 1000 * LIST_OF_200,
    "structs": 20_000 * (struct.pack("!bh", 12, 9) + BOOL_FIELD + STOP),
}


@pytest.mark.parametrize("kind", MANY_VALUES)
def test_message_of_very_many_small_values_is_rejected(kind: str) -> None:
    """Decoding 64,000 small unknown fields took 0.15 s, in which the gateway served no other client."""
    with pytest.raises(front.MessageFormatError, match="more than 512 values") as raised:
        front.decode(HEADER + MANY_VALUES[kind] + STOP)
    assert raised.value.fault is not None


def test_message_of_a_full_map_and_some_unknown_fields_is_accepted() -> None:
    """Clients of a later version may send more fields than this version knows."""
    body = struct.pack("!bhi", 11, 2, 1) + b"x"
    message = front.decode(HEADER + MAP_OF_255 + 100 * BOOL_FIELD + body + STOP)
    assert message == front.ProcessRequest(1, {"": ""}, b"x")


async def send_again_and_again(client: StandInClient) -> None:
    """Sends a message of very many short fields, and the next one as soon as it is refused."""
    while True:
        client.seqid += 1
        header = HEADER[:-4] + struct.pack("!i", client.seqid)
        client.answers[client.seqid] = asyncio.get_running_loop().create_future()
        client.raw(header + MANY_VALUES["fields"] + STOP)
        await asyncio.wait_for(client.answers.pop(client.seqid), WAIT_TIMEOUT_S)


async def test_usual_requests_are_answered_in_time_beside_messages_of_many_short_fields(world: World) -> None:
    """60 clients send such messages without a pause. Each took 0.15 s of the gateway's processor, so that
    usual requests were rejected or answered seconds late."""
    usual = await world.start()
    bad = [asyncio.create_task(send_again_and_again(await world.client())) for _ in range(BAD_CLIENT_COUNT)]
    for _ in range(10):
        began = time.monotonic()
        await usual.answer(usual.ask(ttl=str(TIME_TO_LIVE_MS)))
        assert time.monotonic() - began < LATEST_ANSWER_S
        await asyncio.sleep(0.1)
    for each in bad:
        each.cancel()


def test_pause_grows_with_unusable_messages_and_ends_with_a_valid_one() -> None:
    """A client that only sends unusable messages is read less and less often; one that has open requests is
    read soon, so that it can withdraw them."""
    pause = MessagePause()
    assert pause.seconds(has_open_requests=False) == 0
    for _ in range(20):
        pause.count_unusable()
    assert pause.seconds(has_open_requests=False) == MAX_PAUSE_S
    assert pause.seconds(has_open_requests=True) == MAX_PAUSE_WITH_REQUESTS_S
    pause.count_valid()
    assert pause.seconds(has_open_requests=False) == 0


async def test_time_of_a_request_counts_from_its_arrival_during_a_pause(world: World) -> None:
    """A request that arrives while the gateway pauses after unusable messages is read up to half a second
    later. Its time would otherwise begin only then, and its answer could come after it."""
    client = await world.start()
    world.endpoints[0].behavior = "holds"
    for _ in range(10):
        client.seqid += 1
        client.answers[client.seqid] = asyncio.get_running_loop().create_future()
        client.raw(HEADER[:-4] + struct.pack("!i", client.seqid) + MANY_VALUES["fields"] + STOP)
        await asyncio.wait_for(client.answers[client.seqid], WAIT_TIMEOUT_S)
    client.ask(ttl="3000")
    await world.endpoints[0].calls.until(lambda call: call.method == "POST")
    (post,) = world.endpoints[0].posts()
    assert int(post.headers["x-limit-ms"]) < 3000 - 1000 * MAX_PAUSE_S / 2
