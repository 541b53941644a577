"""Plays a load on entry proxies and slot limiters, without a network.

Each node has an entry proxy with its own picker and statistics, and one
target behind a slot limiter. Time is virtual, so that a trial of a hundred
nodes takes seconds.
"""

import asyncio
from collections import abc
import datetime
import math
import random
import typing

import attrs
from returns import result

from balsamramp_core import metrics
from balsamramp_core import verdict
from balsamramp_core.resources import entry
from balsamramp_node.inbound import concurrency_limit
from balsamramp_node.inbound import queue_disciplines
from balsamramp_node.inbound import targets
from balsamramp_node.inbound.limiters import slot_limiter
from balsamramp_node.outbound import call_transport
from balsamramp_node.outbound import entry_proxy
from balsamramp_node.outbound import picker
from balsamramp_node.outbound import pickers
from balsamramp_node.outbound import retry_budget
from balsamramp_node.outbound import service_room
from balsamramp_node.process import decision_log
from balsamramp_testing import load_evenness
from balsamramp_testing import member_fixture
from balsamramp_testing import virtual_time
from balsamramp_wire import messages

__all__ = ["Load", "Outcome", "Trial", "run"]

MS = datetime.timedelta(milliseconds=1)
IN_ZONE_DELAY = 0.3 * MS
CROSS_ZONE_DELAY = 1.5 * MS
LATE_VALUE = 0.5
SERVICE = "s"
# Service times vary by half of their mean in both directions.
SPREAD = 0.5
# Time after a burst in which the queues of the targets empty.
CALM_AFTER_BURST = datetime.timedelta(seconds=1)

RoomFactory = abc.Callable[[], service_room.ServiceRoom]


@attrs.frozen(kw_only=True)
class Load:
    """A fleet and the load on it.

    ``rates`` are the requests per second that the nodes of each zone
    receive together, and ``speeds`` the factors of the service times of the
    targets, in turn. From ``slow_after`` on the first ``slow_targets`` take
    ``slow_factor`` times as long. After ``burst`` the rates are multiplied
    with ``calm_factor``. The rates swing by the fraction ``swing``
    within ``swing_period``, in each zone at another time. In each
    ``moment``, a random fraction ``moment_share`` of the targets takes
    ``moment_factor`` times as long. The load that a reply reports is lost
    with the probability ``report_loss``.
    """

    zones: tuple[str, ...] = ("a", "b", "c")
    nodes_per_zone: int
    rates: tuple[float, ...]
    duration: datetime.timedelta
    slots: int = 6
    speeds: tuple[float, ...] = (0.7, 0.7, 1.6)
    service_time: datetime.timedelta = 220 * MS
    objective: datetime.timedelta = 600 * MS
    timeout: datetime.timedelta = 1500 * MS
    slow_targets: int = 0
    slow_factor: float = 1.0
    slow_after: datetime.timedelta = datetime.timedelta()
    burst: datetime.timedelta = datetime.timedelta(days=1)
    calm_factor: float = 1.0
    swing: float = 0.0
    swing_period: datetime.timedelta = 15000 * MS
    moment: datetime.timedelta = 600 * MS
    moment_share: float = 0.0
    moment_factor: float = 1.0
    report_loss: float = 0.0

    def rate_factor(
        self, zone_number: int, elapsed: datetime.timedelta
    ) -> float:
        """Return the factor of the rate of a zone at a time."""
        turn = elapsed / self.swing_period + zone_number / len(self.zones)
        return 1 + self.swing * math.sin(2 * math.pi * turn)


@attrs.define
class Outcome:
    """What the callers got, and what it cost."""

    sent: int = 0
    on_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    crossed: int = 0
    attempts: int = 0
    delays: list[datetime.timedelta] = attrs.field(factory=list)
    refusal_delays: list[datetime.timedelta] = attrs.field(factory=list)
    runs: dict[str, int] = attrs.field(factory=dict)
    refused_after_burst: int = 0
    evenness: load_evenness.LoadEvenness = attrs.field(
        factory=load_evenness.LoadEvenness
    )

    @property
    def earned_share(self) -> float:
        """Return the earned share of what all requests on time would be."""
        return (self.on_time + LATE_VALUE * self.late) / max(self.sent, 1)

    @property
    def crossed_share(self) -> float:
        """Return the share of the attempts that went to another zone."""
        return self.crossed / max(self.attempts, 1)

    def delay(self, quantile: float) -> datetime.timedelta:
        """Return a quantile of the time until the response."""
        ordered = sorted(self.delays)
        return ordered[int(quantile * (len(ordered) - 1))]


