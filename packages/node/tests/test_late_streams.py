"""Calls of other nodes that are read long after they were sent.

Guards against work for callers that had left: what says so, a cancellation
or the end of the connection, arrives behind the call, and the age of the
first message of a sender is not known.
"""

import asyncio
from collections import abc
import datetime
import gc
import ssl
import time
import typing
import weakref

import attrs
import pytest
from returns import result
import trustme
import uvloop

from balsamramp_core import clock
from balsamramp_core import metrics
from balsamramp_core import settings
from balsamramp_core import verdict
from balsamramp_node.inbound import held_calls
from balsamramp_node.inbound import inbound_handler
from balsamramp_node.inbound import stream_server
from balsamramp_node.inbound import target_client
from balsamramp_node.inbound import targets
from balsamramp_node.inbound.concurrency_limits import fixed
from balsamramp_node.inbound.limiters import concurrency_limiter
from balsamramp_node.outbound import peer_stream
from balsamramp_node.outbound import stream_client
from balsamramp_wire import frames
from balsamramp_wire import messages

LOOPBACK = settings.Address("127.0.0.1", 0)
LIMIT = 4
CALLS = 21
RUN_SECONDS = 0.1
SETTLE_SECONDS = 0.6
LARGE_BYTES = 500_000
LATE = datetime.timedelta(seconds=2)
SHORT = datetime.timedelta(milliseconds=250)
LONG = datetime.timedelta(seconds=10)
CALL = messages.CallRequest(
    call_id="c",
    service="s",
    target="t",
    incarnation=1,
    method="GET",
    path="/",
    headers=(),
    timeout=LONG,
    idempotent=True,
)

