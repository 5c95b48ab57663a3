"""All of lotusstream's decisions.

A caller makes one Gateway and passes it every event, in order, with the time; `handle` returns the
actions to carry out, in order. The first event is Started; Settled follows the last event of a moment,
and held commands are released then. Events and actions: lotusstream/interface.py.
"""

from __future__ import annotations

import math
import zlib
from collections import Counter, deque
from dataclasses import replace
from heapq import nsmallest

from lotusstream import interface as api
from lotusstream.interface import Effect, Further, ListKind, Note, Outcome, State
from lotusstream.lots import drawn
from lotusstream.policy.state import Backend, Command, Pool, Try
from lotusstream.ring import Ring

SAMPLE, BUCKETS, ENOUGH = 5, 16, 16  # k of SMF; a ring's whole buckets; answers that tell a pace
OPEN_WIDTH, LEAST_WIDTH = 2.0, 1.0  # threads a core that a bound may reach, and may shrink to
PRESSURE, NEAR_BEST, STRAINED = 2.0, 1.5, 0.1  # latency over the best; cores pressed that bound all
WARM_GROUPS, WARM_WORTH = 4, 0.75  # groups that an engine keeps warm; work left to their commands
FAILURES, HIGHEST, NEVER = 3, 3, 2**62  # in a row, that set an engine aside; top priority; no stop
CREDIT_START, CREDIT_MOST, CREDIT_PER_ANSWER = 2.0, 10.0, 0.2
COLD_MARGIN = 0.6  # of told cores: busy share of the cores, slow machines, chance
DRAWN_FOR = 0.75  # of a window: a moment that is everyone's then keeps to 0.6 * 1.75 of the budget
PROBE_EVERY = 10  # commands, to learn this gateway's share of the engines
PATIENCE, RUNAWAY = 3.0, 5.0  # expected latencies that tell an overdue send, and a bad plan
LONGEST_WORD = 20  # shortest targets for which another's word may keep an engine aside


class Usual:
    """What a profile's commands usually take, learnt from whatever the deployment tells."""

    def __init__(self, profile: api.Profile, longest: int) -> None:
        self.guess = profile.target * profile.threads / 2.0
        span = 4 * profile.client_timeout
        self.work, self.hints, self.paces = (Ring(span, BUCKETS) for _ in range(3))
        self.asked = Ring(4 * longest, BUCKETS)  # of all profiles over one span: they are compared

    def mean(self, now: int) -> float:
        return self.work.mean(now, self.guess, 1.0)

    def learn(self, now: int, work: float, hint: int | None) -> None:
        usual = self.mean(now)
        self.work.add(now, min(work, 4 * usual))  # a bad plan says little of the usual
        if hint:
            self.hints.add(now, hint * min(1.0, 4 * usual / max(work, 1.0)))

    def estimate(self, now: int, hint: int | None) -> float:
        """Hints scatter widely and works too: the middle of both, as ratios."""
        hints, count = self.hints.total(now)
        if not hint or not count:
            return float(hint or self.mean(now))
        return self.mean(now) * math.sqrt(hint * (count + 1) / (hints + hint))


