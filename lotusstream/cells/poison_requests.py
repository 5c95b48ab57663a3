"""Finds the tenants whose requests harm the endpoints that they share with other tenants.

Three kinds of faults raise the fault score of a tenant: the loss of an endpoint with attempts of the tenant
in flight, an error, and work that is many times the client's estimate. The score of a loss is divided among
all tenants with attempts in flight at the endpoint. A tenant is poisonous if its fault score is above the
threshold **and** the ratio of its attempts with faults is several times that of all other tenants. So a
tenant that only shares an endpoint with a poisonous one is not found: its ratio equals that of the other
tenants there.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from lotusstream import interface as api
from lotusstream.cells.heavy_hitters import HeavyHitters

ENDPOINT_LOSS_SCORE = 3.0  # divided among the tenants with attempts in flight at the endpoint
ERROR_SCORE = 1.0
RUNAWAY_WORK_SCORE = 1.0
RUNAWAY_WORK_RATIO = 8.0  # work divided by the client's estimate, above which the work is a fault
MIN_FAULT_RATIO_LIFT = 3.0  # a poisonous tenant's fault ratio is above this multiple of the others' ratio
MIN_ATTEMPTS = 4.0  # decayed count of attempts below which a fault ratio is taken as 0

# Keys in the totals over all tenants.
_ATTEMPTS = "sends"  # number of attempts
_FAULTS = "harmed"  # number of attempts with faults


@dataclass(frozen=True, slots=True)
class PoisonSettings:
    """Determines when a tenant is quarantined, and for how long."""

    fault_threshold: float  # decayed fault score above which a tenant may be poisonous
    half_life: int  # time in which a fault score decays by half, microseconds
    quarantine_time: int  # shortest time in quarantine, microseconds
    quarantine_cell: str | None  # name of the cell; None: requests of the tenant are rejected
    max_tenants: int = 1000  # greatest number of tenants with a fault score


@dataclass(frozen=True, slots=True)
class PoisonVerdict:
    """The fault figures of a tenant. As text they are the reason in the migration log."""

    tenant: str
    fault_score: float  # decayed sum of the scores of its faults
    fault_ratio: float  # the tenant's attempts with faults divided by all of its attempts, 0 to 1
    others_fault_ratio: float  # the same ratio for the attempts of all other tenants together, 0 to 1

    def __str__(self) -> str:
        harmed = f"{self.fault_ratio:.0%} of its sends harmed, {self.others_fault_ratio:.0%} of others'"
        return f"poison: blame {self.fault_score:.1f}, {harmed}"


class PoisonRequestDetector:
    """Counts attempts and faults by tenant. The memory is bounded by `PoisonSettings.max_tenants` and by the
    number of attempts in flight."""

    def __init__(self, settings: PoisonSettings) -> None:
        self.settings = settings
        self._fault_scores = HeavyHitters(settings.max_tenants, settings.half_life)
        self._attempts = HeavyHitters(settings.max_tenants, settings.half_life)
        self._faults = HeavyHitters(settings.max_tenants, settings.half_life)
        self._totals = HeavyHitters(2, settings.half_life)
        self._in_flight: dict[api.EndpointId, dict[str, int]] = {}  # number of attempts by tenant
        # Each tenant's share of the loss, by lost endpoint. It is kept because the ends of the attempts that
        # were in flight are reported one by one.
        self._loss_shares: dict[api.EndpointId, dict[str, float]] = {}

    def attempt_started(self, now: int, tenant: str, endpoint_id: api.EndpointId) -> None:
        """Counts an attempt of the tenant."""
        in_flight = self._in_flight.setdefault(endpoint_id, {})
        in_flight[tenant] = in_flight.get(tenant, 0) + 1
        self._loss_shares.pop(endpoint_id, None)  # the endpoint is in use again, and can be lost again
        self._attempts.add(now, tenant, 1.0)
        self._totals.add(now, _ATTEMPTS, 1.0)

    def attempt_ended(self, now: int, tenant: str, event: api.AttemptEnded, work_hint: int | None) -> None:
        """Counts a fault if the outcome of the attempt is one.

        :param now: microseconds
        :param tenant: tenant of the attempt
        :param event: outcome of the attempt
        :param work_hint: the client's estimate of the work, thread microseconds; None: not given
        """
        endpoint_id = event.endpoint_id
        in_flight = self._in_flight.get(endpoint_id, {})
        loss_shares = self._shares_of_loss(endpoint_id, in_flight) if _is_endpoint_loss(event) else None
        self._remove_attempt(tenant, endpoint_id, in_flight, is_loss=loss_shares is not None)
        if loss_shares is not None:
            self._add_fault(now, tenant, ENDPOINT_LOSS_SCORE * loss_shares.pop(tenant, 0.0))
        elif event.outcome is api.Outcome.ERROR:
            self._add_fault(now, tenant, ERROR_SCORE)
        elif event.work and work_hint and event.work > RUNAWAY_WORK_RATIO * work_hint:
            self._add_fault(now, tenant, RUNAWAY_WORK_SCORE)

    def verdict_for(self, now: int, tenant: str) -> PoisonVerdict:
        """Returns the fault figures of a tenant, which need not be poisonous."""
        attempts = max(self._attempts.estimate(now, tenant).lower_bound, 0.0)
        faults = max(self._faults.estimate(now, tenant).lower_bound, 0.0)
        all_attempts = self._totals.estimate(now, _ATTEMPTS).lower_bound
        all_faults = self._totals.estimate(now, _FAULTS).lower_bound
        other_attempts = max(all_attempts - attempts, 0.0)
        others_fault_ratio = 0.0
        if other_attempts >= MIN_ATTEMPTS:
            others_fault_ratio = max(all_faults - faults, 0.0) / other_attempts
        fault_ratio = min(1.0, faults / attempts) if attempts >= MIN_ATTEMPTS else 0.0
        fault_score = self._fault_scores.estimate(now, tenant).lower_bound
        return PoisonVerdict(tenant, fault_score, fault_ratio, others_fault_ratio)

    def find_poisonous(self, now: int) -> Iterator[PoisonVerdict]:
        """Yields the poisonous tenants, the highest fault score first."""
        for estimate in self._fault_scores.above(now, self.settings.fault_threshold):
            verdict = self.verdict_for(now, estimate.tenant)
            if verdict.fault_ratio > MIN_FAULT_RATIO_LIFT * verdict.others_fault_ratio:
                yield verdict

    def has_recovered(self, now: int, tenant: str) -> bool:
        """Returns whether the tenant's fault score has decayed below half the threshold."""
        fault_score = self._fault_scores.estimate(now, tenant).lower_bound
        return fault_score < self.settings.fault_threshold / 2

    def _remove_attempt(
        self, tenant: str, endpoint_id: api.EndpointId, in_flight: dict[str, int], is_loss: bool
    ) -> None:
        in_flight[tenant] = in_flight.get(tenant, 1) - 1
        if in_flight[tenant] <= 0:
            in_flight.pop(tenant, None)
        if in_flight:
            return
        self._in_flight.pop(endpoint_id, None)
        if not is_loss:
            self._loss_shares.pop(endpoint_id, None)

    def _shares_of_loss(self, endpoint_id: api.EndpointId, in_flight: dict[str, int]) -> dict[str, float]:
        """Returns each tenant's share of an endpoint loss: its attempts divided by all attempts that were in
        flight at the endpoint when the loss was first reported."""
        if endpoint_id not in self._loss_shares:
            total = sum(in_flight.values()) or 1
            self._loss_shares[endpoint_id] = {tenant: count / total for tenant, count in in_flight.items()}
        return self._loss_shares[endpoint_id]

    def _add_fault(self, now: int, tenant: str, score: float) -> None:
        if score:
            self._fault_scores.add(now, tenant, score)
        self._faults.add(now, tenant, 1.0)
        self._totals.add(now, _FAULTS, 1.0)


def _is_endpoint_loss(event: api.AttemptEnded) -> bool:
    return event.outcome is api.Outcome.RESET and not event.endpoint_responded
