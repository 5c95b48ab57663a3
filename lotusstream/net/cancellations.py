"""The cancellations of attempts at one endpoint, until the endpoint has accepted them."""

from __future__ import annotations

import asyncio

from lotusstream.net.connection import US_PER_S
from lotusstream.net.control_calls import CallFailure, ControlCalls
from lotusstream.net.running_attempt import EndpointContext, RunningAttempt
from lotusstream.protocol import http

MAX_TRIES_AT_ONCE = 3  # of a cancellation whose connection broke, before it waits for its turn
REPEATED_CALL_TIMEOUT_US = 2 * http.CALL_TIMEOUT_US  # longer, as each call waits in the endpoint's queue


class Cancellations:
    """Cancels attempts, and goes on doing so as long as the endpoint may still begin one.

    An endpoint whose process hangs reads what its system has received meanwhile when it goes on, also from
    connections that were reset. It then begins an attempt that was given up long before, after the other
    endpoints have forgotten its key, unless it reads a cancellation as well. A cancellation that it reads
    before the attempt has no effect.

    What the endpoint has not accepted is repeated one call at a time, in turn, so that a hanging endpoint
    takes one connection and not one for each attempt. Once the endpoint responds to any call, it goes on, and
    all cancellations follow at once.
    """

    def __init__(self, context: EndpointContext, calls: ControlCalls) -> None:
        self._context = context
        self._calls = calls
        self._clock = context.clock
        # By an attempt's id at the endpoint: until when the endpoint may begin it, microseconds.
        self._open: dict[str, int] = {}
        self._repeated: dict[str, None] = {}  # ids of the attempts whose cancellation is repeated, in turn
        self._task: asyncio.Task[None] | None = None  # repeats cancellations; None: there is none to repeat
        self._repeat_all_at = 0  # earliest time for the next repetition of all of them, microseconds

    @property
    def has_repeated(self) -> bool:
        """Whether a cancellation is being repeated."""
        return bool(self._repeated)

    def is_open(self, call_id: str) -> bool:
        """Whether the endpoint may still begin a cancelled attempt with this id."""
        return self._open.get(call_id, 0) > self._clock.now()

    async def cancel(self, attempt: RunningAttempt) -> bool:
        """Cancels an attempt that may have been sent. Returns whether the endpoint has accepted that; if not,
        the cancellation is repeated in the background. Has no effect if the endpoint's process has ended."""
        if attempt.is_orphaned:
            return False
        call_id = attempt.start.call_id
        self._open[call_id] = self._clock.now() + http.HELD_CALL_US
        fresh = attempt.needs_new_connection or not self._context.allows_hedging
        failure = await self._delete(call_id, fresh, http.CALL_TIMEOUT_US)
        if failure is None or failure is CallFailure.REFUSED:
            self._open.pop(call_id, None)
        else:
            self._repeat(call_id)
        return failure is None

    def on_response(self) -> None:
        """Repeats all cancellations that the endpoint has not accepted, since it has responded to a call."""
        if not self._repeated or self._clock.now() < self._repeat_all_at:
            return
        self._repeat_all_at = self._clock.now() + http.CALL_TIMEOUT_US
        for call_id in self._repeated:
            self._context.supervisor.start(f"{self._context.name} cancel", self._try(call_id))

    def clear(self) -> None:
        """Forgets all attempts: the endpoint's process has ended."""
        self._open.clear()
        self._repeated.clear()
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def _repeat(self, call_id: str) -> None:
        if call_id in self._repeated:
            return
        self._context.supervisor.counters.add("cancellations repeated")
        self._repeated[call_id] = None
        if self._task is None:
            self._task = self._context.supervisor.start(f"{self._context.name} cancel", self._run())

    async def _run(self) -> None:
        while self._repeated:
            call_id = next(iter(self._repeated))
            self._repeated[call_id] = self._repeated.pop(call_id)
            began = self._clock.now()
            if not self.is_open(call_id):
                self._forget(call_id)
                continue
            await self._try(call_id, REPEATED_CALL_TIMEOUT_US)
            if call_id not in self._repeated:
                self.on_response()
                continue
            pause = began + self._context.pool.connect_timeout - self._clock.now()
            await asyncio.sleep(max(0, pause) / US_PER_S)
        self._task = None

    async def _try(self, call_id: str, timeout: int = http.CALL_TIMEOUT_US) -> None:
        """Cancels an attempt, and forgets it if the endpoint accepts that. `timeout`: in microseconds."""
        if await self._delete(call_id, True, timeout) is None:
            self._forget(call_id)

    async def _delete(self, call_id: str, fresh: bool, timeout: int) -> CallFailure | None:
        """Cancels an attempt, and tries again at once if the connection breaks: until the cancellation has
        arrived, an endpoint that goes on begins the attempt."""
        failure: CallFailure | None = CallFailure.BROKEN
        for _ in range(MAX_TRIES_AT_ONCE):
            if failure is CallFailure.BROKEN:
                failure = await self._calls.delete(call_id, fresh=fresh, timeout=timeout)
        return failure

    def _forget(self, call_id: str) -> None:
        self._open.pop(call_id, None)
        self._repeated.pop(call_id, None)
