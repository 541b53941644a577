"""Nodes that count and report usage, on fakes in virtual time."""

import asyncio
import datetime
import random
import typing

import attrs
from returns import result

from balsamramp_core import metrics
from balsamramp_core import settings
from balsamramp_core import storage
from balsamramp_node.inbound import call_organisation
from balsamramp_node.membership import member_list
from balsamramp_node.process import decision_log
from balsamramp_node.usage import usage_publisher
from balsamramp_node.usage import usage_reporting
from balsamramp_node.usage import usage_windows
from balsamramp_testing import memory_network
from balsamramp_testing import memory_platform
from balsamramp_testing import virtual_time
from balsamramp_wire import messages

__all__ = ["Arrival", "UsageTrial", "broken_rules"]

LEASE = datetime.timedelta(seconds=3)
WINDOWS = usage_windows.UsageWindows(
    datetime.timedelta(seconds=5), datetime.timedelta(seconds=10)
)
CONNECT_TIME = datetime.timedelta(milliseconds=2)
CALL_INTERVAL = datetime.timedelta(milliseconds=100)
LATE_WRITE = datetime.timedelta(seconds=2)
ZONES = ("a", "b", "c")


@attrs.frozen(kw_only=True)
class Arrival:
    """One report that reached the platform.

    ``start`` numbers the starts of all machines: two starts of one machine
    are two holders.
    """

    at: datetime.timedelta
    machine: str
    start: int
    token: int
    window: int
    counts: dict[str, int]


class _Publisher(usage_publisher.UsagePublisher):
    """The platform as seen by one machine."""

    def __init__(self, trial: "UsageTrial", machine: str, start: int) -> None:
        self._trial = trial
        self._machine = machine
        self._start = start

    async def publish(
        self,
        report: usage_publisher.UsageReport,
        send_until: datetime.timedelta,
    ) -> result.Result[None, usage_publisher.PublishError]:
        trial = self._trial
        await trial.clock.sleep(CONNECT_TIME)
        if trial.clock.monotonic() >= send_until:
            return result.Failure(usage_publisher.PublishError("expired"))
        fault = trial.answers.pop(0) if trial.answers else ""
        if fault == "refused":
            return result.Failure(usage_publisher.PublishError("status 429"))
        trial.arrivals.append(
            Arrival(
                at=trial.clock.monotonic(),
                machine=self._machine,
                start=self._start,
                token=report.token,
                window=report.window,
                counts=dict(report.counts),
            )
        )
        trial.on_arrival()
        if fault == "late":
            time_left = send_until - trial.clock.monotonic()
            await trial.clock.sleep(time_left)
            return result.Failure(usage_publisher.PublishError("no response"))
        return result.Success(None)


class _Table(memory_platform.MemoryTable):
    """Applies writes late as well: when their sender has given them up."""

    def __init__(
        self, faults: memory_platform.Faults, time: virtual_time.VirtualClock
    ) -> None:
        super().__init__(faults, time)
        self._time = time
        self.late_writes = 0
        self.on_commit: typing.Callable[[storage.Transaction], None] = (
            lambda transaction: None
        )

    async def commit(
        self, transaction: storage.Transaction
    ) -> result.Result[None, storage.StorageError]:
        if self.late_writes:
            self.late_writes -= 1
            process = virtual_time.SimulatedProcess("store")
            process.spawn(self._commit_late(transaction))
            kind = storage.StorageErrorKind.OUTCOME_UNKNOWN
            return result.Failure(storage.StorageError(kind, "late"))
        committed = await super().commit(transaction)
        self.on_commit(transaction)
        return committed

    async def _commit_late(self, transaction: storage.Transaction) -> None:
        await self._time.sleep(LATE_WRITE)
        await super().commit(transaction)


@attrs.define
class _Node:
    process: virtual_time.SimulatedProcess
    reporting: usage_reporting.UsageReporting
    members: member_list.MemberList
    own: messages.Member
    metrics: metrics.Metrics


