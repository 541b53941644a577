"""Reads size-limited JSON request bodies."""

import typing

import falcon
import falcon.asgi

from balsamramp_core import decoding

__all__ = ["read_json"]


async def read_json(
    req: falcon.asgi.Request, max_bytes: int
) -> dict[str, typing.Any]:
    """Return the JSON object in the body.

    Raises HTTPContentTooLarge for a body over ``max_bytes`` and
    HTTPBadRequest for one that is not a JSON object.
    """
    if (req.content_length or 0) > max_bytes:
        raise falcon.HTTPContentTooLarge(
            title=f"body is over {max_bytes} bytes"
        )
    body = await req.bounded_stream.read(max_bytes + 1)
    if len(body) > max_bytes:
        raise falcon.HTTPContentTooLarge(
            title=f"body is over {max_bytes} bytes"
        )
    try:
        document = decoding.decode_json(body, object)
    except decoding.DecodingError as error:
        raise falcon.HTTPBadRequest(
            title="malformed JSON", description=str(error)
        ) from error
    if not isinstance(document, dict):
        raise falcon.HTTPBadRequest(title="the body is not a JSON object")
    return document
