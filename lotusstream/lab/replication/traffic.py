"""Clients, their requests at gateways, and endpoints that execute them."""

from __future__ import annotations

from collections.abc import Callable

from lotusstream.copies import claim_events, replica_events
from lotusstream.copies.claim_events import (
    AbandonRequest,
    AttemptRequested,
    ClaimOutcome,
    DeliverAnswer,
    EndpointAnswered,
    PrimaryReplied,
    ReleaseAttempt,
    ReportEarlierExecution,
    RequestEnded,
    ReturnAttempt,
    SendToPrimary,
    WithholdAnswer,
)
from lotusstream.copies.idempotency import ClaimCoordinator, ClaimOptions
from lotusstream.copies.messages import IdempotencyRecord
from lotusstream.copies.replica_events import ClaimRequested, CompletionRequested
from lotusstream.copies.shards import ReplicaHost, ReplicaId
from lotusstream.lab.replication.cluster import ReplicaCluster
from lotusstream.lab.replication.nodes import ClientNode, EarlierExecution, GatewayNode, SimulatedRequest
from lotusstream.lab.replication.scenario import FAILED_ANSWER, ONCE_KEY_SUFFIX, ReplicationScenario
from lotusstream.lab.world import MS, S

REPLY_TIMEOUT = 300 * MS
RETRY_PAUSE = 40 * MS
MAX_TRIES = 6  # of a client for one request
MAX_ATTEMPT = 3  # newest attempt after which a request ends
RETRY_RATIO = 0.5  # share of failed attempts that are followed by another one


