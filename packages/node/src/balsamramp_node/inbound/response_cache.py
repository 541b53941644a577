"""Kept answers: the answers of past calls, within a bound of memory."""

import attrs

from balsamramp_core import verdict
from balsamramp_node.outbound import call_transport
from balsamramp_wire import messages

__all__ = ["RESPONSE_CACHE_MAX_BYTES", "ResponseHolder", "ResponseCache"]

RESPONSE_CACHE_MAX_BYTES = 16 * 1024 * 1024


@attrs.define(eq=False)
class ResponseHolder:
    """A call that may have ended: then ``reply`` is set."""

    reply: call_transport.Reply | None = None


class ResponseCache:
    """Bounds the bodies that are kept for repeated calls.

    Beyond ``max_bytes`` together the oldest are dropped, and the
    reply becomes a failure which says that the call ran.
    """

    def __init__(self, max_bytes: int = RESPONSE_CACHE_MAX_BYTES) -> None:
        self._max_bytes = max_bytes
        self._kept: dict[ResponseHolder, int] = {}
        self._bytes = 0

    def add(self, ended: ResponseHolder, reply: call_transport.Reply) -> None:
        """Keep ``reply`` as that of ``ended``."""
        ended.reply = reply
        if not isinstance(reply, messages.CallAnswer):
            return
        self._kept[ended] = len(reply.body)
        self._bytes += len(reply.body)
        while self._bytes > self._max_bytes:
            oldest = next(iter(self._kept))
            self.discard(oldest)
            assert oldest.reply is not None
            oldest.reply = _dropped(oldest.reply.call_id)

    def discard(self, ended: ResponseHolder) -> None:
        """Count the answer of ``ended`` no longer."""
        self._bytes -= self._kept.pop(ended, 0)


def _dropped(call_id: str) -> messages.CallFailure:
    failure = verdict.Failure(
        verdict.Verdict.RAN,
        verdict.Reason.DUPLICATE,
        "the call ran and its answer is no longer kept",
    )
    return messages.CallFailure(
        call_id=call_id, failure=failure, load=messages.Load(0, 0)
    )
