"""Responses that are truncated, late, misdirected or malformed.

A response must be complete and belong to its request, and a failure must not
claim that a call has not run when the target may have run it.
"""

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
from balsamramp_node.inbound import target_statement
from balsamramp_node.inbound import targets
from balsamramp_wire import messages

NAMES = attrs.evolve(
    header_names.DEFAULT_HEADER_NAMES, response_signature="proof"
)
TIMEOUT = datetime.timedelta(seconds=5)
BODY_MAX_BYTES = 1000
ID_HEADER = NAMES.request_id
COMPLETE = (
    f"HTTP/1.1 200 OK\r\n{ID_HEADER}: r1\r\nproof: p\r\n"
    "content-length: 5\r\n\r\nwhole"
).encode()
OTHER_REQUEST = COMPLETE.replace(b"r1", b"r0").replace(b"whole", b"other")
WITHOUT_LENGTH = (
    f"HTTP/1.1 200 OK\r\n{ID_HEADER}: r1\r\nproof: p\r\n\r\nwhole"
).encode()
CHUNKED = (
    f"HTTP/1.1 200 OK\r\n{ID_HEADER}: r1\r\nproof: p\r\n"
    "transfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"
).encode()
SHED = (
    f"HTTP/1.1 503 No\r\n{NAMES.not_run}: 1\r\ncontent-length: 0\r\n\r\n"
).encode()
MISDIRECTED = b"HTTP/1.1 421 No\r\ncontent-length: 0\r\n\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

Script = abc.Sequence[tuple[bytes, str]]


class _Clock(clock.SystemClock):
    """A system clock that a test can advance."""

    def __init__(self) -> None:
        self.advanced = datetime.timedelta()

    def monotonic(self) -> datetime.timedelta:
        return super().monotonic() + self.advanced


class _Target:
    """Responds to requests with the steps of a script.

    Each step is the bytes of the response and what is then done with the
    connection: ``keep``, ``end`` or ``reset``.
    """

    def __init__(self, script: Script) -> None:
        self._script = list(script)
        self.connections = 0
        self.requests: list[bytes] = []
        self._writers: list[asyncio.StreamWriter] = []

    def close_idle_connections(self) -> None:
        """Close all connections without a turn of the event loop."""
        for writer in self._writers:
            writer.get_extra_info("socket").shutdown(socket.SHUT_RDWR)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self._writers.append(writer)
        try:
            while True:
                self.requests.append(await reader.readuntil(b"\r\n\r\n"))
                data, ending = self._script.pop(0)
                writer.write(data)
                await writer.drain()
                if ending == "end":
                    break
                if ending == "reset":
                    raw_socket = writer.get_extra_info("socket")
                    linger = struct.pack("ii", 1, 0)
                    raw_socket.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, linger
                    )
                    writer.transport.abort()
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()


@attrs.define
class _Fixture:
    client: pooled_target_client.PooledTargetClient
    clock: _Clock
    target: _Target
    announcement: targets.Announcement
    misdirected: list[str] = attrs.field(factory=list)
    statements: list[target_statement.TargetStatement] = attrs.field(
        factory=list
    )

    async def call(
        self, idempotent_call: bool = False
    ) -> target_client.TargetResponse | verdict.Failure:
        request = messages.CallRequest(
            call_id="c",
            service="s",
            target="t",
            incarnation=1,
            method="GET",
            path="/a/%2f?x=1",
            headers=(("host", "h.example"), (ID_HEADER, "r1")),
            timeout=TIMEOUT,
            idempotent=idempotent_call,
        )
        call_result = await self.client.call(
            self.announcement, request, TIMEOUT
        )
        if isinstance(call_result, result.Failure):
            return call_result.failure()
        return call_result.unwrap()


