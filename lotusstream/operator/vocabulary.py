"""Defines the directives of the operator file: their blocks, arguments and meanings."""

from __future__ import annotations

from lotusstream.interface import RetriesAllowed
from lotusstream.operator.cells import CELLS_DIRECTIVES
from lotusstream.operator.fleet import FLEET_DIRECTIVES
from lotusstream.operator.tree import Argument, Directive, choice, name, number, path, share, size, time


def _by_keyword(*directives: Directive) -> dict[str, Directive]:
    return {directive.keyword: directive for directive in directives}


LEVEL_DIRECTIVES = _by_keyword(
    Directive(
        "enter",
        "the condition that puts the level in force, such as load > 115% for 5s",
        condition=True,
        required=True,
    ),
    Directive(
        "leave",
        "the condition that ends the level, such as load < 95% for 10s",
        condition=True,
        required=True,
    ),
    Directive("stay", "the shortest time that the level stays in force", (Argument("a time", time),)),
    Directive(
        "admit",
        "the least share of a profile's new requests that the level admits",
        (Argument("a profile", name), Argument("a share", share)),
        many=True,
    ),
    Directive(
        "further",
        "the retries that are allowed: all, unrun (only if no attempt may have been executed) or none",
        (Argument("all, unrun or none", choice(*(each.value for each in RetriesAllowed))),),
    ),
    Directive("advice", "the longest Retry-After of rejected requests", (Argument("a time", time),)),
    Directive(
        "priority",
        "the priority of a profile's attempts, 0 to 3",
        (Argument("a profile", name), Argument("a priority", number(0, 3))),
        many=True,
    ),
    Directive(
        "formerly",
        "the former name of the level, by which a reload finds the level in force",
        (Argument("a name", name),),
    ),
    Directive(
        "despite-benefit", "permits the level to reduce a profile before one with less benefit per work"
    ),
)

LADDER_DIRECTIVES = _by_keyword(
    Directive("window", "the time over which signals are computed", (Argument("a time", time),)),
    Directive(
        "quiet", "the shortest time between two level changes that signals cause", (Argument("a time", time),)
    ),
    Directive(
        "ramp",
        "the time in which the admitted share grows from 0 to 1 while a condition holds; 0s: no ramp",
        (Argument("a time", time),),
        condition_after="while",
    ),
    Directive(
        "lost",
        "the share of the usable cores whose loss permits a higher level within the quiet time",
        (Argument("a share", share),),
    ),
    Directive(
        "start",
        "the level in force after a start, and the shortest time that it stays",
        (Argument("a level", name), Argument("a time", time, after="for")),
    ),
    Directive(
        "level",
        "a level of reduced service; the mildest comes first",
        (Argument("a name", name),),
        block=LEVEL_DIRECTIVES,
        many=True,
        required=True,
    ),
)

TOP_LEVEL_DIRECTIVES = _by_keyword(
    Directive(
        "control",
        "the path of the control socket, which only the gateway's user may open",
        (Argument("a path", path),),
    ),
    Directive(
        "control-request", "the size limit of a request on the control socket", (Argument("a size", size),)
    ),
    Directive(
        "control-patience",
        "the timeout for one request or one reply on the control socket",
        (Argument("a time", time),),
    ),
    Directive(
        "control-clients",
        "how many control clients may be connected at once",
        (Argument("a number", number(1, 64)),),
    ),
    Directive(
        "log",
        "the format of log lines, and the lowest severity that is written",
        (
            Argument("console or json", choice("console", "json")),
            Argument(
                "debug, info, warning or error", choice("debug", "info", "warning", "error"), optional=True
            ),
        ),
    ),
    Directive("cells", "cells of endpoints, and the tenants of each cell", block=CELLS_DIRECTIVES),
    Directive(
        "fleet", "the fleet of gateways: its quorum (keepers), leases and replicas", block=FLEET_DIRECTIVES
    ),
    Directive("ladder", "degradation levels", block=LADDER_DIRECTIVES),
)
