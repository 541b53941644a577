"""Outcome watch: what counts as a failure of a version."""

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


class _Router:
    def effective_labels(
        self, record: messages.TargetRecord
    ) -> dict[str, str]:
        return record.labels


class _Rollouts:
    def __init__(self) -> None:
        self.records: list[evidence_recorder.CallSample] = []

    def has_active_rollout(self, service: str) -> bool:
        return True

    def record(self, service: str, call: evidence_recorder.CallSample) -> None:
        self.records.append(call)


def _record(slots: int, cold_for: float = 0) -> evidence_recorder.CallSample:
    held = _Rollouts()
    watch = rollout_interceptor.RolloutInterceptor(
        typing.cast(typing.Any, _Router()),
        typing.cast(typing.Any, held),
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
    shed = result.Failure(
        verdict.Failure(
            verdict.Verdict.NOT_RUN, verdict.Reason.OVERLOADED, "shed"
        )
    )
    watch.on_call_finished(
        request, target, shed, concurrency_limit.CallOutcome.SHED, LATENCY
    )
    (found,) = held.records
    return found


@pytest.mark.parametrize(("slots", "failed"), [(8, True), (0, False)])
def test_shedding_below_the_stated_slots_is_a_failure(
    slots: int, failed: bool
) -> None:
    """A bad version may turn calls away instead of failing them."""
    found = _record(slots)
    assert found.refused is not failed
    assert found.route == "pay"
    assert found.version == "v2"


def test_a_target_that_says_it_is_cold_is_not_timed() -> None:
    assert _record(8, cold_for=1).latency is None
    assert _record(8).latency == LATENCY
