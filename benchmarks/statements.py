"""Time to search a statement for its table group, by its kind and length.

Compares with the longest time for which a search may hold the event loop.
"""

from __future__ import annotations

import time
from dataclasses import dataclass

from lotusstream.lab.statements import ADVERSARIAL_PIECES, long_statement
from lotusstream.net.statement_search import SLICE_COST
from lotusstream.protocol.front import MAX_FRAME_BYTES
from lotusstream.protocol.tables import TableGroupSearch, table_group

LENGTHS = (MAX_FRAME_BYTES // 4, MAX_FRAME_BYTES // 2, MAX_FRAME_BYTES)  # characters
MAX_SLICE_MS = 5.0  # the longest time for which a search may hold the event loop
RUN_COUNT = 3  # the fastest run counts, as other processes interrupt the others
USUAL_STATEMENT = "SELECT a, b FROM sales_17.orders WHERE x = 'y' AND z > 3 ORDER BY a"
USUAL_COUNT = 20_000  # searches of the usual statement


@dataclass(slots=True)
class SearchTime:
    """The times of one search in slices, seconds."""

    total: float
    longest_slice: float


def measure_search(statement: str) -> SearchTime:
    """Measures one search in slices."""
    search = TableGroupSearch(statement)
    times = SearchTime(0.0, 0.0)
    has_ended = False
    while not has_ended:
        began = time.perf_counter()
        has_ended = search.advance(SLICE_COST)
        duration = time.perf_counter() - began
        times.total += duration
        times.longest_slice = max(times.longest_slice, duration)
    return times


def measure_usual_statement() -> float:
    """Returns the mean time to search the usual statement, microseconds."""
    began = time.perf_counter()
    for _ in range(USUAL_COUNT):
        table_group(USUAL_STATEMENT)
    return (time.perf_counter() - began) / USUAL_COUNT * 1e6


def measure() -> tuple[list[str], dict[str, float]]:
    """Measures all kinds and lengths. Returns the lines of the table and the report."""
    lines = [f"{'repeated':10}" + "".join(f"{length:>10} ch" for length in LENGTHS) + "  longest slice, ms"]
    longest_slice = slowest = largest_growth = 0.0
    for piece in ADVERSARIAL_PIECES:
        runs = [
            [measure_search(long_statement(piece, length)) for _ in range(RUN_COUNT)] for length in LENGTHS
        ]
        totals = [min(run.total for run in same_length) for same_length in runs]
        slice_s = max(min(run.longest_slice for run in same_length) for same_length in runs)
        lines.append(
            f"{piece!r:10}"
            + "".join(f"{total * 1e3:10.1f} ms" for total in totals)
            + f"  {slice_s * 1e3:.2f}"
        )
        longest_slice, slowest = max(longest_slice, slice_s), max(slowest, totals[-1])
        largest_growth = max(largest_growth, totals[-1] / totals[0])
    report = {
        "longest_slice_ms": longest_slice * 1e3,
        "longest_slice_over_limit": longest_slice * 1e3 / MAX_SLICE_MS,
        "slowest_search_ms": slowest * 1e3,
        "largest_growth_for_4_times_the_length": largest_growth,
        "usual_statement_us": measure_usual_statement(),
    }
    return lines, report
