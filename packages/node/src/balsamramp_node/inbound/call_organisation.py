"""Tells on behalf of which organisation a call was made."""

from balsamramp_wire import messages

__all__ = ["CallOrganisation"]


class CallOrganisation:
    """Reads the organisation from the headers of a call.

    The node that took the request from its caller has checked the caller's
    key and set the header, so that calls without one are the same on the wire
    as before. An empty ``header_name`` disables organisations.
    """

    def __init__(self, header_name: str) -> None:
        self._header_name = header_name

    def of(self, request: messages.CallRequest) -> str:
        """Return the name of the organisation, or an empty string."""
        if not self._header_name:
            return ""
        for name, value in request.headers:
            if name == self._header_name:
                return value
        return ""
