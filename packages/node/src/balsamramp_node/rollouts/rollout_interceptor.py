"""Enforces rollouts on the inbound side and collects their evidence."""

from collections import abc
import datetime

from returns import result

from balsamramp_core import clock
from balsamramp_core import verdict
from balsamramp_node.inbound import call_interceptor
from balsamramp_node.inbound import concurrency_limit
from balsamramp_node.inbound import target_client
from balsamramp_node.inbound import targets
from balsamramp_node.outbound import router
from balsamramp_node.rollouts import evidence_recorder
from balsamramp_node.rollouts import rollout_controller
from balsamramp_wire import messages

__all__ = ["RolloutInterceptor"]

SERVER_ERROR_STATUS_MIN = 500
# Assumed for a target that does not report its start.
WARMUP = datetime.timedelta(seconds=10)


class RolloutInterceptor(call_interceptor.CallInterceptor):
    """Refuses calls to excluded versions and counts calls as evidence.

    The latency of a target is not recorded while it is warming up, so that
    a cold start does not count as slowness. A target that does not report
    its start is assumed to be warming up for ten seconds from its first
    call.
    """

    def __init__(
        self,
        routes: router.Router,
        controller: rollout_controller.RolloutController,
        is_ready: abc.Callable[[], bool],
        time: clock.Clock,
    ) -> None:
        self._router = routes
        self._rollouts = controller
        self._is_ready = is_ready
        self._clock = time
        self._first_call_times: dict[str, tuple[str, datetime.timedelta]] = {}

    def refusal(self, target: targets.LocalTarget) -> verdict.Failure | None:
        if not self._is_ready():
            return verdict.Failure(
                verdict.Verdict.NOT_RUN,
                verdict.Reason.NOT_READY,
                "the node has not received the excluded versions yet",
            )
        service = target.announcement.service
        version = self._version(target)
        if not self._rollouts.is_version_excluded(service, version):
            return None
        return verdict.Failure(
            verdict.Verdict.NOT_RUN,
            verdict.Reason.VERSION_EXCLUDED,
            f"version {version} of {service} is excluded by a rollout",
        )

    def on_call_refused(
        self, request: messages.CallRequest, target: targets.LocalTarget
    ) -> None:
        self._record(request, target, False, True, None)

    def on_call_finished(
        self,
        request: messages.CallRequest,
        target: targets.LocalTarget,
        called: target_client.TargetCallResult | None,
        outcome: concurrency_limit.CallOutcome,
        latency: datetime.timedelta,
    ) -> None:
        if outcome is concurrency_limit.CallOutcome.NOT_SENT:
            return
        # The inbound handler never exceeds the slots that a target states,
        # so a refusal by such a target is a failure, not a lack of capacity.
        has_stated_slots = target.announcement.slots > 0
        is_refusal = (
            outcome is concurrency_limit.CallOutcome.SHED
            and not has_stated_slots
        )
        failed = isinstance(called, result.Failure)
        if isinstance(called, result.Success):
            failed = called.unwrap().status >= SERVER_ERROR_STATUS_MIN
        timed_latency = None if self._is_warming_up(target) else latency
        self._record(request, target, failed, is_refusal, timed_latency)

    def _record(
        self,
        request: messages.CallRequest,
        target: targets.LocalTarget,
        failed: bool,
        refused: bool,
        latency: datetime.timedelta | None,
    ) -> None:
        service = target.announcement.service
        if not self._rollouts.has_active_rollout(service):
            return
        record = evidence_recorder.CallSample(
            route=(
                request.route or self._router.route_name(service, request.path)
            ),
            version=self._version(target),
            failed=failed,
            refused=refused,
            latency=latency,
        )
        self._rollouts.record(service, record)

    def _version(self, target: targets.LocalTarget) -> str:
        labels = self._router.effective_labels(target.record())
        return labels.get("version", "")

    def _is_warming_up(self, target: targets.LocalTarget) -> bool:
        if target.announcement.started_ms:
            return target.announcement.cold_for > datetime.timedelta()
        now = self._clock.monotonic()
        name = target.announcement.target
        instance = target.announcement.instance
        first_call = self._first_call_times.get(name)
        if first_call is None or first_call[0] != instance:
            first_call = (instance, now)
            self._first_call_times[name] = first_call
        return now - first_call[1] < WARMUP
