"""Base of the simulations: one event queue, nodes with clocks of their own, and an unreliable network.

Links lose, duplicate and delay messages. Every random choice is drawn from `random.Random(seed)`:
a seed gives the same run each time.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass

MS, S = 1_000, 1_000_000  # microseconds


class InvariantViolationError(AssertionError):
    """An invariant was violated; the text names the seed and the simulated time."""


@dataclass(frozen=True, slots=True, kw_only=True)
class SimulationOptions:
    """Length, faults and network of one run. Times are in simulated microseconds."""

    duration_us: int = 14 * S  # time from the start to the end of the run
    # time from the start until all faults are undone; the network is reliable from then on
    faults_end_us: int = 9 * S
    # time from the start to the first fault; each further one follows after 1/3 to 2 times as long
    fault_interval_us: int = 700 * MS
    faults: tuple[str, ...] = ()  # kinds of faults to draw from; empty: no faults
    loss_probability: float = 0.02  # probability that a message is lost
    duplication_probability: float = 0.02  # probability that a message is delivered twice
    delay_probability: float = 0.02  # probability that a delivery takes up to 800 ms instead of up to 5 ms


class Node:
    """A simulated process with a clock of its own, which also runs while the process is paused."""

    def __init__(self, name: str, rng: random.Random, drift: float) -> None:
        # `is_paused`: whether it is suspended, as by SIGSTOP; `run_number`: number of starts of the process
        self.name, self.is_up, self.is_paused, self.run_number = name, True, False, 0
        # its clock shows `clock_offset_us` at the start, and advances by `clock_rate` microseconds in each
        # simulated microsecond
        self.clock_rate = 1 + rng.choice((-drift, drift, rng.uniform(-drift, drift)))
        self.clock_offset_us = rng.randint(0, 1000 * S)
        self.deferred: list[Callable[[], None]] = []  # callbacks that run when the process is resumed

    def local_time(self, now: int) -> int:
        """Returns what its clock shows at a simulated time."""
        return int(now * self.clock_rate) + self.clock_offset_us

    def simulated_time(self, local_time: int) -> int:
        """Returns the first simulated time at which its clock is past a local time."""
        return int((local_time - self.clock_offset_us) / self.clock_rate) + 1


class Simulation:
    """Plays the run of one seed: its events, its network and its faults.

    A fault of the kind "one-way" is injected by the method `_fault_one_way`.
    """

    def __init__(self, seed: int, options: SimulationOptions) -> None:
        self.seed, self.options, self.rng, self.now = seed, options, random.Random(seed), 0
        # heap of scheduled callbacks: simulated time, number in the order of scheduling, callback
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._event_count = 0  # number of callbacks scheduled so far
        # sender and recipient of each link whose messages are lost
        self.cut_links: set[tuple[str, str]] = set()
        # by node: simulated time of its pending timer, and number of the process run that has set it
        self._timers: dict[str, tuple[int, int]] = {}
        self._no_faults_until = 0  # simulated time before which no fault is injected

    def nodes(self) -> list[Node]:
        """Returns all processes, which faults may hit."""
        raise NotImplementedError

    def start_node(self, node: Node) -> None:
        """Starts a process, for the first time or again."""
        raise NotImplementedError

    def fail(self, problem: str) -> None:
        """Ends the run with an error that names the seed, the simulated time and the problem."""
        raise InvariantViolationError(f"seed {self.seed}, at {self.now / S:.3f} s: {problem}")

    def play(self) -> None:
        """Handles the events of the whole run in order."""
        if self.options.faults:
            self.schedule_at(self.options.fault_interval_us, self._inject_fault)
        self.schedule_at(self.options.faults_end_us, self._heal)
        while self._events and self._events[0][0] <= self.options.duration_us:
            self.now, _, callback = heapq.heappop(self._events)
            callback()

    def schedule_at(self, when: int, callback: Callable[[], None]) -> None:
        """Runs a callback at a simulated time, or now if that has passed."""
        self._event_count += 1
        heapq.heappush(self._events, (max(when, self.now), self._event_count, callback))

    def schedule_after(self, delay: int, callback: Callable[[], None]) -> None:
        """Runs a callback after a delay, in simulated microseconds."""
        self.schedule_at(self.now + delay, callback)

    def _in_this_run(self, node: Node, callback: Callable[[], None]) -> Callable[[], None]:
        """Wraps a callback: it is dropped once this run of the process has ended, and deferred while the
        process is paused."""
        run = node.run_number

        def go() -> None:
            if not node.is_up or node.run_number != run:
                return
            if node.is_paused:
                node.deferred.append(go)
            else:
                callback()

        return go

    def _set_timer(self, node: Node, local_time: int, callback: Callable[[], None]) -> None:
        """Sets a timer at a time of the node's clock.

        A pending timer of the same run of the process is kept if it fires at that time or earlier.
        """
        fires_at = max(self.now + MS, node.simulated_time(local_time))
        pending_at, run = self._timers.get(node.name, (0, -1))
        if run == node.run_number and self.now < pending_at <= fires_at:
            return
        self._timers[node.name] = (fires_at, node.run_number)
        self.schedule_at(fires_at, self._in_this_run(node, callback))

    # The network

    def _deliver(self, source: Node, target: Node, callback: Callable[[], None]) -> None:
        """Sends a message: `callback` runs at the target on its arrival, and twice if it is duplicated."""
        if (source.name, target.name) in self.cut_links:
            return
        options, rng = self.options, self.rng
        copies, is_healed = 1, self.now >= options.faults_end_us
        if not is_healed:
            roll = rng.random()
            copies = (
                0
                if roll < options.loss_probability
                else 2
                if roll < options.loss_probability + options.duplication_probability
                else 1
            )
        for _ in range(copies):
            is_delayed = rng.random() < options.delay_probability and not is_healed
            delay = rng.randint(0, 800 * MS) if is_delayed else rng.randint(200, 5 * MS)
            self.schedule_after(delay, self._arrival(target, callback))

    def _arrival(self, target: Node, callback: Callable[[], None]) -> Callable[[], None]:
        def go() -> None:  # the run of the process at the time of arrival handles the message
            if target.is_up and not target.is_paused:
                callback()
            elif target.is_up:
                target.deferred.append(go)

        return go

    # Faults

    def _inject_fault(self) -> None:
        """Injects a fault of a random kind, and schedules the next one."""
        if self.now >= self.options.faults_end_us:
            return
        kind = self.rng.choice(self.options.faults)
        if self.now >= self._no_faults_until:
            getattr(self, "_fault_" + kind.replace("-", "_"))()
        self.schedule_after(
            self.rng.randint(self.options.fault_interval_us // 3, 2 * self.options.fault_interval_us),
            self._inject_fault,
        )

    def stop_node(self, node: Node) -> None:
        """Crashes a process."""
        node.is_up = False

    def restart_later(self, node: Node, max_delay: int) -> None:
        """Starts the process again after a random delay of at most `max_delay` microseconds, unless it was
        started meanwhile."""
        run = node.run_number

        def begin() -> None:
            if not node.is_up and node.run_number == run:
                self.start_node(node)

        self.schedule_after(self.rng.randint(0, max_delay), begin)

    def _any_node(self) -> Node:
        return self.rng.choice(self.nodes())

    def _fault_cut(self) -> None:
        """A network partition: nodes on different sides do not reach each other for up to 3 s."""
        names = [node.name for node in self.nodes()]
        side = {name for name in names if self.rng.random() < 0.5}
        cut = {(a, b) for a in names for b in names if (a in side) != (b in side)}
        self.cut_links |= cut
        self.schedule_after(self.rng.randint(0, 3 * S), lambda: self.cut_links.difference_update(cut))

    def _fault_one_way(self) -> None:
        """Messages from one node, or those to it, are lost for up to 3 s; the other direction works."""
        node, outbound = self._any_node().name, self.rng.random() < 0.5
        others = [each.name for each in self.nodes() if each.name != node]
        cut = {(node, other) if outbound else (other, node) for other in others}
        self.cut_links |= cut
        self.schedule_after(self.rng.randint(0, 3 * S), lambda: self.cut_links.difference_update(cut))

    def _fault_stop(self) -> None:
        """A process is paused for up to 4 s, as by SIGSTOP; messages to it wait."""
        node = self._any_node()
        if not node.is_up or node.is_paused:
            return
        node.is_paused, run = True, node.run_number

        def wake() -> None:
            if node.is_up and node.run_number == run and node.is_paused:
                node.is_paused = False
                waiting, node.deferred = node.deferred, []
                for callback in waiting:
                    callback()

        self.schedule_after(self.rng.randint(0, 4 * S), wake)

    def _heal(self) -> None:
        """Undoes all faults: every link works and every process runs."""
        self.cut_links.clear()
        for node in self.nodes():
            if not node.is_up:
                self.start_node(node)
            elif node.is_paused:
                node.is_paused, waiting, node.deferred = False, node.deferred, []
                for callback in waiting:
                    callback()
