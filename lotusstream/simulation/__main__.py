"""Hosts many isolated gateways for the simulator: `python -m lotusstream.simulation`.

Reads batches of events from standard input and writes replies with actions to standard output.
"""

from __future__ import annotations

import struct
import sys
import traceback
from collections.abc import Callable
from typing import BinaryIO

from lotusstream import interface as api
from lotusstream.policy import Gateway
from lotusstream.simulation import wire
from lotusstream.simulation.errors import GatewayError, MalformedInputError

EVENT_CODES = range(1, 13)  # all event codes of the wire protocol; the adapter ignores some of these events


class Instance:
    """One gateway instance and the actions that it has returned in the current batch."""

    def __init__(self, decoder: wire.EventDecoder) -> None:
        self.decoder = decoder
        self.gateway = Gateway()
        self.actions: list[api.Action] = []

    def handle(self, now: int, event: api.Event) -> None:
        """Passes an event to the gateway and collects its actions. `now`: microseconds."""
        self.actions += self.gateway.handle(now, event)


class Host:
    """Holds the gateway instances and the endpoint lists; the simulator refers to both by number."""

    def __init__(self) -> None:
        self._instances: dict[int, Instance] = {}
        self._lists: dict[int, tuple[api.EndpointEntry, ...]] = {}

    def answer(self, batch: wire.Batch, output: BinaryIO) -> None:
        """Handles a batch and writes the reply.

        If an instance raises an exception, the reply contains no actions, only the failure of that instance.

        :raises MalformedInputError: if the batch is invalid.
        """
        try:
            records = self._handle_batch(batch)
        except GatewayError as error:
            traceback.print_exc()
            text = repr(error.__cause__).encode()
            wire.write_reply(output, batch, [wire.encode_die(error.instance_id, 0, len(text))], text)
        else:
            wire.write_reply(output, batch, records)

    def _handle_batch(self, batch: wire.Batch) -> list[bytes]:
        notified: dict[int, None] = {}  # ids of the instances with events in this batch, in that order
        for index in range(batch.count):
            code, body = batch.record(index)
            if code not in EVENT_CODES:
                raise MalformedInputError(
                    f"batch {batch.number}: unknown event code {code}, expected 1 to 12"
                )
            if code == wire.EventCode.INVENTORY:
                self._on_inventory(batch, body)
                continue
            (instance_id,) = wire.INSTANCE_ID.unpack_from(body)
            if code == wire.EventCode.EXIT:
                self._instances.pop(instance_id, None)
                notified.pop(instance_id, None)
                continue
            notified[instance_id] = None
            self._apply(batch, instance_id, code, body)
        return self._end_batch(batch.clock, notified)

    def _on_inventory(self, batch: wire.Batch, body: bytes) -> None:
        number, offset, count = wire.INVENTORY.unpack_from(body)
        self._lists[number] = wire.read_entries(batch, offset, count)

    def _apply(self, batch: wire.Batch, instance_id: int, code: int, body: bytes) -> None:
        event: api.Event | None
        if code == wire.EventCode.INIT:
            event = self._start_instance(batch, instance_id, body)
        elif instance_id not in self._instances:
            raise MalformedInputError(
                f"batch {batch.number}: event for instance {instance_id}, which is not running"
            )
        elif code == wire.EventCode.VIEW:
            event = self._read_view(batch, body)
        else:
            event = self._instances[instance_id].decoder.decode(code, body)
        if event is not None:
            self._handle(instance_id, batch.clock, event)

    def _start_instance(self, batch: wire.Batch, instance_id: int, body: bytes) -> api.GatewayStarted:
        _, seed, offset, length = wire.INIT.unpack_from(body)
        started, report_columns = wire.decode_start(seed, batch.tail_slice(offset, length))
        self._instances[instance_id] = Instance(wire.EventDecoder(report_columns))
        return started

    def _read_view(self, batch: wire.Batch, body: bytes) -> api.EndpointListReceived:
        _, _sequence, raw_kind, number = wire.VIEW.unpack_from(body)
        kind = wire.LIST_KINDS.get(raw_kind)
        if kind is None:
            raise MalformedInputError(f"batch {batch.number}: unknown view kind {raw_kind}, expected 0 to 3")
        if kind is api.EndpointListKind.FAILED:
            return api.EndpointListReceived(kind, ())
        if number not in self._lists:
            raise MalformedInputError(
                f"batch {batch.number}: view of endpoint list {number}, which was not sent before"
            )
        return api.EndpointListReceived(kind, self._lists[number])

    def _handle(self, instance_id: int, now: int, event: api.Event) -> None:
        try:
            self._instances[instance_id].handle(now, event)
        except Exception as error:
            raise GatewayError(instance_id) from error

    def _end_batch(self, now: int, notified: dict[int, None]) -> list[bytes]:
        """Passes BatchEnded to the notified instances. Returns all their actions in this batch, encoded."""
        records: list[bytes] = []
        for instance_id in notified:
            self._handle(instance_id, now, api.BatchEnded())
            instance = self._instances[instance_id]
            records += [wire.encode_action(instance_id, action) for action in instance.actions]
            instance.actions = []
        return records


def serve(source: BinaryIO, output: BinaryIO, write_error: Callable[[str], object]) -> int:
    """Handles batches until the input ends. Returns the exit status: 0, or 1 after malformed input."""
    host = Host()
    try:
        while (batch := wire.read_batch(source)) is not None:
            host.answer(batch, output)
    except (MalformedInputError, struct.error, ValueError, KeyError) as error:
        write_error(f"lotusstream.simulation: malformed input: {error}\n")
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer, sys.stderr.write))
