"""HTTP client for the table service and object store of the platform."""

import base64
from collections import abc
import datetime
import typing

import aiohttp
import msgspec
from returns import result

from balsamramp_core import decoding
from balsamramp_core import http_status
from balsamramp_core import service_manager
from balsamramp_core import storage

__all__ = ["HttpObjectStore", "HttpTable", "HttpStorageClient"]

STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409

ValueT = typing.TypeVar("ValueT")


class HttpStorageClient(service_manager.Service):
    """HTTP session shared by the table and the object store clients."""

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
        """Send a request; return the status and the body of the response.

        The error is UNAVAILABLE if the connection failed or the platform
        responded with a 5xx status, and OUTCOME_UNKNOWN if no complete
        response was received.
        """
        assert self._session is not None
        unavailable = storage.StorageErrorKind.UNAVAILABLE
        outcome_unknown = storage.StorageErrorKind.OUTCOME_UNKNOWN
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
                storage.StorageError(
                    outcome_unknown, f"no response: {error!r}"
                )
            )
        text = f"status {response.status:03}"
        if not http_status.is_final(response.status):
            return result.Failure(storage.StorageError(outcome_unknown, text))
        if response.status >= 500:
            return result.Failure(storage.StorageError(unavailable, text))
        return result.Success((response.status, body))


class HttpTable(storage.Table):
    """Client of the table service."""

    def __init__(self, client: HttpStorageClient) -> None:
        self._client = client

    async def read(
        self, key: str
    ) -> result.Result[storage.Row | None, storage.StorageError]:
        response = await self._client.request(
            "GET", "/table/row", params={"key": key}
        )
        if isinstance(response, result.Failure):
            return response
        status, body = response.unwrap()
        if status == STATUS_NOT_FOUND:
            return result.Success(None)
        return _decode(body, _parse_row)

    async def scan(
        self, prefix: str, after: str, limit: int
    ) -> result.Result[list[storage.Row], storage.StorageError]:
        parameters = {"prefix": prefix, "after": after, "limit": str(limit)}
        response = await self._client.request(
            "GET", "/table/rows", params=parameters
        )
        if isinstance(response, result.Failure):
            return response
        _, body = response.unwrap()
        return _decode(body, _parse_rows)

    async def commit(
        self, transaction: storage.Transaction
    ) -> result.Result[None, storage.StorageError]:
        response = await self._client.request(
            "POST",
            "/table/transactions",
            data=msgspec.json.encode(transaction),
        )
        if isinstance(response, result.Failure):
            return response
        status, body = response.unwrap()
        if status == STATUS_OK:
            return result.Success(None)
        kind = storage.StorageErrorKind.CONFLICT
        text = body.decode(errors="replace")
        return result.Failure(storage.StorageError(kind, text))


class HttpObjectStore(storage.ObjectStore):
    """Client of the object store."""

    def __init__(self, client: HttpStorageClient) -> None:
        self._client = client

    async def put(
        self, key: str, value: bytes
    ) -> result.Result[None, storage.StorageError]:
        response = await self._client.request(
            "PUT", "/object", params={"key": key}, data=value
        )
        return response.map(lambda _: None)

    async def get(
        self, key: str
    ) -> result.Result[bytes | None, storage.StorageError]:
        response = await self._client.request(
            "GET", "/object", params={"key": key}
        )
        if isinstance(response, result.Failure):
            return response
        status, body = response.unwrap()
        return result.Success(None if status == STATUS_NOT_FOUND else body)

    async def list(
        self, prefix: str
    ) -> result.Result[list[str], storage.StorageError]:
        response = await self._client.request(
            "GET", "/objects", params={"prefix": prefix}
        )
        if isinstance(response, result.Failure):
            return response
        _, body = response.unwrap()
        return _decode(body, _parse_keys)

    async def delete(
        self, key: str
    ) -> result.Result[None, storage.StorageError]:
        response = await self._client.request(
            "DELETE", "/object", params={"key": key}
        )
        return response.map(lambda _: None)


def _parse_row(document: dict[str, typing.Any]) -> storage.Row:
    value = base64.b64decode(document["value"], validate=True)
    return storage.Row(str(document["key"]), value, int(document["revision"]))


def _parse_rows(document: typing.Any) -> list[storage.Row]:
    return [_parse_row(row) for row in document["rows"]]


def _parse_keys(document: typing.Any) -> list[str]:
    return msgspec.convert(document["keys"], list[str])


def _decode(
    body: bytes, parse: abc.Callable[[typing.Any], ValueT]
) -> result.Result[ValueT, storage.StorageError]:
    """Decode a JSON body and convert it with ``parse``.

    A body in another format, for example from a proxy on the path, counts
    as UNAVAILABLE.
    """
    try:
        document = decoding.decode_json(body, object)
        return result.Success(decoding.decode_with(parse, document))
    except decoding.DecodingError as error:
        kind = storage.StorageErrorKind.UNAVAILABLE
        text = f"malformed response: {error!r}"
        return result.Failure(storage.StorageError(kind, text))
