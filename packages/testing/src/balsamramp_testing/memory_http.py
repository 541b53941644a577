"""Serves and calls HTTP applications over in-memory streams."""

import asyncio
import json
import typing
import urllib.parse

import attrs
import uvicorn
import uvicorn.server

__all__ = ["Exchange", "MemorySession", "exchange", "serve"]

HEADER_END = b"\r\n\r\n"


@attrs.frozen
class Exchange:
    """One request and its response, as bytes on the wire."""

    request: bytes
    answer: bytes

    @property
    def status(self) -> int:
        """Return the status code of the response."""
        return int(self.answer.split(b" ", 2)[1])

    @property
    def body(self) -> bytes:
        """Return the body of the response."""
        return self.answer.partition(HEADER_END)[2]


async def serve(application: typing.Any, host: str, port: int) -> None:
    """Serve an ASGI application on the streams of the running loop."""
    config = uvicorn.Config(
        application,
        http="httptools",
        lifespan="off",
        log_config=None,
        access_log=False,
        server_header=False,
        date_header=False,
    )
    config.load()
    state = uvicorn.server.ServerState()

    def make_protocol() -> typing.Any:
        protocol: typing.Any = config.http_protocol_class
        return protocol(config=config, server_state=state, app_state={})

    await asyncio.get_running_loop().create_server(make_protocol, host, port)


async def exchange(
    host: str,
    port: int,
    method: str,
    path: str,
    headers: typing.Sequence[tuple[str, str]] = (),
    body: bytes = b"",
) -> Exchange:
    """Send one request over a new connection."""
    lines = [f"{method} {path} HTTP/1.1", f"host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"content-length: {len(body)}", "connection: close"]
    request = "\r\n".join(lines).encode() + HEADER_END + body
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(request)
    try:
        answer = await reader.read()
    finally:
        writer.close()
    return Exchange(request, answer)


class MemorySession:
    """Replaces aiohttp.ClientSession in the operators' client.

    The host of a URL is the name of a node, as in ``http://a1:3``.
    """

    def __init__(self, **options: typing.Any) -> None:
        self._options = options

    async def __aenter__(self) -> typing.Self:
        return self

    async def __aexit__(self, *_: object) -> None:
        return None

    def request(
        self, method: str, url: str, **arguments: typing.Any
    ) -> "_Request":
        """Return a context manager that sends the request."""
        return _Request(method, url, arguments)


class _Request:
    def __init__(
        self, method: str, url: str, arguments: dict[str, typing.Any]
    ) -> None:
        self._method = method
        self._url = url
        self._arguments = arguments
        self.status = 0
        self._body = b""

    async def __aenter__(self) -> typing.Self:
        authority, _, path = self._url.partition("://")[2].partition("/")
        host, _, port = authority.partition(":")
        parameters = self._arguments.get("params")
        if parameters:
            path += "?" + urllib.parse.urlencode(parameters)
        document = self._arguments.get("json")
        body = b"" if document is None else json.dumps(document).encode()
        exchanged = await exchange(
            host, int(port), self._method, f"/{path}", (), body
        )
        self.status = exchanged.status
        self._body = exchanged.body
        return self

    async def __aexit__(self, *_: object) -> None:
        return None

    async def json(self) -> typing.Any:
        """Return the decoded JSON body."""
        return json.loads(self._body)
