"""Every order of events in a small scope: three Raft nodes with a few time-outs, proposals, crashes, losses.

States that were seen are not explored again, so the search ends. After each step a term must have one
leader and all nodes must apply the same. Join requests are left out: they detect older copies of a disk, and
there is none here. Each connection keeps its order, as TCP does; a loss takes all that is on one. The seeded
runs deliver messages out of order.
"""

from __future__ import annotations

import pickle
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any

import msgspec

from lotusstream.lab.world import InvariantViolationError
from lotusstream.quorum import events as ev
from lotusstream.quorum import messages as ms
from lotusstream.quorum.node import RaftNode
from lotusstream.quorum.replicated_log import PersistedState
from lotusstream.quorum.state import Role
from lotusstream.quorum.timing import RaftTiming

RAFT_TIMING = RaftTiming(100, 1000)
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
    nodes: list[RaftNode]
    disks: list[list[ms.RaftRecord]]
    nows: list[int]
    in_flight: list[bytes]
    remaining: Scope
    applied: dict[int, bytes]
    leaders: dict[int, str]
    trail: tuple[str, ...] = ()


@dataclass(slots=True)
class SearchResult:
    states: int
    is_complete: bool
    violation: str | None = None


def initial_world(scope: Scope) -> World:
    members = tuple(ms.Member(name, f"d{name}") for name in NAMES)
    disks: list[list[ms.RaftRecord]] = [
        [ms.IncarnationRecord(f"d{name}"), ms.SnapshotRecord(ms.Snapshot(0, 0, "g", members))]
        for name in NAMES
    ]
    nodes = [_start_node(name, disk) for name, disk in zip(NAMES, disks, strict=True)]
    return World(nodes, disks, [0, 0, 0], [], scope, {}, {})


def _start_node(name: str, disk: list[ms.RaftRecord]) -> RaftNode:
    node = RaftNode(name, PersistedState(disk), "", NAMES, RAFT_TIMING, 1, 0)
    node.state.is_verified = True  # that its disk is no older copy is not what is looked at here
    return node


class Search:
    def __init__(self, scope: Scope) -> None:
        self._scope = scope

    def run(self) -> SearchResult:
        first = initial_world(self._scope)
        seen, todo = {self._fingerprint(first)}, deque([pickle.dumps(first)])
        while todo:
            frozen = todo.popleft()
            for step in self._steps(pickle.loads(frozen)):
                world: World = pickle.loads(frozen)
                try:
                    self._apply_step(world, step)
                except InvariantViolationError as error:
                    return SearchResult(len(seen), False, f"{error}; after {', '.join(world.trail)}")
                mark = self._fingerprint(world)
                if mark in seen:
                    continue
                if len(seen) >= self._scope.states:
                    return SearchResult(len(seen), False)
                seen.add(mark)
                todo.append(pickle.dumps(world))
        return SearchResult(len(seen), True)

    def _steps(self, world: World) -> Iterator[tuple[str, int]]:
        left, lines = world.remaining, set[tuple[str, str]]()
        for at, word in enumerate(world.in_flight):
            line = _connection_of(word)
            if line not in lines:
                lines.add(line)
                yield "deliver", at
                if left.losses:
                    yield "lose", at
        for at, node in enumerate(world.nodes):
            if left.timeouts and node.role != Role.LEADER:
                yield "time-out", at
            if left.proposals and node.role == Role.LEADER:
                yield "propose", at
            if left.crashes:
                yield "crash", at
                yield "crash-unsaved", at

    def _apply_step(self, world: World, step: tuple[str, int]) -> None:
        kind, at = step
        world.trail = (*world.trail, f"{kind} {at}")
        match kind:
            case "deliver":
                envelope = _ENVELOPES.decode(world.in_flight.pop(at))
                self._handle_event(world, NAMES.index(envelope.recipient), ev.MessageReceived(envelope))
            case "lose":
                world.remaining = replace(world.remaining, losses=world.remaining.losses - 1)
                lost = _connection_of(world.in_flight[at])
                world.in_flight = [word for word in world.in_flight if _connection_of(word) != lost]
            case "time-out":
                world.remaining = replace(world.remaining, timeouts=world.remaining.timeouts - 1)
                world.nows[at] += 10 * RAFT_TIMING.election_timeout_us
                self._handle_event(world, at, ev.RaftTimeAdvanced())
            case "propose":
                world.remaining = replace(world.remaining, proposals=world.remaining.proposals - 1)
                self._handle_event(world, at, ev.ProposalSubmitted(1, b"x"))
            case _:
                world.remaining = replace(world.remaining, crashes=world.remaining.crashes - 1)
                if kind == "crash-unsaved" and world.in_flight:
                    # as if it had ended before the sync of its next word: that word was never said
                    envelope = _ENVELOPES.decode(world.in_flight[-1])
                    self._handle_event(
                        world, NAMES.index(envelope.recipient), ev.MessageReceived(envelope), saves=False
                    )
                world.nows[at] = 0
                world.nodes[at] = _start_node(NAMES[at], world.disks[at])

    def _handle_event(self, world: World, at: int, event: ev.RaftEvent, saves: bool = True) -> None:
        node = world.nodes[at]
        todo: deque[Any] = deque(node.handle(world.nows[at], event))
        while todo:
            match todo.popleft():
                case ev.PersistRecords(number, records, rewrite):
                    if not saves:
                        world.nodes[at] = _start_node(NAMES[at], world.disks[at])
                        return
                    world.disks[at] = [*([] if rewrite else world.disks[at]), *records]
                    todo += node.handle(world.nows[at], ev.RecordsPersisted(number))
                case ev.SendMessage(envelope) if not isinstance(
                    envelope.message, ms.JoinRequest | ms.JoinReply
                ):
                    word = msgspec.msgpack.encode(envelope)
                    if word not in world.in_flight:
                        world.in_flight.append(word)
                case ev.ApplyEntry(index, kind, data, _):
                    told = bytes([kind]) + data
                    if world.applied.setdefault(index, told) != told:
                        raise InvariantViolationError(f"{node.name} applied something else at {index}")
        if node.role == Role.LEADER and world.leaders.setdefault(node.term, node.name) != node.name:
            raise InvariantViolationError(f"term {node.term} has two leaders")

    @staticmethod
    def _fingerprint(world: World) -> bytes:
        """What tells one state from another; the way there does not."""
        nodes = [_fingerprint(each, now) for each, now in zip(world.nodes, world.nows, strict=True)]
        left = world.remaining
        bounds = (left.timeouts, left.proposals, left.crashes, left.losses)
        return msgspec.msgpack.encode((nodes, sorted(world.in_flight, key=_connection_of), bounds))


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


def _connection_of(word: bytes) -> tuple[str, str]:
    envelope = _ENVELOPES.decode(word)
    return envelope.sender, envelope.recipient
