"""Aggregates the versions in force on the nodes of each zone.

Within a zone, every node reports a summary of itself and of the nodes
below it to its parent in a fixed tree. The root's summary covers the
zone and reaches all nodes by gossip. So no node receives reports from
every other, and a version needs no acknowledgement of its own.
"""

import asyncio
import bisect
from collections import abc
import datetime
import random
import typing

import attrs
import msgspec

from balsamramp_core import background_task
from balsamramp_core import clock
from balsamramp_core import service_manager
from balsamramp_node.configuration import fanout_tree
from balsamramp_node.configuration import store
from balsamramp_node.membership import member_list
from balsamramp_wire import control_transport
from balsamramp_wire import messages

__all__ = ["ZoneReports"]

REPORT_INTERVAL = datetime.timedelta(seconds=2)
REPORT_TIMEOUT = datetime.timedelta(milliseconds=500)
REPORT_RETENTION = datetime.timedelta(seconds=7)
TREE_SEED = 0
VERSIONS_MAX = 8
NODES_NAMED_MAX = 8
SUMMARIES_PER_EXCHANGE = 3


@attrs.frozen
class _ChildReport:
    summary: messages.ZoneSummary
    received_at: datetime.timedelta


class ZoneReports(service_manager.Service):
    """Aggregates the reports of child nodes and forwards the summary."""

    name = "zone-reports"
    requires = ("configuration",)

    def __init__(
        self,
        own: messages.Member,
        members: member_list.MemberList,
        transport: control_transport.ControlTransport,
        configurations: store.ConfigurationStore,
        time: clock.Clock,
        rng: random.Random,
    ) -> None:
        self._node = own.node
        self._zone = own.zone
        self._members = members
        self._transport = transport
        self._store = configurations
        self._clock = time
        self._random = rng
        self._child_reports: dict[str, _ChildReport] = {}
        self._summaries: dict[str, messages.ZoneSummary] = {}
        self._task: asyncio.Task[None] | None = None
        transport.handle(messages.ReportRequest, self._serve_report)

    async def start(self) -> None:
        self._task = background_task.start(self._run, self._clock)

    async def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def summaries(self) -> tuple[messages.ZoneSummary, ...]:
        """Return the latest summary of each zone."""
        return tuple(self._summaries.values())

    def sample_summaries(self) -> tuple[messages.ZoneSummary, ...]:
        """Return a random sample of the summaries for one exchange."""
        summaries = list(self._summaries.values())
        count = min(SUMMARIES_PER_EXCHANGE, len(summaries))
        return tuple(self._random.sample(summaries, count))

    def now(self) -> datetime.datetime:
        """Return the time on the clock that sets ``counted_at``."""
        return self._clock.now()

    def merge(self, summaries: abc.Iterable[messages.ZoneSummary]) -> None:
        """Merge another node's summaries; the later of each zone is kept."""
        for item in summaries:
            current = self._summaries.get(item.zone)
            if current is None or item.counted_at > current.counted_at:
                self._summaries[item.zone] = item

    def dump(self) -> abc.Mapping[str, typing.Any]:
        return {
            zone: msgspec.to_builtins(item)
            for zone, item in sorted(self._summaries.items())
        }

    async def _run(self) -> None:
        while True:
            jitter = 0.75 + 0.5 * self._random.random()
            await self._clock.sleep(REPORT_INTERVAL * jitter)
            await self._report()

    async def _report(self) -> None:
        summary = self._summarize()
        members = self._members.alive_in(self._zone)
        names = [member.node for member in members]
        tree = fanout_tree.FanoutTree.seeded(len(names), TREE_SEED)
        position = tree.position(bisect.bisect_left(names, self._node))
        parent = tree.parent(position)
        if parent is None:
            self.merge((summary,))
            return
        request = messages.ReportRequest(node=self._node, summary=summary)
        peer = members[tree.index(parent)].control
        await self._transport.send(peer, request, REPORT_TIMEOUT)

    def _summarize(self) -> messages.ZoneSummary:
        now = self._clock.monotonic()
        current = self._store.current.version
        counts = {current: 1}
        lagging: list[str] = []
        refusals: list[messages.RefusalReport] = []
        refused = self._store.refused
        if refused is not None:
            refusals.append(
                messages.RefusalReport(self._node, current, refused.message)
            )
        for node, received in list(self._child_reports.items()):
            if now - received.received_at > REPORT_RETENTION:
                del self._child_reports[node]
                continue
            lagging += received.summary.lagging
            refusals += received.summary.refusals
            for item in received.summary.versions:
                counts[item.version] = counts.get(item.version, 0) + item.nodes
                if item.version < current and item.nodes == 1:
                    lagging.append(node)
        return messages.ZoneSummary(
            zone=self._zone,
            counted_at=self._clock.now(),
            nodes=sum(counts.values()),
            versions=_bounded_counts(counts),
            lagging=tuple(sorted(set(lagging))[:NODES_NAMED_MAX]),
            refusals=tuple(refusals[:NODES_NAMED_MAX]),
        )

    async def _serve_report(
        self, request: messages.ReportRequest
    ) -> messages.ReportReply:
        now = self._clock.monotonic()
        self._child_reports[request.node] = _ChildReport(request.summary, now)
        return messages.ReportReply()


def _bounded_counts(
    counts: abc.Mapping[int, int],
) -> tuple[messages.VersionCount, ...]:
    """Return the counts; versions before the latest few are added up."""
    versions = sorted(counts, reverse=True)
    found = [
        messages.VersionCount(version, counts[version])
        for version in versions[:VERSIONS_MAX]
    ]
    rest = versions[VERSIONS_MAX:]
    if rest:
        total = sum(counts[version] for version in rest)
        found.append(messages.VersionCount(rest[-1], total))
    return tuple(found)
