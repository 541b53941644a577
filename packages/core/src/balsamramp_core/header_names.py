"""Dialect: the names of the headers that nodes read and write."""

import attrs

__all__ = ["HeaderNames", "HOP_BY_HOP_HEADERS", "DEFAULT_HEADER_NAMES"]

# Headers that concern one connection (RFC 9110, section 7.6.1). The body is
# sent on whole, so its length and coding are written anew.
HOP_BY_HOP_HEADERS = frozenset(
    [
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ]
)


@attrs.frozen(kw_only=True)
class HeaderNames:
    """Header names in lower case; an empty name is not used.

    ``request_id`` identifies one attempt of a caller and is echoed by the
    target. ``timeout_ms`` is how long the caller still waits.
    ``caller_service`` names the service from whose VM the request came,
    and ``target`` the one target that may run it. A target answers with
    ``not_run`` if it did not run the request, with ``response_signature``
    if it made the answer, with ``answered_by`` naming itself, and with
    ``warm_up_ms`` if it is cold.
    """

    request_id: str
    timeout_ms: str
    caller_service: str
    target: str
    not_run: str
    response_signature: str
    answered_by: str
    warm_up_ms: str


DEFAULT_HEADER_NAMES = HeaderNames(
    request_id="balsamramp-request-id",
    timeout_ms="balsamramp-deadline-ms",
    caller_service="balsamramp-caller",
    target="balsamramp-target",
    not_run="balsamramp-not-run",
    response_signature="",
    answered_by="balsamramp-answered-by",
    warm_up_ms="balsamramp-cold-ms",
)
