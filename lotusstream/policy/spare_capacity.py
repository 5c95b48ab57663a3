"""Spare capacity: the cores of each endpoint class that restricted profiles leave to unrestricted requests.

Some profiles are restricted to certain endpoints. To keep work that can run elsewhere away from these, an
endpoint's weight for an unrestricted request is only the number of its cores that requests of restricted
profiles are expected to leave free.
"""

from __future__ import annotations

import math

from lotusstream import interface as api
from lotusstream.policy.catalog import Catalog, EndpointClass
from lotusstream.policy.context import DecisionContext
from lotusstream.policy.pools import Pools
from lotusstream.rendezvous import unit_hash

MIN_SPARE_RATIO = 0.1  # an endpoint's weight for unrestricted requests is at least this fraction of its cores


class SpareCapacity:
    """Computes the weights of endpoints by their spare capacity.

    `ratios`: by zone and kind, the fraction of cores that restricted profiles leave free, 0.1 to 1.
    """

    def __init__(self, context: DecisionContext, catalog: Catalog, pools: Pools) -> None:
        self._context = context
        self._catalog = catalog
        self._pools = pools
        self.ratios: dict[EndpointClass, float] = {}

    def recompute(self) -> None:
        """Recomputes the ratios from the recently requested work and the cores of ready endpoints."""
        requested = self._requested_work()
        work_per_core = sum(requested) / max(1.0, self._catalog.ready_cores)
        cores = self._catalog.cores_by_class
        self.ratios = dict.fromkeys(cores, 1.0)
        for profile, work in zip(self._context.settings.profiles, requested, strict=True):
            if not profile.is_restricted:
                continue
            admitted = [each for each in cores if _admits_class(profile, *each)]
            if work_per_core and len(admitted) < len(cores):
                admitted_cores = max(1.0, sum([cores[each] for each in admitted]))
                # fraction of the admitted cores that the profile needs
                taken = work / work_per_core / admitted_cores
                for each in admitted:
                    self.ratios[each] = max(MIN_SPARE_RATIO, self.ratios[each] - taken)

    def _requested_work(self) -> list[float]:
        """Returns the recently requested work by profile index, in thread microseconds."""
        now = self._context.now
        pools = self._pools.by_id.values()
        return [
            sum([pool.estimates[index].requested_work.amount(now) for pool in pools])
            for index in range(len(self._context.settings.profiles))
        ]

    def weighted_draw(self, seed: int, profile: api.Profile, entry: api.EndpointEntry) -> float:
        """Returns an endpoint's draw in weighted rendezvous hashing; the lowest draw wins.

        A draw is a pseudo-random number determined by the endpoint and the seed. The weight is the number of
        the endpoint's cores that are left to requests of the profile. An endpoint with twice the weight of
        another wins twice as often.
        """
        spare = 1.0 if profile.is_restricted else self.ratios.get((entry.zone, entry.kind), 1.0)
        return -math.log(unit_hash(entry.id, seed)) / (self._context.cores(entry.kind) * spare)


def _admits_class(profile: api.Profile, zone: int, kind: int) -> bool:
    in_zone = profile.zones is None or zone in profile.zones
    return in_zone and (profile.kinds is None or kind in profile.kinds)
