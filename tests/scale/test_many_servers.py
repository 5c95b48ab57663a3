"""The incident of thousands of servers, on a real process: see docs/incidents/many-servers.md."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from lotusstream.lab.scale.checker import broken_rules
from lotusstream.lab.scale.rig import Plan, Rig

RELEASE_STEP = 1.4  # seconds


async def release(rig: Rig, steps: int) -> None:
    """A seventh of the servers drains in each step."""
    servers = list(rig.fleet.servers.values())
    size = len(servers) // 7
    for step in range(steps):
        await asyncio.sleep(RELEASE_STEP)
        rig.drain(servers[step * size : (step + 1) * size])


async def test_a_gateway_among_thousands_of_endpoints_answers_and_follows_their_drains(
    tmp_path: Path,
) -> None:
    """Thousands of endpoints are listed, and two sevenths of them drain while requests run. No rule is
    broken."""
    rig = Rig(Plan(servers=3200, rate=40, seconds=6, leaves=0.1), tmp_path)
    try:
        await rig.start()
        releasing = asyncio.create_task(release(rig, 2))
        history = await rig.run()
        await releasing
        assert not broken_rules(history)
        assert sum(each.served for each in history.outcomes) > 0.8 * len(history.outcomes)
    finally:
        await rig.stop()


@pytest.mark.parametrize(
    ("planted", "rule"),
    [
        ("late-drain", "drain"),
        ("dropped-answer", "lost"),
        ("ignored-departure", "lost"),
        ("long-deadline", "deadline"),
    ],
)
async def test_the_checker_catches_what_is_planted(tmp_path: Path, planted: str, rule: str) -> None:
    """The gateway runs with a planted defect. The checker must find the rule that it breaks, or finding
    none elsewhere would prove nothing."""
    rig = Rig(Plan(servers=70, rate=60, seconds=6, leaves=0.3, work=0.3, planted=planted), tmp_path)
    try:
        await rig.start()
        for server in [*rig.fleet.servers.values()][::3]:
            server.silent = planted == "ignored-departure"  # requests are sent again after their client left
        releasing = asyncio.create_task(release(rig, 2))
        history = await rig.run()
        await releasing
        assert rule in {each.rule for each in broken_rules(history)}
    finally:
        await rig.stop()


async def test_a_gateway_whose_core_runs_out_refuses_in_time_and_goes_on_serving(tmp_path: Path) -> None:
    """Each choice takes 4 ms of processor time, and three times as many requests come as can be decided."""
    served = {}
    for rate in (150, 500):
        plan = Plan(servers=300, rate=rate, seconds=5, work=0.1, cores=4, planted="slow-core")
        rig = Rig(plan, tmp_path)
        try:
            await rig.start()
            history = await rig.run()
            assert not broken_rules(history)
            served[rate] = sum(each.served for each in history.outcomes)
        finally:
            await rig.stop()
    assert served[500] > 0.8 * served[150]
