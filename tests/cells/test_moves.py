"""Moves of tenants between cells, with the decision module: whatever happens on the way, nothing doubled,
nothing lost."""

from __future__ import annotations

from dataclasses import replace

import pytest
from conftest import LOOKUP, MS, S, endpoint_entry
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from lotusstream import interface as api
from lotusstream.cells.admission import CellAdmission
from lotusstream.cells.controller import CellController
from lotusstream.cells.messages import (
    AbortMigration,
    MigrateTenant,
    MigrationNotPersisted,
    MigrationPersisted,
    PlanReplaced,
)
from lotusstream.cells.migration import Migration, MigrationStep, migration_timing, recover_migrations
from lotusstream.cells.plan import (
    Cell,
    CellPlan,
    EmptyCellPolicy,
    EndpointSelector,
    TenantSource,
    TenantSourceKind,
)
from lotusstream.cells.poison_requests import PoisonSettings
from lotusstream.cells.trie import NameTrie
from lotusstream.policy import Gateway

UNIQUED = replace(
    LOOKUP,
    idempotency=api.Idempotency.IDEMPOTENT_WITH_KEY,
    deduplication_scope=api.DeduplicationScope.ZONE,
    deduplication_window=5 * S,
    client_timeout=25 * S,
)
ONCE = replace(LOOKUP, idempotency=api.Idempotency.NOT_IDEMPOTENT, client_timeout=25 * S)
BOUND = replace(LOOKUP, kinds=frozenset({1}))
PROFILES = (LOOKUP, UNIQUED, ONCE, BOUND)
EAST, WEST = EndpointSelector(zones=frozenset({0})), EndpointSelector(zones=frozenset({1}))


def plan(**changes: object) -> CellPlan:
    cells = (Cell("east", (EAST,)), Cell("west", (WEST,)))
    made = CellPlan(
        1,
        (TenantSource(TenantSourceKind.FIELD, "tenant"),),
        cells,
        NameTrie([("uni-*", "east"), ("state", "west")]),
        "west",
        "east",
    )
    return replace(made, **changes)  # type: ignore[arg-type]


FLEET = (
    endpoint_entry(1, kind=1),
    endpoint_entry(2),
    endpoint_entry(3, zone=1, kind=1),
    endpoint_entry(4, zone=1),
)
TERMS = migration_timing(PROFILES, hold_timeout=2 * S, drain_timeout=20 * S)


class Host:
    """The module behind a keeper of cells; what is written down goes to a list, unless the disk is full."""

    def __init__(
        self, of: CellPlan | None = None, disk: list[Migration] | None = None, now: int = S,
        poison: PoisonSettings | None = None,
    ) -> None:  # fmt: skip
        self.now, self.disk, self.full = now, disk if disk is not None else [], False
        moves = recover_migrations(self.disk, now).values()
        self.keeper = CellController(of or plan(), TERMS, PROFILES, moves, poison)
        self.refused: list[str] = []
        self.host = CellAdmission(Gateway().handle, self.keeper, self._write, self.refused.append)
        self.log: list[api.Action] = []
        self.sent: dict[int, list[bytes]] = {}
        self.out: set[tuple[int, int]] = set()
        self.tenants: dict[int, str | None] = {}
        self.ids = 0
        self.tell(api.GatewayStarted(7, 1, 5 * MS, PROFILES, (api.EndpointKind(8.0, 0.0),) * 2, 1.0, 0, False,
                              api.Capabilities(4, True, True, False, False, True, 500 * MS, False),
                              api.RuleLimits(20 * MS, 0.3, 0, 3.0, S, 300 * MS, 1e9, 0.0, 0,
                                         10 * S)))  # fmt: skip
        self.tell(api.EndpointListReceived(api.EndpointListKind.SNAPSHOT, FLEET))

    def _write(self, move: Migration) -> None:
        if self.full:
            self.later.append(MigrationNotPersisted(move, "the disk is full"))
        else:
            self.disk.append(move)
            self.later.append(MigrationPersisted(move))

    def tell(self, *events: object) -> list[api.Action]:
        seen, self.later = len(self.log), list[object]()
        for event in (*events, api.BatchEnded()):
            self._handle(event)
        while self.later:
            self._handle(self.later.pop(0))
        return self.log[seen:]

    def _handle(self, event: object) -> None:
        for action in self.host.handle(self.now, event):  # type: ignore[arg-type]
            self.log.append(action)
            if isinstance(action, api.StartAttempt):
                where = self.sent.setdefault(action.request_id, [])
                self.out.add((action.request_id, len(where)))
                where.append(action.endpoint_id)

    def take(self, tenant: str | None = "uni-a", profile: int = 0) -> int:
        self.ids += 1
        self.tenants[self.ids] = tenant
        limit = PROFILES[profile].client_timeout
        self.tell(api.RequestReceived(self.ids, profile, 200 * MS, None, limit, 1, None, tenant=tenant))
        return self.ids

    def end(self, command: int, outcome: api.Outcome = api.Outcome.ANSWERED, latency: int = 200 * MS) -> None:
        number = max(n for c, n in self.out if c == command)
        self.out.discard((command, number))
        over = outcome is api.Outcome.ANSWERED
        heard = outcome in api.REPORTED_BY_ENDPOINT
        self.tell(
            api.AttemptEnded(
                command, number, self.sent[command][number], outcome, 200 * MS, over, None, None, None, heard
            )
        )

    def pass_time(self, span: int, step: int = 250 * MS) -> None:
        end = self.now + span
        while self.now < end:
            self.now = min(end, self.now + step)
            self.tell(api.TimerFired(0))

    def finals(self, command: int) -> list[api.Action]:
        return [
            a
            for a in self.log
            if isinstance(a, api.RejectRequest | api.FailRequest) and a.request_id == command
        ]

    def zones(self, command: int) -> set[int]:
        zone = {listed.id: listed.zone for listed in FLEET}
        return {zone[where] for where in self.sent.get(command, ())}

    def step(self, tenant: str = "uni-a") -> MigrationStep | None:
        move = self.keeper.migrations.get(tenant)
        return move.step if move else None


