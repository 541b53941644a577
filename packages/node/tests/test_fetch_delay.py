"""Fetch patience: a peer is asked only for what the source did not give."""

import asyncio
import datetime
import random
import typing

import attrs
import pytest
from returns import result

from balsamramp_core import configuration
from balsamramp_core import metrics
from balsamramp_core import settings
from balsamramp_core import verdict
from balsamramp_core.resources import service
from balsamramp_node.configuration import distribution
from balsamramp_node.configuration import readiness
from balsamramp_node.configuration import store
from balsamramp_node.configuration import transfer_rate_limiter
from balsamramp_node.membership import member_list
from balsamramp_testing import virtual_time
from balsamramp_wire import control_transport
from balsamramp_wire import messages

PATIENCE = datetime.timedelta(seconds=1)
PEER = settings.Address("peer", 1)


class _Transport(control_transport.ControlTransport):
    def __init__(self) -> None:
        self.sent: list[messages.ControlRequest] = []

    def handle(
        self,
        request_type: type[messages.ControlRequest],
        handler: control_transport.Handler,
    ) -> None:
        """Serve nothing."""

    async def send(
        self,
        peer: settings.Address,
        request: messages.ControlRequest,
        timeout: datetime.timedelta,
    ) -> result.Result[typing.Any, verdict.Failure]:
        self.sent.append(request)
        return result.Failure(
            verdict.Failure(
                verdict.Verdict.MAY_HAVE_RUN,
                verdict.Reason.CONNECTION_LOST,
                "",
            )
        )


@attrs.define
class _Node:
    clock: virtual_time.VirtualClock
    transport: _Transport
    held: store.ConfigurationStore
    spread: distribution.Distribution

    def bring_into_force(self, version: int) -> None:
        item = service.Service(name=f"s{version}")
        later = configuration.merge(configuration.EMPTY, version, (item,), ())
        self.held.restore(configuration.Snapshot(later))

    async def hear(self, version: int, digest: bytes = b"") -> None:
        state = messages.ConfigurationState(
            version=version, digest=digest, in_service=True, read_age=None
        )
        self.spread.observe_peer_state(PEER, "zone", state)
        for _ in range(5):
            await asyncio.sleep(0)

    def fetches(self) -> int:
        return sum(
            isinstance(item, messages.ChangesRequest)
            for item in self.transport.sent
        )


def _node(patience: datetime.timedelta | None) -> _Node:
    clock = virtual_time.VirtualClock()
    counters = metrics.Metrics()
    own = messages.Member(
        node="own",
        zone="zone",
        region="r",
        stream=PEER,
        control=PEER,
        admin=PEER,
        incarnation=1,
        sequence=1,
        state=messages.MemberState.ALIVE,
    )
    members = member_list.MemberList()
    members.put(own)
    members.put(
        attrs.evolve(own, node="peer", control=settings.Address("other", 1))
    )
    transport = _Transport()
    held = store.ConfigurationStore(counters)
    spread = distribution.Distribution(
        own,
        members,
        transport,
        held,
        typing.cast(typing.Any, None),
        transfer_rate_limiter.TransferRateLimiter(clock),
        clock,
        counters,
        random.Random(1),
        patience,
    )
    return _Node(clock, transport, held, spread)


def test_a_peer_is_asked_once_the_source_had_its_time() -> None:
    async def main() -> None:
        node = _node(PATIENCE)
        node.bring_into_force(3)
        await node.hear(4)
        assert node.fetches() == 0
        await node.clock.sleep(PATIENCE)
        await node.hear(4)
        assert node.fetches() == 1

    virtual_time.run(main())


def test_each_version_in_force_starts_the_time_anew() -> None:
    async def main() -> None:
        node = _node(PATIENCE)
        node.bring_into_force(3)
        await node.hear(4)
        await node.clock.sleep(PATIENCE)
        node.bring_into_force(4)
        await node.hear(5)
        assert node.fetches() == 0

    virtual_time.run(main())


def test_a_node_that_holds_nothing_asks_at_once() -> None:
    async def main() -> None:
        node = _node(PATIENCE)
        await node.hear(4)
        assert node.fetches() == 1

    virtual_time.run(main())


def test_the_same_content_at_a_later_version_is_not_fetched() -> None:
    """Else each start of a node has all others fetch what they hold."""

    async def main() -> None:
        node = _node(PATIENCE)
        node.bring_into_force(3)
        digest = distribution.digest_bytes(node.held.current.digest)
        ready = readiness.Readiness(node.held, trust_any_zone=True)
        ready.record_zone_peer(4)
        assert not node.held.in_service
        await node.hear(4, digest)
        await node.clock.sleep(2 * PATIENCE)
        assert node.fetches() == 0
        assert node.held.current.version == 4
        # The peer may be gone by now, so nobody else could vouch for it.
        assert node.held.in_service
        await node.hear(3, digest)
        assert node.held.current.version == 4

    virtual_time.run(main())


def test_the_same_content_is_fetched_where_nodes_keep_the_log() -> None:
    async def main() -> None:
        node = _node(None)
        node.bring_into_force(3)
        digest = distribution.digest_bytes(node.held.current.digest)
        await node.hear(4, digest)
        assert node.fetches() == 1
        await node.spread.stop()

    virtual_time.run(main())


@pytest.mark.parametrize(
    ("patience", "pushes"), [(PATIENCE, False), (None, True)]
)
def test_what_every_node_reads_itself_is_not_pushed(
    patience: datetime.timedelta | None, pushes: bool
) -> None:
    async def main() -> None:
        node = _node(patience)
        node.bring_into_force(3)
        await node.clock.sleep(PATIENCE)
        assert bool(node.transport.sent) is pushes
        await node.spread.stop()

    virtual_time.run(main())
