"""The lifecycle of requests, from their arrival until their last attempt has ended."""

from __future__ import annotations

from lotusstream import interface as api
from lotusstream.deployment import Deployment
from lotusstream.interface import Outcome
from lotusstream.net.actor import Supervisor
from lotusstream.net.attempt_dispatcher import AttemptDispatcher
from lotusstream.net.attempt_messages import AttemptFinished
from lotusstream.net.client import ClientReply
from lotusstream.net.commitment_gate import AnswerReady, AnswerReceived, CommitmentGate
from lotusstream.net.open_requests import OpenRequest, OpenRequestTable
from lotusstream.net.received_request import ReceivedRequest
from lotusstream.net.request_replies import NOT_ANSWERED, RequestReplies
from lotusstream.protocol import front


class RequestLifecycle:
    """Handles reports about requests and their attempts. Each `on_` method updates the table of open requests
    and returns the event for the decision module, or None. `now` is the time of the batch in microseconds."""

    def __init__(
        self,
        deployment: Deployment,
        requests: OpenRequestTable,
        attempts: AttemptDispatcher,
        replies: RequestReplies,
        supervisor: Supervisor,
    ) -> None:
        self.gate: CommitmentGate | None = None  # set before the first request; None: no gate is used
        self._deployment = deployment
        self._requests = requests
        self._attempts = attempts
        self._replies = replies
        self._supervisor = supervisor

    def on_received_request(self, now: int, received: ReceivedRequest) -> api.Event | None:
        """Admits a request. Replies at once if its call id is in use or a limit is reached."""
        counters = self._supervisor.counters
        profile = self._deployment.profiles[received.fields.profile]
        counters.add(f"taken {profile}")
        queue_delay = now - received.sent_at
        counters.observe("wait before the module, us", queue_delay)
        if not received.is_awaited():
            counters.add("left before they were decided")
            return None
        if self._requests.has_call_id(received.fields.call_id):
            counters.add("commands unusable")
            failure = front.encode_failure(received.seqid, "call is open already, or may have run")
            received.client.post(ClientReply(failure, received))
            return None
        if not self._requests.has_capacity_for(received):
            counters.add("commands past the limits")
            counters.add(f"shed {profile}")
            received.client.post(ClientReply(front.encode_rejection(received.seqid, 0), received))
            return None
        request = self._requests.add(received, self._gate_for(received))
        return _request_received(now, request, queue_delay)

    def _gate_for(self, received: ReceivedRequest) -> CommitmentGate | None:
        fields = received.fields
        if self.gate is not None and self.gate.covers(fields.profile, fields.idempotency_key):
            return self.gate
        return None

    def on_shutdown_started(self, event: api.ShutdownStarted) -> None:
        """Passes the deadline of a shutdown to the commitment gate, which retains answers."""
        if self.gate is not None:
            self.gate.post(event)

    def on_request_abandoned(self, received: ReceivedRequest) -> api.Event | None:
        """Closes a request whose client has disconnected or withdrawn it."""
        request = self._requests.find(received)
        if request is None:
            return None
        self._supervisor.counters.add(f"left {self._deployment.profiles[received.fields.profile]}")
        self._replies.close(request)
        return api.ClientDisconnected(request.request_id)

    def on_request_overdue(self, received: ReceivedRequest) -> api.Event | None:
        """Fails a request at its deadline if the decision module has not decided on it by then, so that the
        client gets a reply even if the module loses a request."""
        request = self._requests.find(received)
        if request is None:
            return None
        call_id = received.fields.call_id
        attempt_count = len(request.attempts)
        self._supervisor.log.write(
            "unanswered",
            f"request {call_id} got no reply by its deadline: {attempt_count} attempts, "
            f"{len(request.in_flight)} in flight",
            call=call_id,
            attempts=attempt_count,
        )
        self._replies.fail(request, NOT_ANSWERED)
        self._supervisor.invariants.check("a command is answered in its client's time", False)
        return api.ClientDisconnected(request.request_id)

    def on_attempt_finished(self, now: int, finished: AttemptFinished) -> api.Event | None:
        """Records the end of an attempt. The first answer of a request becomes its reply."""
        request = self._requests.get(finished.request_id)
        is_first_end = request is not None and finished.attempt in request.in_flight
        if not self._supervisor.invariants.check("a send ends once", is_first_end) or request is None:
            return None
        request.in_flight.discard(finished.attempt)
        request.last_outcome = finished.outcome
        actor = request.attempts[finished.attempt]
        if actor is not None:
            actor.record_attempt_ended(now)
        self._supervisor.counters.add(f"sends {finished.outcome.name.lower()}")
        if finished.outcome in api.PROVES_NOT_EXECUTED:
            request.possible_executions.pop(finished.attempt, None)
        if finished.outcome is Outcome.ANSWERED and request.is_open:
            self._on_answer(request, finished.rows or b"")
        is_finished = not request.is_open or request.awaits_commitment
        self._requests.remove_if_finished(request)
        return _attempt_ended(finished, is_finished)

    def _on_answer(self, request: OpenRequest, rows: bytes) -> None:
        """Replies with the first answer, or passes it to the commitment gate, which then posts
        AnswerReady."""
        request.is_answered = True
        if request.gate is None:
            self._replies.answer(request, rows)
        elif not request.awaits_commitment:
            request.awaits_commitment = True
            received = request.received
            time_limit = received.fields.time_left
            request.gate.post(AnswerReceived(request.request_id, rows, received.deadline, time_limit))

    def on_answer_ready(self, ready: AnswerReady) -> api.Event | None:
        """Replies with the result from the commitment gate, which claims the idempotency key of a request
        before its first attempt is sent and stores its answer. The result is the answer to this request, now
        stored; the stored answer to an earlier request with the same key; or a failure."""
        request = self._requests.get_open(ready.request_id)
        if request is None:
            return None
        if ready.rows is None:
            self._replies.fail(request, ready.reason)
        else:
            self._supervisor.counters.add("answers told again", 0 if request.awaits_commitment else 1)
            self._replies.answer(request, ready.rows)
        return api.ClientDisconnected(request.request_id)

    def abandon_all(self) -> None:
        """Fails all open requests, except those whose answer the commitment gate is retaining, and cancels
        all attempts."""
        for request in [each for each in self._requests if not each.awaits_commitment]:
            self._replies.fail(request, "internal error")
        for request in self._requests.unfinished():
            for attempt in request.in_flight:
                self._attempts.cancel(request, attempt)


def _request_received(now: int, request: OpenRequest, queue_delay: int) -> api.RequestReceived:
    """`queue_delay`: time from the request's arrival until `now`; both are in microseconds."""
    received = request.received
    fields = received.fields
    return api.RequestReceived(
        request.request_id,
        fields.profile,
        fields.work_hint,
        fields.memory_mb,
        max(0, received.deadline - now),
        received.group,
        received.group,  # the key: loads of one table group are ordered
        tenant=received.tenant,
        queue_delay=max(0, queue_delay),
    )


def _attempt_ended(finished: AttemptFinished, request_finished: bool) -> api.AttemptEnded:
    return api.AttemptEnded(
        request_id=finished.request_id,
        attempt=finished.attempt,
        endpoint_id=finished.endpoint_id,
        outcome=finished.outcome,
        latency=finished.latency,
        request_finished=request_finished,
        work=finished.work,
        memory_mb=finished.memory_mb,
        report=None,
        endpoint_responded=finished.endpoint_responded,
    )
