"""Requests that a caller sends before it has the responses to earlier ones.

Guards against a slow request that delays those behind it on its connection,
and against what may go wrong when they run side by side: responses out of
order, an unsafe request that runs beside others, requests that are lost when
the connection closes, and responses held without a limit.
"""

import asyncio
from collections import abc
import json
import typing

import attrs
import hypothesis
from hypothesis import strategies
import pytest

from balsamramp_core import clock
from balsamramp_core import metrics
from balsamramp_core.resources import caller_limits
from balsamramp_node.process import body_budget
from balsamramp_node.process import caller_connection
from balsamramp_node.process import caller_connection_log
from balsamramp_node.process import decision_log
from balsamramp_testing import virtual_time

LIMITS = caller_limits.CallerLimits(
    name=caller_limits.NAME,
    header_max_bytes=1000,
    body_max_bytes=1000,
    header_timeout_ms=5_000,
    idle_timeout_ms=60_000,
)
BOUND = caller_connection.PIPELINED_REQUESTS_MAX
RESPONSE_BYTES = 100_000
SAFE_METHODS = ("GET", "HEAD", "OPTIONS", "TRACE")
UNSAFE_METHODS = ("POST", "PUT", "DELETE", "PATCH")


def _request(target: str, method: str = "GET", fields: str = "") -> bytes:
    return (
        f"{method} {target} HTTP/1.1\r\nhost: a\r\n"
        f"x-request-id: {target[1:]}\r\n{fields}\r\n"
    ).encode()


@attrs.define(eq=False)
class _Transport:
    """Stands in for a transport whose peer reads everything."""

    data: bytes = b""
    closed_for_writing: bool = False
    aborted: bool = False
    paused: bool = False

    def write(self, data: bytes) -> None:
        assert not self.closed_for_writing
        self.data += data

    def get_extra_info(self, name: str) -> None:
        """Return no socket: the kernel holds nothing."""
        return

    def get_write_buffer_size(self) -> int:
        return 0

    def set_write_buffer_limits(self, high: int, low: int) -> None:
        return None

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        self.paused = False

    def write_eof(self) -> None:
        self.closed_for_writing = True

    def close(self) -> None:
        self.closed_for_writing = True

    def abort(self) -> None:
        self.closed_for_writing = self.aborted = True

    def is_closing(self) -> bool:
        return self.closed_for_writing


class _Sink(decision_log.LineSink):
    def __init__(self) -> None:
        self.lines: list[dict[str, typing.Any]] = []

    def write(self, line: bytes) -> bool:
        self.lines.append(json.loads(line))
        return True


class _Caller:
    """A connection whose requests end when the test says so."""

    def __init__(self, budget: body_budget.BodyBudget | None = None) -> None:
        self.transport = _Transport()
        self.ran: list[str] = []
        self.running: set[str] = set()
        self.cancelled: list[str] = []
        self.running_max = 0
        self.ran_beside_unsafe: list[str] = []
        self.metrics = metrics.Metrics()
        self._unsafe: set[str] = set()
        self._sink = _Sink()
        self._ends: dict[str, asyncio.Future[bool]] = {}
        self.connection = caller_connection.CallerConnection(
            self._handle,
            lambda: LIMITS,
            set(),
            caller_connection_log.CallerConnectionLog(
                self.metrics,
                decision_log.DecisionLog(self._sink, clock.SystemClock()),
                "x-request-id",
            ),
            budget,
        )
        self.connection.connection_made(
            typing.cast(typing.Any, self.transport)
        )

    @property
    def responses(self) -> list[tuple[str, int, bool]]:
        """Return target, status and close of each response."""
        found = []
        for text in self.transport.data.decode().split("HTTP/1.1 ")[1:]:
            target = ""
            for line in text.split("\r\n"):
                if line.startswith("path: "):
                    target = line[len("path: ") :]
            closes = "connection: close\r\n" in text
            found.append((target, int(text[:3]), closes))
        return found

    @property
    def answered(self) -> list[str]:
        """Return the targets of the responses."""
        return [target for target, _, _ in self.responses]

    @property
    def unanswered(self) -> list[tuple[str, str, bool]]:
        """Return id, reason and start of the requests without response."""
        return [
            (line["request_id"], line["reason"], line["started"])
            for line in self._sink.lines
            if line["event"] == "unanswered"
        ]

    async def _handle(
        self, request: caller_connection.RawRequest
    ) -> caller_connection.RawResponse:
        target = request.target.decode()
        unsafe = request.method in UNSAFE_METHODS
        if self.running and (unsafe or self.running & self._unsafe):
            self.ran_beside_unsafe.append(target)
        if unsafe:
            self._unsafe.add(target)
        self.ran.append(target)
        self.running.add(target)
        self.running_max = max(self.running_max, len(self.running))
        self._ends[target] = asyncio.get_running_loop().create_future()
        try:
            close = await self._ends[target]
        except asyncio.CancelledError:
            self.cancelled.append(target)
            raise
        finally:
            self.running.discard(target)
        size = RESPONSE_BYTES if target.startswith("/large") else 0
        return caller_connection.RawResponse(
            status=200,
            headers=[(b"path", request.target)],
            body=bytes(size),
            close=close,
        )

    async def send(self, *requests: bytes) -> None:
        """Send requests in one piece."""
        self.connection.data_received(b"".join(requests))
        await _settle()

    async def end(self, target: str, close: bool = False) -> None:
        """Have the handler of a request return its response."""
        self._ends[target].set_result(close)
        await _settle()

    async def fail(self, target: str, error: BaseException) -> None:
        """Have the handler of a request raise ``error``."""
        self._ends[target].set_exception(error)
        await _settle()

    async def disconnect(self) -> None:
        """Close the connection from the caller's side."""
        self.connection.connection_lost(None)
        await _settle()


