"""Callers that send or read slowly, or hold what others need.

Each guards against a limit on one request, or one silence, and none on how
long a caller may stay: a byte now and then kept a connection for ever.
"""

import asyncio
from collections import abc
import resource
import typing

import attrs

from balsamramp_core import clock
from balsamramp_core import metrics
from balsamramp_core.resources import caller_limits
from balsamramp_node.outbound import entry_ingress
from balsamramp_node.process import body_budget
from balsamramp_node.process import caller_connection
from balsamramp_node.process import connection_limit
from balsamramp_node.process import process_limits
from balsamramp_node.process import transfer_progress
from balsamramp_testing import virtual_time

IDLE_SECONDS = 10.0
LIMITS = caller_limits.CallerLimits(
    name=caller_limits.NAME, idle_timeout_ms=int(IDLE_SECONDS * 1000)
)
GET = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
HEAD = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 100000\r\n\r\n"
RESPONSE_BYTES = 100_000
BUDGET_BYTES = 4 * RESPONSE_BYTES
MEGABYTE = 1_000_000


@attrs.define(eq=False)
class _Transport:
    """Stands in for a transport; the caller reads ``reads`` bytes."""

    reads: float = float("inf")
    data: bytes = b""
    unsent: int = 0
    closing: bool = False
    aborted: bool = False
    paused: bool = False
    protocol: caller_connection.CallerConnection | None = None

    def write(self, data: bytes) -> None:
        self.data += data
        taken = int(min(len(data), self.reads))
        self.reads -= taken
        self.unsent += len(data) - taken
        if self.protocol is not None and (
            self.unsent > caller_connection.UNSENT_FREE_BYTES
        ):
            self.protocol.pause_writing()

    def read(self, size: int) -> None:
        """Have the caller read ``size`` bytes."""
        self.unsent -= min(size, self.unsent)

    def get_extra_info(self, name: str) -> None:
        """Return no socket: the kernel holds nothing."""
        return

    def get_write_buffer_size(self) -> int:
        return self.unsent

    def set_write_buffer_limits(self, high: int, low: int) -> None:
        return None

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        self.paused = False

    def write_eof(self) -> None:
        return None

    def close(self) -> None:
        self.closing = True

    def abort(self) -> None:
        self.closing = self.aborted = True

    def is_closing(self) -> bool:
        return self.closing


@attrs.define(eq=False)
class _Caller:
    """A connection, and the requests that its handler has run."""

    budget: body_budget.BodyBudget | None = None
    transport: _Transport = attrs.field(factory=_Transport)
    ran: list[bytes] = attrs.field(factory=list)
    connections: set[caller_connection.CallerConnection] = attrs.field(
        factory=set
    )

    def connect(self) -> caller_connection.CallerConnection:
        connection = caller_connection.CallerConnection(
            self._handle, lambda: LIMITS, self.connections, budget=self.budget
        )
        connection.connection_made(typing.cast(typing.Any, self.transport))
        return connection

    async def _handle(
        self, request: caller_connection.RawRequest
    ) -> caller_connection.RawResponse:
        self.ran.append(request.target)
        if request.target == b"/fails":
            raise ValueError("the handler fails")
        if request.target == b"/cancelled":
            raise asyncio.CancelledError
        if request.target == b"/slow":
            await asyncio.sleep(2 * IDLE_SECONDS)
        size = RESPONSE_BYTES if request.target == b"/large" else 0
        return caller_connection.RawResponse(
            status=200,
            headers=[(b"path", request.target)],
            body=bytes(size),
            close=request.target == b"/last",
        )


def _run(
    main: abc.Callable[[], abc.Coroutine[typing.Any, typing.Any, None]],
) -> None:
    virtual_time.run(main())


def _get(target: bytes, fields: bytes = b"") -> bytes:
    return b"GET %b HTTP/1.1\r\nhost: a\r\n%b\r\n" % (target, fields)


def test_body_that_trickles_is_refused() -> None:
    async def main() -> None:
        caller = _Caller()
        connection = caller.connect()
        connection.data_received(HEAD)
        for _ in range(int(4 * IDLE_SECONDS)):
            await asyncio.sleep(0.5)
            if caller.transport.data:
                break
            connection.data_received(b"x")
        assert caller.transport.data.startswith(b"HTTP/1.1 408 ")
        assert not caller.ran
        connection.connection_lost(None)

    _run(main)


