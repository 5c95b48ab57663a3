"""The settings that an operator file contains. A file with a problem yields no settings at all."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from lotusstream.interface import RetriesAllowed
from lotusstream.levels.condition import Comparison
from lotusstream.levels.ladder import (
    FULL_SERVICE,
    InitialLevel,
    Ladder,
    Level,
)
from lotusstream.levels.ladder_check import LadderProblem, find_ladder_problems, find_profile_problems
from lotusstream.levels.signals import SignalKey
from lotusstream.operator.cells import (
    CellsSettings,
    DeploymentContext,
    find_cells_context_problems,
    read_cells_settings,
)
from lotusstream.operator.fleet import (
    MIGRATION_TASK,
    FleetSettings,
    find_gateway_problems,
    read_fleet_settings,
)
from lotusstream.operator.problems import OperatorFileError, Problem
from lotusstream.operator.tree import Node, TreeReader
from lotusstream.operator.units import SECOND_US, write_time
from lotusstream.operator.vocabulary import TOP_LEVEL_DIRECTIVES

# Defaults of the directives `quiet`, `window`, `ramp` and `lost`, in this order. That of `lost` is a ratio of
# the available cores.
DEFAULT_MIN_INTERVAL_US, DEFAULT_WINDOW_US, DEFAULT_RAMP_TIME_US, DEFAULT_LOST_CORES_RATIO = (
    30 * SECOND_US,
    10 * SECOND_US,
    20 * SECOND_US,
    0.1,
)
# Default of `ramp ... while`: the admitted ratios grow while endpoints have spare capacity.
DEFAULT_RAMP_CONDITION = Comparison(SignalKey("used"), above=False, limit=0.85)
MAX_FILE_BYTES = 1 << 20


@dataclass(frozen=True, slots=True)
class ControlSocket:
    """The control socket, and the limits on its clients."""

    path: str
    max_request_bytes: int = 64 << 10
    timeout_us: int = 5 * SECOND_US  # for one request or one reply, microseconds
    max_clients: int = 8  # clients connected at the same time


@dataclass(frozen=True, slots=True)
class LogSettings:
    """The format of log lines, and which lines are written."""

    form: str  # console or json
    threshold: str = "info"  # lowest severity that is written: debug, info, warning or error


@dataclass(frozen=True, slots=True)
class OperatorFile:
    """A checked operator file. A field is None if the file lacks the directive."""

    path: str
    control: ControlSocket | None
    log: LogSettings | None
    ladder: Ladder | None
    cells: CellsSettings | None
    root: Node  # all directives with their places, for checks against the configuration
    fleet: FleetSettings | None = None

    def find_context_problems(self, context: DeploymentContext) -> list[Problem]:
        """Returns the problems that the file has with the gateway's configuration."""
        found = []
        if self.ladder is not None:
            found += [
                _to_problem(self.path, self.root, each)
                for each in find_profile_problems(self.ladder, context.profiles)
            ]
        if self.cells is not None and (block := self.root.one("cells")) is not None:
            found += find_cells_context_problems(self.path, block, self.cells, context)
        if self.fleet is not None and (block := self.root.one("fleet")) is not None and context.gateway:
            found += find_gateway_problems(self.path, block, self.fleet, context.gateway)
        return found


def load_operator_file(path: str, context: DeploymentContext | None = None) -> OperatorFile:
    """Reads an operator file from disk.

    :param path: path of the file
    :param context: the part of the gateway's configuration to check the file against; None: names of
        profiles, zones and kinds are not checked
    :raises OperatorFileError: the file has problems
    """
    try:
        with Path(path).open("rb") as file:
            raw = file.read(MAX_FILE_BYTES + 1)
        if len(raw) > MAX_FILE_BYTES:
            raise OperatorFileError([Problem(path, 1, 1, "the file is over 1 MB", "expected a smaller file")])
        text = raw.decode("utf-8")
    except OSError as error:
        hint = "expected a file that can be read"
        raise OperatorFileError([Problem(path, 1, 1, error.strerror or str(error), hint)]) from error
    except UnicodeDecodeError as error:
        line = raw[: error.start].count(b"\n") + 1
        column = error.start - (raw[: error.start].rfind(b"\n") + 1) + 1
        problem = Problem(path, line, column, "a byte that is not UTF-8", "save the file as UTF-8")
        raise OperatorFileError([problem]) from error
    return read_operator_file(text, path, context)


