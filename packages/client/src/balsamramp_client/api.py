"""API: the operators' interface of the nodes, as a library."""

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

TIMEOUT = datetime.timedelta(seconds=10)
RETRY_WAIT = datetime.timedelta(milliseconds=300)
ATTEMPTS = 3
STATUS_ERROR = 400
STATUS_CONFLICT = 409
STATUS_SERVER_ERROR = 500

Document = dict[str, typing.Any]


class ErrorKind(enum.Enum):
    """What kind of error ends a command; each has its exit code."""

    CONFLICT = "conflict"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    USAGE = "usage"


@attrs.frozen
class ApiError:
    """Why a command failed.

    ``changes`` are those that other operators made in between, for a
    conflict.
    """

    message: str
    kind: ErrorKind = ErrorKind.REFUSED
    changes: tuple[Document, ...] = ()


@attrs.frozen
class _Answer:
    status: int
    document: typing.Any


class NodeApi:
    """Talks to the admin port of any one of several nodes.

    A node that does not answer is left for the next one. Example::

        node = NodeApi(["http://127.0.0.1:7003"])
        status = await node.view("status")
    """

    def __init__(
        self,
        urls: abc.Sequence[str],
        token: str = "",
        security: ssl.SSLContext | None = None,
        timeout: datetime.timedelta = TIMEOUT,
    ) -> None:
        self._urls = [url.rstrip("/") for url in urls]
        self._token = token
        self._headers = {"authorization": f"Bearer {token}"} if token else {}
        self._security = security
        self._timeout = timeout

    def for_node(self, url: str) -> "NodeApi":
        """Return the interface of one other node, reached alike."""
        return NodeApi([url], self._token, self._security, self._timeout)

    @property
    def scheme(self) -> str:
        """Return the scheme of the URLs, http or https."""
        return self._urls[0].partition(":")[0]

    async def view(
        self, name: str, **parameters: str
    ) -> result.Result[typing.Any, ApiError]:
        """Return a view: changes, configuration, dump, names or status."""
        path = f"/v1/{name}"
        lost = []
        for url in self._urls:
            answer = await self._send("GET", url + path, params=parameters)
            if isinstance(answer, str):
                lost.append(answer)
                continue
            return _document(answer)
        return result.Failure(ApiError("; ".join(lost), ErrorKind.UNKNOWN))

    async def configuration(
        self,
    ) -> result.Result[configuration.Configuration, ApiError]:
        """Return the configuration in force on the node that answers."""
        viewed = await self.view("configuration")
        if isinstance(viewed, result.Failure):
            return viewed
        document = viewed.unwrap()
        items = []
        for described in document["resources"]:
            decoded = resources.decode(described)
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
        """Submit a change; return its version.

        A lost answer is followed by the same change under the same
        change id, so that it is accepted at most once and the answer
        tells whether it was.
        """
        change_id = change.get("change_id") or new_change_id()
        body = {**change, "change_id": change_id}
        lost: list[str] = []
        for attempt in range(max(ATTEMPTS, len(self._urls))):
            if attempt:
                await asyncio.sleep(RETRY_WAIT.total_seconds())
            url = self._urls[attempt % len(self._urls)]
            answer = await self._send("POST", f"{url}/v1/changes", json=body)
            if isinstance(answer, str):
                lost.append(answer)
                continue
            if answer.status >= STATUS_SERVER_ERROR:
                lost.append(f"{url}: {_message(answer)}")
                continue
            return _document(answer)
        text = (
            f"outcome unknown: {'; '.join(dict.fromkeys(lost))}; "
            f"to learn it, repeat with --change-id {change_id}"
        )
        return result.Failure(ApiError(text, ErrorKind.UNKNOWN))

    async def _send(
        self, method: str, url: str, **arguments: typing.Any
    ) -> _Answer | str:
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
                return _Answer(response.status, await response.json())
        except TimeoutError:
            return f"no answer from {url} in {self._timeout.seconds} s"
        except (aiohttp.ClientError, ValueError) as error:
            return f"no answer from {url}: {error}"


def new_change_id() -> str:
    """Return an id by which a repeated change is recognised."""
    return uuid.uuid4().hex


def _document(answer: _Answer) -> result.Result[typing.Any, ApiError]:
    if answer.status < STATUS_ERROR:
        return result.Success(answer.document)
    if answer.status == STATUS_CONFLICT:
        changes = tuple(answer.document.get("changes", ()))
        error = ApiError(_message(answer), ErrorKind.CONFLICT, changes)
        return result.Failure(error)
    return result.Failure(ApiError(_message(answer)))


def _message(answer: _Answer) -> str:
    document = answer.document
    if not isinstance(document, dict):
        return str(document)
    if "message" in document:
        return str(document["message"])
    parts = [document.get("title"), document.get("description")]
    return ": ".join(str(part) for part in parts if part)
