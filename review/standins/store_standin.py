"""Stand-in of the platform's store: rows, transactions and the feed."""

import asyncio
import base64
import json
import time
import urllib.parse

import http_standin

__all__ = ["StoreStandin"]

TRANSACTION_SECONDS = 0.003
READ_SECONDS = 0.001
HISTORY_SECONDS = 20.0
ROWS_MAX = 500

RowKey = tuple[str, str, str]


class StoreStandin:
    """Keeps rows in memory; its answers are linearizable."""

    def __init__(self) -> None:
        self.rows: dict[RowKey, tuple[bytes, int]] = {}
        self.version = 0
        self._history: list[tuple[float, int, RowKey, bytes | None]] = []
        self._changed = asyncio.Event()
        self._server = http_standin.Server(self._handle)

    async def start(self, host: str, port: int) -> None:
        """Listen on ``port`` of ``host``."""
        await self._server.start(host, port)

    async def stop(self) -> None:
        """Close the port and all connections."""
        await self._server.stop()

    def copy_from(self, other: "StoreStandin") -> None:
        """Take over all rows of ``other`` with their versions."""
        self.rows = dict(other.rows)
        self.version = other.version
        self._history = list(other._history)

    def put(self, table: str, key: str, document: object) -> int:
        """Write a row as the operator does; return its version."""
        self._write((table, "", key), json.dumps(document).encode())
        return self.version

    def remove(self, table: str, key: str) -> int:
        """Drop a row as the operator does; return the version."""
        self._write((table, "", key), None)
        return self.version

    def read(self, table: str, key: str) -> object:
        """Return the document in a row, or None."""
        found = self.rows.get((table, "", key))
        return None if found is None else json.loads(found[0])

    def _write(self, key: RowKey, value: bytes | None) -> None:
        self._apply([(key, value)])

    def _apply(self, writes: list[tuple[RowKey, bytes | None]]) -> None:
        self.version += 1
        now = time.monotonic()
        for key, value in writes:
            if value is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = value, self.version
            self._history.append((now, self.version, key, value))
        while self._history and self._history[0][0] < now - HISTORY_SECONDS:
            del self._history[0]
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: http_standin.Message) -> bytes:
        parts = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        if parts.path == "/v1/rows-tx":
            await asyncio.sleep(TRANSACTION_SECONDS)
            return self._commit(json.loads(request.body))
        if parts.path == "/v1/rows-get":
            await asyncio.sleep(READ_SECONDS)
            return self._get(query)
        if parts.path == "/v1/rows-feed":
            return await self._feed(query)
        return _answer(404, {})

    def _commit(self, document: dict[str, list[dict[str, str]]]) -> bytes:
        for item in document["expect"]:
            if self.rows.get(_key(item), (b"", 0))[1] != item["ver"]:
                rows = [
                    _row(_key(item), *self.rows[_key(item)])
                    for item in document["expect"]
                    if _key(item) in self.rows
                ]
                return _answer(412, {"rows": rows, **self._stamp()})
        writes: list[tuple[RowKey, bytes | None]] = []
        for item in document.get("puts", []):
            writes.append((_key(item), base64.b64decode(item["value"])))
        for item in document.get("remove", []):
            writes.append((_key(item), None))
        if any(key[0] in ("op", "servers") for key, _ in writes):
            return _answer(403, {})
        self._apply(writes)
        return _answer(200, self._stamp())

    def _get(self, query: dict[str, str]) -> bytes:
        found = []
        for key, (value, version) in sorted(self.rows.items()):
            if key[:2] != (query["table"], query.get("part", "")):
                continue
            if key[2] < query.get("from", ""):
                continue
            if "to" in query and key[2] >= query["to"]:
                continue
            found.append(_row(key, value, version))
        limit = min(int(query.get("limit", ROWS_MAX)), ROWS_MAX)
        more = len(found) > limit
        document = {"rows": found[:limit], "hasMore": more, **self._stamp()}
        return _answer(200, document)

    async def _feed(self, query: dict[str, str]) -> bytes:
        after = int(query["after"])
        until = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            oldest = self._history[0][1] if self._history else 0
            if after < oldest - 1:
                return _answer(410, {})
            found = [
                _row(key, value, version)
                for _, version, key, value in self._history
                if version > after and key[0] == query["table"]
            ]
            left = until - time.monotonic()
            if found or left <= 0:
                return _answer(200, {"rows": found, **self._stamp()})
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue

    def _stamp(self) -> dict[str, int]:
        return {"ver": self.version, "nowMs": int(time.monotonic() * 1000)}


def _key(item: dict[str, str]) -> RowKey:
    return item["table"], item["part"], item["key"]


def _row(
    key: RowKey, value: bytes | None, version: int
) -> dict[str, str | int | bool]:
    row: dict[str, str | int | bool] = {
        "table": key[0],
        "part": key[1],
        "key": key[2],
        "ver": version,
    }
    if value is None:
        return {**row, "deleted": True}
    return {**row, "value": base64.b64encode(value).decode()}


def _answer(status: int, document: object) -> bytes:
    return http_standin.encode(
        f"HTTP/1.1 {status} x",
        {"content-type": "application/json"},
        json.dumps(document).encode(),
    )
