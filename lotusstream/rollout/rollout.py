"""The state machine of one rollout.

Its state is an entry that the quorum commits before any gateway is changed. When the leader of the rollout is
lost, the next one continues from that entry: no step is repeated and none is left out.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

import msgspec

from lotusstream.rollout.judge import Finding, JudgeBounds, RolloutJudge, Verdict, WindowReading
from lotusstream.rollout.plan import RolloutPlan, change_order, stage_ends

MAX_BAKES_WITHOUT_VERDICT = 4  # a stage without a verdict is paused after this many bake times
RESENDS_PER_TIMEOUT = 4  # how often `ChangeVersion` is repeated within the change timeout


class Phase(Enum):
    """The phase of a rollout. The values are the stored form."""

    CHANGING = "changing"
    BAKING = "baking"
    PAUSED = "held"
    ROLLING_BACK = "going back"
    DONE = "done"
    ROLLED_BACK = "undone"


FINAL_PHASES = (Phase.DONE, Phase.ROLLED_BACK)


class RolloutEntry(msgspec.Struct, frozen=True, array_like=True):
    """The committed state of a rollout. The order of fields is the form in which it is stored."""

    seq: int  # sequence number; each entry has the number of the one before it plus 1
    phase: Phase
    stage: int  # index in `RolloutPlan.stages`
    changed: tuple[str, ...] = ()  # changed gateways, in the order of their changes
    in_progress: tuple[str, ...] = ()  # gateways whose change or rollback has begun and has not ended
    resume_phase: Phase | None = None  # the phase that follows a pause; None: the rollout is not paused
    not_rolled_back: tuple[str, ...] = ()  # gateways whose rollback timed out
    reason: str = ""  # reason of the pause or the rollback, for operators; "": there was neither


@dataclass(frozen=True, slots=True)
class GatewayStatusReported:
    """The process supervisor of a gateway has reported the gateway's status."""

    gateway: str
    version: str  # hash of the version that it runs
    ready: bool
    failed: str = ""  # why the gateway returned to the old version without an order; "": it has not
    ends: int = 0  # number of unplanned exits of the gateway's process so far


@dataclass(frozen=True, slots=True)
class WindowMeasured:
    """A window of time has ended, and the readings of all gateways for it have arrived."""

    readings: tuple[WindowReading, ...]


@dataclass(frozen=True, slots=True)
class EntryCommitted:
    """The quorum has committed an entry."""

    entry: RolloutEntry


@dataclass(frozen=True, slots=True)
class EntryRejected:
    """The quorum has not committed an entry."""

    now: RolloutEntry | None  # the entry that is committed instead; None: not known


@dataclass(frozen=True, slots=True)
class PauseRequested:
    """An operator pauses the rollout."""

    reason: str


@dataclass(frozen=True, slots=True)
class ResumeRequested:
    """An operator resumes a paused rollout."""


@dataclass(frozen=True, slots=True)
class AbortRequested:
    """An operator ends the rollout: all changed gateways are rolled back."""

    reason: str


@dataclass(frozen=True, slots=True)
class RolloutTimeAdvanced:
    """Time has passed: a bake time, a timeout or a repetition of a message may be due."""


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
    """Propose an entry to the quorum, which commits it only as the successor of the entry before it."""

    entry: RolloutEntry


@dataclass(frozen=True, slots=True)
class ChangeVersion:
    """Make a gateway run a version; a gateway that already runs it ignores this."""

    gateway: str
    version: str


@dataclass(frozen=True, slots=True)
class ReportFinding:
    """Report to operators how the changed gateways compare with the unchanged ones."""

    finding: Finding


Action = ProposeEntry | ChangeVersion | ReportFinding