class UsageTrial:
    """Starts, pauses and kills nodes; drives calls of organisation "o".

    Each of ``names``, such as "a-1" in zone "a", is a machine. ``skews``
    are the errors of wall clocks, and ``answers`` the faults of the next
    reports: "refused" or "late". ``rate`` is the calls of a node in each
    CALL_INTERVAL.
    """

    def __init__(
        self,
        names: typing.Sequence[str],
        skews: dict[str, datetime.timedelta] | None = None,
        seed: int = 1,
        windows: usage_windows.UsageWindows = WINDOWS,
    ) -> None:
        self.windows = windows
        self.clock = virtual_time.VirtualClock()
        self.faults = memory_platform.Faults()
        self.table = _Table(self.faults, self.clock)
        self.arrivals: list[Arrival] = []
        self.answers: list[str] = []
        self.on_arrival: typing.Callable[[], None] = lambda: None
        self.nodes: dict[str, _Node] = {}
        self.truth: dict[int, int] = {}
        self.rate = 1
        self.network = memory_network.MemoryNetwork(
            self.clock, random.Random(seed)
        )
        self._skews = skews or {}
        self._seed = seed
        self._starts = 0
        self._members: dict[str, messages.Member] = {}
        for name in names:
            self.start(name)

    @property
    def holders(self) -> list[str]:
        """Return the nodes that believe to have the lease."""
        return [
            name
            for name, node in self.nodes.items()
            if node.reporting.reporter.dump()["holds"]
        ]

    def start(self, name: str) -> None:
        """Start a node; its earlier start must have been killed."""
        self._starts += 1
        address = settings.Address(name, 1)
        own = messages.Member(
            node=name,
            zone=name[0],
            region="r",
            stream=address,
            control=address,
            admin=address,
            incarnation=self._starts,
            sequence=0,
            state=messages.MemberState.ALIVE,
        )
        clock = virtual_time.VirtualClock(
            self._skews.get(name, datetime.timedelta())
        )
        process = virtual_time.SimulatedProcess(name)
        control = memory_network.MemoryControl(name, self.network)
        self.network.add(name, name[0], control, process)
        members = member_list.MemberList()
        counters = metrics.Metrics()
        reporting = usage_reporting.UsageReporting(
            usage_reporting.ReportingTerms(
                publisher=_Publisher(self, name, self._starts),
                organisations=call_organisation.CallOrganisation("o"),
                windows=self.windows,
                lease_duration=LEASE,
            ),
            own,
            members,
            memory_platform.LinkedTable(
                self.table,
                lambda: self.network.links(name, memory_network.PLATFORM),
            ),
            control,
            clock,
            counters,
            decision_log.DecisionLog(decision_log.NullSink(), clock),
            random.Random(f"{self._seed} {self._starts}"),
        )
        self.nodes[name] = _Node(process, reporting, members, own, counters)
        self._members[name] = own
        for node in self.nodes.values():
            for member in self._members.values():
                node.members.put(member)
        for service in reporting.services:
            process.spawn(service.start())

    async def kill(self, name: str) -> None:
        """Kill a node, which the others notice only by ``forget``."""
        node = self.nodes.pop(name)
        self.network.down.add(name)
        await node.process.kill()

    def forget(self, name: str) -> None:
        """Have all others know that a node is dead."""
        dead = attrs.evolve(
            self._members.pop(name), state=messages.MemberState.DEAD
        )
        for node in self.nodes.values():
            node.members.put(dead)

    async def run(self, seconds: float) -> None:
        """Let calls begin on all nodes that run, for so long."""
        end = self.clock.monotonic() + datetime.timedelta(seconds=seconds)
        while self.clock.monotonic() < end:
            self._call()
            await self.clock.sleep(CALL_INTERVAL)

    async def run_until_window_ends(self) -> int:
        """Run to the end of the window; return its number."""
        window = self.windows.window_at(self.clock.now())
        left = self.windows.end(window) - self.clock.now()
        await self.run(left.total_seconds())
        return window

    def ended_tasks(self) -> list[str]:
        """Return the nodes whose tasks have ended though they run."""
        return [
            name
            for name, node in self.nodes.items()
            for task in (
                node.reporting.reporter._task,
                node.reporting.exchange._task,
            )
            if task is None or task.done()
        ]

    def reports_of(self, window: int) -> list[Arrival]:
        """Return the reports of a window that arrived in time."""
        start = self.clock.now() - self.clock.monotonic()
        return [
            arrival
            for arrival in self.arrivals
            if arrival.window == window
            and start + arrival.at <= self.windows.due(window)
        ]

    def _call(self) -> None:
        window = self.windows.window_at(self.clock.now())
        for node in self.nodes.values():
            if node.process.paused:
                continue
            for _ in range(self.rate):
                node.reporting.counter.begin("o", self.clock.monotonic())
            self.truth[window] = self.truth.get(window, 0) + self.rate

    def count_late(self, window: int) -> None:
        """Have some calls of a window become known only now."""
        origin = self.clock.now() - self.clock.monotonic()
        begun_at = self.windows.end(window) - CALL_INTERVAL - origin
        for node in self.nodes.values():
            node.reporting.counter.begin("o", begun_at)

    async def end(self) -> None:
        """Kill all nodes."""
        for name in list(self.nodes):
            await self.kill(name)
        await asyncio.sleep(0)


def broken_rules(arrivals: list[Arrival]) -> list[str]:
    """Return what the platform would hold against these reports."""
    broken = []
    counts: dict[int, dict[str, int]] = {}
    holders: dict[int, int] = {}
    highest = 0
    for arrival in arrivals:
        if counts.setdefault(arrival.window, arrival.counts) != arrival.counts:
            broken.append(f"two counts for a window: {arrival}")
        if holders.setdefault(arrival.token, arrival.start) != arrival.start:
            broken.append(f"two holders with one token: {arrival}")
        if arrival.token < highest:
            broken.append(f"a token below {highest}: {arrival}")
        highest = max(highest, arrival.token)
    for number, last in enumerate(arrivals):
        between = False
        for first in reversed(arrivals[:number]):
            if last.at - first.at > LEASE:
                break
            between = between or first.machine != last.machine
            if between and first.machine == last.machine:
                broken.append(f"A, B, A within the lease: {first} {last}")
                break
    return broken
