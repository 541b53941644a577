"""Large bodies of many nodes for one: room is asked for before they leave.

A node that takes whatever others send is ended for its memory, though each of
them keeps within its own.
"""

import asyncio
import datetime
import typing

import attrs
import pytest
from returns import result

from balsamramp_core import metrics
from balsamramp_core import settings
from balsamramp_core import verdict
from balsamramp_node.inbound import body_room
from balsamramp_node.outbound import call_dispatcher
from balsamramp_node.process import caller_presence
from balsamramp_testing import rollout_fixtures
from balsamramp_wire import body_messages
from balsamramp_wire import messages

LIMIT_BYTES = 90_000_000
TIMEOUT = datetime.timedelta(seconds=2)
LARGE = call_dispatcher.LARGE_BODY_BYTES + 1
PEER = settings.Address("peer", 1)


def _room() -> tuple[body_room.BodyRoom, rollout_fixtures.ManualClock]:
    time = rollout_fixtures.ManualClock()
    return body_room.BodyRoom(LIMIT_BYTES, time, metrics.Metrics()), time


def test_bodies_of_all_nodes_keep_within_the_memory_for_them() -> None:
    room, _ = _room()
    granted = [
        room.grant(f"call-{number}", 10_000_000, TIMEOUT)
        for number in range(50)
    ]
    assert sum(granted) == 3
    assert room.held_bytes <= LIMIT_BYTES


def test_memory_is_given_back_with_the_call_or_at_its_end() -> None:
    room, time = _room()
    assert room.grant("a", 20_000_000, TIMEOUT)
    assert not room.grant("b", 20_000_000, TIMEOUT)
    room.release("a")
    assert room.grant("b", 20_000_000, TIMEOUT)
    assert not room.grant("c", 20_000_000, TIMEOUT)
    time.passed += TIMEOUT
    assert room.grant("c", 20_000_000, TIMEOUT)


def test_one_body_of_any_size_is_granted_in_calm() -> None:
    room, _ = _room()
    assert room.grant("a", LIMIT_BYTES, TIMEOUT)
    assert not room.grant("b", 100_000, TIMEOUT)


def test_call_that_is_sent_again_takes_no_more() -> None:
    room, _ = _room()
    for _ in range(5):
        assert room.grant("a", 20_000_000, TIMEOUT)
    assert room.held_bytes == body_room.COPIES * 20_000_000


@attrs.define
class _Peer:
    """The transports to another node, which answers as a test says."""

    answer: result.Result[typing.Any, verdict.Failure]
    asked: list[body_messages.BodyRoomRequest] = attrs.field(factory=list)
    called: list[messages.CallRequest] = attrs.field(factory=list)

    async def send(
        self,
        peer: settings.Address,
        request: body_messages.BodyRoomRequest,
        timeout: datetime.timedelta,
    ) -> result.Result[typing.Any, verdict.Failure]:
        self.asked.append(request)
        return self.answer

    async def call(
        self,
        peer: settings.Address,
        request: messages.CallRequest,
        may_leave: object,
    ) -> str:
        self.called.append(request)
        return "reply"


class _Left(caller_presence.CallerPresence):
    def may_have_left(self) -> bool:
        return True

    async def has_left(self) -> bool:
        return True


def _submit(
    peer: _Peer,
    size: int,
    presence: caller_presence.CallerPresence | None = None,
) -> typing.Any:
    handler: typing.Any = None
    transport: typing.Any = peer
    dispatcher = call_dispatcher.CallDispatcher(
        "own", handler, transport, transport, rollout_fixtures.ManualClock()
    )
    request = messages.CallRequest(
        call_id="r",
        service="caja",
        target="t",
        incarnation=1,
        idempotent=False,
        method="POST",
        path="/",
        headers=(),
        body=bytes(size),
        timeout=TIMEOUT,
    )
    chosen: typing.Any = attrs.make_class("Chosen", ["member"])(
        attrs.make_class("Member", ["node", "stream", "control"])(
            "other", PEER, PEER
        )
    )

    async def main() -> typing.Any:
        if presence is not None:
            caller_presence.set_current(presence)
        return await dispatcher.submit(request, chosen)

    return asyncio.run(main())


def _failure(reason: verdict.Reason) -> result.Result[typing.Any, typing.Any]:
    return result.Failure(
        verdict.Failure(verdict.Verdict.MAY_HAVE_RUN, reason, "text")
    )


def test_body_without_room_is_refused_before_it_is_sent() -> None:
    denied = body_messages.BodyRoomReply(granted=False)
    peer = _Peer(result.Success(denied))
    reply = _submit(peer, LARGE)
    assert reply.failure.verdict is verdict.Verdict.NOT_RUN
    assert reply.failure.reason is verdict.Reason.NO_MEMORY
    assert reply.failure.retry_after is not None
    assert not peer.called
    assert peer.asked[0].size == LARGE


def test_body_with_room_is_sent() -> None:
    granted = body_messages.BodyRoomReply(granted=True)
    peer = _Peer(result.Success(granted))
    assert _submit(peer, LARGE) == "reply"
    assert len(peer.called) == 1


def test_body_is_not_sent_for_a_caller_that_left_meanwhile() -> None:
    granted = body_messages.BodyRoomReply(granted=True)
    peer = _Peer(result.Success(granted))
    with pytest.raises(asyncio.CancelledError):
        _submit(peer, LARGE, _Left())
    assert len(peer.asked) == 1
    assert not peer.called


def test_no_question_is_asked_for_a_small_body() -> None:
    peer = _Peer(_failure(verdict.Reason.CONNECTION_LOST))
    assert _submit(peer, LARGE - 1) == "reply"
    assert not peer.asked


@pytest.mark.parametrize(
    ("reason", "is_sent"),
    [
        (verdict.Reason.BAD_REQUEST, True),
        (verdict.Reason.CONNECTION_LOST, False),
    ],
)
def test_only_a_node_that_knows_no_question_gets_a_body_unasked(
    reason: verdict.Reason, is_sent: bool
) -> None:
    peer = _Peer(_failure(reason))
    reply = _submit(peer, LARGE)
    assert bool(peer.called) is is_sent
    if not is_sent:
        assert reply.failure.verdict is verdict.Verdict.NOT_RUN