async def _settle() -> None:
    for _ in range(10):
        await asyncio.sleep(0)


def _run(
    main: abc.Callable[[], abc.Coroutine[typing.Any, typing.Any, None]],
) -> None:
    virtual_time.run(main())


def test_safe_requests_run_side_by_side_and_are_answered_in_order() -> None:
    async def main() -> None:
        caller = _Caller()
        await caller.send(_request("/a"), _request("/b"), _request("/c"))
        assert caller.ran == ["/a", "/b", "/c"]
        await caller.end("/c")
        await caller.end("/b")
        assert caller.answered == []
        await caller.end("/a")
        assert caller.answered == ["/a", "/b", "/c"]
        await caller.disconnect()
        assert caller.unanswered == []

    _run(main)


def test_request_that_arrives_later_runs_beside_those_before_it() -> None:
    async def main() -> None:
        caller = _Caller()
        await caller.send(_request("/a"))
        await asyncio.sleep(1)
        await caller.send(_request("/b"))
        assert caller.running == {"/a", "/b"}
        await caller.end("/a")
        assert caller.answered == ["/a"]
        await caller.send(_request("/c"))
        assert caller.running == {"/b", "/c"}
        await caller.disconnect()

    _run(main)


@pytest.mark.parametrize("method", UNSAFE_METHODS)
def test_unsafe_request_runs_alone(method: str) -> None:
    """Guards against a write that overtakes a read sent before it."""

    async def main() -> None:
        caller = _Caller()
        await caller.send(
            _request("/a"),
            _request("/b"),
            _request("/write", method),
            _request("/c"),
            _request("/d"),
        )
        assert caller.running == {"/a", "/b"}
        await caller.end("/b")
        assert "/write" not in caller.ran
        await caller.end("/a")
        assert caller.running == {"/write"}
        await caller.end("/write")
        assert caller.running == {"/c", "/d"}
        await caller.end("/d")
        await caller.end("/c")
        assert caller.answered == ["/a", "/b", "/write", "/c", "/d"]
        await caller.disconnect()

    _run(main)


def test_requests_on_one_connection_are_bounded() -> None:
    """Finished responses that wait for an earlier one count too."""

    async def main() -> None:
        caller = _Caller()
        targets = [f"/{number}" for number in range(2 * BOUND + 2)]
        await caller.send(*map(_request, targets))
        assert caller.ran == targets[:BOUND]
        assert caller.transport.paused
        for target in targets[1:BOUND]:
            await caller.end(target)
        assert caller.ran == targets[:BOUND]
        await caller.end(targets[0])
        assert caller.answered == targets[:BOUND]
        assert caller.ran == targets[: 2 * BOUND]
        await caller.end(targets[BOUND])
        await caller.end(targets[BOUND + 1])
        assert caller.ran == targets
        assert not caller.transport.paused
        await caller.disconnect()

    _run(main)


def test_nothing_starts_while_a_response_is_unread() -> None:
    async def main() -> None:
        caller = _Caller()
        await caller.send(_request("/a"), _request("/b"))
        caller.connection.pause_writing()
        await caller.send(_request("/c"))
        assert caller.running == {"/a", "/b"}
        caller.connection.resume_writing()
        await _settle()
        assert caller.running == {"/a", "/b", "/c"}
        await caller.disconnect()

    _run(main)