def test_tenants_stay_in_their_cells_and_a_poisoned_one_slows_no_other() -> None:
    host = Host()
    for tenant, zone in (("uni-a", 0), ("state", 1), (None, 1), ("unheard-of", 0)):
        for _ in range(4):
            assert host.zones(host.take(tenant)) == {zone}
    jam = [host.take("uni-b") for _ in range(64)]
    host.now += 4 * S
    for command in jam[:40]:
        host.end(command, latency=8 * S)  # forty times the work
    believed = next(a for a in host.tell(api.SnapshotRequested()) if isinstance(a, api.GatewaySnapshot))
    pressed = {each.zone for each in believed.endpoints if each.overloaded}
    fresh = host.take("state")
    assert pressed <= {0} and host.zones(fresh) == {1} and not host.finals(fresh)


def test_a_move_takes_all_its_steps_and_writes_each_down() -> None:
    host = Host()
    host.end(host.take())
    host.tell(MigrateTenant("uni-a", "west", "by hand"))
    host.pass_time(12 * S)
    assert [move.step for move in host.disk] == [
        MigrationStep.PREPARED, MigrationStep.FENCED, MigrationStep.DRAINING,
        MigrationStep.COOLING_DOWN, MigrationStep.SWITCHED, MigrationStep.DONE,
    ]  # fmt: skip
    assert host.zones(host.take()) == {1} and host.zones(host.take("uni-b")) == {0}


def test_new_commands_are_held_for_their_time_and_then_told_when_to_come_back() -> None:
    host = Host()
    running = host.take(profile=2)
    host.tell(MigrateTenant("uni-a", "west", "by hand"))
    host.pass_time(S)
    held = host.take()
    host.pass_time(S)
    assert not host.sent.get(held) and not host.finals(held)
    host.pass_time(2 * S)
    assert host.finals(held) == [api.RejectRequest(held, 500 * MS)] and host.step() is MigrationStep.DRAINING
    host.end(running)
    host.pass_time(int(5.6 * S))
    late = host.take()
    host.pass_time(2 * S)
    assert host.step() is MigrationStep.DONE and host.zones(late) == {1} and host.zones(running) == {0}


