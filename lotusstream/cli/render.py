"""What the gateway told, as tables for people."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any

from rich.console import Console, Group, RenderableType
from rich.live import Live
from rich.table import Table
from rich.text import Text

View = Callable[[Any], RenderableType]
US = 1e6
MARKS = {True: "yes", False: "no", None: "unknown"}


def show(what: RenderableType) -> None:
    """To a pipe as wide as it needs, to a terminal as wide as that is."""
    console = Console(highlight=False)
    if not console.is_terminal:
        console = Console(highlight=False, width=200)
    console.print(what)


def span(microseconds: float | None) -> str:
    if microseconds is None:
        return ""
    seconds = microseconds / US
    if seconds < 1:
        return f"{seconds * 1000:.0f} ms"
    if seconds < 120:
        return f"{seconds:.1f} s"
    return f"{seconds / 60:.0f} min" if seconds < 7200 else f"{seconds / 3600:.1f} h"


def percent(share: float | None) -> str:
    return "unknown" if share is None else f"{share:.0%}"


def _table(*columns: str) -> Table:
    table = Table(box=None, pad_edge=False, header_style="bold")
    for column in columns:
        table.add_column(column.removesuffix(">"), justify="right" if column.endswith(">") else "left")
    return table


def _pairs(rows: Iterable[tuple[str, str]]) -> Table:
    table = Table(box=None, pad_edge=False, show_header=False)
    table.add_column(style="bold")
    table.add_column(overflow="fold")
    for name, value in rows:
        table.add_row(name, Text(value))
    return table


def status(told: Mapping[str, Any]) -> RenderableType:
    engines, own = told["engines"], told["own"]
    return _pairs(
        [
            ("gateway", f"{told['gateway']}, lotusstream {told['version']}, up {span(told['up_us'])}"),
            ("level", f"{told['level']}: {told['level_why']}" if told["level"] else "no ladder"),
            ("engines", f"{engines['usable']} usable of {engines['listed']}, {engines['cold']} cold,"
                        f" {engines['aside']} set aside"),
            ("commands", f"{told['commands']['open']} open, {told['commands']['held']} held"),
            ("pace", f"{told['pace']:.2f} times the work alone{', strained' if told['strained'] else ''}"),
            ("own use", f"core {percent(own['core'])}, memory {percent(own['memory'])},"
                        f" descriptors {percent(own['descriptors'])}"),
            ("operator file", told["operator_file"]),
        ]
    )  # fmt: skip


def levels(told: Mapping[str, Any]) -> RenderableType:
    now, why = told["now"], told["why"]
    held = told["held_until"]
    until = f", held for another {span(held - now)}" if held else ""
    rows = [
        ("level", f"{told['level']}, for {span(now - told['since'])}{until}"),
        ("why", why["text"] if why else "full service since the start"),
        ("ends when", told["ends_when"]),
        ("no change for", span(max(0, told["next_change"] - now))),
        ("admitted", ", ".join(f"{name} {part:.0%}" for name, part in told["admitted"].items())),
        ("further sends", told["further"]),
    ]
    rungs = _table("level", "enter", "now", "leave", "now")
    for rung in told["rungs"]:
        rungs.add_row(
            rung["name"], rung["enter"], MARKS[rung["entering"]], rung["leave"], MARKS[rung["leaving"]]
        )
    signals = _table("signal", "value>", "rests on>")
    for signal in told["signals"]:
        signals.add_row(signal["signal"], signal["written"], f"{signal['rests_on']:g}")
    history = _table("ago>", "change")
    for change in reversed(told["history"]):
        history.add_row(span(now - change["at"]), Text(change["text"]))
    parts: list[RenderableType] = [_pairs(rows), "", rungs, "", signals]
    return Group(*parts, "", history) if told["history"] else Group(*parts)


def engines(told: list[Mapping[str, Any]]) -> RenderableType:
    table = _table(
        "engine", "address", "kind", "state", "cores>", "threads>", "sends>", "loads>", "pace>", "credit>",
        "failures>", "aside>", "cold>",
    )  # fmt: skip
    for engine in sorted(told, key=lambda each: str(each["engine"])):
        state = engine["state"] + (", pressed" if engine["pressed"] else "")
        table.add_row(
            engine["engine"], engine["address"] or "", engine["kind"], state, f"{engine['cores']:g}",
            str(engine["threads"]), str(engine["sends"]), str(engine["loads"]), f"{engine['pace']:.2f}",
            f"{engine['credit']:.1f}", str(engine["failures"]), span(engine["aside_us"]),
            span(engine["cold_us"]),
        )  # fmt: skip
    return table


def commands(told: Mapping[str, Any]) -> RenderableType:
    table = _table("command>", "call", "profile", "group>", "age>", "left>", "sends>", "at")
    for each in told["shown"]:
        at = ", ".join(each["engines"]) or "held"
        table.add_row(
            str(each["command"]), each["call"], each["profile"], str(each["group"]), span(each["age"]),
            span(each["left"]), str(each["sends"]), at,
        )  # fmt: skip
    return Group(f"{told['open']} open", table) if told["open"] else "none open"


def counters(told: Mapping[str, Mapping[str, float]]) -> RenderableType:
    table = _table("counter", "count>")
    for name, count in told["counts"].items():
        table.add_row(name, f"{count:g}")
    for name, most in told["peaks"].items():
        table.add_row(f"{name}, at most", f"{most:g}")
    return table


def cells(told: Mapping[str, Any]) -> RenderableType:
    table = _table("cell", "engines>", "ready>", "commands>", "tenants>", "serves not", "borrows from", "")
    for cell in told["cells"]:
        table.add_row(
            cell["name"], str(len(cell["engines"])), str(cell["ready"]), str(cell["commands"]),
            str(cell["tenants"]), ", ".join(cell["unserved"]), cell["lender"] or "",
            "quarantine" if cell["quarantine"] else "",
        )  # fmt: skip
    moves = _table("tenant", "from", "to", "step", "for>", "why")
    for move in told["moves"]:
        moves.add_row(
            move["tenant"], move["source"], move["target"], move["step"], span(told["now"] - move["since"]),
            move["why"],
        )  # fmt: skip
    rows = [("plan", f"version {told['version']}, {told['held']} commands held behind fences")]
    if told["homeless"]:
        rows.append(("in no cell", ", ".join(told["homeless"])))
    if told["poisoned"]:
        rows.append(("poisoned", ", ".join(told["poisoned"])))
    if "tenant" in told:
        rows.append((told["tenant"], f"in {told['home']}"))
    parts: list[RenderableType] = [_pairs(rows), "", table]
    return Group(*parts, "", moves) if told["moves"] else Group(*parts)


def peers(told: Mapping[str, Any]) -> RenderableType:
    table = _table("peer", "this gateway's line to it", "its lines to here>")
    names = sorted({*told["links"], *told["callers"]})
    for name in names:
        table.add_row(name, told["links"].get(name, ""), str(told["callers"].get(name, 0)))
    return Group(_pairs([("gateway", told["name"]), ("group", told["group"])]), "", table)


def _keeper(told: Mapping[str, Any]) -> str:
    if told.get("trouble") or told["role"] == "none":
        return f"stands still: {told.get('trouble')}"
    return f"{told['role']} in term {told['term']}, {told['commit']} of {told['last']} entries agreed"


def quorum(told: Mapping[str, Any]) -> RenderableType:
    here, agreed = told["here"], told["agreed"]
    rows = [("here", _keeper(here) if here else "no keeper, a client of them")]
    if agreed is None:
        return _pairs([*rows, ("quorum", f"none: {told['why']}")])
    rows += [("leader", agreed["leader"]), ("group", agreed["group"])]
    rows.append(("agreed", f"{agreed['commit']} entries, term {agreed['term']}"))
    table = _table("keeper", "disk", "votes", "behind>")
    for member in agreed["members"]:
        behind = "" if member["behind"] is None else str(member["behind"])
        table.add_row(member["name"], member["disk"], MARKS[member["voter"]], behind)
    return Group(_pairs(rows), "", table)


def leases(told: Mapping[str, Any]) -> RenderableType:
    agreed = told["agreed"]
    table = _table("task", "holder", "token>", "renewed>", "granted>", "next", "")
    for lease in agreed["leases"] if agreed else []:
        table.add_row(
            lease["task"], lease["holder"] or "nobody", str(lease["token"]), str(lease["renewed"]),
            str(lease["granted"]), lease["heir"], "taken back" if lease["ending"] else "",
        )  # fmt: skip
    rows = [("gateway", told["name"])]
    for task, token in told["here"].items():
        since = span(told["held_us"].get(task, 0))
        rows.append((task, f"held under token {token}, for {since}" if token else "not held here"))
    if (heard := told["examined"]) is not None:
        silent = ", ".join(heard["silent"]) or "none"
        what = f"{silent}, heard {span(heard['age_us'])} ago under token {heard['token']}"
        rows.append(("engines that do not answer", what if heard["token"] else "nobody has told"))
    if agreed is None:
        rows.append(("quorum", f"none: {told['why']}"))
        return _pairs(rows)
    for key, note in agreed["notes"].items():
        mine = told["brings"].get(key)
        here = "" if mine is None else ", as here" if _same(mine, note) else ", another than here"
        rows.append((f"agreed {key}", f"version {note['version']} of {note['author']}{here}"))
    return Group(_pairs(rows), "", table)


def copies(told: Mapping[str, Any]) -> RenderableType:
    leased = "may promise" if told["leased"] else "may promise nothing: cut off from whoever decides"
    rows = [
        ("holder", f"{told['holder']} on {told['machine']}, {told['zone']}, disk {told['disk']}"),
        ("decided by", told["manager"] or "nobody known"),
        ("standing", told["trouble"] or leased),
    ]
    table = _table("shard>", "epoch>", "home", "copies", "joining", "keys>")
    for each in sorted(told["shards"], key=lambda each: int(each["shard"])):
        table.add_row(
            str(each["shard"]), str(each["epoch"]), each["home"], ", ".join(each["copies"]),
            ", ".join(each["joining"]), str(each["keys"]),
        )  # fmt: skip
    return Group(_pairs(rows), "", table)


def drained(told: Mapping[str, Any]) -> RenderableType:
    machines = ", ".join(told["drained"]) or "none"
    return _pairs([("hold nothing", machines), ("shards still there", str(told["shards_left"]))])


def _same(mine: Mapping[str, Any], note: Mapping[str, Any]) -> bool:
    return bool(mine["version"] == note["version"] and mine["value"] == note["value"])


def look(told: Mapping[str, Any]) -> RenderableType:
    parts: list[RenderableType] = [status(told["status"]), ""]
    if "levels" in told:
        parts += [levels(told["levels"]), ""]
    return Group(*parts, engines(told["engines"]))


def live(looks: Iterable[Mapping[str, Any]]) -> None:
    console = Console(highlight=False)
    if not console.is_terminal:
        for told in looks:
            show(look(told))
        return
    with Live(console=console, screen=True, auto_refresh=False) as screen:
        for told in looks:
            screen.update(look(told), refresh=True)
