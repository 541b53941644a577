"""Store stand-in: the platform's store, in memory, over HTTP."""

import asyncio
import base64
import time
import typing

from aiohttp import web
import attrs
import msgspec

__all__ = ["FakeStore", "StoreCopy"]

RowKey = tuple[str, str, str]
OPERATOR_TABLE = "op"
BEHIND_CHECK_SECONDS = 0.1


@attrs.frozen
class StoreCopy:
    """What a store held at a moment."""

    rows: dict[RowKey, tuple[bytes, int]]
    version: int


class FakeStore:
    """Rows, conditional transactions and a feed of changes.

    While it is ``silent`` a wait for changes is never answered.
    ``refuse`` is a status with which every call is answered, or 0, and
    ``lose_answers`` has writes take effect and the connection end.
    ``forget_history`` makes the feed answer that it is gone, once.
    ``era`` is stated in all answers unless it is 0. Reads of the operators'
    table are as of ``behind_seconds`` ago, and state the time of then.
    """

    def __init__(self) -> None:
        self.rows: dict[RowKey, tuple[bytes, int]] = {}
        self.version = 0
        self.era = 0
        self.calls = 0
        self.refuse = 0
        self.silent = False
        self.lose_answers = False
        self.behind_seconds = 0.0
        self.forget_history = False
        self.port = 0
        self._log: list[tuple[int, RowKey, bytes | None]] = []
        self._written_at: list[tuple[float, int]] = []
        self._changed = asyncio.Event()
        self._runner: web.AppRunner | None = None

    async def start(self, port: int = 0) -> None:
        """Listen on ``port`` of loopback, or on a free one."""
        app = web.Application()
        app.on_response_prepare.append(self._state_era)
        app.router.add_post("/v1/rows-tx", self._commit)
        app.router.add_get("/v1/rows-get", self._get)
        app.router.add_get("/v1/rows-feed", self._feed)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", port)
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def stop(self) -> None:
        """End all connections."""
        assert self._runner is not None
        self._changed.set()
        await self._runner.cleanup()

    def copy(self) -> StoreCopy:
        """Return a copy to come back from later."""
        return StoreCopy(dict(self.rows), self.version)

    def restore(self, copy: StoreCopy) -> None:
        """Come back from a copy; waits for changes end without an answer."""
        self.era += 1
        self.rows = dict(copy.rows)
        self.version = copy.version
        self._log = [item for item in self._log if item[0] <= copy.version]
        self._changed.set()
        self._changed = asyncio.Event()

    async def _state_era(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        if self.era:
            response.headers["Store-Era"] = str(self.era)

    def put(self, table: str, key: str, document: object) -> int:
        """Write a row as the operator does; return its version."""
        self._write((table, "", key), msgspec.json.encode(document))
        return self.version

    def put_bytes(self, table: str, key: str, value: bytes) -> None:
        """Write a row as another program does."""
        self._write((table, "", key), value)

    def remove(self, table: str, key: str) -> None:
        """Drop a row as the operator does."""
        self._write((table, "", key), None)

    def read(self, table: str, key: str) -> typing.Any:
        """Return the document in a row, or None."""
        found = self.rows.get((table, "", key))
        return None if found is None else msgspec.json.decode(found[0])

    def _write(self, key: RowKey, value: bytes | None) -> None:
        self.version += 1
        if value is None:
            self.rows.pop(key, None)
        else:
            self.rows[key] = (value, self.version)
        self._log.append((self.version, key, value))
        self._written_at.append((time.monotonic(), self.version))
        self._changed.set()
        self._changed = asyncio.Event()

    def _refusal(self) -> web.Response | None:
        self.calls += 1
        return web.Response(status=self.refuse) if self.refuse else None

    async def _commit(self, request: web.Request) -> web.StreamResponse:
        refusal = self._refusal()
        if refusal is not None:
            return refusal
        document = await request.json()
        for item in document["expect"]:
            held = self.rows.get(_key(item), (b"", 0))[1]
            if held != item["ver"]:
                return web.json_response({"rows": []}, status=412)
        for item in document["puts"]:
            self._write(_key(item), base64.b64decode(item["value"]))
        for item in document["remove"]:
            self._write(_key(item), None)
        if self.lose_answers and request.transport is not None:
            request.transport.abort()
        return web.json_response(self._stamp())

    async def _get(self, request: web.Request) -> web.StreamResponse:
        refusal = self._refusal()
        if refusal is not None:
            return refusal
        query = request.query
        place = (query["table"], query.get("part", ""))
        newest = self._version_of(query["table"])
        found = [
            _row(key, value, version)
            for key, (value, version) in sorted(self._rows_at(newest).items())
            if key[:2] == place
            and query.get("from", "") <= key[2]
            and ("to" not in query or key[2] < query["to"])
        ]
        limit = int(query.get("limit", 500))
        return web.json_response(
            {
                "rows": found[:limit],
                "hasMore": len(found) > limit,
                **self._stamp(query["table"]),
            }
        )

    async def _feed(self, request: web.Request) -> web.StreamResponse:
        refusal = self._refusal()
        if refusal is not None:
            return refusal
        if self.silent:
            await asyncio.Event().wait()
        if self.forget_history:
            self.forget_history = False
            return web.Response(status=410)
        after = int(request.query["after"])
        if after > self._version_of(request.query["table"]):
            return web.Response(status=410)
        era = self.era
        until = time.monotonic() + int(request.query["waitMs"]) / 1000
        while True:
            if self.era != era and request.transport is not None:
                request.transport.abort()
            newest = self._version_of(request.query["table"])
            found = [
                _row(key, value, version)
                for version, key, value in self._log
                if after < version <= newest
                and key[0] == request.query["table"]
            ]
            left = until - time.monotonic()
            if found or left <= 0:
                stamp = self._stamp(request.query["table"])
                body = {"rows": found, "hasMore": False, **stamp}
                return web.json_response(body)
            changed = self._changed
            try:
                async with asyncio.timeout(self._wait_of(left)):
                    await changed.wait()
            except TimeoutError:
                continue

    def _wait_of(self, left: float) -> float:
        # While it is behind, a change shows later than it is made.
        return min(left, BEHIND_CHECK_SECONDS) if self.behind_seconds else left

    def _version_of(self, table: str) -> int:
        """Return the version as of which reads of a table are."""
        if not self.behind_seconds or table != OPERATOR_TABLE:
            return self.version
        moment = time.monotonic() - self.behind_seconds
        versions = (item for at, item in self._written_at if at <= moment)
        return max(versions, default=0)

    def _rows_at(self, newest: int) -> dict[RowKey, tuple[bytes, int]]:
        if newest == self.version:
            return self.rows
        rows: dict[RowKey, tuple[bytes, int]] = {}
        for version, key, value in self._log:
            if version > newest:
                continue
            if value is None:
                rows.pop(key, None)
            else:
                rows[key] = (value, version)
        return rows

    def _stamp(self, table: str = "") -> dict[str, int]:
        moment = time.monotonic()
        if table == OPERATOR_TABLE:
            moment -= self.behind_seconds
        return {
            "ver": self._version_of(table),
            "nowMs": int(moment * 1000),
        }


def _key(item: dict[str, str]) -> RowKey:
    return item["table"], item["part"], item["key"]


def _row(
    key: RowKey, value: bytes | None, version: int
) -> dict[str, typing.Any]:
    row: dict[str, typing.Any] = {
        "table": key[0],
        "part": key[1],
        "key": key[2],
        "ver": version,
    }
    if value is None:
        return {**row, "deleted": True}
    return {**row, "value": base64.b64encode(value).decode()}
