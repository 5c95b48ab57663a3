"""Builds the view of open requests and endpoints that control requests return."""

from __future__ import annotations

from collections.abc import Iterable

from lotusstream import interface as api
from lotusstream.deployment import Deployment
from lotusstream.net.decider_messages import OpenRequestView, OperatorView
from lotusstream.net.endpoint_registry import EndpointRegistry
from lotusstream.net.open_requests import OpenRequest


def operator_view(
    now: int,
    snapshot: api.GatewaySnapshot,
    requests: Iterable[OpenRequest],
    endpoints: EndpointRegistry,
    deployment: Deployment,
) -> OperatorView:
    """Returns the open requests, and the state of the endpoints.

    :param now: microseconds
    :param snapshot: state of the decision module
    :param requests: all open requests
    :param endpoints: the endpoints, for their addresses
    :param deployment: names of profiles and endpoint kinds
    """
    views = tuple(_request_view(now, request, deployment) for request in requests)
    return OperatorView(now, snapshot, views, endpoints.addresses(), deployment.kinds)


def _request_view(now: int, request: OpenRequest, deployment: Deployment) -> OpenRequestView:
    received = request.received
    actors = [request.attempts[attempt] for attempt in sorted(request.in_flight)]
    return OpenRequestView(
        command=request.request_id,
        call=received.fields.call_id,
        profile=deployment.profiles[received.fields.profile],
        group=received.group,
        age=now - (received.deadline - received.fields.time_left),
        left=received.deadline - now,
        sends=len(request.attempts),
        engines=tuple(actor.endpoint_id.decode("latin-1") for actor in actors if actor is not None),
    )
