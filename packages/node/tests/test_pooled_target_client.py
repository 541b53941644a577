"""Pooled target client: answers that are cut, late, foreign or spoilt."""

import asyncio
from collections import abc
import datetime
import socket
import struct

import attrs
import pytest
from returns import result

from balsamramp_core import clock
from balsamramp_core import header_names
from balsamramp_core import metrics
from balsamramp_core import verdict
from balsamramp_node.inbound import pooled_target_client
from balsamramp_node.inbound import target_client
from balsamramp_node.inbound import targets
from balsamramp_wire import messages

NAMES = attrs.evolve(
    header_names.DEFAULT_HEADER_NAMES, response_signature="proof"
)
LEFT = datetime.timedelta(seconds=5)
BODY_MAX_BYTES = 1000
ID = NAMES.request_id
WHOLE = (
    f"HTTP/1.1 200 OK\r\n{ID}: r1\r\nproof: p\r\n"
    "content-length: 5\r\n\r\nwhole"
).encode()
OTHER = WHOLE.replace(b"r1", b"r0").replace(b"whole", b"other")
UNFRAMED = f"HTTP/1.1 200 OK\r\n{ID}: r1\r\nproof: p\r\n\r\nwhole".encode()
CHUNKED = (
    f"HTTP/1.1 200 OK\r\n{ID}: r1\r\nproof: p\r\n"
    "transfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"
).encode()
SHED = (
    f"HTTP/1.1 503 No\r\n{NAMES.not_run}: 1\r\ncontent-length: 0\r\n\r\n"
).encode()
MISDIRECTED = b"HTTP/1.1 421 No\r\ncontent-length: 0\r\n\r\n"
EARLY = b"HTTP/1.1 100 Continue\r\n\r\n"

Script = abc.Sequence[tuple[bytes, str]]


class _Clock(clock.SystemClock):
    """A clock that can be moved on."""

    def __init__(self) -> None:
        self.passed = datetime.timedelta()

    def monotonic(self) -> datetime.timedelta:
        return super().monotonic() + self.passed


class _Target:
    """Answers the requests of each connection with a script.

    Each step is bytes and how the connection goes on: ``keep``, ``end``
    or ``reset``.
    """

    def __init__(self, script: Script) -> None:
        self._script = list(script)
        self.connections = 0
        self.requests: list[bytes] = []

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        try:
            while True:
                self.requests.append(await reader.readuntil(b"\r\n\r\n"))
                data, then = self._script.pop(0)
                writer.write(data)
                await writer.drain()
                if then == "end":
                    break
                if then == "reset":
                    raw = writer.get_extra_info("socket")
                    linger = struct.pack("ii", 1, 0)
                    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                    writer.transport.abort()
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()


@attrs.define
class _Trial:
    client: pooled_target_client.PooledTargetClient
    clock: _Clock
    target: _Target
    announcement: targets.Announcement
    misdirected: list[str] = attrs.field(factory=list)

    async def call(
        self, repeatable: bool = False
    ) -> target_client.TargetResponse | verdict.Failure:
        request = messages.CallRequest(
            call_id="c",
            service="s",
            target="t",
            incarnation=1,
            method="GET",
            path="/a/%2f?x=1",
            headers=(("host", "h.example"), (ID, "r1")),
            timeout=LEFT,
            idempotent=repeatable,
        )
        called = await self.client.call(self.announcement, request, LEFT)
        if isinstance(called, result.Failure):
            return called.failure()
        return called.unwrap()


