"""Thrift messages between clients and the gateway keep their bytes, and what is understood of them."""

from __future__ import annotations

import pytest
from conftest import settings
from golden_clients import FIELDS, faults, front, written_by_clients, written_by_the_gateway
from golden_data import read_bytes

from lotusstream.deployment import read_settings

WRITTEN = {
    "client_requests": written_by_clients,
    "client_answers": written_by_the_gateway,
    "client_faults": faults,
}


@pytest.mark.parametrize("family", WRITTEN)
def test_frames_keep_their_bytes(family: str) -> None:
    assert WRITTEN[family]() == read_bytes(family)


def test_a_golden_answer_begins_with_its_length() -> None:
    for frame in read_bytes("client_answers").values():
        assert front.frame_length(memoryview(frame)) == len(frame) - front.FRAME.size


def test_requests_of_clients_are_understood() -> None:
    golden = read_bytes("client_requests")
    assert front.decode(golden["process"]) == front.ProcessRequest(7, FIELDS, b"SELECT a FROM sales_3.t")
    assert front.decode(golden["give-up"]) == front.CancelRequest(7)
    assert front.decode(golden["probe"]) == front.HealthProbe(9)


def test_answers_to_probes_are_understood() -> None:
    assert front.decode_health_probe_reply(read_bytes("client_requests")["probe-answer"])
    not_ready = read_bytes("client_answers")["probe-answer"]
    assert not front.decode_health_probe_reply(not_ready[front.FRAME.size :])


def test_fields_of_a_request_are_understood() -> None:
    fields = front.parse_request_fields(FIELDS, read_settings(1, settings()))
    assert fields == front.RequestFields(1, "00000000000000aa", 6_000_000, "m" * 32, 20_500, 96.0)


@pytest.mark.parametrize("name", ["unknown", "process-empty"])
def test_a_message_that_can_not_be_used_gets_a_fault(name: str) -> None:
    with pytest.raises(front.MessageFormatError) as caught:
        front.decode(read_bytes("client_requests")[name])
    assert caught.value.fault == read_bytes("client_faults")[name]
