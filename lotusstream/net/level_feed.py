"""Sends resource usage of the gateway to the level controller, and logs level changes."""

from __future__ import annotations

import asyncio
import time

from lotusstream.levels.controller import LevelController
from lotusstream.levels.history import ChangeCause, LevelChange
from lotusstream.levels.messages import GatewayHealthMeasured
from lotusstream.net.actor import Supervisor
from lotusstream.net.connection import US_PER_S
from lotusstream.net.decider import Decider
from lotusstream.net.decider_messages import BatchDue, SubsystemEvent
from lotusstream.observe.own import ProcessUsage, ProcessUsageReader

# Time between two batches if the operator file has no ladder; with one, the evaluation interval is used.
BATCH_INTERVAL_S = 0.25
OWN_USE_INTERVAL_S = 1.0  # time between two readings of the process's resource usage


class ResourceUsageSampler:
    """Reads the resource usage of the gateway's process at most once in OWN_USE_INTERVAL_S. CPU usage is a
    mean since the last reading, and fluctuates too much over a shorter time."""

    def __init__(self, reader: ProcessUsageReader) -> None:
        self._reader = reader
        self._sampled_at = 0.0  # time of the last reading, monotonic seconds
        self._sample: ProcessUsage | None = None

    def sample(self) -> ProcessUsage:
        """Returns the last reading, or a new one if the last is older than OWN_USE_INTERVAL_S."""
        now = time.monotonic()
        if self._sample is None or now - self._sampled_at >= OWN_USE_INTERVAL_S:
            self._sampled_at = now
            self._sample = self._reader.read()
        return self._sample


class LevelFeed:
    """Posts the gateway's resource usage to the decider once in an evaluation interval. If the operator
    file has no ladder, it posts empty batches instead, so that migrations advance while no requests are
    received."""

    def __init__(
        self,
        levels: LevelController | None,
        decider: Decider,
        own_use: ResourceUsageSampler,
        supervisor: Supervisor,
    ) -> None:
        self._levels = levels
        self._decider = decider
        self._own_use = own_use
        self._supervisor = supervisor
        self._logged_count = 0  # number of level changes that have been logged

    async def run(self) -> None:
        """Runs until cancelled. Measures a stall of the event loop as the time that a sleep takes longer than
        requested."""
        interval = self._levels.evaluation_interval / US_PER_S if self._levels else BATCH_INTERVAL_S
        while True:
            sleep_started_at = time.monotonic()
            await asyncio.sleep(interval)
            stall = int((time.monotonic() - sleep_started_at - interval) * US_PER_S)
            if self._levels is None:
                self._decider.post(BatchDue())
                continue
            usage = self._own_use.sample()
            health = GatewayHealthMeasured(usage.core, usage.memory, usage.descriptors, max(0, stall))
            self._decider.post(SubsystemEvent(health))
            self._log_changes_and_failure(self._levels)

    def _log_changes_and_failure(self, levels: LevelController) -> None:
        """Logs and counts the level changes since the last call. Logs an exception of the controller once."""
        new_count = levels.history.count - self._logged_count
        self._logged_count = levels.history.count
        changes = list(levels.history)
        for change in changes[len(changes) - min(new_count, len(changes)) :]:
            self._supervisor.counters.add("level changes")
            self._log_change(change)
        if levels.error is not None:
            self._supervisor.record_failure("level controller", levels.error)
            levels.error = None

    def _log_change(self, change: LevelChange) -> None:
        by_signals = change.cause in (ChangeCause.SIGNALS, ChangeCause.LOST_CORES)
        severity = "warning" if change.level_number > 0 and by_signals else "info"
        self._supervisor.log.write(
            "level",
            str(change),
            severity,
            level=change.target,
            before=change.source,
            cause=change.cause.value,
            condition=change.condition,
            signals={reading.signal: reading.text for reading in change.readings},
            ends_when=change.ends_when,
        )
