"""Platform client: the platform's table and object store over HTTP."""

import base64
from collections import abc
import datetime
import typing

import aiohttp
import msgspec
from returns import result

from balsamramp_core import service_manager
from balsamramp_core import storage

__all__ = ["HttpObjectStore", "HttpTable", "HttpStorageClient"]

STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409
DECODE_ERRORS = (
    KeyError,
    RecursionError,
    TypeError,
    ValueError,
    msgspec.MsgspecError,
)

ValueT = typing.TypeVar("ValueT")


class HttpStorageClient(service_manager.Service):
    """HTTP session with the platform, shared by table and object store."""

    name = "platform"

    def __init__(self, url: str, timeout: datetime.timedelta) -> None:
        self._url = url.rstrip("/")
        self._timeout = aiohttp.ClientTimeout(timeout.total_seconds())
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        self._session = aiohttp.ClientSession(timeout=self._timeout)

    async def stop(self) -> None:
        if self._session is not None:
            await self._session.close()

    async def request(
        self, method: str, path: str, **arguments: typing.Any
    ) -> result.Result[tuple[int, bytes], storage.StorageError]:
        """Send a request; return the status and the body of the answer.

        A request that could not be sent is UNAVAILABLE; one whose answer
        did not arrive is OUTCOME_UNKNOWN.
        """
        assert self._session is not None
        unavailable = storage.StorageErrorKind.UNAVAILABLE
        unknown = storage.StorageErrorKind.OUTCOME_UNKNOWN
        try:
            async with self._session.request(
                method, self._url + path, **arguments
            ) as response:
                body = await response.read()
        except aiohttp.ClientConnectorError as error:
            return result.Failure(
                storage.StorageError(unavailable, str(error))
            )
        except (aiohttp.ClientError, TimeoutError) as error:
            return result.Failure(
                storage.StorageError(unknown, f"no answer: {error!r}")
            )
        if response.status >= 500:
            text = f"status {response.status}"
            return result.Failure(storage.StorageError(unavailable, text))
        return result.Success((response.status, body))


class HttpTable(storage.Table):
    """The table service over HTTP."""

    def __init__(self, client: HttpStorageClient) -> None:
        self._client = client

    async def read(
        self, key: str
    ) -> result.Result[storage.Row | None, storage.StorageError]:
        answer = await self._client.request(
            "GET", "/table/row", params={"key": key}
        )
        if isinstance(answer, result.Failure):
            return answer
        status, body = answer.unwrap()
        if status == STATUS_NOT_FOUND:
            return result.Success(None)
        return _decoded(body, _row)

    async def scan(
        self, prefix: str, after: str, limit: int
    ) -> result.Result[list[storage.Row], storage.StorageError]:
        parameters = {"prefix": prefix, "after": after, "limit": str(limit)}
        answer = await self._client.request(
            "GET", "/table/rows", params=parameters
        )
        if isinstance(answer, result.Failure):
            return answer
        _, body = answer.unwrap()
        return _decoded(body, _rows)

    async def commit(
        self, transaction: storage.Transaction
    ) -> result.Result[None, storage.StorageError]:
        answer = await self._client.request(
            "POST",
            "/table/transactions",
            data=msgspec.json.encode(transaction),
        )
        if isinstance(answer, result.Failure):
            return answer
        status, body = answer.unwrap()
        if status == STATUS_OK:
            return result.Success(None)
        kind = storage.StorageErrorKind.CONFLICT
        text = body.decode(errors="replace")
        return result.Failure(storage.StorageError(kind, text))


class HttpObjectStore(storage.ObjectStore):
    """The object store over HTTP."""

    def __init__(self, client: HttpStorageClient) -> None:
        self._client = client

    async def put(
        self, key: str, value: bytes
    ) -> result.Result[None, storage.StorageError]:
        answer = await self._client.request(
            "PUT", "/object", params={"key": key}, data=value
        )
        return answer.map(lambda _: None)

    async def get(
        self, key: str
    ) -> result.Result[bytes | None, storage.StorageError]:
        answer = await self._client.request(
            "GET", "/object", params={"key": key}
        )
        if isinstance(answer, result.Failure):
            return answer
        status, body = answer.unwrap()
        return result.Success(None if status == STATUS_NOT_FOUND else body)

    async def list(
        self, prefix: str
    ) -> result.Result[list[str], storage.StorageError]:
        answer = await self._client.request(
            "GET", "/objects", params={"prefix": prefix}
        )
        if isinstance(answer, result.Failure):
            return answer
        _, body = answer.unwrap()
        return _decoded(body, _keys)

    async def delete(
        self, key: str
    ) -> result.Result[None, storage.StorageError]:
        answer = await self._client.request(
            "DELETE", "/object", params={"key": key}
        )
        return answer.map(lambda _: None)


def _row(document: dict[str, typing.Any]) -> storage.Row:
    value = base64.b64decode(document["value"], validate=True)
    return storage.Row(str(document["key"]), value, int(document["revision"]))


def _rows(document: typing.Any) -> list[storage.Row]:
    return [_row(row) for row in document["rows"]]


def _keys(document: typing.Any) -> list[str]:
    return msgspec.convert(document["keys"], list[str])


def _decoded(
    body: bytes, read: abc.Callable[[typing.Any], ValueT]
) -> result.Result[ValueT, storage.StorageError]:
    """Return what ``read`` finds in the JSON of an answer.

    An answer that is none of the platform's, as from something between,
    counts as no answer.
    """
    try:
        return result.Success(read(msgspec.json.decode(body)))
    except DECODE_ERRORS as error:
        kind = storage.StorageErrorKind.UNAVAILABLE
        text = f"malformed answer: {error!r}"
        return result.Failure(storage.StorageError(kind, text))
