"""The entry proxy: selection of targets, retries and skipped targets."""

from collections import abc
import datetime
import json
import random
import typing

import attrs
import pytest
from returns import result

from balsamramp_core import metrics
from balsamramp_core import settings
from balsamramp_core import verdict
from balsamramp_core.resources import entry
from balsamramp_node.configuration import confirmation
from balsamramp_node.outbound import call_transport
from balsamramp_node.outbound import entry_proxy
from balsamramp_node.outbound import key_check
from balsamramp_node.outbound import picker
from balsamramp_node.outbound import recent_refusals
from balsamramp_node.outbound import retry_budget
from balsamramp_node.outbound.pickers import expected_finish
from balsamramp_node.process import decision_log
from balsamramp_node.process import shutdown_schedule
from balsamramp_testing import list_sink
from balsamramp_testing import virtual_time
from balsamramp_wire import messages

MS = datetime.timedelta(milliseconds=1)
SECOND = datetime.timedelta(seconds=1)
TARGETS = ("a", "b", "c", "d")
IDLE = messages.Load(0, 0)

Respond = abc.Callable[[messages.CallRequest], call_transport.Reply]


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


class _FakeRouter:
    version = 1

    def __init__(self, entry_found: entry.Entry) -> None:
        self._entry = entry_found
        self.knows_entry = True
        self.candidates = [_candidate(name) for name in TARGETS]

    def resolve_entry(
        self, host: str, path: str
    ) -> result.Result[entry.Entry, verdict.Failure]:
        if self.knows_entry:
            return result.Success(self._entry)
        return result.Failure(
            verdict.Failure(
                verdict.Verdict.NOT_RUN, verdict.Reason.UNKNOWN_SERVICE, ""
            )
        )

    def service_candidates(self, *place: object) -> list[picker.Candidate]:
        return self.candidates


class _FakeKeys:
    """Knows the caller's key, or does not know it yet."""

    known = True

    def admit(
        self, matched: entry.Entry, headers: messages.Headers
    ) -> result.Result[key_check.Admission, verdict.Failure]:
        if self.known:
            return result.Success(
                key_check.Admission(headers=(("o", "alpha"),), priority=7)
            )
        return result.Failure(
            verdict.Failure(
                verdict.Verdict.NOT_RUN, verdict.Reason.UNKNOWN_KEY, "no key"
            )
        )


@attrs.define
class _FakeDispatcher:
    """Replies with ``respond`` after a millisecond, and records targets."""

    clock: virtual_time.VirtualClock
    respond: Respond
    called: list[str] = attrs.field(factory=list)
    sent: list[messages.CallRequest] = attrs.field(factory=list)

    async def submit(
        self,
        message: messages.CallRequest,
        chosen: picker.Candidate,
        may_leave: call_transport.MayLeave,
    ) -> call_transport.Reply:
        self.called.append(message.target)
        self.sent.append(message)
        await self.clock.sleep(MS)
        reply = self.respond(message)
        if _is_unresponsive(reply) and not may_leave():
            return succeed(message)
        return reply


def succeed(
    request: messages.CallRequest, status: int = 200
) -> messages.CallAnswer:
    return messages.CallAnswer(
        call_id=request.call_id, status=status, headers=(), body=b"", load=IDLE
    )


def overloaded(request: messages.CallRequest) -> messages.CallFailure:
    return _failure(
        request,
        verdict.Verdict.NOT_RUN,
        verdict.Reason.OVERLOADED,
        retry_after=SECOND / 2,
    )


def draining(request: messages.CallRequest) -> messages.CallFailure:
    return _failure(request, verdict.Verdict.NOT_RUN, verdict.Reason.DRAINING)


def truncated(request: messages.CallRequest) -> messages.CallFailure:
    return _failure(
        request,
        verdict.Verdict.MAY_HAVE_RUN,
        verdict.Reason.TRUNCATED,
        offered=True,
    )


def unresponsive(request: messages.CallRequest) -> messages.CallFailure:
    return _failure(
        request,
        verdict.Verdict.MAY_HAVE_RUN,
        verdict.Reason.CONNECTION_LOST,
    )


def _is_unresponsive(reply: call_transport.Reply) -> bool:
    """Tell whether the node answers only a caller that stays."""
    if isinstance(reply, messages.CallAnswer):
        return False
    return reply.failure.reason is verdict.Reason.CONNECTION_LOST


