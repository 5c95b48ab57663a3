"""The `cells` block of an operator file.

The block names zones and endpoint kinds. It becomes a `CellPlan` once the gateway's configuration maps these
names to indexes.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from hashlib import blake2b

from lotusstream.cells.errors import PatternError
from lotusstream.cells.plan import (
    BY_WEIGHT,
    Cell,
    CellPlan,
    EmptyCellPolicy,
    EndpointSelector,
    HashRange,
    TenantSource,
    TenantSourceKind,
)
from lotusstream.cells.plan_check import find_plan_problems
from lotusstream.cells.poison_requests import PoisonSettings
from lotusstream.cells.trie import NameTrie
from lotusstream.interface import EndpointEntry, Profile
from lotusstream.operator.grammar import ValueToken
from lotusstream.operator.problems import Problem, suggest
from lotusstream.operator.tree import Argument, Directive, DirectiveError, Node, name, number, path, time
from lotusstream.operator.units import SECOND_US, UnknownUnitError, parse_share

DEFAULT_HOLD_US = 2 * SECOND_US
DEFAULT_DRAIN_US = 30 * SECOND_US
BY_WEIGHT_KEYWORD = "drawn"  # stands in place of a cell name if each tenant's cell is chosen by weight


@dataclass(frozen=True, slots=True)
class DeploymentContext:
    """The part of the gateway's configuration that the operator file is checked against."""

    profiles: Mapping[str, Profile]  # by name
    zones: tuple[str, ...] = ()  # zone names, in the order of their indexes
    kinds: tuple[str, ...] = ()  # names of endpoint kinds, in the order of their indexes
    endpoints: tuple[EndpointEntry, ...] = ()  # endpoint list of the configuration; empty: unknown
    gateway: str = ""  # name of the gateway; empty: unknown


@dataclass(frozen=True, slots=True)
class EndpointSelectorText:
    """One `engines` directive. It selects the endpoints that meet the condition of each non-empty field."""

    zones: tuple[str, ...] = ()  # zone names
    kinds: tuple[str, ...] = ()  # names of endpoint kinds
    list_cells: tuple[int, ...] = ()  # deduplication cells, see EndpointSelector.listed_cells
    ids: tuple[str, ...] = ()  # endpoint ids
    # Bounds of the hash of the endpoint id, 0 to 1; None: any hash.
    hash_range: tuple[float, float] | None = None


@dataclass(frozen=True, slots=True)
class CellsSettings:
    """A checked `cells` block. Zones and kinds are still names."""

    log: str | None  # path of the migration log; None: no migrations
    sources: tuple[TenantSource, ...]  # the first source that yields a tenant is used
    hold_us: int  # longest time that a migration holds new requests of its tenant, microseconds
    drain_us: int  # longest time that a migration waits for the outcomes of attempts, microseconds
    seed: int  # seed of the hashes that choose cells and shards, the same on all gateways
    untenanted_cell: str  # cell name for requests without a tenant
    default_cell: str  # cell name, or BY_WEIGHT, for tenants that match no entry
    # Each cell with its `engines` directives. Its `selectors` are empty until `plan` builds them.
    cells: tuple[tuple[Cell, tuple[EndpointSelectorText, ...]], ...]
    tenants: NameTrie[str]  # cell name by tenant name, prefix or pattern
    poison: PoisonSettings | None  # when a tenant is quarantined; None: never
    plan_number: int = 0  # a fleet rejects a plan whose number is lower than that of the plan in force
    plan_digest: str = ""  # digest of the block, except for its `log` directive, which may differ by gateway

    def plan(self, zones: Sequence[str], kinds: Sequence[str]) -> CellPlan:
        """Returns the plan, which has indexes in place of the names of zones and kinds.

        :param zones: zone names, in the order of their indexes
        :param kinds: names of endpoint kinds, in the order of their indexes
        :raises DirectiveError: a zone or kind is unknown
        """
        cells = []
        for cell, texts in self.cells:
            selectors = tuple(_build_endpoint_selector(text, zones, kinds) for text in texts)
            cells.append(
                Cell(
                    cell.name,
                    selectors,
                    cell.shard_size,
                    cell.weight,
                    cell.empty_policy,
                    cell.lender,
                    cell.quarantine,
                )
            )
        return CellPlan(
            1, self.sources, tuple(cells), self.tenants, self.untenanted_cell, self.default_cell, self.seed
        )


