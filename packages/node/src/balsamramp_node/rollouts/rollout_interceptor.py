"""Outcome watch: what rollouts ask of the door to this VM's targets."""

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

STATUS_FAILED_MIN = 500
WARMUP = datetime.timedelta(seconds=10)


class RolloutInterceptor(call_interceptor.CallInterceptor):
    """Refuses calls to condemned versions and counts calls as evidence.

    A target that tells when it is cold is not timed while it is; any
    other is timed only from ten seconds after its first call on, so that
    a cold start does not count as slowness.
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
        self._first_call: dict[str, tuple[str, datetime.timedelta]] = {}

    def refusal(self, target: targets.LocalTarget) -> verdict.Failure | None:
        if not self._is_ready():
            return verdict.Failure(
                verdict.Verdict.NOT_RUN,
                verdict.Reason.NOT_READY,
                "the node does not know yet which versions are condemned",
            )
        service = target.announcement.service
        version = self._version(target)
        if not self._rollouts.is_version_excluded(service, version):
            return None
        return verdict.Failure(
            verdict.Verdict.NOT_RUN,
            verdict.Reason.VERSION_EXCLUDED,
            f"version {version} of {service} takes no calls",
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
        # The door keeps to the slots that a target states, so one that
        # sheds all the same does so for a reason of its own.
        keeps_to_slots = target.announcement.slots > 0
        shed = (
            outcome is concurrency_limit.CallOutcome.SHED
            and not keeps_to_slots
        )
        failed = isinstance(called, result.Failure)
        if isinstance(called, result.Success):
            failed = called.unwrap().status >= STATUS_FAILED_MIN
        timed = None if self._is_warming_up(target) else latency
        self._record(request, target, failed, shed, timed)

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
        seen = self._router.effective_labels(target.record())
        return seen.get("version", "")

    def _is_warming_up(self, target: targets.LocalTarget) -> bool:
        if target.announcement.started_ms:
            return target.announcement.cold_for > datetime.timedelta()
        now = self._clock.monotonic()
        name = target.announcement.target
        instance = target.announcement.instance
        known = self._first_call.get(name)
        if known is None or known[0] != instance:
            known = (instance, now)
            self._first_call[name] = known
        return now - known[1] < WARMUP