class Gateway:
    def __init__(self) -> None:
        self.actions: list[api.Action] = []
        self.backends: dict[api.EngineId, Backend] = {}
        self.ready: list[Backend] = []
        self.open: dict[int, Command] = {}
        self.waiting: dict[int, Command] = {}
        self.turns: dict[int, deque[Command]] = {}
        self.rests: dict[int, int] = {}
        self.look_at: int | None = None  # when time alone may change something
        self.woken_for: int | None = None
        self.pools: dict[int | None, Pool] = {}  # by name; without cells all engines are of one
        self.cells: dict[int, api.Confined] = {}
        self.pool_of: dict[api.EngineId, int] = {}
        self.homes: dict[object, list[Backend]] = {}
        self.groups, self.earlier, self.epoch = Counter[int](), Counter[int](), 0  # commands per group
        self.draws, self.looked_at, self.stop_by = 0, 0, NEVER
        self.reduced: api.Reduced | None = None
        self.reactions = {
            api.Started: self._start, api.EngineNews: self._learn_engines, api.Arrived: self._take,
            api.Ended: self._end_try, api.Noted: self._note, api.Probed: self._probed, api.Woken: self._woken,
            api.ClientGone: self._client_gone, api.Stopping: self._stop, api.Settled: self._settle,
            api.Reduced: self._reduce, api.Asked: self._tell_beliefs, api.Confined: self._confine,
            api.Rehomed: self._rehome, api.Dropped: self._drop, api.RanElsewhere: self._recall,
            api.Hearsay: self._hear,
        }  # fmt: skip

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Takes what happened and returns what is to be done."""
        self.now, self.actions = now, []
        self.reactions[type(event)](event)  # type: ignore[operator]
        return self.actions

    def _lot(self) -> int:
        self.draws += 1
        return zlib.crc32(self.draws.to_bytes(8, "little"), self.seed)

    def _chance(self) -> float:
        return self._lot() / 2**32

    # What is told

    def _start(self, event: api.Started) -> None:
        self.seed = zlib.crc32(event.seed.to_bytes(8, "little"))
        self.given, self.duties, self.allowed = event, event.duties, event.allowed
        self.shortest = min(profile.target for profile in event.profiles)
        self.even = self.share = 1.0 / event.gateways
        self.in_hand, self.pools[None] = Ring(4 * self.shortest, BUCKETS), self._new_pool()
        self.unprobed, self.probed = 0, int(self._chance() * PROBE_EVERY)
        self.look_every = max(event.period, self.shortest // 20)
        self.taken, self.extras = (Ring(self.duties.extra_span, BUCKETS) for _ in range(2))
        if self.allowed.must_subscribe:
            self.actions.append(api.Subscribe(True))

    def _learn_engines(self, event: api.EngineNews) -> None:
        if event.kind is ListKind.FAILED:
            self.actions.append(api.Subscribe(True))
            return
        if event.kind is not ListKind.CHANGES:
            listed = {entry.id for entry in event.engines}
            for be in [be for be in self.backends.values() if be.entry.id not in listed]:
                be.entry = replace(be.entry, state=State.GONE)
        for entry in event.engines:
            known = self.backends.get(entry.id)
            if known is None or (known.entry.started != entry.started and entry.state is not State.GONE):
                cores = self.given.kinds[entry.kind].cores if entry.kind < len(self.given.kinds) else 1.0
                fresh = Backend(entry, self.pools[None], cores, Ring(8 * self.shortest, BUCKETS), OPEN_WIDTH,
                                CREDIT_START)  # fmt: skip
                fresh.chill(entry.started or None, self._chance())
                if known is not None:
                    fresh.out, fresh.threads = known.out, known.threads
                self.backends[entry.id] = fresh
            else:
                known.entry = entry
        # one that is gone stays known while it owes outcomes: a key's turn may hang on them
        self.backends = {engine: be for engine, be in self.backends.items()
                         if be.out or be.entry.state is not State.GONE}  # fmt: skip
        self.ready = [be for be in self.backends.values() if be.entry.state is State.READY]
        self._regroup()
        self._share_out()

    def _new_pool(self) -> Pool:
        longest = max(profile.client_timeout for profile in self.given.profiles)
        usual = [Usual(profile, longest) for profile in self.given.profiles]
        return Pool(Ring(8 * self.shortest, BUCKETS), usual)

    def _confine(self, event: api.Confined) -> None:
        """Guards the tenants of one cell against what those of another do to their engines."""
        if event.engines:
            self.cells[event.cell] = event
        else:
            self.cells.pop(event.cell, None)
        self.pools.setdefault(event.pool, self._new_pool())
        self.pool_of = {engine: cell.pool for cell in self.cells.values() for engine in cell.engines}
        self._regroup()
        self._share_out()

    def _rehome(self, event: api.Rehomed) -> None:
        if cmd := self.open.get(event.command):
            cmd.cell, cell = event.cell, self.cells.get(event.cell)
            cmd.pool = self.pools[cell.pool if cell else None]

    def _drop(self, event: api.Dropped) -> None:
        if cmd := self.open.get(event.command):
            self._give_up(cmd)

    def _recall(self, event: api.RanElsewhere) -> None:
        if cmd := self.open.get(event.command):
            cmd.earlier.append(event)

    def _regroup(self) -> None:
        for pool in self.pools.values():
            pool.ready, pool.out = [], 0
        for be in self.backends.values():
            be.pool = self.pools[self.pool_of.get(be.entry.id)]
            be.pool.out += be.threads
            if be.entry.state is State.READY:
                be.pool.ready.append(be)

    def _take(self, event: api.Arrived) -> None:
        cell = self.cells.get(event.cell) if event.cell is not None else None
        pool = self.pools[cell.pool if cell else None]
        profile, usual = self.given.profiles[event.profile], pool.usual[event.profile]
        work = usual.estimate(self.now, event.hint)
        ends_by = min(self.now + event.client_timeout, self.stop_by)
        stretch = profile.stretch * work / profile.threads if event.hint else 0.0  # most lie under the mean
        due = min(int(self.now + profile.target + stretch), ends_by)
        weight = usual.work.mean(self.now, 2 * usual.guess, 4.0)
        cmd = self.open[event.command] = self.waiting[event.command] = Command(
            event.command, event.profile, profile, event.group, event.key if profile.in_order else None,
            event.hint, work, weight, due, ends_by, self._lot(), pool, event.cell)  # fmt: skip
        if cmd.key is not None:
            self.turns.setdefault(cmd.key, deque()).append(cmd)
        self.taken.add(self.now, 0.0)
        usual.asked.add(self.now, work)
        if self.now // (16 * self.shortest) != self.epoch:
            self.epoch, self.earlier, self.groups = self.now // (16 * self.shortest), self.groups, Counter()
        self.groups[cmd.group] += 1
        seen = self.groups.total()  # guards bound engines from the first commands on, not an epoch later
        if not seen & (seen - 1):
            self._share_out()
        self.unprobed += 1
        if self.unprobed >= PROBE_EVERY and self.allowed.probes and self.given.tells_in_hand and self.ready:
            self.unprobed, self.probed = 0, self.probed + 1
            self.actions.append(api.Probe(self.ready[self.probed % len(self.ready)].entry.id))
        if ends_by - self.now <= 2 * self.look_every or not self._admitted(cmd):  # nothing can be done
            self._give_up(cmd)

    def _client_gone(self, event: api.ClientGone) -> None:
        if cmd := self.open.get(event.command):
            self._forget(cmd)

    def _stop(self, event: api.Stopping) -> None:
        """Guards what is open at a planned stop: answered while there is a gateway to answer it."""
        self.stop_by = event.by
        for cmd in self.open.values():
            cmd.ends_by, cmd.due = min(cmd.ends_by, event.by), min(cmd.due, event.by)
        self._plan(self.now)

    def _reduce(self, event: api.Reduced) -> None:
        """The level of reduced service: what it does not admit and was not sent yet is answered at once."""
        self.reduced = None if event.full else event
        for cmd in [cmd for cmd in self.waiting.values() if not cmd.tries and not self._admitted(cmd)]:
            self._give_up(cmd)

    def _admitted(self, cmd: Command) -> bool:
        """By the command's lot: a lower part admits none that a higher one would not."""
        return self.reduced is None or cmd.lot < self.reduced.admitted[cmd.kind] * 2**32

    def _tell_beliefs(self, _event: api.Asked) -> None:
        beliefs = [api.Belief(be.entry.id, be.entry.state, be.entry.zone, be.entry.kind, be.cores, be.threads,
                              len(be.out), len(be.loads), be.pace, be.pressed, be.slice, be.credit,
                              be.failures, be.aside_until, self._cold_until(be))
                   for be in self.backends.values()]  # fmt: skip
        calm, strained = (pick(getattr(pool, name) for pool in self.pools.values())
                          for pick, name in ((max, "calm"), (any, "strained")))  # fmt: skip
        self.actions.append(api.Believed(tuple(beliefs), self.share, calm, strained,
                                         len(self.open), len(self.waiting)))  # fmt: skip

    def _woken(self, event: api.Woken) -> None:
        self.woken_for = None if event.token == self.woken_for else self.woken_for

    def _probed(self, event: api.Probed) -> None:
        if event.engine in self.backends and event.report and event.report.in_hand is not None:
            own = sum(len(be.out) for be in self.ready) / max(1, len(self.ready))
            self.in_hand.add(self.now, own, max(event.report.in_hand, own))
            own, everyone = self.in_hand.total(self.now)
            self.share = max(self.even / 2, (own + 10 * self.even) / (everyone + 10))

    def _note(self, event: api.Noted) -> None:
        be = self.backends.get(event.engine)
        if be is None or (held := be.out.get(event.command << 8 | event.send)) is None:
            return
        (cmd, a_try), be.heard = held, self.now
        if event.note is Note.PROGRESS and event.amount > 0:
            age = self.now - a_try.at
            a_try.finish, a_try.told = a_try.at + age / min(1.0, event.amount), True
            if cmd.profile.loads and be.loads.get(cmd.group, (None, 0))[0] is cmd:
                be.loads[cmd.group] = (cmd, a_try.finish)
            self._plan(self.now)
        elif event.note is Note.WAITS_FOR_LOAD:
            a_try.stalled = True
            be.loads.setdefault(cmd.group, (None, self.now + self.shortest))  # another gateway's load

    def _end_try(self, event: api.Ended) -> None:
        be = self.backends.get(event.engine)
        held = be.ends(event.command << 8 | event.send) if be else None
        if be and held:
            self._judge(be, *held, event)
        cmd = held[0] if held else self.open.get(event.command)
        if cmd is None or event.send >= len(cmd.tries):
            return
        cmd.tries[event.send].outcome = event.outcome
        if cmd.key is not None and event.outcome in api.MAY_STILL_RUN:
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
        be.heard = self.now if event.heard else be.heard
        if event.outcome is Outcome.ANSWERED:
            be.credit = min(CREDIT_MOST, be.credit + CREDIT_PER_ANSWER)
            if be.aside_until and be.lost and a_try.at >= be.aside_at:  # may have restarted, unlisted
                be.chill(self.now, self._chance())
            be.failures, be.aside_until, be.lost = 0, None, False
            work = event.work or event.latency * cmd.profile.threads * min(be.pool.best, be.pace) / be.pace
            if not a_try.stalled:
                self._learn_pace(be, cmd, event.latency, (event.work or cmd.work) / cmd.profile.threads)
            if event.work or not a_try.stalled:
                be.pool.usual[cmd.kind].learn(self.now, work, cmd.hint)
        elif event.outcome is Outcome.FULL:
            be.full_at = self.now
        elif not a_try.doomed and event.outcome not in (Outcome.MOOT, Outcome.ERROR if cmd.erred else None):
            be.lost = be.lost or not event.heard  # what answers has not ended, nor has what it runs
            # a refused connection where nothing else was heard lately tells as much as several late answers
            refused = event.outcome is Outcome.CONNECT_FAILED and self.now - be.heard > self.shortest
            be.failures += FAILURES if refused else 1
            if be.failures >= FAILURES:
                self._set_aside(be)

    def _set_aside(self, be: Backend) -> None:
        """Longer with each further failure, and by chance: all gateways' trials are no surge of their own."""
        be.lost, be.failures = be.lost or be.failures < FAILURES, max(be.failures, FAILURES)
        span = self.shortest * min(4, be.failures - FAILURES + 1) * (0.5 + self._chance())
        be.aside_at, be.aside_until = self.now, self.now + int(span)

    def _hear(self, event: api.Hearsay) -> None:
        """Another's word sets nobody aside. It ends a time aside, at once for some and soon for all: guards
        what has come back against all gateways' trials in one moment. Or it spares trials, for so long."""
        be = self.backends.get(event.engine)
        if be and be.aside_until and event.answers:
            be.aside_until = min(be.aside_until, self.now + int(self.shortest * self._chance()))
        elif be and be.aside_until:
            most = be.aside_at + LONGEST_WORD * self.shortest
            be.aside_until = max(be.aside_until, min(self.now + self.shortest, most))

    def _learn_pace(self, be: Backend, cmd: Command, latency: int, alone: float) -> None:
        pace = math.log(max(latency, 1) / max(alone, 1.0))
        for ring in (be.paces, be.pool.paces, be.pool.usual[cmd.kind].paces):
            ring.add(self.now, pace)

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
        if cmd.key is None or cmd.out or cmd.id in self.open:
            return
        line = self.turns.get(cmd.key, deque())
        if cmd in line:
            line.remove(cmd)
        if not line and self.rests.get(cmd.key, 0) <= self.now:
            self.turns.pop(cmd.key, None)
            self.rests.pop(cmd.key, None)

    def _give_up(self, cmd: Command) -> None:
        """The final answer at once: a shed reply where a repeat is harmless, otherwise a failure."""
        advice = self.allowed.longest_advice
        if self.reduced:  # guards against all that was refused coming back as one
            most = self.reduced.longest_advice
            advice = int(min(advice, advice if most is None else most) * (1 + self._chance()) / 2)
        dropped = (cmd.profile.effect is Effect.UNIQUED and cmd.profile.scope is api.Scope.ALL
                   and self._remembered(cmd, advice))  # fmt: skip
        harmless = cmd.profile.effect is Effect.REPLAYABLE or dropped or not cmd.ran
        reduced = not cmd.tries and not self._admitted(cmd)
        self.actions.append(api.Shed(cmd.id, advice, reduced) if harmless else api.Fail(cmd.id))
        self._forget(cmd)

    def _remembered(self, cmd: Command, after: int) -> bool:
        """A repeat that comes after that time is still dropped by engines, even if it connects late."""
        ran, by = cmd.ran, self.now + after + self.look_every + self.allowed.connect_timeout
        return not ran or by < ran[0].at + cmd.profile.remembered_for

    def _may_send_again(self, cmd: Command) -> bool:
        # guards all engines against commands that none can use: an error of two is the command's own
        if len(cmd.tries) >= self.allowed.sends or self.now >= cmd.ends_by or len(cmd.erred) > 1:
            return False
        off = {Further.NONE: bool(cmd.tries), Further.UNRUN: bool(cmd.ran)}
        if self.reduced and off.get(self.reduced.further):
            return False
        if cmd.profile.effect is Effect.NON_REPLAYABLE:
            return not cmd.ran
        return cmd.profile.effect is Effect.REPLAYABLE or self._remembered(cmd, 0)

    # Where a command may go

    def _allowed_there(self, cmd: Command, be: Backend) -> bool:
        profile, entry = cmd.profile, be.entry
        if cmd.cell is not None and not (cmd.cell in self.cells and entry.id in self.cells[cmd.cell].engines):
            return False
        if not profile.open_to(entry) or (cmd.tries and (be.credit < 1 or not self._may_send_again(cmd))):
            return False
        if profile.effect is Effect.UNIQUED and (ran := cmd.ran):
            zone, cell = ran[0].zone == entry.zone, ran[0].cell == entry.cell
            if not {api.Scope.ZONE: zone, api.Scope.CELL: cell}.get(profile.scope, True):
                return False
        return not self._cold(be) or self._bears(be, cmd.weight)

    def _cold(self, be: Backend) -> bool:
        return self._cold_until(be) is not None

    def _cold_until(self, be: Backend) -> int | None:
        until = None if be.cold_at is None else be.cold_at + self.duties.warm_up
        return until if until is not None and self.now < until else None

    def _bears(self, be: Backend, weight: float) -> bool:
        """Guards a just started engine against the sum of all gateways, also where all turn to it in one
        moment, or have just restarted and don't know what they sent. Where this one's part in a window is
        less than the command, it draws for each window whether it may send one; windows begin at another
        time for each gateway, and the sum keeps to the budget on average. Nothing is saved up, and what was
        drawn holds for a part of the window: a moment that is everyone's takes of that much more at most."""
        duties, span = self.duties, self.duties.overload_for
        age = min(1.0, max(0, self.now - (be.cold_at or 0)) / max(1, duties.warm_up))
        climbed = duties.cold_from + (1 - duties.cold_from) * age * age  # not told; slower than evenly
        part = duties.fall_multiple * climbed * be.cores * COLD_MARGIN * self.even * span
        be.pushed = be.pushed or Ring(span, BUCKETS)
        if weight <= part:
            return weight <= part - be.pushed.total(self.now)[0]
        turn, passed = divmod(self.now + int(be.phase * span), span)
        lot = drawn(be.entry.id, zlib.crc32(turn.to_bytes(8, "little"), self.seed))
        room = part - be.pushed.total(self.now, covering=False)[0]
        return passed < DRAWN_FOR * span and lot * weight <= room

    def _fits(self, threads: int, be: Backend) -> bool:
        """The thread bound. An engine with no pressure of its own yet is bounded too while others show it:
        guards against all that they can't take being poured on it at once."""
        pool = be.pool
        if not (be.pressed or pool.strained) or be.threads + threads <= be.slice:
            return True
        thin = be.slice < threads  # than one command: one while none runs, and all slices are one pool
        if thin and not pool.out:
            return True
        if threads == 1 or pool.room < 1:
            return thin and not be.threads and pool.room >= 1
        # guards wide commands against small ones that take each thread as it falls free
        alike = sum(cmd.profile.threads for near in (pool.ready if thin else [be])
                    for cmd, _ in near.out.values() if cmd.profile.threads >= threads)  # fmt: skip
        return alike + threads <= max(pool.room + pool.out if thin else be.slice, threads)

    def _gauge_pool(self, pool: Pool) -> None:
        """Each engine's pace and pressure. Few answers of an engine weigh less than those of all."""
        pool.calm = max(1.0, math.exp(pool.paces.latest(self.now, 0.0, ENOUGH / 8, ENOUGH)))
        best, calm = max(1.0, min(pool.best, pool.calm)), math.log(pool.calm)
        for be in pool.ready:
            be.pace = math.exp(be.paces.latest(self.now, calm, ENOUGH / 4, ENOUGH))
            refused = be.full_at is not None and self.now - be.full_at < self.shortest
            full = be.threads >= max(1.0, OPEN_WIDTH * be.cores * self.share)
            be.pressed = (refused or (full and max(be.pace, be.stuck) > NEAR_BEST * best)
                          or max(be.pace, be.overdue) > PRESSURE * best)  # fmt: skip
            be.slice = be.cores * self.share * (be.width if be.pressed else OPEN_WIDTH)
        cores = sum([be.cores for be in pool.ready])
        pool.strained = sum([be.cores for be in pool.ready if be.pressed]) > STRAINED * cores
        pool.room = sum([be.slice for be in pool.ready]) - pool.out  # of all slices together
        pool.others = (1 / self.share - 1) * pool.out / max(1.0, cores)  # threads a core, as far as is known

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
            others = self.share < 0.5 and be in self._homes(cmd)  # their readers
            stall += (readers + others) * cmd.work / profile.threads
        return stall

    def _share_out(self) -> None:
        """Guards engines that some profile is bound to against work that could go elsewhere: what a command
        free to go anywhere sees of an engine is what the bound ones are thought to leave."""
        self.homes.clear()
        if self.share < 0.5:
            self._keep_groups()
        asked = [sum([pool.usual[at].asked.total(self.now)[0] for pool in self.pools.values()])
                 for at in range(len(self.given.profiles))]  # fmt: skip
        level = sum(asked) / max(1.0, sum([be.cores for be in self.ready]))  # work asked for a core
        for be in self.ready:
            be.spare = be.cores
        for profile, work in zip(self.given.profiles, asked, strict=True):
            bound = [be for be in self.ready if profile.open_to(be.entry)]
            if level and len(bound) < len(self.ready):
                taken = work / level / max(1.0, sum([be.cores for be in bound]))  # part of these engines
                for be in bound:
                    be.spare = max(be.cores / 10, be.spare - be.cores * taken)

    def _draw(self, seed: int, profile: api.Profile, be: Backend) -> float:
        """A lot by hash, least for the engine drawn: fair by what each has to give."""
        return -math.log(drawn(be.entry.id, seed)) / (be.cores if profile.bound else be.spare)

    def _homes(self, cmd: Command) -> list[Backend]:
        """The engines where all gateways run a group, agreed without a word by hashing both: two at least.
        Each is home to as many groups as it keeps warm, by lots weighted with what these draw of commands:
        guards engines against being home to many hot groups while others are home to none."""
        group, profile = cmd.group, cmd.profile
        name = (group, profile.zones, profile.kinds, cmd.cell)
        if name not in self.homes:
            inside = self.cells[cmd.cell].engines if cmd.cell in self.cells else ()
            fit = [be for be in self.ready if profile.open_to(be.entry)
                   and (cmd.cell is None or be.entry.id in inside)]  # fmt: skip
            seed = zlib.crc32(group.to_bytes(8, "little", signed=True))
            fit.sort(key=lambda be: (group not in be.keeps, self._draw(seed, profile, be), be.entry.id))
            every = self.groups + self.earlier
            part = every[group] / (every.total() + len(self.ready))  # few samples: few homes
            kept = sum([group in be.keeps for be in fit])
            self.homes[name] = fit[: max(2, min(int(WARM_GROUPS * part * len(fit)), kept))]
        return self.homes[name]

    def _keep_groups(self) -> None:
        seen = [(zlib.crc32(group.to_bytes(8, "little", signed=True)), group, count)
                for group, count in (self.groups + self.earlier).items()]  # fmt: skip
        for be in self.ready:
            lots = [(-math.log(drawn(be.entry.id, seed)) / n, group) for seed, group, n in seen]
            be.keeps = {group for _, group in nsmallest(WARM_GROUPS, lots)}

    def _place(self, cmd: Command, roomy: list[Backend]) -> tuple[float, float, float, Backend] | None:
        """The least stall, then the choice among equals: crowding, the engine's speed, and whether it keeps
        the group warm; then the home."""
        options = []
        homes = self._homes(cmd) if self.share < 0.5 else []
        own = cmd.profile.threads if self.share >= 0.5 else 0  # guards wide engines against all gateways
        fit = [be for be in roomy if self._fits(cmd.profile.threads, be) and self._allowed_there(cmd, be)]
        failed_at = cmd.failed_at
        for be in [be for be in fit if be not in failed_at] or fit:
            part = self.duties.cold_from if self._cold(be) else 1.0  # of the commands, or of its room alone
            crowd = (be.pool.others + (be.threads + own) / be.cores) / (part if own else 1.0)
            warm = be in homes if homes else cmd.group in be.warm
            home = (-float(be.warm[cmd.group]) if warm and not homes
                    else self._draw(cmd.lot, cmd.profile, be) / (1.0 if own else part))  # fmt: skip
            cost = max(1.0, crowd) * max(1.0, be.pace / be.pool.calm) * (WARM_WORTH if warm else 1.0)
            options.append((self._added_stall(cmd, be), cost, home, be))
        return min(options, key=lambda option: option[:3], default=None)

    def _settle(self, _event: api.Settled) -> None:
        if self.waiting:
            self._release()
        if self.look_at is not None and self.now >= self.look_at:
            self.look_at = None
            self._look()
        if (at := self.look_at) is not None and (self.woken_for is None or at < self.woken_for):
            self.woken_for = at
            self.actions.append(api.Wake(at, at))

    def _plan(self, at: int) -> None:
        self.look_at = at if self.look_at is None else min(at, self.look_at)

    def _release(self) -> None:
        """SMF: of the earliest-due held commands, the one that adds least stall goes next."""
        ready = deque(sorted(filter(self._has_turn, self.waiting.values()), key=lambda cmd: cmd.due))
        for pool in self.pools.values():
            self._gauge_pool(pool)
        stuck = set[tuple[int, int | None]]()  # profiles with no place left; within a release none comes free
        while ready:
            roomy = [be for be in self.ready if be.aside_until is None or
                     (not be.out and self.now >= be.aside_until)]  # fmt: skip
            sample = [ready.popleft() for _ in range(min(SAMPLE, len(ready)))]
            picked: tuple[float, int, Backend] | None = None
            for at, cmd in enumerate(sample):
                place = self._place(cmd, roomy) if cmd.tries or (cmd.kind, cmd.cell) not in stuck else None
                if place is None and not cmd.tries:
                    stuck.add((cmd.kind, cmd.cell))
                elif place and (picked is None or place[0] < picked[0]):
                    picked = (place[0], at, place[3])
                if picked and not picked[0]:
                    break
            if picked:  # otherwise held; later ones may still have room elsewhere
                self._send(sample.pop(picked[1]), picked[2])
                ready.extendleft(reversed(sample))
        if self.waiting:
            self._plan(self.now + self.look_every)

    def _has_turn(self, cmd: Command) -> bool:
        return cmd.key is None or (self.turns[cmd.key][0] is cmd and self.now >= self.rests.get(cmd.key, 0))

    def _send(self, cmd: Command, be: Backend) -> None:
        if cmd.tries:
            taken, made = self.taken.total(self.now, covering=False)[1], self.extras.total(self.now)[1]
            if made + 1 > self.duties.extra_min + self.duties.extra_ratio * taken:
                return
            self.extras.add(self.now, 0.0)
            be.credit -= 1
        del self.waiting[cmd.id]
        stall, alone = self._added_stall(cmd, be), cmd.work / cmd.profile.threads
        expected = alone * max(1.0, be.pace)
        a_try = Try(be, self.now, alone, expected, len(cmd.tries), self.now + expected + stall, stall > 0)
        be.begins(cmd, a_try, WARM_GROUPS)
        if cmd.profile.loads:  # scarce cores go first to what others stand behind
            be.loads[cmd.group] = (cmd, a_try.finish)
        named = self.reduced.priorities[cmd.kind] if self.reduced else None
        rank = HIGHEST if cmd.profile.loads else named
        if rank is not None and self.allowed.priorities and not a_try.number:
            self.actions.append(api.Resources(cmd.id, 0.0, rank))
        self.actions.append(api.Send(cmd.id, be.entry.id, cmd.ends_by - self.now))
        self._plan(min(self.now + max(self.look_every, int(expected / 4)), cmd.ends_by - 2 * self.look_every))

    def _look(self) -> None:
        """What time alone brings: ends of patience, silence and the engines' widths."""
        for pool in self.pools.values():
            if pool.paces.total(self.now)[1] >= ENOUGH:
                pool.best = min(pool.calm, pool.best * 1.001)
        for be in self.ready:
            self._adjust(be)
        self.looked_at = self.now
        for cmd in list(self.open.values()):
            fresh = cmd.work / cmd.profile.threads * (cmd.pool.calm if cmd.pool.strained else 1.0)
            useful = cmd.due if cmd.pool.strained else cmd.ends_by  # late answers pay where there is room
            hopeless = cmd.id in self.waiting and self.now + fresh > useful
            if hopeless or self.now + 2 * self.look_every >= cmd.ends_by:
                self._give_up(cmd)
                continue
            wait = self.look_every
            if cmd.out and cmd.id not in self.waiting:
                self._reconsider(cmd)
                wait = max(wait, (self.now - cmd.tries[-1].at) // 4)
            self._plan(min(self.now + wait, cmd.ends_by - 2 * self.look_every))

    def _adjust(self, be: Backend) -> None:
        be.overdue = be.stuck = be.pool.calm
        if be.out:  # guards against an engine so crowded, or full of what stands still, that it tells nothing
            late = [(min(RUNAWAY * t.alone, self.now - t.at) / t.alone * cmd.profile.threads, t.stalled)
                    for cmd, t in be.out.values()]  # fmt: skip
            be.overdue, be.stuck = ((sum([part for part, stalled in late if count or not stalled])
                + be.cores * be.pool.calm) / (be.threads + be.cores) for count in (False, True))  # fmt: skip
            if be.aside_until is None and self._silent(be):
                self._set_aside(be)
        step = 2.0 ** min(1.0, (self.now - self.looked_at) / self.shortest)  # twofold in the shortest target
        if be.pace < NEAR_BEST * be.pool.best:
            be.width = min(OPEN_WIDTH, be.width * step)
        elif be.pace > PRESSURE * be.pool.best:
            be.width = max(LEAST_WIDTH, be.width / step)

    def _silent(self, be: Backend) -> bool:
        """Overdue sends in a row and not a word: no pause, no slowness, no one bad plan."""
        overdue = sum(self.now - t.at > PATIENCE * t.expected and not t.stalled for _, t in be.out.values())
        needed = 1 if self.given.note_every else FAILURES
        return overdue >= needed and self.now - be.heard > max(self.shortest, 2 * self.given.note_every)

    def _reconsider(self, cmd: Command) -> None:
        """Guards against silent engines, bad plans and engines far slower than the rest."""
        a_try, be, profile = cmd.out[-1], cmd.out[-1].be, cmd.profile
        if a_try.doomed or not (self.allowed.cancelling and self._may_send_again(cmd)):
            return
        age, alone = self.now - a_try.at, cmd.work / profile.threads
        fresh = alone * max(be.pool.calm, math.exp(be.pool.usual[cmd.kind].paces.mean(self.now, 0.0, 1.0)))
        left = max(a_try.finish - self.now, age / 4) if a_try.told else float(age)
        total = age + left if a_try.told else 0 if self.given.note_every else age
        late = self.now + left > max(cmd.due, self.now + 2 * fresh)
        if be.aside_until and be.lost and (a_try.at <= be.aside_at or age > PATIENCE * a_try.expected):
            self._set_aside(be)  # by a trial that stays out too long as well
            self._cancel(cmd, a_try)
        elif total > RUNAWAY * fresh * 2**cmd.overlong and late and not profile.loads and not a_try.stalled:
            cmd.overlong += 1
            self._learn_pace(be, cmd, int(max(age, min(total, RUNAWAY * alone))), alone)  # not its short age
            self._cancel(cmd, a_try)
