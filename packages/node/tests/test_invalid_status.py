"""Responses whose status is no HTTP status, such as 000 or 600.

Guards against a caller that gets one in place of a response, and against one
that is taken for interim, so that the request waits for another.
"""

import asyncio
from collections import abc
import datetime
import typing

import attrs
import pytest
from returns import result

from balsamramp_core import clock
from balsamramp_core import header_names
from balsamramp_core import metrics
from balsamramp_core import settings
from balsamramp_core import storage
from balsamramp_core import verdict
from balsamramp_node.inbound import http_target_client
from balsamramp_node.inbound import pooled_target_client
from balsamramp_node.inbound import target_client
from balsamramp_node.inbound import targets
from balsamramp_node.outbound import stream_client
from balsamramp_node.process import caller_messages
from balsamramp_node.process import http_storage
from balsamramp_wire import frames
from balsamramp_wire import messages

TIMEOUT = datetime.timedelta(seconds=20)
# A failure is known with the status line.
PROMPT_SECONDS = 2.0
BODY_MAX_BYTES = 1000
NAMES = header_names.DEFAULT_HEADER_NAMES
WHOLE = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole"
STATUSES = ["000", "099", "600", "999"]
# What follows the status.
RESPONSES = {
    "empty": b"content-length: 0\r\n\r\n",
    "with a body": b"content-length: 5\r\n\r\nwrong",
    "part of a body": b"content-length: 5\r\n\r\nwr",
    "without a length": b"\r\n",
    "chunked": b"transfer-encoding: chunked\r\n\r\n5\r\nwrong\r\n",
    "not run": f"{NAMES.not_run}: true\r\n\r\n".encode(),
    "another behind it": b"content-length: 0\r\n\r\n" + WHOLE,
}
CALL = messages.CallRequest(
    call_id="c",
    service="s",
    target="t",
    incarnation=1,
    method="GET",
    path="/",
    headers=(("host", "h.example"),),
    timeout=TIMEOUT,
    idempotent=True,
)
each_status = pytest.mark.parametrize("status", STATUSES)


def _respond(status: str, rest: str) -> bytes:
    return b"HTTP/1.1 %b x\r\n%b" % (status.encode(), RESPONSES[rest])