@pytest.mark.parametrize("outcome", [api.Outcome.RESET, api.Outcome.TIMED_OUT, api.Outcome.CANCELLED])
def test_what_may_have_run_before_the_fence_is_repeated_in_the_old_cell_only(outcome: api.Outcome) -> None:
    host = Host()
    load = host.take(profile=1)
    host.tell(MigrateTenant("uni-a", "west", "by hand"))
    host.pass_time(S)
    host.end(load, outcome)
    host.pass_time(S)
    while any(command == load for command, _ in host.out):
        host.end(load, api.Outcome.RESET)
    host.pass_time(20 * S)
    assert host.zones(load) == {0} and host.step() is MigrationStep.DONE
    rested = [
        move.since for move in host.disk if move.step in (MigrationStep.COOLING_DOWN, MigrationStep.SWITCHED)
    ]
    assert rested[1] - rested[0] >= UNIQUED.deduplication_window


def test_a_repeat_that_comes_behind_the_fence_is_not_taken_for_new_in_the_new_cell() -> None:
    host = Host()
    load = host.take(profile=1)
    host.tell(api.ClientDisconnected(load))  # its reply is lost, and it may have run
    host.end(load, api.Outcome.CANCELLED)
    host.tell(MigrateTenant("uni-a", "west", "by hand"))
    host.pass_time(int(4.9 * S))  # while the engines of the old cell still remember its mark
    repeat = host.take(profile=1)
    host.pass_time(10 * S)
    assert host.step() is MigrationStep.DONE
    assert not host.sent.get(repeat) and [type(each) for each in host.finals(repeat)] == [api.RejectRequest]


def test_a_send_that_never_ends_undoes_the_move_in_bounded_time() -> None:
    host = Host()
    host.take(profile=2)
    host.tell(MigrateTenant("uni-a", "west", "by hand"))
    host.pass_time(24 * S)
    assert host.step() is MigrationStep.ROLLED_BACK and "no outcome in time" in host.disk[-1].why
    assert host.zones(host.take()) == {0}


def test_a_target_whose_last_engine_of_a_kind_dies_half_way_undoes_the_move() -> None:
    host = Host()
    host.tell(MigrateTenant("uni-a", "west", "by hand"))
    host.pass_time(3 * S)
    assert host.step() is MigrationStep.COOLING_DOWN
    held = host.take(profile=3)
    host.tell(
        api.EndpointListReceived(
            api.EndpointListKind.DELTA, (replace(FLEET[2], status=api.EndpointStatus.REMOVED),)
        )
    )
    host.pass_time(S)
    assert host.step() is MigrationStep.ROLLED_BACK and host.zones(held) == {0}
    host.tell(MigrateTenant("uni-a", "west", "again"))
    assert "can't take 'uni-a'" in host.refused[-1]


def test_an_abort_while_resting_lets_the_held_go_where_they_were() -> None:
    host = Host()
    host.tell(MigrateTenant("uni-a", "west", "by hand"))
    host.pass_time(3 * S)
    held = host.take()
    host.tell(AbortMigration("uni-a", "by hand"))
    host.pass_time(S)
    assert host.step() is MigrationStep.ROLLED_BACK and host.zones(held) == {0}


def test_moves_that_make_no_sense_are_refused_with_their_reason() -> None:
    host = Host()
    for event, why in (
        (MigrateTenant("uni-a", "east", ""), "is in 'east' already"),
        (MigrateTenant("uni-a", "north", ""), "no such cell"),
        (AbortMigration("uni-a", ""), "is not being moved"),
    ):
        host.tell(event)
        assert why in host.refused[-1]
    host.tell(MigrateTenant("uni-a", "west", ""))
    host.tell(MigrateTenant("uni-a", "east", ""))
    assert len(host.refused) == 4  # one move at a time
    host.tell(MigrateTenant("state", "east", ""))  # two that cross are two tenants' own
    host.pass_time(12 * S)
    assert (host.step(), host.step("state")) == (MigrationStep.DONE, MigrationStep.DONE)
    assert host.zones(host.take("state")) == {0} and host.zones(host.take()) == {1}


def test_a_full_disk_stops_moves_and_not_service() -> None:
    host = Host()
    host.tell(MigrateTenant("uni-a", "west", ""))
    host.pass_time(3 * S)
    host.full = True
    held = host.take()
    host.pass_time(8 * S)
    assert host.step() is MigrationStep.ROLLED_BACK and host.finals(held) and host.zones(host.take()) == {0}


