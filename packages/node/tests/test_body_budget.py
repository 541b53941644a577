"""All bodies that a process receives share one limit.

A limit for each body is none for the process: with many slots, a target that
sends without end takes as many times the limit of a body.
"""

import asyncio
import datetime
import typing

import attrs
import pytest

from balsamramp_core import metrics
from balsamramp_core import settings
from balsamramp_core.resources import caller_limits
from balsamramp_node.process import body_budget
from balsamramp_node.process import caller_connection
from balsamramp_node.process import caller_server
from balsamramp_node.process import http_connection
from balsamramp_node.process import shutdown_schedule
from balsamramp_testing import virtual_time

STEP = body_budget.STEP_BYTES
LIMIT_STEPS = 10
TIMEOUT = datetime.timedelta(seconds=5)


@attrs.define(eq=False)
class _Bodies:
    """A budget, and the names of the bodies that were given up."""

    budget: body_budget.BodyBudget = attrs.field(
        factory=lambda: body_budget.BodyBudget(
            LIMIT_STEPS * STEP, metrics.Metrics()
        )
    )
    cut: list[str] = attrs.field(factory=list)

    def open(self, name: str) -> body_budget.Reservation:
        return self.budget.open(lambda: self.cut.append(name))


def test_largest_body_is_given_up_for_a_smaller_one() -> None:
    bodies = _Bodies()
    large, small = bodies.open("large"), bodies.open("small")
    assert large.grow(9 * STEP)
    for _ in range(4):
        assert small.grow(STEP)
    assert bodies.cut == ["large"]
    assert bodies.budget.held_bytes == 3 * STEP


def test_body_that_is_itself_the_largest_gets_no_room() -> None:
    bodies = _Bodies()
    large, small = bodies.open("large"), bodies.open("small")
    assert small.grow(2 * STEP)
    assert large.grow(9 * STEP)
    assert not large.grow(3 * STEP)
    assert bodies.cut == []
    assert bodies.budget.held_bytes == STEP


def test_complete_bodies_are_not_given_up() -> None:
    bodies = _Bodies()
    complete, other = bodies.open("complete"), bodies.open("other")
    assert complete.grow(10 * STEP)
    complete.keep()
    assert not other.grow(4 * STEP)
    complete.release()
    assert other.grow(4 * STEP)
    assert bodies.cut == []


def test_bytes_that_wait_to_be_sent_count() -> None:
    bodies = _Bodies()
    unsent = [10 * STEP]
    bodies.budget.count_unsent(lambda: unsent[0])
    body = bodies.open("body")
    assert not body.grow(2 * STEP)
    unsent[0] = 0
    assert body.grow(2 * STEP)


def test_small_bodies_need_no_room() -> None:
    bodies = _Bodies()
    bodies.budget.count_unsent(lambda: 100 * STEP)
    assert bodies.open("body").grow(STEP)
    assert bodies.cut == []


@pytest.mark.parametrize("ending", ["cut", "complete"])
def test_response_releases_its_memory(ending: str) -> None:
    async def main() -> None:
        bodies = _Bodies()
        connection = http_connection.HttpConnection(100 * STEP, bodies.budget)
        transport = _Transport()
        connection.connection_made(typing.cast(typing.Any, transport))
        call = asyncio.create_task(
            connection.send_request(b"", False, lambda _: True, TIMEOUT)
        )
        await asyncio.sleep(0)
        size = (5 if ending == "complete" else 20) * STEP
        head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % size
        connection.data_received(head + bytes(size - 1))
        if ending == "cut":
            with pytest.raises(http_connection.ResponseError) as raised:
                await call
            failure = http_connection.ResponseFailure.NO_ROOM
            assert raised.value.failure is failure
            assert transport.aborted
        else:
            assert bodies.budget.held_bytes == 4 * STEP
            connection.data_received(b"x")
            assert len((await call).body) == size
        assert bodies.budget.held_bytes == 0

    virtual_time.run(main())


class _Transport:
    """Stands in for the transport of a connection."""

    aborted = False

    def write(self, data: bytes) -> None:
        return None

    def abort(self) -> None:
        self.aborted = True

    def close(self) -> None:
        return None

    def is_closing(self) -> bool:
        return self.aborted

    def get_write_buffer_size(self) -> int:
        return 0

    def get_extra_info(self, name: str) -> None:
        return None


async def _upload(address: settings.Address, size: int) -> tuple[int, bool]:
    """Return the status, 0 for none, and whether the connection ended."""
    reader, writer = await asyncio.open_connection(address.host, address.port)
    head = f"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: {size}\r\n\r\n"
    writer.write(head.encode() + bytes(size))
    line = await reader.readline()
    status = int(line.split()[1]) if line else 0
    closed = b"connection: close" in await reader.readuntil(b"\r\n\r\n")
    writer.close()
    return status, closed


def test_request_body_without_room_is_refused_as_not_run() -> None:
    """Guards against a process that is ended by the bodies of its callers."""

    async def main() -> None:
        handled: list[int] = []

        async def handle(
            request: caller_connection.RawRequest,
        ) -> caller_connection.RawResponse:
            handled.append(len(request.body))
            return caller_connection.RawResponse(
                status=200, headers=[], body=b""
            )

        bodies = _Bodies()
        clock = virtual_time.VirtualClock()
        server = caller_server.CallerServer(
            "callers",
            handle,
            lambda: caller_limits.CallerLimits(name=caller_limits.NAME),
            settings.Address("127.0.0.1", 0),
            (),
            shutdown_schedule.ShutdownSchedule(
                clock, datetime.timedelta(seconds=2)
            ),
            budget=bodies.budget,
        )
        await server.start()
        assert await _upload(server.address, 5 * STEP) == (200, False)
        assert await _upload(server.address, 20 * STEP) == (503, True)
        assert await _upload(server.address, 5 * STEP) == (200, False)
        assert handled == [5 * STEP, 5 * STEP]
        assert bodies.budget.held_bytes == 0
        await server.stop()

    asyncio.run(main())