class RequestTraffic(ReplicaCluster):
    """A cluster with clients. Random draws are in the order in which things happen."""

    def __init__(self, seed: int, scenario: ReplicationScenario) -> None:
        super().__init__(seed, scenario)
        self._ticket_count = 0
        self._request_count = 0
        # who has asked with this ticket: gateway, number of its action, run
        self._askers: dict[int, tuple[GatewayNode, int, int]] = {}
        names = [f"c{index}" for index in range(scenario.clients)]
        self.clients = {name: ClientNode(name, self.draw, 0.0) for name in names}

    # Clients

    def start_next_request(self, client: ClientNode) -> None:
        """Ask something new, or repeat the last request."""
        is_repeat = client.key and self.draw.random() < self.scenario.repeat
        if is_repeat:
            self.checker.repeats += 1
        else:
            client.number += 1
            client.key = f"{client.name}-{client.number}"
            if self.draw.random() < self.scenario.once:
                client.key += ONCE_KEY_SUFFIX
        client.answer = b""
        client.tries = 0
        self._try_gateway(client)

    def _try_gateway(self, client: ClientNode) -> None:
        gateway = self.draw.choice(list(self.gateways.values()))
        client.tries += 1
        key, tries = client.key, client.tries
        self._deliver(client, gateway, lambda: self._accept(gateway, key, client.name))
        self.after(self.scenario.patience, lambda: self._on_client_timeout(client, key, tries))

    def _on_client_timeout(self, client: ClientNode, key: str, tries: int) -> None:
        if (client.key, client.tries) != (key, tries) or client.answer:
            return
        if tries < MAX_TRIES:
            self._try_gateway(client)
        else:
            self.start_next_request(client)

    def _reply(self, node: GatewayNode, request: SimulatedRequest, answer: bytes) -> None:
        client = self.clients[request.client]

        def arrive() -> None:
            if client.key == request.key and not client.answer:
                client.answer = answer
                pause = self.draw.randint(10 * MS, 300 * MS)
                self.after(pause, lambda: self.start_next_request(client))

        self._deliver(node, client, arrive)

    # Requests at a gateway

    def start_claims(self, node: GatewayNode) -> None:
        """Begin a run of a gateway without any request."""
        options = self.scenario.terms
        node.requests = {}
        hosts = [
            ReplicaHost(ReplicaId(f"g{index}", ""), f"g{index}", self.zone_of(index))
            for index in range(self.scenario.gateways)
        ]
        claim_options = ClaimOptions(options.shard_count, options.replica_count, REPLY_TIMEOUT, RETRY_PAUSE)
        node.claims = ClaimCoordinator(node.replicas.session, hosts, claim_options)

    def _accept(self, node: GatewayNode, key: str, client: str) -> None:
        self._request_count += 1
        request = SimulatedRequest(self._request_count, key, client, self.now)
        node.requests[request.number] = request
        request.place = self.draw.randrange(self.scenario.places)
        self._start_attempt(node, request)

    def _start_attempt(self, node: GatewayNode, request: SimulatedRequest) -> None:
        """As the decisions do: where it may have been executed, and only while endpoints remember it."""
        earlier = request.earlier
        if earlier is not None and (request.once or self._is_forgotten(earlier)):
            self.checker.unsure(request.key, request.asked_at)
            self._reply(node, request, FAILED_ANSWER)
            self._end(node, request)
            return
        if earlier is not None:
            request.place = earlier.place
        request.attempt += 1
        request.in_flight.add(request.attempt)
        event = AttemptRequested(
            request=request.number,
            attempt=request.attempt,
            key=request.key,
            request_digest="p",
            zone=f"p{request.place}",
            cell=-1,
            executing_since=self.now,
            expires_at=self.now + self.scenario.retention,
            deadline=self.now + self.scenario.patience // 2,
            may_retry=not request.once,
        )
        self.send_claim_event(node, event)

    def _is_forgotten(self, earlier: EarlierExecution) -> bool:
        """Whether endpoints may have forgotten an execution before this request ends."""
        return self.now + self.scenario.patience > earlier.since + self.scenario.window

    def _end(self, node: GatewayNode, request: SimulatedRequest) -> None:
        if node.requests.pop(request.number, None) is not None:
            in_flight = frozenset(request.in_flight)
            event = RequestEnded(request.number, request.executed, in_flight, self.now + 2 * S)
            self.send_claim_event(node, event)

    def send_claim_event(self, node: GatewayNode, event: claim_events.Event) -> None:
        """Give an event to a gateway's claims, and carry out what follows."""
        for action in node.claims.handle(self.now, event):
            if isinstance(action, SendToPrimary):
                self._send_to_primary(node, action)
                continue
            request = node.requests.get(action.request)
            if request is not None:
                self._carry_out_claim_action(node, request, action)

    def _carry_out_claim_action(
        self, node: GatewayNode, request: SimulatedRequest, action: claim_events.Action
    ) -> None:
        match action:
            case ReleaseAttempt():
                execute = self._execution(node, request, request.attempt, request.place)
                self.after(self.draw.randint(5 * MS, self.scenario.work), self._on(node, execute))
            case ReturnAttempt(_, attempt):
                request.in_flight.discard(attempt)
                if request.earlier is not None:
                    self.after(MS, self._on(node, lambda: self._retry(node, request)))
            case ReportEarlierExecution(_, zone, _, since):
                request.earlier = EarlierExecution(int(zone[1:]), since)
                self.checker.taken_over += 1
            case DeliverAnswer(_, answer):
                self.checker.answered(self.now, request.key, answer)
                self._reply(node, request, answer)
                self._end(node, request)
            case AbandonRequest() | WithholdAnswer():
                self._end(node, request)

    def _retry(self, node: GatewayNode, request: SimulatedRequest) -> None:
        if request.number in node.requests:
            self._start_attempt(node, request)

    # Messages to primaries

    def _send_to_primary(self, node: GatewayNode, action: SendToPrimary) -> None:
        self._ticket_count += 1
        ticket = self._ticket_count
        primary = self.gateways[action.host]
        self._askers[ticket] = (node, action.number, node.run)
        event: replica_events.Event
        if action.completes:
            event = CompletionRequested(ticket, action.record, self.now)
        else:
            event = ClaimRequested(ticket, action.record, self.now, action.previous_owner)
        self._deliver(node, primary, lambda: self.send_event(primary, event))

    def on_outcome(
        self,
        primary: GatewayNode,
        ticket: int,
        outcome: ClaimOutcome,
        record: IdempotencyRecord | None = None,
        reason: str = "",
        hint: str = "",
    ) -> None:
        """Send the answer back, to the run of the gateway that has asked."""
        if ticket not in self._askers:
            return
        node, number, run = self._askers[ticket]
        reply = PrimaryReplied(number, outcome, record, reason, hint)

        def arrive() -> None:
            if node.run == run:
                self.send_claim_event(node, reply)

        self._deliver(primary, node, arrive)

    # Endpoints

    def _execution(
        self, node: GatewayNode, request: SimulatedRequest, attempt: int, place: int
    ) -> Callable[[], None]:
        return lambda: self._execute(node, request, attempt, place)

    def _execute(self, node: GatewayNode, request: SimulatedRequest, attempt: int, place: int) -> None:
        """An endpoint executes an attempt, or says that it has not, or its answer is lost."""
        if self.now > request.asked_at + self.scenario.patience:  # nothing leaves after the client's time
            request.in_flight.discard(attempt)
            self._end(node, request)
            return
        if self.draw.random() < self.scenario.unrun:
            self._fail_unexecuted(node, request, attempt)
            return
        answer = self.checker.execute(self.now, request.key, place)
        request.executed = True
        if self.draw.random() < self.scenario.mute:
            self._lose_answer(node, request, attempt)
            return
        delay = self.draw.randint(MS, self.scenario.work // 2)
        self.after(delay, self._on(node, lambda: self._on_answer(node, request, attempt, answer)))

    def _fail_unexecuted(self, node: GatewayNode, request: SimulatedRequest, attempt: int) -> None:
        request.in_flight.discard(attempt)
        if not request.executed:
            request.place = self.draw.randrange(self.scenario.places)
        if self.draw.random() < RETRY_RATIO and request.attempt < MAX_ATTEMPT:
            self._start_attempt(node, request)
        else:
            self._end(node, request)

    def _lose_answer(self, node: GatewayNode, request: SimulatedRequest, attempt: int) -> None:
        request.in_flight.discard(attempt)
        if request.once or self.draw.random() < 1 - RETRY_RATIO:
            self._end(node, request)
        else:
            self._start_attempt(node, request)

    def _on_answer(self, node: GatewayNode, request: SimulatedRequest, attempt: int, answer: bytes) -> None:
        request.in_flight.discard(attempt)
        if request.number in node.requests:
            deadline = request.asked_at + self.scenario.patience
            self.send_claim_event(node, EndpointAnswered(request.number, answer, deadline))
