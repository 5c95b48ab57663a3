"""Hosts many isolated gateways on the bench's wire: `python -m lotusstream.simulation`."""

from __future__ import annotations

import struct
import sys
import traceback
from collections.abc import Callable
from typing import BinaryIO

from lotusstream import interface as api
from lotusstream.policy import Gateway
from lotusstream.simulation import wire

INVENTORY, VIEW, INIT, EXIT = 6, 9, 10, 11
EVENT_CODES = range(1, 13)


class Instance:
    """One gateway and what this batch has made it do."""

    def __init__(self, decoder: wire.EventDecoder) -> None:
        self.decoder = decoder
        self.gateway = Gateway()
        self.actions: list[api.Action] = []

    def tell(self, clock: int, event: api.Event) -> None:
        self.actions += self.gateway.handle(clock, event)


class GatewayError(Exception):
    """The decision module raised an exception."""

    def __init__(self, who: int) -> None:
        super().__init__(who)
        self.who = who


class Host:
    def __init__(self) -> None:
        self._instances: dict[int, Instance] = {}
        self._lists: dict[int, tuple[api.EndpointEntry, ...]] = {}

    def answer(self, batch: wire.Batch, output: BinaryIO) -> None:
        try:
            records = self._play(batch)
        except GatewayError as error:
            traceback.print_exc()
            text = repr(error.__cause__).encode()
            wire.write_reply(output, batch, [wire.die_record(error.who, 0, len(text))], text)
        else:
            wire.write_reply(output, batch, records)

    def _play(self, batch: wire.Batch) -> list[bytes]:
        touched: dict[int, None] = {}
        for index in range(batch.count):
            code, body = batch.record(index)
            if code not in EVENT_CODES:
                raise wire.MalformedInputError(f"batch {batch.number}: unknown event code {code}")
            if code == INVENTORY:
                number, offset, count = wire.INVENTORY.unpack_from(body)
                self._lists[number] = wire.read_entries(batch, offset, count)
                continue
            (who,) = wire.WHO.unpack_from(body)
            if code == EXIT:
                self._instances.pop(who, None)
                touched.pop(who, None)
                continue
            touched[who] = None
            self._apply(batch, who, code, body)
        return self._settle(batch.clock, touched)

    def _apply(self, batch: wire.Batch, who: int, code: int, body: bytes) -> None:
        event: api.Event | None
        if code == INIT:
            _, seed, offset, length = wire.INIT.unpack_from(body)
            event, columns = wire.decode_start(seed, batch.cut(offset, length))
            self._instances[who] = Instance(wire.EventDecoder(columns))
        elif who not in self._instances:
            raise wire.MalformedInputError(
                f"batch {batch.number}: event for instance {who}, which is not running"
            )
        elif code == VIEW:
            event = self._news(batch, body)
        else:
            event = self._instances[who].decoder.decode(code, body)
        if event is not None:
            self._tell(who, batch.clock, event)

    def _news(self, batch: wire.Batch, body: bytes) -> api.EndpointListReceived:
        _, _seq, raw_kind, number = wire.VIEW.unpack_from(body)
        kind = wire.LIST_KINDS.get(raw_kind)
        if kind is None:
            raise wire.MalformedInputError(f"batch {batch.number}: unknown kind of view {raw_kind}")
        if kind is api.EndpointListKind.FAILED:
            return api.EndpointListReceived(kind, ())
        if number not in self._lists:
            raise wire.MalformedInputError(f"batch {batch.number}: list {number} was never given")
        return api.EndpointListReceived(kind, self._lists[number])

    def _tell(self, who: int, clock: int, event: api.Event) -> None:
        try:
            self._instances[who].tell(clock, event)
        except Exception as error:
            raise GatewayError(who) from error

    def _settle(self, clock: int, touched: dict[int, None]) -> list[bytes]:
        records: list[bytes] = []
        for who in touched:
            self._tell(who, clock, api.BatchEnded())
            instance = self._instances[who]
            records += [wire.encode_action(who, action) for action in instance.actions]
            instance.actions = []
        return records


def serve(source: BinaryIO, output: BinaryIO, complain: Callable[[str], object]) -> int:
    host = Host()
    try:
        while (batch := wire.read_batch(source)) is not None:
            host.answer(batch, output)
    except (wire.MalformedInputError, struct.error, ValueError, KeyError) as error:
        complain(f"lotusstream.simulation: malformed input: {error}\n")
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer, sys.stderr.write))
