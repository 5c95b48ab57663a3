"""What every virtual fleet rests on: one queue of events, nodes with clocks of their own, lines that lose,
double and delay. All that differs between two runs is drawn from `random.Random(seed)`.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass

MS, S = 1_000, 1_000_000


class InvariantViolationError(AssertionError):
    """Something that must hold did not; the text tells seed and time."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Span:
    """Times in microseconds. `faults_end`: from then on everything works again. The rest: what lines do."""

    length: int = 14 * S
    faults_end: int = 9 * S
    fault_every: int = 700 * MS
    faults: tuple[str, ...] = ()
    loss: float = 0.02
    twice: float = 0.02
    slow: float = 0.02


class Node:
    """A process: `rate` and `ahead` are its clock's; while it is stopped its clock goes on."""

    def __init__(self, name: str, draw: random.Random, drift: float) -> None:
        self.name, self.up, self.stopped, self.run = name, True, False, 0
        self.rate = 1 + draw.choice((-drift, drift, draw.uniform(-drift, drift)))
        self.ahead = draw.randint(0, 1000 * S)
        self.waiting: list[Callable[[], None]] = []  # what came while it was stopped

    def clock(self, now: int) -> int:
        return int(now * self.rate) + self.ahead

    def real(self, at: int) -> int:
        return int((at - self.ahead) / self.rate) + 1


class World:
    """Faults are methods `_fault_NAME`, drawn from `span.faults`."""

    def __init__(self, seed: int, span: Span) -> None:
        self.seed, self.span, self.draw, self.now = seed, span, random.Random(seed), 0
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._count = 0
        self.cuts: set[tuple[str, str]] = set()
        self._wakes: dict[str, tuple[int, int]] = {}
        self._calm_until = 0

    def nodes(self) -> list[Node]:
        raise NotImplementedError

    def again(self, node: Node) -> None:
        """Begins a new run of the process."""
        raise NotImplementedError

    def fails(self, what: str) -> None:
        raise InvariantViolationError(f"seed {self.seed}, at {self.now / S:.3f} s: {what}")

    def play(self) -> None:
        if self.span.faults:
            self.at(self.span.fault_every, self._fault)
        self.at(self.span.faults_end, self._heal)
        while self._events and self._events[0][0] <= self.span.length:
            self.now, _, act = heapq.heappop(self._events)
            act()

    def at(self, when: int, act: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._events, (max(when, self.now), self._count, act))

    def after(self, span: int, act: Callable[[], None]) -> None:
        self.at(self.now + span, act)

    def _on(self, node: Node, act: Callable[[], None]) -> Callable[[], None]:
        """Only in this run of the process; while it is stopped it waits."""
        run = node.run

        def go() -> None:
            if not node.up or node.run != run:
                return
            if node.stopped:
                node.waiting.append(go)
            else:
                act()

        return go

    def _wake(self, node: Node, at: int, act: Callable[[], None]) -> None:
        real = max(self.now + MS, node.real(at))
        due, run = self._wakes.get(node.name, (0, -1))
        if run == node.run and self.now < due <= real:
            return
        self._wakes[node.name] = (real, node.run)
        self.at(real, self._on(node, act))

    # The network

    def _deliver(self, source: Node, target: Node, act: Callable[[], None]) -> None:
        if (source.name, target.name) in self.cuts:
            return
        told, draw = self.span, self.draw
        times, calm = 1, self.now >= told.faults_end
        if not calm:
            lot = draw.random()
            times = 0 if lot < told.loss else 2 if lot < told.loss + told.twice else 1
        for _ in range(times):
            slow = draw.random() < told.slow and not calm
            span = draw.randint(0, 800 * MS) if slow else draw.randint(200, 5 * MS)
            self.after(span, self._arriving(target, act))

    def _arriving(self, target: Node, act: Callable[[], None]) -> Callable[[], None]:
        def go() -> None:  # by whatever run of the process is there then
            if target.up and not target.stopped:
                act()
            elif target.up:
                target.waiting.append(go)

        return go

    # Faults

    def _fault(self) -> None:
        if self.now >= self.span.faults_end:
            return
        kind = self.draw.choice(self.span.faults)
        if self.now >= self._calm_until:
            getattr(self, "_fault_" + kind.replace("-", "_"))()
        self.after(self.draw.randint(self.span.fault_every // 3, 2 * self.span.fault_every), self._fault)

    def down(self, node: Node) -> None:
        node.up = False

    def back(self, node: Node, within: int) -> None:
        """Begun again some time later, unless somebody did before."""
        run = node.run

        def begin() -> None:
            if not node.up and node.run == run:
                self.again(node)

        self.after(self.draw.randint(0, within), begin)

    def _any(self) -> Node:
        return self.draw.choice(self.nodes())

    def _fault_cut(self) -> None:
        names = [node.name for node in self.nodes()]
        side = {name for name in names if self.draw.random() < 0.5}
        made = {(a, b) for a in names for b in names if (a in side) != (b in side)}
        self.cuts |= made
        self.after(self.draw.randint(0, 3 * S), lambda: self.cuts.difference_update(made))

    def _fault_one_way(self) -> None:
        node, out = self._any().name, self.draw.random() < 0.5
        others = [each.name for each in self.nodes() if each.name != node]
        made = {(node, other) if out else (other, node) for other in others}
        self.cuts |= made
        self.after(self.draw.randint(0, 3 * S), lambda: self.cuts.difference_update(made))

    def _fault_stop(self) -> None:
        node = self._any()
        if not node.up or node.stopped:
            return
        node.stopped, run = True, node.run

        def wake() -> None:
            if node.up and node.run == run and node.stopped:
                node.stopped = False
                waiting, node.waiting = node.waiting, []
                for act in waiting:
                    act()

        self.after(self.draw.randint(0, 4 * S), wake)

    def _heal(self) -> None:
        self.cuts.clear()
        for node in self.nodes():
            if not node.up:
                self.again(node)
            elif node.stopped:
                node.stopped, waiting, node.waiting = False, node.waiting, []
                for act in waiting:
                    act()
