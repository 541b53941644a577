"""Retry budget: how many calls a node may send a second time."""

import datetime

import attrs

__all__ = ["RetryBudget"]

# Part of the fleet's bound that nodes spend on their own repeats. As much is
# left for the calls that repeated requests make in turn, which count as
# repeats at the service that is called.
SAFETY = 0.45


@attrs.define
class _Account:
    tokens: float
    at: datetime.timedelta


class RetryBudget:
    """Earns a part of a token with each request to a service.

    All nodes together must not repeat more than ``ratio`` of a service's
    requests in ``window``, and ``slack`` besides. Each node keeps to its
    own requests and to its part of the slack, so the sum holds without
    counting together.
    """

    def __init__(
        self, ratio: float, window: datetime.timedelta, slack: float
    ) -> None:
        self._ratio = ratio
        self._window = window
        self._slack = slack
        self._nodes = 1
        self._accounts: dict[str, _Account] = {}

    def set_fleet_size(self, nodes: int) -> None:
        """Divide the slack by the number of nodes in the fleet."""
        self._nodes = max(nodes, 1)

    def deposit(self, service: str, now: datetime.timedelta) -> None:
        """Earn from a request to ``service``."""
        account = self._account(service, now)
        account.tokens = min(
            self._most(), account.tokens + self._ratio * SAFETY
        )

    def try_withdraw(self, service: str, now: datetime.timedelta) -> bool:
        """Take the token for one repeat; False if there is none."""
        account = self._account(service, now)
        if account.tokens < 1:
            return False
        account.tokens -= 1
        return True

    def _account(self, service: str, now: datetime.timedelta) -> _Account:
        most = self._most()
        account = self._accounts.get(service)
        if account is None:
            account = _Account(most, now)
            self._accounts[service] = account
        earned = self._half_slack() * ((now - account.at) / self._window)
        account.at = now
        account.tokens = min(most, account.tokens + earned)
        return account

    def _half_slack(self) -> float:
        """Return half of this node's part: saved up, or earned anew."""
        return self._slack * SAFETY / self._nodes / 2

    def _most(self) -> float:
        """Return what may be saved up."""
        return max(self._half_slack(), 1.0)
