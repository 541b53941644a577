"""Replies are sent as fast as the link takes them, small ones first."""

import asyncio
from collections import abc
import datetime
import typing

import attrs
import pytest

from balsamramp_core import metrics
from balsamramp_node.inbound import link_admission
from balsamramp_node.inbound import reply_scheduler
from balsamramp_node.process import decision_log
from balsamramp_testing import virtual_time
from balsamramp_wire import frames
from balsamramp_wire import messages

LINK = 625_000.0
SECOND = datetime.timedelta(seconds=1)
LOAD = messages.Load(0, 0)
OWN_SHARE = reply_scheduler.LINK_SHARE


class _Transport:
    def __init__(self) -> None:
        self.unsent = 0

    def get_write_buffer_size(self) -> int:
        return self.unsent


class _Writer:
    """Keeps each frame with the time at which it was written."""

    def __init__(self, clock: virtual_time.VirtualClock) -> None:
        self.transport = _Transport()
        self.written: list[tuple[float, bytes]] = []
        self._clock = clock

    def is_closing(self) -> bool:
        return False

    def write(self, data: bytes) -> None:
        now = self._clock.monotonic().total_seconds()
        self.written.append((now, data))

    async def received(self) -> list[typing.Any]:
        """Return the messages that a peer reads."""
        reader = asyncio.StreamReader()
        reader.feed_data(b"".join(data for _, data in self.written))
        reader.feed_eof()
        incoming = frames.FrameReader(reader)
        found = []
        while True:
            try:
                found.append(await incoming.read())
            except asyncio.IncompleteReadError:
                return found


@attrs.define
class _Vm:
    clock: virtual_time.VirtualClock = attrs.field(
        factory=virtual_time.VirtualClock
    )
    link: float = LINK
    scheduler: reply_scheduler.ReplyScheduler = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.scheduler = reply_scheduler.ReplyScheduler(
            self.link,
            self.clock,
            metrics.Metrics(),
            decision_log.DecisionLog(decision_log.NullSink(), self.clock),
        )

    def writer(self) -> typing.Any:
        return _Writer(self.clock)

    def send(
        self,
        writer: typing.Any,
        size: int,
        name: str = "c",
        timeout: float = 3.0,
        in_parts: bool = True,
    ) -> None:
        now = self.clock.monotonic()
        self.scheduler.send(
            writer, _answer(name, size), now + SECOND, now + timeout * SECOND,
            in_parts,
        )  # fmt: skip


def _answer(name: str, size: int) -> messages.CallAnswer:
    return messages.CallAnswer(
        call_id=name, status=200, headers=(), body=b"x" * size, load=LOAD
    )


def _run(main: abc.Callable[[_Vm], abc.Awaitable[None]]) -> None:
    async def start() -> None:
        await main(_Vm())

    virtual_time.run(start())


def test_replies_use_their_share_of_the_link_and_no_more() -> None:
    async def main(vm: _Vm) -> None:
        writer = vm.writer()
        for number in range(5):
            vm.send(writer, 90_000, f"c{number}")
        await asyncio.sleep(2)
        sent_at = writer.written[-1][0] - writer.written[0][0]
        assert sent_at == pytest.approx(450_000 / (LINK * OWN_SHARE), rel=0.1)
        received = await writer.received()
        assert [len(item.body) for item in received] == [90_000] * 5

    _run(main)


def test_small_reply_does_not_wait_behind_large_ones() -> None:
    async def main(vm: _Vm) -> None:
        writer = vm.writer()
        vm.send(writer, 500_000, "large")
        await asyncio.sleep(0.1)
        vm.send(writer, 400, "small")
        vm.scheduler.write(writer, messages.Pong(7))
        await asyncio.sleep(2)
        received = await writer.received()
        assert isinstance(received[1], messages.Pong)
        assert [received[0].call_id, received[2].call_id] == ["small", "large"]

    _run(main)


