"""The ingress: bodies over the limit, encoded paths, disconnects."""

import asyncio
from collections import abc
import datetime
import typing

import aiohttp

from balsamramp_core import settings
from balsamramp_core import verdict
from balsamramp_node.outbound import call_proxy
from balsamramp_node.outbound import ingress
from balsamramp_node.process import http_server
from balsamramp_wire import messages

DEFAULTS = ingress.IngressDefaults(datetime.timedelta(seconds=20), 2, 10)
FAILURE = verdict.Failure(
    verdict.Verdict.NOT_RUN,
    verdict.Reason.OVERLOADED,
    "no slot",
    datetime.timedelta(milliseconds=20),
)


class _FakeProxy:
    """Refuses calls; those to ``/wait`` wait until they are cancelled."""

    def __init__(self) -> None:
        self.requests: list[call_proxy.IngressRequest] = []
        self.waiting = asyncio.Event()
        self.cancelled = asyncio.Event()

    async def call(
        self, request: call_proxy.IngressRequest
    ) -> messages.CallFailure:
        self.requests.append(request)
        if request.path == "/wait":
            await self._wait()
        return messages.CallFailure(
            call_id="c1", failure=FAILURE, load=messages.Load(0, 0)
        )

    async def _wait(self) -> None:
        self.waiting.set()
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            self.cancelled.set()
            raise


Scenario = abc.Callable[
    [_FakeProxy, aiohttp.ClientSession, str], abc.Awaitable[None]
]


async def _run_with_server(scenario: Scenario) -> None:
    proxy = _FakeProxy()
    application = ingress.make_application(
        typing.cast(call_proxy.CallProxy, proxy), DEFAULTS
    )
    server = http_server.HttpServer(
        "ingress", application, settings.Address("127.0.0.1", 0)
    )
    await server.start()
    headers = {"balsamramp-service": "caja"}
    async with aiohttp.ClientSession(headers=headers) as session:
        await scenario(proxy, session, f"http://{server.address}")
    await server.stop()


async def _refuse_large_body(
    proxy: _FakeProxy, session: aiohttp.ClientSession, url: str
) -> None:
    async def chunks() -> abc.AsyncIterator[bytes]:
        yield b"x" * 6
        yield b"x" * 6

    for body in (b"x" * 11, chunks()):
        async with session.post(url, data=body) as response:
            assert response.status == 413
            assert response.headers["balsamramp-verdict"] == "not-run"
    assert proxy.requests == []


async def _forward_encoded_path(
    proxy: _FakeProxy, session: aiohttp.ClientSession, url: str
) -> None:
    async with session.get(f"{url}/a%2Fb/%C3%B1?c=%26&d=%20") as response:
        assert response.status == 503
        assert response.headers["retry-after"] == "1"
    assert proxy.requests[0].path == "/a%2Fb/%C3%B1?c=%26&d=%20"


async def _cancel_call(
    proxy: _FakeProxy, session: aiohttp.ClientSession, url: str
) -> None:
    pending_call = asyncio.create_task(session.post(f"{url}/wait", data=b"x"))
    await proxy.waiting.wait()
    pending_call.cancel()
    await proxy.cancelled.wait()


def test_call_with_body_over_the_limit_is_refused() -> None:
    asyncio.run(_run_with_server(_refuse_large_body))


def test_encoded_path_is_forwarded_unchanged() -> None:
    asyncio.run(_run_with_server(_forward_encoded_path))


def test_call_is_cancelled_when_its_caller_disconnects() -> None:
    asyncio.run(_run_with_server(_cancel_call))