def read_operator_file(text: str, path: str, context: DeploymentContext | None = None) -> OperatorFile:
    """Reads the text of an operator file.

    :param text: text of the file
    :param path: path of the file, for problems
    :param context: the part of the gateway's configuration to check the file against; None: names of
        profiles, zones and kinds are not checked
    :raises OperatorFileError: the file has problems
    """
    reader = TreeReader(path, TOP_LEVEL_DIRECTIVES)
    root = reader.read(text)
    blocks = _BlockReader(path, text, root, reader.problems)
    ladder = blocks.read_ladder()
    cells = blocks.read_cells()
    fleet = blocks.read_fleet(cells)
    blocks.check_control_directives()
    if blocks.problems:
        raise OperatorFileError(blocks.problems)
    file = OperatorFile(path, _control_socket(root), _log_settings(root), ladder, cells, root, fleet)
    if context is not None and (context_problems := file.find_context_problems(context)):
        raise OperatorFileError(context_problems)
    return file


class _BlockReader:
    """Converts the blocks of a file to settings. `problems` collects the problems of the file.

    A block is not converted if an earlier problem is on its first line or on any line after it, since the
    last line of a block is unknown.
    """

    def __init__(self, path: str, text: str, root: Node, problems: list[Problem]) -> None:
        self._path = path
        self._text = text
        self._root = root
        self.problems = list(problems)

    def read_ladder(self) -> Ladder | None:
        block = self._valid_block("ladder")
        if block is None:
            return None
        self.problems += _find_unusable_values(self._path, block)
        ladder = _build_ladder(block)
        self.problems += [_to_problem(self._path, self._root, each) for each in find_ladder_problems(ladder)]
        return ladder

    def read_cells(self) -> CellsSettings | None:
        block = self._valid_block("cells")
        if block is None:
            return None
        cells, problems = read_cells_settings(self._path, block)
        self.problems += problems
        return cells

    def read_fleet(self, cells: CellsSettings | None) -> FleetSettings | None:
        block = self._valid_block("fleet")
        if block is None:
            return None
        fleet, problems = read_fleet_settings(self._path, block)
        self.problems += problems
        if MIGRATION_TASK in fleet.tasks and cells is None and (node := block.one("tasks")) is not None:
            message = f"task '{MIGRATION_TASK}' requires cells"
            self._add_problem(node, message, "add a 'cells' block, or remove the task")
        return fleet

    def check_control_directives(self) -> None:
        if self._root.one("control") is not None:
            return
        for keyword in ("control-request", "control-patience", "control-clients"):
            if (node := self._root.one(keyword)) is not None:
                self._add_problem(node, f"'{keyword}' requires 'control'", "add the socket: control PATH")

    def _valid_block(self, keyword: str) -> Node | None:
        """Returns the block, or None if there is none or it may contain a problem."""
        block = self._root.one(keyword)
        if block is None or any(_may_be_within(block, problem, self._text) for problem in self.problems):
            return None
        return block

    def _add_problem(self, node: Node, message: str, hint: str) -> None:
        self.problems.append(Problem(self._path, node.line, node.column, message, hint))


def _control_socket(root: Node) -> ControlSocket | None:
    node = root.one("control")
    if node is None:
        return None
    default = ControlSocket(node.values["a path"])
    return ControlSocket(
        default.path,
        root.value("control-request", "a size", default.max_request_bytes),
        root.value("control-patience", "a time", default.timeout_us),
        root.value("control-clients", "a number", default.max_clients),
    )


def _log_settings(root: Node) -> LogSettings | None:
    node = root.one("log")
    if node is None:
        return None
    return LogSettings(
        node.values["console or json"], node.values.get("debug, info, warning or error", "info")
    )


def _may_be_within(block: Node, problem: Problem, text: str) -> bool:
    """Returns whether the problem may be in the block. The last line of a block is unknown, so all lines
    from its first line to the end of the file count as lines of the block."""
    last_line = text.count("\n") + 1
    return block.line <= problem.line <= last_line


