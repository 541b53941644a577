"""Counts the calls of organisations on the inbound side."""

import datetime

from returns import result

from balsamramp_core import clock
from balsamramp_core import verdict
from balsamramp_node.inbound import call_interceptor
from balsamramp_node.inbound import call_organisation
from balsamramp_node.inbound import concurrency_limit
from balsamramp_node.inbound import target_client
from balsamramp_node.inbound import targets
from balsamramp_node.usage import usage_counter
from balsamramp_wire import messages

__all__ = ["CountingInterceptor"]


class CountingInterceptor(call_interceptor.CallInterceptor):
    """Counts each call when it begins; leaves all else to ``inner``.

    A call is counted before its response is known, so that a node that is
    killed has already told of it. One that was not run is taken back.
    """

    def __init__(
        self,
        inner: call_interceptor.CallInterceptor,
        organisations: call_organisation.CallOrganisation,
        counter: usage_counter.UsageCounter,
        time: clock.Clock,
    ) -> None:
        self._inner = inner
        self._organisations = organisations
        self._counter = counter
        self._clock = time

    def refusal(self, target: targets.LocalTarget) -> verdict.Failure | None:
        return self._inner.refusal(target)

    def on_call_refused(
        self, request: messages.CallRequest, target: targets.LocalTarget
    ) -> None:
        self._inner.on_call_refused(request, target)

    def on_call_started(self, request: messages.CallRequest) -> None:
        self._inner.on_call_started(request)
        self._counter.begin(
            self._organisations.of(request), self._clock.monotonic()
        )

    def on_call_finished(
        self,
        request: messages.CallRequest,
        target: targets.LocalTarget,
        called: target_client.TargetCallResult | None,
        outcome: concurrency_limit.CallOutcome,
        latency: datetime.timedelta,
    ) -> None:
        self._inner.on_call_finished(request, target, called, outcome, latency)
        if not isinstance(called, result.Failure):
            return
        if called.failure().verdict is not verdict.Verdict.NOT_RUN:
            return
        self._counter.take_back(
            self._organisations.of(request), self._clock.monotonic() - latency
        )