def test_body_at_the_least_pace_is_read() -> None:
    async def main() -> None:
        caller = _Caller()
        connection = caller.connect()
        connection.data_received(HEAD)
        part = bytes(transfer_progress.PROGRESS_MIN_BYTES)
        for _ in range(20):
            await asyncio.sleep(IDLE_SECONDS * 0.9)
            connection.data_received(part)
        assert not caller.transport.data
        connection.connection_lost(None)

    _run(main)


def test_body_without_end_is_refused_after_the_longest_transfer() -> None:
    async def main() -> None:
        caller = _Caller()
        connection = caller.connect()
        connection.data_received(HEAD)
        part = bytes(transfer_progress.PROGRESS_MIN_BYTES)
        seconds = transfer_progress.TRANSFER_TIMEOUT.total_seconds()
        turns = int(seconds / (IDLE_SECONDS * 0.9)) + 2
        for _ in range(turns):
            assert not caller.transport.data
            connection.data_received(part)
            await asyncio.sleep(IDLE_SECONDS * 0.9)
            if caller.transport.data:
                break
        assert caller.transport.data.startswith(b"HTTP/1.1 408 ")
        connection.connection_lost(None)

    _run(main)


def test_caller_that_reads_a_byte_now_and_then_is_closed() -> None:
    async def main() -> None:
        caller = _Caller()
        caller.transport.reads = 0
        connection = caller.connect()
        connection.data_received(_get(b"/large"))
        for _ in range(int(4 * IDLE_SECONDS)):
            await asyncio.sleep(0.5)
            caller.transport.read(1)
        assert caller.transport.aborted
        connection.connection_lost(None)

    _run(main)


def test_responses_are_in_order_though_the_first_fails() -> None:
    async def main() -> None:
        caller = _Caller()
        connection = caller.connect()
        targets = (b"/slow", b"/fails", b"/cancelled", b"/a", b"/b")
        connection.data_received(b"".join(_get(item) for item in targets))
        await asyncio.sleep(3 * IDLE_SECONDS)
        assert caller.ran == list(targets)
        responses = caller.transport.data.split(b"HTTP/1.1 ")[1:]
        statuses = [item[:3] for item in responses]
        assert statuses == [b"200", b"502", b"502", b"200", b"200"]
        assert b"path: /slow\r\n" in responses[0]
        assert b"path: /b\r\n" in responses[4]
        connection.connection_lost(None)

    _run(main)


def test_requests_behind_a_closing_response_are_not_run() -> None:
    async def main() -> None:
        for first in (
            _get(b"/first", b"connection: close\r\n"),
            _get(b"/first") + b"no request\r\n\r\n",
        ):
            caller = _Caller()
            connection = caller.connect()
            connection.data_received(first + _get(b"/behind"))
            await asyncio.sleep(1)
            assert caller.ran == [b"/first"]
            assert b"connection: close\r\n" in caller.transport.data
            connection.connection_lost(None)

    _run(main)


def test_next_request_waits_until_the_response_before_it_is_sent() -> None:
    unsafe = b"DELETE /next HTTP/1.1\r\nhost: a\r\n\r\n"

    async def main() -> None:
        for before, behind in ((unsafe, b""), (b"", _get(b"/next"))):
            caller = _Caller()
            caller.transport.reads = 0
            connection = caller.connect()
            caller.transport.protocol = connection
            connection.data_received(_get(b"/large") + before)
            await asyncio.sleep(1)
            connection.data_received(behind)
            await asyncio.sleep(1)
            assert caller.ran == [b"/large"]
            caller.transport.read(2 * RESPONSE_BYTES)
            connection.resume_writing()
            await asyncio.sleep(1)
            assert caller.ran == [b"/large", b"/next"]
            connection.connection_lost(None)

    _run(main)


