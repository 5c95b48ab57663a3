"""HTTP requests to endpoints and discovery, and the parsing of their responses."""

from __future__ import annotations

import re
from dataclasses import dataclass, replace

import httptools

from lotusstream import interface as api
from lotusstream.protocol.errors import ProtocolError

MS = 1000  # microseconds in a millisecond
MAX_HEAD_BYTES = 16 << 10  # limit on the status line and headers of a response
MAX_PAGE_BYTES = 6_000  # limit on the body of one page of a result
MAX_RESULT_BYTES = 48_000  # limit on all pages of a result together
STATUS_LONG_POLL_US = 250 * MS  # longest time for which an endpoint holds a status call open
ABANDONED_AFTER_US = 2000 * MS  # an endpoint abandons an attempt after this time without a status call
DUPLICATE_RESPONSE_DELAY_US = 20 * MS  # a duplicate of a response arrives within this time
MAX_HANG_US = 25_000 * MS  # longest time for which an endpoint's process hangs before it goes on
HELD_CALL_US = MAX_HANG_US + ABANDONED_AFTER_US  # for which an endpoint may hold a call that it has not read
CALL_TIMEOUT_US = ABANDONED_AFTER_US // 4  # leaves time to repeat a call before the attempt is abandoned
DISCOVERY_LONG_POLL_US = 5000 * MS  # longest time for which discovery holds a poll open
DISCOVERY_PROPAGATION_US = 7000 * MS  # time within which all gateways have to know of a list change
OK = 200
NO_CONTENT = 204  # a control call was accepted
INTERNAL_SERVER_ERROR = 500  # the attempt failed and may have run, or the endpoint does not know it any more
FIRST_FINAL_STATUS = 200  # lower statuses are interim responses

RESULT_HEADERS = ("result-pages", "result-page", "query-cost", "query-need")

_SMALL_NUMBER = re.compile(r"[0-9]{1,9}\Z")
_DECIMAL = re.compile(r"[0-9]{1,12}(\.[0-9]{1,15})?\Z")


class ResponseFormatError(ProtocolError):
    """The received bytes are not a valid HTTP response, or exceed a size limit."""


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response."""

    status: int
    headers: dict[str, str]  # by header name in lower case
    body: bytes
    connection_reusable: bool  # whether the connection may carry another call
    # Whether bytes that are not an HTTP response follow this one. If so, its Content-Length may be wrong.
    has_trailing_bytes: bool = False

    def result_values(self) -> tuple[object, ...]:
        """Returns the values of a result that are equal in each repetition of it, unlike its date."""
        return (self.status, *map(self.headers.get, RESULT_HEADERS), self.body)


class HttpResponseReader:
    """Parses one response incrementally. Interim responses (1xx) before it and all bytes after it are
    ignored; either makes the connection not reusable."""

    def __init__(self, max_body_bytes: int) -> None:
        self.response: HttpResponse | None = None  # None until it is complete
        self._max_body_bytes = max_body_bytes
        self._parser = httptools.HttpResponseParser(self)
        self._headers: dict[str, str] = {}
        self._body = bytearray()
        self._head_bytes = 0
        self._is_in_head = True
        self._has_interim = False
        self.has_begun = False  # whether any bytes have arrived

    def feed(self, data: memoryview) -> None:
        """Parses the next bytes and sets `response` once it is complete. Raises ResponseFormatError."""
        self.has_begun = True
        if self._is_in_head:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self.response is None:
                raise ResponseFormatError(str(error)) from error
            self.response = replace(self.response, connection_reusable=False, has_trailing_bytes=True)
        if self.response is not None:
            return
        if self._is_in_head and self._head_bytes > MAX_HEAD_BYTES:
            raise ResponseFormatError(f"head of the response is longer than {MAX_HEAD_BYTES} bytes")
        if len(self._body) > self._max_body_bytes:
            raise ResponseFormatError(f"body of the response is longer than {self._max_body_bytes} bytes")

    def on_message_begin(self) -> None:
        """Called by the parser when a response begins."""
        self._headers = {}
        if self.response is not None:
            self.response = replace(self.response, connection_reusable=False)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser with each header."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Called by the parser when the head is complete."""
        self._is_in_head = self._parser.get_status_code() < FIRST_FINAL_STATUS

    def on_body(self, data: bytes) -> None:
        """Called by the parser with each part of the body."""
        if self.response is None and len(self._body) <= self._max_body_bytes:
            self._body += data

    def on_message_complete(self) -> None:
        """Called by the parser when a response is complete."""
        status = self._parser.get_status_code()
        if self.response is not None:
            return
        if status < FIRST_FINAL_STATUS:
            self._has_interim = True
            return
        reusable = self._parser.should_keep_alive() and not self._has_interim
        self.response = HttpResponse(status, self._headers, bytes(self._body), reusable)


