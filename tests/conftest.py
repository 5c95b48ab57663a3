"""Shared fixtures: a host that runs the decision module on a simulated clock, and a gateway process among
stand-ins for its peers."""

from __future__ import annotations

import asyncio
import json
import math
import re
import signal
import sys
from collections.abc import AsyncIterator
from dataclasses import replace
from pathlib import Path

import pytest
from failure_report import pytest_runtest_makereport
from hypothesis import settings as hypothesis_settings
from known_red import pytest_collection_modifyitems, pytest_terminal_summary

from lotusstream import interface as api
from lotusstream.lab.stand_ins import (
    CALL_IDS,
    WAIT_TIMEOUT_S,
    Call,
    EventLog,
    HttpStandIn,
    RequestFailedError,
    StandInClient,
    StandInDiscovery,
    StandInEndpoint,
    http_answer,
)
from lotusstream.policy import Gateway

__all__ = [
    "CALL_IDS",
    "WAIT_TIMEOUT_S",
    "Call",
    "HttpStandIn",
    "RequestFailedError",
    "StandInClient",
    "http_answer",
    "pytest_collection_modifyitems",
    "pytest_runtest_makereport",
    "pytest_terminal_summary",
]  # fmt: skip

hypothesis_settings.register_profile("same", derandomize=True, deadline=None, database=None)
hypothesis_settings.load_profile("same")  # derandomized: each run draws the same examples

MS, S = 1_000, 1_000_000

LOOKUP = api.Profile(S, 0.0, 6 * S, 1.0, 0.1, api.Idempotency.IDEMPOTENT, api.DeduplicationScope.ALL, 0,
                     False, None, None, False, True, 1)  # fmt: skip
LOAD = replace(
    LOOKUP, latency_objective=3 * S, client_timeout=25 * S, is_load=True, waits_for_loads=False, threads=2
)
NOT_IDEMPOTENT = replace(LOAD, idempotency=api.Idempotency.NOT_IDEMPOTENT, ordered_by_key=True)
WITH_IDEMPOTENCY_KEY = replace(
    LOAD,
    idempotency=api.Idempotency.IDEMPOTENT_WITH_KEY,
    deduplication_scope=api.DeduplicationScope.ZONE,
    deduplication_window=5 * S,
)
RESTRICTED = replace(LOOKUP, kinds=frozenset({1}))
PROFILES = (LOOKUP, LOAD, NOT_IDEMPOTENT, WITH_IDEMPOTENCY_KEY, RESTRICTED)


