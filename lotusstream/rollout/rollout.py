"""One change of the fleet, step by step: a machine whose state is an entry that the quorum agrees on before
anything is done. Whoever drives next goes on from there, with no step made twice and none left out.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

import msgspec

from lotusstream.rollout.judge import Bounds, Finding, Judge, Reading, Verdict
from lotusstream.rollout.plan import Plan, order, stage_ends

LONGEST_BAKE = 4  # bakes without a verdict until a person is asked
AGAIN = 4  # times in its patience that a gateway is told again


class Phase(Enum):
    CHANGING = "changing"
    BAKING = "baking"
    HELD = "held"
    BACK = "going back"
    DONE = "done"
    UNDONE = "undone"


OVER = (Phase.DONE, Phase.UNDONE)


class Entry(msgspec.Struct, frozen=True, array_like=True):
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
class Standing:
    """As a gateway's keeper of processes says. `version`: the hash of what it runs. `failed`: it fell back.
    `ends`: how often its process has ended without being stopped."""

    gateway: str
    version: str
    ready: bool
    failed: str = ""
    ends: int = 0


@dataclass(frozen=True, slots=True)
class Window:
    """What all gateways have told of one window."""

    readings: tuple[Reading, ...]


@dataclass(frozen=True, slots=True)
class Agreed:
    entry: Entry


@dataclass(frozen=True, slots=True)
class NotAgreed:
    """`now`: what is agreed on instead, if that is known."""

    now: Entry | None


@dataclass(frozen=True, slots=True)
class Pause:
    why: str


@dataclass(frozen=True, slots=True)
class Resume:
    pass


@dataclass(frozen=True, slots=True)
class Abort:
    why: str


@dataclass(frozen=True, slots=True)
class Tick:
    pass


Event = Standing | Window | Agreed | NotAgreed | Pause | Resume | Abort | Tick


@dataclass(frozen=True, slots=True)
class Propose:
    """To the quorum: in place of the entry before it, or not at all."""

    entry: Entry


@dataclass(frozen=True, slots=True)
class Change:
    """To a gateway's keeper of processes; one that runs this version already has nothing to do."""

    gateway: str
    version: str


@dataclass(frozen=True, slots=True)
class Judged:
    """For people: what the new ones look like."""

    finding: Finding


Action = Propose | Change | Judged


