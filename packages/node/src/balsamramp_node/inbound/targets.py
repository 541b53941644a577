"""Targets: what the targets of this VM announced to the node."""

import asyncio
import collections
from collections import abc
import datetime
import enum
import typing

from absl import logging
import attrs
from returns import result

from balsamramp_core import clock
from balsamramp_core import metrics
from balsamramp_core import resource
from balsamramp_core import service_manager
from balsamramp_node.membership import membership
from balsamramp_wire import messages

__all__ = ["Announcement", "Health", "LocalTarget", "LocalTargets"]

# Targets that left, whose late announcements are told apart.
LEFT_MAX_TARGETS = 64
EXPIRY_CHECK_INTERVAL = datetime.timedelta(milliseconds=100)


@attrs.frozen(kw_only=True)
class Announcement:
    """A target's statement that it serves ``service`` at ``url``.

    ``instance`` differs for each start of the target, so that a restart
    is seen even when the target comes back within its lease.
    ``started_ms`` is when that was, in Unix milliseconds, or 0 if not
    told, and ``sequence`` rises with each announcement of one start, so
    that late ones are told apart. ``slots`` is how many calls the target
    runs at once, 0 if not told, and ``cold_for`` how long it stays cold.
    """

    target: str
    service: str
    url: str
    instance: str = ""
    labels: dict[str, str] = attrs.field(factory=dict)
    started_ms: int = 0
    sequence: int = 0
    slots: int = 0
    cold_for: datetime.timedelta = datetime.timedelta()

    def problems(self) -> list[str]:
        """Return what is wrong with the announcement."""
        found = resource.check_name("target", self.target)
        found += resource.check_name("service", self.service)
        if not self.url.startswith("http://"):
            found.append(f"url {self.url!r} does not start with http://")
        for key, value in sorted(self.labels.items()):
            found += resource.check_name("label key", key)
            found += resource.check_name(f"label {key}", value)
        for field in ("started_ms", "sequence", "slots"):
            if getattr(self, field) < 0:
                found.append(f"{field} is {getattr(self, field)}")
        return found

    def is_later_than(self, other: "Announcement") -> bool:
        """Tell whether this says something newer of the same target."""
        if self.started_ms != other.started_ms:
            return self.started_ms > other.started_ms
        if self.instance != other.instance:
            return True
        return self.sequence >= other.sequence


@attrs.define
class LocalTarget:
    """A target of this VM and until when its announcement holds."""

    announcement: Announcement
    state: messages.TargetState
    expires_at: datetime.timedelta

    def record(self) -> messages.TargetRecord:
        """Return what other nodes are told of this target."""
        return messages.TargetRecord(
            target=self.announcement.target,
            service=self.announcement.service,
            labels=self.announcement.labels,
            state=self.state,
            instance=(
                self.announcement.instance
                if self.announcement.started_ms
                else ""
            ),
            slots=self.announcement.slots,
        )


class Health(enum.Enum):
    """What a target says of itself when it is asked."""

    SERVING = "serving"
    LEAVING = "leaving"
    UNKNOWN = "unknown"


Verify = abc.Callable[[Announcement], abc.Awaitable[Health]]