def test_reply_that_cannot_arrive_in_time_becomes_a_failure_at_once() -> None:
    async def main(vm: _Vm) -> None:
        writer = vm.writer()
        vm.send(writer, 540_000, "too-large", timeout=0.5)
        received = await writer.received()
        assert isinstance(received[0], messages.CallFailure)
        assert received[0].call_id == "too-large"

    _run(main)


def test_reply_is_not_sent_on_after_its_caller_has_left() -> None:
    async def main(vm: _Vm) -> None:
        writer = vm.writer()
        vm.send(writer, 500_000, "left")
        await asyncio.sleep(0.2)
        vm.scheduler.discard("left")
        written = sum(len(data) for _, data in writer.written)
        assert vm.scheduler.queued_bytes == 0
        await asyncio.sleep(1)
        assert sum(len(data) for _, data in writer.written) == written
        assert await writer.received() == []

    _run(main)


def test_peer_that_takes_nothing_holds_up_no_other_peer() -> None:
    async def main(vm: _Vm) -> None:
        stuck, other = vm.writer(), vm.writer()
        vm.send(stuck, 90_000, "stuck")
        stuck.transport.unsent = 10**6
        vm.send(other, 90_000, "other")
        await asyncio.sleep(1)
        assert await stuck.received() == []
        assert len(await other.received()) == 1
        stuck.transport.unsent = 0
        await asyncio.sleep(1)
        assert len(await stuck.received()) == 1

    _run(main)


def test_peer_without_parts_gets_whole_frames() -> None:
    async def main(vm: _Vm) -> None:
        writer = vm.writer()
        vm.send(writer, 90_000, "whole", in_parts=False)
        assert len(writer.written) == 1
        assert len(await writer.received()) == 1

    _run(main)


def test_flush_waits_for_the_replies_of_its_connection() -> None:
    async def main(vm: _Vm) -> None:
        writer = vm.writer()
        vm.send(writer, 200_000, "last")
        await vm.scheduler.flush(writer)
        assert len(await writer.received()) == 1

    _run(main)


def _request(name: str, objective: float = 1.0) -> messages.CallRequest:
    return messages.CallRequest(
        call_id=name,
        service="s",
        target="t",
        incarnation=1,
        method="GET",
        path="/",
        headers=(),
        timeout=3 * SECOND,
        idempotent=True,
        route="download",
        objective=objective * SECOND,
    )


def test_calls_are_refused_when_their_responses_fill_the_link() -> None:
    async def main(vm: _Vm) -> None:
        admission = link_admission.LinkAdmission(vm.scheduler)
        first = _request("c0")
        assert admission.refusal(first, 3 * SECOND) is None
        admission.finish(first, _answer("c0", 90_000))
        admitted = 0
        while admission.refusal(_request("next"), 3 * SECOND) is None:
            admission.start(_request(f"c{admitted}"))
            admitted += 1
        assert admitted == int(LINK * OWN_SHARE / 90_000)
        refusal = admission.refusal(_request("next"), 3 * SECOND)
        assert refusal is not None
        assert refusal.retry_after == admission.expected_wait()
        other = attrs.evolve(_request("small"), route="other")
        assert admission.refusal(other, 3 * SECOND) is None
        admission.finish(_request("c0"), None)
        assert admission.refusal(_request("next"), 3 * SECOND) is None

    _run(main)


def test_no_route_is_refused_for_good_after_a_huge_response() -> None:
    async def main(vm: _Vm) -> None:
        admission = link_admission.LinkAdmission(vm.scheduler)
        huge = _request("huge")
        admission.start(huge)
        admission.finish(huge, _answer("huge", int(4 * LINK)))
        admitted = 0
        for number in range(40):
            request = _request(f"c{number}")
            if admission.refusal(request, 3 * SECOND) is not None:
                continue
            admission.start(request)
            admission.finish(request, _answer(request.call_id, 90_000))
            admitted += 1
        assert admitted >= 10

    _run(main)
