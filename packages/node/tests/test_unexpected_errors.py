"""An unexpected error ends one call or request, and its sender is told.

Without a reply, the other node waits until its time is up.
"""

import asyncio
import datetime
import typing
from unittest import mock

import msgspec
import pytest

from balsamramp_core import clock
from balsamramp_core import metrics
from balsamramp_core import settings
from balsamramp_core import verdict
from balsamramp_node.inbound import control_server
from balsamramp_node.inbound import inbound_handler
from balsamramp_node.inbound import targets
from balsamramp_node.outbound import stream_client
from balsamramp_node.outbound import stream_control_transport
from balsamramp_wire import frames
from balsamramp_wire import messages

SECOND = datetime.timedelta(seconds=1)
CALL = messages.CallRequest(
    call_id="c",
    service="s",
    target="t",
    incarnation=1,
    method="POST",
    path="/",
    headers=(),
    timeout=SECOND,
    idempotent=False,
)


async def _fail(*arguments: object) -> typing.Any:
    raise ValueError("unexpected")


def test_control_request_whose_handler_fails_is_answered(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def main() -> None:
        server = control_server.ControlServer()
        server.handle(messages.PingRequest, _fail)
        body = msgspec.msgpack.encode(messages.PingRequest())
        reply = await server.serve(
            messages.ControlCall(7, messages.PingRequest.method, body)
        )
        assert reply == messages.ControlAnswer(7, False)
        assert "unexpected" in caplog.text

    asyncio.run(main())


def test_call_whose_task_fails_is_answered(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def main() -> None:
        time = clock.SystemClock()
        handler = inbound_handler.InboundHandler(
            1,
            targets.LocalTargets(mock.Mock(), time, metrics.Metrics(), SECOND),
            mock.Mock(),
            time,
            metrics.Metrics(),
            mock.Mock(),
            lambda: False,
            mock.Mock(),
        )
        task = asyncio.create_task(_fail())
        await asyncio.wait([task])
        reply = handler.reply_of(CALL, task)
        assert isinstance(reply, messages.CallFailure)
        assert reply.failure.verdict is verdict.Verdict.MAY_HAVE_RUN
        assert "unexpected" in caplog.text

    asyncio.run(main())


def test_control_request_over_the_size_of_a_frame_is_a_failure() -> None:
    """Guards against loops that end by a message that is too large."""

    async def main() -> None:
        listener = await asyncio.start_server(
            lambda reader, writer: None, "127.0.0.1", 0
        )
        port = listener.sockets[0].getsockname()[1]
        streams = stream_client.StreamClient(
            messages.Hello("n", 1), clock.SystemClock(), metrics.Metrics()
        )
        transport = stream_control_transport.StreamControlTransport(
            streams, control_server.ControlServer()
        )
        request = messages.PushRequest(
            sender=settings.Address("vm", 1),
            zone="z",
            version=1,
            changes=(bytes(frames.PAYLOAD_MAX_BYTES),),
        )
        sent = await transport.send(
            settings.Address("127.0.0.1", port), request, SECOND
        )
        assert "too large" in sent.failure().message
        await streams.stop()
        listener.close()

    asyncio.run(main())
