"""Runs each idempotency key of a service at most once."""

import asyncio
from collections import abc
import datetime
import typing

import attrs
from returns import result
import xxhash

from balsamramp_core import background_task
from balsamramp_core import clock
from balsamramp_core import metrics
from balsamramp_core import service_manager
from balsamramp_core import verdict
from balsamramp_node.inbound import key_owners
from balsamramp_node.inbound import response_cache
from balsamramp_node.membership import membership
from balsamramp_node.outbound import call_transport
from balsamramp_node.outbound import picker
from balsamramp_wire import control_transport
from balsamramp_wire import messages

__all__ = ["IdempotencyStore", "needs_deduplication"]

REFRESH_INTERVAL = datetime.timedelta(milliseconds=500)
CLAIM_TIMEOUT = datetime.timedelta(milliseconds=500)
CLAIM_TARGETS_MAX = 8
KEY_RECORDS_MAX = 100_000

Runner = abc.Callable[[], abc.Awaitable[call_transport.Reply]]


def needs_deduplication(idempotent: bool, key: str) -> bool:
    """Return whether a call must run at most once for its key."""
    return bool(key) and not idempotent


@attrs.define(eq=False, kw_only=True)
class _Record(response_cache.ResponseHolder):
    """A used key: the fingerprint of its request, and the reply."""

    fingerprint: int
    task: asyncio.Task[call_transport.Reply] | None = None
    expires_at: datetime.timedelta

    def is_held(self, now: datetime.timedelta) -> bool:
        """Return whether the record still prevents another run."""
        return self.expires_at > now or self.reply is None