def _find_unusable_values(path: str, block: Node) -> list[Problem]:
    """Returns the problems of a `ladder` block whose values have valid syntax but can't be used."""
    found = []
    window = block.value("window", "a time", DEFAULT_WINDOW_US)
    if (node := block.one("window")) is not None and not SECOND_US <= window <= 600 * SECOND_US:
        found.append(
            Problem(path, node.line, node.column, "the window is out of range", "expected 1s to 10m")
        )
    if (node := block.one("quiet")) is not None and node.values["a time"] < window:
        message = f"the quiet time is shorter than the window of {write_time(window)}"
        hint = f"expected {write_time(window)} or more: signals need a whole window to reflect a level change"
        found.append(Problem(path, node.line, node.column, message, hint))
    for level in block.all("level"):
        if level.values["a name"] == FULL_SERVICE:
            message = f"the name '{FULL_SERVICE}' is reserved for full service"
            found.append(Problem(path, level.line, level.column, message, "choose another name"))
    return found


def _build_ladder(block: Node) -> Ladder:
    ramp, start = block.one("ramp"), block.one("start")
    return Ladder(
        levels=tuple(_build_level(node) for node in block.all("level")),
        min_interval=block.value("quiet", "a time", DEFAULT_MIN_INTERVAL_US),
        window=block.value("window", "a time", DEFAULT_WINDOW_US),
        ramp_time=ramp.values["a time"] if ramp else DEFAULT_RAMP_TIME_US,
        ramp_condition=ramp.condition.expression if ramp and ramp.condition else DEFAULT_RAMP_CONDITION,
        lost_cores_ratio=block.value("lost", "a share", DEFAULT_LOST_CORES_RATIO),
        initial=InitialLevel(start.values["a level"], start.values["a time"]) if start else None,
    )


def _build_level(node: Node) -> Level:
    enter, leave = node.one("enter"), node.one("leave")
    # Both directives are required, and the block has no problem.
    assert enter is not None and enter.condition is not None
    assert leave is not None and leave.condition is not None
    return Level(
        name=node.values["a name"],
        enter=enter.condition,
        leave=leave.condition,
        min_time=node.value("stay", "a time", 0),
        admit={each.values["a profile"]: each.values["a share"] for each in node.all("admit")},
        # `unrun`: retries are allowed only if no earlier attempt may have been executed.
        retries_allowed=RetriesAllowed(node.value("further", "all, unrun or none", RetriesAllowed.ALL.value)),
        max_retry_after=node.value("advice", "a time"),
        priorities={each.values["a profile"]: each.values["a priority"] for each in node.all("priority")},
        former_name=node.value("formerly", "a name"),
        despite_benefit=node.one("despite-benefit") is not None,
    )


def _to_problem(path: str, root: Node, ladder_problem: LadderProblem) -> Problem:
    block = root.one("ladder")
    assert block is not None
    node = block
    if ladder_problem.level is not None:
        node = next(each for each in block.all("level") if each.values["a name"] == ladder_problem.level)
    node = node.one(ladder_problem.directive) or node
    return Problem(path, node.line, node.column, ladder_problem.message, ladder_problem.hint)


def changes_requiring_restart(current: OperatorFile, new: OperatorFile) -> list[str]:
    """Returns a description of each difference that can't be applied while the gateway runs.

    :param current: the file in force
    :param new: the reloaded file
    """
    found = []
    if current.control != new.control:
        found.append("control (the control socket)")
    if (current.log is None) != (new.log is None) or (
        current.log and new.log and current.log.form != new.log.form
    ):
        found.append("log (the format of lines)")
    if (current.cells is None) != (new.cells is None) or (
        current.cells and new.cells and current.cells.log != new.cells.log
    ):
        found.append("cells (added, removed, or another log)")
    if current.fleet != new.fleet:
        found.append("fleet (any of its directives)")
    if (current.ladder is None) != (new.ladder is None):
        found.append("ladder (added or removed)")
    elif current.ladder and new.ladder and current.ladder.window != new.ladder.window:
        found.append("window (the time over which signals are computed)")
    return found
