"""Costs of a call that pickers add to the load of a target."""

import datetime

from balsamramp_node.outbound import picker

__all__ = ["failure_seconds", "path_seconds"]

# Cost of a target in another zone: the round trip, and the traffic between
# zones, which operators pay for, as a share of the mean service time.
CROSS_ZONE_SECONDS = 0.008
CROSS_ZONE_SECONDS_LARGE = 0.2
CROSS_ZONE_SHARE = 0.5
# Cost of a failed or refused call to its caller: another attempt.
FAILURE_SECONDS = 0.4
REFUSAL_SECONDS = 0.1
REFUSAL_PENALTY_WINDOW = datetime.timedelta(milliseconds=200)


def path_seconds(
    item: picker.Candidate,
    own_zone: str,
    service_seconds: float,
    pick_info: picker.PickInfo,
) -> float:
    """Return the cost of the network path to a target.

    ``service_seconds`` is the mean service time of a call.
    """
    load = item.stats.load
    cost = 0.0
    if pick_info.large and load is not None:
        cost = load.link_wait.total_seconds()
    if item.member.zone == own_zone:
        return cost
    if pick_info.large:
        cost += CROSS_ZONE_SECONDS_LARGE
    return cost + CROSS_ZONE_SECONDS + CROSS_ZONE_SHARE * service_seconds


def failure_seconds(item: picker.Candidate, now: datetime.timedelta) -> float:
    """Return the expected cost of failures and refusals."""
    stats = item.stats
    cost = 0.0
    if stats.load is not None:
        cost += FAILURE_SECONDS * stats.load.failing
    refused_at = stats.refused_at
    if refused_at is not None and now - refused_at < REFUSAL_PENALTY_WINDOW:
        cost += REFUSAL_SECONDS
    return cost
