"""Facts for a keeper, made by hand on a virtual clock: so much asked for, so much of it shed or late."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import replace

from lotusstream import interface as api
from lotusstream.levels.controller import LevelController
from lotusstream.levels.ladder import Ladder
from lotusstream.levels.messages import GatewayHealthMeasured, LevelEvent
from lotusstream.operator.file import read_operator_file

MS, S = 1_000, 1_000_000
NAMES = ("lookup", "report")
LOOKUP = api.Profile(S, 0.0, 6 * S, 1.0, 0.1, api.Idempotency.IDEMPOTENT, api.DeduplicationScope.ALL, 0,
                     False, None, None, False, True, 1)  # fmt: skip
REPORT = replace(
    LOOKUP,
    latency_objective=2 * S,
    client_timeout=25 * S,
    priority_weight=8.0,
    kinds=frozenset({1}),
    threads=2,
)
CORES, WORK = 8.0, 800 * MS
LADDER = """ladder
  ramp 10s while used < 90%
  level trimmed
    enter load > 120% for 3s
    leave load < 100% for 5s
    admit lookup 60%
  end
  level lifeline
    enter load > 200% for 1s
    leave load < 150% for 5s
    admit lookup 10%
    further unrun
    priority report 2
  end
end
"""


def ladder(text: str = LADDER) -> Ladder:
    found = read_operator_file(text, "ladder.conf").ladder
    assert found is not None
    return found


def started(seed: int = 7) -> api.GatewayStarted:
    limits = api.RuleLimits(20 * MS, 0.3, 15 * S, 3.0, S, 300 * MS, 0.0, 0.0, 0, 10 * S)
    capabilities = api.Capabilities(4, True, True, False, False, True, 500 * MS, False)
    return api.GatewayStarted(
        seed,
        1,
        5 * MS,
        (LOOKUP, REPORT),
        (api.EndpointKind(CORES, 0.0),) * 2,
        1.0,
        0,
        False,
        capabilities,
        limits,
    )


def endpoint_snapshot(name: int, kind: int = 0, **changes: object) -> api.EndpointSnapshot:
    plain = api.EndpointSnapshot(
        bytes([name] * 6),
        api.EndpointStatus.READY,
        0,
        kind,
        CORES,
        4,
        4,
        0,
        1.0,
        False,
        16.0,
        2.0,
        0,
        None,
        None,
    )
    return replace(plain, **changes)


ENDPOINTS = (endpoint_snapshot(1), endpoint_snapshot(2), endpoint_snapshot(3, 1), endpoint_snapshot(4, 1))


class Rig:
    """`flow` lets time pass with so much load on the engines that are there."""

    def __init__(self, of: Ladder | None = None, seed: int = 7) -> None:
        self.controller = LevelController(of or ladder(), started(seed), NAMES)
        self.now, self.ids, self.due_requests = S, itertools.count(1), 0.0
        self.endpoints: tuple[api.EndpointSnapshot, ...] = ENDPOINTS
        self.changes_reported: list[api.DegradationChanged] = []

    def handle(self, event: api.Event | api.Action | LevelEvent) -> None:
        for answer in self.controller.handle(self.now, event):
            if isinstance(answer, api.SnapshotRequested):
                self.controller.handle(self.now, api.GatewaySnapshot(self.endpoints, 1.0, 1.0, False, 0, 0))
            elif isinstance(answer, api.DegradationChanged):
                self.changes_reported.append(answer)

    def flow(self, seconds: float, load: float | Callable[[float], float], *, profile: int = 0,
             shed: float = 0.0, late: float = 0.0,
             until: Callable[[], bool] | None = None) -> Rig:  # fmt: skip
        """`load`: of all cores of the first fleet, or a function of the seconds. Ends sooner when `until`
        holds."""
        began, step = self.now, 250 * MS
        for at in range(int(seconds * S / step)):
            if until is not None and until():
                break
            share = load(at * step / S) if callable(load) else load
            self.due_requests += share * CORES * len(ENDPOINTS) * step / WORK
            while self.due_requests >= 1:
                self.due_requests -= 1
                self._one(profile, shed, late)
            self.now = began + (at + 1) * step
            self.handle(api.BatchEnded())
        return self

    def _one(self, profile: int, shed: float, late: float) -> None:
        request_id = next(self.ids)
        self.handle(api.RequestReceived(request_id, profile, WORK, None, 6 * S, 1, None))
        if request_id % 100 < 100 * shed:
            self.handle(api.RejectRequest(request_id, 0))
        elif request_id % 100 < 100 * (shed + late):
            self.handle(api.FailRequest(request_id))
        else:
            self.handle(
                api.StartAttempt(request_id, self.endpoints[0].endpoint_id if self.endpoints else b"", 6 * S)
            )
            ended = api.AttemptEnded(
                request_id, 0, b"", api.Outcome.ANSWERED, WORK, True, WORK, None, None, True
            )
            self.handle(ended)

    def rises(self, level: str) -> Rig:
        """Calm, then so much that this level comes first."""
        self.flow(12, 0.5)
        self.flow(30, {"trimmed": 1.6, "lifeline": 8.0}[level], until=lambda: self.level != "full")
        assert self.level == level
        return self

    def sleeps(self, seconds: float) -> Rig:
        """The loop stands still, or the machine sleeps."""
        self.now += int(seconds * S)
        self.handle(api.BatchEnded())
        return self

    @property
    def level(self) -> str:
        return self.controller.status().level

    @property
    def admitted(self) -> float:
        return self.controller.status().admitted_ratios["lookup"]

    def signal(self, name: str) -> float | None:
        return next(
            (signal.value.value if signal.value else None)
            for signal in self.controller.status().signals
            if signal.name == name
        )

    def changes(self) -> list[int]:
        return [change.changed_at for change in self.controller.history]


def most_within(times: list[int], span: int) -> int:
    return max((sum(at <= other < at + span for other in times) for at in times), default=0)


HEALTHY = GatewayHealthMeasured(0.1, 0.1, 0.1, 0)
