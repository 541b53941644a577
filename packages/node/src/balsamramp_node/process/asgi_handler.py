"""Runs a small ASGI application as a handler of HTTP connections."""

from collections import abc
import typing
import urllib.parse

from balsamramp_node.process import caller_connection

__all__ = ["Application", "AsgiHandler"]

Application = abc.Callable[..., abc.Awaitable[None]]


class AsgiHandler:
    """Passes each request to the application with its whole body.

    The application sends one response; its body may come in parts.
    """

    def __init__(self, application: Application) -> None:
        self._application = application

    async def handle_request(
        self, raw: caller_connection.RawRequest
    ) -> caller_connection.RawResponse:
        """Return the response of the application."""
        path, _, query = raw.target.partition(b"?")
        scope = {
            "type": "http",
            "method": raw.method,
            "path": urllib.parse.unquote(path.decode("latin-1")),
            "query_string": query,
            "headers": raw.headers,
        }
        response = caller_connection.RawResponse(
            status=500, headers=[], body=b""
        )

        async def receive() -> dict[str, typing.Any]:
            return {
                "type": "http.request",
                "body": raw.body,
                "more_body": False,
            }

        async def send(event: abc.Mapping[str, typing.Any]) -> None:
            if event["type"] == "http.response.start":
                response.status = event["status"]
                response.headers = [
                    (name, value)
                    for name, value in event.get("headers", ())
                    if name != b"content-length"
                ]
                return
            response.body += event.get("body", b"")

        await self._application(scope, receive, send)
        return response
