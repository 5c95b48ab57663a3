"""All of lotusstream's decisions.

A caller makes one Gateway and passes it every event, in order, with the time; `handle` returns the
actions to carry out, in order. The first event is Started; Settled follows the last event of a moment,
and held commands are released then. Events and actions: lotusstream/interface.py.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field, replace

from lotusstream import interface as api
from lotusstream.interface import Effect, ListKind, Note, Outcome, State

SAMPLE, BUCKETS = 5, 8  # k of SMF: earliest-due held commands compared; a ring's whole buckets
OPEN_WIDTH, LEAST_WIDTH = 2.0, 1.0  # threads a core that a bound may reach, and may shrink to
PRESSURE, NEAR_BEST = 2.0, 1.5  # latency over the engine's best
WARM_GROUPS, WARM_WORTH = 4, 0.75  # groups that an engine keeps warm; work left to their commands
FAILURES = 3  # in a row, that set an engine aside
CREDIT_START, CREDIT_MOST, CREDIT_PER_ANSWER = 2.0, 10.0, 0.2
COLD_MARGIN = 0.6  # of told cores: busy share of the cores, slow machines, chance
PROBE_EVERY = 10  # commands, to learn this gateway's share of the engines
PATIENCE, RUNAWAY = 3.0, 5.0  # expected latencies that tell an overdue send, and a bad plan
PROVES_NOT_RUN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)
HIGHEST = 3  # priority
MAY_STILL_RUN = (Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED)


class Ring:
    """Sums over the last `span`, in fixed buckets of time that are used again."""

    def __init__(self, span: int) -> None:
        self.width = max(1, span // BUCKETS)
        self.slots = [[-1, 0.0, 0.0] for _ in range(BUCKETS + 1)]

    def add(self, now: int, amount: float, count: float = 1.0) -> None:
        at = now // self.width
        slot = self.slots[at % len(self.slots)]
        if slot[0] != at:
            slot[:] = [at, 0.0, 0.0]
        slot[1] += amount
        slot[2] += count

    def total(self, now: int, *, covering: bool = True) -> tuple[float, float]:
        """Amount and count; `covering` takes in at least the span, otherwise at most."""
        oldest = now // self.width - BUCKETS + (0 if covering else 1)
        kept = [slot for slot in self.slots if slot[0] >= oldest]
        return sum(slot[1] for slot in kept), sum(slot[2] for slot in kept)

    def mean(self, now: int, prior: float, weight: float = 1.0) -> float:
        amount, count = self.total(now)
        return (amount + prior * weight) / (count + weight)


class Usual:
    """What a profile's commands usually take, learnt from whatever the deployment tells."""

    def __init__(self, profile: api.Profile) -> None:
        self.guess = profile.target * profile.threads / 2.0
        self.work = Ring(4 * profile.client_timeout)
        self.hints = Ring(4 * profile.client_timeout)
        self.paces = Ring(4 * profile.client_timeout)  # logarithms
        self.credit = CREDIT_START  # earned by sends anew that were far faster than the one given up

    def pace(self, now: int) -> float:
        """Usual latency over what the work would take alone."""
        return max(1.0, math.exp(self.paces.mean(now, 0.0)))

    def learn(self, now: int, work: float, hint: int | None) -> None:
        usual = self.work.mean(now, self.guess)
        self.work.add(now, min(work, 4 * usual))  # a bad plan says little of the usual
        if hint:
            self.hints.add(now, hint * min(1.0, 4 * usual / max(work, 1.0)))

    def estimate(self, now: int, hint: int | None) -> float:
        usual = self.work.mean(now, self.guess)
        hints, count = self.hints.total(now)
        return hint * usual * (count + 1) / (hints + hint) if hint and count else float(hint or usual)


@dataclass(slots=True, eq=False)
class Try:
    """One send of a command."""

    be: Backend
    at: int
    alone: float  # what its work would take on an idle engine
    expected: float
    number: int
    finish: float  # when it is thought to end
    stalled: bool = False
    told: bool = False  # a note of progress told the finish
    outcome: Outcome | None = None
    doomed: bool = False  # cancelled by this gateway
    overlong: bool = False  # and for taking far longer than expected


