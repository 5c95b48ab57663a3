"""Confines commands to their tenants' cells, and moves tenants between cells. No I/O, no clock.

It stands in front of the decision module: a command is told with the number of its cell, engines of a cell
are told when they change. What a move has to remember comes out as `Write` and is acted on when `Written`
comes back.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace

from lotusstream import interface as api
from lotusstream.cells import migration as moving
from lotusstream.cells.migration import Migration, MigrationError, MigrationStep, MigrationTiming
from lotusstream.cells.plan import (
    Cell,
    CellMembership,
    CellPlan,
    EmptyCellPolicy,
    assign_endpoints,
    endpoints_for,
    profiles_losing_deduplication,
)
from lotusstream.cells.poison_requests import PoisonRequestDetector, PoisonSettings
from lotusstream.interface import EndpointStatus

JUDGE_EVERY = 1_000_000  # microseconds
FENCE = 0  # the number of no cell: nothing may serve it


@dataclass(frozen=True, slots=True)
class MigrateTenant:
    tenant: str
    target: str
    why: str


@dataclass(frozen=True, slots=True)
class AbortMigration:
    tenant: str
    why: str


@dataclass(frozen=True, slots=True)
class MigrationPersisted:
    """The step is on the disk."""

    move: Migration


@dataclass(frozen=True, slots=True)
class MigrationNotPersisted:
    """It is not, and will not be found there."""

    move: Migration
    why: str


@dataclass(frozen=True, slots=True)
class PlanReplaced:
    """Read anew while running. What was moved by hand stays moved where its cell is still there."""

    plan: CellPlan


@dataclass(frozen=True, slots=True)
class MigrationLeaseChanged:
    """Whether this gateway may begin moves for the fleet: under a token that only grows, or, where that is 0,
    not at all. Without this event it may."""

    token: int


CellEvent = (
    MigrateTenant
    | AbortMigration
    | MigrationPersisted
    | MigrationNotPersisted
    | PlanReplaced
    | MigrationLeaseChanged
)


@dataclass(frozen=True, slots=True)
class PersistMigration:
    """To be written down before it is acted on."""

    move: Migration


@dataclass(frozen=True, slots=True)
class MigrationRejected:
    """A wish by hand that is not carried out, and why."""

    tenant: str
    why: str


@dataclass(slots=True)
class CellAssignment:
    """A cell, or a tenant's shard of one, as the module knows it."""

    number: int
    cell: str
    tenant: str | None  # where it is a shard
    engines: frozenset[api.EndpointId] = frozenset()
    users: int = 0


@dataclass(slots=True)
class TrackedRequest:
    tenant: str | None
    profile: int
    taken: int
    version: int
    hint: int | None
    place: CellAssignment | None  # None: behind a fence
    sent: bool = False
    over: bool = False
    out: set[int] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class CellStatus:
    """`unserved`: places of the profiles that no ready engine here may serve."""

    name: str
    engines: tuple[api.EndpointId, ...]
    ready: int
    commands: int
    tenants: int
    unserved: tuple[int, ...]
    lender: str | None
    quarantine: bool


@dataclass(frozen=True, slots=True)
class CellsStatus:
    """`held`: commands behind a fence."""

    version: int
    cells: tuple[CellStatus, ...]
    moves: tuple[Migration, ...]
    homeless: tuple[api.EndpointId, ...]
    held: int
    poisoned: tuple[str, ...]


Told = list[api.Event | PersistMigration | MigrationRejected]