@attrs.define
class _Target:
    """A target behind its limiter, which handles calls as its node does."""

    name: str
    zone: str
    limiter: slot_limiter.SlotLimiter
    clock: virtual_time.VirtualClock
    rng: random.Random
    service_time: datetime.timedelta
    outcome: Outcome
    report_loss: float = 0.0
    moment_factor: float = 1.0
    refused: dict[str, messages.CallFailure] = attrs.field(factory=dict)

    async def call(
        self, request: messages.CallRequest
    ) -> call_transport.Reply:
        """Run the call in a slot, or refuse it."""
        self.outcome.evenness.record_arrival(
            self.name, self.clock.monotonic(), self.limiter.load()
        )
        known = self.refused.get(request.call_id)
        if known is not None:
            return known
        failure = self.limiter.refusal(request, request.timeout)
        if failure is None:
            deadline = self.clock.monotonic() + request.timeout
            failure = await self.limiter.acquire(request, deadline)
        if failure is not None:
            reply = messages.CallFailure(
                call_id=request.call_id,
                failure=failure,
                load=self._reported_load(),
            )
            self.refused[request.call_id] = reply
            return reply
        self.outcome.runs[self.name] = self.outcome.runs.get(self.name, 0) + 1
        duration = self.service_time * self.rng.uniform(1 - SPREAD, 1 + SPREAD)
        duration *= self.moment_factor
        await self.clock.sleep(duration)
        self.limiter.finish(
            request, duration, concurrency_limit.CallOutcome.ANSWERED
        )
        return messages.CallAnswer(
            call_id=request.call_id,
            status=200,
            headers=(),
            body=b"",
            load=self._reported_load(),
        )

    def _reported_load(self) -> messages.Load:
        if self.report_loss and self.rng.random() < self.report_loss:
            return messages.Load(0, 0)
        return self.limiter.load()


@attrs.define
class _Network:
    """Brings the calls of one node to the targets."""

    zone: str
    by_name: dict[str, _Target]
    clock: virtual_time.VirtualClock
    outcome: Outcome

    async def submit(
        self,
        message: messages.CallRequest,
        chosen: picker.Candidate,
        may_leave: call_transport.MayLeave,
    ) -> call_transport.Reply:
        """Return the reply of the target's node."""
        target = self.by_name[message.target]
        crossed = target.zone != self.zone
        self.outcome.attempts += 1
        self.outcome.crossed += crossed
        delay = CROSS_ZONE_DELAY if crossed else IN_ZONE_DELAY
        await self.clock.sleep(delay)
        reply = await target.call(message)
        await self.clock.sleep(delay)
        return reply


@attrs.define
class _Router:
    """Knows one entry, and the targets with the statistics of one node."""

    matched: entry.Entry
    candidates: list[picker.Candidate]
    version: int = 1

    def resolve_entry(
        self, host: str, path: str
    ) -> result.Result[entry.Entry, verdict.Failure]:
        """Return the entry."""
        return result.Success(self.matched)

    def service_candidates(self, *_: object) -> list[picker.Candidate]:
        """Return all targets."""
        return self.candidates


