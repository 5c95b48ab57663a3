"""Defects planted on purpose in the copies: each has to be caught by the seeds."""

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
from lotusstream.lab.replication.world import ReplicationWorld, play
from lotusstream.lab.world import InvariantViolationError

SCENE = ReplicationScenario()


@dataclass(frozen=True, slots=True)
class PlantedDefect:
    name: str
    breaks: Callable[[], contextlib.AbstractContextManager[Any]]
    scene: ReplicationScenario = SCENE


def _one_disk_is_enough() -> Any:
    """An operation is committed once the primary's own disk has it."""
    advance = PrimaryRole.advance

    def advance_without_backups(self: PrimaryRole, shard: ShardReplica) -> None:
        acknowledged = shard.acknowledged
        shard.acknowledged = dict.fromkeys(shard.followers(), 1 << 60)
        advance(self, shard)
        shard.acknowledged = acknowledged

    return mock.patch.object(PrimaryRole, "advance", advance_without_backups)


def _before_its_own_disk() -> Any:
    """A backup acknowledges an operation before it has written it to its log."""
    return mock.patch.object(ReplicaOutbox, "send_when_persisted", ReplicaOutbox.send)


def _no_lease() -> Any:
    """A primary that is cut off goes on as one."""
    return mock.patch.object(ReplicaContext, "has_lease", property(lambda self: True))


def _joining_counts_at_once() -> Any:
    """A replica that catches up may become primary."""
    repaired = AssignmentPolicy.repaired

    def repaired_with_joining(self: AssignmentPolicy, known: ShardAssignment) -> ShardAssignment | None:
        return repaired(self, with_joining_as_backups(known))

    return mock.patch.object(AssignmentPolicy, "repaired", repaired_with_joining)


def with_joining_as_backups(known: ShardAssignment) -> ShardAssignment:
    """Return the assignment with all joining replicas as backups."""
    backups = (*known.backups, *known.joining)
    return ShardAssignment(known.shard, known.epoch, known.primary, known.session, backups)


def _wiped_disk_counts() -> Any:
    """A lost disk comes back empty under its old name."""

    def lose(self: ReplicationWorld) -> None:
        node = self.draw.choice(list(self.gateways.values()))
        self.down(node)
        node.disk = type(node.disk)()
        self.back(node, 200_000)

    return mock.patch.object(ReplicationWorld, "_fault_lose", lose)


def _unpromised_is_told() -> Any:
    """A client is told of a record that is not on all disks yet."""
    writable_shard = PrimaryRole._writable_shard

    def writable_and_readable(self: PrimaryRole, ticket: int, key: str) -> ShardReplica | None:
        shard = writable_shard(self, ticket, key)
        if shard is not None:
            shard.uncommitted_keys.pop(key, None)
        return shard

    return mock.patch.object(PrimaryRole, "_writable_shard", writable_and_readable)


def _repair_from_what_is_behind() -> Any:
    """A backup that lags counts as up to date."""
    start = CatchUpSender.start

    def start_and_count(self: CatchUpSender, shard: ShardReplica, to: Any, reply: PositionReply) -> None:
        start(self, shard, to, reply)
        shard.acknowledged[to] = shard.position.sequence

    return mock.patch.object(CatchUpSender, "start", start_and_count)


def _sent_before_the_promise() -> Any:
    """An attempt leaves while its claim is under way."""
    request_claim = ClaimCoordinator._request_claim

    def claim_and_release(
        self: ClaimCoordinator, state: Any, previous_owner: str, executing_since: int
    ) -> None:
        request_claim(self, state, previous_owner, executing_since)
        state.claim = state.wanted
        if state.waiting_attempt is not None:
            self._release_attempt(state)

    return mock.patch.object(ClaimCoordinator, "_request_claim", claim_and_release)


def _answered_before_it_is_held() -> Any:
    """A client gets its answer before that is stored."""
    on_endpoint_answered = ClaimCoordinator._on_endpoint_answered

    def deliver_at_once(self: ClaimCoordinator, event: EndpointAnswered) -> None:
        on_endpoint_answered(self, event)
        self._actions.append(DeliverAnswer(event.request, event.answer))

    return mock.patch.object(ClaimCoordinator, "_on_endpoint_answered", deliver_at_once)


def _a_repeat_is_new() -> Any:
    """Another gateway's claim is replaced without a report to the decisions: sent wherever it was to go."""
    on_already_recorded = ClaimCoordinator._on_already_recorded

    def replace_silently(self: ClaimCoordinator, state: Any, record: IdempotencyRecord) -> None:
        if state.phase is ClaimPhase.CLAIMING and record.state is RecordState.SENT:
            self._request_claim(state, record.owner, record.executing_since)
        else:
            on_already_recorded(self, state, record)

    return mock.patch.object(ClaimCoordinator, "_on_already_recorded", replace_silently)