@dataclass(slots=True, eq=False)
class Command:
    id: int
    profile: api.Profile
    usual: Usual
    group: int
    key: int | None
    hint: int | None
    work: float
    weight: float  # the usual work of its profile, never thought too small
    due: int
    ends_by: int
    tries: list[Try] = field(default_factory=list)

    @property
    def out(self) -> list[Try]:
        return [a_try for a_try in self.tries if a_try.outcome is None]

    @property
    def ran(self) -> list[Try]:
        return [a_try for a_try in self.tries if a_try.outcome not in PROVES_NOT_RUN]


class Backend:
    """An engine as this gateway sees it."""

    def __init__(self, entry: api.Engine, cores: float, span: int) -> None:
        self.entry, self.cores = entry, cores
        self.cold_at: int | None = entry.started or None
        self.threads, self.out = 0, dict[int, tuple[Command, Try]]()  # by command and send
        self.loads: dict[int, tuple[Command | None, float]] = {}  # latest load of a group; when it ends
        self.warm: dict[int, int] = {}  # groups last run here, oldest first
        self.paces = Ring(span)
        self.pace, self.best = 1.0, math.inf  # recent latency over what the work would take alone
        self.overdue, self.pressed = 0.0, False  # the pace that sends still out already show
        self.may = 0.0  # work that may still be sent while cold
        self.width = OPEN_WIDTH
        self.full_at: int | None = None
        self.heard, self.failures, self.aside_at, self.credit = 0, 0, 0, CREDIT_START
        self.aside_until: int | None = None
        self.pushed: Ring | None = None  # work sent while cold

    def ran(self, group: int, now: int) -> None:
        self.warm.pop(group, None)
        self.warm[group] = now
        if len(self.warm) > WARM_GROUPS:
            del self.warm[next(iter(self.warm))]