class PolicyHost:
    """Runs the decision module of one gateway. `now` is its clock, in microseconds, and `actions` holds all
    that the module has returned. `changes` override fields of GatewayStarted or of its rule limits."""

    def __init__(self, **changes: object) -> None:
        rule_limits = api.RuleLimits(20 * MS, 0.3, 15 * S, 3.0, S, 300 * MS, math.inf, 0.0, 0, 10 * S)
        capabilities = api.Capabilities(4, True, True, False, False, True, 500 * MS, False)
        start = api.GatewayStarted(
            7,
            1,
            5 * MS,
            PROFILES,
            (api.EndpointKind(8.0, 0.0), api.EndpointKind(8.0, 0.0)),
            1.0,
            0,
            False,
            capabilities,
            rule_limits,
        )
        limit_changes = {key: value for key, value in changes.items() if hasattr(rule_limits, key)}
        other_changes = {key: value for key, value in changes.items() if not hasattr(rule_limits, key)}
        self.now, self.latest_id, self.gateway = S, 100, Gateway()
        self.actions: list[api.Action] = []
        self.handle(replace(start, rule_limits=replace(rule_limits, **limit_changes), **other_changes))

    def handle(self, *events: api.Event) -> list[api.Action]:
        """Handles the events as one batch. Returns its actions, without timers and resource settings."""
        actions = [a for event in (*events, api.BatchEnded()) for a in self.gateway.handle(self.now, event)]
        self.actions += actions
        return [action for action in actions if not isinstance(action, api.SetTimer | api.SetResources)]

    def list_endpoints(
        self, *entries: api.EndpointEntry, kind: api.EndpointListKind = api.EndpointListKind.SNAPSHOT
    ) -> list[api.Action]:
        return self.handle(api.EndpointListReceived(kind, entries))

    def receive(self, profile: int = 0, group: int = 1, key: int | None = None, timeout: int | None = None,
             hint: int | None = 200 * MS) -> int:  # fmt: skip
        """Receives a request and returns its id. `hint`: the client's estimate of the work, thread
        microseconds; None: no estimate."""
        self.latest_id += 1
        limit = timeout or PROFILES[profile].client_timeout
        self.handle(api.RequestReceived(self.latest_id, profile, hint, None, limit, group, key))
        return self.latest_id

    def end_attempt(self, request_id: int, outcome: api.Outcome, after: int = 200 * MS,
            endpoint_responded: bool = False) -> list[api.Action]:  # fmt: skip
        """Ends the request's latest attempt `after` microseconds from now. Timers due by then fire first."""
        self.pass_time(after)
        attempts = self.attempts(request_id)
        request_finished = outcome is api.Outcome.ANSWERED
        return self.handle(
            api.AttemptEnded(
                request_id,
                len(attempts) - 1,
                attempts[-1].endpoint_id,
                outcome,
                after,
                request_finished,
                None,
                None,
                None,
                endpoint_responded or outcome in api.REPORTED_BY_ENDPOINT,
            )
        )

    def pass_time(self, span: int) -> list[api.Action]:
        """Moves the clock by `span` microseconds, fires the timers due, and returns the new actions."""
        end, seen = self.now + span, len(self.actions)
        while due := [a.at for a in self.actions if isinstance(a, api.SetTimer) and self.now < a.at <= end]:
            self.now = min(due)
            self.handle(api.TimerFired(self.now))
        self.now = end
        return self.actions[seen:]

    def attempts(self, request_id: int | None = None) -> list[api.StartAttempt]:
        """Returns the attempts started: those of one request, or all if None."""
        return [
            a for a in self.actions if isinstance(a, api.StartAttempt) and request_id in (None, a.request_id)
        ]

    def final_answers(self, request_id: int) -> list[api.Action]:
        """Returns the actions that reject or fail the request."""
        return [
            a
            for a in self.actions
            if isinstance(a, api.RejectRequest | api.FailRequest) and a.request_id == request_id
        ]


def endpoint_entry(number: int, **changes: object) -> api.EndpointEntry:
    """Returns the list entry of a ready endpoint. Its id is six bytes, each of which is the number."""
    return replace(api.EndpointEntry(bytes([number] * 6), api.EndpointStatus.READY, 0, 0, 0, 0), **changes)


@pytest.fixture
def host() -> PolicyHost:
    """A gateway with three ready endpoints."""
    policy_host = PolicyHost()
    policy_host.list_endpoints(endpoint_entry(1), endpoint_entry(2), endpoint_entry(3))
    return policy_host


def settings() -> dict[str, object]:
    """Returns the `settings` of a gateway's configuration, with three profiles."""

    def profile(name: str, effect: str) -> dict[str, object]:
        return {"name": name, "aim": 2 * S, "deadline": 6 * S, "effect": effect, "gain": 1.0, "group": "all",
                "window": 15 * S}  # fmt: skip

    return {
        "flavors": ["std"], "zones": ["here"], "n_instances": 1, "period": 1000, "not known": [],
        "limits": {"cancelling": True, "second_copies": True, "conn_idle": 30 * S, "max_attempts": 5,
                   "connect_timeout": 250 * MS, "max_open": 20000, "retry_after": True,
                   "max_retry_after": 500 * MS},
        "rules": {"cold_from": 0.3, "warm_up": 15 * S, "fall_multiple": 4.0, "overload_for": S,
                  "drain_grace": 2 * S},
        "specifics": {"cpu_of_kind": [8], "threads_by_class": [1, 2, 2],
                      "writes_tables": [False, True, False], "class_waits": [True, False, True],
                      "ranks_heeded": True},
        "request_classes": [profile("lookup", "repeatable"), profile("load", "by_key"),
                            profile("booking", "once")],
    }  # fmt: skip