def test_responses_are_held_while_the_caller_does_not_read() -> None:
    """Guards against output that is counted as answered and then dropped."""

    async def main() -> None:
        caller = _Caller()
        await caller.send(*map(_request, ("/a", "/b", "/c")))
        caller.connection.pause_writing()
        await caller.end("/a")
        await caller.end("/b")
        assert caller.answered == []
        caller.connection.resume_writing()
        await _settle()
        assert caller.answered == ["/a", "/b"]
        caller.connection.pause_writing()
        await caller.end("/c")
        caller.connection.give_way()
        await caller.disconnect()
        assert caller.unanswered == [("c", "connection-limit", True)]

    _run(main)


def test_all_requests_of_a_caller_that_disconnects_are_cancelled() -> None:
    async def main() -> None:
        caller = _Caller()
        await caller.send(
            _request("/a"),
            _request("/b"),
            _request("/c"),
            _request("/write", "POST"),
        )
        await caller.end("/b")
        assert caller.connection.busy
        await caller.disconnect()
        assert caller.cancelled == ["/a", "/c"]
        assert caller.answered == []
        assert caller.unanswered == [
            ("a", "caller-closed", True),
            ("b", "caller-closed", True),
            ("c", "caller-closed", True),
            ("write", "caller-closed", False),
        ]
        assert (
            caller.metrics.value(
                "unanswered_requests_total", reason="caller-closed"
            )
            == 4
        )
        assert not caller.connection.busy

    _run(main)


def test_abort_records_all_requests() -> None:
    async def main() -> None:
        caller = _Caller()
        await caller.send(_request("/a"), _request("/b"))
        await caller.end("/b")
        caller.connection.abort()
        await caller.disconnect()
        assert caller.cancelled == ["/a"]
        assert caller.unanswered == [
            ("a", "shutdown", True),
            ("b", "shutdown", True),
        ]

    _run(main)


def test_close_waits_for_the_requests_that_were_started() -> None:
    async def main() -> None:
        caller = _Caller()
        await caller.send(*map(_request, ("/a", "/b", "/c")))
        await caller.end("/a", close=True)
        assert caller.responses == [("/a", 200, False)]
        await caller.send(_request("/late"))
        await caller.end("/c")
        await caller.end("/b")
        assert caller.responses[1:] == [("/b", 200, False), ("/c", 200, True)]
        assert caller.ran == ["/a", "/b", "/c"]
        assert caller.transport.closed_for_writing
        await caller.disconnect()
        assert caller.unanswered == []

    _run(main)


@pytest.mark.parametrize(
    "last",
    [
        _request("/last", fields="connection: close\r\n"),
        b"GET /last HTTP/1.0\r\nhost: a\r\n\r\n",
    ],
)
def test_request_that_closes_is_the_last_one(last: bytes) -> None:
    async def main() -> None:
        caller = _Caller()
        await caller.send(_request("/a"), last, _request("/behind"))
        assert caller.running == {"/a", "/last"}
        await caller.end("/last")
        assert caller.answered == []
        await caller.end("/a")
        assert caller.responses == [("/a", 200, False), ("/last", 200, True)]
        assert caller.transport.closed_for_writing
        await caller.disconnect()

    _run(main)


@pytest.mark.parametrize(
    ("rejected", "status"),
    [
        (b"no request\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9999\r\n\r\n", 413),
        (b"GET / HTTP/1.1\r\nx: " + b"y" * 2000, 431),
        (b"GET / HTTP/1.1\r\nx", 408),
    ],
)
def test_rejection_comes_behind_the_responses(
    rejected: bytes, status: int
) -> None:
    async def main() -> None:
        caller = _Caller()
        await caller.send(_request("/a"), _request("/b"))
        await caller.send(rejected)
        await asyncio.sleep(10)
        assert caller.responses == []
        await caller.end("/b")
        await caller.end("/a")
        assert caller.responses == [
            ("/a", 200, False),
            ("/b", 200, False),
            ("", status, True),
        ]
        assert caller.transport.closed_for_writing
        assert (
            caller.metrics.value("rejected_requests_total", status=str(status))
            == 1
        )
        await caller.disconnect()
        assert caller.unanswered == []

    _run(main)