class Gateway:
    def __init__(self) -> None:
        self.actions: list[api.Action] = []
        self.backends: dict[api.EngineId, Backend] = {}
        self.ready: list[Backend] = []
        self.open: dict[int, Command] = {}
        self.waiting: dict[int, Command] = {}
        self.turns: dict[int, deque[Command]] = {}
        self.rests: dict[int, int] = {}
        self.next_look: int | None = None
        self.strained, self.calm, self.room = False, 1.0, 0.0  # an engine is pressed; the middle pace
        self.reactions = {
            api.Started: self._start, api.EngineNews: self._learn_engines, api.Arrived: self._take,
            api.Ended: self._end_try, api.Noted: self._note, api.Settled: self._settle,
            api.ClientGone: self._client_gone, api.Woken: self._woken, api.Probed: self._probed,
        }  # fmt: skip

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Takes what happened and returns what is to be done."""
        self.now, self.actions = now, []
        self.reactions[type(event)](event)  # type: ignore[operator]
        return self.actions

    # What is told

    def _start(self, event: api.Started) -> None:
        self.given = event
        self.duties, self.allowed = event.duties, event.allowed
        self.shortest = min(profile.target for profile in event.profiles)
        self.usual = [Usual(profile) for profile in event.profiles]
        self.even = self.share = 1.0 / event.gateways
        self.in_hand = Ring(4 * self.shortest)  # own, and everyone's
        self.unprobed, self.probed = 0, 0
        self.look_every = max(event.period, self.shortest // 20)
        self.taken, self.extras = Ring(self.duties.extra_span), Ring(self.duties.extra_span)
        if self.allowed.must_subscribe:
            self.actions.append(api.Subscribe(True))

    def _learn_engines(self, event: api.EngineNews) -> None:
        if event.kind is ListKind.FAILED:
            self.actions.append(api.Subscribe(True))
            return
        if event.kind is not ListKind.CHANGES:
            listed = {entry.id for entry in event.engines}
            for be in self.backends.values():
                if be.entry.id not in listed:
                    be.entry = replace(be.entry, state=State.GONE)
        for entry in event.engines:
            known = self.backends.get(entry.id)
            if known is None or (known.entry.started != entry.started and entry.state is not State.GONE):
                cores = self.given.kinds[entry.kind].cores if entry.kind < len(self.given.kinds) else 1.0
                fresh = Backend(entry, cores, 2 * self.shortest)
                if known is not None:
                    fresh.out, fresh.threads = known.out, known.threads
                self.backends[entry.id] = fresh
            else:
                known.entry = entry
        # one that is gone stays known while it owes outcomes: a key's turn may hang on them
        self.backends = {engine: be for engine, be in self.backends.items()
                         if be.out or be.entry.state is not State.GONE}  # fmt: skip
        self.ready = [be for be in self.backends.values() if be.entry.state is State.READY]

    def _take(self, event: api.Arrived) -> None:
        profile, usual = self.given.profiles[event.profile], self.usual[event.profile]
        work = usual.estimate(self.now, event.hint)
        ends_by = self.now + event.client_timeout
        stretch = profile.stretch * work / profile.threads if event.hint else 0.0  # most lie under the mean
        due = min(int(self.now + profile.target + stretch), ends_by)
        key = event.key if profile.in_order else None
        cmd = Command(event.command, profile, usual, event.group, key, event.hint, work,
                      usual.work.mean(self.now, 2 * usual.guess, 4.0), due, ends_by)  # fmt: skip
        self.open[cmd.id] = self.waiting[cmd.id] = cmd
        if key is not None:
            self.turns.setdefault(key, deque()).append(cmd)
        self.taken.add(self.now, 0.0)
        self.unprobed += 1
        if event.client_timeout <= 2 * self.look_every:  # nothing can be done in what is left
            self._give_up(cmd)

    def _client_gone(self, event: api.ClientGone) -> None:
        if cmd := self.open.get(event.command):
            self._forget(cmd)

    def _woken(self, event: api.Woken) -> None:
        if event.token == self.next_look:
            self.next_look = None

    def _probed(self, event: api.Probed) -> None:
        if (be := self.backends.get(event.engine)) and event.report and event.report.in_hand is not None:
            self.in_hand.add(self.now, len(be.out), max(event.report.in_hand, len(be.out)))
            own, everyone = self.in_hand.total(self.now)
            self.share = max(self.even / 2, (own + 10 * self.even) / (everyone + 10))

    def _note(self, event: api.Noted) -> None:
        be = self.backends.get(event.engine)
        if be is None or (held := be.out.get(event.command << 8 | event.send)) is None:
            return
        cmd, a_try = held
        be.heard = self.now
        if event.note is Note.PROGRESS and event.amount > 0:
            age = self.now - a_try.at
            a_try.finish, a_try.told = a_try.at + age / min(1.0, event.amount), True
            if cmd.profile.loads and be.loads.get(cmd.group, (None, 0))[0] is cmd:
                be.loads[cmd.group] = (cmd, a_try.finish)
        elif event.note is Note.WAITS_FOR_LOAD:
            a_try.stalled = True
            be.loads.setdefault(cmd.group, (None, self.now + self.shortest))  # another gateway's load

    def _end_try(self, event: api.Ended) -> None:
        be = self.backends.get(event.engine)
        held = be.out.pop(event.command << 8 | event.send, None) if be else None
        if be and held:
            be.threads -= held[0].profile.threads
            self._judge(be, *held, event)
        cmd = held[0] if held else self.open.get(event.command)
        if cmd is None or event.send >= len(cmd.tries):
            return
        cmd.tries[event.send].outcome = event.outcome
        if cmd.key is not None and event.outcome in MAY_STILL_RUN:
            self.rests[cmd.key] = self.now + self.duties.key_rest
        if cmd.id not in self.open:
            self._pass_turn(cmd)
        elif event.over or event.outcome is Outcome.ANSWERED:
            self._forget(cmd)
        elif not cmd.out and self._may_send_again(cmd):
            self.waiting[cmd.id] = cmd
        elif not cmd.out:
            self._give_up(cmd)

    def _judge(self, be: Backend, cmd: Command, a_try: Try, event: api.Ended) -> None:
        """An engine earns credit by its answers and is judged by failures in a row."""
        if cmd.profile.loads and be.loads.get(cmd.group, (None, 0))[0] is cmd:
            del be.loads[cmd.group]
        if event.outcome is Outcome.ANSWERED:
            be.heard = self.now
            be.credit = min(CREDIT_MOST, be.credit + CREDIT_PER_ANSWER)
            if be.failures >= FAILURES and a_try.at >= be.aside_at:  # may have restarted, unlisted
                be.cold_at, be.pushed = self.now, None
            be.failures, be.aside_until = 0, None
            helped = any(t.overlong and event.latency < (t.finish - t.at) / 2 for t in cmd.tries)
            cmd.usual.credit = min(CREDIT_MOST, cmd.usual.credit + (2 if helped else CREDIT_PER_ANSWER / 4))
            crowding = max(1.0, be.pace / be.best)
            work = event.work or event.latency * cmd.profile.threads / crowding
            if not a_try.stalled:
                alone = max(1.0, event.work or cmd.work) / cmd.profile.threads
                pace = math.log(max(event.latency, 1) / alone)
                be.paces.add(self.now, pace)
                cmd.usual.paces.add(self.now, pace)
            if event.work or not a_try.stalled:
                cmd.usual.learn(self.now, work, cmd.hint)
        elif event.outcome is Outcome.FULL:
            be.full_at = be.heard = self.now
        elif not a_try.doomed and event.outcome is not Outcome.MOOT:
            be.failures += 1
            if be.failures >= FAILURES:
                be.aside_at = self.now
                be.aside_until = self.now + self.shortest * min(4, be.failures - FAILURES + 1)

    # Endings

    def _forget(self, cmd: Command) -> None:
        self.open.pop(cmd.id, None)
        self.waiting.pop(cmd.id, None)
        for a_try in cmd.out:
            self._cancel(cmd, a_try)
        self._pass_turn(cmd)

    def _cancel(self, cmd: Command, a_try: Try) -> None:
        if self.allowed.cancelling and not a_try.doomed:
            a_try.doomed = True
            self.actions.append(api.Cancel(cmd.id, a_try.number))

    def _pass_turn(self, cmd: Command) -> None:
        line = self.turns.get(cmd.key, deque()) if cmd.key is not None else deque()
        if not cmd.out and cmd.id not in self.open and cmd in line:
            line.remove(cmd)

    def _give_up(self, cmd: Command) -> None:
        """The final answer at once: a shed reply where a repeat is harmless, otherwise a failure."""
        profile = cmd.profile
        dropped = profile.effect is Effect.UNIQUED and profile.scope is api.Scope.ALL
        harmless = not cmd.ran or profile.effect is Effect.REPLAYABLE or dropped
        self.actions.append(api.Shed(cmd.id, self.allowed.longest_advice) if harmless else api.Fail(cmd.id))
        self._forget(cmd)

    def _may_send_again(self, cmd: Command) -> bool:
        if len(cmd.tries) >= self.allowed.sends or self.now >= cmd.ends_by:
            return False
        ran = cmd.ran
        if not ran or cmd.profile.effect is Effect.REPLAYABLE:
            return True
        in_time = self.now + self.look_every < ran[0].at + cmd.profile.remembered_for
        return cmd.profile.effect is Effect.UNIQUED and in_time

    def _within_budget(self) -> bool:
        taken, made = self.taken.total(self.now, covering=False)[1], self.extras.total(self.now)[1]
        return made + 1 <= self.duties.extra_min + self.duties.extra_ratio * taken

    # Where a command may go

    def _allowed_there(self, cmd: Command, be: Backend) -> bool:
        profile, entry = cmd.profile, be.entry
        if (profile.zones is not None and entry.zone not in profile.zones) or (
                profile.kinds is not None and entry.kind not in profile.kinds):  # fmt: skip
            return False
        if cmd.tries and (be.credit < 1 or not self._may_send_again(cmd)):
            return False
        if profile.effect is Effect.UNIQUED and (ran := cmd.ran):
            first = ran[0].be.entry
            if (profile.scope is api.Scope.ZONE and first.zone != entry.zone) or (
                    profile.scope is api.Scope.CELL and first.cell != entry.cell):  # fmt: skip
                return False
        return cmd.weight <= be.may

    def _cold_budget(self, be: Backend) -> float:
        """Guards a just started engine: this gateway's part of what pushes it over, in any window."""
        if be.cold_at is None or self.now >= be.cold_at + self.duties.warm_up:
            return math.inf
        if be.pushed is None:
            be.pushed = Ring(self.duties.overload_for)
        rate = self.duties.fall_multiple * self.duties.cold_from * be.cores * COLD_MARGIN * self.even
        return rate * self.duties.overload_for - be.pushed.total(self.now)[0]

    def _fits(self, threads: int, be: Backend) -> bool:
        """The thread bound. An engine with no pressure of its own yet is bounded too while others show it:
        guards against all that they can't take being poured on it at once."""
        if not be.threads or not (be.pressed or self.strained):
            return True
        bound = self._bound(be)
        if threads == 1 or be.threads + threads <= bound:
            return be.threads + threads <= bound
        # guards wide commands against small ones that take each thread as it falls free
        alike = sum(cmd.profile.threads for cmd, _ in be.out.values() if cmd.profile.threads >= threads)
        return self.room >= 1 and alike + threads <= max(bound, threads)

    def _bound(self, be: Backend) -> float:
        return be.cores * self.share * (be.width if be.pressed else OPEN_WIDTH)

    def _gauge(self, be: Backend) -> None:
        best = be.best if be.best < math.inf else 1.0
        be.pace = math.exp(be.paces.mean(self.now, math.log(best)))
        refused = be.full_at is not None and self.now - be.full_at < self.shortest
        be.may = self._cold_budget(be)
        crowded = be.threads >= OPEN_WIDTH * be.cores * self.share and be.pace > NEAR_BEST * best
        be.pressed = refused or crowded or be.pace > PRESSURE * best or be.overdue > PRESSURE * max(1.0, best)

    def _added_stall(self, cmd: Command, be: Backend) -> float:
        """SMF's added cost: the stall behind this gateway's running load, and that a load gives readers."""
        profile, stall = cmd.profile, 0.0
        if cmd.group in be.loads and (profile.loads or profile.waits):
            load, ends = be.loads[cmd.group]
            if load is None and ends <= self.now:
                del be.loads[cmd.group]
            else:  # a load that outruns its estimate still has time left
                began = load.tries[-1].at if load else self.now
                stall = max(ends - self.now, (self.now - began) / 4)
        if profile.loads:
            readers = sum(other.group == cmd.group and other.profile.waits for other, _ in be.out.values())
            stall += readers * cmd.work / profile.threads
        return stall

    def _cost(self, cmd: Command, be: Backend) -> float:
        """The choice among equals: crowding, the engine's speed, and whether it keeps the group warm."""
        crowd = (be.threads + cmd.profile.threads) / (be.cores * self.share)
        slow = max(1.0, be.pace / self.calm)
        cold = self.duties.cold_from if be.cold_at and self.now < be.cold_at + self.duties.warm_up else 1.0
        return max(1.0, crowd / cold) * slow * (WARM_WORTH if cmd.group in be.warm else 1.0)

    def _place(self, cmd: Command, roomy: list[Backend]) -> tuple[float, float, float, Backend] | None:
        best: tuple[float, float, float, Backend] | None = None
        for be in roomy:
            if not self._fits(cmd.profile.threads, be) or not self._allowed_there(cmd, be):
                continue
            home = -be.warm[cmd.group] if cmd.group in be.warm else len(be.warm) + be.threads / be.cores
            option = (self._added_stall(cmd, be), self._cost(cmd, be), home, be)
            if best is None or option[:3] < best[:3]:
                best = option
        return best

    def _settle(self, _event: api.Settled) -> None:
        self._release()
        if self.next_look is None:
            self._look()
            self.next_look = self.now + self.look_every
            self.actions.append(api.Wake(self.next_look, self.next_look))

    def _release(self) -> None:
        """SMF: of the earliest-due held commands, the one that adds least stall goes next."""
        ready = deque(sorted(filter(self._has_turn, self.waiting.values()), key=lambda cmd: cmd.due))
        for be in self.ready:
            self._gauge(be)
        self.strained = any(be.pressed for be in self.ready)
        paces = [1.0, *sorted(be.pace for be in self.ready)]
        self.calm = max(1.0, paces[(len(paces) + 1) // 2 if self.ready else 0])
        self.room = sum(self._bound(be) - be.threads for be in self.ready)  # of all slices together
        stuck: set[Usual] = set()  # profiles with no place left; within a release none comes free
        while ready:
            roomy = [be for be in self.ready if be.aside_until is None or
                     (not be.out and self.now >= be.aside_until)]  # fmt: skip
            sample = [ready.popleft() for _ in range(min(SAMPLE, len(ready)))]
            picked: tuple[float, int, Backend] | None = None
            for at, cmd in enumerate(sample):
                place = self._place(cmd, roomy) if cmd.tries or cmd.usual not in stuck else None
                if place is None and not cmd.tries:
                    stuck.add(cmd.usual)
                elif place and (picked is None or place[0] < picked[0]):
                    picked = (place[0], at, place[3])
                if picked and not picked[0]:
                    break
            if picked:  # otherwise held; later ones may still have room elsewhere
                self._send(sample.pop(picked[1]), picked[2])
                ready.extendleft(reversed(sample))

    def _has_turn(self, cmd: Command) -> bool:
        key = cmd.key
        return key is None or (self.turns[key][0] is cmd and self.now >= self.rests.get(key, 0))

    def _send(self, cmd: Command, be: Backend) -> None:
        if cmd.tries:
            if not self._within_budget():
                return
            self.extras.add(self.now, 0.0)
            be.credit -= 1
        del self.waiting[cmd.id]
        stall, alone = self._added_stall(cmd, be), cmd.work / cmd.profile.threads
        expected = alone * max(1.0, be.pace)
        a_try = Try(be, self.now, alone, expected, len(cmd.tries), self.now + expected + stall, stall > 0)
        cmd.tries.append(a_try)
        if not be.out:
            be.heard = self.now
        be.out[cmd.id << 8 | a_try.number] = (cmd, a_try)
        be.threads, self.room = be.threads + cmd.profile.threads, self.room - cmd.profile.threads
        be.ran(cmd.group, self.now)
        if be.pushed is not None:
            be.pushed.add(self.now, cmd.weight)
            be.may -= cmd.weight
        if cmd.profile.loads:  # scarce cores go first to what others stand behind
            be.loads[cmd.group] = (cmd, a_try.finish)
            if self.allowed.priorities and not a_try.number:
                self.actions.append(api.Resources(cmd.id, 0.0, HIGHEST))
        self.actions.append(api.Send(cmd.id, be.entry.id, cmd.ends_by - self.now))

    def _look(self) -> None:
        """What time alone brings: ends of patience, silence and the engines' widths."""
        if self.unprobed >= PROBE_EVERY and self.allowed.probes and self.given.tells_in_hand and self.ready:
            self.unprobed, self.probed = 0, self.probed + 1
            self.actions.append(api.Probe(self.ready[self.probed % len(self.ready)].entry.id))
        for be in self.backends.values():
            self._adjust(be)
        for cmd in list(self.open.values()):
            fresh = cmd.work / cmd.profile.threads * (self.calm if self.strained else 1.0)
            useful = cmd.due if self.strained else cmd.ends_by  # late answers pay where there is room
            hopeless = cmd.id in self.waiting and self.now + fresh > useful
            if hopeless or self.now + 2 * self.look_every >= cmd.ends_by:
                self._give_up(cmd)
            elif cmd.out and cmd.id not in self.waiting:
                self._reconsider(cmd)

    def _adjust(self, be: Backend) -> None:
        # guards against an engine so crowded that it answers nothing, and so tells nothing
        late = sum(min(2 * RUNAWAY * t.alone, self.now - t.at) / t.alone * cmd.profile.threads
                   for cmd, t in be.out.values() if not t.stalled)  # fmt: skip
        be.overdue = late / max(1, be.threads)
        if be.aside_until is None and self._silent(be):
            be.failures = max(be.failures, FAILURES)
            be.aside_at, be.aside_until = self.now, self.now + self.shortest
        if be.paces.total(self.now)[1] >= BUCKETS:
            pace = math.exp(be.paces.mean(self.now, 0.0, 0.0))
            be.best = min(pace, be.best * 1.001)
            if pace < NEAR_BEST * be.best:
                be.width = min(OPEN_WIDTH, be.width * 1.02)
            elif pace > PRESSURE * be.best:
                be.width = max(LEAST_WIDTH, be.width * 0.98)

    def _silent(self, be: Backend) -> bool:
        """Overdue sends in a row and not a word: no pause, no slowness, no one bad plan."""
        overdue = sum(self.now - t.at > PATIENCE * t.expected and not t.stalled for _, t in be.out.values())
        needed = 1 if self.given.note_every else FAILURES
        return overdue >= needed and self.now - be.heard > max(self.shortest, 2 * self.given.note_every)

    def _reconsider(self, cmd: Command) -> None:
        """Guards against silent engines, bad plans and engines far slower than the rest."""
        a_try, be = cmd.out[-1], cmd.out[-1].be
        if a_try.doomed or not (self.allowed.cancelling and self._may_send_again(cmd)):
            return
        alone = cmd.work / cmd.profile.threads
        fresh = alone * max(self.calm, cmd.usual.pace(self.now))
        finish = a_try.finish if a_try.told and a_try.finish > self.now else 2 * self.now - a_try.at
        overlong = finish - a_try.at > RUNAWAY * fresh and not cmd.profile.loads
        late = finish > max(cmd.due, self.now + 2 * fresh)
        if be.aside_until is not None:
            self._cancel(cmd, a_try)
        elif overlong and late and not a_try.stalled and (a_try.told or cmd.usual.credit >= 1):
            cmd.usual.credit -= 0 if a_try.told else 1
            a_try.overlong = True
            cmd.usual.paces.add(self.now, math.log(max(1, self.now - a_try.at) / alone))
            self._cancel(cmd, a_try)
