"""Failures that an entry proxy returns to a caller."""

import datetime

from balsamramp_core import verdict
from balsamramp_wire import messages

__all__ = ["call_failure", "no_target", "overloaded", "stopped"]

NO_LOAD = messages.Load(0, 0)


def no_target(call_id: str, service: str) -> messages.CallFailure:
    """Return the failure of a request that no target can get."""
    return call_failure(
        call_id,
        verdict.Failure(
            verdict.Verdict.NOT_RUN,
            verdict.Reason.NO_TARGET,
            f"no target of {service} accepts requests",
        ),
    )


def overloaded(
    call_id: str, service: str, wait: datetime.timedelta
) -> messages.CallFailure:
    """Return the refusal of a request that no target was asked for."""
    return call_failure(
        call_id,
        verdict.Failure(
            verdict.Verdict.NOT_RUN,
            verdict.Reason.OVERLOADED,
            f"the targets of {service} have just refused others",
            wait,
        ),
    )


def stopped(call_id: str) -> messages.CallFailure:
    """Return the failure of a request that a target may have received."""
    return call_failure(
        call_id,
        verdict.Failure(
            verdict.Verdict.MAY_HAVE_RUN,
            verdict.Reason.TRUNCATED,
            "this node stopped before the response",
        ),
    )


def call_failure(
    call_id: str, failure: verdict.Failure
) -> messages.CallFailure:
    """Return the reply that carries ``failure``."""
    return messages.CallFailure(call_id=call_id, failure=failure, load=NO_LOAD)
