"""Keeps the targets of this VM that announced themselves to the node."""

import asyncio
import collections
from collections import abc
import datetime
import enum
import typing

from absl import logging
import attrs
from returns import result

from balsamramp_core import background_task
from balsamramp_core import clock
from balsamramp_core import metrics
from balsamramp_core import resource
from balsamramp_core import service_manager
from balsamramp_node.membership import membership
from balsamramp_wire import messages

__all__ = ["Announcement", "Health", "LocalTarget", "LocalTargets"]

# Number of withdrawn targets whose late announcements are recognised.
WITHDRAWN_TARGETS_MAX = 64
EXPIRY_CHECK_INTERVAL = datetime.timedelta(milliseconds=100)
# An announcement that arrives later than this after the start of the process
# was not sent to the previous process.
ANNOUNCEMENT_DELAY_MAX = datetime.timedelta(seconds=10)
PROBE_INTERVAL_MIN = datetime.timedelta(milliseconds=250)
PROBE_INTERVAL_MAX = datetime.timedelta(seconds=2)


@attrs.frozen(kw_only=True)
class Announcement:
    """A target's announcement that it serves ``service`` at ``url``.

    ``instance`` differs for each start of the target, so that a restart
    is detected even if the target returns within its lease.
    ``started_ms`` is the time of that start in Unix milliseconds, or 0 if
    not stated. ``sequence`` increases with each announcement of one
    start, so that late announcements are recognised. ``slots`` is how
    many calls the target runs at once, 0 if not stated, and ``cold_for``
    how long it stays cold.
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

    def validation_errors(self) -> list[str]:
        """Return the errors of the announcement, empty if it is valid."""
        errors = resource.check_name("target", self.target)
        errors += resource.check_name("service", self.service)
        if not self.url.startswith("http://"):
            errors.append(f"url {self.url!r} does not start with http://")
        for key, value in sorted(self.labels.items()):
            errors += resource.check_name("label key", key)
            errors += resource.check_name(f"label {key}", value)
        for field in ("started_ms", "sequence", "slots"):
            if getattr(self, field) < 0:
                errors.append(
                    f"{field} is {getattr(self, field)}; it must be >= 0"
                )
        return errors

    def is_later_than(self, other: "Announcement") -> bool:
        """Return whether this is not older than ``other``, same target."""
        if self.started_ms != other.started_ms:
            return self.started_ms > other.started_ms
        if self.instance != other.instance:
            return True
        return self.sequence >= other.sequence


class Health(enum.Enum):
    """The result of a health check of a target.

    ``UNHEALTHY`` may pass, ``LEAVING`` holds until the next start of the
    target.
    """

    SERVING = "serving"
    UNHEALTHY = "unhealthy"
    LEAVING = "leaving"
    UNKNOWN = "unknown"


@attrs.define
class LocalTarget:
    """A target of this VM and the time when its lease expires.

    ``unverified`` is whether it gets no calls until a health check or a later
    announcement shows that it takes them; ``health`` is the result of its
    last check.
    """

    announcement: Announcement
    state: messages.TargetState
    expires_at: datetime.timedelta
    unverified: bool = False
    health: Health | None = None

    def record(self) -> messages.TargetRecord:
        """Return the record that is sent to other nodes."""
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


HealthProbe = abc.Callable[[Announcement], abc.Awaitable[Health]]
ServiceCheck = abc.Callable[[str], bool]


class LocalTargets(service_manager.Service):
    """The targets of this VM, kept while they renew their announcement.

    A target that started before this process may have told the previous
    process that it is leaving, and its announcement may be late. So
    ``probe_health`` checks it before it gets calls, again and again until it
    serves or leaves. A target that goes on to announce itself without a
    successful check gets calls as soon as its announcements can't be late.

    Another writer may announce a target at an address that is in use, and a
    target that has ended may seem to have started later. So a second target
    at an address is checked first too, and only a successful check withdraws
    the first. Without checks the later start wins.

    ``is_expected`` tells whether this VM has a target of a service, if that
    is known. A target of another service is checked first, and one of an
    expected service is not checked because of it.
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
        self.probe_health: HealthProbe | None = None
        self.is_expected: ServiceCheck = lambda service: True
        self._process_started_ms = int(time.now().timestamp() * 1000)
        self._process_started_at = time.monotonic()
        self._probes: set[asyncio.Task[None]] = set()
        self._members = members
        self._clock = time
        self._metrics = counters
        self._lease = lease
        self._targets: dict[str, LocalTarget] = {}
        self._withdrawn_ms: collections.OrderedDict[str, int]
        self._withdrawn_ms = collections.OrderedDict()
        self._leaving_instances: collections.OrderedDict[str, str]
        self._leaving_instances = collections.OrderedDict()
        self._draining_all = False
        self._task: asyncio.Task[None] | None = None

    @property
    def process_started_ms(self) -> int:
        """Return the start of this process in Unix milliseconds."""
        return self._process_started_ms

    @property
    def lease(self) -> datetime.timedelta:
        """Return how long an announcement is valid."""
        return self._lease

    async def start(self) -> None:
        self._task = background_task.start(
            self._expire_periodically, self._clock, self._metrics
        )

    async def stop(self) -> None:
        tasks = [*self._probes]
        if self._task is not None:
            tasks.append(self._task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def announce(
        self, announcement: Announcement
    ) -> result.Result[LocalTarget, str]:
        """Add or renew a target; return why it is rejected on failure."""
        errors = announcement.validation_errors()
        if errors:
            return result.Failure("; ".join(errors))
        rejection = self._rejection(announcement)
        if rejection:
            self._metrics.count("announcements_stale_total")
            return result.Failure(rejection)
        if self.probe_health is None:
            self._withdraw_others_at_url(announcement)
        expires_at = self._clock.monotonic() + self._lease
        local_target = self._targets.get(announcement.target)
        if local_target is None or local_target.announcement.instance != (
            announcement.instance
        ):
            local_target = LocalTarget(
                announcement, messages.TargetState.READY, expires_at
            )
            self._targets[announcement.target] = local_target
            logging.info("target %s announced", announcement.target)
            if self._draining_all or self.is_leaving(announcement):
                self.drain(announcement.target)
            else:
                self._verify_if_needed(local_target)
        elif (
            local_target.state is messages.TargetState.STARTING
            and self._shows_readiness(local_target, announcement)
        ):
            self._resume(local_target)
        local_target.announcement = announcement
        local_target.expires_at = expires_at
        self._publish()
        return result.Success(local_target)

    def _verify_if_needed(self, local_target: LocalTarget) -> None:
        """Send no calls to a target yet if it may not be there any more.

        This is so if it is older than this process, if its service is not
        expected, or if a rival has announced itself at its address.
        """
        announcement = local_target.announcement
        if self.probe_health is None or not announcement.started_ms:
            return
        is_older = announcement.started_ms < self._process_started_ms
        is_expected = self.is_expected(announcement.service)
        if is_expected and not is_older and not self._rivals(announcement):
            return
        local_target.state = messages.TargetState.STARTING
        local_target.unverified = True
        task = asyncio.create_task(
            self._verify(local_target, self.probe_health)
        )
        self._probes.add(task)
        task.add_done_callback(self._probes.discard)

    async def _verify(
        self, local_target: LocalTarget, probe_health: HealthProbe
    ) -> None:
        """Probe a target until it serves, leaves or is verified otherwise."""
        interval = PROBE_INTERVAL_MIN
        while True:
            try:
                health = await probe_health(local_target.announcement)
            except Exception:
                logging.exception(
                    "health check of target %s failed by an unexpected"
                    " error; checking again",
                    local_target.announcement.target,
                )
                health = Health.UNKNOWN
            if not self._awaits_verification(local_target):
                return
            self._record_health(local_target, health)
            if not local_target.unverified:
                return
            await self._clock.sleep(interval)
            if not self._awaits_verification(local_target):
                return
            interval = min(2 * interval, PROBE_INTERVAL_MAX)

    def _awaits_verification(self, local_target: LocalTarget) -> bool:
        target = local_target.announcement.target
        return (
            self._targets.get(target) is local_target
            and local_target.unverified
        )

    def _record_health(
        self, local_target: LocalTarget, health: Health
    ) -> None:
        target = local_target.announcement.target
        if health is not local_target.health:
            logging.info("health check of target %s: %s", target, health.value)
        local_target.health = health
        if health is Health.LEAVING:
            self.drain_for_good(local_target.announcement)
        elif health is Health.SERVING:
            self._withdraw_others_at_url(local_target.announcement)
            self._resume(local_target)
            self._publish()

    def _resume(self, local_target: LocalTarget) -> None:
        local_target.unverified = False
        local_target.state = messages.TargetState.READY

    def _shows_readiness(
        self, local_target: LocalTarget, announcement: Announcement
    ) -> bool:
        """Return whether ``announcement`` lets a target get calls again."""
        if not local_target.unverified:
            return True
        if announcement.sequence <= local_target.announcement.sequence:
            return False
        if self._rivals(announcement):
            return False
        process_age = self._clock.monotonic() - self._process_started_at
        return process_age > ANNOUNCEMENT_DELAY_MAX

    def _rejection(self, announcement: Announcement) -> str:
        """Return why the announcement is outdated, or an empty string."""
        withdrawn_ms = self._withdrawn_ms.get(announcement.target)
        if (
            withdrawn_ms is not None
            and 0 < announcement.started_ms <= withdrawn_ms
        ):
            return (
                f"target {announcement.target} was withdrawn after this start"
            )
        for local_target in self._targets.values():
            earlier = local_target.announcement
            if earlier.target == announcement.target:
                if announcement.is_later_than(earlier):
                    continue
                return (
                    f"target {earlier.target} sent a later announcement before"
                )
            if earlier.url != announcement.url or not earlier.started_ms:
                continue
            if self.probe_health is not None:
                # A health check decides which of them is there.
                continue
            if announcement.started_ms < earlier.started_ms:
                return (
                    f"target {earlier.target} started later at {earlier.url}"
                )
        return ""

    def _others_at_url(self, announcement: Announcement) -> list[str]:
        """Return the other targets announced at the same address."""
        if not announcement.started_ms:
            return []
        found = []
        for target, local_target in self._targets.items():
            earlier = local_target.announcement
            if target == announcement.target or not earlier.started_ms:
                continue
            if earlier.url == announcement.url:
                found.append(target)
        return found

    def _rivals(self, announcement: Announcement) -> list[str]:
        """Return the others at its address that may be there instead."""
        rivals = []
        for target in self._others_at_url(announcement):
            service = self._targets[target].announcement.service
            if self.is_expected(service) or not self.is_expected(
                announcement.service
            ):
                rivals.append(target)
        return rivals

    def _withdraw_others_at_url(self, announcement: Announcement) -> None:
        """Withdraw targets whose address ``announcement`` has taken over."""
        for target in self._others_at_url(announcement):
            self.withdraw(target)

    def drain(self, target: str) -> bool:
        """Accept no new calls to ``target``; return False if unknown."""
        local_target = self._targets.get(target)
        if local_target is None:
            return False
        local_target.unverified = False
        if local_target.state is messages.TargetState.DRAINING:
            return True
        local_target.state = messages.TargetState.DRAINING
        logging.info("target %s is draining", target)
        self._publish()
        return True

    def drain_for_good(self, announcement: Announcement) -> None:
        """Accept no new calls to this start of a target.

        Its later announcements don't change that.
        """
        target = announcement.target
        self._leaving_instances[target] = announcement.instance
        while len(self._leaving_instances) > WITHDRAWN_TARGETS_MAX:
            self._leaving_instances.popitem(last=False)
        local_target = self._targets.get(target)
        if local_target is not None and self.is_leaving(
            local_target.announcement
        ):
            self.drain(target)

    def is_leaving(self, announcement: Announcement) -> bool:
        """Return whether this start of a target was drained for good."""
        instance = self._leaving_instances.get(announcement.target)
        return instance is not None and instance == announcement.instance

    def suspend(self, target: str) -> None:
        """Accept no calls to ``target`` until its next announcement."""
        local_target = self._targets.get(target)
        if (
            local_target is None
            or local_target.state is not messages.TargetState.READY
        ):
            return
        local_target.state = messages.TargetState.STARTING
        logging.info(
            "target %s is suspended until its next announcement", target
        )
        self._publish()

    def drain_all(self) -> None:
        """Accept no new calls to any target of this VM from now on."""
        self._draining_all = True
        for target in list(self._targets):
            self.drain(target)

    def withdraw(self, target: str, started_ms: int = 0) -> bool:
        """Remove ``target``; return False if it is unknown.

        Late announcements of the same start are rejected from now on;
        those of a later start are accepted. ``started_ms`` is the time of
        the start that ends, or 0 if not stated: then it is the one that is
        known, else any before now. A later start is kept.
        """
        local_target = self._targets.get(target)
        known_ms = 0
        if local_target is not None:
            known_ms = local_target.announcement.started_ms
        now_ms = int(self._clock.now().timestamp() * 1000)
        withdrawn_ms = started_ms or known_ms or now_ms
        withdrawn_ms = max(withdrawn_ms, self._withdrawn_ms.get(target, 0))
        self._withdrawn_ms[target] = withdrawn_ms
        self._withdrawn_ms.move_to_end(target)
        while len(self._withdrawn_ms) > WITHDRAWN_TARGETS_MAX:
            self._withdrawn_ms.popitem(last=False)
        if local_target is None or known_ms > withdrawn_ms:
            return False
        del self._targets[target]
        logging.info("target %s withdrew", target)
        self._publish()
        return True

    def find(self, target: str) -> LocalTarget | None:
        """Return the target, or None if it is unknown or expired."""
        local_target = self._targets.get(target)
        if (
            local_target is None
            or local_target.expires_at <= self._clock.monotonic()
        ):
            return None
        return local_target

    def dump(self) -> abc.Mapping[str, typing.Any]:
        return {
            target: {
                "service": local_target.announcement.service,
                "url": local_target.announcement.url,
                "labels": local_target.announcement.labels,
                "state": local_target.state.value,
            }
            for target, local_target in sorted(self._targets.items())
        }

    def _publish(self) -> None:
        names = sorted(self._targets)
        records = tuple(self._targets[name].record() for name in names)
        self._members.set_targets(records)

    async def _expire_periodically(self) -> None:
        while True:
            await self._clock.sleep(EXPIRY_CHECK_INTERVAL)
            now = self._clock.monotonic()
            for target, local_target in list(self._targets.items()):
                if local_target.expires_at > now:
                    continue
                del self._targets[target]
                self._metrics.count("targets_expired_total")
                logging.info("target %s did not renew", target)
                self._publish()
