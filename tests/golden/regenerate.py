"""Writes the golden bytes anew: `python tests/golden/regenerate.py --overwrite`, by hand, after a change of
wire or stored forms that is wanted. No test runs it. Not written here: `stored/run`, which is of a run of the
program, the hand-made answers and notices, and the lists of keys and counters, which are edited by hand."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.append(str(Path(__file__).parent.parent))

from golden_clients import faults, written_by_clients, written_by_the_gateway
from golden_data import DATA, STORED
from golden_messages import FAMILIES
from golden_stores import MADE, write_log
from test_golden_http import REQUESTS, http


def write(family: str, encoded: dict[str, bytes]) -> None:
    lines = [f"{name} {data.hex()}\n" for name, data in encoded.items()]
    (DATA / f"{family}.hex").write_text("".join(lines))


def main() -> None:
    if sys.argv[1:] != ["--overwrite"]:
        raise SystemExit("golden data is what the program is judged by: say --overwrite if that is meant")
    for family in FAMILIES:
        write(family.name, {name: family.encode(message) for name, message in family.messages.items()})
    write("http_requests", {name: http.request(*request) for name, request in REQUESTS.items()})
    write("client_requests", written_by_clients())
    write("client_answers", written_by_the_gateway())
    write("client_faults", faults())
    for name, records in MADE.items():
        path = STORED / "made" / name
        path.unlink(missing_ok=True)
        write_log(path, records)
        path.with_name(f"{name}.lock").unlink()


if __name__ == "__main__":
    main()
