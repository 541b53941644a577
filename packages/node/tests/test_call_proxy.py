"""Calls: the worst verdict counts, retries do not multiply."""

import asyncio
import datetime
import itertools
import typing

import pytest
from returns import result

from balsamramp_core import metrics
from balsamramp_core import settings
from balsamramp_core import verdict
from balsamramp_core.resources import route
from balsamramp_core.resources import service
from balsamramp_node.outbound import call_proxy
from balsamramp_node.outbound import call_transport
from balsamramp_node.outbound import picker
from balsamramp_node.outbound import router
from balsamramp_node.outbound.pickers import round_robin
from balsamramp_testing import virtual_time
from balsamramp_wire import messages

NOT_RUN = verdict.Verdict.NOT_RUN
MAY_HAVE_RUN = verdict.Verdict.MAY_HAVE_RUN
RAN = verdict.Verdict.RAN
ADDRESS = settings.Address("peer", 1)
LEVELS = 8
TARGETS = 20


def _candidate(number: int) -> picker.Candidate:
    member = messages.Member(
        node=f"n{number}",
        zone="z",
        region="r",
        stream=ADDRESS,
        control=ADDRESS,
        admin=ADDRESS,
        incarnation=1,
        sequence=1,
        state=messages.MemberState.ALIVE,
    )
    record = messages.TargetRecord(
        target=f"t{number}",
        service="s",
        labels={},
        state=messages.TargetState.READY,
    )
    return picker.Candidate(member, record, picker.TargetStats())


class _Router:
    """Knows one service with many targets."""

    def __init__(self) -> None:
        self._candidates = [_candidate(number) for number in range(TARGETS)]

    def resolve(
        self, name: str, path: str
    ) -> result.Result[router.ResolvedRoute, verdict.Failure]:
        found = service.Service(name="s", idempotent_methods=("GET",))
        return result.Success(
            router.ResolvedRoute(found, route.Route(name="r", service="s"))
        )

    def candidates(
        self,
        resolved: router.ResolvedRoute,
        call_id: str,
        retried: bool = False,
    ) -> list[picker.Candidate]:
        return self._candidates


class _Streams(call_transport.CallTransport):
    """Ends each call with the next of the given verdicts."""

    def __init__(self, verdicts: list[verdict.Verdict]) -> None:
        self._verdicts = itertools.cycle(verdicts)
        self.sent: list[messages.CallRequest] = []

    async def call(
        self, peer: settings.Address, request: messages.CallRequest
    ) -> call_transport.Reply:
        self.sent.append(request)
        failure = verdict.Failure(
            next(self._verdicts), verdict.Reason.CONNECTION_LOST, ""
        )
        return messages.CallFailure(
            call_id=request.call_id, failure=failure, load=messages.Load(0, 0)
        )


class _Level(_Streams):
    """Passes each call on to the next level, as a target would."""

    def __init__(self, following: call_proxy.CallProxy) -> None:
        super().__init__([])
        self._following = following

    async def call(
        self, peer: settings.Address, request: messages.CallRequest
    ) -> call_transport.Reply:
        return await self._following.call(_request("GET", request.retries))


def _make(streams: _Streams) -> call_proxy.CallProxy:
    return call_proxy.CallProxy(
        "caller",
        typing.cast(typing.Any, _Router()),
        round_robin.RoundRobin("z", typing.cast(typing.Any, None)),
        typing.cast(typing.Any, None),
        streams,
        typing.cast(typing.Any, None),
        virtual_time.VirtualClock(),
        metrics.Metrics(),
    )


def _request(method: str, retries: int) -> call_proxy.IngressRequest:
    return call_proxy.IngressRequest(
        service="s",
        method=method,
        path="/",
        headers=(),
        body=b"",
        timeout=datetime.timedelta(seconds=2),
        retries=retries,
    )


class _Closed(_Streams):
    """Doors that are closed for a reason, but for the last of them."""

    def __init__(self, reason: verdict.Reason) -> None:
        super().__init__([])
        self._reason = reason

    async def call(
        self, peer: settings.Address, request: messages.CallRequest
    ) -> call_transport.Reply:
        self.sent.append(request)
        load = messages.Load(0, 0)
        if len(self.sent) == TARGETS:
            return messages.CallAnswer(
                call_id=request.call_id,
                status=200,
                headers=(),
                body=b"",
                load=load,
            )
        failure = verdict.Failure(NOT_RUN, self._reason, "")
        return messages.CallFailure(
            call_id=request.call_id, failure=failure, load=load
        )


@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize(
    "reason",
    [
        verdict.Reason.DRAINING,
        verdict.Reason.VERSION_EXCLUDED,
        verdict.Reason.ZONE_OUT_OF_SERVICE,
    ],
)
def test_closed_doors_are_tried_until_one_is_open(
    method: str, reason: verdict.Reason
) -> None:
    """The caller's node hears of a rollout or a zone after the doors."""

    async def main() -> None:
        streams = _Closed(reason)
        reply = await _make(streams).call(_request(method, 0))
        assert isinstance(reply, messages.CallAnswer)
        assert len(streams.sent) == TARGETS

    virtual_time.run(main())


CASES = [
    ("GET", [MAY_HAVE_RUN, NOT_RUN], MAY_HAVE_RUN, 3),
    ("GET", [NOT_RUN], NOT_RUN, 3),
    ("GET", [RAN], RAN, 1),
    ("POST", [MAY_HAVE_RUN], MAY_HAVE_RUN, 1),
    ("POST", [NOT_RUN, MAY_HAVE_RUN, NOT_RUN], MAY_HAVE_RUN, 2),
]


@pytest.mark.parametrize(("method", "verdicts", "expected", "sent"), CASES)
def test_worst_verdict_of_all_attempts(
    method: str,
    verdicts: list[verdict.Verdict],
    expected: verdict.Verdict,
    sent: int,
) -> None:
    streams = _Streams(verdicts)
    made = _make(streams)
    reply = virtual_time.run(made.call(_request(method, 2)))
    assert isinstance(reply, messages.CallFailure)
    assert reply.failure.verdict is expected
    assert len(streams.sent) == sent
    assert len({item.target for item in streams.sent}) == sent


def _leaf_attempts(retries: int) -> int:
    leaf = _Streams([MAY_HAVE_RUN])
    made = _make(leaf)
    for _ in range(LEVELS - 1):
        made = _make(_Level(made))
    asyncio.run(_call(made, retries))
    return len(leaf.sent)


async def _call(made: call_proxy.CallProxy, retries: int) -> None:
    await made.call(_request("GET", retries))


@pytest.mark.parametrize("retries", [0, 1, 2, 3, 10])
def test_retries_do_not_multiply_over_eight_levels(retries: int) -> None:
    assert 1 <= _leaf_attempts(retries) <= 1 + retries


def test_retries_multiply_without_splitting_the_budget(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    make = call_proxy._build_request

    def hand_all_on(
        call: typing.Any, chosen: picker.Candidate, left: datetime.timedelta
    ) -> messages.CallRequest:
        call.retries += call.downstream_retries
        call.downstream_retries = call.retries
        return make(call, chosen, left)

    monkeypatch.setattr(call_proxy, "_build_request", hand_all_on)
    assert _leaf_attempts(2) > 3