def _failure(
    request: messages.CallRequest,
    call_verdict: verdict.Verdict,
    reason: verdict.Reason,
    **fields: typing.Any,
) -> messages.CallFailure:
    failure = verdict.Failure(call_verdict, reason, "", **fields)
    return messages.CallFailure(
        call_id=request.call_id, failure=failure, load=IDLE
    )


@attrs.define
class _Node:
    clock: virtual_time.VirtualClock
    dispatcher: _FakeDispatcher
    router: _FakeRouter
    proxy: entry_proxy.EntryProxy
    keys: _FakeKeys

    async def call(self, timeout: datetime.timedelta = SECOND) -> typing.Any:
        """Send one request and return the reply."""
        return await self.proxy.call(
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


@attrs.define
class _KeptLines(decision_log.LineSink):
    lines: list[bytes] = attrs.field(factory=list)

    def write(self, line: bytes) -> bool:
        self.lines.append(line)
        return True


@attrs.define
class _FakeConfirmer(confirmation.Confirmer):
    keys: "_FakeKeys"
    confirmed: bool
    learns_key: bool

    @property
    def confirmation(self) -> confirmation.Confirmation:
        return confirmation.Confirmation(
            confirmed=self.confirmed,
            version=7,
            source="n3",
            age=0.25 * SECOND,
            later_version=0 if self.confirmed else 9,
        )

    async def confirm(self) -> bool:
        self.keys.known = self.keys.known or self.learns_key
        return self.confirmed


def _make_node(
    respond: Respond,
    restarted: tuple[str, ...] = (),
    stopping: bool = False,
    confirmed: bool = True,
    learns_key: bool = False,
    sink: decision_log.LineSink | None = None,
    **fields: typing.Any,
) -> _Node:
    keys = _FakeKeys()
    clock = virtual_time.VirtualClock()
    entry_found = entry.Entry(
        name="e",
        host="h",
        path_prefix="/",
        parts=(entry.Part(service="s", weight=1),),
        **{"repeatable": True, "attempts": 2, **fields},
    )
    schedule = shutdown_schedule.ShutdownSchedule(clock)
    if stopping:
        schedule.begin()
    dispatcher = _FakeDispatcher(clock, respond)
    router = _FakeRouter(entry_found)
    sink = sink or decision_log.NullSink()
    proxy = entry_proxy.EntryProxy(
        typing.cast(typing.Any, router),
        expected_finish.ExpectedFinish("z", random.Random(1)),
        typing.cast(typing.Any, dispatcher),
        retry_budget.RetryBudget(0.2, 10 * SECOND, 100),
        lambda: 1,
        lambda member: member.node in restarted,
        clock,
        metrics.Metrics(),
        decision_log.DecisionLog(sink, clock),
        random.Random(1),
        schedule,
        _FakeConfirmer(keys, confirmed, learns_key),
        typing.cast(typing.Any, keys),
    )
    return _Node(clock, dispatcher, router, proxy, keys)


@pytest.mark.parametrize("confirmed", [True, False])
def test_refusal_of_an_unknown_entry_tells_what_is_known_of_its_age(
    confirmed: bool,
) -> None:
    async def main() -> None:
        sink = list_sink.ListSink()
        node = _make_node(succeed, confirmed=confirmed, sink=sink)
        node.router.knows_entry = False
        await node.call()
        line = next(
            item for item in sink.lines if item["event"] == "unresolved"
        )
        assert line["confirmed"] is confirmed
        assert line["confirmed_by"] == "n3"
        assert line["confirmed_age_ms"] == 250.0
        assert line["later_version"] == (0 if confirmed else 9)

    virtual_time.run(main())


@pytest.mark.parametrize(
    ("confirmed", "reason"),
    [
        (True, verdict.Reason.UNKNOWN_SERVICE),
        (False, verdict.Reason.NOT_READY),
    ],
)
def test_entry_is_unknown_only_by_a_current_configuration(
    confirmed: bool, reason: verdict.Reason
) -> None:
    async def main() -> None:
        node = _make_node(succeed, confirmed=confirmed)
        node.router.knows_entry = False
        reply = await node.call()
        assert isinstance(reply, messages.CallFailure)
        assert reply.failure.reason is reason
        assert reply.failure.verdict is verdict.Verdict.NOT_RUN

    virtual_time.run(main())


@pytest.mark.parametrize(
    ("confirmed", "reason"),
    [
        (True, verdict.Reason.UNKNOWN_KEY),
        (False, verdict.Reason.NOT_READY),
    ],
)
def test_key_is_unknown_only_by_a_current_configuration(
    confirmed: bool, reason: verdict.Reason
) -> None:
    # A node that has not heard of a new key yet would refuse it for good.
    async def main() -> None:
        node = _make_node(succeed, confirmed=confirmed)
        node.keys.known = False
        reply = await node.call()
        assert isinstance(reply, messages.CallFailure)
        assert reply.failure.reason is reason
        assert reply.failure.verdict is verdict.Verdict.NOT_RUN
        assert not node.dispatcher.called

    virtual_time.run(main())


def test_key_that_comes_with_the_confirmation_is_accepted() -> None:
    async def main() -> None:
        node = _make_node(succeed, learns_key=True)
        node.keys.known = False
        assert (await node.call()).status == 200

    virtual_time.run(main())


def test_request_is_sent_on_as_its_key_says() -> None:
    async def main() -> None:
        node = _make_node(succeed)
        await node.call()
        (sent,) = node.dispatcher.sent
        assert (sent.headers, sent.priority) == ((("o", "alpha"),), 7)

    virtual_time.run(main())


def test_refused_request_is_sent_to_another_target() -> None:
    async def main() -> None:
        node = _make_node(lambda request: succeed(request))
        first = (await node.call()).status, len(node.dispatcher.called)
        assert first == (200, 1)
        first_target = node.dispatcher.called[0]
        node.dispatcher.respond = lambda request: (
            overloaded(request)
            if request.target == first_target
            else succeed(request)
        )
        for _ in range(5):
            assert (await node.call()).status == 200

    virtual_time.run(main())


def test_request_that_may_have_run_is_retried_only_if_repeatable() -> None:
    async def main() -> None:
        repeatable = _make_node(truncated)
        reply = await repeatable.call()
        assert reply.failure.verdict is verdict.Verdict.MAY_HAVE_RUN
        assert len(repeatable.dispatcher.called) == 2
        unrepeatable = _make_node(truncated, repeatable=False)
        reply = await unrepeatable.call()
        assert reply.failure.verdict is verdict.Verdict.MAY_HAVE_RUN
        assert len(unrepeatable.dispatcher.called) == 1

    virtual_time.run(main())


@pytest.mark.parametrize(
    "fields",
    [
        {"repeatable": False},
        {"attempts": 1},
        {"targets": 1},
        {"stopping": True},
    ],
)
def test_request_at_a_slow_node_is_not_given_up_for_an_own_failure(
    fields: dict[str, typing.Any],
) -> None:
    async def main() -> None:
        targets = fields.pop("targets", len(TARGETS))
        node = _make_node(unresponsive, **fields)
        del node.router.candidates[targets:]
        assert (await node.call()).status == 200
        assert len(node.dispatcher.called) == 1

    virtual_time.run(main())


def test_request_at_a_node_that_has_restarted_fails_at_once() -> None:
    async def main() -> None:
        node = _make_node(unresponsive, restarted=TARGETS, repeatable=False)
        reply = await node.call()
        assert reply.failure.verdict is verdict.Verdict.MAY_HAVE_RUN

    virtual_time.run(main())


def test_request_at_a_slow_node_is_repeated_within_its_attempts() -> None:
    async def main() -> None:
        node = _make_node(unresponsive, attempts=3)
        assert (await node.call()).status == 200
        assert len(node.dispatcher.called) == 3

    virtual_time.run(main())


def test_may_have_run_takes_precedence_over_later_refusals() -> None:
    async def main() -> None:
        replies = iter([truncated, overloaded, overloaded, overloaded])
        node = _make_node(lambda request: next(replies)(request))
        reply = await node.call()
        assert reply.failure.verdict is verdict.Verdict.MAY_HAVE_RUN

    virtual_time.run(main())


def test_overloaded_targets_are_not_called_for_every_request() -> None:
    """Guards against trying every overloaded target for every request.

    One node receives 200 requests in a second while all four targets are
    overloaded. Without the cache of refusals, each request would be sent to
    all four; with it, most are refused at once, so that their callers
    receive the refusal sooner.
    """

    async def main() -> None:
        node = _make_node(overloaded)
        latency_max = datetime.timedelta()
        requests = 200
        for _ in range(requests):
            started = node.clock.monotonic()
            reply = await node.call()
            failure = reply.failure
            assert failure.verdict is verdict.Verdict.NOT_RUN
            assert failure.reason is verdict.Reason.OVERLOADED
            assert failure.retry_after > datetime.timedelta()
            latency_max = max(latency_max, node.clock.monotonic() - started)
            await node.clock.sleep(SECOND / requests)
        rounds = 1 + 1.1 * SECOND / recent_refusals.REFUSAL_TTL
        assert len(node.dispatcher.called) <= len(TARGETS) * rounds
        assert latency_max <= len(TARGETS) * MS

    virtual_time.run(main())


def test_target_with_free_slots_is_found_after_the_refusal_ttl() -> None:
    async def main() -> None:
        node = _make_node(overloaded)
        await node.call()
        node.dispatcher.respond = lambda request: succeed(request)
        await node.clock.sleep(recent_refusals.REFUSAL_TTL)
        assert (await node.call()).status == 200
        assert (await node.call()).status == 200

    virtual_time.run(main())


def test_request_with_more_time_left_is_sent_to_targets_that_refused() -> None:
    async def main() -> None:
        node = _make_node(overloaded)
        for _ in TARGETS:
            await node.call(SECOND / 2)
        assert sorted(node.dispatcher.called) == sorted(TARGETS)
        node.dispatcher.called.clear()
        await node.call(SECOND / 4)
        assert not node.dispatcher.called
        for _ in TARGETS:
            await node.call(SECOND)
        assert sorted(node.dispatcher.called) == sorted(TARGETS)

    virtual_time.run(main())


def test_only_overload_refusals_are_cached() -> None:
    async def main() -> None:
        node = _make_node(draining)
        await node.call()
        called = len(node.dispatcher.called)
        await node.call()
        assert len(node.dispatcher.called) == 2 * called

    virtual_time.run(main())


def test_number_of_cached_refusals_is_bounded() -> None:
    refusals = recent_refusals.RecentRefusals()
    for number in range(recent_refusals.CACHED_REFUSALS_MAX + 1):
        refusals.record_refusal(str(number), "e", SECOND, SECOND, SECOND)
    assert refusals.retry_delay("0", "e", SECOND, SECOND) is None
    last = str(recent_refusals.CACHED_REFUSALS_MAX)
    assert refusals.retry_delay(last, "e", SECOND, SECOND) == SECOND
    refusals.clear_refusal(last, "e")
    assert refusals.retry_delay(last, "e", SECOND, SECOND) is None


def test_target_that_states_that_it_leaves_is_not_picked_again() -> None:
    async def main() -> None:
        def leave(request: messages.CallRequest) -> messages.CallAnswer:
            leaving = attrs.evolve(IDLE, leaving=True)
            return attrs.evolve(succeed(request), load=leaving)

        node = _make_node(leave)
        for candidate in node.router.candidates:
            record = attrs.evolve(candidate.record, instance="1")
            node.router.candidates[node.router.candidates.index(candidate)] = (
                attrs.evolve(candidate, record=record)
            )
        for _ in TARGETS:
            assert isinstance(await node.call(), messages.CallAnswer)
        assert sorted(node.dispatcher.called) == sorted(TARGETS)
        reply = await node.call()
        assert isinstance(reply, messages.CallFailure)
        assert reply.failure.verdict is verdict.Verdict.NOT_RUN

    virtual_time.run(main())


def test_age_of_a_load_that_is_not_known_is_null() -> None:
    """An age since the clock's start hides that nothing was known."""

    async def main() -> None:
        sink = _KeptLines()
        node = _make_node(overloaded, sink=sink)
        await node.clock.sleep(SECOND)
        await node.call()
        attempts = json.loads(sink.lines[-1])["attempts"]
        assert attempts[0]["load"] is None
        assert attempts[0]["load_age_ms"] is None

    virtual_time.run(main())


def test_other_zone_is_asked_while_one_is_full() -> None:
    async def main() -> None:
        def respond(request: messages.CallRequest) -> call_transport.Reply:
            full = request.target in TARGETS
            return overloaded(request) if full else succeed(request)

        node = _make_node(respond)
        for name in TARGETS:
            far = _candidate(f"far-{name}")
            member = attrs.evolve(far.member, zone="far")
            node.router.candidates.append(attrs.evolve(far, member=member))
        for _ in range(20):
            assert (await node.call()).status == 200
            await node.clock.sleep(10 * MS)

    virtual_time.run(main())