def test_response_that_waited_for_an_unread_one_is_progress() -> None:
    """Guards against an idle time counted from the end of its handler."""

    async def main() -> None:
        caller = _Caller()
        caller.transport.reads = 0
        connection = caller.connect()
        caller.transport.protocol = connection
        connection.data_received(_get(b"/large") + _get(b"/next"))
        await asyncio.sleep(IDLE_SECONDS * 0.8)
        caller.transport.read(RESPONSE_BYTES * 2)
        caller.transport.reads = float("inf")
        connection.resume_writing()
        assert b"path: /next\r\n" in caller.transport.data
        await asyncio.sleep(IDLE_SECONDS * 0.8)
        assert not caller.transport.closing
        await asyncio.sleep(IDLE_SECONDS * 0.4)
        assert caller.transport.closing
        connection.connection_lost(None)

    _run(main)


def test_pipeline_without_answers_is_read_only_in_part() -> None:
    async def main() -> None:
        caller = _Caller()
        connection = caller.connect()
        connection.data_received(_get(b"/slow") + GET * 2000)
        assert caller.transport.paused
        assert len(connection._pipeline) < 200
        await asyncio.sleep(3 * IDLE_SECONDS)
        assert len(caller.ran) == 2001
        assert not caller.transport.paused
        assert not caller.transport.aborted
        connection.connection_lost(None)

    _run(main)


def test_unread_responses_give_way_when_memory_runs_out() -> None:
    async def main() -> None:
        budget = body_budget.BodyBudget(
            BUDGET_BYTES, metrics.Metrics(), virtual_time.VirtualClock()
        )
        callers = [_Caller(budget) for _ in range(6)]
        connections = []
        for caller in callers:
            caller.transport.reads = 0
            connections.append(caller.connect())
            connections[-1].data_received(_get(b"/large"))
            await asyncio.sleep(1)
            assert budget.held_bytes <= BUDGET_BYTES
        assert callers[0].transport.aborted
        assert not callers[-1].transport.aborted
        for connection in connections:
            connection.connection_lost(None)
        assert budget.held_bytes == 0

    _run(main)


