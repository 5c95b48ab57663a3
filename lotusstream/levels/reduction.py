"""Computes how the level in force reduces service, and reports it to the decision module."""

from __future__ import annotations

from lotusstream import interface as api
from lotusstream.levels.admission_ramp import AdmissionRamp, ramp_speed
from lotusstream.levels.ladder import Level


class ServiceReduction:
    """Holds the admitted ratios of all profiles and the last event that reported them. In all methods a level
    of None stands for full service."""

    def __init__(self, profile_names: tuple[str, ...]) -> None:
        self._profile_names = profile_names
        self._ramp = AdmissionRamp(len(profile_names))
        self._reported: api.DegradationChanged | None = None

    def admitted_ratios(self) -> dict[str, float]:
        """Returns the admitted ratio by profile name, 0 to 1."""
        return dict(zip(self._profile_names, self._ramp.ratios, strict=True))

    def lower_to(self, level: Level | None) -> None:
        """Lowers the admitted ratios to the least admitted ratios of a higher level."""
        self._ramp.lower_to(self._floors(level))

    def set_to(self, level: Level | None) -> None:
        """Sets the admitted ratios to the least admitted ratios of the level."""
        self._ramp.set_to(self._floors(level))

    def advance(
        self,
        level: Level | None,
        has_spare_capacity: bool | None,
        ramp_factor: float,
        elapsed: int,
        ramp_time: int,
    ) -> None:
        """Moves the admitted ratios towards 1, or back to the least ratios of the level.

        :param level: the level in force
        :param has_spare_capacity: whether the ramp condition holds; None: unknown
        :param ramp_factor: random factor of the ramp speed
        :param elapsed: time since the last call, microseconds
        :param ramp_time: time in which a ratio grows from 0 to 1, microseconds
        """
        speed = ramp_speed(has_spare_capacity, is_reduced=level is not None)
        distance = speed * ramp_factor * elapsed / ramp_time
        self._ramp.advance(self._floors(level), speed, distance)

    def report(self, level: Level | None) -> list[api.Event]:
        """Returns a list with the event that reports the reduction in force; an empty list if the last event
        has reported the same."""
        before = self._reported.admitted_ratios if self._reported else (1.0,) * len(self._profile_names)
        event = api.DegradationChanged(
            admitted_ratios=self._ramp.reported_ratios(self._floors(level), before),
            retries_allowed=level.retries_allowed if level else api.RetriesAllowed.ALL,
            max_retry_after=level.max_retry_after if level else None,
            priorities=tuple(level.priorities.get(name) if level else None for name in self._profile_names),
        )
        if event == self._reported or (self._reported is None and event.is_full_service):
            return []
        self._reported = event
        return [event]

    def in_force(self) -> api.DegradationChanged | None:
        """Returns the last event, which has to be sent again to a restarted decision module; None if full
        service is in force."""
        if self._reported is None or self._reported.is_full_service:
            return None
        return self._reported

    def full_service(self) -> api.DegradationChanged:
        """Returns the event that puts full service in force."""
        count = len(self._profile_names)
        return api.DegradationChanged((1.0,) * count, api.RetriesAllowed.ALL, None, (None,) * count)

    def _floors(self, level: Level | None) -> list[float]:
        """Returns the least admitted ratio of each profile at the level."""
        return [level.admit.get(name, 1.0) if level else 1.0 for name in self._profile_names]
