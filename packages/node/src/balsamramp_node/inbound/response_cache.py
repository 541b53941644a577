"""Bounds the memory used by the stored responses of past calls."""

import attrs

from balsamramp_core import verdict
from balsamramp_node.outbound import call_transport
from balsamramp_wire import messages

__all__ = ["RESPONSE_CACHE_MAX_BYTES", "ResponseHolder", "ResponseCache"]

RESPONSE_CACHE_MAX_BYTES = 16 * 1024 * 1024


@attrs.define(eq=False)
class ResponseHolder:
    """A call; ``reply`` is set once the call has ended."""

    reply: call_transport.Reply | None = None


class ResponseCache:
    """Bounds the response bodies that are kept for repeated calls.

    When the bodies together exceed ``max_bytes``, the oldest replies are
    evicted. An evicted reply is replaced by a failure that states that the
    call ran.
    """

    def __init__(self, max_bytes: int = RESPONSE_CACHE_MAX_BYTES) -> None:
        self._max_bytes = max_bytes
        self._sizes: dict[ResponseHolder, int] = {}
        self._bytes = 0

    def add(self, holder: ResponseHolder, reply: call_transport.Reply) -> None:
        """Store ``reply`` in ``holder`` and evict the oldest if needed."""
        holder.reply = reply
        if not isinstance(reply, messages.CallAnswer):
            return
        self._sizes[holder] = len(reply.body)
        self._bytes += len(reply.body)
        while self._bytes > self._max_bytes:
            oldest = next(iter(self._sizes))
            self.discard(oldest)
            assert oldest.reply is not None
            oldest.reply = _evicted_failure(oldest.reply.call_id)

    def discard(self, holder: ResponseHolder) -> None:
        """Stop counting the response of ``holder``."""
        self._bytes -= self._sizes.pop(holder, 0)


def _evicted_failure(call_id: str) -> messages.CallFailure:
    failure = verdict.Failure(
        verdict.Verdict.RAN,
        verdict.Reason.DUPLICATE,
        "the call ran; its response was evicted from the cache",
    )
    return messages.CallFailure(
        call_id=call_id, failure=failure, load=messages.Load(0, 0)
    )
