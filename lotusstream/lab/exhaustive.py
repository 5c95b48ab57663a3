"""Model checking of Raft: explores every order of events of three nodes, within bounds on their number.

A state that was seen before is not explored again, so the search ends. After each step a term must have at
most one leader, and all nodes must apply the same entries. Join requests are left out: they detect older
copies of a disk, which do not occur here. Messages of one connection arrive in order, as with TCP, and a loss
drops all that are in flight on it. The seeded simulation in lab/virtual.py delivers messages out of order.
"""

from __future__ import annotations

import pickle
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any

import msgspec

from lotusstream.lab.world import InvariantViolationError
from lotusstream.quorum import events, messages
from lotusstream.quorum.node import RaftNode
from lotusstream.quorum.replicated_log import PersistedState
from lotusstream.quorum.state import Role
from lotusstream.quorum.timing import RaftTiming

RAFT_TIMING = RaftTiming(100, 1000)
NAMES = ("a", "b", "c")


@dataclass(frozen=True, slots=True)
class Scope:
    """Bounds of a search: the largest number of events of each kind, which may occur in any order."""

    timeouts: int = 3  # largest number of election timeouts
    proposals: int = 1  # largest number of entries that are proposed to a leader
    crashes: int = 1  # largest number of node crashes
    # largest number of connection losses; each one drops all messages in flight on one connection
    losses: int = 0
    states: int = 20_000  # number of distinct states after which the search ends incomplete


@dataclass(slots=True)
class SearchState:
    """One state of the search. Lists by node are in the order of NAMES."""

    nodes: list[RaftNode]
    disks: list[list[messages.RaftRecord]]  # synced records on the disk of each node
    clocks: list[int]  # reading of each node's clock, in microseconds
    in_flight: list[bytes]  # encoded envelopes that were neither delivered nor lost, in the order of sending
    remaining: Scope  # numbers of events that may still occur, by kind
    applied: dict[int, bytes]  # kind and data of the applied entry, by log index
    leaders: dict[int, str]  # name of the leader, by term
    # events from the initial state to this one, such as "deliver 0", for the report of a violation
    steps: tuple[str, ...] = ()


@dataclass(slots=True)
class SearchResult:
    """The result of a search."""

    states: int  # number of distinct states found
    is_complete: bool  # whether all states within the scope were explored
    # the violated invariant and the events before the violation; None: no invariant was violated
    violation: str | None = None


def initial_state(scope: Scope) -> SearchState:
    """Returns the state before the first event: three nodes that have just started, with empty logs."""
    members = tuple(messages.Member(name, f"d{name}") for name in NAMES)
    disks: list[list[messages.RaftRecord]] = [
        [
            messages.IncarnationRecord(f"d{name}"),
            messages.SnapshotRecord(messages.Snapshot(0, 0, "g", members)),
        ]
        for name in NAMES
    ]
    nodes = [_start_node(name, disk) for name, disk in zip(NAMES, disks, strict=True)]
    return SearchState(nodes, disks, [0, 0, 0], [], scope, {}, {})


def _start_node(name: str, disk: list[messages.RaftRecord]) -> RaftNode:
    """Starts a node from the records on its disk."""
    node = RaftNode(name, PersistedState(disk), "", NAMES, RAFT_TIMING, 1, 0)
    node.state.is_verified = True  # no node has an older copy of its disk here
    return node


