"""The decider's mailbox."""

from __future__ import annotations

from collections import deque

from lotusstream.net.actor import Mailbox
from lotusstream.net.client import ReceivedRequest
from lotusstream.net.decider_messages import DeciderMessage


class DeciderMailbox(Mailbox[DeciderMessage]):
    """Keeps new requests in a queue of their own, behind all that ends or withdraws something."""

    def __init__(self) -> None:
        super().__init__()
        self._requests: deque[ReceivedRequest] = deque()

    def put(self, message: DeciderMessage) -> None:
        """Adds a message at the end of its queue, and wakes the decider."""
        if isinstance(message, ReceivedRequest):
            self._requests.append(message)
            self.wake()
        else:
            super().put(message)

    def take(self) -> DeciderMessage | None:
        """Takes off the first message that is no new request; None where there is none."""
        message = super().take()
        if message is None and self._requests:
            self.wake()
        return message

    @property
    def first_request(self) -> ReceivedRequest | None:
        """The new request that has waited longest; None where there is none."""
        return self._requests[0] if self._requests else None

    def drop_first_request(self) -> None:
        """Takes off `first_request`."""
        self._requests.popleft()
        if not self._requests and not len(self):
            self.clear_wake()