LARGE = attrs.evolve(CALL, body=bytes(held_calls.BYTES_MAX // 8))


class _Target(target_client.TargetClient):
    """Responds after a fixed time and counts its runs."""

    def __init__(self) -> None:
        self.started: list[str] = []

    async def call(
        self,
        target: targets.Announcement,
        request: messages.CallRequest,
        time_left: datetime.timedelta,
    ) -> target_client.TargetCallResult:
        self.started.append(request.call_id)
        await asyncio.sleep(RUN_SECONDS)
        return result.Success(
            target_client.TargetResponse(status=200, headers=(), body=b"")
        )


class _Membership:
    def set_targets(self, records: object) -> None:
        self.records = records


@attrs.define(eq=False)
class _Node:
    """A node with one target of ``LIMIT`` slots."""

    target: _Target = attrs.field(factory=_Target)
    counters: metrics.Metrics = attrs.field(factory=metrics.Metrics)

    async def start(
        self, security: ssl.SSLContext | None = None
    ) -> stream_server.StreamServer:
        """Return the started server for other nodes."""
        now = clock.SystemClock()
        local_targets = targets.LocalTargets(
            typing.cast(typing.Any, _Membership()),
            now,
            self.counters,
            datetime.timedelta(hours=1),
        )
        local_targets.announce(
            targets.Announcement(target="t", service="s", url="http://t")
        )
        calls = inbound_handler.InboundHandler(
            1,
            local_targets,
            lambda announced: concurrency_limiter.ConcurrencyLimiter(
                announced, fixed.FixedLimit(LIMIT), now
            ),
            now,
            self.counters,
            self.target,
            lambda: False,
            typing.cast(typing.Any, None),
        )
        server = stream_server.StreamServer(
            messages.Hello("called", 1),
            LOOPBACK,
            calls,
            now,
            self.counters,
            security,
        )
        await server.start()
        return server


def _now() -> datetime.timedelta:
    return datetime.timedelta(seconds=time.monotonic())


@attrs.define(eq=False)
class _Sender:
    """A connection of another node, written frame by frame."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    protocol: int = messages.PROTOCOL
    received: list[object] = attrs.field(factory=list)

    def hello(self, age: datetime.timedelta) -> None:
        """Send the first frame as if it had been written ``age`` ago."""
        hello = messages.Hello("calling", 1, self.protocol, _now() - age)
        self.send(hello)

    def calls(
        self,
        age: datetime.timedelta,
        timeout: datetime.timedelta,
        idempotent: bool = True,
    ) -> None:
        """Send calls that were written ``age`` ago."""
        for number in range(CALLS):
            call = attrs.evolve(
                CALL,
                call_id=f"c{number}",
                sent_at=_now() - age,
                timeout=timeout,
                idempotent=idempotent,
            )
            self.send(call)

    def cancel(self) -> None:
        """Cancel all calls."""
        for number in range(CALLS):
            self.send(messages.CallCancel(f"c{number}", "t"))

    def send(self, message: object) -> None:
        """Write one frame."""
        self.writer.write(frames.encode(message))

    async def read(self) -> None:
        """Answer pings until the connection ends."""
        reader = frames.FrameReader(self.reader)
        while True:
            try:
                message = await reader.read()
            except (asyncio.IncompleteReadError, ConnectionError):
                return
            self.received.append(message)
            if self.writer.is_closing():
                continue
            if isinstance(message, messages.Ping):
                self.send(messages.Pong(message.number, _now()))


def _cancel(sender: _Sender) -> None:
    sender.cancel()


def _close(sender: _Sender) -> None:
    sender.writer.close()


def _reset(sender: _Sender) -> None:
    peer_stream._reset_connection(sender.writer)


Leave = abc.Callable[[_Sender], None]
each_leave = pytest.mark.parametrize("leave", [_cancel, _close, _reset])


async def _connect(
    server: stream_server.StreamServer,
    protocol: int = messages.PROTOCOL,
    security: ssl.SSLContext | None = None,
) -> _Sender:
    reader, writer = await asyncio.open_connection(
        server.address.host, server.address.port, ssl=security
    )
    return _Sender(reader, writer, protocol)


def _make_contexts() -> tuple[ssl.SSLContext, ssl.SSLContext]:
    """Return the contexts of a server and of a client that trusts it."""
    authority = trustme.CA()
    server = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    authority.issue_cert("127.0.0.1").configure_cert(server)
    client = ssl.create_default_context()
    authority.configure_trust(client)
    return server, client


async def _run_late_calls(
    leave: Leave,
    known: bool,
    timeout: datetime.timedelta,
    idempotent: bool = True,
    tls: bool = False,
) -> list[str]:
    """Return the calls that ran though their callers had left."""
    node = _Node()
    contexts = _make_contexts() if tls else (None, None)
    server = await node.start(contexts[0])
    if known:
        before = await _connect(server, security=contexts[1])
        before.hello(datetime.timedelta())
        reading = asyncio.create_task(before.read())
        await asyncio.sleep(0.05)
        before.writer.close()
        await reading
    sender = await _connect(server, security=contexts[1])
    sender.hello(LATE)
    sender.calls(LATE, timeout, idempotent)
    await asyncio.sleep(0.01)
    leave(sender)
    # What the sender wrote before it reads is on its way.
    reading = asyncio.create_task(sender.read())
    await asyncio.sleep(SETTLE_SECONDS)
    sender.writer.close()
    await reading
    await server.stop()
    return node.target.started


@each_leave
@pytest.mark.parametrize("timeout", [SHORT, LONG])
@pytest.mark.parametrize("known", [False, True])
def test_late_call_is_not_started_for_a_caller_that_left(
    leave: Leave, known: bool, timeout: datetime.timedelta
) -> None:
    assert uvloop.run(_run_late_calls(leave, known, timeout)) == []


@each_leave
@pytest.mark.parametrize("known", [False, True])
@pytest.mark.parametrize("tls", [False, True])
def test_late_unsafe_call_is_not_started_for_a_caller_that_left(
    leave: Leave, known: bool, tls: bool
) -> None:
    ran = uvloop.run(_run_late_calls(leave, known, LONG, False, tls))
    assert ran == []


async def _serve(
    age: datetime.timedelta, protocol: int
) -> tuple[_Node, _Sender]:
    """Have a sender that waits for its calls send them twice."""
    node = _Node()
    server = await node.start()
    sender = await _connect(server, protocol)
    reading = asyncio.create_task(sender.read())
    sender.hello(datetime.timedelta())
    sender.send(attrs.evolve(CALL, call_id="first", sent_at=_now()))
    await asyncio.sleep(2 * RUN_SECONDS)
    sender.calls(age, LONG)
    await asyncio.sleep(CALLS / LIMIT * RUN_SECONDS + SETTLE_SECONDS)
    sender.writer.close()
    await reading
    await server.stop()
    return node, sender


def _pings(sender: _Sender) -> int:
    return sum(isinstance(item, messages.Ping) for item in sender.received)


@pytest.mark.parametrize("age", [datetime.timedelta(), LATE])
def test_calls_whose_callers_wait_are_served(age: datetime.timedelta) -> None:
    node, _ = uvloop.run(_serve(age, messages.PROTOCOL))
    assert len(node.target.started) == 1 + CALLS


def test_only_late_calls_cost_a_round_trip() -> None:
    _, sender = uvloop.run(_serve(datetime.timedelta(), messages.PROTOCOL))
    assert _pings(sender) == 1
    _, sender = uvloop.run(_serve(LATE, messages.PROTOCOL))
    assert 2 <= _pings(sender) <= 3


def test_large_call_on_a_slow_link_costs_no_round_trip() -> None:
    """A ping waits behind the next large call on such a link."""

    async def main() -> None:
        node = _Node()
        server = await node.start()
        sender = await _connect(server)
        reading = asyncio.create_task(sender.read())
        sender.hello(datetime.timedelta())
        sender.send(attrs.evolve(CALL, call_id="first", sent_at=_now()))
        await asyncio.sleep(2 * RUN_SECONDS)
        body = bytes(LARGE_BYTES)
        frame = frames.encode(attrs.evolve(CALL, sent_at=_now(), body=body))
        for start in range(0, len(frame), LARGE_BYTES // 5):
            sender.writer.write(frame[start : start + LARGE_BYTES // 5])
            await asyncio.sleep(RUN_SECONDS)
        await asyncio.sleep(2 * RUN_SECONDS)
        assert node.target.started == ["first", "c"]
        assert _pings(sender) == 1
        sender.writer.close()
        await reading
        await server.stop()

    uvloop.run(main())


@pytest.mark.parametrize("age", [datetime.timedelta(), LATE])
def test_node_that_answers_no_pings_is_served(age: datetime.timedelta) -> None:
    before = messages.PROTOCOL_WITH_CONFIRMATION - 1
    node, sender = uvloop.run(_serve(age, before))
    assert len(node.target.started) == 1 + CALLS
    assert _pings(sender) == 0


@each_leave
def test_call_that_waits_for_a_slot_is_not_started_after_its_caller_left(
    leave: Leave,
) -> None:
    async def main() -> None:
        node = _Node()
        server = await node.start()
        sender = await _connect(server)
        reading = asyncio.create_task(sender.read())
        sender.hello(datetime.timedelta())
        sender.calls(datetime.timedelta(), LONG)
        while len(node.target.started) < LIMIT:  # noqa: ASYNC110
            await asyncio.sleep(0.001)
        leave(sender)
        await asyncio.sleep(0)
        # The slots become free before the sockets are read.
        time.sleep(RUN_SECONDS)  # noqa: ASYNC251
        await asyncio.sleep(SETTLE_SECONDS)
        assert len(node.target.started) == LIMIT
        sender.writer.close()
        await reading
        await server.stop()

    uvloop.run(main())


def test_closed_connection_is_not_kept_for_calls_that_ended() -> None:
    async def main() -> None:
        node = _Node()
        server = await node.start()
        sender = await _connect(server)
        reading = asyncio.create_task(sender.read())
        sender.hello(datetime.timedelta())
        sender.calls(datetime.timedelta(), LONG)
        await asyncio.sleep(CALLS / LIMIT * RUN_SECONDS + SETTLE_SECONDS)
        assert len(node.target.started) == CALLS
        (connection,) = (weakref.ref(item) for item in server._connections)
        sender.writer.close()
        await reading
        await asyncio.sleep(SETTLE_SECONDS)
        gc.collect()
        assert connection() is None
        await server.stop()

    uvloop.run(main())


def test_node_confirms_its_calls_to_another_that_does_not_know_it() -> None:
    async def main() -> None:
        node = _Node()
        server = await node.start()
        client = stream_client.StreamClient(
            messages.Hello("calling", 1),
            clock.SystemClock(),
            metrics.Metrics(),
        )
        await client.call(server.address, CALL)
        assert node.target.started == ["c"]
        await client.stop()
        await server.stop()

    uvloop.run(main())


def test_calls_are_limited_in_number_and_bytes() -> None:
    held = held_calls.HeldCalls()
    for _ in range(held_calls.CALLS_MAX):
        assert held.add(CALL)
    assert not held.add(CALL)
    held.remove(CALL)
    assert held.add(CALL)

    held = held_calls.HeldCalls()
    taken = sum(held.add(LARGE) for _ in range(20))
    assert taken * len(LARGE.body) <= held_calls.BYTES_MAX
    assert held.add(CALL)
    held.remove(LARGE)
    assert held.add(LARGE)


@pytest.mark.parametrize(
    ("repeat", "outcome"),
    [
        (False, verdict.Verdict.NOT_RUN),
        (True, verdict.Verdict.MAY_HAVE_RUN),
    ],
)
def test_refusal_of_a_repeated_call_does_not_promise_that_it_has_not_run(
    repeat: bool, outcome: verdict.Verdict
) -> None:
    call = attrs.evolve(CALL, repeat=repeat)
    refusal = held_calls.HeldCalls().refusal(call)
    assert refusal.failure.verdict is outcome
    assert refusal.failure.reason is verdict.Reason.OVERLOADED


def test_sender_that_answers_nothing_cannot_fill_a_node(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(held_calls, "CALLS_MAX", 5)

    async def main() -> None:
        node = _Node()
        server = await node.start()
        sender = await _connect(server)
        sender.hello(LATE)
        sender.calls(LATE, datetime.timedelta(seconds=10))
        await asyncio.sleep(0.2)
        refused = CALLS - 5
        assert node.counters.value("held_calls_refused_total") == refused
        # Its answer gives the room back, and the calls that waited run.
        reading = asyncio.create_task(sender.read())
        await asyncio.sleep(SETTLE_SECONDS)
        assert len(node.target.started) == 5
        failures = [
            item
            for item in sender.received
            if isinstance(item, messages.CallFailure)
        ]
        assert len(failures) == refused
        sender.calls(LATE, datetime.timedelta(seconds=10))
        await asyncio.sleep(SETTLE_SECONDS)
        sender.writer.close()
        await reading
        await server.stop()

    asyncio.run(main())