class CellController:
    """`arrived` gives a command its cell; `handle` takes all else that happens."""

    def __init__(
        self,
        plan: CellPlan,
        terms: MigrationTiming,
        profiles: tuple[api.Profile, ...],
        moves: Iterable[Migration] = (),
        poison: PoisonSettings | None = None,
    ) -> None:
        """`moves`: as the log has them, from `recovered`. `poison`: when a tenant goes to quarantine, if
        ever."""
        self._poison = PoisonRequestDetector(poison) if poison else None
        self._ward: dict[str, int] = {}  # tenants in quarantine for their blame, since when
        self._shut: dict[str, int] = {}  # refused until then, where no quarantine takes them
        self._judged_at = 0
        self._token, self._driving = 0, True
        self._marked: dict[str, int] = {}  # when a tenant last sent something that carries a mark
        self.plan, self._terms, self._profiles = plan, terms, profiles
        self._listed: dict[api.EndpointId, api.EndpointEntry] = {}
        self._members = CellMembership({}, (), ())
        self._pools = {cell.name: at for at, cell in enumerate(plan.cells)}
        self._places: dict[tuple[str, str | None], CellAssignment] = {}
        self._numbers = FENCE
        self._open: dict[int, TrackedRequest] = {}
        self._sends: dict[int, int] = {}
        self._by_tenant: dict[str, set[int]] = {}
        self.moves: dict[str, Migration] = {}
        self._writing: dict[str, Migration] = {}
        for each in moves:
            self.moves[each.tenant] = each
            if each.step is MigrationStep.DONE:
                self.plan = self.plan.with_moved(each.tenant, each.target)
                target = self.plan.cell(each.target)
                if target is not None and target.quarantine:
                    self._ward[each.tenant] = each.since

    # For operators

    def refuses(self, now: int, tenant: str, target: str) -> str | None:
        """Why a move would not be begun, if it would not."""
        try:
            self._begun(now, tenant, target, "")
        except MigrationError as error:
            return str(error)
        return None

    def standing(self) -> CellsStatus:
        cells = []
        for cell in self.plan.cells:
            inside = self._members.engines.get(cell.name, ())
            here = [
                each
                for each in self._open.values()
                if each.place is not None and each.place.cell == cell.name
            ]
            unserved = [
                at
                for at in range(len(self._profiles))
                if not self._serving(cell, TrackedRequest(None, at, 0, 0, None, None))
            ]
            cells.append(
                CellStatus(
                    cell.name,
                    tuple(engine.id for engine in inside),
                    sum(engine.status is EndpointStatus.READY for engine in inside),
                    len(here),
                    len({each.tenant for each in here}),
                    tuple(unserved),
                    cell.lender if cell.empty is EmptyCellPolicy.BORROW else None,
                    cell.quarantine,
                )
            )
        homeless = tuple(engine.id for engine in self._members.homeless)
        held = sum(each.place is None for each in self._open.values())
        moves = tuple(self.moves.values())
        poisoned = tuple(sorted({*self._ward, *self._shut}))
        return CellsStatus(self.plan.version, tuple(cells), moves, homeless, held, poisoned)

    def begun_anew(self) -> Told:
        """For a module that knows nothing: the cells as they stand. All that was open has failed, and what
        its sends do is not told any more, so moves that wait for them are undone."""
        self._open.clear()
        self._by_tenant.clear()
        self._sends.clear()
        self._places = {key: place for key, place in self._places.items() if place.tenant is None}
        told: Told = []
        for place in self._places.values():
            place.users = 0
            told.append(api.CellEndpointsChanged(place.number, self._pools.get(place.cell, 0), place.engines))
        for move in self.moves.values():
            if move.step not in moving.IRREVERSIBLE_STEPS:
                self._writing[move.tenant] = replace(
                    move, step=MigrationStep.UNDONE, why="the module began anew"
                )
                told.append(PersistMigration(self._writing[move.tenant]))
        return told

    # Commands

    def arrived(self, now: int, event: api.RequestReceived) -> Told:
        """The command with its cell, held behind a fence, or refused at once."""
        tenant = event.tenant
        command = TrackedRequest(tenant, event.profile, now, self.plan.version, event.work_hint, None)
        self._open[event.request_id] = command
        if tenant is not None:
            self._by_tenant.setdefault(tenant, set()).add(event.request_id)
        if tenant is not None and moving.holds_new_requests(self.moves.get(tenant)):
            return [replace(event, cell=FENCE)]
        if tenant is not None and now < self._shut.get(tenant, now):
            return [replace(event, cell=FENCE), api.RequestWithdrawn(event.request_id)]
        told, refused = self._place(command)
        number = command.place.number if command.place else FENCE
        told.append(replace(event, cell=number))
        if refused:
            told.append(api.RequestWithdrawn(event.request_id))
        return told

    def _place(self, command: TrackedRequest) -> tuple[Told, bool]:
        """Its cell, or the one that lends; whether it is to be refused, as nobody there may serve it."""
        cell = self.plan.cell(self.plan.home(command.tenant))
        if cell is None:
            return [], True
        serving = self._serving(cell, command)
        if (
            not serving
            and cell.empty is EmptyCellPolicy.BORROW
            and not cell.quarantine
            and cell.lender is not None
        ):
            lender = self.plan.cell(cell.lender)
            if lender and self._serving(lender, command) and not self._crosses(command, cell, lender):
                cell, serving = lender, True
        told = self._enter(command, cell)
        return told, not serving

    def _crosses(self, command: TrackedRequest, cell: Cell, lender: Cell) -> bool:
        """A repeat of what ran here would be new there: its engines do not drop it."""
        profile = self._profiles[command.profile]
        return bool(
            profiles_losing_deduplication(self.plan, cell, lender, self._listed.values(), {"": profile})
        )

    def _serving(self, cell: Cell, command: TrackedRequest) -> bool:
        profile = self._profiles[command.profile]
        return any(
            engine.status is EndpointStatus.READY and profile.admits(engine)
            for engine in self._members.engines.get(cell.name, ())
        )

    def _enter(self, command: TrackedRequest, cell: Cell) -> Told:
        key = (cell.name, command.tenant if cell.shard else None)
        place = self._places.get(key)
        told: Told = []
        if place is None:
            self._numbers += 1
            place = self._places[key] = CellAssignment(self._numbers, cell.name, key[1])
            place.engines = self._engines(place)
            told.append(api.CellEndpointsChanged(place.number, self._pools[cell.name], place.engines))
        place.users += 1
        command.place = place
        return told

    def _leave(self, command: TrackedRequest) -> Told:
        """A shard that nobody uses any more is forgotten: tenants come and go by the thousand."""
        place, command.place = command.place, None
        if place is None:
            return []
        place.users -= 1
        if place.users or place.tenant is None:
            return []
        del self._places[place.cell, place.tenant]
        return [api.CellEndpointsChanged(place.number, self._pools.get(place.cell, 0), frozenset())]

    def _engines(self, place: CellAssignment) -> frozenset[api.EndpointId]:
        cell = self.plan.cell(place.cell)
        if cell is None:
            return frozenset()
        return endpoints_for(self.plan, cell, place.tenant, self._members.engines.get(cell.name, ()))

    # All else

    def handle(self, now: int, event: api.Event | api.Action | CellEvent) -> Told:
        match event:
            case api.EndpointListReceived():
                return self._list(event)
            case api.StartAttempt(command, engine):
                self._sent(now, command, engine)
            case api.AttemptEnded():
                return self._ended(now, event)
            case api.RejectRequest(command) | api.FailRequest(command) | api.ClientDisconnected(command):
                return self._over(command)
            case api.BatchEnded():
                return self._tick(now)
            case MigrateTenant(tenant, target, why):
                return self._begin(now, tenant, target, why)
            case AbortMigration(tenant, why):
                return self._abort(now, tenant, why)
            case MigrationPersisted(move):
                return self._written(now, move)
            case MigrationNotPersisted(move, why):
                return self._not_written(now, move, why)
            case PlanReplaced(plan):
                return self._replan(now, plan)
            case MigrationLeaseChanged(token):
                return self._drives(now, token)
        return []

    def _sent(self, now: int, command: int, engine: api.EndpointId) -> None:
        if (found := self._open.get(command)) is not None:
            if self._poison is not None and found.tenant is not None:
                self._poison.sent(now, found.tenant, engine)
            if (
                found.tenant is not None
                and self._profiles[found.profile].idempotency is api.Idempotency.IDEMPOTENT_WITH_KEY
            ):
                self._marked[found.tenant] = now
            number = self._sends.get(command, 0)
            self._sends[command] = number + 1
            found.sent = True
            found.out.add(number)

    def _ended(self, now: int, event: api.AttemptEnded) -> Told:
        found = self._open.get(event.request_id)
        if found is None:
            return []
        if self._poison is not None and found.tenant is not None:
            self._poison.ended(now, found.tenant, event, found.hint)
        found.out.discard(event.attempt)
        return (
            self._over(event.request_id)
            if event.request_finished or event.outcome is api.Outcome.ANSWERED
            else self._forget(event.request_id)
        )

    def _over(self, command: int) -> Told:
        if (found := self._open.get(command)) is None:
            return []
        found.over = True
        return self._forget(command)

    def _forget(self, command: int) -> Told:
        """Only once every send has its outcome: a drain waits for them."""
        found = self._open[command]
        if not found.over or found.out:
            return []
        del self._open[command]
        self._sends.pop(command, None)
        if found.tenant is not None:
            mine = self._by_tenant[found.tenant]
            mine.discard(command)
            if not mine:
                del self._by_tenant[found.tenant]
        return self._leave(found)

    def _list(self, event: api.EndpointListReceived) -> Told:
        if event.kind is api.EndpointListKind.FAILED:
            return []
        if event.kind is not api.EndpointListKind.DELTA:
            self._listed.clear()
        for engine in event.endpoints:
            self._listed[engine.id] = engine
        self._listed = {
            name: engine
            for name, engine in self._listed.items()
            if engine.status is not EndpointStatus.REMOVED
        }
        return self._regroup()

    def _regroup(self) -> Told:
        self._members = assign_endpoints(self.plan, self._listed.values())
        told: Told = []
        for place in self._places.values():
            engines = self._engines(place)
            if engines != place.engines:
                place.engines = engines
                told.append(api.CellEndpointsChanged(place.number, self._pools.get(place.cell, 0), engines))
        return told

    # Moves

    def _busy(self, tenant: str) -> int:
        """The tenant's commands that were sent and are not over with all their sends."""
        return sum(self._open[command].sent for command in self._by_tenant.get(tenant, ()))

    def _target_fails(self, move: Migration) -> str | None:
        """What the target can't serve that the source could."""
        source, target = self.plan.cell(move.source), self.plan.cell(move.target)
        if target is None:
            return "the plan has no such cell any more"
        for at, profile in enumerate(self._profiles):
            command = TrackedRequest(move.tenant, at, 0, 0, None, None)
            if source is not None and self._serving(source, command) and not self._serving(target, command):
                kinds = "its kind" if profile.kinds is not None else "any"
                return f"no ready engine of {kinds} for profile {at}"
        return None

    def _judge(self, now: int, judge: PoisonRequestDetector) -> Told:
        """The poisonous go to quarantine, by a move as any other: its fence stops them at once. They come
        back once their time is over and their blame has faded."""
        told: Told = []
        for each in judge.poisonous(now):
            tenant = each.tenant
            if tenant in self._ward or now < self._shut.get(tenant, now) or self._moving(tenant):
                continue
            ward = judge.terms.cell
            begun = (
                self._begin(now, tenant, ward, str(each)) if ward else [MigrationRejected(tenant, str(each))]
            )
            if isinstance(
                begun[0], MigrationRejected
            ):  # there is no ward, or it can't serve what the tenant needs
                self._shut[tenant] = now + judge.terms.stay
                begun = [MigrationRejected(tenant, f"'{tenant}' is refused for a time: {begun[0].why}")]
            else:
                self._ward[tenant] = now
            told += begun
        for tenant, since in list(self._ward.items()):
            if self._moving(tenant):
                continue
            if self.plan.home(tenant) != judge.terms.cell:  # it is back, or was moved by hand
                del self._ward[tenant]
            elif now - since >= judge.terms.stay and judge.is_clean(now, tenant):
                told += self._begin(now, tenant, self.plan.written(tenant), "its blame has faded")
        self._shut = {tenant: until for tenant, until in self._shut.items() if until > now}
        return told

    def _moving(self, tenant: str) -> bool:
        return (move := self.moves.get(tenant)) is not None and move.step not in moving.FINAL_STEPS

    def _tick(self, now: int) -> Told:
        told: Told = []
        if self._poison is not None and now - self._judged_at >= JUDGE_EVERY:
            self._judged_at = now
            told += self._judge(now, self._poison)
        if self._marked:
            rest = self._terms.rest
            self._marked = {tenant: at for tenant, at in self._marked.items() if now - at < rest}
        for tenant, move in list(self.moves.items()):
            if move.step in moving.FINAL_STEPS or tenant in self._writing:
                continue
            following = moving.advance(now, move, self._terms, self._busy(tenant), self._target_fails(move))
            if following is not None:
                told += self._step(following)
        for command, found in self._open.items():
            if (
                found.place is None
                and not found.over
                and moving.hold_has_expired(now, found.taken, self._terms)
            ):
                told.append(api.RequestWithdrawn(command))
        return told

    def _step(self, move: Migration) -> Told:
        """Within a step nothing is to be written; the next one waits for the disk."""
        if move.step is self.moves[move.tenant].step:
            self.moves[move.tenant] = move
            return []
        self._writing[move.tenant] = move
        return [PersistMigration(move)]

    def _begin(self, now: int, tenant: str, target: str, why: str) -> Told:
        try:
            move = self._begun(now, tenant, target, why)
        except MigrationError as error:
            return [MigrationRejected(tenant, str(error))]
        self.moves[tenant] = self._writing[tenant] = move
        return [PersistMigration(move)]

    def _drives(self, now: int, token: int) -> Told:
        """An older token than one seen is a late word. Whoever may drive no more undoes what can come back:
        the next one would not know of it."""
        if token and token < self._token:
            return []
        self._token, self._driving = max(token, self._token), token > 0
        told: Told = []
        for tenant, move in [] if self._driving else list(self.moves.items()):
            if move.step not in moving.IRREVERSIBLE_STEPS and move.step not in moving.FINAL_STEPS:
                told += self._abort(now, tenant, "another gateway may drive moves now")
        return told

    def _begun(self, now: int, tenant: str, target: str, why: str) -> Migration:
        if not self._driving:
            raise MigrationError("another gateway drives moves, or none can be told: 'ctl leases' says who")
        move = moving.begin(now, tenant, self.plan.home(tenant), target, self.moves, why)
        if (fails := self._target_fails(move)) is not None:
            raise MigrationError(f"'{target}' can't take '{tenant}': {fails}")
        return move

    def _abort(self, now: int, tenant: str, why: str) -> Told:
        move = self.moves.get(tenant)
        if move is None or move.step in moving.FINAL_STEPS:
            return [MigrationRejected(tenant, f"'{tenant}' is not being moved")]
        if (writing := self._writing.get(tenant)) is not None and writing.step in moving.IRREVERSIBLE_STEPS:
            return [
                MigrationRejected(
                    tenant, f"the move of '{tenant}' has just been switched: move it back instead"
                )
            ]
        try:
            return self._step(moving.abort(now, move, why))
        except MigrationError as error:
            return [MigrationRejected(tenant, str(error))]

    def _written(self, now: int, move: Migration) -> Told:
        if self._writing.get(move.tenant) != move:
            return []  # overtaken by an abort
        del self._writing[move.tenant]
        self.moves[move.tenant] = move
        match move.step:
            case MigrationStep.FENCED:
                return self._fence(move.tenant)
            case MigrationStep.SWITCHED:
                written = self.plan.written(move.tenant) == move.target
                self.plan = self.plan.with_moved(move.tenant, None if written else move.target)
            case MigrationStep.DONE | MigrationStep.UNDONE:
                return self._let_go(now, move.tenant)
        return []

    def _not_written(self, now: int, move: Migration, why: str) -> Told:
        """A disk that can't be written stops moves, not service: what is not switched goes back at once."""
        if self._writing.get(move.tenant) != move:
            return []
        del self._writing[move.tenant]
        current = self.moves[move.tenant]
        if current.step is MigrationStep.SWITCHED:  # its end only: the log reads as ended in any case
            self.moves[move.tenant] = replace(move, step=MigrationStep.DONE)
            return self._let_go(now, move.tenant)
        self.moves[move.tenant] = replace(current, step=MigrationStep.UNDONE, since=now, why=why)
        return self._let_go(now, move.tenant)

    def _fence(self, tenant: str) -> Told:
        """What was never sent waits with the new ones; what was sent comes to its end where it is."""
        told: Told = []
        for command in sorted(self._by_tenant.get(tenant, ())):
            found = self._open[command]
            if not found.sent and not found.over:
                told += [api.RequestMigrated(command, FENCE), *self._leave(found)]
        return told

    def _let_go(self, now: int, tenant: str) -> Told:
        told: Told = []
        for command in sorted(self._by_tenant.get(tenant, ())):
            found = self._open[command]
            if found.place is None and not found.over:
                placing, refused = self._place(found)
                number = found.place.number if found.place else FENCE
                told += [*placing, api.RequestMigrated(command, number)]
                if refused or moving.hold_has_expired(now, found.taken, self._terms):
                    told.append(api.RequestWithdrawn(command))
        return told

    def _replan(self, now: int, plan: CellPlan) -> Told:
        """Open commands stay where they were taken to, while that cell is there; moves to or from a cell
        that is no more are undone. A tenant that may have marks remembered in its old cell is not switched at
        once: it stays there and is moved, as by hand."""
        names = {cell.name for cell in plan.cells}
        kept = plan.moved
        homes = {tenant: self.plan.home(tenant) for tenant in self._marked}
        for tenant, where in self.plan.moved.items():
            if where in names:
                kept = kept.set(tenant, where)
        moving_on: list[tuple[str, str]] = []
        for tenant, old in homes.items():
            new = replace(plan, moved=kept).home(tenant)
            if new != old and old in names:
                kept = kept.set(tenant, old)
                moving_on.append((tenant, new))
        self.plan = replace(plan, version=self.plan.version + 1, moved=kept)
        for cell in plan.cells:
            self._pools.setdefault(cell.name, len(self._pools))
        told = self._regroup()
        for tenant, move in list(self.moves.items()):
            if move.step not in moving.IRREVERSIBLE_STEPS and not {move.source, move.target} <= names:
                told += self._abort(now, tenant, "the plan was read anew without its cell")
        for tenant, new in moving_on:
            if not self._moving(tenant):
                told += self._begin(now, tenant, new, "the plan was read anew")
        return told


