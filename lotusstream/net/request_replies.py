"""Sends the replies to open requests."""

from __future__ import annotations

from lotusstream import interface as api
from lotusstream.deployment import Deployment
from lotusstream.net.actor import Supervisor
from lotusstream.net.client import ClientReply
from lotusstream.net.commitment_gate import RequestClosed
from lotusstream.net.open_requests import OpenRequest, OpenRequestTable
from lotusstream.protocol import front

NOT_ANSWERED = "not answered"  # the reason sent to a client if no attempt has given one


class RequestReplies:
    """Answers, fails or rejects open requests. Each reply closes its request."""

    def __init__(self, deployment: Deployment, requests: OpenRequestTable, supervisor: Supervisor) -> None:
        self._deployment = deployment
        self._requests = requests
        self._counters = supervisor.counters
        self._log = supervisor.log

    def answer(self, request: OpenRequest, rows: bytes) -> None:
        """Replies with the rows of a result."""
        frame = front.encode_answer("process", request.received.seqid, rows, True)
        self._reply(request, frame, "answered")

    def fail(self, request: OpenRequest, reason: str) -> None:
        """Replies with a failure and its reason."""
        self._reply(request, front.encode_failure(request.received.seqid, reason), "failed")

    def reject(self, request: OpenRequest, retry_after: int) -> None:
        """Replies with a rejection. `retry_after`: microseconds after which to retry; 0: not given."""
        self._reply(request, front.encode_rejection(request.received.seqid, retry_after), "shed")

    def log_no_result(self, now: int, request: OpenRequest, reason: api.RejectionReason) -> None:
        """Counts and logs why a request gets no result. `now`: in microseconds."""
        received = request.received
        self._counters.add(f"no result: {reason.value}")
        age = (now - received.sent_at) // front.MS
        attempt_count = len(request.attempts)
        self._log.write(
            "no result",
            f"request {received.fields.call_id} after {age} ms and {attempt_count} attempts: {reason.value}",
            "info",
            call=received.fields.call_id,
            age_ms=age,
            attempts=attempt_count,
            reason=reason.name.lower(),
        )

    def close(self, request: OpenRequest) -> None:
        """Closes a request and notifies its commitment gate, without a reply."""
        if request.gate is not None:
            time_limit = request.received.fields.time_left
            in_flight = frozenset(request.in_flight)
            request.gate.post(RequestClosed(request.request_id, request.may_have_run, in_flight, time_limit))
        self._requests.close(request)

    def _reply(self, request: OpenRequest, frame: bytes, counted_as: str) -> None:
        received = request.received
        profile = self._deployment.profiles[received.fields.profile]
        self._counters.add(f"{counted_as} {profile}")
        received.client.post(ClientReply(frame, received))
        self.close(request)
