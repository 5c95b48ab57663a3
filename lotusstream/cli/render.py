"""Renders the answers of a gateway's control socket as text for people.

Each function takes the answer of one control request and returns what rich prints. The keys are those of
`ctl --json`, which keep their names; the text uses the terms of the field.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any

from rich.console import Console, Group, RenderableType
from rich.live import Live
from rich.table import Table
from rich.text import Text

View = Callable[[Any], RenderableType]
US = 1e6  # microseconds in a second
YES_NO = {True: "yes", False: "no", None: "unknown"}


def show(content: RenderableType) -> None:
    """Prints to the standard output, as wide as the terminal, or 200 columns wide if it is no terminal."""
    console = Console(highlight=False)
    if not console.is_terminal:
        console = Console(highlight=False, width=200)
    console.print(content)


def format_duration(microseconds: float | None) -> str:
    """Returns a duration in ms, s, min or h; an empty text for None."""
    if microseconds is None:
        return ""
    seconds = microseconds / US
    if seconds < 1:
        return f"{seconds * 1000:.0f} ms"
    if seconds < 120:
        return f"{seconds:.1f} s"
    return f"{seconds / 60:.0f} min" if seconds < 7200 else f"{seconds / 3600:.1f} h"


def format_percent(share: float | None) -> str:
    """Returns a share, 1.0 being all, in percent; "unknown" for None."""
    return "unknown" if share is None else f"{share:.0%}"


def _table(*columns: str) -> Table:
    """Returns an empty table. A column whose name ends with ">" is aligned to the right."""
    table = Table(box=None, pad_edge=False, header_style="bold")
    for column in columns:
        table.add_column(column.removesuffix(">"), justify="right" if column.endswith(">") else "left")
    return table


def _pairs(rows: Iterable[tuple[str, str]]) -> Table:
    """Returns a table of names and values, without a header."""
    table = Table(box=None, pad_edge=False, show_header=False)
    table.add_column(style="bold")
    table.add_column(overflow="fold")
    for name, value in rows:
        table.add_row(name, Text(value))
    return table


def status(answer: Mapping[str, Any]) -> RenderableType:
    """Renders `ctl status`."""
    endpoint_counts, own = answer["engines"], answer["own"]
    return _pairs(
        [
            ("gateway", f"{answer['gateway']}, lotusstream {answer['version']},"
                        f" up {format_duration(answer['up_us'])}"),
            ("level", f"{answer['level']}: {answer['level_why']}" if answer["level"] else "no ladder"),
            ("endpoints", f"{endpoint_counts['usable']} usable of {endpoint_counts['listed']},"
                          f" {endpoint_counts['cold']} in slow start, {endpoint_counts['aside']} ejected"),
            ("requests", f"{answer['commands']['open']} open, {answer['commands']['held']} queued"),
            ("latency ratio", f"{answer['pace']:.2f}{', overloaded' if answer['strained'] else ''}"),
            ("resource usage", f"core {format_percent(own['core'])}, memory {format_percent(own['memory'])},"
                               f" descriptors {format_percent(own['descriptors'])}"),
            ("operator file", answer["operator_file"]),
        ]
    )  # fmt: skip


def levels(answer: Mapping[str, Any]) -> RenderableType:
    """Renders `ctl levels`."""
    now, why = answer["now"], answer["why"]
    held_until = answer["held_until"]
    hold = f", held for another {format_duration(held_until - now)}" if held_until else ""
    rows = [
        ("level", f"{answer['level']}, for {format_duration(now - answer['since'])}{hold}"),
        ("cause", why["text"] if why else "full service since the start"),
        ("ends when", answer["ends_when"]),
        ("no change for", format_duration(max(0, answer["next_change"] - now))),
        ("admitted", ", ".join(f"{name} {share:.0%}" for name, share in answer["admitted"].items())),
        ("retries and hedged requests", answer["further"]),
    ]
    ladder = _table("level", "enter", "holds now", "leave", "holds now")
    for level in answer["rungs"]:
        ladder.add_row(
            level["name"], level["enter"], YES_NO[level["entering"]], level["leave"], YES_NO[level["leaving"]]
        )
    signals = _table("signal", "value>", "samples>")
    for signal in answer["signals"]:
        signals.add_row(signal["signal"], signal["written"], f"{signal['rests_on']:g}")
    history = _table("ago>", "change")
    for change in reversed(answer["history"]):
        history.add_row(format_duration(now - change["at"]), Text(change["text"]))
    parts: list[RenderableType] = [_pairs(rows), "", ladder, "", signals]
    return Group(*parts, "", history) if answer["history"] else Group(*parts)


def endpoints(answer: list[Mapping[str, Any]]) -> RenderableType:
    """Renders `ctl engines`."""
    table = _table(
        "endpoint", "address", "kind", "state", "cores>", "threads>", "in flight>", "loads>",
        "latency ratio>", "retry credit>", "failures>", "ejection ends in>", "slow start ends in>",
    )  # fmt: skip
    for endpoint in sorted(answer, key=lambda each: str(each["engine"])):
        state = endpoint["state"] + (", overloaded" if endpoint["pressed"] else "")
        table.add_row(
            endpoint["engine"], endpoint["address"] or "", endpoint["kind"], state, f"{endpoint['cores']:g}",
            str(endpoint["threads"]), str(endpoint["sends"]), str(endpoint["loads"]),
            f"{endpoint['pace']:.2f}", f"{endpoint['credit']:.1f}", str(endpoint["failures"]),
            format_duration(endpoint["aside_us"]), format_duration(endpoint["cold_us"]),
        )  # fmt: skip
    return table


def requests(answer: Mapping[str, Any]) -> RenderableType:
    """Renders `ctl commands`."""
    table = _table(
        "request>", "call", "profile", "table group>", "age>", "time left>", "attempts>", "in flight at"
    )
    for each in answer["shown"]:
        in_flight_at = ", ".join(each["engines"]) or "none"
        table.add_row(
            str(each["command"]), each["call"], each["profile"], str(each["group"]),
            format_duration(each["age"]), format_duration(each["left"]), str(each["sends"]), in_flight_at,
        )  # fmt: skip
    return Group(f"{answer['open']} open", table) if answer["open"] else "none open"


def counters(answer: Mapping[str, Mapping[str, float]]) -> RenderableType:
    """Renders `ctl counters`."""
    table = _table("counter", "count>")
    for name, count in answer["counts"].items():
        table.add_row(name, f"{count:g}")
    for name, peak in answer["peaks"].items():
        table.add_row(f"{name}, highest", f"{peak:g}")
    return table


def cells(answer: Mapping[str, Any]) -> RenderableType:
    """Renders `ctl cells` and its sub-commands."""
    table = _table(
        "cell", "endpoints>", "ready>", "requests>", "tenants>", "profiles not served", "borrows from", ""
    )
    for cell in answer["cells"]:
        table.add_row(
            cell["name"], str(len(cell["engines"])), str(cell["ready"]), str(cell["commands"]),
            str(cell["tenants"]), ", ".join(cell["unserved"]), cell["lender"] or "",
            "quarantine" if cell["quarantine"] else "",
        )  # fmt: skip
    migrations = _table("tenant", "from", "to", "step", "for>", "cause")
    for migration in answer["moves"]:
        migrations.add_row(
            migration["tenant"], migration["source"], migration["target"], migration["step"],
            format_duration(answer["now"] - migration["since"]), migration["why"],
        )  # fmt: skip
    rows = [
        ("cell plan", f"version {answer['version']}, {answer['held']} requests of migrating tenants held")
    ]
    if answer["homeless"]:
        rows.append(("endpoints in no cell", ", ".join(answer["homeless"])))
    if answer["poisoned"]:
        rows.append(("tenants with poison requests", ", ".join(answer["poisoned"])))
    if "tenant" in answer:
        rows.append((answer["tenant"], f"in {answer['home']}"))
    parts: list[RenderableType] = [_pairs(rows), "", table]
    return Group(*parts, "", migrations) if answer["moves"] else Group(*parts)


def peers(answer: Mapping[str, Any]) -> RenderableType:
    """Renders `ctl peers`."""
    table = _table("peer", "connection to it", "connections from it>")
    names = sorted({*answer["links"], *answer["callers"]})
    for name in names:
        table.add_row(name, answer["links"].get(name, ""), str(answer["callers"].get(name, 0)))
    return Group(_pairs([("gateway", answer["name"]), ("group", answer["group"])]), "", table)


def _raft_node(here: Mapping[str, Any]) -> str:
    if here.get("trouble") or here["role"] == "none":
        return f"stopped: {here.get('trouble')}"
    return f"{here['role']} in term {here['term']}, {here['commit']} of {here['last']} entries committed"


def quorum(answer: Mapping[str, Any]) -> RenderableType:
    """Renders `ctl quorum` and its sub-commands. `agreed` is None where no leader has answered."""
    here, agreed = answer["here"], answer["agreed"]
    rows = [("this gateway", _raft_node(here) if here else "not a quorum member")]
    if agreed is None:
        return _pairs([*rows, ("quorum", f"unavailable: {answer['why']}")])
    rows += [("leader", agreed["leader"]), ("group", agreed["group"])]
    rows.append(("committed", f"{agreed['commit']} entries, term {agreed['term']}"))
    table = _table("member", "incarnation", "votes", "entries behind>")
    for member in agreed["members"]:
        behind = "" if member["behind"] is None else str(member["behind"])
        table.add_row(member["name"], member["disk"], YES_NO[member["voter"]], behind)
    return Group(_pairs(rows), "", table)


def leases(answer: Mapping[str, Any]) -> RenderableType:
    """Renders `ctl leases` and its sub-commands. `agreed` is None where no leader has answered."""
    agreed = answer["agreed"]
    table = _table("task", "holder", "token>", "renewals>", "grants>", "next", "")
    for lease in agreed["leases"] if agreed else []:
        table.add_row(
            lease["task"], lease["holder"] or "none", str(lease["token"]), str(lease["renewed"]),
            str(lease["granted"]), lease["heir"], "revoked" if lease["ending"] else "",
        )  # fmt: skip
    rows = [("gateway", answer["name"])]
    for task, token in answer["here"].items():
        held_for = format_duration(answer["held_us"].get(task, 0))
        rows.append(
            (task, f"held under token {token}, for {held_for}" if token else "not held by this gateway")
        )
    if (report := answer["examined"]) is not None:
        silent = ", ".join(report["silent"]) or "none"
        summary = f"{silent}, reported {format_duration(report['age_us'])} ago under token {report['token']}"
        rows.append(("endpoints that fail health checks", summary if report["token"] else "no report yet"))
    if agreed is None:
        rows.append(("quorum", f"unavailable: {answer['why']}"))
        return _pairs(rows)
    for key, note in agreed["notes"].items():
        own = answer["brings"].get(key)
        comparison = "" if own is None else ", same as here" if _same(own, note) else ", differs from here"
        rows.append((f"agreed {key}", f"version {note['version']} of {note['author']}{comparison}"))
    return Group(_pairs(rows), "", table)


def copies(answer: Mapping[str, Any]) -> RenderableType:
    """Renders `ctl copies`."""
    state = "may commit" if answer["leased"] else "may not commit: no valid lease from the shard controller"
    rows = [
        (
            "replica host",
            f"{answer['holder']} on {answer['machine']}, {answer['zone']}, incarnation {answer['disk']}",
        ),
        ("shard controller", answer["manager"] or "unknown"),
        ("standing", answer["trouble"] or state),
    ]
    table = _table("shard>", "epoch>", "primary", "backups", "joining", "keys>")
    for each in sorted(answer["shards"], key=lambda each: int(each["shard"])):
        table.add_row(
            str(each["shard"]), str(each["epoch"]), each["home"], ", ".join(each["copies"]),
            ", ".join(each["joining"]), str(each["keys"]),
        )  # fmt: skip
    return Group(_pairs(rows), "", table)


def drained(answer: Mapping[str, Any]) -> RenderableType:
    """Renders `ctl copies drain`."""
    machines = ", ".join(answer["drained"]) or "none"
    return _pairs([("drained machines", machines), ("shards left on them", str(answer["shards_left"]))])


def _same(own: Mapping[str, Any], note: Mapping[str, Any]) -> bool:
    return bool(own["version"] == note["version"] and own["value"] == note["value"])


def overview(update: Mapping[str, Any]) -> RenderableType:
    """Renders one update of `ctl watch`: the status, the levels if there is a ladder, and the endpoints."""
    parts: list[RenderableType] = [status(update["status"]), ""]
    if "levels" in update:
        parts += [levels(update["levels"]), ""]
    return Group(*parts, endpoints(update["engines"]))


def live(updates: Iterable[Mapping[str, Any]]) -> None:
    """Shows each update in place of the last on a terminal; prints one after the other elsewhere."""
    console = Console(highlight=False)
    if not console.is_terminal:
        for update in updates:
            show(overview(update))
        return
    with Live(console=console, screen=True, auto_refresh=False) as screen:
        for update in updates:
            screen.update(overview(update), refresh=True)
