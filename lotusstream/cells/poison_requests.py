"""Which tenants harm the engines that they share, told apart from those that merely were there.

What is blamed: an engine that was lost with a send of the tenant out (split among the tenants that had
sends out there), an error, and work many times its hint. A tenant is poisonous once its certain blame is
past the bound **and** its own sends come to harm several times as often as those of all others: whoever
only shares an engine with a killer is harmed as often as everyone beside it, and no more often than the
rest.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from lotusstream import interface as api
from lotusstream.cells.heavy_hitters import HeavyHitters

LOST, ERROR, RUNAWAY = 3.0, 1.0, 1.0  # weights
TIMES = 8.0  # the hint, from which on work has run away
LIFT = 3.0  # how many times as often as the others
LEAST_SENDS = 4.0  # of a tenant, before it is judged


@dataclass(frozen=True, slots=True)
class PoisonSettings:
    """`bound`: of blame. `half_life`: it fades by half in that time. `stay`: least time in quarantine,
    microseconds. `cell`: the quarantine, or None: new commands are refused for that time. `most`: tenants
    that are kept count of."""

    bound: float
    half_life: int
    stay: int
    cell: str | None
    most: int = 1000


@dataclass(frozen=True, slots=True)
class PoisonVerdict:
    """Why a tenant is judged so: its blame, and how often its sends came to harm against all others'."""

    tenant: str
    blame: float
    harm: float
    others: float

    def __str__(self) -> str:
        harmed = f"{self.harm:.0%} of its sends harmed, {self.others:.0%} of others'"
        return f"poison: blame {self.blame:.1f}, {harmed}"


class PoisonRequestDetector:
    """Told of every send and its outcome; judges when asked."""

    def __init__(self, terms: PoisonSettings) -> None:
        self.terms = terms
        self._blame = HeavyHitters(terms.most, terms.half_life)
        self._sends = HeavyHitters(terms.most, terms.half_life)
        self._harmed = HeavyHitters(terms.most, terms.half_life)
        self._all = HeavyHitters(2, terms.half_life)  # "sends" and "harmed" of everyone
        self._out: dict[api.EndpointId, dict[str, int]] = {}  # sends out by tenant
        self._lost: dict[api.EndpointId, dict[str, float]] = {}  # shares of a loss that is being told

    def sent(self, now: int, tenant: str, engine: api.EndpointId) -> None:
        out = self._out.setdefault(engine, {})
        out[tenant] = out.get(tenant, 0) + 1
        self._lost.pop(engine, None)  # it takes sends again: the next loss is another one
        self._sends.add(now, tenant, 1.0)
        self._all.add(now, "sends", 1.0)

    def ended(self, now: int, tenant: str, event: api.AttemptEnded, hint: int | None) -> None:
        out = self._out.get(event.endpoint_id, {})
        shares = self._shares(event.endpoint_id, out) if self._is_loss(event) else None
        out[tenant] = out.get(tenant, 1) - 1
        if out[tenant] <= 0:
            out.pop(tenant, None)
        if not out:
            self._out.pop(event.endpoint_id, None)
            if shares is None:
                self._lost.pop(event.endpoint_id, None)
        if shares is not None:
            self._harm(now, tenant, LOST * shares.pop(tenant, 0.0))
        elif event.outcome is api.Outcome.ERROR:
            self._harm(now, tenant, ERROR)
        elif event.work and hint and event.work > TIMES * hint:
            self._harm(now, tenant, RUNAWAY)

    @staticmethod
    def _is_loss(event: api.AttemptEnded) -> bool:
        return event.outcome is api.Outcome.RESET and not event.endpoint_responded

    def _shares(self, engine: api.EndpointId, out: dict[str, int]) -> dict[str, float]:
        """One loss is one blame, split among the tenants that had sends out when it was first told."""
        if engine not in self._lost:
            total = sum(out.values()) or 1
            self._lost[engine] = {tenant: count / total for tenant, count in out.items()}
        return self._lost[engine]

    def _harm(self, now: int, tenant: str, blame: float) -> None:
        if blame:
            self._blame.add(now, tenant, blame)
        self._harmed.add(now, tenant, 1.0)
        self._all.add(now, "harmed", 1.0)

    def of(self, now: int, tenant: str) -> PoisonVerdict:
        sends, harmed = (max(each.of(now, tenant).certain, 0.0) for each in (self._sends, self._harmed))
        everyone = [self._all.of(now, name).certain for name in ("sends", "harmed")]
        rest = max(everyone[0] - sends, 0.0)
        others = max(everyone[1] - harmed, 0.0) / rest if rest >= LEAST_SENDS else 0.0
        harm = min(1.0, harmed / sends) if sends >= LEAST_SENDS else 0.0
        return PoisonVerdict(tenant, self._blame.of(now, tenant).certain, harm, others)

    def poisonous(self, now: int) -> Iterator[PoisonVerdict]:
        """The worst first."""
        for blamed in self._blame.past(now, self.terms.bound):
            found = self.of(now, blamed.tenant)
            if found.harm > LIFT * found.others:
                yield found

    def is_clean(self, now: int, tenant: str) -> bool:
        """Its blame has faded to under half the bound."""
        return self._blame.of(now, tenant).certain < self.terms.bound / 2
