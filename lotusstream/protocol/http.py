"""HTTP between the gateway and engines or the notice board, and what an engine's answers mean."""

from __future__ import annotations

import re
from dataclasses import dataclass

import httptools

from lotusstream import interface as api

LONGEST_HEAD = 16 << 10
PAGE_BYTES = 6_000
RESULT_BYTES = 48_000
MS = 1000
NEWS_WAIT = 250 * MS  # how long an engine keeps a call that asks for news
FORGOTTEN_AFTER = 2000 * MS  # a query that has not been asked for
PATIENCE = FORGOTTEN_AFTER // 2  # with a call, so that another can still come in time
BOARD_WAIT = 5000 * MS  # the longest that the board keeps a call
TOLD_AFTER = 7000 * MS  # what is on the board counts as told

_SMALL = re.compile(r"[0-9]{1,9}\Z")
_DECIMAL = re.compile(r"[0-9]{1,12}(\.[0-9]{1,15})?\Z")


class BrokenAnswer(Exception):
    """What came is no whole HTTP answer."""


@dataclass(frozen=True, slots=True)
class Answer:
    status: int
    headers: dict[str, str]
    body: bytes
    reusable: bool  # the connection may carry another call


class AnswerReader:
    """Reads one answer, fed with bytes as they come."""

    def __init__(self, longest_body: int) -> None:
        self._longest = longest_body
        self._parser = httptools.HttpResponseParser(self)
        self._headers: dict[str, str] = {}
        self._body = bytearray()
        self._head = 0
        self._in_head = True
        self.answer: Answer | None = None

    def feed(self, data: memoryview) -> None:
        """Raises BrokenAnswer; sets `answer` once it is whole."""
        if self.answer is not None:
            raise BrokenAnswer("bytes after the answer")
        if self._in_head:
            self._head += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            raise BrokenAnswer(str(error)) from error
        if self._in_head and self._head > LONGEST_HEAD:
            raise BrokenAnswer("an endless head")
        if len(self._body) > self._longest:
            raise BrokenAnswer("a body longer than any may be")

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        self._in_head = False

    def on_body(self, data: bytes) -> None:
        if len(self._body) <= self._longest:
            self._body += data

    def on_message_complete(self) -> None:
        self.answer = Answer(
            self._parser.get_status_code(),
            self._headers,
            bytes(self._body),
            self._parser.should_keep_alive(),
        )


def request(method: str, target: str, host: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("ascii") + body


def start_headers(
    call: str, profile: str, limit: int, mark: str | None, priority: int | None
) -> dict[str, str]:
    headers = {"X-Txn": call, "X-Lane": profile, "X-Limit-Ms": str(max(1, limit // MS))}
    if mark is not None:
        headers["X-Dedupe"] = mark
    if priority is not None:
        headers["Query-Priority"] = str(priority)
    return headers


@dataclass(frozen=True, slots=True)
class QueryNews:
    outcome: api.Outcome | None  # None: not yet over
    note: api.Note | None = None
    amount: float = 0.0
    pages: int = 0
    work: int | None = None
    memory_mb: float | None = None


def _decimal(answer: Answer, name: str) -> float | None:
    text = answer.headers.get(name, "")
    return float(text) if _DECIMAL.match(text) else None


def _note(answer: Answer) -> tuple[api.Note | None, float]:
    amount = _decimal(answer, "note-value")
    if amount is None:
        return None, 0.0
    match answer.headers.get("x-how"):
        case "progress":
            return api.Note.PROGRESS, amount
        case "spill_mb":
            return api.Note.SPILLS, amount
        case "blocked" if amount == 1:
            return api.Note.WAITS_FOR_MEMORY, amount
        case "blocked" if amount == 2:
            return api.Note.WAITS_FOR_LOAD, amount
    return None, 0.0


def query_news(answer: Answer) -> QueryNews:
    """What the answer to POST /x or GET /x/ID/0 tells; an answer of no known form may have run."""
    unrun = answer.headers.get("x-unrun") == "1"
    match answer.status:
        case 200 if _SMALL.match(pages := answer.headers.get("result-pages", "")) and int(pages) > 0:
            work = _decimal(answer, "query-cost")
            return QueryNews(
                api.Outcome.ANSWERED,
                pages=int(pages),
                work=int(work * MS) if work else None,
                memory_mb=_decimal(answer, "query-need"),
            )
        case 202:
            note, amount = _note(answer)
            return QueryNews(None, note, amount)
        case 503 if unrun:
            return QueryNews(api.Outcome.FULL)
        case 504 if unrun:
            return QueryNews(api.Outcome.MOOT)
    return QueryNews(api.Outcome.ERROR)


def page_rows(answer: Answer, number: int) -> bytes | None:
    """The rows of page `number`, or None where it is not that page, whole."""
    body = answer.body
    numbered = number == 0 or answer.headers.get("result-page") == str(number)
    rows_whole = not body or body.endswith(b"\n")
    rows = body.count(b"\n")
    if answer.status != 200 or not numbered or not rows_whole or len(body) > PAGE_BYTES:
        return None
    return body if body.count(b"\t") == 2 * rows else None
