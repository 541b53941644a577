"""Responses of targets and of the platform whose status is not HTTP's.

Guards against a caller that gets 000 from its target, and against a write to
the store that is taken for refused.
"""

import asyncio
from collections import abc
import datetime
import pathlib
import typing

import aiohttp
import pytest
import raw_target
from returns import result
import sidecar_fleet
import store_client
import usage_client

from balsamramp_core import clock
from balsamramp_core import settings
from balsamramp_core import storage
from balsamramp_node.usage import usage_publisher

TIMEOUT = datetime.timedelta(seconds=20)
PROMPT_SECONDS = 2.0
LOG_SECONDS = 0.1
STATUSES = ["000", "099", "600", "999"]
HEAD = (
    b"X-Balsamramp-Request-Id: REQUEST-ID\r\n"
    b"X-Balsamramp-Response-Signature: 3e1b.07\r\n"
    b"Content-Length: 5\r\n\r\nwhole"
)
REPORT = usage_publisher.UsageReport(
    window=1, counts={"pulo780": 412}, holder="sidecar-1", token=12
)


def _run(
    status: str, main: abc.Callable[[settings.Address], typing.Any]
) -> typing.Any:
    """Return what ``main`` gets from a platform that answers ``status``."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(f"HTTP/1.1 {status} x\r\n".encode())
        writer.write(b"Content-Length: 0\r\n\r\n")
        await reader.read()
        writer.close()

    async def start() -> typing.Any:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with asyncio.timeout(PROMPT_SECONDS):
            found = await main(settings.Address("127.0.0.1", port))
        server.close()
        # The transports close in the next turn of the event loop.
        await asyncio.sleep(0.01)
        return found

    return asyncio.run(start())


@pytest.mark.parametrize("status", STATUSES)
def test_read_of_the_store_with_an_invalid_status_fails(status: str) -> None:
    async def main(address: settings.Address) -> typing.Any:
        client = store_client.StoreClient(
            address, TIMEOUT, clock.SystemClock()
        )
        return await client.get("/v1/rows-get", {})

    found = _run(status, main)
    assert isinstance(found, result.Failure)
    assert found.failure().kind is storage.StorageErrorKind.UNAVAILABLE


@pytest.mark.parametrize("status", STATUSES)
def test_write_to_the_store_with_an_invalid_status_may_have_taken_effect(
    status: str,
) -> None:
    async def main(address: settings.Address) -> typing.Any:
        client = store_client.StoreClient(
            address, TIMEOUT, clock.SystemClock()
        )
        return await client.post("/v1/rows-tx", {})

    found = _run(status, main)
    assert isinstance(found, result.Failure)
    assert found.failure().kind is storage.StorageErrorKind.OUTCOME_UNKNOWN


@pytest.mark.parametrize("status", STATUSES)
def test_report_of_usage_with_an_invalid_status_fails(status: str) -> None:
    async def main(address: settings.Address) -> typing.Any:
        now = clock.SystemClock()
        return await usage_client.UsageClient(address, now).publish(
            REPORT, now.monotonic() + TIMEOUT
        )

    assert isinstance(_run(status, main), result.Failure)


async def _status(
    session: aiohttp.ClientSession, node: sidecar_fleet.SidecarProcess
) -> int:
    headers = {
        "Host": "caja.example",
        "X-Balsamramp-Request-Id": "r",
        "X-Balsamramp-Request-Timeout-Ms": "20000",
    }
    url = f"http://{node.address('callers')}/pay/1"
    async with session.post(url, headers=headers) as answer:
        await answer.read()
        return answer.status


def test_caller_gets_502_for_an_invalid_status_of_its_target(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with sidecar_fleet.SidecarFleet(tmp_path) as fleet:
            fleet.store.put("op", "config", sidecar_fleet.configuration(3))
            target = raw_target.RawTarget("i-raw", "caja")
            whole = b"HTTP/1.1 200 OK\r\n" + HEAD
            target.response = whole
            await target.start()
            ports = sidecar_fleet.free_ports()
            beside = await fleet.start_beside(
                target, "beside", "z-a", ports, fleet.store.port,
                ports["stream"],
            )  # fmt: skip
            other = await fleet.start("other", "catalogo")
            await fleet.wait_until_ready()
            async with aiohttp.ClientSession() as session:

                async def served() -> bool:
                    target.response = whole
                    return await _status(session, other) == 200

                for status in STATUSES:
                    for node in (beside, other):
                        await fleet.wait_until(served)
                        line = f"HTTP/1.1 {status} x\r\n"
                        target.response = line.encode() + HEAD
                        async with asyncio.timeout(PROMPT_SECONDS):
                            assert await _status(session, node) == 502
                        text = f"status that is not HTTP: {status}"
                        # The log is written every tenth of a second.
                        await asyncio.sleep(2 * LOG_SECONDS)
                        assert text in beside.log()

    asyncio.run(main())
