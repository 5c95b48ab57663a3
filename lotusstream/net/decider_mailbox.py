"""The decider's mailbox, which delivers new requests after all other messages."""

from __future__ import annotations

from collections import deque

from lotusstream.net.actor import Mailbox
from lotusstream.net.decider_messages import DeciderMessage
from lotusstream.net.received_request import ReceivedRequest


class DeciderMailbox(Mailbox[DeciderMessage]):
    """Keeps new requests in a separate queue, read after all other messages, since those may end or
    cancel work."""

    def __init__(self) -> None:
        super().__init__()
        self._requests: deque[ReceivedRequest] = deque()

    def put(self, message: DeciderMessage) -> None:
        """Appends a message to its queue and wakes the decider."""
        if isinstance(message, ReceivedRequest):
            self._requests.append(message)
            self.wake()
        else:
            super().put(message)

    def take(self) -> DeciderMessage | None:
        """Removes and returns the first message that is not a new request; None if there is none."""
        message = super().take()
        if message is None and self._requests:
            self.wake()
        return message

    @property
    def first_request(self) -> ReceivedRequest | None:
        """The new request that has waited longest; None if there is none."""
        return self._requests[0] if self._requests else None

    def drop_first_request(self) -> None:
        """Removes `first_request` from its queue."""
        self._requests.popleft()
        if not self._requests and not len(self):
            self.clear_wake()
