"""Retry budget: how many calls a node may send a second time."""

import datetime

import attrs

__all__ = ["RetryBudget"]

# Part of the fleet's ratio that nodes spend. The rest covers requests that
# are counted in another window than the one in which they are repeated.
SAFETY = 0.7


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

    def share_slack(self, nodes: int) -> None:
        """Divide the slack by the number of nodes in the fleet."""
        self._nodes = max(nodes, 1)

    def note_request(self, service: str, now: datetime.timedelta) -> None:
        """Earn from a request to ``service``."""
        account = self._account(service, now)
        most = self._most(account)
        account.tokens = min(most, account.tokens + self._ratio * SAFETY)

    def spend(self, service: str, now: datetime.timedelta) -> bool:
        """Take the token for one repeat; False if there is none."""
        account = self._account(service, now)
        if account.tokens < 1:
            return False
        account.tokens -= 1
        return True

    def _account(self, service: str, now: datetime.timedelta) -> _Account:
        slack = self._slack * SAFETY / self._nodes
        account = self._accounts.get(service)
        if account is None:
            account = _Account(slack / 2, now)
            self._accounts[service] = account
        earned = slack * ((now - account.at) / self._window) / 2
        account.at = now
        account.tokens = min(self._most(account), account.tokens + earned)
        return account

    def _most(self, account: _Account) -> float:
        """Return what may be saved up: half of the slack, or one token."""
        return max(self._slack * SAFETY / self._nodes / 2, 1.0)
