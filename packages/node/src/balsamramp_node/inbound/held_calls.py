"""Limits the calls of other nodes that wait for their sender's answer."""

from balsamramp_core import verdict
from balsamramp_wire import messages

__all__ = ["HeldCalls"]

CALLS_MAX = 1000
BYTES_MAX = 16 * 1024 * 1024


class HeldCalls:
    """Counts calls and their bytes, whatever connection they came by.

    Example::

        if not held.add(request):
            return held.refusal(request)
        try:
            await confirm()
        finally:
            held.remove(request)
    """

    def __init__(self) -> None:
        self._count = 0
        self._bytes = 0

    def add(self, request: messages.CallRequest) -> bool:
        """Count a call; return False if there is no room for it."""
        size = _size_of(request)
        if self._count >= CALLS_MAX or self._bytes + size > BYTES_MAX:
            return False
        self._count += 1
        self._bytes += size
        return True

    def remove(self, request: messages.CallRequest) -> None:
        """Give back the room of a call."""
        self._count -= 1
        self._bytes -= _size_of(request)

    def refusal(self, request: messages.CallRequest) -> messages.CallFailure:
        """Return the reply to a call for which there is no room.

        The run of an earlier message of the same call may have begun.
        """
        outcome = verdict.Verdict.NOT_RUN
        if request.repeat:
            outcome = verdict.Verdict.MAY_HAVE_RUN
        return messages.CallFailure(
            call_id=request.call_id,
            failure=verdict.Failure(
                outcome,
                verdict.Reason.OVERLOADED,
                f"{self._count} late calls with {self._bytes} bytes wait for"
                f" their senders, {CALLS_MAX} and {BYTES_MAX} are allowed",
            ),
            load=messages.Load(0, 0),
        )


def _size_of(request: messages.CallRequest) -> int:
    headers = sum(len(name) + len(value) for name, value in request.headers)
    return len(request.body) + len(request.path) + headers
