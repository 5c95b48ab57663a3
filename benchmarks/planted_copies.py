"""Defects planted in the replication of idempotency records: the simulation has to detect each of them."""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any
from unittest import mock

from lotusstream.copies.assignment_policy import AssignmentPolicy
from lotusstream.copies.catch_up import CatchUpSender
from lotusstream.copies.claim_events import AttemptRequested, DeliverAnswer, EndpointAnswered, RequestEnded
from lotusstream.copies.idempotency import ClaimCoordinator, ClaimPhase
from lotusstream.copies.messages import IdempotencyRecord, PositionReply, RecordState, ShardAssignment
from lotusstream.copies.primary import PrimaryRole
from lotusstream.copies.replica_context import ReplicaContext, ReplicaOutbox
from lotusstream.copies.replica_events import ClaimRequested
from lotusstream.copies.shard_replica import ShardReplica
from lotusstream.copies.shards import shard_of
from lotusstream.lab.replication.scenario import ReplicationScenario
from lotusstream.lab.replication.world import ReplicationSimulation, play
from lotusstream.lab.world import InvariantViolationError

SCENARIO = ReplicationScenario()


@dataclass(frozen=True, slots=True)
class PlantedDefect:
    """A defect that the simulation has to detect."""

    name: str  # description of the defect
    inject: Callable[[], contextlib.AbstractContextManager[Any]]  # returns a context with the defect
    scenario: ReplicationScenario = SCENARIO  # scenario of a run that exposes the defect


def _one_disk_commits() -> Any:
    """An operation is committed once the primary's own disk has it."""
    advance = PrimaryRole.advance

    def advance_without_backups(self: PrimaryRole, shard: ShardReplica) -> None:
        acknowledged = shard.acknowledged
        shard.acknowledged = dict.fromkeys(shard.followers(), 1 << 60)
        advance(self, shard)
        shard.acknowledged = acknowledged

    return mock.patch.object(PrimaryRole, "advance", advance_without_backups)


def _acknowledge_before_sync() -> Any:
    """A backup acknowledges an operation before it has written it to its log."""
    return mock.patch.object(ReplicaOutbox, "send_when_persisted", ReplicaOutbox.send)


def _no_lease() -> Any:
    """A primary continues to act after its lease has expired."""
    return mock.patch.object(ReplicaContext, "has_lease", property(lambda self: True))


def _joining_replica_counts() -> Any:
    """A replica that is still catching up may become primary."""
    repaired = AssignmentPolicy.repaired

    def repaired_with_joining(self: AssignmentPolicy, known: ShardAssignment) -> ShardAssignment | None:
        return repaired(self, with_joining_as_backups(known))

    return mock.patch.object(AssignmentPolicy, "repaired", repaired_with_joining)


def with_joining_as_backups(known: ShardAssignment) -> ShardAssignment:
    """Return the assignment with all joining replicas as backups."""
    backups = (*known.backups, *known.joining)
    return ShardAssignment(known.shard, known.epoch, known.primary, known.session, backups)


def _wiped_disk_counts() -> Any:
    """A lost disk comes back empty under its old name, and therefore counts as a replica."""

    def lose(self: ReplicationSimulation) -> None:
        node = self.rng.choice(list(self.gateways.values()))
        self.stop_node(node)
        node.disk = type(node.disk)()
        self.restart_later(node, 200_000)

    return mock.patch.object(ReplicationSimulation, "_fault_lose", lose)


def _uncommitted_record_answered() -> Any:
    """A primary answers from a record that is not committed yet."""
    writable_shard = PrimaryRole._writable_shard

    def writable_and_readable(self: PrimaryRole, ticket: int, key: str) -> ShardReplica | None:
        shard = writable_shard(self, ticket, key)
        if shard is not None:
            shard.uncommitted_keys.pop(key, None)
        return shard

    return mock.patch.object(PrimaryRole, "_writable_shard", writable_and_readable)


def _lagging_backup_counts() -> Any:
    """A backup counts as up to date as soon as its catch-up starts."""
    start = CatchUpSender.start

    def start_and_count(self: CatchUpSender, shard: ShardReplica, to: Any, reply: PositionReply) -> None:
        start(self, shard, to, reply)
        shard.acknowledged[to] = shard.position.sequence

    return mock.patch.object(CatchUpSender, "start", start_and_count)


def _sent_before_commit() -> Any:
    """An attempt is sent before its claim is committed."""
    request_claim = ClaimCoordinator._request_claim

    def claim_and_release(
        self: ClaimCoordinator, state: Any, previous_owner: str, executing_since: int
    ) -> None:
        request_claim(self, state, previous_owner, executing_since)
        state.claim = state.wanted
        if state.waiting_attempt is not None:
            self._actions.append(state.release_attempt())

    return mock.patch.object(ClaimCoordinator, "_request_claim", claim_and_release)


def _answered_before_commit() -> Any:
    """A client gets its answer before the record of it is committed."""
    on_endpoint_answered = ClaimCoordinator._on_endpoint_answered

    def deliver_at_once(self: ClaimCoordinator, event: EndpointAnswered) -> None:
        on_endpoint_answered(self, event)
        self._actions.append(DeliverAnswer(event.request, event.answer))

    return mock.patch.object(ClaimCoordinator, "_on_endpoint_answered", deliver_at_once)


