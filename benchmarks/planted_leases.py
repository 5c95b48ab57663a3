"""Defects planted in the quorum and the leases: the simulation has to detect each of them."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from typing import Any
from unittest import mock

from lotusstream.lab import virtual
from lotusstream.lab.virtual import LeaseScenario, play
from lotusstream.lab.world import InvariantViolationError
from lotusstream.leases import holder, table
from lotusstream.leases.expiry import LeaseExpiryTracker, LeaseTiming
from lotusstream.quorum import events, messages
from lotusstream.quorum.election import Election
from lotusstream.quorum.read_index import ReadIndex
from lotusstream.quorum.replicated_log import ReplicatedLog
from lotusstream.quorum.state import RaftState

SCENARIO = LeaseScenario()


@dataclass(frozen=True, slots=True)
class PlantedDefect:
    """A defect that the simulation has to detect."""

    name: str  # description of the defect
    inject: Callable[[], contextlib.AbstractContextManager[Any]]  # returns a context with the defect
    scenario: LeaseScenario = SCENARIO  # scenario of a run that exposes the defect


def _reply_before_fsync() -> Any:
    """Votes and acknowledgements are sent before the records behind them are synced."""
    send = RaftState.send

    def send_at_once(
        self: RaftState, name: str, incarnation: str, message: Any, *, after_persist: bool
    ) -> None:
        send(self, name, incarnation, message, after_persist=False)

    return mock.patch.object(RaftState, "send", send_at_once)


def _lease_counted_from_reply() -> Any:
    """The holder counts the lease from the arrival of the reply, not from the sending of the request."""
    on_reply = holder.LeaseHolder._on_reply

    def count_from_reply(self: holder.LeaseHolder, event: holder.LeaseReplyReceived) -> None:
        for each in self._tasks.values():
            if each.pending_number == event.number:
                each.sent_at = self._now
        on_reply(self, event)

    return mock.patch.object(holder.LeaseHolder, "_on_reply", count_from_reply)


def _no_safety_margin() -> Any:
    """Holders act until the end of the lease by their own clock, without a safety margin."""
    new_holder = virtual.LeaseSimulation._new_holder

    def holder_without_margin(self: virtual.LeaseSimulation, node: virtual.HolderNode) -> holder.LeaseHolder:
        created = new_holder(self, node)
        created._timing = replace(self.scenario.lease_timing, safety_margin_us=0)
        return created

    return mock.patch.object(virtual.LeaseSimulation, "_new_holder", holder_without_margin)


def _half_is_majority() -> Any:
    """Half of the voters count as a majority."""

    def is_half(self: RaftState, incarnations: set[str]) -> bool:
        voters = [member.incarnation for member in self.voters()]
        return 2 * sum(voter in incarnations for voter in voters) >= len(voters)

    return mock.patch.object(RaftState, "is_majority", is_half)


def _wiped_disk_votes() -> Any:
    """A node with a wiped disk comes back under its old incarnation and keeps its vote."""

    def keep_incarnation(self: virtual.LeaseSimulation) -> None:
        node = self._any_quorum_node()
        if not self._is_complete():
            return
        assert node.service is not None
        raft_node = node.service.node
        first = raft_node.log.snapshot
        self.stop_node(node)
        node.disk = virtual.VirtualDisk()
        founders = messages.Snapshot(0, 0, first.cluster_id, first.members)
        node.disk.synced = [
            messages.IncarnationRecord(raft_node.incarnation),
            messages.SnapshotRecord(founders),
        ]
        self.restart_later(node, 100_000)

    no_copy_check = mock.patch("lotusstream.quorum.join.is_older_copy", lambda mine, heard: False)
    stack = contextlib.ExitStack()
    stack.enter_context(mock.patch.object(virtual.LeaseSimulation, "_fault_wipe", keep_incarnation))
    stack.enter_context(no_copy_check)
    return stack


def _older_copy_votes() -> Any:
    """A node with an older copy of its disk keeps its vote."""
    return mock.patch("lotusstream.quorum.join.is_older_copy", lambda mine, heard: False)


def _read_without_quorum() -> Any:
    """A leader completes reads without confirming with a quorum that it still leads."""

    def complete_at_once(self: ReadIndex) -> None:
        leading = self._state.leading
        for read in leading.pending_reads:
            self._state.emit(events.CompleteRequest(read.ticket))
        leading.pending_reads = []

    return mock.patch.object(ReadIndex, "complete_reads", complete_at_once)


def _snapshot_without_token_counter() -> Any:
    """The counter of fencing tokens starts at 1 again when a snapshot is loaded."""
    load = table.LeaseTable.load.__func__  # type: ignore[attr-defined]

    def load_without_counter(cls: Any, state: bytes) -> table.LeaseTable:
        created: table.LeaseTable = load(cls, state)
        created._next_token = 1
        return created

    return mock.patch.object(table.LeaseTable, "load", classmethod(load_without_counter))


def _renewed_lease_expires() -> Any:
    """The leader expires a lease although it was renewed meanwhile."""
    expired_leases = LeaseExpiryTracker.expired_leases

    def ignore_renewals(
        self: LeaseExpiryTracker, now: int, term: int, leases: table.LeaseTable
    ) -> list[table.ExpireLease]:
        for task, seen in self._observed.items():
            if (lease := leases.leases.get(task)) is not None and lease.token == seen.token:
                seen.renewal_count = lease.renewal_count
        return expired_leases(self, now, term, leases)

    return mock.patch.object(LeaseExpiryTracker, "expired_leases", ignore_renewals)


def _no_log_check() -> Any:
    """A node votes for any candidate, even one whose log is behind."""
    on_request_vote = Election.on_request_vote

    def ignore_the_log(
        self: Election, envelope: messages.RaftEnvelope, request: messages.RequestVote
    ) -> None:
        up_to_date = messages.RequestVote(
            request.term, 10**9, 10**9, request.is_pre_vote, request.is_transfer
        )
        on_request_vote(self, envelope, up_to_date)

    return mock.patch.object(Election, "on_request_vote", ignore_the_log)


def _conflicting_entries_stay() -> Any:
    """A follower keeps log entries that conflict with those of the leader."""
    return mock.patch.object(ReplicatedLog, "truncate_from", lambda self, first: None)


FREQUENT_FAULTS = replace(
    SCENARIO, faults=("crash", "cut", "one-way", "disk"), fault_interval_us=400_000, loss_probability=0.05
)
MANY_HOLDERS = replace(
    SCENARIO,
    holders=10,
    lease_timing=LeaseTiming(2_000_000, 200_000, 0.05),
    faults=("stop", "one-way", "cut"),
    fault_interval_us=300_000,
    delay_probability=0.2,
)
FREQUENT_COMPACTION = replace(
    SCENARIO,
    faults=("crash", "unwant"),
    fault_interval_us=400_000,
    raft_timing=replace(SCENARIO.raft_timing, compaction_entry_count=4),
)
PLANTED = (
    PlantedDefect(
        "reply before fsync",
        _reply_before_fsync,
        replace(
            FREQUENT_FAULTS,
            faults=("crash",),
            quorum_crash_probability=0.7,
            max_sync_us=300_000,
            fault_interval_us=300_000,
        ),
    ),
    PlantedDefect("lease counted from the reply", _lease_counted_from_reply, MANY_HOLDERS),
    PlantedDefect(
        "no safety margin",
        _no_safety_margin,
        replace(MANY_HOLDERS, faults=("cut",), fault_interval_us=1_500_000),
    ),
    PlantedDefect("half is a majority", _half_is_majority, replace(FREQUENT_FAULTS, quorum_size=4)),
    PlantedDefect(
        "a wiped disk votes", _wiped_disk_votes, replace(SCENARIO, faults=("wipe", "one-way", "cut"))
    ),
    PlantedDefect(
        "an older copy of a disk votes", _older_copy_votes, replace(SCENARIO, faults=("rollback", "cut"))
    ),
    PlantedDefect(
        "a read without a quorum", _read_without_quorum, replace(MANY_HOLDERS, read_interval_us=50_000)
    ),
    PlantedDefect("a snapshot loses the token counter", _snapshot_without_token_counter, FREQUENT_COMPACTION),
    PlantedDefect("a renewed lease expires", _renewed_lease_expires),
    PlantedDefect("a vote without a log check", _no_log_check, FREQUENT_FAULTS),
    PlantedDefect("conflicting entries stay", _conflicting_entries_stay, FREQUENT_FAULTS),
)


def detecting_seed(planted: PlantedDefect, seeds: int) -> tuple[int, str] | None:
    """Returns the first seed that detects the defect, and the error; None if no seed does."""
    with planted.inject():
        for seed in range(seeds):
            try:
                play(seed, planted.scenario)
            except InvariantViolationError as error:
                return seed, str(error)
            except (AssertionError, ValueError, IndexError) as error:
                return seed, f"seed {seed}: {type(error).__name__}"
    return None


def detect_all(seeds: int) -> Iterator[tuple[str, tuple[int, str] | None]]:
    """Yields the name of each planted defect with the result of `detecting_seed`."""
    for planted in PLANTED:
        yield planted.name, detecting_seed(planted, seeds)