Module = Callable[[int, api.Event], list[api.Action]]


class CellAdmission:
    """A decision module with a keeper of cells in front. `write` writes a step down and tells how that
    went, now or later, by `handle`; `refused` hears of wishes that are not carried out."""

    def __init__(
        self,
        module: Module,
        keeper: CellController,
        write: Callable[[Migration], None],
        refused: Callable[[str], None],
    ) -> None:
        self._module, self.keeper, self._write, self._refused = module, keeper, write, refused

    def handle(self, now: int, event: api.Event | CellEvent) -> list[api.Action]:
        if isinstance(event, api.RequestReceived):
            return self._carry_out(now, self.keeper.arrived(now, event))
        if isinstance(event, api.GatewayStarted):
            return [*self._module(now, event), *self._carry_out(now, self.keeper.begun_anew())]
        if isinstance(event, CellEvent):
            return self._carry_out(now, self.keeper.handle(now, event))
        told = self.keeper.handle(now, event)  # an outcome counts before the module goes on with its command
        actions = list(self._module(now, event))
        for action in actions:
            told += self.keeper.handle(now, action)
        return actions + self._carry_out(now, told)

    def _carry_out(self, now: int, told: Told) -> list[api.Action]:
        done: list[api.Action] = []
        for each in told:
            if isinstance(each, PersistMigration):
                self._write(each.move)
            elif isinstance(each, MigrationRejected):
                self._refused(each.why)
            else:
                actions = list(self._module(now, each))
                done += actions
                for action in actions:
                    done += self._carry_out(now, self.keeper.handle(now, action))
        return done


def recover_migrations(records: Iterable[Migration], now: int) -> Mapping[str, Migration]:
    """The last step of each tenant's move as written down, each ended or undone."""
    found: dict[str, Migration] = {}
    for move in records:
        found[move.tenant] = move
    return {tenant: moving.recovered(now, move) for tenant, move in found.items()}