def _repeat_treated_as_new() -> Any:
    """A gateway replaces another one's claim without a report to the decision module.

    The request may then be sent to another endpoint zone than before.
    """
    on_already_recorded = ClaimCoordinator._on_already_recorded

    def replace_silently(self: ClaimCoordinator, state: Any, record: IdempotencyRecord) -> None:
        if state.phase is ClaimPhase.CLAIMING and record.state is RecordState.SENT:
            self._request_claim(state, record.owner, record.executing_since)
        else:
            on_already_recorded(self, state, record)

    return mock.patch.object(ClaimCoordinator, "_on_already_recorded", replace_silently)


def _old_claim_kept() -> Any:
    """An attempt at other endpoints is sent under a claim that names the endpoints of the first attempt."""
    on_attempt_requested = ClaimCoordinator._on_attempt_requested

    def release_with_old_claim(self: ClaimCoordinator, attempt: AttemptRequested) -> None:
        state = self._states.get(attempt.request)
        if state is not None and state.claim is not None:
            state.newest_attempt = attempt
            state.waiting_attempt = attempt.attempt
            self._actions.append(state.release_attempt())
        else:
            on_attempt_requested(self, attempt)

    return mock.patch.object(ClaimCoordinator, "_on_attempt_requested", release_with_old_claim)


def _any_claim_replaces() -> Any:
    """A primary replaces a claim without comparing its owner with the previous owner in the request."""
    on_claim_requested = PrimaryRole.on_claim_requested

    def claim_always(self: PrimaryRole, request: ClaimRequested) -> None:
        shard = self._context.shard(shard_of(request.record.key, self._context.options.shard_count))
        known = shard.records.get(request.record.key)
        owner = known.owner if known is not None else request.previous_owner
        on_claim_requested(self, replace(request, previous_owner=owner))

    return mock.patch.object(PrimaryRole, "on_claim_requested", claim_always)


def _released_after_execution() -> Any:
    """A claim is released although its request may have been executed."""
    on_request_ended = ClaimCoordinator._on_request_ended

    def release_always(self: ClaimCoordinator, event: RequestEnded) -> None:
        on_request_ended(self, replace(event, may_have_executed=False, unfinished_attempts=frozenset()))

    return mock.patch.object(ClaimCoordinator, "_on_request_ended", release_always)


DISK_LOSSES = replace(SCENARIO, faults=("lose", "lose", "crash", "cut"), fault_interval_us=500_000)
POWER_LOSSES = replace(SCENARIO, faults=("power", "lose", "lose"), fault_interval_us=350_000)
PARTITIONS = replace(
    SCENARIO, faults=("cut", "stop"), fault_interval_us=1_000_000, client_timeout_us=3_000_000,
    repeat_probability=0.9, clients=24, single_execution_probability=0.5, max_attempt_us=400_000,
    lost_answer_probability=0.0, unexecuted_probability=0.0,
)  # fmt: skip
REPEATS_DURING_POWER_LOSSES = replace(
    SCENARIO, faults=("power",), fault_interval_us=900_000, max_sync_us=300_000, client_timeout_us=500_000,
    clients=16, repeat_probability=0.7, single_execution_probability=1.0, max_attempt_us=200_000,
    lost_answer_probability=0.0, unexecuted_probability=0.0,
)  # fmt: skip
FREQUENT_REPEATS = replace(
    SCENARIO, repeat_probability=0.7, client_timeout_us=700_000, unexecuted_probability=0.4, clients=6
)
PLANTED = (
    PlantedDefect("an attempt is sent before its claim is committed", _sent_before_commit, FREQUENT_REPEATS),
    PlantedDefect("an answer is delivered before it is committed", _answered_before_commit, FREQUENT_REPEATS),
    PlantedDefect("a repeat is treated as a new request", _repeat_treated_as_new, FREQUENT_REPEATS),
    PlantedDefect("another attempt keeps the old claim", _old_claim_kept, FREQUENT_REPEATS),
    PlantedDefect("a claim replaces any other claim", _any_claim_replaces, FREQUENT_REPEATS),
    PlantedDefect("a claim is released after an execution", _released_after_execution, FREQUENT_REPEATS),
    PlantedDefect("one disk is enough to commit", _one_disk_commits, DISK_LOSSES),
    PlantedDefect(
        "a backup acknowledges before its sync",
        _acknowledge_before_sync,
        replace(POWER_LOSSES, max_sync_us=300_000),
    ),
    PlantedDefect("a primary acts without a lease", _no_lease, PARTITIONS),
    PlantedDefect("a joining replica becomes primary", _joining_replica_counts, DISK_LOSSES),
    PlantedDefect("a wiped disk counts as a replica", _wiped_disk_counts, DISK_LOSSES),
    PlantedDefect(
        "an uncommitted record is answered", _uncommitted_record_answered, REPEATS_DURING_POWER_LOSSES
    ),
    PlantedDefect(  # without anti-entropy, which would repair the lagging backup
        "a lagging backup counts as up to date",
        _lagging_backup_counts,
        replace(
            DISK_LOSSES,
            loss_probability=0.2,
            replication=replace(DISK_LOSSES.replication, anti_entropy_interval=0),
        ),
    ),
)


def detecting_seed(planted: PlantedDefect, seeds: int) -> tuple[int, str] | None:
    """Returns the first seed that detects the defect, and the error; None if no seed does.

    An error that only reports a lack of progress does not count.
    """
    with planted.inject():
        for seed in range(seeds):
            try:
                play(seed, planted.scenario)
            except InvariantViolationError as error:
                if "though all" not in str(error) and "hardly" not in str(error):
                    return seed, str(error)
            except (AssertionError, ValueError, IndexError, KeyError) as error:
                return seed, f"seed {seed}: {type(error).__name__}"
    return None
