"""Stand-in of the platform's store: rows, transactions, a feed."""

import asyncio
import base64
import json
import time
import urllib.parse

import http_wire

__all__ = ["Store"]

ROWS_MAX = 500
HISTORY_SECONDS = 20.0

Key = tuple[str, str, str]
Rows = dict[Key, tuple[bytes, int]]


class Store:
    """Answers the calls of the store that sidecars make.

    ``delay`` is added to each answer. Calls wait for their answers while
    ``answering`` is clear.
    """

    def __init__(self) -> None:
        self.rows: Rows = {}
        self.version = 0
        self.era = 0
        self.delay = 0.004
        self.answering = asyncio.Event()
        self.answering.set()
        self.writes: list[tuple[float, str, str]] = []
        self._log: list[tuple[int, float, Key, bytes | None]] = []
        self._changed = asyncio.Event()
        self._away = False
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen at an address."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def stop(self) -> None:
        """Accept no further connections."""
        if self._server is not None:
            self._server.close()

    def put(self, table: str, key: str, document: object) -> None:
        """Write a row as the operator does."""
        self._write((table, "", key), json.dumps(document).encode())

    def remove(self, table: str, key: str) -> None:
        """Drop a row as the operator does."""
        self._write((table, "", key), None)

    def read(self, table: str, key: str) -> dict[str, object] | None:
        """Return the document in a row."""
        found = self.rows.get((table, "", key))
        return None if found is None else json.loads(found[0])

    def copy(self) -> tuple[Rows, int]:
        """Return what the store holds, to come back from later."""
        return dict(self.rows), self.version

    def go_away(self) -> None:
        """End all connections, and take none until ``come_back``."""
        self._away = True
        for writer in list(self._writers):
            writer.transport.abort()

    def come_back(self, copy: tuple[Rows, int]) -> None:
        """Answer again, from a copy, in the next era."""
        self.era += 1
        self.rows, self.version = dict(copy[0]), copy[1]
        self._log = [item for item in self._log if item[0] <= copy[1]]
        self._away = False

    def _write(self, key: Key, value: bytes | None) -> None:
        self.version += 1
        if value is None:
            self.rows.pop(key, None)
        else:
            self.rows[key] = (value, self.version)
        now = time.monotonic()
        self._log.append((self.version, now, key, value))
        self.writes.append((now, key[0], key[2]))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while not self._away:
                request = await http_wire.read_message(reader)
                status, document = await self._answer(request)
                await asyncio.sleep(self.delay)
                await self.answering.wait()
                headers = {"Content-Type": "application/json"}
                if self.era:
                    headers["Store-Era"] = str(self.era)
                body = json.dumps(document).encode()
                writer.write(
                    http_wire.encode(f"HTTP/1.1 {status} X", headers, body)
                )
                await writer.drain()
        except (EOFError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self, request: http_wire.Message
    ) -> tuple[int, dict[str, object]]:
        path, _, text = request.path.partition("?")
        query = dict(urllib.parse.parse_qsl(text, keep_blank_values=True))
        if path == "/v1/rows-get":
            return 200, self._get(query)
        if path == "/v1/rows-feed":
            return await self._feed(query)
        if path == "/v1/rows-tx":
            return self._commit(json.loads(request.body))
        return 404, {}

    def _get(self, query: dict[str, str]) -> dict[str, object]:
        found = []
        for key in sorted(self.rows):
            if key[:2] != (query["table"], query.get("part", "")):
                continue
            if key[2] < query.get("from", ""):
                continue
            if "to" in query and key[2] >= query["to"]:
                continue
            found.append(_row(key, *self.rows[key]))
        limit = min(int(query.get("limit", ROWS_MAX)), ROWS_MAX)
        return {
            "rows": found[:limit],
            "hasMore": len(found) > limit,
            **self._stamp(),
        }

    async def _feed(
        self, query: dict[str, str]
    ) -> tuple[int, dict[str, object]]:
        after = int(query["after"])
        until = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            oldest = time.monotonic() - HISTORY_SECONDS
            lost = [item for item in self._log if item[1] < oldest]
            if after > self.version or (lost and lost[-1][0] > after):
                return 410, {}
            found = []
            for version, _, key, value in self._log:
                if version > after and key[0] == query["table"]:
                    found.append(_row(key, value, version))
            left = until - time.monotonic()
            if found or left <= 0:
                return 200, {"rows": found, "hasMore": False, **self._stamp()}
            try:
                async with asyncio.timeout(left):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _commit(
        self, document: dict[str, list[dict[str, object]]]
    ) -> tuple[int, dict[str, object]]:
        for item in document.get("expect", []):
            if self.rows.get(_key(item), (b"", 0))[1] != item["ver"]:
                return 412, {"rows": [], **self._stamp()}
        for item in document.get("puts", []):
            if item["table"] in ("op", "servers"):
                return 403, {}
        for item in document.get("puts", []):
            self._write(_key(item), base64.b64decode(str(item["value"])))
        for item in document.get("remove", []):
            self._write(_key(item), None)
        return 200, self._stamp()

    def _stamp(self) -> dict[str, object]:
        return {"ver": self.version, "nowMs": int(time.monotonic() * 1000)}


def _key(item: dict[str, object]) -> Key:
    return str(item["table"]), str(item.get("part", "")), str(item["key"])


def _row(key: Key, value: bytes | None, version: int) -> dict[str, object]:
    row: dict[str, object] = {
        "table": key[0],
        "part": key[1],
        "key": key[2],
        "ver": version,
    }
    if value is None:
        row["deleted"] = True
    else:
        row["value"] = base64.b64encode(value).decode()
    return row