def test_responses_of_targets_are_not_given_up_for_callers() -> None:
    cut: list[str] = []
    budget = body_budget.BodyBudget(
        BUDGET_BYTES, metrics.Metrics(), clock.SystemClock()
    )
    response = budget.open(lambda: cut.append("response"))
    assert response.grow(BUDGET_BYTES // 2)
    request = budget.open_for_caller(
        lambda: cut.append("request"), step_bytes=1024, free_bytes=0
    )
    assert request.grow(BUDGET_BYTES // 4)
    assert not budget.open_for_caller(
        lambda: cut.append("other"), step_bytes=1024, free_bytes=0
    ).grow(BUDGET_BYTES)
    assert cut == ["request"]
    assert response.grow(BUDGET_BYTES // 4)


def test_stalled_message_gives_way_to_a_larger_one_that_moves() -> None:
    async def main() -> None:
        cut: list[str] = []
        budget = body_budget.BodyBudget(
            BUDGET_BYTES, metrics.Metrics(), virtual_time.VirtualClock()
        )
        stalled = budget.open_for_caller(
            lambda: cut.append("stalled"), step_bytes=1024, free_bytes=0
        )
        assert stalled.grow(BUDGET_BYTES // 4)
        await asyncio.sleep(30)
        moving = budget.open_for_caller(
            lambda: cut.append("moving"), step_bytes=1024, free_bytes=0
        )
        for _ in range(6):
            assert moving.grow(BUDGET_BYTES // 10)
            await asyncio.sleep(0.1)
        assert cut == ["stalled"]

    _run(main)


@attrs.define
class _Connection(connection_limit.LimitedConnection):
    progress: float | None
    undelivered: int = 0
    closed: bool = False

    @property
    def progress_at(self) -> float | None:
        return self.progress

    @property
    def undelivered_bytes(self) -> int:
        return self.undelivered

    def give_way(self) -> None:
        self.closed = True


def test_connection_without_progress_gives_way() -> None:
    limit = connection_limit.ConnectionLimit("x", 3, metrics.Metrics())
    oldest, newer = _Connection(1.0), _Connection(2.0)
    handled = _Connection(None)
    assert limit.make_room([handled, newer])
    assert not oldest.closed and not newer.closed
    assert limit.make_room([handled, newer, oldest])
    assert oldest.closed and not newer.closed and not handled.closed
    assert not limit.make_room([_Connection(None) for _ in range(3)])


def test_connection_whose_response_is_read_gives_way_after_idle_ones() -> None:
    """Guards against the loss of responses that the kernel still sends."""
    limit = connection_limit.ConnectionLimit("x", 3, metrics.Metrics())
    reader, idle = _Connection(1.0, undelivered=1), _Connection(2.0)
    late_reader = _Connection(3.0, undelivered=1)
    assert limit.make_room([reader, idle, late_reader])
    assert idle.closed and not reader.closed and not late_reader.closed
    assert limit.make_room([_Connection(None), reader, late_reader])
    assert reader.closed and not late_reader.closed


def test_connection_that_gave_way_is_not_counted_until_it_is_lost() -> None:
    """Guards against many accepted at once, for which one is closed."""

    async def main() -> None:
        limit = connection_limit.ConnectionLimit("x", 2, metrics.Metrics())
        connections: set[caller_connection.CallerConnection] = set()
        callers = [_Caller(connections=connections) for _ in range(5)]
        for caller in callers:
            assert limit.make_room(connections)
            caller.connect()
            await asyncio.sleep(1)
            assert len(connections) <= 2
        assert [item.transport.aborted for item in callers] == (
            [True] * 3 + [False] * 2
        )

    _run(main)


def test_nothing_is_kept_after_a_request_for_another_protocol() -> None:
    async def main() -> None:
        caller = _Caller()
        connection = caller.connect()
        connection.data_received(
            b"GET /up HTTP/1.1\r\nhost: a\r\nconnection: upgrade\r\n"
            b"upgrade: x\r\n\r\n"
        )
        for _ in range(10):
            connection.data_received(bytes(1000))
        assert not connection._reader.has_unparsed
        await asyncio.sleep(1)
        assert caller.ran == [b"/up"]
        assert b"connection: close\r\n" in caller.transport.data
        connection.connection_lost(None)

    _run(main)


def test_connection_in_the_middle_of_a_request_has_made_no_progress() -> None:
    async def main() -> None:
        caller = _Caller()
        connection = caller.connect()
        opened_at = connection.progress_at
        assert opened_at is not None
        connection.data_received(HEAD)
        for _ in range(5):
            await asyncio.sleep(1)
            connection.data_received(b"x")
        progress_at = connection.progress_at
        assert progress_at is not None and progress_at < opened_at + 1
        connection.connection_lost(None)

    _run(main)


def test_limits_leave_room_on_the_smallest_machines() -> None:
    for memory, descriptors in ((100, 600), (200, 4100), (552, 8192)):
        limits = process_limits.ProcessLimits(
            memory_bytes=memory * MEGABYTE, descriptors=descriptors
        )
        sockets = descriptors - process_limits.RESERVED_DESCRIPTORS
        opened = 0
        for maximum in (
            limits.caller_connections,
            *[limits.side_connections] * 3,
        ):
            limit = connection_limit.ConnectionLimit(
                "x", maximum, metrics.Metrics()
            )
            opened += maximum + limit.backlog
        assert opened < sockets
        assert limits.caller_connections >= 100
        taken = limits.caller_connections * process_limits.CONNECTION_BYTES
        assert taken + limits.message_bytes < limits.memory_bytes / 3


def test_memory_is_that_of_a_lower_limit_of_the_process() -> None:
    """Guards against messages for which no memory can be allocated."""
    before = resource.getrlimit(resource.RLIMIT_AS)
    lowered = 64_000 * MEGABYTE
    resource.setrlimit(resource.RLIMIT_AS, (lowered, before[1]))
    try:
        limits = process_limits.ProcessLimits.make(2 * lowered, 600)
    finally:
        resource.setrlimit(resource.RLIMIT_AS, before)
    assert limits.memory_bytes == lowered


def test_time_of_a_transfer_is_that_of_the_longest_request() -> None:
    longest = entry_ingress.TIMEOUT_MAX
    assert longest <= transfer_progress.TRANSFER_TIMEOUT
