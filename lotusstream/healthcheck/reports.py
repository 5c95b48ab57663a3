"""What the examining gateway tells all others."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

LONGEST = 1024  # rows of one piece of news; what has answered all along is not told


class Row(msgspec.Struct, frozen=True, array_like=True):
    engine: bytes
    answers: bool


class HealthReports(msgspec.Struct, frozen=True, array_like=True):
    """Engines that do not answer, and those that do again, or were looked at for the first time, a short time
    ago. `token`: of the lease; `number`: one more each time under it."""

    token: int
    number: int
    rows: tuple[Row, ...]

    @property
    def order(self) -> tuple[int, int]:
        return self.token, self.number


@dataclass(frozen=True, slots=True)
class HealthCheckOptions:
    """`every`: microseconds between two looks at one engine that answers. `most`: looks at one time."""

    every: int
    most: int = 8

    @property
    def soon(self) -> int:
        """Until one that did not answer is looked at again."""
        return self.every // 4

    @property
    def old(self) -> int:
        """News of that age says nothing any more; for so long it is told that an engine answers again."""
        return 4 * self.every

    @property
    def renewed(self) -> int:
        """Until whoever passes news on is asked again to go on with it."""
        return self.old // 2