def _build_endpoint_selector(
    text: EndpointSelectorText, zones: Sequence[str], kinds: Sequence[str]
) -> EndpointSelector:
    def indexes_of(names: tuple[str, ...], known: Sequence[str], noun: str) -> frozenset[int] | None:
        for each in names:
            if each not in known:
                raise DirectiveError(f"no {noun} is called '{each}'", suggest(each, known))
        return frozenset(known.index(each) for each in names) if names else None

    return EndpointSelector(
        indexes_of(text.zones, zones, "zone"),
        indexes_of(text.kinds, kinds, "kind"),
        frozenset(text.list_cells) if text.list_cells else None,
        frozenset(each.encode() for each in text.ids) if text.ids else None,
        HashRange(*text.hash_range) if text.hash_range is not None else None,
    )


# Values of directives


def read_endpoint_selector(tokens: Sequence[ValueToken]) -> EndpointSelectorText:
    """Converts `all`, or conditions: zone NAME, kind NAME, list-cell NUMBER, id NAME, part SHARE SHARE.

    `list-cell` selects a deduplication cell: a group of endpoints that recognize each other's idempotency
    keys, numbered in the endpoint list. It is not a cell of the plan. `part` selects a range of the hash of
    the id.

    :raises DirectiveError: a condition is invalid
    """
    found: dict[str, list[str]] = {"zone": [], "kind": [], "list-cell": [], "id": []}
    hash_range: tuple[float, float] | None = None
    remaining = list(tokens)
    if not remaining:
        raise DirectiveError("got the end of the line", "expected all, zone, kind, list-cell, id or part")
    if remaining[0].text == "all" and len(remaining) == 1:
        return EndpointSelectorText()
    while remaining:
        token = remaining.pop(0)
        if token.text == "part":
            hash_range = _read_hash_range(token, [remaining.pop(0) for _ in range(min(2, len(remaining)))])
        elif token.text not in found:
            raise DirectiveError(
                f"got '{token.text}'", suggest(token.text, [*found, "part", "all"]), token.column
            )
        elif not remaining:
            raise DirectiveError("got the end of the line", f"expected a value of {token.text}")
        else:
            found[token.text].append(remaining.pop(0).unquoted())
    not_numbers = [each for each in found["list-cell"] if not each.isdigit()]
    if not_numbers:
        raise DirectiveError(
            f"got '{not_numbers[0]}'", "expected the number of a deduplication cell in the endpoint list"
        )
    list_cells = tuple(int(each) for each in found["list-cell"])
    return EndpointSelectorText(
        tuple(found["zone"]), tuple(found["kind"]), list_cells, tuple(found["id"]), hash_range
    )


def _read_hash_range(token: ValueToken, bounds: list[ValueToken]) -> tuple[float, float]:
    hint = "expected two shares in ascending order, such as part 0% 50%"
    try:
        low, high = (parse_share(bound.text) for bound in bounds)
    except (UnknownUnitError, ValueError) as error:
        raise DirectiveError("'part' is not followed by two shares", hint, token.column) from error
    if not 0 <= low < high <= 1:
        raise DirectiveError(f"got a part from {low:.0%} to {high:.0%}", hint, token.column)
    return low, high


def read_names(tokens: Sequence[ValueToken]) -> tuple[ValueToken, ...]:
    """Accepts one or more names, prefixes or patterns. Raises DirectiveError."""
    if not tokens:
        raise DirectiveError("got the end of the line", "expected names, prefixes such as uni-*, or patterns")
    return tuple(tokens)


def read_source(tokens: Sequence[ValueToken]) -> TenantSource:
    """Converts `field NAME`, `key` or `schema`. Raises DirectiveError."""
    texts = [token.unquoted() for token in tokens]
    if len(texts) == 2 and texts[0] == "field":
        return TenantSource(TenantSourceKind.FIELD, texts[1])
    if len(texts) == 1 and texts[0] in ("key", "schema"):
        return TenantSource(TenantSourceKind(texts[0]))
    message = f"got '{tokens[0].text}'" if tokens else "got the end of the line"
    raise DirectiveError(message, "expected field NAME, key or schema", tokens[0].column if tokens else None)


def read_empty(tokens: Sequence[ValueToken]) -> tuple[EmptyCellPolicy, str | None]:
    """Converts `refuse` or `borrow CELL` to a policy and the name of the lender, the cell whose endpoints
    serve requests that no endpoint of the borrowing cell may serve. Raises DirectiveError."""
    texts = [token.unquoted() for token in tokens]
    if texts == ["refuse"]:
        return EmptyCellPolicy.REJECT, None
    if len(texts) == 2 and texts[0] == "borrow":
        return EmptyCellPolicy.BORROW, texts[1]
    message = f"got '{tokens[0].text}'" if tokens else "got the end of the line"
    raise DirectiveError(message, "expected refuse, or borrow CELL", tokens[0].column if tokens else None)


