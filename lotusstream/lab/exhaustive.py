"""Every order of events in a small scope: three keepers, so many time-outs, proposals, crashes, losses.

States that were seen are not gone through again, so the search ends. At each it is looked at that a term has
one leader and that all apply the same. Hellos are left out: they tell older disks, and there is none here.
Lines keep their order, as connections do; a loss takes all that is on one. The seeds play words out of order.
"""

from __future__ import annotations

import pickle
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any

import msgspec

from lotusstream.lab.world import Broken
from lotusstream.quorum import events as ev
from lotusstream.quorum import messages as ms
from lotusstream.quorum.node import RaftNode
from lotusstream.quorum.replicated_log import PersistedState
from lotusstream.quorum.state import Role
from lotusstream.quorum.timing import RaftTiming

PACE = RaftTiming(100, 1000)
NAMES = ("a", "b", "c")


@dataclass(frozen=True, slots=True)
class Scope:
    """How many of each there may be. `states`: where a search ends early, and says so."""

    timeouts: int = 3
    proposals: int = 1
    crashes: int = 1
    losses: int = 0
    states: int = 20_000


@dataclass(slots=True)
class World:
    keepers: list[RaftNode]
    disks: list[list[ms.RaftRecord]]
    nows: list[int]
    flying: list[bytes]
    left: Scope
    applied: dict[int, bytes]
    leaders: dict[int, str]
    trail: tuple[str, ...] = ()


@dataclass(slots=True)
class Found:
    states: int
    whole: bool
    broken: str | None = None


def begun(scope: Scope) -> World:
    members = tuple(ms.Member(name, f"d{name}") for name in NAMES)
    disks: list[list[ms.RaftRecord]] = [
        [ms.IncarnationRecord(f"d{name}"), ms.SnapshotRecord(ms.Snapshot(0, 0, "g", members))]
        for name in NAMES
    ]
    keepers = [_begun(name, disk) for name, disk in zip(NAMES, disks, strict=True)]
    return World(keepers, disks, [0, 0, 0], [], scope, {}, {})


def _begun(name: str, disk: list[ms.RaftRecord]) -> RaftNode:
    keeper = RaftNode(name, PersistedState(disk), "", NAMES, PACE, 1, 0)
    keeper.state.is_verified = True  # that its disk is no older copy is not what is looked at here
    return keeper


