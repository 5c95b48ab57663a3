"""The keys that `lotusstream ctl --json` prints, command by command, and the names of all counters."""

from __future__ import annotations

import ast
import re
from pathlib import Path

from ctl_story import keys_of_commands
from golden_data import FOLDER, read_lines

import lotusstream
from lotusstream.cells.move import Step
from lotusstream.interface import Outcome, Reason
from lotusstream.quorum import keeper

PROGRAM = Path(lotusstream.__file__).parent
PAGES = FOLDER.parent.parent / "docs"
COUNTING_METHODS = {"add", "peak", "observe"}


async def test_each_command_prints_its_golden_keys() -> None:
    golden = dict(line.split(": ", 1) for line in read_lines("ctl_keys"))
    wanted = {command: paths.split() for command, paths in golden.items()}
    assert await keys_of_commands(wanted) == wanted


def counter_names(source: str) -> set[str]:
    """What is counted in this source; `{}` stands for what is put in while running."""
    found = set()
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute) and node.args:
            counted = ast.unparse(node.func.value).lower().endswith("counters")
            if counted and node.func.attr in COUNTING_METHODS:
                found.add(written(node.args[0]))
    return found


def written(argument: ast.expr) -> str:
    if isinstance(argument, ast.JoinedStr):
        return "".join(
            str(part.value) if isinstance(part, ast.Constant) else "{}" for part in argument.values
        )
    assert isinstance(argument, ast.Constant), ast.unparse(argument)
    return str(argument.value)


def test_counters_keep_their_names() -> None:
    sources = [path for path in sorted(PROGRAM.rglob("*.py")) if "lab" not in path.parts]
    names = set[str]().union(*(counter_names(path.read_text()) for path in sources))
    assert sorted(names) == read_lines("counters")


def test_what_is_put_into_names_of_counters_stays() -> None:
    """Counted as `sends OUTCOME` and `sent again after OUTCOME`, `no result: REASON`, `moves STEP`, and
    `quorum became ROLE`."""
    roles = (keeper.EMPTY, keeper.FOLLOWER, keeper.ASKING, keeper.CANDIDATE, keeper.LEADER)
    told = {
        "outcome": [f"{outcome.value} {outcome.name.lower()}" for outcome in Outcome],
        "reason": [f"{reason.value} / {reason.name.lower()}" for reason in Reason],
        "step": [step.value for step in Step],
        "role": list(roles),
    }
    lines = [f"{kind}: {value}" for kind, values in told.items() for value in values]
    assert lines == read_lines("counter_parts")


def test_counters_that_pages_name_are_counted() -> None:
    names = [name for name in read_lines("counters") if name != "{} {}"]  # an ending, and a profile
    patterns = [re.escape(name).replace(r"\{\}", ".+") for name in names]
    known = re.compile("|".join(patterns))
    for line in read_lines("counters_of_pages"):
        page, name = line.split(": ", 1)
        assert f"`{name}`" in (PAGES / page).read_text(), line
        assert known.fullmatch(name), line