def _by_keyword(*directives: Directive) -> dict[str, Directive]:
    return {directive.keyword: directive for directive in directives}


CELL_DIRECTIVES = _by_keyword(
    Directive("engines", "the endpoints of the cell, such as zone east kind c12", rest=read_endpoint_selector,
              many=True, required=True),
    Directive("tenants", "the tenants of the cell: names, prefixes such as uni-*, or patterns",
              rest=read_names, many=True),
    Directive("shard", "the number of endpoints of each kind that a tenant may use",
              (Argument("a number", number(1, 1000)),)),
    Directive("weight", "the cell's relative share of the tenants that are assigned by weight",
              (Argument("a number", number(0, 1000)),)),
    Directive("empty", "the treatment of requests that no endpoint may serve: refuse, or borrow CELL",
              rest=read_empty),
    Directive("quarantine",
              "the cell takes only tenants with poison requests, has no weight and borrows from no cell"),
)  # fmt: skip

CELLS_DIRECTIVES = _by_keyword(
    Directive("log", "the path of the migration log", (Argument("a path", path),)),
    Directive("tenant",
              "where a request's tenant is read: field NAME, key or schema; the first with a tenant",
              rest=read_source, many=True, required=True),
    Directive("nameless", "the cell of requests without a tenant", (Argument("a cell", name),),
              required=True),
    Directive("others", "the cell of tenants that match no entry; drawn: by weight",
              (Argument("a cell", name),)),
    Directive("seed", "the seed of the hashes that choose cells and shards, the same on all gateways",
              (Argument("a number", number(0, 2**31)),)),
    Directive("hold", "the longest time that a migration holds new requests of its tenant",
              (Argument("a time", time),)),
    Directive("drain", "the longest time that a migration waits for outcomes of attempts",
              (Argument("a time", time),)),
    Directive("poison",
              "the fault score that quarantines a tenant, its half-life, and the least quarantine time",
              (Argument("a number", number(1, 10**6)), Argument("a time", time, after="half-life"),
               Argument("another time", time, after="stay"))),
    Directive("plan", "the number of this plan: a fleet rejects a plan with a lower one",
              (Argument("a number", number(0, 2**31)),)),
    Directive("cell", "one cell of endpoints", (Argument("a name", name),), block=CELL_DIRECTIVES, many=True,
              required=True),
)  # fmt: skip


def read_cells_settings(file: str, block: Node) -> tuple[CellsSettings, list[Problem]]:
    """Returns the settings of a `cells` block, and the problems that can be found without a configuration.

    :param file: path of the operator file
    :param block: the `cells` directive
    """
    return _CellsReader(file, block).read()


class _CellsReader:
    """Reads one `cells` block."""

    def __init__(self, file: str, block: Node) -> None:
        self._file = file
        self._block = block
        self._names = [node.values["a name"] for node in block.all("cell")]
        self._tenants: NameTrie[str] = NameTrie()
        self._problems: list[Problem] = []

    def read(self) -> tuple[CellsSettings, list[Problem]]:
        block = self._block
        cells = tuple(self._read_cell(node) for node in block.all("cell"))
        untenanted_cell = block.value("nameless", "a cell")
        default_cell = block.value("others", "a cell", BY_WEIGHT_KEYWORD)
        self._check_cell_name("nameless", untenanted_cell, self._names)
        self._check_cell_name("others", default_cell, [*self._names, BY_WEIGHT_KEYWORD])
        settings = CellsSettings(
            log=block.value("log", "a path"),
            sources=tuple(node.values["rest"] for node in block.all("tenant")),
            hold_us=block.value("hold", "a time", DEFAULT_HOLD_US),
            drain_us=block.value("drain", "a time", DEFAULT_DRAIN_US),
            seed=block.value("seed", "a number", 0),
            untenanted_cell=untenanted_cell,
            default_cell=BY_WEIGHT if default_cell == BY_WEIGHT_KEYWORD else default_cell,
            cells=cells,
            tenants=self._tenants,
            poison=_read_poison_settings(block, cells),
            plan_number=block.value("plan", "a number", 0),
            plan_digest=blake2b(_canonical_text(block).encode(), digest_size=8).hexdigest(),
        )
        return settings, self._problems

    def _add_problem(self, node: Node, message: str, hint: str, column: int | None = None) -> None:
        self._problems.append(Problem(self._file, node.line, column or node.column, message, hint))

    def _read_cell(self, node: Node) -> tuple[Cell, tuple[EndpointSelectorText, ...]]:
        cell_name = node.values["a name"]
        empty_policy, lender = node.value("empty", "rest", (EmptyCellPolicy.REJECT, None))
        quarantine = node.one("quarantine") is not None
        self._check_lender(node, cell_name, lender)
        if quarantine and (lender is not None or node.one("weight") is not None):
            message = f"quarantine cell '{cell_name}' borrows endpoints or has a weight"
            self._add_problem(node, message, "remove 'empty borrow' and 'weight'")
        self._add_tenants(node, cell_name)
        weight = 0.0 if quarantine else float(node.value("weight", "a number", 1))
        shard_size = node.value("shard", "a number", 0)
        cell = Cell(cell_name, (), shard_size, weight, empty_policy, lender, quarantine)
        return cell, tuple(each.values["rest"] for each in node.all("engines"))

    def _check_lender(self, node: Node, cell_name: str, lender: str | None) -> None:
        if lender is None or (lender in self._names and lender != cell_name):
            return
        other_cells = [each for each in self._names if each != cell_name] or ["none"]
        place = node.one("empty") or node
        self._add_problem(place, f"no other cell is called '{lender}'", suggest(lender, other_cells))

    def _add_tenants(self, node: Node, cell_name: str) -> None:
        for directive in node.all("tenants"):
            for token in directive.values["rest"]:
                try:
                    self._tenants.add(token.unquoted(), cell_name)
                except PatternError as error:
                    hint = "list each tenant or pattern once, in one cell"
                    self._add_problem(directive, str(error), hint, token.column)

    def _check_cell_name(self, keyword: str, cell_name: str | None, known: list[str]) -> None:
        directive = self._block.one(keyword)
        if cell_name is not None and cell_name not in known and directive is not None:
            self._add_problem(directive, f"no cell is called '{cell_name}'", suggest(cell_name, known))


