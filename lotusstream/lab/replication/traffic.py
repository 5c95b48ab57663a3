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
from lotusstream.lab.replication.scenario import (
    SINGLE_EXECUTION_KEY_SUFFIX,
    UNKNOWN_ANSWER,
    ReplicationScenario,
)
from lotusstream.lab.world import MS, S

REPLY_TIMEOUT_US = 300 * MS  # time that a gateway waits for the reply of a primary
RETRY_PAUSE_US = 40 * MS  # time after a primary's refusal until the gateway asks again
MAX_CLIENT_SENDS = 6  # largest number of times that a client sends one request
LAST_ATTEMPT_NUMBER = 3  # number of the last attempt of a request at one gateway; the first one is 0
RETRY_PROBABILITY = 0.5  # probability that a failed attempt is followed by another one


class RequestTraffic(ReplicaCluster):
    """A cluster with clients.

    Random numbers are drawn in the order of events: a seed gives the same run each time.
    """

    def __init__(self, seed: int, scenario: ReplicationScenario) -> None:
        super().__init__(seed, scenario)
        self._ticket_count = 0  # number of claims and completions sent so far
        self._request_count = 0  # number of requests that have arrived at gateways
        # by ticket: the gateway that sent the claim or completion, the number of its action, and the number
        # of the process run that sent it
        self._ticket_senders: dict[int, tuple[GatewayNode, int, int]] = {}
        names = [f"c{index}" for index in range(scenario.clients)]
        self.clients = {name: ClientNode(name, self.rng, 0.0) for name in names}

    # Clients

    def start_next_request(self, client: ClientNode) -> None:
        """Send a new request, or repeat the last one."""
        is_repeat = client.key and self.rng.random() < self.scenario.repeat_probability
        if is_repeat:
            self.checker.repeat_count += 1
        else:
            client.number += 1
            client.key = f"{client.name}-{client.number}"
            if self.rng.random() < self.scenario.single_execution_probability:
                client.key += SINGLE_EXECUTION_KEY_SUFFIX
        client.answer = b""
        client.send_count = 0
        self._try_gateway(client)

    def _try_gateway(self, client: ClientNode) -> None:
        """Send the client's request to a random gateway, and to another one after a timeout."""
        gateway = self.rng.choice(list(self.gateways.values()))
        client.send_count += 1
        key, send_count = client.key, client.send_count
        self._deliver(client, gateway, lambda: self._accept(gateway, key, client.name))
        self.schedule_after(
            self.scenario.client_timeout_us, lambda: self._on_client_timeout(client, key, send_count)
        )

    def _on_client_timeout(self, client: ClientNode, key: str, send_count: int) -> None:
        if (client.key, client.send_count) != (key, send_count) or client.answer:
            return
        if send_count < MAX_CLIENT_SENDS:
            self._try_gateway(client)
        else:
            self.start_next_request(client)

    def _reply(self, node: GatewayNode, request: SimulatedRequest, answer: bytes) -> None:
        """Send an answer to the client, which then waits and sends its next request."""
        client = self.clients[request.client]

        def arrive() -> None:
            if client.key == request.key and not client.answer:
                client.answer = answer
                pause = self.rng.randint(10 * MS, 300 * MS)
                self.schedule_after(pause, lambda: self.start_next_request(client))

        self._deliver(node, client, arrive)

    # Requests at a gateway

    def start_claims(self, node: GatewayNode) -> None:
        """Start a gateway's claim coordinator. Requests from before a restart are lost."""
        options = self.scenario.replication
        node.requests = {}
        hosts = [
            ReplicaHost(ReplicaId(f"g{index}", ""), f"g{index}", self.zone_of(index))
            for index in range(self.scenario.gateways)
        ]
        claim_options = ClaimOptions(
            options.shard_count, options.replica_count, REPLY_TIMEOUT_US, RETRY_PAUSE_US
        )
        node.claims = ClaimCoordinator(node.replicas.session, hosts, claim_options)

    def _accept(self, node: GatewayNode, key: str, client: str) -> None:
        """Handle a request that arrives at a gateway."""
        self._request_count += 1
        request = SimulatedRequest(self._request_count, key, client, self.now)
        node.requests[request.number] = request
        request.endpoint_zone = self.rng.randrange(self.scenario.endpoint_zones)
        self._start_attempt(node, request)

    def _start_attempt(self, node: GatewayNode, request: SimulatedRequest) -> None:
        """Start an attempt as the decision module would.

        A request that may have been executed goes to the same endpoint zone, and only while its endpoints
        remember it.
        """
        earlier = request.earlier
        if earlier is not None and (request.is_single_execution or self._is_forgotten(earlier)):
            self.checker.check_unknown(request.key, request.asked_at)
            self._reply(node, request, UNKNOWN_ANSWER)
            self._end(node, request)
            return
        if earlier is not None:
            request.endpoint_zone = earlier.endpoint_zone
        request.attempt += 1
        request.in_flight.add(request.attempt)
        event = AttemptRequested(
            request=request.number,
            attempt=request.attempt,
            key=request.key,
            request_digest="p",
            zone=f"p{request.endpoint_zone}",
            cell=-1,
            executing_since=self.now,
            expires_at=self.now + self.scenario.retention_us,
            deadline=self.now + self.scenario.client_timeout_us // 2,
            may_retry=not request.is_single_execution,
        )
        self.send_claim_event(node, event)

    def _is_forgotten(self, earlier: EarlierExecution) -> bool:
        """Whether endpoints may forget an execution before this request ends."""
        return (
            self.now + self.scenario.client_timeout_us > earlier.since + self.scenario.deduplication_window_us
        )

    def _end(self, node: GatewayNode, request: SimulatedRequest) -> None:
        if node.requests.pop(request.number, None) is not None:
            in_flight = frozenset(request.in_flight)
            event = RequestEnded(request.number, request.executed, in_flight, self.now + 2 * S)
            self.send_claim_event(node, event)

    def send_claim_event(self, node: GatewayNode, event: claim_events.Event) -> None:
        """Give an event to a gateway's claims and carry out the resulting actions."""
        for action in node.claims.handle(self.now, event):
            if isinstance(action, SendToPrimary):
                self._send_to_primary(node, action)
                continue
            request = node.requests.get(action.request)
            if request is not None:
                self._execute_claim_action(node, request, action)

    def _execute_claim_action(
        self, node: GatewayNode, request: SimulatedRequest, action: claim_events.Action
    ) -> None:
        match action:
            case ReleaseAttempt():
                execute = self._execution(node, request, request.attempt, request.endpoint_zone)
                self.schedule_after(
                    self.rng.randint(5 * MS, self.scenario.max_attempt_us), self._in_this_run(node, execute)
                )
            case ReturnAttempt(_, attempt):
                request.in_flight.discard(attempt)
                if request.earlier is not None:
                    self.schedule_after(MS, self._in_this_run(node, lambda: self._retry(node, request)))
            case ReportEarlierExecution(_, zone, _, since):
                request.earlier = EarlierExecution(int(zone[1:]), since)
                self.checker.taken_over_count += 1
            case DeliverAnswer(_, answer):
                self.checker.check_answer(self.now, request.key, answer)
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
        self._ticket_senders[ticket] = (node, action.number, node.run_number)
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
        """Send the outcome to the gateway that asked; one that has restarted since does not get it."""
        if ticket not in self._ticket_senders:
            return
        node, number, run = self._ticket_senders[ticket]
        reply = PrimaryReplied(number, outcome, record, reason, hint)

        def arrive() -> None:
            if node.run_number == run:
                self.send_claim_event(node, reply)

        self._deliver(primary, node, arrive)

    # Endpoints

    def _execution(
        self, node: GatewayNode, request: SimulatedRequest, attempt: int, endpoint_zone: int
    ) -> Callable[[], None]:
        return lambda: self._execute(node, request, attempt, endpoint_zone)

    def _execute(
        self, node: GatewayNode, request: SimulatedRequest, attempt: int, endpoint_zone: int
    ) -> None:
        """Execute an attempt, fail it without execution, or lose its answer, at random."""
        # the client has timed out: no attempt is sent any more
        if self.now > request.asked_at + self.scenario.client_timeout_us:
            request.in_flight.discard(attempt)
            self._end(node, request)
            return
        if self.rng.random() < self.scenario.unexecuted_probability:
            self._fail_unexecuted(node, request, attempt)
            return
        answer = self.checker.execute(self.now, request.key, endpoint_zone)
        request.executed = True
        if self.rng.random() < self.scenario.lost_answer_probability:
            self._lose_answer(node, request, attempt)
            return
        delay = self.rng.randint(MS, self.scenario.max_attempt_us // 2)
        self.schedule_after(
            delay, self._in_this_run(node, lambda: self._on_answer(node, request, attempt, answer))
        )

    def _fail_unexecuted(self, node: GatewayNode, request: SimulatedRequest, attempt: int) -> None:
        """End an attempt that was not executed, and maybe retry it.

        The retry may go to another endpoint zone, unless an earlier attempt was executed.
        """
        request.in_flight.discard(attempt)
        if not request.executed:
            request.endpoint_zone = self.rng.randrange(self.scenario.endpoint_zones)
        if self.rng.random() < RETRY_PROBABILITY and request.attempt < LAST_ATTEMPT_NUMBER:
            self._start_attempt(node, request)
        else:
            self._end(node, request)

    def _lose_answer(self, node: GatewayNode, request: SimulatedRequest, attempt: int) -> None:
        """End an attempt whose answer is lost; retry it only if the request may run more than once."""
        request.in_flight.discard(attempt)
        if request.is_single_execution or self.rng.random() < 1 - RETRY_PROBABILITY:
            self._end(node, request)
        else:
            self._start_attempt(node, request)

    def _on_answer(self, node: GatewayNode, request: SimulatedRequest, attempt: int, answer: bytes) -> None:
        request.in_flight.discard(attempt)
        if request.number in node.requests:
            deadline = request.asked_at + self.scenario.client_timeout_us
            self.send_claim_event(node, EndpointAnswered(request.number, answer, deadline))
