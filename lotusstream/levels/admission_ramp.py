"""The admitted ratio of each profile, which grows step by step after a reduction."""

from __future__ import annotations

RAMP_DOWN_FACTOR = 4  # admission falls so many times as fast as it grows
UNKNOWN_RAMP_FACTOR = 0.5  # speed in full service while there is no spare capacity, or none is known
MIN_REPORTED_CHANGE_RATIO = 0.02  # a smaller change is not reported to the decision module


class AdmissionRamp:
    """Admitted ratios between the floors of the level in force and 1. A jump from little admission to all
    would overload endpoints that have only just recovered."""

    def __init__(self, profile_count: int) -> None:
        self.ratios = [1.0] * profile_count  # by profile, 0 to 1

    def lower_to(self, floors: list[float]) -> None:
        """Reduces the ratios to the floors of a higher level at once."""
        self.ratios = [min(ratio, floor) for ratio, floor in zip(self.ratios, floors, strict=True)]

    def set_to(self, floors: list[float]) -> None:
        """Sets the ratios to the floors of a level."""
        self.ratios = floors

    def advance(self, floors: list[float], speed: float, distance: float) -> None:
        """Moves the ratios.

        :param floors: of the level in force, by profile
        :param speed: above 0: grow, at most to 1; below 0: fall, at least to the floors
        :param distance: by which the ratios move, with the sign of `speed`
        """
        for index, floor in enumerate(floors):
            ratio = self.ratios[index]
            lowest = min(floor, ratio) if speed >= 0 else min(floor, 1.0)
            self.ratios[index] = min(1.0, max(lowest, ratio + distance))

    def reported_ratios(self, floors: list[float], before: tuple[float, ...]) -> tuple[float, ...]:
        """Returns the ratios to report; one that has hardly changed stays as reported before, unless it has
        reached its floor or 1."""
        return tuple(
            ratio if abs(ratio - previous) >= MIN_REPORTED_CHANGE_RATIO or ratio in (1.0, floor) else previous
            for ratio, floor, previous in zip(self.ratios, floors, before, strict=True)
        )


def ramp_speed(has_spare_capacity: bool | None, is_reduced: bool) -> float:
    """Returns the speed of admission, as a multiple of the ladder's ramp: 1 with spare capacity. Without it,
    admission falls back to the level in force; in full service it only grows, slowly.

    :param has_spare_capacity: whether the ramp condition holds; None: unknown
    :param is_reduced: a level other than full service is in force
    """
    if has_spare_capacity:
        return 1.0
    if not is_reduced:
        return UNKNOWN_RAMP_FACTOR
    return -RAMP_DOWN_FACTOR if has_spare_capacity is False else 0.0
