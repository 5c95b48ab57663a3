"""Random factors that keep gateways with the same signals from changing levels at the same time."""

from __future__ import annotations

import zlib


class Jitter:
    """Two random factors that are drawn again at each level change. The seed determines the sequence."""

    def __init__(self, seed: int) -> None:
        self._seed = zlib.crc32(seed.to_bytes(8, "little"))
        self._draw_count = 0
        self.dwell_factor = 1.0  # multiplies the dwell times of conditions; 1 to 1.5
        self.ramp_factor = 1.0  # multiplies the ramp speed of the admitted ratios; 0.75 to 1.25

    def draw(self) -> None:
        """Draws both factors."""
        self._draw_count += 2
        self.dwell_factor = 1.0 + self._random(self._draw_count) / 2
        self.ramp_factor = 0.75 + self._random(self._draw_count + 1) / 2

    def _random(self, number: int) -> float:
        """Returns the pseudorandom number in [0, 1) that belongs to the draw with this number."""
        return zlib.crc32(number.to_bytes(8, "little"), self._seed) / 2**32