class Rollout:
    """One rollout. It runs on its leader, the gateway with the lease for it. Events in, actions out."""

    def __init__(
        self,
        plan: RolloutPlan,
        zones: Mapping[str, str],
        bounds: JudgeBounds,
        entry: RolloutEntry | None,
        now: int,
    ) -> None:
        """Continue from a committed entry.

        :param zones: the zone of each gateway.
        :param entry: the newest committed entry; None: the rollout begins now.
        :param now: microseconds of a monotonic clock.
        """
        self.plan, self._zones, self._now = plan, dict(zones), now
        self._order = change_order(plan, zones)
        self._stage_ends = stage_ends(plan, len(zones))
        self.entry = entry or RolloutEntry(0, Phase.CHANGING, 0)
        self._entry_committed = entry is not None
        self._statuses: dict[str, GatewayStatusReported] = {}
        self._judge = RolloutJudge(bounds, len(plan.stages))
        self._judge.begin_stage(len(self.entry.changed) / max(1, len(zones)))
        self._finding = Finding(Verdict.UNDECIDED)
        self._entry_since = now  # when this leader learned that `entry` is committed, microseconds
        # Time of the proposal (microseconds) and the proposed entry; None: no proposal waits for an answer.
        self._pending_proposal: tuple[int, RolloutEntry] | None = None
        self._ordered_at: dict[str, int] = {}  # time of the last `ChangeVersion` by gateway, microseconds
        self._actions: list[Action] = []

    def handle(self, now: int, event: Event) -> list[Action]:
        """Takes an event at this time (microseconds) and returns the actions to carry out, in order."""
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
            case PauseRequested(reason):
                if self.entry.phase in (Phase.CHANGING, Phase.BAKING):
                    self._propose(phase=Phase.PAUSED, resume_phase=self.entry.phase, reason=reason)
            case ResumeRequested():
                if self.entry.phase is Phase.PAUSED:
                    self._propose(
                        phase=self.entry.resume_phase or Phase.CHANGING, resume_phase=None, reason=""
                    )
            case AbortRequested(reason):
                if self.entry.phase not in (Phase.ROLLING_BACK, *FINAL_PHASES):
                    self._begin_rollback(reason)
        self._drive()
        return self._actions

    # The entry

    def _adopt(self, entry: RolloutEntry) -> None:
        if self._entry_committed and entry.seq <= self.entry.seq:
            return
        before = self.entry
        self.entry, self._entry_committed = entry, True
        self._entry_since = self._now
        another = (entry.phase, entry.stage) != (before.phase, before.stage)
        if another and entry.phase is Phase.BAKING and before.phase is not Phase.PAUSED:
            self._judge.begin_stage(len(entry.changed) / max(1, len(self._zones)))
            self._finding = Finding(Verdict.UNDECIDED)
        for gateway in entry.in_progress:
            self._ordered_at.pop(gateway, None)

    def _propose(self, **changes: object) -> None:
        if self._pending_proposal is None:
            entry = msgspec.structs.replace(self.entry, seq=self.entry.seq + 1, **changes)
            self._pending_proposal = (self._now, entry)
            self._actions.append(ProposeEntry(entry))

    def _begin_rollback(self, reason: str) -> None:
        """Roll back all changed gateways, and those in progress: they may run the new version already."""
        entry = self.entry
        changed = (*entry.changed, *(each for each in entry.in_progress if each not in entry.changed))
        self._propose(
            phase=Phase.ROLLING_BACK, changed=changed, in_progress=(), resume_phase=None, reason=reason
        )

    # Judging

    def _on_gateway_status(self, status: GatewayStatusReported) -> None:
        known = self._statuses.get(status.gateway)
        self._statuses[status.gateway] = status
        if known is not None and status.ends > known.ends and status.gateway not in self.entry.in_progress:
            new = [name for name, each in self._statuses.items() if each.version == self.plan.new.hash]
            for _ in range(min(status.ends - known.ends, 3)):
                self._on_finding(
                    self._judge.on_process_ended(status.gateway in new, len(new) / len(self._statuses))
                )

    def _on_finding(self, finding: Finding) -> None:
        before, self._finding = self._finding, finding
        if finding.verdict is not before.verdict:
            self._actions.append(ReportFinding(finding))

    # Driving

    def _drive(self) -> None:
        if self._pending_proposal is not None:
            if self._now - self._pending_proposal[0] > self.plan.change_timeout_us:
                # The quorum's answer was lost: propose the same entry again
                self._pending_proposal = (self._now, self._pending_proposal[1])
                self._actions.append(ProposeEntry(self._pending_proposal[1]))
            return
        if not self._entry_committed:
            self._propose()
            return
        match self.entry.phase:
            case Phase.CHANGING:
                self._continue_changing()
            case Phase.BAKING:
                self._bake()
            case Phase.ROLLING_BACK:
                self._continue_rollback()

    def _runs(self, gateway: str, version: str) -> bool:
        """Whether a gateway is ready with this version, and has not returned to the old one by itself."""
        known = self._statuses.get(gateway)
        return known is not None and known.ready and known.version == version and not known.failed

    def _order_change(self, gateway: str, version: str) -> None:
        """Emit `ChangeVersion`, unless it was emitted for this gateway a short time ago."""
        at = self._ordered_at.get(gateway)
        if at is None or self._now - at > self.plan.change_timeout_us // RESENDS_PER_TIMEOUT:
            self._ordered_at[gateway] = self._now
            self._actions.append(ChangeVersion(gateway, version))

    def _reason_to_stop(self) -> str:
        """Return why the rollout must be rolled back; "": it may continue."""
        if self._finding.verdict is Verdict.WORSE:
            return f"worse: {self._finding.reason}"
        for gateway in (*self.entry.changed, *self.entry.in_progress):
            known = self._statuses.get(gateway)
            if known is not None and known.failed:
                return f"{gateway} returned to the old version: {known.failed}"
        return ""

    def _continue_changing(self) -> None:
        entry, plan = self.entry, self.plan
        if reason := self._reason_to_stop():
            self._begin_rollback(reason)
            return
        done = [each for each in entry.in_progress if self._runs(each, plan.new.hash)]
        late = [each for each in entry.in_progress if each not in done]
        if late and self._now - self._entry_since > plan.change_timeout_us:
            self._begin_rollback(f"{late[0]} did not become ready within the change timeout")
            return
        for each in late:
            self._order_change(each, plan.new.hash)
        if done:
            self._propose(changed=(*entry.changed, *done), in_progress=tuple(late))
            return
        end = self._stage_ends[entry.stage]
        left = [each for each in self._order if each not in entry.changed and each not in entry.in_progress]
        if len(entry.changed) >= end:
            self._propose(phase=Phase.BAKING)
        elif (
            len(entry.changed) + len(entry.in_progress) < end
            and left
            and self._may_start_change(plan.max_concurrent_changes)
        ):
            self._propose(in_progress=(*entry.in_progress, left[0]))

    def _may_start_change(self, limit: int) -> bool:
        """Whether fewer than `limit` changes are in progress, and one more leaves enough gateways ready."""
        in_progress = self.entry.in_progress
        ready = sum(known.ready and name not in in_progress for name, known in self._statuses.items())
        return len(in_progress) < limit and ready - 1 >= self.plan.min_ready_share * len(self._zones)

    def _bake(self) -> None:
        if reason := self._reason_to_stop():
            self._begin_rollback(reason)
            return
        span = self._now - self._entry_since
        if span < self.plan.bake_time_us:
            return
        if self.entry.stage + 1 >= len(self._stage_ends):  # no unchanged gateway is left to compare with
            self._propose(phase=Phase.DONE)
        elif self._finding.verdict is Verdict.NO_WORSE:
            self._propose(phase=Phase.CHANGING, stage=self.entry.stage + 1)
        elif span > MAX_BAKES_WITHOUT_VERDICT * self.plan.bake_time_us:
            windows = self._finding.windows
            reason = f"no verdict after {windows} windows" if windows else "no window had enough requests"
            self._propose(phase=Phase.PAUSED, resume_phase=Phase.BAKING, reason=reason)

    def _continue_rollback(self) -> None:
        entry, plan = self.entry, self.plan
        rolled_back = [each for each in entry.in_progress if self._runs(each, plan.old.hash)]
        late = [each for each in entry.in_progress if each not in rolled_back]
        if late and self._now - self._entry_since > plan.change_timeout_us:
            # Gateways that time out are recorded and skipped, so that the others are still rolled back.
            kept = tuple(each for each in entry.changed if each not in entry.in_progress)
            self._propose(changed=kept, in_progress=(), not_rolled_back=(*entry.not_rolled_back, *late))
            return
        for each in late:
            self._order_change(each, plan.old.hash)
        if rolled_back:
            kept = tuple(each for each in entry.changed if each not in rolled_back)
            self._propose(changed=kept, in_progress=tuple(late))
            return
        left = [each for each in reversed(entry.changed) if each not in entry.in_progress]
        dead = [
            each
            for each in left
            if not self._statuses.get(each, GatewayStatusReported(each, "", False)).ready
        ]
        if not entry.changed:
            self._propose(phase=Phase.ROLLED_BACK)
        elif dead and len(entry.in_progress) < plan.max_concurrent_rollbacks:
            # Gateways that are not ready are rolled back first: this does not reduce the fleet's capacity
            self._propose(in_progress=(*entry.in_progress, dead[0]))
        elif left and self._may_start_change(plan.max_concurrent_rollbacks):
            self._propose(in_progress=(*entry.in_progress, left[0]))
