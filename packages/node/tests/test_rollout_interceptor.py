"""Which calls the rollout interceptor counts as failures."""

import datetime
import typing

import pytest
from returns import result

from balsamramp_core import verdict
from balsamramp_node.inbound import concurrency_limit
from balsamramp_node.inbound import targets
from balsamramp_node.rollouts import evidence_recorder
from balsamramp_node.rollouts import rollout_interceptor
from balsamramp_testing import virtual_time
from balsamramp_wire import messages

LATENCY = datetime.timedelta(milliseconds=20)


class _FakeRouter:
    def effective_labels(
        self, record: messages.TargetRecord
    ) -> dict[str, str]:
        return record.labels


class _FakeRollouts:
    def __init__(self) -> None:
        self.records: list[evidence_recorder.CallSample] = []

    def has_active_rollout(self, service: str) -> bool:
        return True

    def record(self, service: str, call: evidence_recorder.CallSample) -> None:
        self.records.append(call)


def _record(slots: int, cold_for: float = 0) -> evidence_recorder.CallSample:
    rollouts = _FakeRollouts()
    interceptor = rollout_interceptor.RolloutInterceptor(
        typing.cast(typing.Any, _FakeRouter()),
        typing.cast(typing.Any, rollouts),
        lambda: True,
        virtual_time.VirtualClock(),
    )
    announcement = targets.Announcement(
        target="t",
        service="caja",
        url="http://t:1",
        labels={"version": "v2"},
        started_ms=1,
        slots=slots,
        cold_for=datetime.timedelta(seconds=cold_for),
    )
    target = targets.LocalTarget(
        announcement, messages.TargetState.READY, datetime.timedelta()
    )
    request = messages.CallRequest(
        call_id="c",
        service="caja",
        target="t",
        incarnation=1,
        method="GET",
        path="/",
        headers=(),
        timeout=LATENCY,
        idempotent=True,
        route="pay",
    )
    refusal = result.Failure(
        verdict.Failure(
            verdict.Verdict.NOT_RUN, verdict.Reason.OVERLOADED, "shed"
        )
    )
    interceptor.on_call_finished(
        request, target, refusal, concurrency_limit.CallOutcome.SHED, LATENCY
    )
    (recorded,) = rollouts.records
    return recorded


@pytest.mark.parametrize(("slots", "failed"), [(8, True), (0, False)])
def test_refusal_below_stated_slots_is_failure(
    slots: int, failed: bool
) -> None:
    """A bad version may refuse calls, though it has free slots."""
    recorded = _record(slots)
    assert recorded.refused is not failed
    assert recorded.route == "pay"
    assert recorded.version == "v2"


def test_latency_of_cold_target_is_not_recorded() -> None:
    assert _record(8, cold_for=1).latency is None
    assert _record(8).latency == LATENCY