def test_request_that_fails_in_the_middle_is_answered_in_its_place() -> None:
    async def main() -> None:
        caller = _Caller()
        await caller.send(*map(_request, ("/a", "/b", "/c", "/d")))
        await caller.fail("/c", asyncio.CancelledError())
        await caller.fail("/b", ValueError("the handler fails"))
        assert caller.responses == []
        await caller.end("/d")
        await caller.end("/a")
        assert caller.responses == [
            ("/a", 200, False),
            ("", 502, False),
            ("", 502, False),
            ("/d", 200, False),
        ]
        await caller.disconnect()

    _run(main)


def test_stop_answers_what_runs_and_reads_no_more() -> None:
    async def main() -> None:
        caller = _Caller()
        await caller.send(
            _request("/a"), _request("/b"), _request("/w", "POST")
        )
        caller.connection.finish()
        await caller.send(_request("/late"))
        await caller.end("/b")
        await caller.end("/a")
        assert caller.running == {"/w"}
        await caller.end("/w")
        assert caller.responses == [
            ("/a", 200, False),
            ("/b", 200, False),
            ("/w", 200, True),
        ]
        assert caller.transport.closed_for_writing
        await caller.disconnect()
        assert caller.unanswered == []

    _run(main)


def test_stop_runs_nothing_more_side_by_side() -> None:
    async def main() -> None:
        caller = _Caller()
        await caller.send(
            _request("/w", "POST"), _request("/a"), _request("/b")
        )
        caller.connection.finish()
        await caller.end("/w")
        assert caller.running == {"/a"}
        await caller.end("/a")
        assert caller.running == {"/b"}
        await caller.end("/b")
        assert caller.responses[-1] == ("/b", 200, True)
        await caller.disconnect()

    _run(main)


def _budget(limit_bytes: int) -> body_budget.BodyBudget:
    return body_budget.BodyBudget(
        limit_bytes, metrics.Metrics(), virtual_time.VirtualClock()
    )


def test_responses_that_wait_for_an_earlier_one_are_reserved() -> None:
    async def main() -> None:
        budget = _budget(10 * RESPONSE_BYTES)
        caller = _Caller(budget)
        await caller.send(*map(_request, ("/a", "/large1", "/large2")))
        await caller.end("/large1")
        assert budget.held_bytes >= RESPONSE_BYTES
        await caller.end("/large2")
        assert budget.held_bytes >= 2 * RESPONSE_BYTES
        await caller.end("/a")
        assert caller.answered == ["/a", "/large1", "/large2"]
        assert budget.held_bytes == 0
        await caller.disconnect()

    _run(main)


def test_responses_that_wait_give_way_when_memory_runs_out() -> None:
    async def main() -> None:
        budget = _budget(3 * RESPONSE_BYTES)
        caller = _Caller(budget)
        targets = ("/a", "/large1", "/large2", "/large3")
        await caller.send(*map(_request, targets))
        for target in targets[1:]:
            await caller.end(target)
            assert budget.held_bytes <= 3 * RESPONSE_BYTES
        assert caller.transport.aborted
        await caller.disconnect()
        assert caller.cancelled == ["/a"]
        assert [reason for _, reason, _ in caller.unanswered] == (
            ["no-memory"] * 4
        )
        assert budget.held_bytes == 0

    _run(main)


METHODS = strategies.lists(
    strategies.sampled_from(SAFE_METHODS * 3 + UNSAFE_METHODS),
    min_size=1,
    max_size=3 * BOUND,
)
CUTS = strategies.lists(strategies.integers(0, 3_000), max_size=10)


@hypothesis.given(METHODS, CUTS, strategies.randoms(use_true_random=False))
@hypothesis.settings(deadline=None)
def test_any_pipeline_is_answered_in_order(
    methods: list[str], cuts: list[int], random: typing.Any
) -> None:
    async def main() -> None:
        caller = _Caller()
        targets = [f"/{number}" for number in range(len(methods))]
        data = b"".join(map(_request, targets, methods))
        pieces = []
        start = 0
        for cut in sorted({cut % len(data) for cut in cuts} | {len(data)}):
            pieces.append(data[start:cut])
            start = cut
        while pieces or caller.running:
            if pieces and (not caller.running or random.random() < 0.5):
                await caller.send(pieces.pop(0))
            else:
                await caller.end(random.choice(sorted(caller.running)))
            started = len(caller.ran) - len(caller.answered)
            assert started <= BOUND
            assert caller.answered == targets[: len(caller.answered)]
        assert caller.ran == caller.answered == targets
        assert caller.running_max <= BOUND
        assert caller.ran_beside_unsafe == []
        assert not caller.transport.paused
        await caller.disconnect()
        assert caller.unanswered == []

    _run(main)