def _canonical_text(node: Node) -> str:
    """Returns the text whose digest identifies a plan. The text does not depend on the layout of the file.
    `log` is left out, since it may differ between gateways."""
    values = sorted((name, _first_release_repr(value)) for name, value in node.values.items())
    inside = (_canonical_text(each) for each in node.inside if each.directive.keyword != "log")
    return f"{node.directive.keyword} {values} [{'; '.join(inside)}]"


def _first_release_repr(value: object) -> str:
    """Returns `repr(value)` as the first release wrote it.

    The digest of a plan is compared between gateways and stored in the quorum log. If it followed the names
    of classes, a gateway of another release would refuse the same plan as a different one; so the class and
    field names of the first release are spelled out here and stay when the classes are renamed.
    """
    match value:
        case EmptyCellPolicy():
            return f"<Empty.{value.value.upper()}: {value.value!r}>"
        case TenantSource():
            source = f"<Source.{value.kind.value.upper()}: {value.kind.value!r}>"
            return f"TenantSource(source={source}, name={value.name!r})"
        case EndpointSelectorText():
            return (
                f"EnginesText(zones={value.zones!r}, kinds={value.kinds!r}, "
                f"list_cells={value.list_cells!r}, ids={value.ids!r}, part={value.hash_range!r})"
            )
        case ValueToken():
            return f"Word(text={value.text!r}, kind={value.kind!r}, column={value.column!r})"
        case tuple():
            items = [_first_release_repr(each) for each in value]
            return f"({items[0]},)" if len(items) == 1 else f"({', '.join(items)})"
    return repr(value)


def _read_poison_settings(block: Node, cells: Sequence[tuple[Cell, object]]) -> PoisonSettings | None:
    node = block.one("poison")
    if node is None:
        return None
    quarantine = next((cell.name for cell, _ in cells if cell.quarantine), None)
    values = node.values
    return PoisonSettings(float(values["a number"]), values["a time"], values["another time"], quarantine)


def find_cells_context_problems(
    file: str, block: Node, settings: CellsSettings, context: DeploymentContext
) -> Iterator[Problem]:
    """Yields the problems that a `cells` block has with the configuration of a gateway."""
    cell_nodes = {node.values["a name"]: node for node in block.all("cell")}
    for cell, texts in settings.cells:
        for node, selector_text in zip(cell_nodes[cell.name].all("engines"), texts, strict=True):
            try:
                _build_endpoint_selector(selector_text, context.zones, context.kinds)
            except DirectiveError as error:
                yield Problem(file, node.line, node.column, error.message, error.hint)
    try:
        plan = settings.plan(context.zones, context.kinds)
    except DirectiveError:
        return
    for each in find_plan_problems(plan, context.endpoints, context.profiles) if context.endpoints else ():
        if each.fatal:
            node = cell_nodes.get(each.cell, block)
            message = f"cell {each.cell}: {each.message}" if each.cell else each.message
            yield Problem(file, node.line, node.column, message, each.hint)