class World:
    """A gateway process, started by its command line, with stand-ins for discovery, endpoints and clients.

    `log` holds the lines that the process has written to stderr. `operator` is the operator file, or None.
    """

    def __init__(self, folder: Path) -> None:
        self.folder, self.discovery, self.endpoints = folder, StandInDiscovery(), [StandInEndpoint("s-1")]
        self.limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
        self.settings = settings()
        self.log = EventLog()
        self.clients: list[StandInClient] = []
        self.program: asyncio.subprocess.Process | None = None
        self.operator: Path | None = None

    def write_operator_file(self, text: str) -> Path:
        """Writes the operator file. The gateway reads it when it starts, or at the next SIGHUP."""
        self.operator = self.folder / "operator.conf"
        self.operator.write_text(text)
        return self.operator

    async def start(self, *uids: str) -> StandInClient:
        """Starts discovery, the endpoint s-1, one more for each uid, and the gateway. Returns a client."""
        self.endpoints += [StandInEndpoint(uid) for uid in uids]
        for stand_in in (self.discovery, *self.endpoints):
            await stand_in.start()
        self.discovery.publish(*(endpoint.entry() for endpoint in self.endpoints), whole=True)
        await self.run()
        return await self.client()

    def configure(self, port: int = 0, **changes: object) -> Path:
        """Writes the configuration file. `changes` override its keys; port 0 means any free port."""
        configuration: dict[str, object] = {
            "name": "n0",
            "listen": f"127.0.0.1:{port}",
            "seed": "8c1f30d27a5be964",
            "limits": self.limits,
            "board": f"127.0.0.1:{self.discovery.port}",
            "known": self.discovery.full_state(),
            "settings": self.settings,
        }
        path = self.folder / "config.json"
        path.write_text(json.dumps(configuration | changes))
        return path

    async def run(self, port: int = 0) -> None:
        """Starts the gateway process, and waits until it listens."""
        path = self.configure(port)
        arguments = ["-m", "lotusstream", "serve", "--config", str(path)]
        arguments += ["--operator", str(self.operator)] if self.operator else []
        starts = sum("listening" in line for line in self.log.items)
        self.program = await asyncio.create_subprocess_exec(
            sys.executable, *arguments, stderr=asyncio.subprocess.PIPE
        )
        self._reading = asyncio.create_task(self._read(self.program))
        line = await self.log.until(lambda line: "listening" in line, starts + 1)
        address = re.search(r"on 127\.0\.0\.1:(\d+)", line)
        assert address is not None, line
        self.port = int(address[1])

    async def _read(self, program: asyncio.subprocess.Process) -> None:
        assert program.stderr is not None
        async for line in program.stderr:
            self.log.add(line.decode().rstrip())

    async def client(self) -> StandInClient:
        self.clients.append(await StandInClient().connect(self.port))
        return self.clients[-1]

    async def chosen_endpoint(self) -> StandInEndpoint:
        """Waits until an endpoint receives an attempt, and returns the endpoint."""
        waits = [asyncio.create_task(endpoint.calls.until(lambda call: call.method == "POST"))
                 for endpoint in self.endpoints]  # fmt: skip
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()
        return next(endpoint for endpoint in self.endpoints if endpoint.posts())

    async def counters(self) -> dict[str, int]:
        """Returns the gateway's counters, which it prints on SIGUSR1, without the maxima."""
        assert self.program is not None
        seen = len(self.log.items)
        self.program.send_signal(signal.SIGUSR1)
        await self.log.until(lambda line: line == "counters end", 1 + self.log.items.count("counters end"))
        lines = [line.rpartition(" ") for line in self.log.items[seen:] if not line.endswith("at most")]
        return {name: int(count) for name, _, count in lines if count.isdigit()}

    async def wait_for_exit(self) -> int:
        """Waits until the gateway process has ended and all its lines are read; returns its exit status."""
        assert self.program is not None
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            status = await self.program.wait()
            await self._reading
        return status

    async def close(self) -> None:
        """Kills the gateway if it still runs, and stops clients and stand-ins."""
        for client in self.clients:
            client.writer.transport.abort()
            client._task.cancel()
        if self.program is not None and self.program.returncode is None:
            self.program.kill()
            await self.wait_for_exit()
        for stand_in in (self.discovery, *self.endpoints):
            stand_in.close()


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[World]:
    """A World. The test fails if the gateway logged a traceback or a broken invariant."""
    tested = World(tmp_path)
    yield tested
    await tested.close()
    failed = [line for line in tested.log.items if "Traceback" in line or "broken invariant" in line]
    assert not failed, "\n".join(tested.log.items)
