"""Remembers which responses the peer of a connection may not have yet."""

import collections
from collections import abc

import attrs

__all__ = ["ResponseDelivery", "SentResponse"]

# Responses that are remembered; older ones are forgotten. More are on their
# way only to a caller that sends many small requests without reading.
SENT_RESPONSES_MAX = 16
# What is kept of an identifier, which a caller may make as long as a header.
REQUEST_ID_MAX_BYTES = 128


@attrs.frozen
class SentResponse:
    """A response that was passed to the transport.

    ``end`` is the position of its last byte among all bytes of the
    connection, ``request_id`` the start of the caller's identifier of the
    request, and ``received_at`` when the request was received, in seconds of
    the event loop.
    """

    end: int
    request_id: bytes
    received_at: float


class ResponseDelivery:
    """Counts the bytes of a connection's responses, in order.

    The peer receives them in order too, so what it has not received is the
    end of what was written.
    """

    def __init__(self) -> None:
        self._written_bytes = 0
        self._responses: collections.deque[SentResponse] = collections.deque(
            maxlen=SENT_RESPONSES_MAX
        )

    @property
    def full(self) -> bool:
        """Return whether the next response makes the oldest forgotten."""
        return len(self._responses) == SENT_RESPONSES_MAX

    def add(self, size: int, request_id: bytes, received_at: float) -> None:
        """Record a response of ``size`` bytes."""
        self._written_bytes += size
        self._responses.append(
            SentResponse(
                self._written_bytes,
                request_id[:REQUEST_ID_MAX_BYTES],
                received_at,
            )
        )

    def add_other(self, size: int) -> None:
        """Record ``size`` bytes that are no response to a whole request."""
        self._written_bytes += size

    def confirm(self, undelivered_bytes: int) -> None:
        """Forget the responses that the peer has received whole."""
        delivered = self._written_bytes - undelivered_bytes
        while self._responses and self._responses[0].end <= delivered:
            self._responses.popleft()

    def take(self, undelivered_bytes: int) -> abc.Sequence[SentResponse]:
        """Remove and return the responses not received whole, in order."""
        self.confirm(undelivered_bytes)
        responses = tuple(self._responses)
        self._responses.clear()
        return responses