class Rollout:
    """One driver's, from when it got the lease until it loses it. `entry`: as the quorum has it; None: the
    change begins now."""

    def __init__(
        self, plan: Plan, zones: Mapping[str, str], bounds: Bounds, entry: Entry | None, now: int
    ) -> None:
        self.plan, self._zones, self._now = plan, dict(zones), now
        self._order = order(plan, zones)
        self._ends = stage_ends(plan, len(zones))
        self.entry = entry or Entry(0, Phase.CHANGING, 0)
        self._known = entry is not None
        self._standing: dict[str, Standing] = {}
        self._judge = Judge(bounds, len(plan.stages))
        self._judge.begin(len(self.entry.changed) / max(1, len(zones)))
        self._finding = Finding(Verdict.CANT_TELL)
        self._since = now  # of this entry, as far as this driver knows
        self._open: tuple[int, Entry] | None = None
        self._told: dict[str, int] = {}
        self._out: list[Action] = []

    def handle(self, now: int, event: Event) -> list[Action]:
        self._now, self._out = max(now, self._now), []
        match event:
            case Standing():
                self._stands(event)
            case Window(readings):
                self._find(self._judge.handle(readings))
            case Agreed(entry):
                self._open = None
                self._adopt(entry)
            case NotAgreed(other):
                self._open = None
                if other is not None:
                    self._adopt(other)
            case Pause(why):
                if self.entry.phase in (Phase.CHANGING, Phase.BAKING):
                    self._propose(phase=Phase.HELD, resumes=self.entry.phase, why=why)
            case Resume():
                if self.entry.phase is Phase.HELD:
                    self._propose(phase=self.entry.resumes or Phase.CHANGING, resumes=None, why="")
            case Abort(why):
                if self.entry.phase not in (Phase.BACK, *OVER):
                    self._back(why)
        self._drive()
        return self._out

    # The entry

    def _adopt(self, entry: Entry) -> None:
        if self._known and entry.seq <= self.entry.seq:
            return
        before = self.entry
        self.entry, self._known = entry, True
        self._since = self._now
        another = (entry.phase, entry.stage) != (before.phase, before.stage)
        if another and entry.phase is Phase.BAKING and before.phase is not Phase.HELD:
            self._judge.begin(len(entry.changed) / max(1, len(self._zones)))
            self._finding = Finding(Verdict.CANT_TELL)
        for gateway in entry.stepping:
            self._told.pop(gateway, None)

    def _propose(self, **changes: object) -> None:
        if self._open is None:
            entry = msgspec.structs.replace(self.entry, seq=self.entry.seq + 1, **changes)
            self._open = (self._now, entry)
            self._out.append(Propose(entry))

    def _back(self, why: str) -> None:
        """Those on their way count as changed: nobody knows how far they got."""
        entry = self.entry
        changed = (*entry.changed, *(each for each in entry.stepping if each not in entry.changed))
        self._propose(phase=Phase.BACK, changed=changed, stepping=(), resumes=None, why=why)

    # Judging

    def _stands(self, told: Standing) -> None:
        known = self._standing.get(told.gateway)
        self._standing[told.gateway] = told
        if known is not None and told.ends > known.ends and told.gateway not in self.entry.stepping:
            new = [name for name, each in self._standing.items() if each.version == self.plan.new.hash]
            for _ in range(min(told.ends - known.ends, 3)):
                self._find(self._judge.ended(told.gateway in new, len(new) / len(self._standing)))

    def _find(self, finding: Finding) -> None:
        before, self._finding = self._finding, finding
        if finding.verdict is not before.verdict:
            self._out.append(Judged(finding))

    # Driving

    def _drive(self) -> None:
        if self._open is not None:
            if self._now - self._open[0] > self.plan.patience:  # its answer was lost: the same once more
                self._open = (self._now, self._open[1])
                self._out.append(Propose(self._open[1]))
            return
        if not self._known:
            self._propose()
            return
        match self.entry.phase:
            case Phase.CHANGING:
                self._go_on()
            case Phase.BAKING:
                self._bake()
            case Phase.BACK:
                self._go_back()

    def _runs(self, gateway: str, version: str) -> bool:
        known = self._standing.get(gateway)
        return known is not None and known.ready and known.version == version and not known.failed

    def _tell(self, gateway: str, version: str) -> None:
        at = self._told.get(gateway)
        if at is None or self._now - at > self.plan.patience // AGAIN:
            self._told[gateway] = self._now
            self._out.append(Change(gateway, version))

    def _worse(self) -> str:
        """Why not to go on, if there is a reason."""
        if self._finding.verdict is Verdict.WORSE:
            return f"worse: {self._finding.why}"
        for gateway in (*self.entry.changed, *self.entry.stepping):
            known = self._standing.get(gateway)
            if known is not None and known.failed:
                return f"{gateway} fell back: {known.failed}"
        return ""

    def _go_on(self) -> None:
        entry, plan = self.entry, self.plan
        if why := self._worse():
            self._back(why)
            return
        done = [each for each in entry.stepping if self._runs(each, plan.new.hash)]
        late = [each for each in entry.stepping if each not in done]
        if late and self._now - self._since > plan.patience:
            self._back(f"{late[0]} was not ready within its time")
            return
        for each in late:
            self._tell(each, plan.new.hash)
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
        if why := self._worse():
            self._back(why)
            return
        span = self._now - self._since
        if span < self.plan.bake:
            return
        if self.entry.stage + 1 >= len(self._ends):  # no old ones are left to compare with
            self._propose(phase=Phase.DONE)
        elif self._finding.verdict is Verdict.NO_WORSE:
            self._propose(phase=Phase.CHANGING, stage=self.entry.stage + 1)
        elif span > LONGEST_BAKE * self.plan.bake:
            said = self._finding.windows
            why = f"can't tell after {said} windows" if said else "no traffic that says anything"
            self._propose(phase=Phase.HELD, resumes=Phase.BAKING, why=why)

    def _go_back(self) -> None:
        entry, plan = self.entry, self.plan
        gone = [each for each in entry.stepping if self._runs(each, plan.old.hash)]
        late = [each for each in entry.stepping if each not in gone]
        if late and self._now - self._since > plan.patience:  # set out, and told; the others go on
            kept = tuple(each for each in entry.changed if each not in entry.stepping)
            self._propose(changed=kept, stepping=(), out=(*entry.out, *late))
            return
        for each in late:
            self._tell(each, plan.old.hash)
        if gone:
            kept = tuple(each for each in entry.changed if each not in gone)
            self._propose(changed=kept, stepping=tuple(late))
            return
        left = [each for each in reversed(entry.changed) if each not in entry.stepping]
        dead = [each for each in left if not self._standing.get(each, Standing(each, "", False)).ready]
        if not entry.changed:
            self._propose(phase=Phase.UNDONE)
        elif dead and len(entry.stepping) < plan.most_back:  # takes no capacity away
            self._propose(stepping=(*entry.stepping, dead[0]))
        elif left and self._may_step(plan.most_back):
            self._propose(stepping=(*entry.stepping, left[0]))
