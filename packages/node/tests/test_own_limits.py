"""A node without a free descriptor says nothing of targets and peers.

It can't connect then, which is no sign that the other side is ill: it would
roll back a version, eject targets and suspect members for its own fault.
"""

import asyncio
from collections import abc
import contextlib
import datetime
import errno
import resource
import typing
from unittest import mock

from balsamramp_core import clock
from balsamramp_core import header_names
from balsamramp_core import metrics
from balsamramp_core import settings
from balsamramp_core import verdict
from balsamramp_node.inbound import control_server
from balsamramp_node.inbound import inbound_handler
from balsamramp_node.inbound import pooled_target_client
from balsamramp_node.inbound import targets
from balsamramp_node.inbound.limiters import slot_limiter
from balsamramp_node.inbound.queue_disciplines import priority
from balsamramp_node.outbound import entry_proxy
from balsamramp_node.outbound import picker
from balsamramp_node.outbound import stream_client
from balsamramp_node.outbound import stream_control_transport
from balsamramp_node.rollouts import rollout_interceptor
from balsamramp_testing import simulation
from balsamramp_testing import virtual_time
from balsamramp_wire import messages

HELLO = messages.Hello("calling", 1)
LONG = datetime.timedelta(seconds=15)
PEER = settings.Address("127.0.0.1", 9)
CALL = messages.CallRequest(
    call_id="c",
    service="caja",
    target="t",
    incarnation=1,
    method="GET",
    path="/",
    headers=(),
    timeout=datetime.timedelta(seconds=2),
    idempotent=True,
    route="pay",
)


@contextlib.contextmanager
def _no_descriptors() -> abc.Iterator[None]:
    """Let the process open nothing more."""
    before = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (0, before[1]))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, before)


def _streams() -> stream_client.StreamClient:
    return stream_client.StreamClient(
        HELLO, clock.SystemClock(), metrics.Metrics()
    )


def test_target_is_not_blamed_for_a_missing_descriptor() -> None:
    async def main() -> None:
        time = clock.SystemClock()
        counters = metrics.Metrics()
        rollouts = mock.Mock()
        client = pooled_target_client.PooledTargetClient(
            header_names.DEFAULT_HEADER_NAMES, 1000, time, counters
        )
        local = targets.LocalTargets(
            mock.Mock(), time, counters, datetime.timedelta(hours=1)
        )
        local.announce(
            targets.Announcement(
                target="t", service="caja", url=f"http://{PEER}", slots=4
            )
        )
        handler = inbound_handler.InboundHandler(
            1,
            local,
            lambda announced: slot_limiter.SlotLimiter(
                announced, priority.PriorityDiscipline(), lambda _: 0.0, time
            ),
            time,
            counters,
            client,
            lambda: False,
            typing.cast(typing.Any, None),
            rollout_interceptor.RolloutInterceptor(
                mock.Mock(), rollouts, lambda: True, time
            ),
        )
        rollouts.is_version_excluded.return_value = False
        with _no_descriptors():
            reply = await handler.submit(CALL)
        assert isinstance(reply, messages.CallFailure)
        assert reply.failure.verdict is verdict.Verdict.NOT_RUN
        assert reply.failure.reason is verdict.Reason.OVERLOADED
        assert not rollouts.record.called

    asyncio.run(main())


def test_peer_is_not_unreachable_for_a_missing_descriptor() -> None:
    async def main() -> None:
        with _no_descriptors():
            reply = await _streams().call(PEER, CALL)
        info = entry_proxy._done_info(reply)
        assert info is picker.DoneInfo.REFUSED

    asyncio.run(main())


async def _fail_to_connect(
    peer: settings.Address,
) -> stream_client.Connection:
    raise OSError(errno.EMFILE, "Too many open files")


def test_member_is_not_suspected_for_a_missing_descriptor() -> None:
    async def main() -> None:
        sim = simulation.Simulation(seed=1)
        node = await sim.start_node("n0", "zone-a")
        await sim.start_node("n1", "zone-a")
        await sim.clock.sleep(LONG)
        members = node.core.membership
        streams = stream_client.StreamClient(
            HELLO, sim.clock, metrics.Metrics(), _fail_to_connect
        )
        transport = stream_control_transport.StreamControlTransport(
            streams, control_server.ControlServer()
        )
        with (
            mock.patch.object(members, "_transport", transport),
            mock.patch.object(members._detector, "_transport", transport),
        ):
            await sim.clock.sleep(LONG)
        assert node.metrics.value("exchanges_failed_total")
        assert not node.metrics.value("members_total", state="suspect")
        await sim.stop()

    virtual_time.run(main())
