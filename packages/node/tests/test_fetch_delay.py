"""With a fetch delay, nodes read the external store before their peers.

Guards against nodes that fetch from each other, or push, what every node
reads from the store itself.
"""

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
from balsamramp_node.configuration import configuration_reader
from balsamramp_node.configuration import distribution
from balsamramp_node.configuration import readiness
from balsamramp_node.configuration import store
from balsamramp_node.configuration import transfer_rate_limiter
from balsamramp_node.membership import member_list
from balsamramp_testing import virtual_time
from balsamramp_wire import control_transport
from balsamramp_wire import messages

FETCH_DELAY = datetime.timedelta(seconds=1)
PEER = settings.Address("peer", 1)


class _Transport(control_transport.ControlTransport):
    def __init__(self) -> None:
        self.sent: list[messages.ControlRequest] = []

    def handle(
        self,
        request_type: type[messages.ControlRequest],
        handler: control_transport.Handler,
    ) -> None:
        """Ignore handlers: this node serves no requests."""

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


class _Reader(configuration_reader.ConfigurationReader):
    def __init__(self) -> None:
        self.later_versions: list[int] = []

    async def resolve_divergence(self) -> None:
        """Do nothing: no test here has diverged nodes."""

    def record_later_version(self, version: int) -> None:
        self.later_versions.append(version)


@attrs.define
class _Node:
    clock: virtual_time.VirtualClock
    transport: _Transport
    configurations: store.ConfigurationStore
    distributor: distribution.Distribution
    reader: _Reader

    def put_in_force(self, version: int) -> None:
        item = service.Service(name=f"s{version}")
        later = configuration.merge(configuration.EMPTY, version, (item,), ())
        self.configurations.restore(configuration.Snapshot(later))

    async def receive_state(self, version: int, digest: bytes = b"") -> None:
        state = messages.ConfigurationState(
            version=version, digest=digest, in_service=True, read_age=None
        )
        self.distributor.observe_peer_state(PEER, "zone", state)
        for _ in range(5):
            await asyncio.sleep(0)

    def fetches(self) -> int:
        return sum(
            isinstance(item, messages.ChangesRequest)
            for item in self.transport.sent
        )


def _make_node(fetch_delay: datetime.timedelta | None) -> _Node:
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
    configurations = store.ConfigurationStore(counters)
    reader = _Reader()
    distributor = distribution.Distribution(
        own,
        members,
        transport,
        configurations,
        reader,
        transfer_rate_limiter.TransferRateLimiter(clock),
        clock,
        counters,
        random.Random(1),
        fetch_delay,
    )
    return _Node(clock, transport, configurations, distributor, reader)


def test_fetches_from_peer_after_delay() -> None:
    async def main() -> None:
        node = _make_node(FETCH_DELAY)
        node.put_in_force(3)
        await node.receive_state(4)
        assert node.fetches() == 0
        await node.clock.sleep(FETCH_DELAY)
        await node.receive_state(4)
        assert node.fetches() == 1

    virtual_time.run(main())


def test_new_version_in_force_restarts_delay() -> None:
    async def main() -> None:
        node = _make_node(FETCH_DELAY)
        node.put_in_force(3)
        await node.receive_state(4)
        await node.clock.sleep(FETCH_DELAY)
        node.put_in_force(4)
        await node.receive_state(5)
        assert node.fetches() == 0

    virtual_time.run(main())


def test_node_without_configuration_fetches_at_once() -> None:
    async def main() -> None:
        node = _make_node(FETCH_DELAY)
        await node.receive_state(4)
        assert node.fetches() == 1

    virtual_time.run(main())


def test_later_version_with_same_content_is_not_fetched() -> None:
    """Otherwise each node start would make all others fetch."""

    async def main() -> None:
        node = _make_node(FETCH_DELAY)
        node.put_in_force(3)
        digest = distribution.digest_bytes(node.configurations.current.digest)
        ready = readiness.Readiness(node.configurations, trust_any_zone=True)
        ready.record_zone_peer(4)
        assert not node.configurations.in_service
        await node.receive_state(4, digest)
        await node.clock.sleep(2 * FETCH_DELAY)
        assert node.fetches() == 0
        assert node.configurations.current.version == 4
        # The peer may have departed, and no other node could confirm it.
        assert node.configurations.in_service
        await node.receive_state(3, digest)
        assert node.configurations.current.version == 4

    virtual_time.run(main())


def test_same_content_is_fetched_without_fetch_delay() -> None:
    async def main() -> None:
        node = _make_node(None)
        node.put_in_force(3)
        digest = distribution.digest_bytes(node.configurations.current.digest)
        await node.receive_state(4, digest)
        assert node.fetches() == 1
        await node.distributor.stop()

    virtual_time.run(main())


@pytest.mark.parametrize(
    ("fetch_delay", "expected_push"), [(FETCH_DELAY, False), (None, True)]
)
def test_pushes_only_without_fetch_delay(
    fetch_delay: datetime.timedelta | None, expected_push: bool
) -> None:
    async def main() -> None:
        node = _make_node(fetch_delay)
        node.put_in_force(3)
        await node.clock.sleep(FETCH_DELAY)
        assert bool(node.transport.sent) is expected_push
        await node.distributor.stop()

    virtual_time.run(main())


def test_reader_knows_of_another_configuration_that_peers_have() -> None:
    """Guards against a node that takes what it has for the present one."""

    async def main() -> None:
        node = _make_node(FETCH_DELAY)
        node.put_in_force(3)
        digest = node.configurations.current.digest
        await node.receive_state(2)
        await node.receive_state(5, distribution.digest_bytes(digest))
        assert node.reader.later_versions == []
        await node.receive_state(7)
        assert node.reader.later_versions == [7]

    virtual_time.run(main())
