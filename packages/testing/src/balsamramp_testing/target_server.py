"""Fake target with configurable behaviour, as a process.

It announces itself to its node and renews the announcement, counts the
calls that it ran by request body or path, and responds with JSON that
repeats the request.
"""

import asyncio
import datetime
import typing

import aiohttp
import attrs
import falcon
import falcon.asgi
import msgspec

from balsamramp_core import settings
from balsamramp_testing import server_process

__all__ = ["Behaviour", "TargetApplication", "main"]

RENEW_INTERVAL = datetime.timedelta(milliseconds=500)


@attrs.define
class Behaviour:
    """How the target handles its calls; ``PUT /_behaviour`` changes it.

    At most ``slots`` calls run concurrently; further ones are shed with
    status 503. ``delay`` is the duration of a call. The share
    ``fail_share`` of the calls, and all calls under ``fail_path`` if it is
    set, get status 500.
    """

    slots: int = 20
    delay: datetime.timedelta = datetime.timedelta(milliseconds=2)
    fail_share: float = 0.0
    fail_path: str = ""


class TargetApplication:
    """The HTTP resources and counters of a target."""

    def __init__(self, target: str, version: str) -> None:
        self._target = target
        self._version = version
        self._behaviour = Behaviour()
        self._in_flight = 0
        self._highest = 0
        self._runs: dict[str, int] = {}
        self._attempts: dict[str, list[int]] = {}
        self._calls = 0

    def make(self) -> falcon.asgi.App:
        """Return the ASGI application."""
        application = falcon.asgi.App()
        application.add_route("/_behaviour", _BehaviourResource(self))
        application.add_route("/_runs", _RunsResource(self))
        application.add_route("/health", _HealthResource(self))
        application.add_route("/load", _LoadResource(self))
        application.add_sink(self._call, prefix="/")
        return application

    @property
    def runs(self) -> dict[str, int]:
        """Return the number of runs by request body, or path if empty."""
        return self._runs

    @property
    def attempts(self) -> dict[str, list[int]]:
        """Return the ``x-attempt`` numbers that ran, by body or path."""
        return self._attempts

    @property
    def highest(self) -> int:
        """Return the highest number of concurrent calls so far."""
        return self._highest

    @property
    def in_flight(self) -> int:
        """Return the number of calls in flight."""
        return self._in_flight

    def set_behaviour(self, behaviour: Behaviour) -> None:
        """Replace the behaviour for calls from now on."""
        self._behaviour = behaviour

    async def _call(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response | None,
        **parameters: typing.Any,
    ) -> None:
        assert resp is not None
        body = await req.bounded_stream.read()
        behaviour = self._behaviour
        if self._in_flight >= behaviour.slots:
            resp.status = falcon.HTTP_SERVICE_UNAVAILABLE
            resp.set_header("balsamramp-not-run", "true")
            return
        self._in_flight += 1
        self._highest = max(self._highest, self._in_flight)
        self._record_run(req, body)
        try:
            await asyncio.sleep(behaviour.delay.total_seconds())
            self._respond(req, resp, body, behaviour)
        finally:
            self._in_flight -= 1

    def _record_run(self, req: falcon.asgi.Request, body: bytes) -> None:
        key = body.decode(errors="replace") or req.path
        self._runs[key] = self._runs.get(key, 0) + 1
        attempt = int(req.get_header("x-attempt") or "1")
        self._attempts.setdefault(key, []).append(attempt)

    def _respond(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
        body: bytes,
        behaviour: Behaviour,
    ) -> None:
        self._calls += 1
        failing = bool(behaviour.fail_path) and req.path.startswith(
            behaviour.fail_path
        )
        share = behaviour.fail_share
        if int(self._calls * share) != int((self._calls - 1) * share):
            failing = True
        if failing:
            resp.status = falcon.HTTP_INTERNAL_SERVER_ERROR
        resp.media = {
            "target": self._target,
            "version": self._version,
            "method": req.method,
            "path": req.path,
            "body": body.decode(errors="replace"),
        }


class _BehaviourResource:
    def __init__(self, target: TargetApplication) -> None:
        self._target = target

    async def on_put(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        body = await req.bounded_stream.read()
        self._target.set_behaviour(msgspec.json.decode(body, type=Behaviour))


class _RunsResource:
    def __init__(self, target: TargetApplication) -> None:
        self._target = target

    async def on_get(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        resp.media = {
            "runs": self._target.runs,
            "attempts": self._target.attempts,
            "highest": self._target.highest,
        }


class _HealthResource:
    def __init__(self, target: TargetApplication) -> None:
        self._target = target

    async def on_get(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        resp.media = {"healthy": True}


class _LoadResource:
    def __init__(self, target: TargetApplication) -> None:
        self._target = target

    async def on_get(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        resp.media = {"in_flight": self._target.in_flight}


async def announce(
    admin: str,
    target: str,
    service: str,
    version: str,
    address: settings.Address,
) -> None:
    """Announce the target to its node and renew until cancelled."""
    body = {
        "service": service,
        "url": f"http://{address}",
        "labels": {"version": version},
        "instance": str(address.port),
    }
    async with aiohttp.ClientSession() as session:
        while True:
            try:
                async with session.put(
                    f"{admin}/v1/targets/{target}", json=body
                ) as response:
                    await response.read()
            except aiohttp.ClientError:
                await asyncio.sleep(RENEW_INTERVAL.total_seconds() / 5)
                continue
            await asyncio.sleep(RENEW_INTERVAL.total_seconds())


def main() -> None:
    """Serve a fake target until SIGINT or SIGTERM."""
    parser = server_process.parser("Run a fake target.")
    parser.add_argument("--target", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--version", default="v1")
    parser.add_argument("--node", required=True, help="admin URL of its node")
    parsed = parser.parse_args()
    target = TargetApplication(parsed.target, parsed.version)

    async def renew(address: settings.Address) -> None:
        await announce(
            parsed.node,
            parsed.target,
            parsed.service,
            parsed.version,
            address,
        )

    server_process.run(target.make(), parsed.port, parsed.addresses, renew)


if __name__ == "__main__":
    main()