class IdempotencyStore(service_manager.Service):
    """Stores the records of the idempotency keys that this node owns.

    The owner of a key is the target with the highest rendezvous weight
    for it. Before an owner runs a key without a record, it records the
    key and sends a claim to the other owners of the service. The call
    runs only if all of them reply that they have no record of the key
    and that no lost owner may have run it.
    """

    name = "key-ledger"
    requires = ("membership",)

    def __init__(
        self,
        node: str,
        members: membership.Membership,
        peers: control_transport.ControlTransport,
        time: clock.Clock,
        counters: metrics.Metrics,
        retention: datetime.timedelta,
        receives_keys: bool = True,
    ) -> None:
        self._receives_keys = receives_keys
        self._node = node
        self._members = members
        self._peers = peers
        self._clock = time
        self._metrics = counters
        self._retention = retention
        self._owners = key_owners.KeyOwners(retention)
        self._responses = response_cache.ResponseCache()
        self._records: dict[tuple[str, str], _Record] = {}
        self._task: asyncio.Task[None] | None = None
        peers.handle(messages.KeyClaimRequest, self._serve_claim)

    async def start(self) -> None:
        if not self._receives_keys:
            return
        self._task = background_task.start(
            self._refresh_periodically, self._clock, self._metrics
        )

    async def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def dump(self) -> abc.Mapping[str, typing.Any]:
        return {"keys": len(self._records), "lost": self._owners.dump()}

    def find_owner(
        self,
        service: str,
        key: str,
        candidates: abc.Sequence[picker.Candidate],
    ) -> picker.Candidate | None:
        """Return the owner of ``key``; None if a lost owner may have it."""
        self._refresh()
        owner = max(
            candidates,
            key=lambda item: key_owners.rendezvous_weight(
                key, item.record.target
            ),
        )
        now = self._clock.monotonic()
        if self._owners.may_have_run_elsewhere(
            service, key, owner.record.target, now
        ):
            self._metrics.count("keys_in_doubt_total")
            return None
        return owner

    async def run(
        self, request: messages.CallRequest, runner: Runner
    ) -> call_transport.Reply:
        """Return the recorded reply of the key, or run the call."""
        now = self._clock.monotonic()
        record_key = (request.service, request.idempotency_key)
        fingerprint = _fingerprint(request)
        record = self._records.get(record_key)
        if record is not None and record.is_held(now):
            if record.fingerprint != fingerprint:
                return _refusal(
                    request, "the idempotency key was used for another request"
                )
            self._metrics.count("repeated_keys_total")
            return await self._reply_of(record, request)
        self._expire_records(now)
        if len(self._records) >= KEY_RECORDS_MAX:
            return _refusal(request, "the idempotency store is full")
        record = _Record(
            fingerprint=fingerprint, expires_at=now + self._retention
        )
        self._records[record_key] = record
        record.task = asyncio.create_task(
            self._claim_and_run(request, record, runner)
        )
        return await self._reply_of(record, request)

    async def _reply_of(
        self, record: _Record, request: messages.CallRequest
    ) -> call_transport.Reply:
        reply = record.reply
        if reply is None:
            assert record.task is not None
            reply = await asyncio.shield(record.task)
        return attrs.evolve(reply, call_id=request.call_id)

    async def _claim_and_run(
        self,
        request: messages.CallRequest,
        record: _Record,
        runner: Runner,
    ) -> call_transport.Reply:
        record_key = (request.service, request.idempotency_key)
        if not await self._claim(request):
            self._metrics.count("keys_in_doubt_total")
            del self._records[record_key]
            return _refusal(
                request, "another node may have run the idempotency key"
            )
        reply = await runner()
        if _has_not_run(reply):
            del self._records[record_key]
            return reply
        record.task = None
        self._responses.add(record, reply)
        return reply

    async def _claim(self, request: messages.CallRequest) -> bool:
        self._refresh()
        key = request.idempotency_key
        now = self._clock.monotonic()
        if self._owners.may_have_run_elsewhere(
            request.service, key, request.target, now
        ):
            return False
        claim = messages.KeyClaimRequest(
            node=self._node,
            service=request.service,
            key=key,
            target=request.target,
        )
        recipients = self._claim_recipients(request.service, key)
        replies = await asyncio.gather(
            *(
                self._peers.send(owner.control, claim, CLAIM_TIMEOUT)
                for owner in recipients
            )
        )
        for reply in replies:
            if isinstance(reply, result.Failure):
                return False
            claim_reply = reply.unwrap()
            if claim_reply.taken or claim_reply.in_doubt:
                return False
        return True

    def _claim_recipients(
        self, service: str, key: str
    ) -> list[key_owners.KeyOwner]:
        owners = [
            owner
            for owner in self._owners.live_owners(service)
            if owner.node != self._node
        ]
        owners.sort(
            key=lambda owner: key_owners.rendezvous_weight(key, owner.target),
            reverse=True,
        )
        by_node: dict[str, key_owners.KeyOwner] = {}
        for owner in owners[:CLAIM_TARGETS_MAX]:
            by_node.setdefault(owner.node, owner)
        return list(by_node.values())

    async def _serve_claim(
        self, request: messages.KeyClaimRequest
    ) -> messages.KeyClaimReply:
        self._refresh()
        now = self._clock.monotonic()
        record = self._records.get((request.service, request.key))
        taken = record is not None and record.is_held(now)
        in_doubt_here = self._owners.may_have_run_elsewhere(
            request.service, request.key, request.target, now
        )
        return messages.KeyClaimReply(taken=taken, in_doubt=in_doubt_here)

    async def _refresh_periodically(self) -> None:
        while True:
            self._refresh()
            await self._clock.sleep(REFRESH_INTERVAL)

    def _refresh(self) -> None:
        now = self._clock.monotonic()
        self._owners.refresh(self._members.members(), now)

    def _expire_records(self, now: datetime.timedelta) -> None:
        while self._records:
            record_key = next(iter(self._records))
            record = self._records[record_key]
            if record.is_held(now):
                return
            self._responses.discard(record)
            del self._records[record_key]


def _fingerprint(request: messages.CallRequest) -> int:
    head = f"{request.method} {request.path}\0".encode()
    return int(xxhash.xxh64_intdigest(head + request.body))


def _has_not_run(reply: call_transport.Reply) -> bool:
    if isinstance(reply, messages.CallAnswer):
        return False
    return reply.failure.verdict is verdict.Verdict.NOT_RUN


def _refusal(
    request: messages.CallRequest, message: str
) -> messages.CallFailure:
    return messages.CallFailure(
        call_id=request.call_id,
        failure=verdict.Failure(
            verdict.Verdict.MAY_HAVE_RUN, verdict.Reason.DUPLICATE, message
        ),
        load=messages.Load(0, 0),
    )