def _moved_without_a_word() -> Any:
    """The claim goes on naming the endpoints of the first attempt."""
    on_attempt_requested = ClaimCoordinator._on_attempt_requested

    def release_with_old_claim(self: ClaimCoordinator, attempt: AttemptRequested) -> None:
        state = self._states.get(attempt.request)
        if state is not None and state.claim is not None:
            state.newest_attempt = attempt
            state.waiting_attempt = attempt.attempt
            self._release_attempt(state)
        else:
            on_attempt_requested(self, attempt)

    return mock.patch.object(ClaimCoordinator, "_on_attempt_requested", release_with_old_claim)


def _any_claim_takes_over() -> Any:
    """A primary that does not compare the previous owner before it replaces a claim."""
    on_claim_requested = PrimaryRole.on_claim_requested

    def claim_always(self: PrimaryRole, request: ClaimRequested) -> None:
        shard = self._context.shard(shard_of(request.record.key, self._context.options.shard_count))
        known = shard.records.get(request.record.key)
        owner = known.owner if known is not None else request.previous_owner
        on_claim_requested(self, replace(request, previous_owner=owner))

    return mock.patch.object(PrimaryRole, "on_claim_requested", claim_always)


def _taken_back_though_it_ran() -> Any:
    """A claim is released although its request may have been executed."""
    on_request_ended = ClaimCoordinator._on_request_ended

    def release_always(self: ClaimCoordinator, event: RequestEnded) -> None:
        on_request_ended(self, replace(event, may_have_executed=False, unfinished_attempts=frozenset()))

    return mock.patch.object(ClaimCoordinator, "_on_request_ended", release_always)


HARD = replace(SCENE, faults=("lose", "lose", "crash", "cut"), fault_every=500_000)
POWER = replace(SCENE, faults=("power", "lose", "lose"), fault_every=350_000)
CUTS = replace(
    SCENE, faults=("cut", "stop"), fault_every=1_000_000, patience=3_000_000, repeat=0.9, clients=24,
    once=0.5, work=400_000, mute=0.0, unrun=0.0,
)  # fmt: skip
ASKED = replace(
    SCENE, faults=("power",), fault_every=900_000, sync=300_000, patience=500_000, clients=16, repeat=0.7,
    once=1.0, work=200_000, mute=0.0, unrun=0.0,
)  # fmt: skip
AGAIN = replace(SCENE, repeat=0.7, patience=700_000, unrun=0.4, clients=6)
PLANTED = (
    PlantedDefect("a send leaves before its promise", _sent_before_the_promise, AGAIN),
    PlantedDefect("an answer before it is held", _answered_before_it_is_held, AGAIN),
    PlantedDefect("a repeat is taken for new", _a_repeat_is_new, AGAIN),
    PlantedDefect("a claim that moves without a word", _moved_without_a_word, AGAIN),
    PlantedDefect("a claim that takes over unasked", _any_claim_takes_over, AGAIN),
    PlantedDefect("a claim taken back though it ran", _taken_back_though_it_ran, AGAIN),
    PlantedDefect("promised on one disk", _one_disk_is_enough, HARD),
    PlantedDefect("a copy answers before its disk", _before_its_own_disk, replace(POWER, sync=300_000)),
    PlantedDefect("a home without a lease", _no_lease, CUTS),
    PlantedDefect("a joining disk becomes home", _joining_counts_at_once, HARD),
    PlantedDefect("a wiped disk counts", _wiped_disk_counts, HARD),
    PlantedDefect("what may be lost is told", _unpromised_is_told, ASKED),
    PlantedDefect(  # without the comparing of copies, which would find it in the end
        "a repair from what is behind",
        _repair_from_what_is_behind,
        replace(HARD, loss=0.2, terms=replace(HARD.terms, anti_entropy_interval=0)),
    ),
)


def caught(planted: PlantedDefect, seeds: int) -> tuple[int, str] | None:
    """The first seed that shows a broken promise, and what it says; not one that only never ends."""
    with planted.breaks():
        for seed in range(seeds):
            try:
                play(seed, planted.scene)
            except InvariantViolationError as error:
                if "though all" not in str(error) and "hardly" not in str(error):
                    return seed, str(error)
            except (AssertionError, ValueError, IndexError, KeyError) as error:
                return seed, f"seed {seed}: {type(error).__name__}"
    return None
