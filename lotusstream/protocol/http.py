"""HTTP between the gateway and endpoints or discovery, and what the responses of endpoints mean."""

from __future__ import annotations

import re
from dataclasses import dataclass, replace

import httptools

from lotusstream import interface as api
from lotusstream.protocol.errors import ProtocolError

MS = 1000  # microseconds in a millisecond
MAX_HEAD_BYTES = 16 << 10
MAX_PAGE_BYTES = 6_000
MAX_RESULT_BYTES = 48_000
STATUS_LONG_POLL_US = 250 * MS  # for which an endpoint holds a call that asks for a state
ABANDONED_AFTER_US = 2000 * MS  # an endpoint abandons an attempt that is not asked for in that time
DUPLICATE_RESPONSE_DELAY_US = 20 * MS  # a response that comes twice comes again within that time
CALL_TIMEOUT_US = ABANDONED_AFTER_US // 4  # of one call, so that others can still be made in time
DISCOVERY_LONG_POLL_US = 5000 * MS  # the longest for which discovery holds a call
DISCOVERY_PROPAGATION_US = 7000 * MS  # after which gateways are expected to know of a change
OK = 200
INTERNAL_SERVER_ERROR = 500  # to any call: it may have run, or is known there no longer
FIRST_FINAL_STATUS = 200  # those below are interim responses

_SMALL_NUMBER = re.compile(r"[0-9]{1,9}\Z")
_DECIMAL = re.compile(r"[0-9]{1,12}(\.[0-9]{1,15})?\Z")


class ResponseFormatError(ProtocolError):
    """What came is no complete HTTP response."""


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response."""

    status: int
    headers: dict[str, str]  # by names in lower case
    body: bytes
    connection_reusable: bool  # the connection may carry another call
    has_trailing_bytes: bool = False  # what follows is no response: the length of this one may be wrong


class HttpResponseReader:
    """Reads one response, fed with bytes as they come. Interim responses (1xx) before it are passed over; of
    what follows it nothing is used, and neither is the connection after any of both."""

    def __init__(self, max_body_bytes: int) -> None:
        self.response: HttpResponse | None = None  # once it is complete
        self._max_body_bytes = max_body_bytes
        self._parser = httptools.HttpResponseParser(self)
        self._headers: dict[str, str] = {}
        self._body = bytearray()
        self._head_bytes = 0
        self._is_in_head = True
        self._has_interim = False

    def feed(self, data: memoryview) -> None:
        """Takes the next bytes; sets `response` once it is complete. Raises ResponseFormatError."""
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
            raise ResponseFormatError("an endless head")
        if len(self._body) > self._max_body_bytes:
            raise ResponseFormatError("a body longer than any may be")

    def on_message_begin(self) -> None:
        """Called by the parser: another response begins."""
        self._headers = {}
        if self.response is not None:
            self.response = replace(self.response, connection_reusable=False)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser: one header."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Called by the parser: the head is complete."""
        self._is_in_head = self._parser.get_status_code() < FIRST_FINAL_STATUS

    def on_body(self, data: bytes) -> None:
        """Called by the parser: a part of the body."""
        if self.response is None and len(self._body) <= self._max_body_bytes:
            self._body += data

    def on_message_complete(self) -> None:
        """Called by the parser: a response is complete."""
        status = self._parser.get_status_code()
        if self.response is not None:
            return
        if status < FIRST_FINAL_STATUS:
            self._has_interim = True
            return
        reusable = self._parser.should_keep_alive() and not self._has_interim
        self.response = HttpResponse(status, self._headers, bytes(self._body), reusable)


def encode_request(method: str, target: str, host: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """The bytes of a request."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("ascii") + body


def attempt_headers(
    call_id: str, profile: str, time_limit: int, idempotency_key: str | None, priority: int | None
) -> dict[str, str]:
    """The headers of the request that starts an attempt. `time_limit`: microseconds."""
    headers = {"X-Txn": call_id, "X-Lane": profile, "X-Limit-Ms": str(max(1, time_limit // MS))}
    if idempotency_key is not None:
        headers["X-Dedupe"] = idempotency_key
    if priority is not None:
        headers["Query-Priority"] = str(priority)
    return headers


@dataclass(frozen=True, slots=True)
class AttemptStatus:
    """What an endpoint says of an attempt."""

    outcome: api.Outcome | None  # None: it is still running
    progress_kind: api.ProgressKind | None = None
    progress_amount: float = 0.0
    page_count: int = 0  # of the result
    rows: bytes = b""  # of page 0
    work: int | None = None  # microseconds
    memory_mb: float | None = None


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
    """What the response to POST /x or GET /x/ID/0 says; None where it is malformed or of no known form."""
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
    """The rows of page `number`, or None where it is not that page, or not complete."""
    body = response.body
    is_numbered = number == 0 or response.headers.get("result-page") == str(number)
    if response.status != OK or response.has_trailing_bytes or not is_numbered:
        return None
    if len(body) > MAX_PAGE_BYTES:
        return None
    *rows, rest = body.split(b"\n")
    return body if not rest and all(row.count(b"\t") == 2 for row in rows) else None