@pytest.mark.parametrize("writes", range(7))
def test_after_a_crash_at_any_written_step_the_move_is_undone_or_ends(writes: int) -> None:
    host = Host()
    host.tell(MigrateTenant("uni-a", "west", ""))
    host.pass_time(12 * S)
    again = Host(disk=host.disk[:writes], now=host.now + S)
    assert again.step() in (None, MigrationStep.ROLLED_BACK, MigrationStep.DONE)
    assert again.zones(again.take()) == ({1} if writes >= 5 else {0})


def test_a_plan_that_drops_the_target_in_mid_move_undoes_it() -> None:
    host = Host()
    host.tell(MigrateTenant("uni-a", "west", ""))
    host.pass_time(3 * S)
    host.tell(
        PlanReplaced(
            plan(
                cells=(Cell("east", (EAST, WEST)),), tenants=NameTrie([("*", "east")]), untenanted_cell="east"
            )
        )
    )
    host.pass_time(S)
    assert host.step() is MigrationStep.ROLLED_BACK and host.sent[host.take()]


def test_a_plan_that_puts_a_tenant_elsewhere_moves_it_where_marks_may_be_remembered() -> None:
    host = Host()
    for tenant, profile in (("uni-a", 1), ("uni-b", 0)):
        host.end(host.take(tenant, profile))
    host.tell(PlanReplaced(plan(tenants=NameTrie([("uni-*", "west")]))))
    assert host.zones(host.take("uni-b")) == {1} and host.step("uni-b") is None
    assert host.keeper.plan.cell_name_of("uni-a") == "east" and host.step("uni-a") is not None
    host.pass_time(12 * S)
    assert host.step("uni-a") is MigrationStep.DONE and host.zones(host.take("uni-a")) == {1}


def test_what_carries_a_mark_is_not_sent_to_a_lender_whose_engines_do_not_know_it() -> None:
    host = Host(
        plan(
            cells=(
                Cell("east", (EAST,), empty_policy=EmptyCellPolicy.BORROW, lender="west"),
                Cell("west", (WEST,)),
            )
        )
    )
    gone = tuple(replace(each, status=api.EndpointStatus.REMOVED) for each in FLEET[:2])
    host.tell(api.EndpointListReceived(api.EndpointListKind.DELTA, gone))
    marked = host.take(profile=1)
    assert not host.sent.get(marked) and host.finals(marked) and host.zones(host.take()) == {1}


def test_a_cell_that_is_empty_refuses_or_borrows_as_told() -> None:
    gone = tuple(replace(each, status=api.EndpointStatus.REMOVED) for each in FLEET[:2])
    for cell, answered in (
        (Cell("east", (EAST,)), False),
        (Cell("east", (EAST,), empty_policy=EmptyCellPolicy.BORROW, lender="west"), True),
    ):
        host = Host(plan(cells=(cell, Cell("west", (WEST,)))))
        host.tell(api.EndpointListReceived(api.EndpointListKind.DELTA, gone))
        command = host.take()
        assert host.zones(command) == ({1} if answered else set()) and bool(host.finals(command)) != answered


def test_an_engine_that_changes_cells_with_sends_out_takes_no_more_of_the_old_ones() -> None:
    host = Host()
    command = host.take()
    moved = replace(FLEET[0], zone=1)
    host.tell(api.EndpointListReceived(api.EndpointListKind.DELTA, (moved, replace(FLEET[1], zone=1))))
    host.end(command, api.Outcome.RESET)
    host.pass_time(7 * S)
    assert len(host.sent[command]) == 1 and host.finals(command)


def test_thousands_of_new_tenants_leave_nothing_behind() -> None:
    host = Host(plan(cells=(Cell("east", (EAST,), shard_size=1), Cell("west", (WEST,)))))
    for number in range(3000):
        host.end(host.take(f"uni-{number}"))
    requests, placement = host.keeper._requests, host.keeper._placement
    assert not requests._open and not requests._by_tenant and not requests._attempt_counts
    assert len(placement._assignments) == 0


