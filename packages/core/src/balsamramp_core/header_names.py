"""Names of the HTTP headers that nodes read and write."""

import attrs

__all__ = ["HeaderNames", "HOP_BY_HOP_HEADERS", "DEFAULT_HEADER_NAMES"]

# Headers that apply to a single connection (RFC 9110, section 7.6.1). The
# body is forwarded as a whole, so Content-Length and Transfer-Encoding are
# set again.
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
    """Header names in lower case; an empty name disables the header.

    In requests, ``request_id`` identifies one attempt of a caller and is
    echoed by the target, ``timeout_ms`` is the remaining time for which
    the caller waits, ``caller_service`` is the service whose VM sent the
    request, ``organisation`` the organisation whose key the caller showed,
    and ``target`` the only target that may run it. In responses,
    the target sets ``not_run`` if it did not run the request,
    ``response_signature`` if it produced the response, ``answered_by`` to
    its own name, and ``warm_up_ms`` while it is cold. It sets ``rate_limit``
    to the calls per second that it takes from all nodes together, while it
    takes fewer than its slots allow, and ``leaving`` to 1 once it is about to
    stop.
    """

    request_id: str
    timeout_ms: str
    caller_service: str
    target: str
    not_run: str
    response_signature: str
    answered_by: str
    warm_up_ms: str
    rate_limit: str
    leaving: str
    organisation: str = ""


DEFAULT_HEADER_NAMES = HeaderNames(
    request_id="balsamramp-request-id",
    timeout_ms="balsamramp-deadline-ms",
    caller_service="balsamramp-caller",
    target="balsamramp-target",
    not_run="balsamramp-not-run",
    response_signature="",
    answered_by="balsamramp-answered-by",
    warm_up_ms="balsamramp-cold-ms",
    rate_limit="balsamramp-rate-limit",
    leaving="balsamramp-leaving",
)
