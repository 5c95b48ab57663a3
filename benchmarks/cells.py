"""Cells: the effect of a poisoned tenant on the others, migrations, and the cost of the data structures."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from typing import Any

from immutables import Map

from benchmarks.fleet import (
    LOOKUP,
    PROFILES,
    REPORT,
    ClientRequest,
    FleetResult,
    FleetSimulation,
    S,
    Workload,
)
from lotusstream import interface as api
from lotusstream.cells.assignment import expected_overlap_ratio, full_overlap_probability, shuffle_shard
from lotusstream.cells.controlled_module import CellControlledModule
from lotusstream.cells.controller import CellController
from lotusstream.cells.heavy_hitters import HeavyHitters
from lotusstream.cells.messages import MigrateTenant, MigrationPersisted
from lotusstream.cells.migration import Migration, MigrationStep, migration_timing, recover_migrations
from lotusstream.cells.plan import Cell, CellPlan, EndpointSelector, TenantSource, TenantSourceKind
from lotusstream.cells.trie import NameTrie
from lotusstream.policy import Gateway

SEEDS = (1, 2, 3)
# seconds from the start of the run: first and last poison request, and the end of new requests
POISON_AT, POISON_UNTIL, END = 10, 50, 70
TENANTS = tuple(f"uni-{number}" for number in range(12))
POISONED = TENANTS[0]


def rate(second: float, profile: int) -> float:
    """Returns the requests per second of a profile, the same in each second."""
    return 3.0 if profile == REPORT else 60.0


class TenantSimulation(FleetSimulation):
    """Each request belongs to one of twelve tenants.

    From 10 s to 50 s one of them, the poisoned one, sends five times its usual requests on top, each with 40
    times the mean work, which its hint does not announce.
    """

    def __init__(self, workload: Workload, seed: int, module: Any, has_poison: bool) -> None:
        super().__init__(workload, seed, module)
        # whether the poisoned tenant sends its additional requests; `tenant_of` is unused
        self.has_poison, self.tenant_of = has_poison, dict[int, str]()
        self.tenant_by_request: dict[int, str] = {}  # name of the tenant, by `id()` of the request
        # by tenant: sum of the priority weights of its requests; the same sum of those that were answered
        # within the latency objective
        self.requested_weight: dict[str, float] = dict.fromkeys(TENANTS, 0.0)
        self.met_weight: dict[str, float] = dict.fromkeys(TENANTS, 0.0)
        self.rng = random.Random(seed + 1000)
        # references that keep all requests alive, so that no `id()` is used for two requests
        self.kept_requests: list[ClientRequest] = []

    def run(self) -> FleetResult:
        """Plays the workload, with the requests of the poisoned tenant."""
        if self.has_poison:
            self.schedule_at(POISON_AT * S, self._send_poison_request)
        return super().run()

    def _send_poison_request(self) -> None:
        if self.now < POISON_UNTIL * S:
            request = ClientRequest(LOOKUP, self.now, 8e6, 200_000, self.rng.randrange(12))
            self.tenant_by_request[id(request)] = POISONED
            self.kept_requests.append(request)
            self.requested_weight[POISONED] += 1.0
            self._send_request(request)
            self.schedule_at(self.now + 40_000, self._send_poison_request)

    def send_event(self, event: api.Event) -> None:
        """Passes an event to the module; a received request gets its tenant first."""
        if isinstance(event, api.RequestReceived):
            request = self.open_requests[event.request_id][0]
            tenant = self.tenant_by_request.get(id(request))
            if tenant is None:
                tenant = self.tenant_by_request[id(request)] = self.rng.choice(TENANTS)
                self.kept_requests.append(request)
                self.requested_weight[tenant] += PROFILES[request.profile].priority_weight
            event = api.RequestReceived(
                event.request_id,
                event.profile,
                event.work_hint,
                None,
                event.client_timeout,
                event.group,
                None,
                tenant=tenant,
            )
        super().send_event(event)

    def _on_answered(self, request_id: int) -> None:
        if (open_request := self.open_requests.get(request_id)) is not None:
            request = open_request[0]
            if self.now - request.sent_at <= PROFILES[request.profile].latency_objective:
                self.met_weight[self.tenant_by_request[id(request)]] += PROFILES[
                    request.profile
                ].priority_weight
        super()._on_answered(request_id)

    def others_met_ratio(self) -> float:
        """Returns the ratio of met to requested priority weight, of all tenants but the poisoned one."""
        names = TENANTS[1:]
        return sum(self.met_weight[name] for name in names) / sum(
            self.requested_weight[name] for name in names
        )


def endpoints_by_number(*numbers: int) -> EndpointSelector:
    """Returns a selector of the simulated endpoints with these numbers."""
    return EndpointSelector(endpoint_ids=frozenset(bytes([number + 1] * 6) for number in numbers))


def three_cells() -> CellPlan:
    """Three cells of two endpoints, one of each kind. Tenants are assigned in turn."""
    cells = tuple(Cell(f"cell-{at}", (endpoints_by_number(at, at + 3),)) for at in range(3))
    tenants = NameTrie((name, f"cell-{at % 3}") for at, name in enumerate(TENANTS))
    return CellPlan(1, (TenantSource(TenantSourceKind.KEY),), cells, tenants, "cell-0", "cell-0")


def drawn_cells() -> CellPlan:
    """Three cells of two endpoints, one of each kind. Tenants are assigned by weighted rendezvous hash."""
    cells = tuple(Cell(f"cell-{at}", (endpoints_by_number(at, at + 3),), weight=1.0) for at in range(3))
    return CellPlan(1, (TenantSource(TenantSourceKind.KEY),), cells, NameTrie(), "cell-0")


PLANS: dict[str, Callable[[], CellPlan] | None] = {  # by variant of the benchmark; None: no cells
    "cells": three_cells,
    "drawn": drawn_cells,
    "without": None,
}


def play(job: tuple[str, bool, int]) -> dict[str, Any]:
    """Plays one run, given as variant of PLANS, whether a tenant is poisoned, and seed.

    Returns its measurements. "outside": the ratio of met to requested weight of the tenants that are not in
    the cell of the poisoned tenant; without cells, of all tenants.
    """
    variant, has_poison, seed = job
    new_plan = PLANS[variant]
    module: Any = Gateway()
    if new_plan is not None:
        controller = CellController(new_plan(), migration_timing(PROFILES, 2 * S, 30 * S), PROFILES)
        module = CellControlledModule(Gateway().handle, controller, lambda _: None, lambda _: None)
    endpoints = ((0, 8.0),) * 3 + ((1, 8.0),) * 3
    fleet = TenantSimulation(Workload(END, rate, endpoints=endpoints), seed, module, has_poison)
    result = fleet.run()
    poisoned_cell = new_plan().cell_name_of(POISONED) if new_plan is not None else None
    outside = [name for name in TENANTS if new_plan is None or new_plan().cell_name_of(name) != poisoned_cell]
    met_weight, requested_weight = (
        sum(fleet.met_weight[name] for name in outside),
        sum(fleet.requested_weight[name] for name in outside),
    )
    return {
        "variant": variant, "poison": has_poison, "seed": seed, "others": fleet.others_met_ratio(),
        "outside": met_weight / requested_weight if requested_weight else 1.0, "lost": result.lost,
        "broken": result.rule_violations,
    }  # fmt: skip


# longest time that a migration holds a request back; time between the starts of two migrations
MAX_HOLD_US, MIGRATION_INTERVAL_US = 2 * S, 2 * S


class MigrationSimulation(TenantSimulation):
    """Migrates every tenant to the next cell under load. A migration starts every two seconds."""

    def __init__(self, seed: int) -> None:
        self.controller = CellController(
            three_cells(), migration_timing(PROFILES, MAX_HOLD_US, 30 * S), PROFILES
        )
        self.persisted: list[Migration] = []  # records of the migration log, in order
        module = CellControlledModule(Gateway().handle, self.controller, self._persist, lambda _: None)
        super().__init__(
            Workload(END, rate, endpoints=((0, 8.0),) * 3 + ((1, 8.0),) * 3), seed, module, False
        )
        self.arrived_at: dict[int, int] = {}  # simulated microseconds of the arrival, by request id
        # longest time that a request was held back; number of requests that were not decided on at once
        self.longest_hold_us, self.held_count = 0, 0
        self.reply_counts: dict[int, int] = {}  # number of answers, rejections and failures, by request id

    def _persist(self, migration: Migration) -> None:
        self.persisted.append(migration)
        self.schedule_at(self.now + 5_000, lambda: self._send_cell_event(MigrationPersisted(migration)))

    def run(self) -> FleetResult:
        """Plays the workload and starts one migration of each tenant."""
        for at, tenant in enumerate(TENANTS):
            target = f"cell-{(at + 1) % 3}"
            self.schedule_at((5 + at * MIGRATION_INTERVAL_US / S) * S, partial(self._migrate, tenant, target))
        return super().run()

    def _migrate(self, tenant: str, target: str) -> None:
        self._send_cell_event(MigrateTenant(tenant, target, "benchmark"))

    def _send_cell_event(self, event: MigrateTenant | MigrationPersisted) -> None:
        self._execute(self.module.handle(self.now, event))  # type: ignore[arg-type]

    def send_event(self, event: api.Event) -> None:
        """Passes an event to the module, and records the arrival of a request."""
        if isinstance(event, api.RequestReceived):
            self.arrived_at[event.request_id] = self.now
        super().send_event(event)

    def _execute(self, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.StartAttempt | api.RejectRequest | api.FailRequest):
                arrived_at = self.arrived_at.pop(action.request_id, None)
                if arrived_at is not None and self.now > arrived_at:
                    self.held_count += 1
                    self.longest_hold_us = max(self.longest_hold_us, self.now - arrived_at)
            if isinstance(action, api.RejectRequest | api.FailRequest):
                self.reply_counts[action.request_id] = self.reply_counts.get(action.request_id, 0) + 1
        super()._execute(actions)

    def _on_answered(self, request_id: int) -> None:
        if request_id in self.open_requests:
            self.reply_counts[request_id] = self.reply_counts.get(request_id, 0) + 1
        super()._on_answered(request_id)


def play_migrations(seed: int) -> dict[str, Any]:
    """Plays a run with migrations. Returns its counts, and checks of a recovery at each log record."""
    fleet = MigrationSimulation(seed)
    result = fleet.run()
    finished = [
        migration
        for migration in fleet.persisted
        if migration.step in (MigrationStep.DONE, MigrationStep.ROLLED_BACK)
    ]
    misplaced = [
        name
        for at, name in enumerate(TENANTS)
        if fleet.controller.plan.cell_name_of(name) != f"cell-{(at + 1) % 3}"
    ]
    unfinished_after_recovery = sum(
        recover_migrations(fleet.persisted[:point], 0).get(migration.tenant, migration).step
        not in (MigrationStep.DONE, MigrationStep.ROLLED_BACK)
        for point, migration in enumerate(fleet.persisted, 1)
    )
    return {
        "moves": len(finished),
        "undone": sum(migration.step is MigrationStep.ROLLED_BACK for migration in finished),
        "not_there": len(misplaced),
        "commands": len(fleet.reply_counts), "twice": sum(count > 1 for count in fleet.reply_counts.values()),
        "lost": result.lost, "broken": result.rule_violations, "behind": fleet.held_count,
        "longest": fleet.longest_hold_us / 1000, "points": len(fleet.persisted),
        "bad": unfinished_after_recovery,
    }  # fmt: skip


def time_call_ns(call: Callable[[], object], min_duration_s: float = 0.2) -> float:
    """Returns the nanoseconds that one call takes, in the fastest of three rounds.

    `min_duration_s`: shortest duration of a round, in seconds.
    """
    best = float("inf")
    for _ in range(3):
        count, began = 0, time.perf_counter()
        while time.perf_counter() - began < min_duration_s:
            for _ in range(100):
                call()
            count += 100
        best = min(best, (time.perf_counter() - began) / count * 1e9)
    return best


def structures() -> tuple[list[str], dict[str, Any]]:
    """Compares the name trie, plan changes, heavy hitters and shuffle shards with plain data structures."""
    rng = random.Random(1)
    entries = [f"tenant-{number}" for number in range(99_000)]
    patterns = [f"region-{number}-*" for number in range(900)] + [f"*-lib-{number}" for number in range(100)]
    trie = NameTrie((name, name) for name in (*entries, *patterns))
    table = {name: name for name in entries}
    prefixes = [(entry[:-1], entry) for entry in patterns if entry.endswith("*")]
    names = [rng.choice(entries) for _ in range(50)] + [f"region-{rng.randrange(900)}-x" for _ in range(50)]
    at = iter(range(10**12))

    def find_in_dict_then_prefixes(name: str) -> str | None:
        if (exact_match := table.get(name)) is not None:
            return exact_match
        return next((entry for begin, entry in prefixes if name.startswith(begin)), None)

    def find_by_linear_scan(name: str) -> str | None:
        best = None
        for entry in entries:
            if entry == name:
                return entry
        for begin, entry in prefixes:
            if name.startswith(begin):
                best = entry
        return best

    lookup = time_call_ns(lambda: trie.find(names[next(at) % 100]))
    exact = time_call_ns(lambda: table.get(names[next(at) % 100]))
    mixed = time_call_ns(lambda: find_in_dict_then_prefixes(names[next(at) % 100]))
    linear = time_call_ns(lambda: find_by_linear_scan(names[next(at) % 100]), min_duration_s=0.05)
    overrides: Map[str, str] = Map(dict.fromkeys(entries, "a"))
    copied = dict(overrides)
    change = time_call_ns(lambda: overrides.set(entries[next(at) % 99_000], "b"))
    copy = time_call_ns(lambda: {**copied, entries[next(at) % 99_000]: "b"}, min_duration_s=0.05)
    hitters, plain, clock = HeavyHitters(1000, 30 * S), dict[str, float](), iter(range(0, 10**15, 100))
    add = time_call_ns(lambda: hitters.add(next(clock), f"t{next(at) % 100_000}", 1.0))

    def add_to_dict() -> None:
        name = f"t{next(at) % 100_000}"
        plain[name] = plain.get(name, 0.0) + 1.0

    add_plain = time_call_ns(add_to_dict)
    kinds = {0: [bytes([n]) for n in range(10)], 1: [bytes([100 + n]) for n in range(10)]}
    shards = [shuffle_shard(f"t{number}", kinds, 3) for number in range(400)]
    pairs = [(a, b) for at_a, a in enumerate(shards) for b in shards[at_a + 1 :]]
    identical = sum(a == b for a, b in pairs) / len(pairs)
    overlap = sum(len(a & b) for a, b in pairs) / len(pairs) / 6
    report = {
        "lookup_ns": lookup, "lookup_ns_dict_of_exact_names": exact, "lookup_ns_dict_then_prefixes": mixed,
        "lookup_ns_linear_scan": linear, "plan_change_us": change / 1000,
        "plan_change_us_copied_dict": copy / 1000,
        "blame_add_ns": add, "blame_add_ns_plain_dict": add_plain, "blame_kept": len(hitters),
        "blame_kept_plain_dict": len(plain), "shards_same": identical,
        "shards_same_formula": full_overlap_probability(10, 3) ** 2,
        "shards_overlap": overlap, "shards_overlap_formula": expected_overlap_ratio(10, 3),
    }  # fmt: skip
    return [], report


def measure() -> tuple[list[str], dict[str, Any]]:
    """Runs the benchmark. Returns its lines to print and its report, by key of the JSON object."""
    jobs = [
        (variant, has_poison, seed) for variant in PLANS for has_poison in (True, False) for seed in SEEDS
    ]
    with ProcessPoolExecutor() as pool:
        runs, migration_runs = list(pool.map(play, jobs)), list(pool.map(play_migrations, SEEDS))

    def mean(variant: str, has_poison: bool, key: str = "others") -> float:
        each = [float(r[key]) for r in runs if r["variant"] == variant and r["poison"] is has_poison]
        return sum(each) / len(each)

    lines = ["variant   poison  seed  others  outside the poisoned one's cell  lost  broken"]
    lines += [
        f"{r['variant']:8}  {'yes' if r['poison'] else 'no':6}  {r['seed']:4}  {r['others']:6.3f}"
        f"  {r['outside']:31.3f}  {r['lost']:4}  {r['broken']:6}"
        for r in runs
    ]
    report: dict[str, Any] = {
        "seeds": list(SEEDS),
        "others_service_with_poison": mean("cells", True, "outside"),
        "others_service_with_poison_drawn": mean("drawn", True, "outside"),
        "others_service_with_poison_without_cells": mean("without", True),
        "others_service_no_poison": mean("cells", False, "outside"),
        "others_service_no_poison_without_cells": mean("without", False),
        "all_others_service_with_poison": mean("cells", True),
        "lost": sum(r["lost"] for r in (*runs, *migration_runs)),
        "rules_broken": sum(r["broken"] for r in (*runs, *migration_runs)),
        "moves": sum(r["moves"] for r in migration_runs),
        "moves_undone": sum(r["undone"] for r in migration_runs),
        "moved_tenants_elsewhere": sum(r["not_there"] for r in migration_runs),
        "moved_commands": sum(r["behind"] for r in migration_runs),
        "answered_once": sum(r["commands"] - r["twice"] for r in migration_runs),
        "answered": sum(r["commands"] for r in migration_runs),
        "doubled": sum(r["twice"] for r in migration_runs),
        "longest_hold_ms": max(r["longest"] for r in migration_runs),
        "hold_bound_ms": MAX_HOLD_US / 1000,
        "crash_points": sum(r["points"] for r in migration_runs),
        "crash_points_bad": sum(r["bad"] for r in migration_runs),
    }
    return lines, report | structures()[1]