class Search:
    def __init__(self, scope: Scope) -> None:
        self._scope = scope

    def run(self) -> Found:
        first = begun(self._scope)
        seen, todo = {self._print(first)}, deque([pickle.dumps(first)])
        while todo:
            frozen = todo.popleft()
            for step in self._steps(pickle.loads(frozen)):
                world: World = pickle.loads(frozen)
                try:
                    self._take(world, step)
                except Broken as error:
                    return Found(len(seen), False, f"{error}; after {', '.join(world.trail)}")
                mark = self._print(world)
                if mark in seen:
                    continue
                if len(seen) >= self._scope.states:
                    return Found(len(seen), False)
                seen.add(mark)
                todo.append(pickle.dumps(world))
        return Found(len(seen), True)

    def _steps(self, world: World) -> Iterator[tuple[str, int]]:
        left, lines = world.left, set[tuple[str, str]]()
        for at, word in enumerate(world.flying):
            line = _line(word)
            if line not in lines:
                lines.add(line)
                yield "deliver", at
                if left.losses:
                    yield "lose", at
        for at, keeper in enumerate(world.keepers):
            if left.timeouts and keeper.role != Role.LEADER:
                yield "time-out", at
            if left.proposals and keeper.role == Role.LEADER:
                yield "propose", at
            if left.crashes:
                yield "crash", at
                yield "crash-unsaved", at

    def _take(self, world: World, step: tuple[str, int]) -> None:
        kind, at = step
        world.trail = (*world.trail, f"{kind} {at}")
        match kind:
            case "deliver":
                envelope = _ENVELOPES.decode(world.flying.pop(at))
                self._tell(world, NAMES.index(envelope.recipient), ev.MessageReceived(envelope))
            case "lose":
                world.left = replace(world.left, losses=world.left.losses - 1)
                lost = _line(world.flying[at])
                world.flying = [word for word in world.flying if _line(word) != lost]
            case "time-out":
                world.left = replace(world.left, timeouts=world.left.timeouts - 1)
                world.nows[at] += 10 * PACE.election_timeout_us
                self._tell(world, at, ev.RaftTimeAdvanced())
            case "propose":
                world.left = replace(world.left, proposals=world.left.proposals - 1)
                self._tell(world, at, ev.ProposalSubmitted(1, b"x"))
            case _:
                world.left = replace(world.left, crashes=world.left.crashes - 1)
                if kind == "crash-unsaved" and world.flying:
                    # as if it had ended before the sync of its next word: that word was never said
                    envelope = _ENVELOPES.decode(world.flying[-1])
                    self._tell(
                        world, NAMES.index(envelope.recipient), ev.MessageReceived(envelope), saves=False
                    )
                world.nows[at] = 0
                world.keepers[at] = _begun(NAMES[at], world.disks[at])

    def _tell(self, world: World, at: int, event: ev.RaftEvent, saves: bool = True) -> None:
        keeper = world.keepers[at]
        todo: deque[Any] = deque(keeper.handle(world.nows[at], event))
        while todo:
            match todo.popleft():
                case ev.PersistRecords(number, records, rewrite):
                    if not saves:
                        world.keepers[at] = _begun(NAMES[at], world.disks[at])
                        return
                    world.disks[at] = [*([] if rewrite else world.disks[at]), *records]
                    todo += keeper.handle(world.nows[at], ev.RecordsPersisted(number))
                case ev.SendMessage(envelope) if not isinstance(
                    envelope.message, ms.JoinRequest | ms.JoinReply
                ):
                    word = msgspec.msgpack.encode(envelope)
                    if word not in world.flying:
                        world.flying.append(word)
                case ev.ApplyEntry(index, kind, data, _):
                    told = bytes([kind]) + data
                    if world.applied.setdefault(index, told) != told:
                        raise Broken(f"{keeper.name} applied something else at {index}")
        if keeper.role == Role.LEADER and world.leaders.setdefault(keeper.term, keeper.name) != keeper.name:
            raise Broken(f"term {keeper.term} has two leaders")

    @staticmethod
    def _print(world: World) -> bytes:
        """What tells one state from another; the way there does not."""
        keepers = [_fingerprint(each, now) for each, now in zip(world.keepers, world.nows, strict=True)]
        left = world.left
        bounds = (left.timeouts, left.proposals, left.crashes, left.losses)
        return msgspec.msgpack.encode((keepers, sorted(world.flying, key=_line), bounds))


def _fingerprint(node: RaftNode, now: int) -> tuple[Any, ...]:
    """What tells one state of a node from another."""
    state = node.state
    entries = [(entry.term, int(entry.kind), entry.data) for entry in state.log.entries_after(0, 1 << 30)]
    followers = sorted(
        (
            incarnation,
            progress.next_index,
            progress.match_index,
            progress.is_in_flight,
            progress.last_in_flight_index,
        )
        for incarnation, progress in state.leading.followers.items()
    )
    return (
        state.role.value,
        state.term,
        state.voted_for,
        state.leader,
        state.commit_index,
        sorted(state.candidate.votes),
        entries,
        followers,
        state.follower.heard_leader_at == now,
    )


_ENVELOPES: msgspec.msgpack.Decoder[ms.RaftEnvelope] = msgspec.msgpack.Decoder(ms.RaftEnvelope)


def _line(word: bytes) -> tuple[str, str]:
    envelope = _ENVELOPES.decode(word)
    return envelope.sender, envelope.recipient
