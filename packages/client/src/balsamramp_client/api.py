"""API: the operators' interface of a node, as a library."""

from collections import abc
import typing

import aiohttp
import attrs
from returns import result

__all__ = ["ApiError", "NodeApi"]

TIMEOUT_SECONDS = 10.0
STATUS_CONFLICT = 409
STATUS_ERROR = 400


@attrs.frozen
class ApiError:
    """A request that a node refused or did not answer."""

    message: str
    conflict: bool = False


class NodeApi:
    """Talks to the admin port of any one node."""

    def __init__(self, url: str) -> None:
        self._url = url.rstrip("/")

    async def view(self, name: str) -> result.Result[typing.Any, ApiError]:
        """Return a view: configuration, dump, names or status."""
        return await self._request("GET", f"/v1/{name}", None)

    async def submit(
        self, change: abc.Mapping[str, typing.Any]
    ) -> result.Result[typing.Any, ApiError]:
        """Submit a change; return its version."""
        return await self._request("POST", "/v1/changes", change)

    async def _request(
        self, method: str, path: str, body: typing.Any
    ) -> result.Result[typing.Any, ApiError]:
        timeout = aiohttp.ClientTimeout(TIMEOUT_SECONDS)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(
                    method, self._url + path, json=body
                ) as response,
            ):
                document = await response.json()
        except (TimeoutError, aiohttp.ClientError, ValueError) as error:
            text = f"no answer from {self._url}: {error}"
            return result.Failure(ApiError(text))
        if response.status < STATUS_ERROR:
            return result.Success(document)
        return result.Failure(
            ApiError(
                _message(document),
                conflict=response.status == STATUS_CONFLICT,
            )
        )


def _message(document: typing.Any) -> str:
    if not isinstance(document, dict):
        return str(document)
    if "message" in document:
        return str(document["message"])
    parts = [document.get("title"), document.get("description")]
    return ": ".join(str(part) for part in parts if part)
