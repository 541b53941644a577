"""How long a connection is read on, and what its peer has not received."""

import asyncio
import datetime
import socket
import typing
from unittest import mock

import pytest

from balsamramp_node.process import lingering_close
from balsamramp_node.process import response_delivery
from balsamramp_node.process import socket_queue

LINGER = lingering_close.TIMEOUT.total_seconds()
LONGEST = lingering_close.LONGEST.total_seconds()


def _at(seconds: float) -> datetime.timedelta:
    return datetime.timedelta(seconds=seconds)


def test_connection_is_kept_until_everything_is_delivered() -> None:
    linger = lingering_close.LingeringClose(_at(0))
    for second in range(60):
        linger.record_undelivered(1000, _at(second))
        assert not linger.is_over(_at(second))
    linger.record_undelivered(0, _at(60))
    assert not linger.is_over(_at(58 + LINGER))
    assert linger.is_over(_at(59 + LINGER))


def test_peer_that_goes_on_sending_is_read_on_but_not_for_ever() -> None:
    linger = lingering_close.LingeringClose(_at(0))
    second = 0.0
    while second + 1.0 + LINGER / 2 < LONGEST:
        second += 1.0
        linger.record_received(_at(second))
        assert not linger.is_over(_at(second + LINGER / 2))
    linger.record_received(_at(LONGEST))
    assert linger.is_over(_at(LONGEST))


def test_peer_that_receives_nothing_is_given_up() -> None:
    linger = lingering_close.LingeringClose(_at(0), stall_timeout=_at(1))
    linger.record_undelivered(1000, _at(0.5))
    linger.record_undelivered(900, _at(1.2))
    assert not linger.is_over(_at(2.1))
    linger.record_undelivered(900, _at(2.1))
    assert linger.is_over(_at(2.2))


def test_responses_that_are_not_received_whole_are_told() -> None:
    delivery = response_delivery.ResponseDelivery()
    for number in range(3):
        delivery.add(100, b"r%d" % number, float(number))
        delivery.add_other(10)
    delivery.confirm(121)
    assert [item.request_id for item in delivery.take(119)] == [b"r2"]
    assert delivery.take(330) == ()


def test_number_of_remembered_responses_is_bounded() -> None:
    delivery = response_delivery.ResponseDelivery()
    for number in range(10_000):
        delivery.add(1, b"r%d" % number, 0.0)
    assert delivery.full
    left = delivery.take(10_000)
    assert len(left) == response_delivery.SENT_RESPONSES_MAX
    assert left[-1].request_id == b"r9999"


def test_long_identifiers_are_not_kept_whole() -> None:
    """Guards against memory that callers fill by the size of a header."""
    delivery = response_delivery.ResponseDelivery()
    delivery.add(1, b"r" * 16_000, 0.0)
    (left,) = delivery.take(1)
    assert left.request_id == b"r" * response_delivery.REQUEST_ID_MAX_BYTES


class _Transport:
    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock

    def get_extra_info(self, name: str) -> socket.socket:
        assert name == "socket"
        return self._sock

    def is_closing(self) -> bool:
        return False


def _unacknowledged(sock: socket.socket) -> int:
    transport = typing.cast(asyncio.Transport, _Transport(sock))
    return socket_queue.unacknowledged_bytes(transport)


def test_queue_of_a_socket_is_what_its_peer_does_not_take() -> None:
    with socket.create_server(("127.0.0.1", 0)) as server:
        server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8 * 1024)
        sender = socket.create_connection(server.getsockname())
        receiver, _ = server.accept()
        with sender, receiver:
            sender.setblocking(False)
            sent = sender.send(bytes(1024 * 1024))
            assert 0 < _unacknowledged(sender) < sent
            receiver.settimeout(5)
            while sent:
                sent -= len(receiver.recv(64 * 1024))
            assert _unacknowledged(sender) == 0


@pytest.mark.parametrize("error", [OSError(25, "no such call"), ValueError()])
def test_system_that_does_not_tell_is_reported_once(
    error: Exception, caplog: pytest.LogCaptureFixture
) -> None:
    with (
        socket.socket() as sock,
        mock.patch.object(socket_queue.fcntl, "ioctl", side_effect=error),
    ):
        assert _unacknowledged(sock) == 0
        assert _unacknowledged(sock) == 0
    assert caplog.text.count("does not tell") <= 1
