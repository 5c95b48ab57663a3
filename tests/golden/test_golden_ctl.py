"""Keys that `lotusstream ctl --json` prints and names of counters stay: programs and pages use them."""

from __future__ import annotations

import ast
import re
from pathlib import Path

from ctl_story import keys_of_commands
from golden_data import FOLDER, read_lines

import lotusstream
from lotusstream.cells.migration import MigrationStep
from lotusstream.interface import Outcome, RejectionReason
from lotusstream.quorum.state import Role

PROGRAM = Path(lotusstream.__file__).parent
PAGES = FOLDER.parent.parent / "docs"
COUNTING_METHODS = {"add", "peak", "observe"}


async def test_each_command_prints_its_golden_keys() -> None:
    """A renamed field of a reply would rename a key that programs read, and they would miss its value."""
    golden = dict(line.split(": ", 1) for line in read_lines("ctl_keys"))
    wanted = {command: paths.split() for command, paths in golden.items()}
    assert await keys_of_commands(wanted) == wanted


def counter_names(source: str) -> set[str]:
    """Returns the names of counters in a source; `{}` stands for a part that is inserted at run time."""
    found = set()
    for item in ast.walk(ast.parse(source)):
        if isinstance(item, ast.Call) and isinstance(item.func, ast.Attribute) and item.args:
            counted = ast.unparse(item.func.value).lower().endswith("counters")
            if counted and item.func.attr in COUNTING_METHODS:
                found.add(counter_name(item.args[0]))
    return found


def counter_name(argument: ast.expr) -> str:
    """Returns the name that an argument holds, with `{}` for each part that is inserted at run time."""
    if isinstance(argument, ast.JoinedStr):
        return "".join(
            str(part.value) if isinstance(part, ast.Constant) else "{}" for part in argument.values
        )
    assert isinstance(argument, ast.Constant), ast.unparse(argument)
    return str(argument.value)


def test_counters_keep_their_names() -> None:
    """A renamed counter would be missing in dashboards and alerts that use its former name."""
    sources = [path for path in sorted(PROGRAM.rglob("*.py")) if "lab" not in path.relative_to(PROGRAM).parts]
    names = set[str]().union(*(counter_names(path.read_text()) for path in sources))
    assert sorted(names) == read_lines("counters")


def test_parts_inserted_into_counter_names_stay() -> None:
    """A renamed member or value of an enum would rename the counters that contain it: `sends OUTCOME`,
    `sent again after OUTCOME`, `no result: REASON`, `moves STEP` and `quorum became ROLE`.
    """
    roles = (Role.EMPTY, Role.FOLLOWER, Role.PRE_CANDIDATE, Role.CANDIDATE, Role.LEADER)
    parts = {
        "outcome": [f"{outcome.value} {outcome.name.lower()}" for outcome in Outcome],
        "reason": [f"{reason.value} / {reason.name.lower()}" for reason in RejectionReason],
        "step": [step.value for step in MigrationStep],
        "role": list(roles),
    }
    lines = [f"{kind}: {value}" for kind, values in parts.items() for value in values]
    assert lines == read_lines("counter_parts")


def test_counters_that_pages_name_are_counted() -> None:
    """A page would name a counter that no longer exists, or no longer name one that operators look up."""
    # "{} {}", the end of a request and its profile, is left out: without a fixed part it matches any name.
    names = [name for name in read_lines("counters") if name != "{} {}"]
    patterns = [re.escape(name).replace(r"\{\}", ".+") for name in names]
    counted = re.compile("|".join(patterns))
    for line in read_lines("counters_of_pages"):
        page, name = line.split(": ", 1)
        assert f"`{name}`" in (PAGES / page).read_text(), line
        assert counted.fullmatch(name), line
