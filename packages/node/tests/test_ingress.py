"""Ingress: bodies over the limit, encoded paths, callers that leave."""

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


class _Calls:
    """Refuses calls, or lets those to ``/wait`` wait until cancelled."""

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


Act = abc.Callable[[_Calls, aiohttp.ClientSession, str], abc.Awaitable[None]]


async def _serve(act: Act) -> None:
    service = _Calls()
    application = ingress.make_application(
        typing.cast(call_proxy.CallProxy, service), DEFAULTS
    )
    server = http_server.HttpServer(
        "ingress", application, settings.Address("127.0.0.1", 0)
    )
    await server.start()
    headers = {"balsamramp-service": "caja"}
    async with aiohttp.ClientSession(headers=headers) as session:
        await act(service, session, f"http://{server.address}")
    await server.stop()


async def _refuse_large_body(
    service: _Calls, session: aiohttp.ClientSession, url: str
) -> None:
    async def chunks() -> abc.AsyncIterator[bytes]:
        yield b"x" * 6
        yield b"x" * 6

    for body in (b"x" * 11, chunks()):
        async with session.post(url, data=body) as response:
            assert response.status == 413
            assert response.headers["balsamramp-verdict"] == "not-run"
    assert service.requests == []


async def _pass_path_on(
    service: _Calls, session: aiohttp.ClientSession, url: str
) -> None:
    async with session.get(f"{url}/a%2Fb/%C3%B1?c=%26&d=%20") as response:
        assert response.status == 503
        assert response.headers["retry-after"] == "1"
    assert service.requests[0].path == "/a%2Fb/%C3%B1?c=%26&d=%20"


async def _cancel(
    service: _Calls, session: aiohttp.ClientSession, url: str
) -> None:
    calling = asyncio.create_task(session.post(f"{url}/wait", data=b"x"))
    await service.waiting.wait()
    calling.cancel()
    await service.cancelled.wait()


def test_large_body_is_refused_before_it_runs() -> None:
    asyncio.run(_serve(_refuse_large_body))


def test_encoded_path_is_passed_on_as_it_came() -> None:
    asyncio.run(_serve(_pass_path_on))


def test_caller_that_leaves_cancels_its_call() -> None:
    asyncio.run(_serve(_cancel))
