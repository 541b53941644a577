"""Rollout spread: carries states and evidence of rollouts among nodes."""

import asyncio
from collections import abc
import datetime
import random
import typing

from returns import result

from balsamramp_core import clock
from balsamramp_core import metrics
from balsamramp_core import service_manager
from balsamramp_core import settings
from balsamramp_node.membership import membership
from balsamramp_node.rollouts import evidence_recorder
from balsamramp_node.rollouts import rollout_controller
from balsamramp_node.rollouts import rollout_coordinators
from balsamramp_wire import control_transport
from balsamramp_wire import messages
from balsamramp_wire import rollout_messages

__all__ = ["RolloutGossip"]

REQUEST_TIMEOUT = datetime.timedelta(seconds=1)
TICK = datetime.timedelta(milliseconds=250)
TICKS_BETWEEN_REPORTS = 4
TICKS_BETWEEN_EXCHANGES = 2
PUSH_FANOUT = 4
SPARE_PEERS = 4
HEARING_INTERVAL = datetime.timedelta(milliseconds=50)
HEARING_TIMEOUT = datetime.timedelta(seconds=3)

Addresses = tuple[settings.Address, ...]


class RolloutGossip(service_manager.Service):
    """Spreads rollout states to all nodes and evidence to the deciders.

    A changed state is pushed at once to four random nodes, which push on
    what was new to them; exchanges of digests repair what was lost.
    Evidence goes straight from the door that saw it to the deciders of
    its service once a second, or at the next tick of 250 ms if a call of
    a new version failed or a rollout is planned to take less than a
    minute; they decide at the same times.
    """

    name = "rollout-spread"
    requires = ("membership", "rollouts")

    def __init__(
        self,
        controller: rollout_controller.RolloutController,
        recorder: evidence_recorder.EvidenceRecorder,
        members: membership.Membership,
        transport: control_transport.ControlTransport,
        time: clock.Clock,
        counters: metrics.Metrics,
        rng: random.Random,
        has_seeds: bool,
    ) -> None:
        self._rollouts = controller
        self._recorder = recorder
        self._members = members
        self._transport = transport
        self._clock = time
        self._metrics = counters
        self._random = rng
        self._deciders = rollout_coordinators.RolloutCoordinators(
            members, time
        )
        self._changed: dict[str, rollout_messages.RolloutState] = {}
        self._has_changed = asyncio.Event()
        self._sent_to: dict[str, Addresses] = {}
        self._held_back: list[rollout_messages.EvidenceRow] = []
        self._is_ready = not has_seeds
        self._is_urgent = False
        self._tasks: list[asyncio.Task[None]] = []
        self._sending: set[asyncio.Task[None]] = set()
        controller.listen(self._note_change)
        transport.handle(rollout_messages.StatesRequest, self._serve_states)
        transport.handle(
            rollout_messages.EvidenceRequest, self._serve_evidence
        )

    async def start(self) -> None:
        self._tasks.append(asyncio.create_task(self._hear_first()))
        self._tasks.append(asyncio.create_task(self._run()))
        self._tasks.append(asyncio.create_task(self._push_changes()))

    async def stop(self) -> None:
        tasks = [*self._tasks, *self._sending]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def is_ready(self) -> bool:
        """Tell whether this node has heard which versions are condemned.

        It has after its first exchange with a peer, or when no peer was
        found for three seconds.
        """
        return self._is_ready

    def is_coordinator(self, service: str) -> bool:
        """Tell whether this node decides on rollouts of ``service``."""
        return self._deciders.is_coordinator(service)

    def dump(self) -> abc.Mapping[str, typing.Any]:
        services = {
            intent.service for intent in self._rollouts.intents.values()
        }
        return {
            "decides": sorted(filter(self.is_coordinator, services)),
            "digest": self._rollouts.digest,
        }

    def _note_change(self, state: rollout_messages.RolloutState) -> None:
        self._changed[state.intent] = state
        self._has_changed.set()

    async def _hear_first(self) -> None:
        given_up_at = self._clock.monotonic() + HEARING_TIMEOUT
        while not self._is_ready:
            for peer in self._some_peers(1):
                await self._exchange(peer, ())
            if self._clock.monotonic() >= given_up_at:
                self._is_ready = True
            await self._clock.sleep(HEARING_INTERVAL)

    async def _run(self) -> None:
        tick = 0
        while True:
            tick += 1
            full = tick % TICKS_BETWEEN_REPORTS == 0
            full = full or self._rollouts.has_short_plans()
            self._spread_evidence(full)
            if full or self._is_urgent:
                self._is_urgent = False
                self._rollouts.decide(self.is_coordinator)
            if tick % TICKS_BETWEEN_EXCHANGES == 0:
                for peer in self._some_peers(1):
                    self._spawn(self._exchange(peer, ()))
            jitter = 0.75 + 0.5 * self._random.random()
            await self._clock.sleep(TICK * jitter)

    async def _push_changes(self) -> None:
        while True:
            await self._has_changed.wait()
            self._has_changed.clear()
            states = tuple(self._changed.values())
            self._changed.clear()
            for peer in self._some_peers(PUSH_FANOUT):
                self._spawn(self._exchange(peer, states))

    async def _exchange(
        self,
        peer: settings.Address,
        states: tuple[rollout_messages.RolloutState, ...],
    ) -> None:
        request = rollout_messages.StatesRequest(
            node=self._members.own.node,
            digest=self._rollouts.digest,
            states=states,
        )
        sent = await self._transport.send(peer, request, REQUEST_TIMEOUT)
        if isinstance(sent, result.Failure):
            self._metrics.count("rollout_exchanges_failed_total")
            return
        reply: rollout_messages.StatesReply = sent.unwrap()
        differing = self._differing(reply)
        if states:
            return
        if not differing or await self._repair(peer, differing):
            self._is_ready = True

    def _differing(
        self, reply: rollout_messages.StatesReply
    ) -> tuple[int, ...]:
        own = self._rollouts.buckets
        return tuple(
            number
            for number, digest in enumerate(reply.buckets)
            if digest != own[number]
        )

    async def _repair(
        self, peer: settings.Address, differing: tuple[int, ...]
    ) -> bool:
        request = rollout_messages.StatesRequest(
            node=self._members.own.node,
            digest=self._rollouts.digest,
            states=tuple(self._rollouts.states_in(differing)),
            wanted=differing,
        )
        sent = await self._transport.send(peer, request, REQUEST_TIMEOUT)
        if isinstance(sent, result.Failure):
            return False
        self._rollouts.merge(sent.unwrap().states)
        return True

    def _spread_evidence(self, everything: bool) -> None:
        rows = self._recorder.drain_changed_rows()
        self._rollouts.merge_evidence(rows)
        latest = {_key(row): row for row in (*self._held_back, *rows)}
        self._held_back = list(latest.values())
        urgent = self._note_urgent(rows)
        if not everything and not urgent:
            return
        by_service: dict[str, list[rollout_messages.EvidenceRow]] = {}
        for row in self._held_back:
            intent = self._rollouts.intents.get(row.intent)
            if intent is not None:
                by_service.setdefault(intent.service, []).append(row)
        self._held_back = []
        for service, found in by_service.items():
            self._send_rows(service, found)

    def _note_urgent(
        self, rows: abc.Iterable[rollout_messages.EvidenceRow]
    ) -> bool:
        for row in rows:
            if row.new and row.failures:
                self._is_urgent = True
                return True
        return False

    def _send_rows(
        self, service: str, rows: list[rollout_messages.EvidenceRow]
    ) -> None:
        peers = tuple(self._deciders.other_coordinators(service))
        known = self._sent_to.get(service, ())
        self._sent_to[service] = peers
        complete = rows
        if not set(peers) <= set(known):
            ids = {row.intent for row in rows}
            complete = self._recorder.rows(ids)
        for peer in peers:
            chosen = rows if peer in known else complete
            self._spawn(self._send_evidence(service, peer, tuple(chosen)))

    async def _send_evidence(
        self,
        service: str,
        peer: settings.Address,
        rows: tuple[rollout_messages.EvidenceRow, ...],
    ) -> None:
        request = rollout_messages.EvidenceRequest(rows)
        sent = await self._transport.send(peer, request, REQUEST_TIMEOUT)
        if isinstance(sent, result.Success):
            self._deciders.record_answer(peer)
            return
        self._metrics.count("evidence_lost_total")
        self._deciders.record_failure(peer)
        known = self._sent_to.get(service, ())
        self._sent_to[service] = tuple(
            address for address in known if address != peer
        )

    def _some_peers(self, count: int) -> list[settings.Address]:
        own = self._members.own.node
        members = self._members.members()
        drawn = min(len(members), count + SPARE_PEERS)
        peers = [
            member.control
            for member in self._random.sample(members, drawn)
            if member.node != own
            and member.state is messages.MemberState.ALIVE
        ]
        return peers[:count]

    def _spawn(
        self, work: abc.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        task = asyncio.create_task(work)
        self._sending.add(task)
        task.add_done_callback(self._sending.discard)

    async def _serve_states(
        self, request: rollout_messages.StatesRequest
    ) -> rollout_messages.StatesReply:
        self._rollouts.merge(request.states)
        digest = self._rollouts.digest
        buckets: tuple[int, ...] = ()
        if digest != request.digest and not request.wanted:
            buckets = self._rollouts.buckets
        return rollout_messages.StatesReply(
            digest=digest,
            buckets=buckets,
            states=tuple(self._rollouts.states_in(request.wanted)),
        )

    async def _serve_evidence(
        self, request: rollout_messages.EvidenceRequest
    ) -> rollout_messages.EvidenceReply:
        taken = self._rollouts.merge_evidence(request.rows)
        self._note_urgent(request.rows)
        return rollout_messages.EvidenceReply(taken)


def _key(row: rollout_messages.EvidenceRow) -> tuple[typing.Any, ...]:
    return row.intent, row.window, row.epoch, row.route, row.new
