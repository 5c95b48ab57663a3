"""HTTP between the gateway and engines or the notice board, and what an engine's answers mean."""

from __future__ import annotations

import re
from dataclasses import dataclass, replace

import httptools

from lotusstream import interface as api

MAX_HEAD_BYTES = 16 << 10
MAX_PAGE_BYTES = 6_000
MAX_RESULT_BYTES = 48_000
MS = 1000
STATUS_LONG_POLL_US = 250 * MS  # how long an engine keeps a call that asks for news
ABANDONED_AFTER_US = 2000 * MS  # a query that has not been asked for
DUPLICATE_RESPONSE_DELAY_US = 20 * MS  # an answer that comes twice comes again some milliseconds later
CALL_TIMEOUT_US = ABANDONED_AFTER_US // 4  # with a call, so that others can still come in time
OK = 200
INTERNAL_SERVER_ERROR = 500  # to any call: it may have run, or is known there no longer
DISCOVERY_LONG_POLL_US = 5000 * MS  # the longest that the board keeps a call
DISCOVERY_PROPAGATION_US = 7000 * MS  # what is on the board counts as told

_SMALL = re.compile(r"[0-9]{1,9}\Z")
_DECIMAL = re.compile(r"[0-9]{1,12}(\.[0-9]{1,15})?\Z")


class ResponseFormatError(Exception):
    """What came is no whole HTTP answer."""


@dataclass(frozen=True, slots=True)
class HttpResponse:
    status: int
    headers: dict[str, str]
    body: bytes
    connection_reusable: bool  # the connection may carry another call
    has_trailing_bytes: bool = False  # what came behind it is no other answer: its own length may be wrong


class HttpResponseReader:
    """Reads one answer, fed with bytes as they come. Interim answers (1xx) before it are passed over; of
    what comes behind it nothing is used, and neither is the connection after any of both."""

    def __init__(self, longest_body: int) -> None:
        self._longest = longest_body
        self._parser = httptools.HttpResponseParser(self)
        self._headers: dict[str, str] = {}
        self._body = bytearray()
        self._head = 0
        self._in_head = True
        self._odd = False
        self.response: HttpResponse | None = None

    def feed(self, data: memoryview) -> None:
        """Raises BrokenAnswer; sets `answer` once it is whole."""
        if self._in_head:
            self._head += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self.response is None:
                raise ResponseFormatError(str(error)) from error
            self.response = replace(self.response, connection_reusable=False, has_trailing_bytes=True)
        if self.response is not None:
            return
        if self._in_head and self._head > MAX_HEAD_BYTES:
            raise ResponseFormatError("an endless head")
        if len(self._body) > self._longest:
            raise ResponseFormatError("a body longer than any may be")

    def on_message_begin(self) -> None:
        self._headers = {}
        if self.response is not None:
            self.response = replace(self.response, connection_reusable=False)

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        self._in_head = self._parser.get_status_code() < 200

    def on_body(self, data: bytes) -> None:
        if self.response is None and len(self._body) <= self._longest:
            self._body += data

    def on_message_complete(self) -> None:
        status = self._parser.get_status_code()
        if self.response is not None:
            return
        if status < 200:
            self._odd = True
            return
        reusable = self._parser.should_keep_alive() and not self._odd
        self.response = HttpResponse(status, self._headers, bytes(self._body), reusable)


def encode_request(method: str, target: str, host: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("ascii") + body


def attempt_headers(
    call: str, profile: str, limit: int, mark: str | None, priority: int | None
) -> dict[str, str]:
    headers = {"X-Txn": call, "X-Lane": profile, "X-Limit-Ms": str(max(1, limit // MS))}
    if mark is not None:
        headers["X-Dedupe"] = mark
    if priority is not None:
        headers["Query-Priority"] = str(priority)
    return headers


@dataclass(frozen=True, slots=True)
class AttemptStatus:
    outcome: api.Outcome | None  # None: not yet over
    progress_kind: api.ProgressKind | None = None
    progress_amount: float = 0.0
    page_count: int = 0
    rows: bytes = b""  # page 0
    work: int | None = None
    memory_mb: float | None = None


def _decimal(answer: HttpResponse, name: str) -> float | None:
    text = answer.headers.get(name, "")
    return float(text) if _DECIMAL.match(text) else None


def _note(answer: HttpResponse) -> tuple[api.ProgressKind | None, float]:
    amount = _decimal(answer, "note-value")
    if amount is None:
        return None, 0.0
    match answer.headers.get("x-how"):
        case "progress":
            return api.ProgressKind.PROGRESS, amount
        case "spill_mb":
            return api.ProgressKind.SPILLS, amount
        case "blocked" if amount == 1:
            return api.ProgressKind.WAITS_FOR_MEMORY, amount
        case "blocked" if amount == 2:
            return api.ProgressKind.WAITS_FOR_LOAD, amount
    return None, 0.0


def parse_attempt_status(answer: HttpResponse) -> AttemptStatus | None:
    """What the answer to POST /x or GET /x/ID/0 tells; None where it is spoilt or of no known form."""
    unrun = answer.headers.get("x-unrun") == "1"
    match answer.status:
        case 200 if _SMALL.match(pages := answer.headers.get("result-pages", "")) and int(pages) > 0:
            rows, work = parse_page_rows(answer, 0), _decimal(answer, "query-cost")
            if rows is None:
                return None
            return AttemptStatus(
                api.Outcome.ANSWERED,
                page_count=int(pages),
                rows=rows,
                work=int(work * MS) if work else None,
                memory_mb=_decimal(answer, "query-need"),
            )
        case 202:
            note, amount = _note(answer)
            return AttemptStatus(None, note, amount)
        case 503 if unrun:
            return AttemptStatus(api.Outcome.FULL)
        case 504 if unrun:
            return AttemptStatus(api.Outcome.MOOT)
    return None


def parse_page_rows(answer: HttpResponse, number: int) -> bytes | None:
    """The rows of page `number`, or None where it is not that page, whole."""
    body = answer.body
    numbered = number == 0 or answer.headers.get("result-page") == str(number)
    if answer.status != 200 or answer.has_trailing_bytes or not numbered or len(body) > MAX_PAGE_BYTES:
        return None
    *rows, rest = body.split(b"\n")
    return body if not rest and all(row.count(b"\t") == 2 for row in rows) else None