class LocalTargets(service_manager.Service):
    """The targets of this VM, kept while they renew their announcement.

    A target that started before this node did may have told an earlier
    process that it leaves, and what it announces may be late. So it is
    asked with ``probe_health`` before it gets work; if it can't say, it gets
    work from its second announcement on.
    """

    name = "targets"
    requires = ("membership",)

    def __init__(
        self,
        members: membership.Membership,
        time: clock.Clock,
        counters: metrics.Metrics,
        lease: datetime.timedelta,
    ) -> None:
        self.probe_health: Verify | None = None
        self._since_ms = int(time.now().timestamp() * 1000)
        self._unverified: dict[str, int] = {}
        self._asking: set[asyncio.Task[None]] = set()
        self._members = members
        self._clock = time
        self._metrics = counters
        self._lease = lease
        self._targets: dict[str, LocalTarget] = {}
        self._left: collections.OrderedDict[str, int]
        self._left = collections.OrderedDict()
        self._task: asyncio.Task[None] | None = None

    @property
    def lease(self) -> datetime.timedelta:
        """Return how long an announcement holds."""
        return self._lease

    async def start(self) -> None:
        self._task = asyncio.create_task(self._expire())

    async def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def announce(
        self, announcement: Announcement
    ) -> result.Result[LocalTarget, str]:
        """Take in a new or renewed announcement."""
        found = announcement.problems()
        if found:
            return result.Failure("; ".join(found))
        stale = self._stale(announcement)
        if stale:
            self._metrics.count("announcements_stale_total")
            return result.Failure(stale)
        self._replace_earlier(announcement)
        expires_at = self._clock.monotonic() + self._lease
        known = self._targets.get(announcement.target)
        if known is None or known.announcement.instance != (
            announcement.instance
        ):
            known = LocalTarget(
                announcement, messages.TargetState.READY, expires_at
            )
            self._targets[announcement.target] = known
            logging.info("target %s announced", announcement.target)
            self._ask_first(known)
        elif known.state is messages.TargetState.STARTING:
            self._resume(known, announcement)
        known.announcement = announcement
        known.expires_at = expires_at
        self._publish()
        return result.Success(known)

    def _ask_first(self, known: LocalTarget) -> None:
        """Hold a target back that an earlier process may have known."""
        announcement = known.announcement
        if self.probe_health is None or not announcement.started_ms:
            return
        if announcement.started_ms >= self._since_ms:
            return
        known.state = messages.TargetState.STARTING
        self._unverified[announcement.target] = announcement.sequence
        task = asyncio.create_task(self._ask(known, self.probe_health))
        self._asking.add(task)
        task.add_done_callback(self._asking.discard)

    async def _ask(self, known: LocalTarget, probe_health: Verify) -> None:
        target = known.announcement.target
        health = await probe_health(known.announcement)
        logging.info("target %s says it is %s", target, health.value)
        if self._targets.get(target) is not known:
            return
        if health is Health.LEAVING:
            self.drain(target)
        if health is not Health.SERVING:
            return
        self._unverified.pop(target, None)
        if known.state is messages.TargetState.STARTING:
            known.state = messages.TargetState.READY
            self._publish()

    def _resume(self, known: LocalTarget, announcement: Announcement) -> None:
        """Give a target work again that has announced itself anew."""
        asked_at = self._unverified.get(announcement.target)
        if asked_at is not None and announcement.sequence <= asked_at:
            return
        self._unverified.pop(announcement.target, None)
        known.state = messages.TargetState.READY

    def _stale(self, announcement: Announcement) -> str:
        """Return why an announcement is late, or nothing."""
        left_ms = self._left.get(announcement.target)
        if left_ms is not None and 0 < announcement.started_ms <= left_ms:
            return f"target {announcement.target} has left"
        for known in self._targets.values():
            earlier = known.announcement
            if earlier.target == announcement.target:
                if announcement.is_later_than(earlier):
                    continue
                return f"target {earlier.target} announced something later"
            if earlier.url != announcement.url or not earlier.started_ms:
                continue
            if announcement.started_ms < earlier.started_ms:
                return f"target {earlier.target} started there later"
        return ""

    def _replace_earlier(self, announcement: Announcement) -> None:
        """Withdraw targets whose address ``announcement`` has now."""
        if not announcement.started_ms:
            return
        for target, known in list(self._targets.items()):
            earlier = known.announcement
            if target == announcement.target or not earlier.started_ms:
                continue
            if earlier.url == announcement.url:
                self.withdraw(target)

    def drain(self, target: str) -> bool:
        """Take no new work for ``target``; False if it is unknown."""
        known = self._targets.get(target)
        if known is None:
            return False
        self._unverified.pop(target, None)
        if known.state is messages.TargetState.DRAINING:
            return True
        known.state = messages.TargetState.DRAINING
        logging.info("target %s is draining", target)
        self._publish()
        return True

    def suspend(self, target: str) -> None:
        """Take no work for ``target`` until its next announcement."""
        known = self._targets.get(target)
        if known is None or known.state is not messages.TargetState.READY:
            return
        known.state = messages.TargetState.STARTING
        logging.info("target %s is suspended", target)
        self._publish()

    def drain_all(self) -> None:
        """Take no new work for any target of this VM."""
        for target in list(self._targets):
            self.drain(target)

    def withdraw(self, target: str) -> bool:
        """Forget ``target``; False if it is unknown.

        What it announced before is not believed any more, also if it
        arrives only now; a later start of it is.
        """
        known = self._targets.pop(target, None)
        now_ms = int(self._clock.now().timestamp() * 1000)
        if known is not None:
            now_ms = max(now_ms, known.announcement.started_ms)
        self._left[target] = now_ms
        while len(self._left) > LEFT_MAX_TARGETS:
            self._left.popitem(last=False)
        if known is None:
            return False
        logging.info("target %s withdrew", target)
        self._publish()
        return True

    def find(self, target: str) -> LocalTarget | None:
        """Return the target, or None if its announcement does not hold."""
        known = self._targets.get(target)
        if known is None or known.expires_at <= self._clock.monotonic():
            return None
        return known

    def dump(self) -> abc.Mapping[str, typing.Any]:
        return {
            target: {
                "service": known.announcement.service,
                "url": known.announcement.url,
                "labels": known.announcement.labels,
                "state": known.state.value,
            }
            for target, known in sorted(self._targets.items())
        }

    def _publish(self) -> None:
        names = sorted(self._targets)
        records = tuple(self._targets[name].record() for name in names)
        self._members.set_targets(records)

    async def _expire(self) -> None:
        while True:
            await self._clock.sleep(EXPIRY_CHECK_INTERVAL)
            now = self._clock.monotonic()
            for target, known in list(self._targets.items()):
                if known.expires_at > now:
                    continue
                del self._targets[target]
                self._metrics.count("targets_expired_total")
                logging.info("target %s did not renew", target)
                self._publish()