def encode_request(method: str, target: str, host: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Returns the bytes of a request."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("ascii") + body


def attempt_headers(
    call_id: str, profile: str, time_limit: int, idempotency_key: str | None, priority: int | None
) -> dict[str, str]:
    """Returns the headers of the HTTP request that starts an attempt.

    :param time_limit: time limit of the attempt, microseconds.
    :param idempotency_key: None: the client's request has no key.
    :param priority: None: the endpoint's default priority applies.
    """
    headers = {"X-Txn": call_id, "X-Lane": profile, "X-Limit-Ms": str(max(1, time_limit // MS))}
    if idempotency_key is not None:
        headers["X-Dedupe"] = idempotency_key
    if priority is not None:
        headers["Query-Priority"] = str(priority)
    return headers


@dataclass(frozen=True, slots=True)
class AttemptStatus:
    """The status of an attempt as reported by its endpoint."""

    outcome: api.Outcome | None  # None: the attempt is still running
    progress_kind: api.ProgressKind | None = None  # kind of the progress reported; None: none was
    progress_amount: float = 0.0  # its unit depends on `progress_kind`; 0 without progress
    page_count: int = 0  # pages of the result; 0 unless ANSWERED
    rows: bytes = b""  # rows of page 0; empty unless ANSWERED
    work: int | None = None  # work that the endpoint measured, thread microseconds; None: not reported
    memory_mb: float | None = None  # memory that the endpoint measured, MB; None: not reported


def _parse_decimal(response: HttpResponse, name: str) -> float | None:
    text = response.headers.get(name, "")
    return float(text) if _DECIMAL.match(text) else None


def _parse_running(response: HttpResponse) -> AttemptStatus:
    amount = _parse_decimal(response, "note-value")
    if amount is None:
        return AttemptStatus(None)
    match response.headers.get("x-how"):
        case "progress":
            return AttemptStatus(None, api.ProgressKind.PROGRESS, amount)
        case "spill_mb":
            return AttemptStatus(None, api.ProgressKind.SPILLS, amount)
        case "blocked" if amount == 1:
            return AttemptStatus(None, api.ProgressKind.WAITS_FOR_MEMORY, amount)
        case "blocked" if amount == 2:
            return AttemptStatus(None, api.ProgressKind.WAITS_FOR_LOAD, amount)
    return AttemptStatus(None)


def _parse_answer(response: HttpResponse) -> AttemptStatus | None:
    page_count = response.headers.get("result-pages", "")
    if not _SMALL_NUMBER.match(page_count) or int(page_count) == 0:
        return None
    rows = parse_page_rows(response, 0)
    if rows is None:
        return None
    work_ms = _parse_decimal(response, "query-cost")
    return AttemptStatus(
        api.Outcome.ANSWERED,
        page_count=int(page_count),
        rows=rows,
        work=int(work_ms * MS) if work_ms else None,
        memory_mb=_parse_decimal(response, "query-need"),
    )


def parse_attempt_status(response: HttpResponse) -> AttemptStatus | None:
    """Parses the response to POST /x or GET /x/ID/0; None if it is malformed or has an unknown status."""
    was_not_executed = response.headers.get("x-unrun") == "1"
    match response.status:
        case 200:
            return _parse_answer(response)
        case 202:  # accepted: still running
            return _parse_running(response)
        case 503 if was_not_executed:
            return AttemptStatus(api.Outcome.FULL)
        case 504 if was_not_executed:
            return AttemptStatus(api.Outcome.MOOT)
    return None


def parse_page_rows(response: HttpResponse, number: int) -> bytes | None:
    """Returns the rows of page `number`; None if the response holds another page, or is
    malformed or incomplete."""
    body = response.body
    is_numbered = number == 0 or response.headers.get("result-page") == str(number)
    if response.status != OK or response.has_trailing_bytes or not is_numbered:
        return None
    if len(body) > MAX_PAGE_BYTES:
        return None
    *rows, rest = body.split(b"\n")
    return body if not rest and all(row.count(b"\t") == 2 for row in rows) else None
