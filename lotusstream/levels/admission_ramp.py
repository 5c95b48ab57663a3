"""The admitted ratio of each profile, which grows gradually after a reduction."""

from __future__ import annotations

RAMP_DOWN_FACTOR = 4  # speed at which the admitted ratios fall, as a multiple of the speed of growth
# Speed of growth in full service, as a multiple of the ladder's ramp speed, while the endpoints have no spare
# capacity or it is unknown.
UNKNOWN_RAMP_FACTOR = 0.5
MIN_REPORTED_CHANGE_RATIO = 0.02  # least change of an admitted ratio that is reported to the decision module


class AdmissionRamp:
    """Moves the admitted ratio of each profile between a floor and 1. The floor is the smallest ratio
    that the level in force permits. The ratios grow gradually, because a jump to 1 would overload endpoints
    that have only just recovered."""

    def __init__(self, profile_count: int) -> None:
        self.ratios = [1.0] * profile_count  # admitted ratio by profile index, 0 to 1

    def lower_to(self, floors: list[float]) -> None:
        """Lowers each ratio at once to its floor at a higher level. A ratio that is already below the floor
        does not change."""
        self.ratios = [min(ratio, floor) for ratio, floor in zip(self.ratios, floors, strict=True)]

    def set_to(self, floors: list[float]) -> None:
        """Sets the ratios to the floors of a level."""
        self.ratios = floors

    def advance(self, floors: list[float], speed: float, distance: float) -> None:
        """Moves all ratios by the same distance, within the floors and 1.

        :param floors: least admitted ratio of the level in force, by profile index
        :param speed: above 0: the ratios grow, up to 1; below 0: they fall, down to the floors
        :param distance: change of each ratio, with the sign of `speed`
        """
        for index, floor in enumerate(floors):
            ratio = self.ratios[index]
            lowest = min(floor, ratio) if speed >= 0 else min(floor, 1.0)
            self.ratios[index] = min(1.0, max(lowest, ratio + distance))

    def reported_ratios(self, floors: list[float], before: tuple[float, ...]) -> tuple[float, ...]:
        """Returns the ratios to report. A ratio that has changed by less than MIN_REPORTED_CHANGE_RATIO stays
        as reported before, unless it has reached its floor or 1."""
        return tuple(
            ratio if abs(ratio - previous) >= MIN_REPORTED_CHANGE_RATIO or ratio in (1.0, floor) else previous
            for ratio, floor, previous in zip(self.ratios, floors, before, strict=True)
        )


def ramp_speed(has_spare_capacity: bool | None, is_reduced: bool) -> float:
    """Returns the speed at which the admitted ratios move, as a multiple of the ladder's ramp speed. With
    spare capacity they grow at speed 1. Without it, they fall back to the floors of the level in force;
    while it is unknown, they stay. In full service they grow slowly in both cases.

    :param has_spare_capacity: whether the ramp condition holds; None: unknown
    :param is_reduced: whether a level other than full service is in force
    """
    if has_spare_capacity:
        return 1.0
    if not is_reduced:
        return UNKNOWN_RAMP_FACTOR
    return -RAMP_DOWN_FACTOR if has_spare_capacity is False else 0.0