class Search:
    """Explores all orders of events within a scope, shortest first."""

    def __init__(self, scope: Scope) -> None:
        self._scope = scope

    def run(self) -> SearchResult:
        """Explores until an invariant is violated, the limit of states is reached, or no state is left."""
        initial = initial_state(self._scope)
        seen, todo = {self._fingerprint(initial)}, deque([pickle.dumps(initial)])
        while todo:
            pickled = todo.popleft()
            for step in self._steps(pickle.loads(pickled)):
                state: SearchState = pickle.loads(pickled)
                try:
                    self._apply_step(state, step)
                except InvariantViolationError as error:
                    return SearchResult(len(seen), False, f"{error}; after {', '.join(state.steps)}")
                fingerprint = self._fingerprint(state)
                if fingerprint in seen:
                    continue
                if len(seen) >= self._scope.states:
                    return SearchResult(len(seen), False)
                seen.add(fingerprint)
                todo.append(pickle.dumps(state))
        return SearchResult(len(seen), True)

    def _steps(self, state: SearchState) -> Iterator[tuple[str, int]]:
        """Yields the events that may occur next: each kind with the index of its message or node."""
        remaining, connections = state.remaining, set[tuple[str, str]]()
        for at, message in enumerate(state.in_flight):
            connection = _connection_of(message)
            if connection not in connections:
                connections.add(connection)
                yield "deliver", at
                if remaining.losses:
                    yield "lose", at
        for at, node in enumerate(state.nodes):
            if remaining.timeouts and node.role != Role.LEADER:
                yield "time-out", at
            if remaining.proposals and node.role == Role.LEADER:
                yield "propose", at
            if remaining.crashes:
                yield "crash", at
                yield "crash-unsaved", at

    def _apply_step(self, state: SearchState, step: tuple[str, int]) -> None:
        """Changes the state by one event."""
        kind, at = step
        state.steps = (*state.steps, f"{kind} {at}")
        match kind:
            case "deliver":
                envelope = _ENVELOPES.decode(state.in_flight.pop(at))
                self._handle_event(state, NAMES.index(envelope.recipient), events.MessageReceived(envelope))
            case "lose":
                state.remaining = replace(state.remaining, losses=state.remaining.losses - 1)
                lost_connection = _connection_of(state.in_flight[at])
                state.in_flight = [
                    message for message in state.in_flight if _connection_of(message) != lost_connection
                ]
            case "time-out":
                state.remaining = replace(state.remaining, timeouts=state.remaining.timeouts - 1)
                state.clocks[at] += 10 * RAFT_TIMING.election_timeout_us
                self._handle_event(state, at, events.RaftTimeAdvanced())
            case "propose":
                state.remaining = replace(state.remaining, proposals=state.remaining.proposals - 1)
                self._handle_event(state, at, events.ProposalSubmitted(1, b"x"))
            case _:
                state.remaining = replace(state.remaining, crashes=state.remaining.crashes - 1)
                if kind == "crash-unsaved" and state.in_flight:
                    # the recipient of the newest message crashes too, before the sync that its reply needs
                    envelope = _ENVELOPES.decode(state.in_flight[-1])
                    self._handle_event(
                        state, NAMES.index(envelope.recipient), events.MessageReceived(envelope), syncs=False
                    )
                state.clocks[at] = 0
                state.nodes[at] = _start_node(NAMES[at], state.disks[at])

    def _handle_event(self, state: SearchState, at: int, event: events.RaftEvent, syncs: bool = True) -> None:
        """Passes an event to a node and carries out its actions.

        `syncs`: False: the node crashes, and restarts, when it first has to write records.
        """
        node = state.nodes[at]
        todo: deque[Any] = deque(node.handle(state.clocks[at], event))
        while todo:
            match todo.popleft():
                case events.PersistRecords(number, records, rewrite):
                    if not syncs:
                        state.nodes[at] = _start_node(NAMES[at], state.disks[at])
                        return
                    state.disks[at] = [*([] if rewrite else state.disks[at]), *records]
                    todo += node.handle(state.clocks[at], events.RecordsPersisted(number))
                case events.SendMessage(envelope) if not isinstance(
                    envelope.message, messages.JoinRequest | messages.JoinReply
                ):
                    message = msgspec.msgpack.encode(envelope)
                    if message not in state.in_flight:
                        state.in_flight.append(message)
                case events.ApplyEntry(index, kind, data, _):
                    entry = bytes([kind]) + data
                    if state.applied.setdefault(index, entry) != entry:
                        raise InvariantViolationError(
                            f"{node.name} applied another entry at index {index} than before"
                        )
        if node.role == Role.LEADER and state.leaders.setdefault(node.term, node.name) != node.name:
            raise InvariantViolationError(f"term {node.term} has two leaders")

    @staticmethod
    def _fingerprint(state: SearchState) -> bytes:
        """Returns a key of the state. It leaves out the steps, so that a state that several orders of events
        lead to is explored once."""
        nodes = [_fingerprint(each, now) for each, now in zip(state.nodes, state.clocks, strict=True)]
        remaining = state.remaining
        bounds = (remaining.timeouts, remaining.proposals, remaining.crashes, remaining.losses)
        return msgspec.msgpack.encode((nodes, sorted(state.in_flight, key=_connection_of), bounds))


def _fingerprint(node: RaftNode, now: int) -> tuple[Any, ...]:
    """Returns the part of the key that describes one node. `now`: the node's clock, microseconds."""
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


_ENVELOPES: msgspec.msgpack.Decoder[messages.RaftEnvelope] = msgspec.msgpack.Decoder(messages.RaftEnvelope)


def _connection_of(message: bytes) -> tuple[str, str]:
    """Returns the names of the sender and the recipient of an encoded envelope."""
    envelope = _ENVELOPES.decode(message)
    return envelope.sender, envelope.recipient
