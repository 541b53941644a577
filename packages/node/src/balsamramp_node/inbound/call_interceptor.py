"""Call watch: what else may refuse a call at the door, or count it."""

import datetime

from balsamramp_core import verdict
from balsamramp_node.inbound import concurrency_limit
from balsamramp_node.inbound import target_client
from balsamramp_node.inbound import targets
from balsamramp_wire import messages

__all__ = ["CallInterceptor"]


class CallInterceptor:
    """Refuses no call and counts none; subclasses do."""

    def refusal(self, target: targets.LocalTarget) -> verdict.Failure | None:
        """Return why no call may run at ``target``, or None."""
        return None

    def on_call_refused(
        self, request: messages.CallRequest, target: targets.LocalTarget
    ) -> None:
        """Note a call that the door had no capacity for."""
        return None

    def on_call_finished(
        self,
        request: messages.CallRequest,
        target: targets.LocalTarget,
        called: target_client.TargetCallResult | None,
        outcome: concurrency_limit.CallOutcome,
        latency: datetime.timedelta,
    ) -> None:
        """Note a call that ended; ``called`` is None if cancelled."""
        return None
