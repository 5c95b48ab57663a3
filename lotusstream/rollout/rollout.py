"""The state machine of one rollout, step by step.

Its state is an entry that the quorum commits before anything is done, so that the next leader of the rollout
goes on from there: no step is made twice and none is left out.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

import msgspec

from lotusstream.rollout.judge import Finding, JudgeBounds, RolloutJudge, Verdict, WindowReading
from lotusstream.rollout.plan import RolloutPlan, change_order, stage_ends

MAX_BAKES_WITHOUT_VERDICT = 4  # then an operator is asked
RESENDS_PER_PATIENCE = 4  # times that an order is sent again within a gateway's patience


class Phase(Enum):
    """Where a rollout stands."""

    CHANGING = "changing"
    BAKING = "baking"
    HELD = "held"
    BACK = "going back"
    DONE = "done"
    UNDONE = "undone"


FINAL_PHASES = (Phase.DONE, Phase.UNDONE)


class RolloutEntry(msgspec.Struct, frozen=True, array_like=True):
    """`seq`: one more each time. `changed`: in the order in which they were. `stepping`: those that are on
    their way to the new version, or back. `resumes`: what goes on after a hold. `out`: gateways that could
    not go back. `why`: of a hold or of going back."""

    seq: int
    phase: Phase
    stage: int
    changed: tuple[str, ...] = ()
    stepping: tuple[str, ...] = ()
    resumes: Phase | None = None
    out: tuple[str, ...] = ()
    why: str = ""


@dataclass(frozen=True, slots=True)
class GatewayStatusReported:
    """What the process supervisor of a gateway reports."""

    gateway: str
    version: str  # hash of what it runs
    ready: bool
    failed: str = ""  # why it fell back to the old version
    ends: int = 0  # how often its process has ended without being stopped


@dataclass(frozen=True, slots=True)
class WindowMeasured:
    """The readings of all gateways for one window."""

    readings: tuple[WindowReading, ...]


@dataclass(frozen=True, slots=True)
class EntryCommitted:
    """The quorum has committed an entry."""

    entry: RolloutEntry


@dataclass(frozen=True, slots=True)
class EntryRejected:
    """The quorum has not committed an entry. `now`: what is committed instead, if that is known."""

    now: RolloutEntry | None


@dataclass(frozen=True, slots=True)
class PauseRequested:
    """An operator pauses the rollout."""

    why: str


@dataclass(frozen=True, slots=True)
class ResumeRequested:
    """An operator lets a paused rollout go on."""


@dataclass(frozen=True, slots=True)
class AbortRequested:
    """An operator has the rollout undone."""

    why: str


@dataclass(frozen=True, slots=True)
class RolloutTimeAdvanced:
    """Time has passed; nothing else has happened."""


Event = (
    GatewayStatusReported
    | WindowMeasured
    | EntryCommitted
    | EntryRejected
    | PauseRequested
    | ResumeRequested
    | AbortRequested
    | RolloutTimeAdvanced
)


@dataclass(frozen=True, slots=True)
class ProposeEntry:
    """Propose an entry to the quorum, in place of the entry before it, or not at all."""

    entry: RolloutEntry


@dataclass(frozen=True, slots=True)
class ChangeVersion:
    """Have a gateway run a version; one that runs it already does nothing."""

    gateway: str
    version: str


@dataclass(frozen=True, slots=True)
class ReportFinding:
    """Report to operators how the changed gateways compare."""

    finding: Finding


Action = ProposeEntry | ChangeVersion | ReportFinding


class Rollout:
    """A rollout as its leader drives it, from when it gets the lease until it loses it.

    `entry`: as the quorum has committed it; None: the rollout begins now. `now`: microseconds.
    """

    def __init__(
        self,
        plan: RolloutPlan,
        zones: Mapping[str, str],
        bounds: JudgeBounds,
        entry: RolloutEntry | None,
        now: int,
    ) -> None:
        self.plan, self._zones, self._now = plan, dict(zones), now
        self._order = change_order(plan, zones)
        self._ends = stage_ends(plan, len(zones))
        self.entry = entry or RolloutEntry(0, Phase.CHANGING, 0)
        self._known = entry is not None
        self._standing: dict[str, GatewayStatusReported] = {}
        self._judge = RolloutJudge(bounds, len(plan.stages))
        self._judge.begin_stage(len(self.entry.changed) / max(1, len(zones)))
        self._finding = Finding(Verdict.UNDECIDED)
        self._since = now  # of this entry, as far as this driver knows
        self._pending_proposal: tuple[int, RolloutEntry] | None = None
        self._ordered_at: dict[str, int] = {}
        self._actions: list[Action] = []

    def handle(self, now: int, event: Event) -> list[Action]:
        """Takes an event at a time in microseconds and returns what is to be done, in order."""
        self._now, self._actions = max(now, self._now), []
        match event:
            case GatewayStatusReported():
                self._on_gateway_status(event)
            case WindowMeasured(readings):
                self._on_finding(self._judge.handle(readings))
            case EntryCommitted(entry):
                self._pending_proposal = None
                self._adopt(entry)
            case EntryRejected(other):
                self._pending_proposal = None
                if other is not None:
                    self._adopt(other)
            case PauseRequested(why):
                if self.entry.phase in (Phase.CHANGING, Phase.BAKING):
                    self._propose(phase=Phase.HELD, resumes=self.entry.phase, why=why)
            case ResumeRequested():
                if self.entry.phase is Phase.HELD:
                    self._propose(phase=self.entry.resumes or Phase.CHANGING, resumes=None, why="")
            case AbortRequested(why):
                if self.entry.phase not in (Phase.BACK, *FINAL_PHASES):
                    self._begin_rollback(why)
        self._drive()
        return self._actions

    # The entry

    def _adopt(self, entry: RolloutEntry) -> None:
        if self._known and entry.seq <= self.entry.seq:
            return
        before = self.entry
        self.entry, self._known = entry, True
        self._since = self._now
        another = (entry.phase, entry.stage) != (before.phase, before.stage)
        if another and entry.phase is Phase.BAKING and before.phase is not Phase.HELD:
            self._judge.begin_stage(len(entry.changed) / max(1, len(self._zones)))
            self._finding = Finding(Verdict.UNDECIDED)
        for gateway in entry.stepping:
            self._ordered_at.pop(gateway, None)

    def _propose(self, **changes: object) -> None:
        if self._pending_proposal is None:
            entry = msgspec.structs.replace(self.entry, seq=self.entry.seq + 1, **changes)
            self._pending_proposal = (self._now, entry)
            self._actions.append(ProposeEntry(entry))

    def _begin_rollback(self, why: str) -> None:
        """Those on their way count as changed: nobody knows how far they got."""
        entry = self.entry
        changed = (*entry.changed, *(each for each in entry.stepping if each not in entry.changed))
        self._propose(phase=Phase.BACK, changed=changed, stepping=(), resumes=None, why=why)

    # Judging

    def _on_gateway_status(self, status: GatewayStatusReported) -> None:
        known = self._standing.get(status.gateway)
        self._standing[status.gateway] = status
        if known is not None and status.ends > known.ends and status.gateway not in self.entry.stepping:
            new = [name for name, each in self._standing.items() if each.version == self.plan.new.hash]
            for _ in range(min(status.ends - known.ends, 3)):
                self._on_finding(
                    self._judge.on_process_ended(status.gateway in new, len(new) / len(self._standing))
                )

    def _on_finding(self, finding: Finding) -> None:
        before, self._finding = self._finding, finding
        if finding.verdict is not before.verdict:
            self._actions.append(ReportFinding(finding))

    # Driving

    def _drive(self) -> None:
        if self._pending_proposal is not None:
            if self._now - self._pending_proposal[0] > self.plan.patience:  # no answer: propose it again
                self._pending_proposal = (self._now, self._pending_proposal[1])
                self._actions.append(ProposeEntry(self._pending_proposal[1]))
            return
        if not self._known:
            self._propose()
            return
        match self.entry.phase:
            case Phase.CHANGING:
                self._continue_change()
            case Phase.BAKING:
                self._bake()
            case Phase.BACK:
                self._continue_rollback()

    def _runs(self, gateway: str, version: str) -> bool:
        known = self._standing.get(gateway)
        return known is not None and known.ready and known.version == version and not known.failed

    def _order_change(self, gateway: str, version: str) -> None:
        at = self._ordered_at.get(gateway)
        if at is None or self._now - at > self.plan.patience // RESENDS_PER_PATIENCE:
            self._ordered_at[gateway] = self._now
            self._actions.append(ChangeVersion(gateway, version))

    def _reason_to_stop(self) -> str:
        """Why not to go on, if there is a reason."""
        if self._finding.verdict is Verdict.WORSE:
            return f"worse: {self._finding.why}"
        for gateway in (*self.entry.changed, *self.entry.stepping):
            known = self._standing.get(gateway)
            if known is not None and known.failed:
                return f"{gateway} fell back: {known.failed}"
        return ""

    def _continue_change(self) -> None:
        entry, plan = self.entry, self.plan
        if why := self._reason_to_stop():
            self._begin_rollback(why)
            return
        done = [each for each in entry.stepping if self._runs(each, plan.new.hash)]
        late = [each for each in entry.stepping if each not in done]
        if late and self._now - self._since > plan.patience:
            self._begin_rollback(f"{late[0]} was not ready within its time")
            return
        for each in late:
            self._order_change(each, plan.new.hash)
        if done:
            self._propose(changed=(*entry.changed, *done), stepping=tuple(late))
            return
        end = self._ends[entry.stage]
        left = [each for each in self._order if each not in entry.changed and each not in entry.stepping]
        if len(entry.changed) >= end:
            self._propose(phase=Phase.BAKING)
        elif len(entry.changed) + len(entry.stepping) < end and left and self._may_step(plan.most_down):
            self._propose(stepping=(*entry.stepping, left[0]))

    def _may_step(self, most: int) -> bool:
        stepping = self.entry.stepping
        ready = sum(known.ready and name not in stepping for name, known in self._standing.items())
        return len(stepping) < most and ready - 1 >= self.plan.keep * len(self._zones)

    def _bake(self) -> None:
        if why := self._reason_to_stop():
            self._begin_rollback(why)
            return
        span = self._now - self._since
        if span < self.plan.bake:
            return
        if self.entry.stage + 1 >= len(self._ends):  # no old ones are left to compare with
            self._propose(phase=Phase.DONE)
        elif self._finding.verdict is Verdict.NO_WORSE:
            self._propose(phase=Phase.CHANGING, stage=self.entry.stage + 1)
        elif span > MAX_BAKES_WITHOUT_VERDICT * self.plan.bake:
            said = self._finding.windows
            why = f"can't tell after {said} windows" if said else "no traffic that says anything"
            self._propose(phase=Phase.HELD, resumes=Phase.BAKING, why=why)

    def _continue_rollback(self) -> None:
        entry, plan = self.entry, self.plan
        gone = [each for each in entry.stepping if self._runs(each, plan.old.hash)]
        late = [each for each in entry.stepping if each not in gone]
        if late and self._now - self._since > plan.patience:  # left out, and reported; the others go on
            kept = tuple(each for each in entry.changed if each not in entry.stepping)
            self._propose(changed=kept, stepping=(), out=(*entry.out, *late))
            return
        for each in late:
            self._order_change(each, plan.old.hash)
        if gone:
            kept = tuple(each for each in entry.changed if each not in gone)
            self._propose(changed=kept, stepping=tuple(late))
            return
        left = [each for each in reversed(entry.changed) if each not in entry.stepping]
        dead = [
            each
            for each in left
            if not self._standing.get(each, GatewayStatusReported(each, "", False)).ready
        ]
        if not entry.changed:
            self._propose(phase=Phase.UNDONE)
        elif dead and len(entry.stepping) < plan.most_back:  # takes no capacity away
            self._propose(stepping=(*entry.stepping, dead[0]))
        elif left and self._may_step(plan.most_back):
            self._propose(stepping=(*entry.stepping, left[0]))
