"""Random factors by which gateways that see the same signals do not change levels at the same time."""

from __future__ import annotations

import zlib


class Jitter:
    """Two factors that are drawn anew at each change of level; the same for the same seed."""

    def __init__(self, seed: int) -> None:
        self._seed = zlib.crc32(seed.to_bytes(8, "little"))
        self._draw_count = 0
        self.dwell_factor = 1.0  # of the dwell times of conditions, 1 to 1.5
        self.ramp_factor = 1.0  # of the speed of admission, 0.75 to 1.25

    def draw(self) -> None:
        """Draws both factors."""
        self._draw_count += 2
        self.dwell_factor = 1.0 + self._random(self._draw_count) / 2
        self.ramp_factor = 0.75 + self._random(self._draw_count + 1) / 2

    def _random(self, number: int) -> float:
        """Returns a number in [0, 1)."""
        return zlib.crc32(number.to_bytes(8, "little"), self._seed) / 2**32
