"""Entry calls: which doors a request is put to, and when that ends."""

from collections import abc
import datetime
import random
import typing

import attrs
from returns import result

from balsamramp_core import metrics
from balsamramp_core import settings
from balsamramp_core import verdict
from balsamramp_core.resources import entry
from balsamramp_node.outbound import call_transport
from balsamramp_node.outbound import entry_proxy
from balsamramp_node.outbound import picker
from balsamramp_node.outbound import recent_refusals
from balsamramp_node.outbound import retry_budget
from balsamramp_node.outbound.pickers import expected_finish
from balsamramp_node.process import decision_log
from balsamramp_testing import virtual_time
from balsamramp_wire import messages

MS = datetime.timedelta(milliseconds=1)
SECOND = datetime.timedelta(seconds=1)
DOORS = ("a", "b", "c", "d")
IDLE = messages.Load(0, 0)

Answer = abc.Callable[[messages.CallRequest], call_transport.Reply]


def _candidate(name: str) -> picker.Candidate:
    address = settings.Address(name, 1)
    member = messages.Member(
        node=name,
        zone="z",
        region="r",
        stream=address,
        control=address,
        admin=address,
        incarnation=1,
        sequence=1,
        state=messages.MemberState.ALIVE,
    )
    record = messages.TargetRecord(
        target=name,
        service="s",
        labels={},
        state=messages.TargetState.READY,
        slots=10,
    )
    return picker.Candidate(member, record, picker.TargetStats())


class _Routes:
    version = 1

    def __init__(self, found: entry.Entry) -> None:
        self._entry = found
        self.candidates = [_candidate(name) for name in DOORS]

    def resolve_entry(
        self, host: str, path: str
    ) -> result.Result[entry.Entry, verdict.Failure]:
        return result.Success(self._entry)

    def service_candidates(self, *place: object) -> list[picker.Candidate]:
        return self.candidates


@attrs.define
class _Doors:
    """Doors that take a millisecond to answer."""

    clock: virtual_time.VirtualClock
    answer: Answer
    asked: list[str] = attrs.field(factory=list)

    async def submit(
        self, message: messages.CallRequest, chosen: picker.Candidate
    ) -> call_transport.Reply:
        self.asked.append(message.target)
        await self.clock.sleep(MS)
        return self.answer(message)


def answered(
    request: messages.CallRequest, status: int = 200
) -> messages.CallAnswer:
    return messages.CallAnswer(
        call_id=request.call_id, status=status, headers=(), body=b"", load=IDLE
    )


def full(request: messages.CallRequest) -> messages.CallFailure:
    return _failure(
        request,
        verdict.Verdict.NOT_RUN,
        verdict.Reason.OVERLOADED,
        retry_after=SECOND / 2,
    )


def draining(request: messages.CallRequest) -> messages.CallFailure:
    return _failure(request, verdict.Verdict.NOT_RUN, verdict.Reason.DRAINING)


def lost(request: messages.CallRequest) -> messages.CallFailure:
    return _failure(
        request,
        verdict.Verdict.MAY_HAVE_RUN,
        verdict.Reason.TRUNCATED,
        offered=True,
    )


def _failure(
    request: messages.CallRequest,
    ran: verdict.Verdict,
    reason: verdict.Reason,
    **fields: typing.Any,
) -> messages.CallFailure:
    failure = verdict.Failure(ran, reason, "", **fields)
    return messages.CallFailure(
        call_id=request.call_id, failure=failure, load=IDLE
    )


@attrs.define
class _Node:
    clock: virtual_time.VirtualClock
    doors: _Doors
    routes: _Routes
    calls: entry_proxy.EntryProxy

    async def call(self, timeout: datetime.timedelta = SECOND) -> typing.Any:
        """Send one request; return the reply."""
        return await self.calls.call(
            entry_proxy.EntryRequest(
                request_id="r",
                host="h",
                method="GET",
                path="/",
                headers=(),
                body=b"",
                timeout=timeout,
            )
        )


def _node(answer: Answer, **fields: typing.Any) -> _Node:
    clock = virtual_time.VirtualClock()
    found = entry.Entry(
        name="e",
        host="h",
        path_prefix="/",
        parts=(entry.Part(service="s", weight=1),),
        **{"repeatable": True, "attempts": 2, **fields},
    )
    doors = _Doors(clock, answer)
    routes = _Routes(found)
    sink = decision_log.NullSink()
    calls = entry_proxy.EntryProxy(
        typing.cast(typing.Any, routes),
        expected_finish.ExpectedFinish("z", random.Random(1)),
        typing.cast(typing.Any, doors),
        retry_budget.RetryBudget(0.2, 10 * SECOND, 100),
        lambda: 1,
        clock,
        metrics.Metrics(),
        decision_log.DecisionLog(sink, clock),
        random.Random(1),
    )
    return _Node(clock, doors, routes, calls)


