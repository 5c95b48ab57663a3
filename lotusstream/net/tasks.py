"""What a gateway does for the whole fleet while it holds the lease of it. Each task stops at once when told
to, and looks at its token before each act."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from lotusstream.cells.keeper import Drives
from lotusstream.net.actor import Supervisor
from lotusstream.net.decider import Tell
from lotusstream.operator.fleet import MOVES


class Task(Protocol):
    """`begin` under a token, until `stop`."""

    def begin(self, token: int) -> None: ...

    def stop(self, why: str) -> None: ...


@dataclass(frozen=True, slots=True)
class Around:
    """What a task gets. `may_act`: the token at this moment, or 0: to be asked before each act."""

    name: str
    may_act: Callable[[], int]
    tell_decider: Callable[[Tell], None]
    supervisor: Supervisor


class MovesTask:
    """Begins moves of tenants: by hand here, or of the poisonous. The keeper of cells turns away what comes
    under an older token."""

    def __init__(self, around: Around) -> None:
        self._around = around

    def begin(self, token: int) -> None:
        self._around.tell_decider(Tell(Drives(token)))

    def stop(self, why: str) -> None:
        self._around.tell_decider(Tell(Drives(0)))


MAKERS: dict[str, Callable[[Around], Task]] = {MOVES: MovesTask}
