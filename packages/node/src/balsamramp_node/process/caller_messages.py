"""Requests of callers and the responses to them."""

import http

import attrs

from balsamramp_core import http_status

__all__ = [
    "EncodedResponse",
    "RawHeaders",
    "RawRequest",
    "RawResponse",
    "empty_response",
    "encode_response",
]

STATUS_REASONS = {
    status.value: status.phrase.encode() for status in http.HTTPStatus
}

RawHeaders = list[tuple[bytes, bytes]]


@attrs.define(kw_only=True)
class RawRequest:
    """One complete request; header names are in lower case.

    ``target`` is the undecoded path and query of the request line.
    """

    method: str
    target: bytes
    headers: RawHeaders
    body: bytes
    keep_alive: bool


@attrs.define(kw_only=True)
class RawResponse:
    """One complete response; ``close`` closes the connection after it."""

    status: int
    headers: RawHeaders
    body: bytes
    close: bool = False


def empty_response(status: http.HTTPStatus) -> RawResponse:
    """Return a response without a body."""
    return RawResponse(status=status.value, headers=[], body=b"")


@attrs.frozen
class EncodedResponse:
    """A response whose headers are encoded but for their last lines.

    Whether the connection closes is known only when it is written.
    """

    head: bytes
    length: int
    body: bytes
    close: bool

    @property
    def size(self) -> int:
        """Return how many bytes the response holds."""
        return len(self.head) + len(self.body)

    def join(self, closes: bool) -> bytes:
        """Return the bytes to write."""
        connection = b"connection: close\r\n" if closes else b""
        return b"%b%bcontent-length: %d\r\n\r\n%b" % (
            self.head,
            connection,
            self.length,
            self.body,
        )


def encode_response(
    response: RawResponse, omit_body: bool = False
) -> EncodedResponse:
    """Encode ``response``, without the body for HEAD.

    Raises ValueError if its status is not that of a final response.
    """
    if not http_status.is_final(response.status):
        raise ValueError(
            f"status of a response is {response.status}, expected 200 to 599"
        )
    reason = STATUS_REASONS.get(response.status, b"")
    parts = [b"HTTP/1.1 %d %b\r\n" % (response.status, reason)]
    for name, value in response.headers:
        parts.append(b"%b: %b\r\n" % (name, value))
    return EncodedResponse(
        head=b"".join(parts),
        length=len(response.body),
        body=b"" if omit_body else response.body,
        close=response.close,
    )