def _run_script(
    script: Script, main: abc.Callable[[_Fixture], abc.Awaitable[None]]
) -> _Fixture:
    async def start() -> _Fixture:
        target = _Target(script)
        server = await asyncio.start_server(target.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        test_clock = _Clock()
        client = pooled_target_client.PooledTargetClient(
            NAMES, BODY_MAX_BYTES, test_clock, metrics.Metrics()
        )
        announcement = targets.Announcement(
            target="t", service="s", url=f"http://127.0.0.1:{port}"
        )
        fixture = _Fixture(client, test_clock, target, announcement)
        client.on_misdirected = fixture.misdirected.append
        client.on_statement = lambda target, statement, sent_at: (
            fixture.statements.append(statement)
        )
        try:
            await main(fixture)
        finally:
            await client.stop()
            server.close()
        return fixture

    return asyncio.run(start())


@pytest.mark.parametrize("data", [COMPLETE, CHUNKED, CONTINUE + COMPLETE])
def test_complete_response_keeps_the_connection(data: bytes) -> None:
    async def main(fixture: _Fixture) -> None:
        for _ in range(2):
            response = await fixture.call()
            assert isinstance(response, target_client.TargetResponse)
            assert response.body == b"whole"

    fixture = _run_script([(data, "keep"), (data, "keep")], main)
    assert fixture.target.connections == 1
    assert fixture.target.requests[0].startswith(
        b"GET /a/%2f?x=1 HTTP/1.1\r\n"
    )


def test_response_may_end_with_its_connection() -> None:
    async def main(fixture: _Fixture) -> None:
        response = await fixture.call()
        assert isinstance(response, target_client.TargetResponse)
        assert response.body == b"whole"

    _run_script([(WITHOUT_LENGTH, "end")], main)


@pytest.mark.parametrize(
    ("data", "ending"),
    [
        (WITHOUT_LENGTH, "reset"),
        (COMPLETE[:-2], "end"),
        (CHUNKED[:-5], "end"),
        (b"", "end"),
        (CONTINUE, "end"),
        (b"no answer at all\r\n\r\n", "keep"),
        (COMPLETE.replace(b"proof: p\r\n", b""), "keep"),
        (COMPLETE.replace(b": 5", b": 5000") + b"x" * 4995, "keep"),
    ],
)
def test_incomplete_response_may_have_run(data: bytes, ending: str) -> None:
    async def main(fixture: _Fixture) -> None:
        failure = await fixture.call()
        assert isinstance(failure, verdict.Failure)
        assert failure.verdict is verdict.Verdict.MAY_HAVE_RUN
        assert failure.offered

    _run_script([(data, ending)], main)


def test_connection_with_excess_bytes_is_not_reused() -> None:
    async def main(fixture: _Fixture) -> None:
        for _ in range(2):
            response = await fixture.call()
            assert isinstance(response, target_client.TargetResponse)
            assert response.body == b"whole"

    fixture = _run_script(
        [(COMPLETE + OTHER_REQUEST, "keep"), (COMPLETE, "keep")], main
    )
    assert fixture.target.connections == 2


def test_late_response_to_another_request_is_skipped() -> None:
    async def main(fixture: _Fixture) -> None:
        response = await fixture.call()
        assert isinstance(response, target_client.TargetResponse)
        assert response.body == b"whole"

    _run_script([(OTHER_REQUEST + COMPLETE, "keep")], main)


def test_shed_call_has_not_run() -> None:
    async def main(fixture: _Fixture) -> None:
        failure = await fixture.call()
        assert isinstance(failure, verdict.Failure)
        assert failure.verdict is verdict.Verdict.NOT_RUN
        assert failure.offered

    _run_script([(SHED, "keep")], main)


def test_misdirected_call_is_reported() -> None:
    async def main(fixture: _Fixture) -> None:
        failure = await fixture.call()
        assert isinstance(failure, verdict.Failure)
        assert failure.verdict is verdict.Verdict.NOT_RUN
        assert fixture.misdirected == ["t"]

    _run_script([(MISDIRECTED, "keep")], main)


@pytest.mark.parametrize(
    ("idempotent_call", "connections"), [(True, 1), (False, 2)]
)
def test_call_that_is_not_idempotent_avoids_idle_connections(
    idempotent_call: bool, connections: int
) -> None:
    async def main(fixture: _Fixture) -> None:
        await fixture.call(idempotent_call)
        fixture.clock.advanced += datetime.timedelta(seconds=1)
        await fixture.call(idempotent_call)

    fixture = _run_script([(COMPLETE, "keep"), (COMPLETE, "keep")], main)
    assert fixture.target.connections == connections


def test_connection_whose_close_is_not_read_yet_is_not_reused() -> None:
    async def main(fixture: _Fixture) -> None:
        await fixture.call()
        fixture.target.close_idle_connections()
        response = await fixture.call()
        assert isinstance(response, target_client.TargetResponse), response

    fixture = _run_script([(COMPLETE, "keep"), (COMPLETE, "keep")], main)
    assert fixture.target.connections == 2


def test_refused_connection_means_not_run() -> None:
    async def main(fixture: _Fixture) -> None:
        refused: list[str] = []
        fixture.client.on_connection_refused = refused.append
        fixture.announcement = attrs.evolve(
            fixture.announcement, url="http://127.0.0.1:1"
        )
        failure = await fixture.call()
        assert isinstance(failure, verdict.Failure)
        assert failure.verdict is verdict.Verdict.NOT_RUN
        assert not failure.offered
        assert refused == ["t"]

    _run_script([], main)


def _stating(header: bytes) -> bytes:
    return COMPLETE.replace(b"proof: p", b"proof: p\r\n" + header)


def test_what_targets_state_is_passed_on_unless_malformed() -> None:
    async def main(fixture: _Fixture) -> None:
        for _ in range(5):
            await fixture.call()

    limit = NAMES.rate_limit.encode()
    own = ID_HEADER.encode() + b": r1\r\n"
    shed = SHED.replace(b"1\r\n", b"1\r\n" + own + limit + b": 3\r\n")
    other = MISDIRECTED.replace(b"No\r\n", b"No\r\n" + limit + b": 9\r\n")
    script = [
        (_stating(limit + b": 17.7"), "keep"),
        (_stating(limit + b": many"), "keep"),
        (shed, "keep"),
        (other, "end"),
        (COMPLETE, "keep"),
    ]
    fixture = _run_script(script, main)
    assert [item.rate_limit for item in fixture.statements] == [17.7, 3, None]


REFUSALS = {
    "shed": SHED,
    "misdirected": MISDIRECTED,
    "signed": COMPLETE.replace(ID_HEADER.encode() + b": r1\r\n", b""),
}


@pytest.mark.parametrize("data", REFUSALS.values(), ids=REFUSALS)
def test_earlier_response_without_an_id_is_not_taken_for_the_next_one(
    data: bytes,
) -> None:
    async def main(fixture: _Fixture) -> None:
        first = await fixture.call()
        assert isinstance(first, target_client.TargetResponse)
        failure = await fixture.call()
        assert isinstance(failure, verdict.Failure)
        assert failure.verdict is verdict.Verdict.MAY_HAVE_RUN
        assert failure.reason is verdict.Reason.TRUNCATED
        assert not fixture.misdirected

    # The target writes the bytes when it has read the second request, which
    # it runs.
    _run_script([(COMPLETE, "keep"), (data, "keep")], main)


@pytest.mark.parametrize("data", [SHED, MISDIRECTED], ids=["shed", "other"])
def test_refusal_without_an_id_is_trusted_on_a_new_connection(
    data: bytes,
) -> None:
    async def main(fixture: _Fixture) -> None:
        failure = await fixture.call()
        assert isinstance(failure, verdict.Failure)
        assert failure.verdict is verdict.Verdict.NOT_RUN

    _run_script([(data, "end")], main)


def test_refusal_with_the_id_is_trusted_on_a_kept_connection() -> None:
    own = ID_HEADER.encode() + b": r1\r\n"
    shed = SHED.replace(b"1\r\n", b"1\r\n" + own)

    async def main(fixture: _Fixture) -> None:
        await fixture.call()
        failure = await fixture.call()
        assert isinstance(failure, verdict.Failure)
        assert failure.verdict is verdict.Verdict.NOT_RUN

    _run_script([(COMPLETE, "keep"), (shed, "keep")], main)


def test_refusal_of_another_request_is_skipped_while_its_own_is_awaited() -> (
    None
):
    other = ID_HEADER.encode() + b": r0\r\n"
    shed = SHED.replace(b"1\r\n", b"1\r\n" + other)

    async def main(fixture: _Fixture) -> None:
        await fixture.call()
        response = await fixture.call()
        assert isinstance(response, target_client.TargetResponse)
        assert response.body == b"whole"

    _run_script([(COMPLETE, "keep"), (shed + COMPLETE, "keep")], main)


@pytest.mark.parametrize(
    ("status", "header", "health"),
    [
        (200, f"{NAMES.answered_by}: t", targets.Health.SERVING),
        (200, f"{NAMES.answered_by}: other", targets.Health.LEAVING),
        (200, f"{NAMES.leaving}: 1", targets.Health.LEAVING),
        (503, f"{NAMES.answered_by}: t", targets.Health.UNHEALTHY),
        (503, f"{NAMES.answered_by}: other", targets.Health.LEAVING),
        (503, f"{NAMES.not_run}: 1", targets.Health.UNKNOWN),
    ],
)
def test_health_check_tells_a_failure_from_an_end(
    status: int, header: str, health: targets.Health
) -> None:
    data = f"HTTP/1.1 {status} x\r\n{header}\r\ncontent-length: 0\r\n\r\n"

    async def main(fixture: _Fixture) -> None:
        found = await fixture.client.check_health(
            fixture.announcement, "/health"
        )
        assert found is health
        kept = fixture.client.dump().get(fixture.announcement.url, 0)
        assert kept == (status == 200)

    _run_script([(data.encode(), "keep")], main)
