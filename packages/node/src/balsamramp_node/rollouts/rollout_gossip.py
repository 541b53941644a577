"""Propagates rollout states and evidence between nodes."""

import asyncio
from collections import abc
import datetime
import random
import typing

from returns import result

from balsamramp_core import background_task
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
TICK_INTERVAL = datetime.timedelta(milliseconds=250)
TICKS_BETWEEN_REPORTS = 4
TICKS_BETWEEN_EXCHANGES = 2
PUSH_FANOUT = 4
EXTRA_SAMPLED_PEERS = 4
INITIAL_EXCHANGE_INTERVAL = datetime.timedelta(milliseconds=50)
INITIAL_EXCHANGE_TIMEOUT = datetime.timedelta(seconds=3)

Addresses = tuple[settings.Address, ...]


class RolloutGossip(service_manager.Service):
    """Gossips rollout states to all nodes, sends evidence to coordinators.

    A changed state is pushed at once to four random nodes, which forward
    what was new to them; a periodic exchange of digests (anti-entropy
    sync) recovers lost pushes. Evidence goes directly from the inbound
    side to the coordinators of its service once a second, or at the next
    tick of 250 ms if a call of a new version failed or a rollout is
    planned to take less than a minute. Coordinators decide at the same
    times.
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
        self._coordinators = rollout_coordinators.RolloutCoordinators(
            members, time
        )
        self._changed: dict[str, rollout_messages.RolloutState] = {}
        self._has_changed = asyncio.Event()
        self._evidence_peers: dict[str, Addresses] = {}
        self._unsent_rows: list[rollout_messages.EvidenceRow] = []
        self._is_ready = not has_seeds
        self._is_urgent = False
        self._tasks: list[asyncio.Task[None]] = []
        self._background_tasks: set[asyncio.Task[None]] = set()
        controller.listen(self._queue_change)
        transport.handle(rollout_messages.StatesRequest, self._serve_states)
        transport.handle(
            rollout_messages.EvidenceRequest, self._serve_evidence
        )

    async def start(self) -> None:
        self._tasks.append(
            background_task.start(
                self._run_initial_exchange, self._clock, self._metrics
            )
        )
        self._tasks.append(
            background_task.start(self._run, self._clock, self._metrics)
        )
        self._tasks.append(
            background_task.start(
                self._push_changes, self._clock, self._metrics
            )
        )

    async def stop(self) -> None:
        tasks = [*self._tasks, *self._background_tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def is_ready(self) -> bool:
        """Return whether this node has received the excluded versions.

        It is ready after its first exchange with a peer, or when no peer
        responded for three seconds.
        """
        return self._is_ready

    def is_coordinator(self, service: str) -> bool:
        """Return whether this node coordinates rollouts of ``service``."""
        return self._coordinators.is_coordinator(service)

    def fallback_delay(self, service: str) -> datetime.timedelta:
        """Return how long this node waits for the coordinators."""
        return self._coordinators.fallback_delay(service)

    def dump(self) -> abc.Mapping[str, typing.Any]:
        services = {
            intent.service for intent in self._rollouts.intents.values()
        }
        return {
            "decides": sorted(filter(self.is_coordinator, services)),
            "digest": self._rollouts.digest,
        }

    def _queue_change(self, state: rollout_messages.RolloutState) -> None:
        self._changed[state.intent] = state
        self._has_changed.set()

    async def _run_initial_exchange(self) -> None:
        give_up_at = self._clock.monotonic() + INITIAL_EXCHANGE_TIMEOUT
        while not self._is_ready:
            for peer in self._random_peers(1):
                await self._exchange(peer, ())
            if self._clock.monotonic() >= give_up_at:
                self._is_ready = True
            await self._clock.sleep(INITIAL_EXCHANGE_INTERVAL)

    async def _run(self) -> None:
        tick = 0
        while True:
            tick += 1
            is_full_tick = tick % TICKS_BETWEEN_REPORTS == 0
            is_full_tick = is_full_tick or self._rollouts.has_short_rollouts()
            self._distribute_evidence(is_full_tick)
            if is_full_tick or self._is_urgent:
                self._is_urgent = False
                self._rollouts.decide(self.is_coordinator)
            if tick % TICKS_BETWEEN_EXCHANGES == 0:
                for peer in self._random_peers(1):
                    self._spawn(self._exchange(peer, ()))
            jitter = 0.75 + 0.5 * self._random.random()
            await self._clock.sleep(TICK_INTERVAL * jitter)

    async def _push_changes(self) -> None:
        while True:
            await self._has_changed.wait()
            self._has_changed.clear()
            states = tuple(self._changed.values())
            self._changed.clear()
            for peer in self._random_peers(PUSH_FANOUT):
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
        received = await self._transport.send(peer, request, REQUEST_TIMEOUT)
        if isinstance(received, result.Failure):
            self._metrics.count("rollout_exchanges_failed_total")
            return
        reply: rollout_messages.StatesReply = received.unwrap()
        differing = self._differing_buckets(reply)
        if states:
            return
        if not differing or await self._sync_buckets(peer, differing):
            self._is_ready = True

    def _differing_buckets(
        self, reply: rollout_messages.StatesReply
    ) -> tuple[int, ...]:
        own = self._rollouts.buckets
        return tuple(
            number
            for number, digest in enumerate(reply.buckets)
            if digest != own[number]
        )

    async def _sync_buckets(
        self, peer: settings.Address, differing: tuple[int, ...]
    ) -> bool:
        request = rollout_messages.StatesRequest(
            node=self._members.own.node,
            digest=self._rollouts.digest,
            states=tuple(self._rollouts.states_in(differing)),
            wanted=differing,
        )
        received = await self._transport.send(peer, request, REQUEST_TIMEOUT)
        if isinstance(received, result.Failure):
            return False
        self._rollouts.merge(received.unwrap().states)
        return True

    def _distribute_evidence(self, send_all: bool) -> None:
        rows = self._recorder.drain_changed_rows()
        self._rollouts.merge_evidence(rows)
        latest = {_row_key(row): row for row in (*self._unsent_rows, *rows)}
        self._unsent_rows = list(latest.values())
        urgent = self._mark_urgent(rows)
        if not send_all and not urgent:
            return
        by_service: dict[str, list[rollout_messages.EvidenceRow]] = {}
        for row in self._unsent_rows:
            intent = self._rollouts.intents.get(row.intent)
            if intent is not None:
                by_service.setdefault(intent.service, []).append(row)
        self._unsent_rows = []
        for service, service_rows in by_service.items():
            self._send_rows(service, service_rows)

    def _mark_urgent(
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
        peers = tuple(self._coordinators.other_coordinators(service))
        known_peers = self._evidence_peers.get(service, ())
        self._evidence_peers[service] = peers
        rows_for_new_peers = rows
        if not set(peers) <= set(known_peers):
            ids = {row.intent for row in rows}
            rows_for_new_peers = self._recorder.rows(ids)
        for peer in peers:
            selected = rows if peer in known_peers else rows_for_new_peers
            self._spawn(self._send_evidence(service, peer, tuple(selected)))

    async def _send_evidence(
        self,
        service: str,
        peer: settings.Address,
        rows: tuple[rollout_messages.EvidenceRow, ...],
    ) -> None:
        request = rollout_messages.EvidenceRequest(rows)
        received = await self._transport.send(peer, request, REQUEST_TIMEOUT)
        if isinstance(received, result.Success):
            self._coordinators.record_response(peer)
            return
        self._metrics.count("evidence_lost_total")
        self._coordinators.record_failure(peer)
        known_peers = self._evidence_peers.get(service, ())
        self._evidence_peers[service] = tuple(
            address for address in known_peers if address != peer
        )

    def _random_peers(self, count: int) -> list[settings.Address]:
        own = self._members.own.node
        members = self._members.members()
        sample_size = min(len(members), count + EXTRA_SAMPLED_PEERS)
        peers = [
            member.control
            for member in self._random.sample(members, sample_size)
            if member.node != own
            and member.state is messages.MemberState.ALIVE
        ]
        return peers[:count]

    def _spawn(
        self, coroutine: abc.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        task = asyncio.create_task(coroutine)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

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
        merged_count = self._rollouts.merge_evidence(request.rows)
        self._mark_urgent(request.rows)
        return rollout_messages.EvidenceReply(merged_count)


def _row_key(row: rollout_messages.EvidenceRow) -> tuple[typing.Any, ...]:
    return row.intent, row.window, row.epoch, row.route, row.new
