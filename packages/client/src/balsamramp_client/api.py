"""HTTP client for the operator API of the nodes."""

import asyncio
from collections import abc
import datetime
import enum
import ssl
import typing
import uuid

import aiohttp
import attrs
from returns import result

from balsamramp_core import configuration
from balsamramp_core import resources

__all__ = ["ApiError", "ErrorKind", "NodeApi", "new_change_id"]

REQUEST_TIMEOUT = datetime.timedelta(seconds=10)
RETRY_DELAY = datetime.timedelta(milliseconds=300)
SUBMIT_ATTEMPTS_MIN = 3
STATUS_ERROR = 400
STATUS_CONFLICT = 409
STATUS_SERVER_ERROR = 500

Document = dict[str, typing.Any]


class ErrorKind(enum.Enum):
    """Category of a command failure; each maps to an exit code.

    ``UNKNOWN`` means that no node responded or that submitting a change
    ended in server errors: the change may have been accepted.
    """

    CONFLICT = "conflict"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    USAGE = "usage"


@attrs.frozen
class ApiError:
    """Why a command failed.

    For a conflict, ``changes`` lists the changes that other operators
    made since the base version.
    """

    message: str
    kind: ErrorKind = ErrorKind.REFUSED
    changes: tuple[Document, ...] = ()


@attrs.frozen
class _Response:
    status: int
    document: typing.Any


class NodeApi:
    """Sends requests to the admin port of one of several nodes.

    If a node does not respond, the client tries the next URL. Example::

        node = NodeApi(["http://127.0.0.1:7003"])
        status = await node.view("status")
    """

    def __init__(
        self,
        urls: abc.Sequence[str],
        token: str = "",
        security: ssl.SSLContext | None = None,
        timeout: datetime.timedelta = REQUEST_TIMEOUT,
    ) -> None:
        self._urls = [url.rstrip("/") for url in urls]
        self._token = token
        self._headers = {"authorization": f"Bearer {token}"} if token else {}
        self._security = security
        self._timeout = timeout

    def for_node(self, url: str) -> "NodeApi":
        """Return a client for another node with the same credentials."""
        return NodeApi([url], self._token, self._security, self._timeout)

    @property
    def scheme(self) -> str:
        """Return the scheme of the URLs, http or https."""
        return self._urls[0].partition(":")[0]

    async def view(
        self, name: str, **parameters: str
    ) -> result.Result[typing.Any, ApiError]:
        """Return a view: changes, configuration, dump, names or status.

        Only a missing response moves on to the next node; an error status
        is returned as the failure.
        """
        path = f"/v1/{name}"
        errors = []
        for url in self._urls:
            response = await self._send("GET", url + path, params=parameters)
            if isinstance(response, str):
                errors.append(response)
                continue
            return _to_result(response)
        return result.Failure(ApiError("; ".join(errors), ErrorKind.UNKNOWN))

    async def configuration(
        self,
    ) -> result.Result[configuration.Configuration, ApiError]:
        """Return the configuration in force on the first node to respond."""
        fetched = await self.view("configuration")
        if isinstance(fetched, result.Failure):
            return fetched
        document = fetched.unwrap()
        items = []
        for encoded in document["resources"]:
            decoded = resources.decode(encoded)
            if isinstance(decoded, result.Failure):
                return result.Failure(ApiError(decoded.failure()))
            items.append(decoded.unwrap())
        return result.Success(
            configuration.merge(
                configuration.EMPTY, document["version"], items, ()
            )
        )

    async def submit(
        self, change: abc.Mapping[str, typing.Any]
    ) -> result.Result[Document, ApiError]:
        """Submit a change and return the node's response document.

        The document contains the accepted ``version``. Without a
        response, or after a server error, the client submits the same
        change again under the same change id, so that it is accepted at
        most once and a later response reports whether it was.
        """
        change_id = change.get("change_id") or new_change_id()
        body = {**change, "change_id": change_id}
        errors: list[str] = []
        for attempt in range(max(SUBMIT_ATTEMPTS_MIN, len(self._urls))):
            if attempt:
                await asyncio.sleep(RETRY_DELAY.total_seconds())
            url = self._urls[attempt % len(self._urls)]
            response = await self._send("POST", f"{url}/v1/changes", json=body)
            if isinstance(response, str):
                errors.append(response)
                continue
            if response.status >= STATUS_SERVER_ERROR:
                errors.append(f"{url}: {_error_message(response)}")
                continue
            return _to_result(response)
        message = (
            f"outcome unknown: {'; '.join(dict.fromkeys(errors))}; "
            f"to find out, repeat with --change-id {change_id}"
        )
        return result.Failure(ApiError(message, ErrorKind.UNKNOWN))

    async def _send(
        self, method: str, url: str, **arguments: typing.Any
    ) -> _Response | str:
        timeout = aiohttp.ClientTimeout(self._timeout.total_seconds())
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(
                    method,
                    url,
                    headers=self._headers,
                    ssl=True if self._security is None else self._security,
                    **arguments,
                ) as response,
            ):
                return _Response(response.status, await response.json())
        except TimeoutError:
            return f"no response from {url} within {self._timeout.seconds} s"
        except (aiohttp.ClientError, ValueError) as error:
            return f"no response from {url}: {error}"


def new_change_id() -> str:
    """Return a unique id that deduplicates submissions of a change."""
    return uuid.uuid4().hex


def _to_result(response: _Response) -> result.Result[typing.Any, ApiError]:
    if response.status < STATUS_ERROR:
        return result.Success(response.document)
    if response.status == STATUS_CONFLICT:
        changes = tuple(response.document.get("changes", ()))
        error = ApiError(_error_message(response), ErrorKind.CONFLICT, changes)
        return result.Failure(error)
    return result.Failure(ApiError(_error_message(response)))


def _error_message(response: _Response) -> str:
    document = response.document
    if not isinstance(document, dict):
        return str(document)
    if "message" in document:
        return str(document["message"])
    parts = [document.get("title"), document.get("description")]
    return ": ".join(str(part) for part in parts if part)
