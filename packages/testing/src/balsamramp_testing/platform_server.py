"""Serves the in-memory platform over HTTP, as a process.

``PUT /faults`` sets faults while it runs, for example
``{"down": true}`` or ``{"write_faults": ["lost-after"]}``.
"""

import base64
import typing

import falcon
import falcon.asgi
import msgspec
from returns import result

from balsamramp_core import clock
from balsamramp_core import storage
from balsamramp_testing import memory_platform
from balsamramp_testing import server_process

__all__ = ["main", "make_application"]

SCAN_ROWS_MAX = 1000

HTTP_STATUSES = {
    storage.StorageErrorKind.CONFLICT: 409,
    storage.StorageErrorKind.UNAVAILABLE: 503,
}


class _RowResource:
    def __init__(self, table: memory_platform.MemoryTable) -> None:
        self._table = table

    async def on_get(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        row = _unwrap_or_raise(await self._table.read(_key(req)), resp)
        if row is None:
            resp.status = falcon.HTTP_NOT_FOUND
            return
        resp.media = _encode_row(row)


class _RowsResource:
    def __init__(self, table: memory_platform.MemoryTable) -> None:
        self._table = table

    async def on_get(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        prefix = req.get_param("prefix") or ""
        after = req.get_param("after") or ""
        limit = req.get_param_as_int("limit") or SCAN_ROWS_MAX
        rows = _unwrap_or_raise(
            await self._table.scan(prefix, after, limit), resp
        )
        resp.media = {"rows": [_encode_row(row) for row in rows]}


class _TransactionsResource:
    def __init__(self, table: memory_platform.MemoryTable) -> None:
        self._table = table

    async def on_post(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        body = await req.bounded_stream.read()
        transaction = msgspec.json.decode(body, type=storage.Transaction)
        _unwrap_or_raise(await self._table.commit(transaction), resp)
        resp.media = {}


class _ObjectResource:
    def __init__(self, objects: memory_platform.MemoryObjectStore) -> None:
        self._objects = objects

    async def on_get(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        value = _unwrap_or_raise(await self._objects.get(_key(req)), resp)
        if value is None:
            resp.status = falcon.HTTP_NOT_FOUND
            return
        resp.data = value

    async def on_put(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        body = await req.bounded_stream.read()
        _unwrap_or_raise(await self._objects.put(_key(req), body), resp)

    async def on_delete(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        _unwrap_or_raise(await self._objects.delete(_key(req)), resp)


class _ObjectsResource:
    def __init__(self, objects: memory_platform.MemoryObjectStore) -> None:
        self._objects = objects

    async def on_get(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        prefix = req.get_param("prefix") or ""
        keys = _unwrap_or_raise(await self._objects.list(prefix), resp)
        resp.media = {"keys": keys}


class _FaultsResource:
    def __init__(self, faults: memory_platform.Faults) -> None:
        self._faults = faults

    async def on_put(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        body = await req.bounded_stream.read()
        given = msgspec.json.decode(body, type=memory_platform.Faults)
        self._faults.down = given.down
        self._faults.delay = given.delay
        self._faults.write_faults = given.write_faults


def make_application() -> falcon.asgi.App:
    """Return the application with an empty table and object store."""
    faults = memory_platform.Faults()
    time = clock.SystemClock()
    table = memory_platform.MemoryTable(faults, time)
    objects = memory_platform.MemoryObjectStore(faults, time)
    application = falcon.asgi.App()
    application.add_route("/table/rows", _RowsResource(table))
    application.add_route("/table/row", _RowResource(table))
    application.add_route("/table/transactions", _TransactionsResource(table))
    application.add_route("/objects", _ObjectsResource(objects))
    application.add_route("/object", _ObjectResource(objects))
    application.add_route("/faults", _FaultsResource(faults))
    return application


def main() -> None:
    """Serve the fake platform until SIGINT or SIGTERM."""
    parser = server_process.parser("Run the fake platform.")
    parsed = parser.parse_args()
    server_process.run(make_application(), parsed.port, parsed.addresses)


def _key(req: falcon.asgi.Request) -> str:
    return req.get_param("key", required=True)


def _unwrap_or_raise(
    outcome: result.Result[typing.Any, storage.StorageError],
    resp: falcon.asgi.Response,
) -> typing.Any:
    if isinstance(outcome, result.Success):
        return outcome.unwrap()
    error = outcome.failure()
    if error.kind is storage.StorageErrorKind.OUTCOME_UNKNOWN:
        raise server_process.DroppedResponseError(error.message)
    raise falcon.HTTPError(HTTP_STATUSES[error.kind], title=error.message)


def _encode_row(row: storage.Row) -> dict[str, typing.Any]:
    return {
        "key": row.key,
        "value": base64.b64encode(row.value).decode(),
        "revision": row.revision,
    }


if __name__ == "__main__":
    main()
