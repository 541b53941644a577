"""Stand-in of the platform's store: rows, transactions and a feed."""

import asyncio
import base64
import json
import time
import typing
import urllib.parse

import http1

__all__ = ["NODE_TABLE", "Store"]

RowKey = tuple[str, str, str]
# The table in which the sidecars keep their rows.
NODE_TABLE = "balsamramp"
ROWS_MAX = 500
STATUS_REJECTED = 503
# As on the sites.
ANSWER_SECONDS = 0.004
STATUS_CONFLICT = 412


class Store:
    """Keeps the rows in memory and listens once for each machine.

    Calls of the machines in ``rejected`` are answered 503 and do nothing.
    """

    def __init__(self) -> None:
        self.rejected: set[str] = set()
        self.rejected_calls = 0
        self.version = 0
        self._rows: dict[RowKey, tuple[bytes, int]] = {}
        self._log: list[tuple[int, RowKey, bytes | None]] = []
        self._changed = asyncio.Event()
        self._servers: list[http1.Server] = []

    async def listen(self, machine: str, host: str, port: int) -> None:
        """Listen for the calls of one machine."""

        async def handle(request: http1.Request) -> http1.Response:
            if machine in self.rejected:
                self.rejected_calls += 1
                return http1.Response(STATUS_REJECTED)
            await asyncio.sleep(ANSWER_SECONDS)
            return await self._handle(request)

        server = http1.Server(handle)
        await server.start(host, port)
        self._servers.append(server)

    def stop(self) -> None:
        """Close all connections."""
        for server in self._servers:
            server.stop()

    def put(self, table: str, key: str, document: object) -> int:
        """Write a row and return its version."""
        self.put_bytes(table, key, json.dumps(document).encode())
        return self.version

    def put_bytes(self, table: str, key: str, value: bytes) -> None:
        """Write the bytes of a row."""
        self._write((table, "", key), value)

    def read(self, table: str, key: str) -> typing.Any:
        """Return the document in a row, or None."""
        row = self._rows.get((table, "", key))
        return None if row is None else json.loads(row[0])

    def keys(self, table: str = NODE_TABLE) -> list[str]:
        """Return the keys of a table."""
        return sorted(key[2] for key in self._rows if key[0] == table)

    async def _handle(self, request: http1.Request) -> http1.Response:
        query = dict(
            urllib.parse.parse_qsl(
                request.target.partition("?")[2], keep_blank_values=True
            )
        )
        if request.path == "/v1/rows-tx":
            return self._commit(json.loads(request.body))
        if request.path == "/v1/rows-get":
            return self._get(query)
        if request.path == "/v1/rows-feed":
            return await self._feed(query)
        return http1.Response(404)

    def _write(self, key: RowKey, value: bytes | None) -> None:
        self._rows.pop(key, None)
        if value is not None:
            self._rows[key] = (value, self.version + 1)
        self.version += 1
        self._log.append((self.version, key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    def _commit(self, document: dict[str, typing.Any]) -> http1.Response:
        for item in document["expect"]:
            if self._rows.get(_key(item), (b"", 0))[1] != item["ver"]:
                return _json({"rows": []}, STATUS_CONFLICT)
        for item in document["puts"]:
            self._write(_key(item), base64.b64decode(item["value"]))
        for item in document["remove"]:
            self._write(_key(item), None)
        return _json(self._stamp())

    def _get(self, query: dict[str, str]) -> http1.Response:
        found = []
        for key, (value, version) in sorted(self._rows.items()):
            if key[:2] != (query["table"], query.get("part", "")):
                continue
            if key[2] < query.get("from", ""):
                continue
            if "to" in query and key[2] >= query["to"]:
                continue
            found.append(_row(key, value, version))
        limit = min(int(query.get("limit", ROWS_MAX)), ROWS_MAX)
        return _json(
            {
                "rows": found[:limit],
                "hasMore": len(found) > limit,
                **self._stamp(),
            }
        )

    async def _feed(self, query: dict[str, str]) -> http1.Response:
        after = int(query["after"])
        until = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            changed = self._changed
            found = [
                _row(key, value, version)
                for version, key, value in self._log
                if version > after and key[0] == query["table"]
            ]
            left = until - time.monotonic()
            if found or left <= 0:
                return _json(
                    {"rows": found, "hasMore": False, **self._stamp()}
                )
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                continue

    def _stamp(self) -> dict[str, int]:
        return {"ver": self.version, "nowMs": int(time.monotonic() * 1000)}


def _json(document: object, status: int = 200) -> http1.Response:
    return http1.Response(
        status,
        {"content-type": "application/json"},
        json.dumps(document).encode(),
    )


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