@attrs.define(eq=False)
class _Server:
    """Answers requests with given bytes; keeps the connections open."""

    responses: list[bytes]
    writers: list[asyncio.StreamWriter] = attrs.field(factory=list)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.append(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if b"content-length: " in head.lower():
                    length = head.lower().split(b"content-length: ")[1]
                    await reader.readexactly(int(length.split(b"\r\n")[0]))
                writer.write(self.responses.pop(0))
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


MainT = abc.Callable[[str], abc.Awaitable[typing.Any]]


def _run(responses: list[bytes], main: MainT) -> tuple[typing.Any, int]:
    """Return what ``main`` returns for the URL, and how often it connects."""

    async def start() -> tuple[typing.Any, int]:
        answering = _Server(responses)
        server = await asyncio.start_server(answering.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with asyncio.timeout(PROMPT_SECONDS):
            found = await main(f"http://127.0.0.1:{port}")
        server.close()
        for writer in answering.writers:
            writer.close()
        # The transports close in the next turn of the event loop.
        await asyncio.sleep(0.01)
        return found, len(answering.writers)

    return asyncio.run(start())


async def _call(
    client: typing.Any, url: str, calls: int, method: str
) -> list[target_client.TargetCallResult]:
    """Return the results of ``calls`` calls, one after another."""
    target = targets.Announcement(target="t", service="s", url=url)
    request = attrs.evolve(CALL, method=method)
    await client.start()
    results = [
        await client.call(target, request, TIMEOUT) for _ in range(calls)
    ]
    await client.stop()
    return results


def _pooled() -> pooled_target_client.PooledTargetClient:
    return pooled_target_client.PooledTargetClient(
        NAMES, BODY_MAX_BYTES, clock.SystemClock(), metrics.Metrics()
    )


def _standalone() -> http_target_client.HttpTargetClient:
    return http_target_client.HttpTargetClient(BODY_MAX_BYTES)


@each_status
@pytest.mark.parametrize("make_client", [_pooled, _standalone])
@pytest.mark.parametrize("kept", [False, True])
@pytest.mark.parametrize(
    ("method", "rest"),
    [
        *(("GET", rest) for rest in RESPONSES),
        # A response to HEAD has no body.
        *(("HEAD", rest) for rest in ("empty", "without a length", "not run")),
    ],
)
def test_target_with_an_invalid_status_has_failed(
    status: str,
    make_client: abc.Callable[[], typing.Any],
    kept: bool,
    method: str,
    rest: str,
) -> None:
    before = [WHOLE] if kept and method == "GET" else []
    calls = len(before) + 2

    async def main(url: str) -> list[target_client.TargetCallResult]:
        return await _call(make_client(), url, calls, method)

    whole = WHOLE if method == "GET" else WHOLE.removesuffix(b"whole")
    responses = [*before, _respond(status, rest), whole]
    results, connections = _run(responses, main)
    failure = results[-2].failure()
    assert failure.verdict is verdict.Verdict.MAY_HAVE_RUN
    assert failure.reason is verdict.Reason.TRUNCATED
    assert status in failure.message
    # The next call uses another connection.
    assert results[-1].unwrap().status == 200
    assert connections == 2


@each_status
def test_health_check_with_an_invalid_status_is_a_failure(
    status: str,
) -> None:
    async def main(url: str) -> targets.Health:
        target = targets.Announcement(target="t", service="s", url=url)
        return await _pooled().check_health(target, "/health")

    health, _ = _run([_respond(status, "empty")], main)
    assert health is targets.Health.UNHEALTHY


@pytest.mark.parametrize("status", [0, 99, 100, 199, 600, 999, -1])
def test_node_that_answers_with_an_invalid_status_has_failed(
    status: int,
) -> None:
    answer = messages.CallAnswer(
        call_id="c",
        status=status,
        headers=(),
        body=b"",
        load=messages.Load(0, 0),
    )

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        frame_reader = frames.FrameReader(reader)
        while not isinstance(await frame_reader.read(), messages.CallRequest):
            continue
        writer.write(frames.encode(answer))

    async def main() -> typing.Any:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = stream_client.StreamClient(
            messages.Hello("calling", 1),
            clock.SystemClock(),
            metrics.Metrics(),
        )
        async with asyncio.timeout(PROMPT_SECONDS):
            reply = await client.call(
                settings.Address("127.0.0.1", port), CALL
            )
        await client.stop()
        server.close()
        return reply

    reply = asyncio.run(main())
    assert isinstance(reply, messages.CallFailure)
    assert reply.failure.verdict is verdict.Verdict.MAY_HAVE_RUN


@each_status
@pytest.mark.parametrize("method", ["GET", "PUT", "POST", "DELETE"])
def test_write_to_a_store_with_an_invalid_status_may_have_taken_effect(
    status: str, method: str
) -> None:
    async def main(url: str) -> typing.Any:
        client = http_storage.HttpStorageClient(url, TIMEOUT)
        await client.start()
        found = await client.request(method, "/object")
        await client.stop()
        return found

    found, _ = _run([_respond(status, "empty")], main)
    assert isinstance(found, result.Failure)
    assert found.failure().kind is storage.StorageErrorKind.OUTCOME_UNKNOWN


@pytest.mark.parametrize("status", [0, 99, 100, 199, 600, 999])
def test_no_caller_gets_an_invalid_status(status: int) -> None:
    response = caller_messages.RawResponse(status=status, headers=[], body=b"")
    with pytest.raises(ValueError, match="expected 200 to 599"):
        caller_messages.encode_response(response)
