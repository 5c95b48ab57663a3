"""All of lotusstream's decisions.

A caller makes one Gateway and passes it every event, in order, with the time; `handle` returns the
actions to carry out, in order. The first event is Started; Settled follows the last event of a moment,
and held commands are released then. Events and actions: lotusstream/interface.py.
"""

from __future__ import annotations

import math
import zlib
from collections import deque

from lotusstream import interface as api
from lotusstream.interface import Effect, Further, ListKind, Note, Outcome, Reason, State
from lotusstream.lots import drawn
from lotusstream.policy.affinity import Affinity, group_seed
from lotusstream.policy.catalog import Catalog, Domain, EntryChange, gone
from lotusstream.policy.overload import QueueDelay
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
LONGEST_TOLD_AFTER = 60_000_000  # microseconds after a start that a list may tell it
PLACED_AT_ONCE = 24  # choices of an engine in one moment
FEW = 40  # engines: a choice looks at all of no more than these
SAMPLED, WARM_SAMPLED, WIDENED = 10, 8, 48  # looked at of more: any, warm ones, and where none of them fits
KEPT, KEPT_IDLE, KEPT_FAILED = 128, 8, 64  # engines known; shortest targets without a send after which one of
# more is forgotten, and one that has failed


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
        self.backends: dict[api.EngineId, Backend] = {}  # by their last send, the longest ago first
        self.open: dict[int, Command] = {}
        self.waiting: dict[int, Command] = {}
        self.turns: dict[int, deque[Command]] = {}
        self.rests: dict[int, int] = {}
        self.look_at: int | None = None  # when time alone may change something
        self.woken_for: int | None = None
        self.pools: dict[int | None, Pool] = {}  # by name; without cells all engines are of one
        self.cells: dict[int, api.Confined] = {}
        self.pool_of: dict[api.EngineId, int] = {}
        self.homes: dict[object, dict[api.EngineId, None]] = {}
        self.cold_since: dict[api.EngineId, int] = {}  # of starts that the clock can't have right
        self.ran_at: dict[int, dict[api.EngineId, None]] = {}  # engines that ran a group lately
        self.spare: dict[tuple[int, int], float] = {}  # by zone and kind: the part left by bound profiles
        self.draws, self.stop_by = 0, NEVER
        self.queue_delay = QueueDelay()
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
        self.catalog = Catalog(self.seed, self.even, self._cores)
        self.affinity = Affinity(WARM_GROUPS, 16 * self.shortest)
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
        at_start = not self.catalog.entries
        changes = self.catalog.apply(event.engines, whole=event.kind is not ListKind.CHANGES)
        for change in changes:
            self._note_start(change, at_start)
            self._follow(change)
        self._share_out()

    def _cores(self, kind: int) -> float:
        return self.given.kinds[kind].cores if kind < len(self.given.kinds) else 1.0

    def _note_start(self, change: EntryChange, at_start: bool) -> None:
        """Guards slow start against a wall clock that is wrong: a start that is listed as news, and that this
        clock puts in the future or long ago, counts from when it was told."""
        entry = change.after
        if entry is not None and change.before is not None and not change.restarted:
            return
        self.cold_since.pop(change.id, None)
        if entry is None or not entry.started:
            return
        age = self.now - entry.started
        if age < 0 or (age > LONGEST_TOLD_AFTER and not at_start):
            self.cold_since[change.id] = self.now

    def _follow(self, change: EntryChange) -> None:
        """What a change of the list means for the pool and for what is known of the engine."""
        pool = self._pool_of(change.id)
        if change.was_ready and change.before is not None:
            pool.cores -= self._cores(change.before.kind)
        if change.is_ready and change.after is not None:
            pool.cores += self._cores(change.after.kind)
        else:
            self.affinity.remove(change.id)
        known = self.backends.get(change.id)
        if known is None:
            return
        if change.after is None:
            known.entry = gone(known.entry)
        elif known.entry.started != change.after.started:
            fresh = self.backends[change.id] = self._fresh(change.after)
            fresh.out, fresh.threads = known.out, known.threads
            pool.discount(known)
            pool.changed.pop(known, None)
            for group in known.warm:
                self._cooled(group, known)
            pool.changed[fresh] = None
            known = fresh
        else:
            known.entry = change.after
        if not change.is_ready:
            pool.discount(known)
        if change.after is None:
            self._drop_if_gone(known)

    def _drop_if_gone(self, be: Backend) -> None:
        """One that is gone stays known while it owes outcomes: a key's turn may hang on them."""
        if be.entry.state is State.GONE and not be.out:
            self._drop_known(be)

    def _drop_known(self, be: Backend) -> None:
        be.pool.discount(be)
        be.pool.changed.pop(be, None)
        self.backends.pop(be.entry.id, None)
        for group in be.warm:
            self._cooled(group, be)

    def _cooled(self, group: int, be: Backend) -> None:
        ran = self.ran_at.get(group, {})
        ran.pop(be.entry.id, None)
        if not ran:
            self.ran_at.pop(group, None)

    def _fresh(self, entry: api.Engine) -> Backend:
        """An engine of which this gateway knows what is listed and no more. When its windows begin follows
        from its name: it may be looked at any number of times before it is kept."""
        pool = self._pool_of(entry.id)
        made = Backend(entry, pool, self._cores(entry.kind), 8 * self.shortest, CREDIT_START)
        if entry.started:
            phase = drawn(entry.id, self.seed ^ entry.started & 0xFFFFFFFF)
            made.chill(self.cold_since.get(entry.id, entry.started), phase)
        return made

    def _backend(self, engine: api.EngineId) -> Backend:
        """What is known of a listed engine."""
        return self.backends.get(engine) or self._fresh(self.catalog.entries[engine])

    def _keep(self, be: Backend) -> None:
        """Keeps an engine that is sent something, and lets go of what has long been idle."""
        engine = be.entry.id
        if self.backends.pop(engine, None) is None:
            be.adjusted_at = self.now
        self.backends[engine] = be
        for _ in range(2):
            if len(self.backends) <= KEPT:
                return
            oldest = next(iter(self.backends.values()))
            failed = oldest.failures or oldest.aside_until is not None or self._cold(oldest)
            idle = self.now - oldest.used_at > (KEPT_FAILED if failed else KEPT_IDLE) * self.shortest
            if oldest.out or not idle:
                self.backends[oldest.entry.id] = self.backends.pop(oldest.entry.id)
            else:
                self._drop_known(oldest)

    def _pool_of(self, engine: api.EngineId) -> Pool:
        return self.pools[self.pool_of.get(engine) if self.pool_of else None]

    def _new_pool(self) -> Pool:
        longest = max(profile.client_timeout for profile in self.given.profiles)
        usual = [Usual(profile, longest) for profile in self.given.profiles]
        return Pool(Ring(8 * self.shortest, BUCKETS), usual, OPEN_WIDTH)

    def _confine(self, event: api.Confined) -> None:
        """Guards the tenants of one cell against what those of another do to their engines."""
        if event.engines:
            self.cells[event.cell] = event
        else:
            self.cells.pop(event.cell, None)
        self.pools.setdefault(event.pool, self._new_pool())
        self.pool_of = {engine: cell.pool for cell in self.cells.values() for engine in cell.engines}
        self.catalog.forget_domains()
        self.homes.clear()
        self._regroup()
        self._share_out()

    def _rehome(self, event: api.Rehomed) -> None:
        if cmd := self.open.get(event.command):
            cmd.cell, cell = event.cell, self.cells.get(event.cell)
            cmd.pool = self.pools[cell.pool if cell else None]

    def _drop(self, event: api.Dropped) -> None:
        if cmd := self.open.get(event.command):
            self._give_up(cmd, Reason.WITHDRAWN)

    def _recall(self, event: api.RanElsewhere) -> None:
        if cmd := self.open.get(event.command):
            cmd.earlier.append(event)

    def _regroup(self) -> None:
        """Puts every engine into its pool; only where cells change."""
        for pool in self.pools.values():
            pool.cores, pool.out = 0.0, 0
            for be in list(pool.active):
                pool.discount(be)
            pool.changed.clear()
        for entry in self.catalog.entries.values():
            if entry.state is State.READY:
                self._pool_of(entry.id).cores += self._cores(entry.kind)
        for be in self.backends.values():
            be.pool = self._pool_of(be.entry.id)
            be.pool.out += be.threads
            be.pool.changed[be] = None

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
        if self.affinity.record(self.now, cmd.group):
            self._share_out()  # guards bound engines from the first commands on, not an epoch later
        self.unprobed += 1
        if self.unprobed >= PROBE_EVERY and self.allowed.probes and self.given.tells_in_hand:
            self._probe()
        too_late = ends_by - self.now <= 2 * self.look_every  # nothing can be done
        if self.queue_delay.refuses(self.now, event.waited):
            self._give_up(cmd, Reason.OVERLOADED)
        elif too_late:
            self._give_up(cmd, Reason.TOO_LATE)
        elif not self._admitted(cmd):
            self._give_up(cmd, Reason.REDUCED)

    def _probe(self) -> None:
        every = self._domain(None, None)
        if len(every):
            self.unprobed, self.probed = 0, self.probed + 1
            self.actions.append(api.Probe(every.at(self.probed % len(every))))

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
            self._give_up(cmd, Reason.REDUCED)

    def _admitted(self, cmd: Command) -> bool:
        """By the command's lot: a lower part admits none that a higher one would not."""
        return self.reduced is None or cmd.lot < self.reduced.admitted[cmd.kind] * 2**32

    def _tell_beliefs(self, _event: api.Asked) -> None:
        beliefs = [api.Belief(be.entry.id, be.entry.state, be.entry.zone, be.entry.kind, be.cores, be.threads,
                              len(be.out), len(be.loads), be.pace, be.pressed, be.slice, be.credit,
                              be.failures, be.aside_until, self._cold_until(be))
                   for be in self._known()]  # fmt: skip
        calm, strained = (pick(getattr(pool, name) for pool in self.pools.values())
                          for pick, name in ((max, "calm"), (any, "strained")))  # fmt: skip
        self.actions.append(api.Believed(tuple(beliefs), self.share, calm, strained,
                                         len(self.open), len(self.waiting)))  # fmt: skip

    def _known(self) -> list[Backend]:
        listed = [self._backend(engine) for engine in self.catalog.entries]
        return listed + [be for be in self.backends.values() if be.entry.state is State.GONE]

    def _woken(self, event: api.Woken) -> None:
        self.woken_for = None if event.token == self.woken_for else self.woken_for

    def _probed(self, event: api.Probed) -> None:
        if event.engine in self.catalog.entries and event.report and event.report.in_hand is not None:
            own = sum(len(be.out) for be in self.backends.values()) / max(1, self.catalog.ready)
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
            self._drop_if_gone(be)
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
            self._give_up(cmd, Reason.ATTEMPTS)

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
            be.pool.changed[be] = None
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
        be.learn_pace(self.now, pace, BUCKETS)
        for ring in (be.pool.paces, be.pool.usual[cmd.kind].paces):
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

    def _give_up(self, cmd: Command, reason: Reason) -> None:
        """The final answer at once: a shed reply where a repeat is harmless, otherwise a failure."""
        advice = self.allowed.longest_advice
        if self.reduced:  # guards against all that was refused coming back as one
            most = self.reduced.longest_advice
            advice = int(min(advice, advice if most is None else most) * (1 + self._chance()) / 2)
        dropped = (cmd.profile.effect is Effect.UNIQUED and cmd.profile.scope is api.Scope.ALL
                   and self._remembered(cmd, advice))  # fmt: skip
        harmless = cmd.profile.effect is Effect.REPLAYABLE or dropped or not cmd.ran
        reduced = not cmd.tries and not self._admitted(cmd)
        self.actions.append(
            api.Shed(cmd.id, advice, reduced, reason) if harmless else api.Fail(cmd.id, reason)
        )
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

    def _domain(self, profile: api.Profile | None, cell: int | None) -> Domain:
        """The engines that a profile's commands of a cell may go to."""
        zones, kinds = (profile.zones, profile.kinds) if profile else (None, None)
        if cell is None:
            return self.catalog.domain((zones, kinds, None), profile.open_to if profile else _any)
        inside = self.cells[cell].engines if cell in self.cells else frozenset[api.EngineId]()
        return self.catalog.domain(
            (zones, kinds, cell),
            lambda entry: entry.id in inside and (profile is None or profile.open_to(entry)),
        )

    def _allowed_there(self, cmd: Command, be: Backend) -> bool:
        """Of its domain; whether the command may be sent at all was asked before."""
        if be.aside_until is not None and (be.out or self.now < be.aside_until):
            return False
        if cmd.tries and be.credit < 1:
            return False
        profile, entry = cmd.profile, be.entry
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
        alike = sum(cmd.profile.threads for near in (pool.active if thin else [be])
                    for cmd, _ in near.out.values() if cmd.profile.threads >= threads)  # fmt: skip
        return alike + threads <= max(pool.room + pool.out if thin else be.slice, threads)

    def _gauge_pool(self, pool: Pool) -> None:
        """The pool's pace and pressure, from the engines that have changed; all others are as they were, or
        nothing is known of them."""
        pool.calm = max(1.0, math.exp(pool.paces.latest(self.now, 0.0, ENOUGH / 8, ENOUGH)))
        pool.all_pressed = pool.calm > PRESSURE * pool.floor
        pool.slice_per_core = self.share * (pool.width if pool.all_pressed else OPEN_WIDTH)
        for be in pool.changed:
            self._gauge(be)
        pool.changed.clear()
        unknown = max(0.0, pool.cores - pool.sums.cores)
        pressed = pool.sums.pressed_cores + (unknown if pool.all_pressed else 0.0)
        pool.strained = pressed > STRAINED * pool.cores
        pool.room = pool.sums.slices + unknown * pool.slice_per_core - pool.out  # of all slices together
        pool.others = (1 / self.share - 1) * pool.out / max(1.0, pool.cores)  # threads a core, as known

    def _gauge(self, be: Backend) -> None:
        """An engine's pace and pressure. Few answers of an engine weigh less than those of all."""
        pool, best = be.pool, be.pool.floor
        be.gauged_at = self.now
        be.pace = pool.calm
        if be.paces is not None:
            be.pace = math.exp(be.paces.latest(self.now, math.log(pool.calm), ENOUGH / 4, ENOUGH))
        refused = be.full_at is not None and self.now - be.full_at < self.shortest
        full = be.threads >= max(1.0, OPEN_WIDTH * be.cores * self.share)
        be.pressed = (refused or (full and max(be.pace, be.stuck) > NEAR_BEST * best)
                      or max(be.pace, be.overdue) > PRESSURE * best)  # fmt: skip
        be.slice = be.cores * self.share * (be.width if be.pressed else OPEN_WIDTH)
        known = self.backends.get(be.entry.id) is be  # not one that has restarted since
        if known and be.entry.state is State.READY and (be.out or be.pressed):
            pool.count(be)
        else:
            pool.discount(be)

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
            others = self.share < 0.5 and be.entry.id in self._homes(cmd)  # their readers
            stall += (readers + others) * cmd.work / profile.threads
        return stall

    def _share_out(self) -> None:
        """Guards engines that some profile is bound to against work that could go elsewhere: what a command
        free to go anywhere sees of an engine is what the bound ones are thought to leave."""
        asked = [sum([pool.usual[at].asked.total(self.now)[0] for pool in self.pools.values()])
                 for at in range(len(self.given.profiles))]  # fmt: skip
        level = sum(asked) / max(1.0, self.catalog.ready_cores)  # work asked for a core
        classes = self.catalog.cores_by_class
        self.spare = dict.fromkeys(classes, 1.0)
        for profile, work in zip(self.given.profiles, asked, strict=True):
            if not profile.bound:
                continue
            bound = [each for each in classes if _class_open_to(profile, *each)]
            if level and len(bound) < len(classes):
                taken = work / level / max(1.0, sum([classes[each] for each in bound]))  # part of these
                for each in bound:
                    self.spare[each] = max(0.1, self.spare[each] - taken)
        self.homes.clear()

    def _draw(self, seed: int, profile: api.Profile, entry: api.Engine) -> float:
        """A lot by hash, least for the engine drawn: fair by what each has to give."""
        part = 1.0 if profile.bound else self.spare.get((entry.zone, entry.kind), 1.0)
        return -math.log(drawn(entry.id, seed)) / (self._cores(entry.kind) * part)

    def _homes(self, cmd: Command) -> dict[api.EngineId, None]:
        """The engines where all gateways run a group, agreed without a word by hashing both: two at least.
        Each is home to as many groups as it keeps warm, by lots weighted with what these draw of commands:
        guards engines against being home to many hot groups while others are home to none."""
        domain = self._domain(cmd.profile, cmd.cell)
        name = (cmd.group, domain.key)
        if name not in self.homes:
            self.homes[name] = self._agreed_homes(cmd, domain)
        return self.homes[name]

    def _agreed_homes(self, cmd: Command, domain: Domain) -> dict[api.EngineId, None]:
        preferred = domain.preferred
        self.affinity.enrol(domain.first(preferred))
        rank = self.catalog.rank
        kept = [engine for engine in self.affinity.kept_by(cmd.group) if self._is_home(cmd, domain, engine)]
        part = self.affinity.part(cmd.group, preferred)
        count = max(2, min(int(WARM_GROUPS * part * preferred), len(kept)))
        found = kept if len(kept) >= count else domain.first(preferred)
        keeping, seed = set(kept), group_seed(cmd.group)
        entries = self.catalog.entries
        draws = [(engine not in keeping, self._draw(seed, cmd.profile, entries[engine]), engine)
                 for engine in found if domain.prefers(rank(engine))]  # fmt: skip
        return dict.fromkeys([engine for _, _, engine in sorted(draws)[:count]])

    def _is_home(self, cmd: Command, domain: Domain, engine: api.EngineId) -> bool:
        entry = self.catalog.entries.get(engine)
        if entry is None or entry.state is not State.READY or not domain.prefers(self.catalog.rank(engine)):
            return False
        if not cmd.profile.open_to(entry):
            return False
        return cmd.cell is None or (cmd.cell in self.cells and engine in self.cells[cmd.cell].engines)

    def _place(self, cmd: Command) -> tuple[float, float, float, Backend] | None:
        """The least stall, then the choice among equals: crowding, the engine's speed, and whether it keeps
        the group warm; then the home."""
        if cmd.tries and not self._may_send_again(cmd):
            return None
        domain = self._domain(cmd.profile, cmd.cell)
        homes = self._homes(cmd) if self.share < 0.5 else {}
        if len(domain) <= FEW:
            return self._best_of(cmd, homes, [self._backend(engine) for engine in domain.first(FEW)])
        seen = dict.fromkeys(self._warm_sample(cmd, domain, homes))
        self._sample(domain, SAMPLED, seen)
        looked_at = [self._backend(engine) for engine in seen]
        if (found := self._best_of(cmd, homes, looked_at)) is not None:
            return found
        before = len(seen)
        self._sample(domain, WIDENED, seen, preferred=False)
        return self._best_of(cmd, homes, [self._backend(engine) for engine in [*seen][before:]])

    def _warm_sample(
        self, cmd: Command, domain: Domain, homes: dict[api.EngineId, None]
    ) -> list[api.EngineId]:
        """Some engines that keep the command's group warm, as agreed or as this gateway has seen."""
        if homes:
            warm = [*homes]
        else:
            warm = [engine for engine in self.ran_at.get(cmd.group, ()) if self._is_home(cmd, domain, engine)]
        if len(warm) <= WARM_SAMPLED:
            return warm
        begin = self._lot() % len(warm)
        return (warm + warm)[begin : begin + WARM_SAMPLED]

    def _sample(
        self, domain: Domain, count: int, seen: dict[api.EngineId, None], *, preferred: bool = True
    ) -> None:
        """Adds as many engines of a domain, by lot; fewer where the same come twice."""
        most = domain.preferred if preferred else len(domain)
        for _ in range(min(count, most)):
            seen[domain.at(self._lot() % most)] = None

    def _best_of(
        self, cmd: Command, homes: dict[api.EngineId, None], looked_at: list[Backend]
    ) -> tuple[float, float, float, Backend] | None:
        options: list[tuple[float, float, Backend]] = []
        own = cmd.profile.threads if self.share >= 0.5 else 0  # guards wide engines against all gateways
        fit = []
        for be in looked_at:
            if 0 <= be.gauged_at <= self.now - self.look_every:
                self._adjust(be)
                self._gauge(be)
            if self._fits(cmd.profile.threads, be) and self._allowed_there(cmd, be):
                fit.append(be)
        failed_at = cmd.failed_at
        for be in [be for be in fit if be not in failed_at] or fit:
            part = self.duties.cold_from if self._cold(be) else 1.0  # of the commands, or of its room alone
            crowd = (be.pool.others + (be.threads + own) / be.cores) / (part if own else 1.0)
            warm = be.entry.id in homes if homes else cmd.group in be.warm
            cost = max(1.0, crowd) * max(1.0, be.pace / be.pool.calm) * (WARM_WORTH if warm else 1.0)
            options.append((self._added_stall(cmd, be), cost, be))
        if not options:
            return None
        stall, cost = min([(stall, cost) for stall, cost, _ in options])
        equals = [be for other_stall, other, be in options if other_stall == stall and other == cost]
        if len(equals) == 1:
            return stall, cost, 0.0, equals[0]
        lots = [(self._home_lot(cmd, be, homes, own), place) for place, be in enumerate(equals)]
        home, place = min(lots)
        return stall, cost, home, equals[place]

    def _home_lot(self, cmd: Command, be: Backend, homes: dict[api.EngineId, None], own: int) -> float:
        """Least for the engine among equals that ran the group last or, where homes are agreed, by lot."""
        if not homes and cmd.group in be.warm:
            return -float(be.warm[cmd.group])
        part = self.duties.cold_from if not own and self._cold(be) else 1.0
        return self._draw(cmd.lot, cmd.profile, be.entry) / part

    def _settle(self, _event: api.Settled) -> None:
        if self.waiting:
            self._follow_groups()
            self._release()
        if self.look_at is not None and self.now >= self.look_at:
            self.look_at = None
            self._look()
        if (at := self.look_at) is not None and (self.woken_for is None or at < self.woken_for):
            self.woken_for = at
            self.actions.append(api.Wake(at, at))

    def _follow_groups(self) -> None:
        if self.share >= 0.5:
            return
        before = self.affinity.version
        self.affinity.refresh()
        if self.affinity.version != before:
            self.homes.clear()

    def _plan(self, at: int) -> None:
        self.look_at = at if self.look_at is None else min(at, self.look_at)

    def _release(self) -> None:
        """SMF: of the earliest-due held commands, the one that adds least stall goes next."""
        ready = deque(sorted(filter(self._has_turn, self.waiting.values()), key=lambda cmd: cmd.due))
        for pool in self.pools.values():
            self._gauge_pool(pool)
        stuck = set[tuple[int, int | None]]()  # profiles with no place left; within a release none comes free
        placed = 0
        while ready and placed < PLACED_AT_ONCE:  # the rest at the next moment: what has ended comes before
            sample = [ready.popleft() for _ in range(min(SAMPLE, len(ready)))]
            picked: tuple[float, int, Backend] | None = None
            for at, cmd in enumerate(sample):
                placed += 1
                place = self._place(cmd) if cmd.tries or (cmd.kind, cmd.cell) not in stuck else None
                if place is None and not cmd.tries:
                    stuck.add((cmd.kind, cmd.cell))
                elif place and (picked is None or place[0] < picked[0]):
                    picked = (place[0], at, place[3])
                if picked and not picked[0]:
                    break
            if picked:  # otherwise held; later ones may still have room elsewhere
                self._send(sample.pop(picked[1]), picked[2])
                ready.extendleft(reversed(sample))
        if ready:
            self._plan(self.now)
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
        self._keep(be)
        cooled = be.begins(cmd, a_try, WARM_GROUPS)
        if cooled is not None:
            self._cooled(cooled, be)
        self.ran_at.setdefault(cmd.group, {})[be.entry.id] = None
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
            self._widen(pool)
            for be in {**pool.active, **pool.changed}:  # also what was sent to since
                if be.entry.state is State.READY:
                    self._adjust(be)
                    pool.changed[be] = None
        for cmd in list(self.open.values()):
            fresh = cmd.work / cmd.profile.threads * (cmd.pool.calm if cmd.pool.strained else 1.0)
            useful = cmd.due if cmd.pool.strained else cmd.ends_by  # late answers pay where there is room
            hopeless = cmd.id in self.waiting and self.now + fresh > useful
            if hopeless or self.now + 2 * self.look_every >= cmd.ends_by:
                self._give_up(cmd, Reason.HOPELESS)
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
        be.width = self._width(be.width, be.pace, be.pool, self.now - be.adjusted_at)
        be.adjusted_at = self.now

    def _widen(self, pool: Pool) -> None:
        """The width of engines of which nothing is known follows the pool's own pace."""
        pool.width = self._width(pool.width, pool.calm, pool, self.now - pool.adjusted_at)
        pool.adjusted_at = self.now

    def _width(self, width: float, pace: float, pool: Pool, passed: int) -> float:
        step = math.pow(2.0, min(1.0, passed / self.shortest))  # twofold in the shortest target
        if pace < NEAR_BEST * pool.best:
            return min(OPEN_WIDTH, width * step)
        if pace > PRESSURE * pool.best:
            return max(LEAST_WIDTH, width / step)
        return width

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


def _any(_entry: api.Engine) -> bool:
    return True


def _class_open_to(profile: api.Profile, zone: int, kind: int) -> bool:
    in_zone = profile.zones is None or zone in profile.zones
    return in_zone and (profile.kinds is None or kind in profile.kinds)
