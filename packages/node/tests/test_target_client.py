"""Verdicts of responses that are truncated, late or shed."""

import asyncio
import datetime
import functools

import pytest
from returns import result

from balsamramp_core import verdict
from balsamramp_node.inbound import http_target_client
from balsamramp_node.inbound import target_client
from balsamramp_node.inbound import targets
from balsamramp_wire import messages

BODY_MAX_BYTES = 10
TIMEOUT = datetime.timedelta(seconds=20)
SHORT_TIMEOUT = datetime.timedelta(milliseconds=50)
NOT_RUN = verdict.Verdict.NOT_RUN
MAY_HAVE_RUN = verdict.Verdict.MAY_HAVE_RUN
RAN = verdict.Verdict.RAN
OK = b"HTTP/1.1 200 OK\r\n"

CASES = {
    "content length is short": (
        OK + b"content-length: 9\r\n\r\nhalf",
        MAY_HAVE_RUN,
        verdict.Reason.TRUNCATED,
    ),
    "last chunk is missing": (
        OK + b"transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        MAY_HAVE_RUN,
        verdict.Reason.TRUNCATED,
    ),
    "length is not stated": (
        OK + b"connection: close\r\n\r\nhalf",
        MAY_HAVE_RUN,
        verdict.Reason.TRUNCATED,
    ),
    "header is truncated": (
        b"HTTP/1.1 200 OK\r\ncont",
        MAY_HAVE_RUN,
        verdict.Reason.TARGET_FAILED,
    ),
    "no response": (b"", MAY_HAVE_RUN, verdict.Reason.TARGET_FAILED),
    "body is too large": (
        OK + b"content-length: 11\r\n\r\n" + b"x" * 11,
        RAN,
        verdict.Reason.TOO_LARGE,
    ),
    "shed": (
        b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n"
        b"balsamramp-not-run: true\r\n\r\n",
        NOT_RUN,
        verdict.Reason.OVERLOADED,
    ),
}


class _RawTarget:
    """Sends the given responses and closes after an incomplete one."""

    def __init__(self, responses: list[bytes]) -> None:
        self._responses = responses
        self.requests: list[bytes] = []

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.requests.append(head)
                response = self._responses.pop(0)
                writer.write(response)
                if not response.endswith(b"whole"):
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()


def _request(method: str = "GET") -> messages.CallRequest:
    return messages.CallRequest(
        call_id="c1",
        service="s",
        target="t",
        incarnation=1,
        method=method,
        path="/a%2Fb?c=%20d",
        headers=(("balsamramp-retries", "9"), ("x-own", "1")),
        timeout=TIMEOUT,
        idempotent=False,
        retries=1,
        depth=2,
    )


async def _call(
    target: _RawTarget, calls: int, method: str
) -> list[target_client.TargetCallResult]:
    server = await asyncio.start_server(target.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    url = f"http://127.0.0.1:{port}"
    announced = targets.Announcement(target="t", service="s", url=url)
    client = http_target_client.HttpTargetClient(BODY_MAX_BYTES)
    await client.start()
    results = []
    for _ in range(calls):
        results.append(await client.call(announced, _request(method), TIMEOUT))
    await client.stop()
    server.close()
    await server.wait_closed()
    return results


@pytest.mark.parametrize("case", CASES)
def test_incomplete_or_refused_response(case: str) -> None:
    response, expected_verdict, reason = CASES[case]
    target = _RawTarget([response])
    (call_result,) = asyncio.run(_call(target, 1, "GET"))
    failure = call_result.failure()
    assert (failure.verdict, failure.reason) == (expected_verdict, reason)


COMPLETE = OK + b"content-length: 5\r\n\r\nwhole"


@pytest.mark.parametrize("method", ["GET", "PUT", "POST"])
def test_request_is_not_resent_when_pooled_connection_closes(
    method: str,
) -> None:
    target = _RawTarget([COMPLETE, b"", COMPLETE])
    first, second = asyncio.run(_call(target, 2, method))
    assert first.unwrap().body == b"whole"
    assert second.failure().verdict is MAY_HAVE_RUN
    assert len(target.requests) == 2


def test_503_without_not_run_header_is_a_response() -> None:
    busy = b"HTTP/1.1 503 Busy\r\ncontent-length: 5\r\n\r\nwhole"
    (call_result,) = asyncio.run(_call(_RawTarget([busy]), 1, "GET"))
    assert call_result.unwrap().status == 503


def test_target_receives_remaining_time_and_depth() -> None:
    target = _RawTarget([COMPLETE])
    asyncio.run(_call(target, 1, "GET"))
    head = target.requests[0].decode().lower()
    assert head.startswith("get /a%2fb?c=%20d http/1.1")
    assert "balsamramp-retries: 1\r\n" in head
    assert "balsamramp-retries: 9\r\n" not in head
    assert "balsamramp-depth: 3\r\n" in head
    assert "balsamramp-deadline-ms: 19998\r\n" in head
    assert "accept-encoding" not in head


async def _call_unresponsive_target() -> target_client.TargetCallResult:
    released = asyncio.Event()

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await released.wait()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    url = f"http://127.0.0.1:{port}"
    announced = targets.Announcement(target="t", service="s", url=url)
    client = http_target_client.HttpTargetClient(BODY_MAX_BYTES)
    await client.start()
    call_result = await client.call(announced, _request(), SHORT_TIMEOUT)
    released.set()
    await client.stop()
    server.close()
    return call_result


async def _call_closed_port() -> target_client.TargetCallResult:
    announced = targets.Announcement(
        target="t", service="s", url="http://127.0.0.1:1"
    )
    client = http_target_client.HttpTargetClient(BODY_MAX_BYTES)
    await client.start()
    call_result = await client.call(announced, _request(), TIMEOUT)
    await client.stop()
    return call_result


@pytest.mark.parametrize(
    ("call", "expected_verdict"),
    [(_call_unresponsive_target, MAY_HAVE_RUN), (_call_closed_port, NOT_RUN)],
)
def test_target_without_response(
    call: functools.partial[target_client.TargetCallResult],
    expected_verdict: verdict.Verdict,
) -> None:
    call_result = asyncio.run(call())
    assert isinstance(call_result, result.Failure)
    assert call_result.failure().verdict is expected_verdict