def _try(
    script: Script, main: abc.Callable[[_Trial], abc.Awaitable[None]]
) -> _Trial:
    async def start() -> _Trial:
        target = _Target(script)
        server = await asyncio.start_server(target.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        now = _Clock()
        client = pooled_target_client.PooledTargetClient(
            NAMES, BODY_MAX_BYTES, now, metrics.Metrics()
        )
        announcement = targets.Announcement(
            target="t", service="s", url=f"http://127.0.0.1:{port}"
        )
        trial = _Trial(client, now, target, announcement)
        client.on_misdirected = trial.misdirected.append
        try:
            await main(trial)
        finally:
            await client.stop()
            server.close()
        return trial

    return asyncio.run(start())


@pytest.mark.parametrize("data", [WHOLE, CHUNKED, EARLY + WHOLE])
def test_a_whole_answer_is_taken_and_the_connection_kept(data: bytes) -> None:
    async def main(trial: _Trial) -> None:
        for _ in range(2):
            answer = await trial.call()
            assert isinstance(answer, target_client.TargetResponse)
            assert answer.body == b"whole"

    trial = _try([(data, "keep"), (data, "keep")], main)
    assert trial.target.connections == 1
    assert trial.target.requests[0].startswith(b"GET /a/%2f?x=1 HTTP/1.1\r\n")


def test_an_answer_that_ends_with_its_connection_is_whole() -> None:
    async def main(trial: _Trial) -> None:
        answer = await trial.call()
        assert isinstance(answer, target_client.TargetResponse)
        assert answer.body == b"whole"

    _try([(UNFRAMED, "end")], main)


@pytest.mark.parametrize(
    ("data", "then"),
    [
        (UNFRAMED, "reset"),
        (WHOLE[:-2], "end"),
        (CHUNKED[:-5], "end"),
        (b"", "end"),
        (b"no answer at all\r\n\r\n", "keep"),
        (WHOLE.replace(b"proof: p\r\n", b""), "keep"),
        (WHOLE.replace(b": 5", b": 5000") + b"x" * 4995, "keep"),
    ],
)
def test_anything_else_is_no_answer_and_may_have_run(
    data: bytes, then: str
) -> None:
    async def main(trial: _Trial) -> None:
        failure = await trial.call()
        assert isinstance(failure, verdict.Failure)
        assert failure.verdict is verdict.Verdict.MAY_HAVE_RUN
        assert failure.offered

    _try([(data, then)], main)


def test_bytes_after_an_answer_belong_to_no_request() -> None:
    async def main(trial: _Trial) -> None:
        for _ in range(2):
            answer = await trial.call()
            assert isinstance(answer, target_client.TargetResponse)
            assert answer.body == b"whole"

    trial = _try([(WHOLE + OTHER, "keep"), (WHOLE, "keep")], main)
    assert trial.target.connections == 2


def test_the_late_answer_to_another_request_is_skipped() -> None:
    async def main(trial: _Trial) -> None:
        answer = await trial.call()
        assert isinstance(answer, target_client.TargetResponse)
        assert answer.body == b"whole"

    _try([(OTHER + WHOLE, "keep")], main)


def test_a_target_that_sheds_has_not_run_the_call() -> None:
    async def main(trial: _Trial) -> None:
        failure = await trial.call()
        assert isinstance(failure, verdict.Failure)
        assert failure.verdict is verdict.Verdict.NOT_RUN
        assert failure.offered

    _try([(SHED, "keep")], main)


def test_another_target_at_the_address_is_told_of() -> None:
    async def main(trial: _Trial) -> None:
        failure = await trial.call()
        assert isinstance(failure, verdict.Failure)
        assert failure.verdict is verdict.Verdict.NOT_RUN
        assert trial.misdirected == ["t"]

    _try([(MISDIRECTED, "keep")], main)


@pytest.mark.parametrize(
    ("repeatable", "connections"), [(True, 1), (False, 2)]
)
def test_what_may_run_once_goes_on_a_connection_in_use_lately(
    repeatable: bool, connections: int
) -> None:
    async def main(trial: _Trial) -> None:
        await trial.call(repeatable)
        trial.clock.passed += datetime.timedelta(seconds=1)
        await trial.call(repeatable)

    trial = _try([(WHOLE, "keep"), (WHOLE, "keep")], main)
    assert trial.target.connections == connections


def test_a_target_that_takes_no_connection_has_not_run_the_call() -> None:
    async def main(trial: _Trial) -> None:
        refused: list[str] = []
        trial.client.on_connection_refused = refused.append
        trial.announcement = attrs.evolve(
            trial.announcement, url="http://127.0.0.1:1"
        )
        failure = await trial.call()
        assert isinstance(failure, verdict.Failure)
        assert failure.verdict is verdict.Verdict.NOT_RUN
        assert not failure.offered
        assert refused == ["t"]

    _try([], main)
