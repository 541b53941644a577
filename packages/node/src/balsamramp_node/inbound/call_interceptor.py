"""Hooks that refuse or count calls on the inbound side."""

import datetime

from balsamramp_core import verdict
from balsamramp_node.inbound import concurrency_limit
from balsamramp_node.inbound import target_client
from balsamramp_node.inbound import targets
from balsamramp_wire import messages

__all__ = ["CallInterceptor"]


class CallInterceptor:
    """Refuses no call and counts none; subclasses override the hooks."""

    def refusal(self, target: targets.LocalTarget) -> verdict.Failure | None:
        """Return why calls to ``target`` are refused, or None."""
        return None

    def on_call_refused(
        self, request: messages.CallRequest, target: targets.LocalTarget
    ) -> None:
        """Handle a call that the limiter of ``target`` refused."""
        return None

    def on_call_started(self, request: messages.CallRequest) -> None:
        """Handle a call that is about to be sent to its target."""
        return None

    def on_call_finished(
        self,
        request: messages.CallRequest,
        target: targets.LocalTarget,
        called: target_client.TargetCallResult | None,
        outcome: concurrency_limit.CallOutcome,
        latency: datetime.timedelta,
    ) -> None:
        """Handle a call that ended; ``called`` is None if cancelled."""
        return None