@pytest.mark.parametrize("ward", [True, False])
def test_a_tenant_that_kills_engines_goes_to_quarantine_or_is_refused_and_comes_back(ward: bool) -> None:
    cells = (Cell("east", (EAST,)), Cell("ward", (WEST,), quarantine=True))
    made = plan(cells=cells, tenants=NameTrie([("*", "east")]), untenanted_cell="east")
    host = Host(made, poison=PoisonSettings(4.0, 20 * S, 30 * S, "ward" if ward else None))
    for _ in range(6):
        kills, beside = host.take("uni-bad", profile=2), host.take("uni-good", profile=2)
        for command, outcome in ((kills, api.Outcome.ERROR), (beside, api.Outcome.ANSWERED)):
            if any(command == each for each, _ in host.out):
                host.end(command, outcome)
    host.pass_time(S)
    assert host.keeper.status().poisoned_tenants == ("uni-bad",)
    if ward:
        host.pass_time(10 * S)
        assert host.step("uni-bad") is MigrationStep.DONE and "poison: blame" in host.disk[0].why
        in_ward = host.take("uni-bad")
        assert host.zones(in_ward) == {1} and host.zones(host.take("uni-good")) == {0}
        host.end(in_ward)
    else:
        refused = host.take("uni-bad")
        assert host.finals(refused) and not host.sent.get(refused)
    host.pass_time(60 * S)
    assert host.zones(host.take("uni-bad")) == {0} and host.keeper.status().poisoned_tenants == ()


class AnyCourse(RuleBasedStateMachine):
    """Whatever comes in whatever order."""

    def __init__(self) -> None:
        super().__init__()
        self.host = Host()
        self.effects: dict[int, set[int]] = {}  # zones in which a mark's effect may be
        self.mark_of: dict[int, tuple[int, int]] = {}  # command -> its mark, and until when clients repeat it
        self.counted: dict[int, int] = {}

    def _note(self) -> None:
        for command, where in self.host.sent.items():
            for engine_id in where[self.counted.get(command, 0) :]:
                tenant = self.host.tenants[command]
                zone = next(each.zone for each in FLEET if each.id == engine_id)
                home = {"east": 0, "west": 1}[self.host.keeper.plan.cell_name_of(tenant)]
                assert zone == home, "sent outside its cell"
                if command in self.mark_of:
                    self.effects.setdefault(self.mark_of[command][0], set()).add(zone)
            self.counted[command] = len(where)

    @rule(tenant=st.sampled_from(["uni-a", "uni-b", "state"]), profile=st.integers(0, 3))
    def arrives(self, tenant: str, profile: int) -> None:
        command = self.host.take(tenant, profile)
        if profile == 1:
            self.mark_of[command] = (command, self.host.now + UNIQUED.deduplication_window)
        self._note()

    @precondition(lambda self: any(until > self.host.now for _, until in self.mark_of.values()))
    @rule(data=st.data())
    def a_client_repeats_its_mark(self, data: st.DataObject) -> None:
        alive = sorted(c for c, (_, until) in self.mark_of.items() if until > self.host.now)
        first = data.draw(st.sampled_from(alive))
        command = self.host.take(self.host.tenants[first], 1)
        self.mark_of[command] = self.mark_of[first]
        self._note()

    @precondition(lambda self: self.host.out)
    @rule(data=st.data(), outcome=st.sampled_from(list(api.Outcome)))
    def a_send_ends(self, data: st.DataObject, outcome: api.Outcome) -> None:
        command, _ = data.draw(st.sampled_from(sorted(self.host.out)))
        self.host.end(command, outcome)
        self._note()

    @rule(span=st.sampled_from([300 * MS, S, 3 * S, 8 * S]))
    def time_passes(self, span: int) -> None:
        for _ in range(max(1, span // (500 * MS))):
            self.host.pass_time(500 * MS)
            self._note()

    @rule(tenant=st.sampled_from(["uni-a", "state"]), goal=st.sampled_from(["east", "west"]))
    def is_moved(self, tenant: str, goal: str) -> None:
        self.host.tell(MigrateTenant(tenant, goal, ""))
        self._note()

    @rule(tenant=st.sampled_from(["uni-a", "state"]))
    def is_aborted(self, tenant: str) -> None:
        self.host.tell(AbortMigration(tenant, ""))
        self._note()

    @rule(full=st.booleans())
    def the_disk(self, full: bool) -> None:
        self.host.full = full

    @invariant()
    def nothing_is_doubled_and_each_is_answered_once(self) -> None:
        assert all(len(zones) == 1 for zones in self.effects.values()), "an effect in two cells"
        for command in self.host.tenants:
            assert len(self.host.finals(command)) <= 1


AnyCourse.TestCase.settings = settings(max_examples=60, stateful_step_count=25)
test_any_course = AnyCourse.TestCase
