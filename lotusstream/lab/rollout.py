"""Rollouts on a simulated fleet: new versions with defects, drivers that crash between any two steps, and
disturbances that affect the old and the new version alike. Invariants are checked after every change.

The driver is the process that runs the state machine of the rollout; there is one at a time.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from lotusstream.lab.world import MS, Node, S, Simulation, SimulationOptions
from lotusstream.rollout import rollout as state_machine
from lotusstream.rollout.judge import JudgeBounds, WindowReading
from lotusstream.rollout.plan import RolloutPlan, RolloutVersion

WINDOW_US = 10 * S  # duration of one measurement window, microseconds


@dataclass(frozen=True, slots=True, kw_only=True)
class Defect:
    """How the new version differs from the old one."""

    # by signal ("lost", "late"): what the defect adds to the share of requests with that signal, 0 to 1
    added_shares: dict[str, float] = field(default_factory=dict)
    zone: str = ""  # name of the only zone in which the defect appears; "": it appears in all zones
    starts_up: bool = True  # whether a process of the new version becomes ready
    lifetime_us: int = 0  # microseconds from when a process is ready until it crashes; 0: it does not crash
    rule_break_probability: float = 0.0  # probability that a gateway violates a rule in one window
    cpu_factor: float = 1.0  # ratio of its CPU time per request to that of the old version


STAGES = (0.0, 0.25, 1.0)  # share of the gateways changed at the end of each stage; 0: a single gateway
PLAN = RolloutPlan(
    1, RolloutVersion(1, "old"), RolloutVersion(2, "new", "old"), STAGES, 200 * S, 30 * S, 2, 6, 0.8
)
NO_DEFECT = Defect()
DEFECTS = {  # by name; a rollout of a version with one of them has to be rolled back
    "dies at its start": Defect(starts_up=False),
    "dies after a minute": Defect(lifetime_us=60 * S),
    "loses one in twenty": Defect(added_shares={"lost": 0.05}),
    "is bad in one zone alone": Defect(added_shares={"lost": 0.1}, zone="z1"),
    "is late": Defect(added_shares={"late": 0.06}),
    "breaks a rule once": Defect(rule_break_probability=0.02),
    "takes a tenth more of a core": Defect(cpu_factor=1.1),
}


@dataclass(frozen=True, slots=True, kw_only=True)
class RolloutScenario(SimulationOptions):
    """Fleet, plan, defect and faults of a run. Times are in microseconds."""

    duration_us: int = 5 * 3600 * S
    faults_end_us: int = 3 * 3600 * S
    fault_interval_us: int = 120 * S
    faults: tuple[str, ...] = ("driver", "driver", "gateway", "trouble", "load")
    gateways: int = 20  # number of gateways
    zones: int = 3  # number of zones, which the gateways are spread over evenly
    requests_per_window: int = 60  # mean number of requests at one gateway in one window
    lease_us: int = 10 * S  # duration of the driver's lease: another driver starts this long after a crash
    status_interval_us: int = S  # interval between two status reports of a gateway
    operator_delay_us: int = 60 * S  # delay until an operator reacts to a paused rollout
    plan: RolloutPlan = PLAN
    defect: Defect = NO_DEFECT


class GatewayNode(Node):
    """A gateway whose version the rollout changes."""

    def __init__(self, name: str, zone: str, simulation: RolloutSimulation) -> None:
        super().__init__(name, simulation.rng, 0.0)
        # `failed`: reason for which it fell back to the old version; "": it has not fallen back
        self.zone, self.version, self.failed = zone, simulation.scenario.plan.old.hash, ""
        self.ready_since: int | None = 0  # simulated time when it became ready, microseconds; None: not ready
        self.change_count = 0  # number of changes of its version
        # amount added to its usual share of lost, late and refused requests, since gateways serve different
        # clients
        self.bias = simulation.rng.uniform(-0.01, 0.01)
        # whether it is down after a crash (False while its version is changed); number of its crashes
        self.down_by_fault, self.crash_count = False, 0


@dataclass(slots=True)
class RolloutResult:
    """How a rollout ended."""

    phase: state_machine.Phase  # its last phase
    why: str  # reason of that phase
    duration_us: int  # simulated microseconds from the start of the run to the end of the rollout
    harmed_requests: float  # expected number of requests that were lost because of the defect
    pauses: int  # number of times that the rollout was paused
    driver_count: int  # number of driver processes, which ran one after the other


class RolloutSimulation(Simulation):
    """A fleet, the driver of its rollout, and the quorum that commits the rollout's entries."""

    def __init__(self, seed: int, scenario: RolloutScenario) -> None:
        super().__init__(seed, scenario)
        self.scenario = scenario
        self.gateways = {
            f"g{at}": GatewayNode(f"g{at}", f"z{at % scenario.zones}", self)
            for at in range(scenario.gateways)
        }
        self.driver = Node("driver", self.rng, 0.0)
        self.rollout: state_machine.Rollout | None = None
        self.committed: state_machine.RolloutEntry | None = None
        # by zone: simulated time until which its endpoints fail, microseconds, and the amount that this adds
        # to the share of each signal
        self.zone_failures: dict[str, tuple[int, float]] = {}
        self.load_until, self.harmed_requests, self.pauses, self.driver_count = 0, 0.0, 0, 0
        self.ended_at = 0
        self.start_node(self.driver)
        for gateway in self.gateways.values():
            self.schedule_after(self.rng.randint(0, S), self._status_sender(gateway))
        self.schedule_after(WINDOW_US, self._measure_window)

    def nodes(self) -> list[Node]:
        """Returns the gateways and the driver."""
        return [*self.gateways.values(), self.driver]

    def run(self) -> RolloutResult:
        """Plays the run and checks its end: the rollout has finished, and gateways run the right version."""
        self.play()
        entry = self.committed
        if entry is None or entry.phase not in state_machine.FINAL_PHASES:
            self.fail(f"the rollout is not finished though all faults have ended: {entry}")
            raise AssertionError
        wanted = (
            self.scenario.plan.new.hash
            if entry.phase is state_machine.Phase.DONE
            else self.scenario.plan.old.hash
        )
        for each in self.gateways.values():
            if each.version != wanted and each.name not in entry.not_rolled_back:
                self.fail(f"{each.name} runs {each.version} at the end of the rollout ({entry.phase.value})")
        return RolloutResult(
            entry.phase, entry.reason, self.ended_at, self.harmed_requests, self.pauses, self.driver_count
        )

    # Drivers

    def start_node(self, node: Node) -> None:
        """Starts a gateway with its version, or a new driver from the last committed entry."""
        node.is_up, node.is_paused, node.run_number = True, False, node.run_number + 1
        if isinstance(node, GatewayNode):
            self._begin_startup(node, node.version)
            return
        zones = {each.name: each.zone for each in self.gateways.values()}
        plan = self.scenario.plan
        self.driver_count += 1
        self.rollout = state_machine.Rollout(
            plan, zones, JudgeBounds.plain(plan.false_alarm_probability), self.committed, self.now
        )
        self._tick()

    def _tick(self) -> None:
        self._handle_rollout_event(state_machine.RolloutTimeAdvanced())
        if self.committed is None or self.committed.phase not in state_machine.FINAL_PHASES:
            self.schedule_after(S, self._in_this_run(self.driver, self._tick))

    def _handle_rollout_event(self, event: state_machine.Event) -> None:
        assert self.rollout is not None
        for action in self.rollout.handle(self.now, event):
            match action:
                case state_machine.ProposeEntry(entry):
                    self.schedule_after(
                        self.rng.randint(5 * MS, 50 * MS), self._commitment(self.rollout, entry)
                    )
                case state_machine.ChangeVersion(gateway, version):
                    node = self.gateways[gateway]
                    self._deliver(self.driver, node, self._version_change(node, version))

    def _commitment(
        self, rollout: state_machine.Rollout, entry: state_machine.RolloutEntry
    ) -> Callable[[], None]:
        """Returns a callback that has the quorum commit or reject an entry, and reply to the driver."""

        def commit() -> None:
            is_next = entry.seq == (self.committed.seq if self.committed else 0) + 1
            if is_next:
                self.committed = entry
                self._on_committed(entry)
            is_committed = self.committed == entry
            event: state_machine.Event = (
                state_machine.EntryCommitted(entry)
                if is_committed
                else state_machine.EntryRejected(self.committed)
            )
            if (
                rollout is self.rollout
                and self.driver.is_up
                and self.rng.random() > self.scenario.loss_probability
            ):
                self._handle_rollout_event(event)

        return commit

    def _on_committed(self, entry: state_machine.RolloutEntry) -> None:
        """Plays the operator: a paused rollout is resumed, and aborted after its fourth pause."""
        if entry.phase in state_machine.FINAL_PHASES:
            self.ended_at = self.now
        if entry.phase is state_machine.Phase.PAUSED:
            self.pauses += 1
            gives_up = self.pauses > 3
            event: state_machine.Event = (
                state_machine.AbortRequested("paused too often")
                if gives_up
                else state_machine.ResumeRequested()
            )
            self._schedule_operator_request(entry.seq, event)

    def _schedule_operator_request(self, seq: int, event: state_machine.Event) -> None:
        """Has an operator send `event` repeatedly while the entry `seq` is the committed one."""

        def react() -> None:
            if self.committed is not None and self.committed.seq == seq:
                if self.driver.is_up:
                    self._handle_rollout_event(event)
                self._schedule_operator_request(seq, event)

        self.schedule_after(self.scenario.operator_delay_us, react)

    # Gateways

    def _version_change(self, node: GatewayNode, version: str) -> Callable[[], None]:
        """Returns a callback that carries out an order to change the version of a gateway."""

        def change() -> None:
            if node.version == version and not node.failed:
                return
            plan = self.scenario.plan
            stepping = self.committed.in_progress if self.committed else ()
            if node.name not in stepping:
                # The order is of an earlier step. The process supervisor asks the quorum before it carries
                # out an order, and ignores this one.
                return
            node.change_count += 1
            if node.change_count > 2:
                self.fail(f"{node.name} was changed {node.change_count} times")
            node.run_number += 1
            node.is_up, node.ready_since = True, None
            node.failed = ""
            has_defect = version == plan.new.hash and not self.scenario.defect.starts_up
            node.version = plan.old.hash if has_defect else version
            node.failed = "died at its start" if has_defect else ""
            self.schedule_after(
                self.rng.randint(S, 4 * S), self._in_this_run(node, lambda: self._on_ready(node))
            )
            self._check_invariants()

        return change

    def _begin_startup(self, node: GatewayNode, version: str) -> None:
        node.version, node.ready_since = version, None
        self.schedule_after(self.rng.randint(S, 3 * S), self._in_this_run(node, lambda: self._on_ready(node)))

    def _on_ready(self, node: GatewayNode) -> None:
        node.ready_since, node.down_by_fault = self.now, False
        defect = self.scenario.defect
        if node.version == self.scenario.plan.new.hash and defect.lifetime_us:
            self.schedule_after(defect.lifetime_us, self._in_this_run(node, lambda: self._crash(node)))

    def _crash(self, node: GatewayNode) -> None:
        node.ready_since, node.down_by_fault = None, True
        node.crash_count += 1
        self.stop_node(node)
        self.restart_later(node, 2 * S)

    def _status_sender(self, node: GatewayNode) -> Callable[[], None]:
        """Returns a callback that sends a status report of a gateway, and schedules the next one."""

        def send_status() -> None:
            status = state_machine.GatewayStatusReported(
                node.name, node.version, node.ready_since is not None, node.failed, node.crash_count
            )
            if self.committed is not None and self.committed.phase in state_machine.FINAL_PHASES:
                return
            if self.driver.is_up:
                self._deliver(node, self.driver, lambda: self._handle_rollout_event(status))
            self.schedule_after(self.scenario.status_interval_us, send_status)

        return send_status

    def _measure_window(self) -> None:
        """Gives the driver the measurements of all ready gateways, and schedules the next window."""
        self._check_invariants()
        if self.committed is not None and self.committed.phase in state_machine.FINAL_PHASES:
            return
        readings = [self._reading(each) for each in self.gateways.values() if each.ready_since is not None]
        lost = self.scenario.loss_probability if self.now < self.scenario.faults_end_us else 0.0
        delivered = tuple(each for each in readings if self.rng.random() >= lost)
        if self.driver.is_up:
            self._handle_rollout_event(state_machine.WindowMeasured(delivered))
        self.schedule_after(WINDOW_US, self._measure_window)

    def _reading(self, node: GatewayNode) -> WindowReading:
        """Draws the measurements of one gateway in one window."""
        rng, defect = self.rng, self.scenario.defect
        is_new = node.version == self.scenario.plan.new.hash
        has_defect = is_new and (not defect.zone or defect.zone == node.zone)
        fails_until, added_by_zone = self.zone_failures.get(node.zone, (0, 0.0))
        usual_share = 0.02 + node.bias + (added_by_zone if self.now < fails_until else 0.0)
        expected = self.scenario.requests_per_window * (2 if self.now < self.load_until else 1)
        request_count = max(0, int(rng.gauss(expected, expected**0.5)))

        def share(signal: str, base_share: float) -> float:
            expected_share = max(
                0.0,
                min(1.0, base_share + (defect.added_shares.get(signal, 0.0) if has_defect else 0.0)),
            )
            deviation = (expected_share * (1 - expected_share) / max(1, request_count)) ** 0.5
            return max(0.0, min(1.0, rng.gauss(expected_share, deviation)))

        lost = share("lost", usual_share)
        if has_defect:
            self.harmed_requests += request_count * defect.added_shares.get("lost", 0.0)
        cpu = request_count * 4000 * (defect.cpu_factor if has_defect else 1.0) * rng.gauss(1, 0.05)
        age = (self.now - (node.ready_since or 0)) // WINDOW_US
        late, refused = share("late", usual_share), share("refused", usual_share / 2)
        broken = int(has_defect and rng.random() < defect.rule_break_probability)
        return WindowReading(
            node.name, node.zone, is_new, age, request_count, float(request_count),
            request_count * (1 - lost), int(late * request_count), int(refused * request_count), 0, int(cpu),
            broken,
        )  # fmt: skip

    def _check_invariants(self) -> None:
        """Checks how many gateways are being changed at once, and which versions run."""
        plan = self.scenario.plan
        changing = [
            each for each in self.gateways.values() if each.ready_since is None and not each.down_by_fault
        ]
        crashed = [each for each in self.gateways.values() if each.down_by_fault]
        allowed = len(self.gateways) - plan.min_ready_share * len(self.gateways)
        if len(changing) > allowed:
            self.fail(f"{len(changing)} gateways are down for a change; expected at most {allowed:g}")
        if len(changing) > max(plan.max_concurrent_changes, plan.max_concurrent_rollbacks) + len(crashed):
            self.fail(f"{len(changing)} gateways are being changed at once, more than the plan allows")
        versions = {each.version for each in self.gateways.values()}
        if not versions <= {plan.old.hash, plan.new.hash}:
            self.fail(f"gateways run {versions}; expected only the old and the new version")

    # Faults

    def _fault_driver(self) -> None:
        """The driver crashes; another one starts once its lease has expired."""
        if self.driver.is_up:
            self.stop_node(self.driver)
            self.schedule_after(
                self.scenario.lease_us, lambda: None if self.driver.is_up else self.start_node(self.driver)
            )

    def _fault_gateway(self) -> None:
        """A gateway crashes and restarts."""
        node = self.rng.choice(list(self.gateways.values()))
        if node.is_up:
            self._crash(node)

    def _fault_trouble(self) -> None:
        """Endpoints of one zone fail for a while, for gateways of the old and the new version alike."""
        zone = self.rng.choice(sorted({each.zone for each in self.gateways.values()}))
        self.zone_failures[zone] = (self.now + self.rng.randint(20 * S, 300 * S), self.rng.uniform(0.05, 0.4))

    def _fault_load(self) -> None:
        """Every gateway gets twice as many requests for a while."""
        self.load_until = self.now + self.rng.randint(20 * S, 300 * S)


def play(seed: int, scenario: RolloutScenario | None = None) -> RolloutResult:
    """Plays one rollout. Raises InvariantViolationError."""
    return RolloutSimulation(seed, scenario or RolloutScenario()).run()