def test_a_request_goes_on_to_a_door_that_takes_it() -> None:
    async def main() -> None:
        node = _node(lambda request: answered(request))
        first = (await node.call()).status, len(node.doors.asked)
        assert first == (200, 1)
        taken = node.doors.asked[0]
        node.doors.answer = lambda request: (
            full(request) if request.target == taken else answered(request)
        )
        for _ in range(5):
            assert (await node.call()).status == 200

    virtual_time.run(main())


def test_a_request_that_may_have_run_is_repeated_only_if_it_may_be() -> None:
    async def main() -> None:
        safe = _node(lost)
        reply = await safe.call()
        assert reply.failure.verdict is verdict.Verdict.MAY_HAVE_RUN
        assert len(safe.doors.asked) == 2
        unsafe = _node(lost, repeatable=False)
        reply = await unsafe.call()
        assert reply.failure.verdict is verdict.Verdict.MAY_HAVE_RUN
        assert len(unsafe.doors.asked) == 1

    virtual_time.run(main())


def test_doubt_goes_before_a_later_refusal() -> None:
    async def main() -> None:
        replies = iter([lost, full, full, full])
        node = _node(lambda request: next(replies)(request))
        reply = await node.call()
        assert reply.failure.verdict is verdict.Verdict.MAY_HAVE_RUN

    virtual_time.run(main())


def test_full_doors_are_not_asked_again_and_again() -> None:
    """A service at twice its load: most requests are refused.

    200 requests a second at one node, of which none finds room, put all
    four doors to each; what is known of them spares most of it, and the
    callers hear sooner.
    """

    async def main() -> None:
        node = _node(full)
        slowest = datetime.timedelta()
        sent = 200
        for _ in range(sent):
            started = node.clock.monotonic()
            reply = await node.call()
            failure = reply.failure
            assert failure.verdict is verdict.Verdict.NOT_RUN
            assert failure.reason is verdict.Reason.OVERLOADED
            assert failure.retry_after > datetime.timedelta()
            slowest = max(slowest, node.clock.monotonic() - started)
            await node.clock.sleep(SECOND / sent)
        rounds = 1 + 1.1 * SECOND / recent_refusals.REFUSAL_TTL
        assert len(node.doors.asked) <= len(DOORS) * rounds
        assert slowest <= len(DOORS) * MS

    virtual_time.run(main())


def test_a_door_that_has_room_again_is_found_soon() -> None:
    async def main() -> None:
        node = _node(full)
        await node.call()
        node.doors.answer = lambda request: answered(request)
        await node.clock.sleep(recent_refusals.REFUSAL_TTL)
        assert (await node.call()).status == 200
        assert (await node.call()).status == 200

    virtual_time.run(main())


def test_a_request_with_more_time_is_put_to_doors_that_refused() -> None:
    async def main() -> None:
        node = _node(full)
        await node.call(SECOND / 2)
        asked = len(node.doors.asked)
        await node.call(SECOND / 4)
        assert len(node.doors.asked) == asked
        await node.call(SECOND)
        assert len(node.doors.asked) == 2 * asked

    virtual_time.run(main())


def test_a_door_that_refuses_for_another_reason_is_asked_again() -> None:
    async def main() -> None:
        node = _node(draining)
        await node.call()
        asked = len(node.doors.asked)
        await node.call()
        assert len(node.doors.asked) == 2 * asked

    virtual_time.run(main())


def test_what_is_remembered_is_bounded() -> None:
    refusals = recent_refusals.RecentRefusals()
    for number in range(recent_refusals.CACHED_REFUSALS_MAX + 1):
        refusals.record_refusal(str(number), "e", SECOND, SECOND, SECOND)
    assert refusals.retry_delay("0", "e", SECOND, SECOND) is None
    last = str(recent_refusals.CACHED_REFUSALS_MAX)
    assert refusals.retry_delay(last, "e", SECOND, SECOND) == SECOND
    refusals.clear_refusal(last, "e")
    assert refusals.retry_delay(last, "e", SECOND, SECOND) is None