class Trial:
    """One play of a load with a named picker."""

    def __init__(
        self,
        load: Load,
        picker_name: str,
        seed: int,
        make_room: RoomFactory = service_room.ServiceRoom,
    ) -> None:
        self._make_room = make_room
        self._load = load
        self._picker_name = picker_name
        self._random = random.Random(seed)
        self._clock = virtual_time.VirtualClock()
        self._outcome = Outcome()
        self._targets = self._make_targets()

    async def run(self) -> Outcome:
        """Play the load and return what the callers got."""
        tasks = []
        for number, zone in enumerate(self._load.zones):
            share = self._load.rates[number] / self._load.nodes_per_zone
            for _ in range(self._load.nodes_per_zone):
                proxy = self._make_proxy(zone)
                tasks.append(
                    asyncio.create_task(self._send(proxy, share, number))
                )
        observer = asyncio.create_task(self._observe())
        await self._clock.sleep(self._load.slow_after)
        for target in self._targets[: self._load.slow_targets]:
            target.service_time *= self._load.slow_factor
        await asyncio.gather(*tasks)
        observer.cancel()
        return self._outcome

    async def _observe(self) -> None:
        """Record the loads of all targets, and change their speed."""
        share = self._load.moment_share
        slow_until = datetime.timedelta()
        while True:
            now = self._clock.monotonic()
            if share and now >= slow_until:
                slow_until = now + self._load.moment
                for target in self._targets:
                    slow = self._random.random() < share
                    factor = self._load.moment_factor if slow else 1.0
                    target.moment_factor = factor
            self._outcome.evenness.record_state(
                now,
                [
                    (item.name, item.zone, item.limiter.load())
                    for item in self._targets
                ],
            )
            await self._clock.sleep(load_evenness.STATE_INTERVAL)

    async def _send(
        self, proxy: entry_proxy.EntryProxy, rate: float, zone_number: int
    ) -> None:
        """Send the requests of one node's callers, at random times."""
        begin = self._clock.monotonic()
        end = begin + self._load.duration
        running = []
        while True:
            elapsed = self._clock.monotonic() - begin
            factor = self._load.rate_factor(zone_number, elapsed)
            if elapsed >= self._load.burst:
                factor *= self._load.calm_factor
            pause = self._random.expovariate(rate * factor)
            await self._clock.sleep(datetime.timedelta(seconds=pause))
            if self._clock.monotonic() >= end:
                break
            running.append(asyncio.create_task(self._request(proxy)))
        await asyncio.gather(*running)

    async def _request(self, proxy: entry_proxy.EntryProxy) -> None:
        started = self._clock.monotonic()
        self._outcome.sent += 1
        reply = await proxy.call(
            entry_proxy.EntryRequest(
                request_id="",
                host="h",
                method="GET",
                path="/",
                headers=(),
                body=b"",
                timeout=self._load.timeout,
            )
        )
        delay = self._clock.monotonic() - started
        if isinstance(reply, messages.CallFailure):
            not_run = reply.failure.verdict is verdict.Verdict.NOT_RUN
            self._outcome.refused += not_run
            self._outcome.refusal_delays.append(delay)
            calm_at = self._load.burst + CALM_AFTER_BURST
            self._outcome.refused_after_burst += started >= calm_at
            self._outcome.failed += not not_run
            return
        self._outcome.delays.append(delay)
        on_time = delay <= self._load.objective
        self._outcome.on_time += on_time
        self._outcome.late += not on_time

    def _make_targets(self) -> list[_Target]:
        made: list[_Target] = []
        for number in range(self._load.nodes_per_zone):
            for zone in self._load.zones:
                speed = self._load.speeds[len(made) % len(self._load.speeds)]
                name = f"{zone}-{number}"
                announced = targets.Announcement(
                    target=name,
                    service=SERVICE,
                    url="http://t:1",
                    slots=self._load.slots,
                )
                limiter = slot_limiter.SlotLimiter(
                    announced,
                    queue_disciplines.find_queue_discipline("worth")(),
                    lambda _: 0.0,
                    self._clock,
                )
                made.append(
                    _Target(
                        name,
                        zone,
                        limiter,
                        self._clock,
                        self._random,
                        self._load.service_time * speed,
                        self._outcome,
                        self._load.report_loss,
                    )
                )
        return made

    def _make_proxy(self, zone: str) -> entry_proxy.EntryProxy:
        matched = entry.Entry(
            name="e",
            host="h",
            path_prefix="/",
            parts=(entry.Part(service=SERVICE, weight=1),),
            objective_ms=self._load.objective // MS,
            timeout_ms=self._load.timeout // MS,
            repeatable=True,
            attempts=2,
        )
        candidates = [_candidate(item, self._load) for item in self._targets]
        by_name = {item.name: item for item in self._targets}
        nodes = self._load.nodes_per_zone * len(self._load.zones)
        sink = decision_log.NullSink()
        return entry_proxy.EntryProxy(
            typing.cast(typing.Any, _Router(matched, candidates)),
            pickers.find_picker(self._picker_name)(zone, self._random),
            typing.cast(
                typing.Any,
                _Network(zone, by_name, self._clock, self._outcome),
            ),
            retry_budget.RetryBudget(0.2, datetime.timedelta(seconds=10), 50),
            lambda: nodes,
            lambda member: False,
            self._clock,
            metrics.Metrics(),
            decision_log.DecisionLog(sink, self._clock),
            self._random,
            room=self._make_room(),
        )


def run(
    load: Load,
    picker_name: str,
    seed: int,
    make_room: RoomFactory = service_room.ServiceRoom,
) -> Outcome:
    """Play ``load`` in virtual time.

    Example::

        load = Load(nodes_per_zone=4, rates=(40, 40, 40), duration=20 * SECOND)
        run(load, "expected-finish", seed=1).earned_share
    """

    async def main() -> Outcome:
        return await Trial(load, picker_name, seed, make_room).run()

    return virtual_time.run(main())


def _candidate(target: _Target, load: Load) -> picker.Candidate:
    member = member_fixture.make_member(target.name, zone=target.zone)
    record = messages.TargetRecord(
        target=target.name,
        service=SERVICE,
        labels={},
        state=messages.TargetState.READY,
        slots=load.slots,
    )
    return picker.Candidate(member, record, picker.TargetStats())
