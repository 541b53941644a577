"""Ports that are missing are awaited; other errors end the start.

A wait without a line in the log, or one that a stop signal cannot end, would
look like a process that hangs.
"""

import asyncio
from collections import abc
import contextlib
import datetime
import errno
import socket
import typing

import pytest

from balsamramp_core import metrics
from balsamramp_core import service_manager
from balsamramp_core import settings
from balsamramp_node.process import decision_log
from balsamramp_node.process import listening_ports
from balsamramp_testing import list_sink
from balsamramp_testing import virtual_time

LOOPBACK = "127.0.0.1"
# Reserved for documentation; no machine has it.
ABSENT = settings.Address("192.0.2.1", 4000)


class _World:
    def __init__(self) -> None:
        self.clock = virtual_time.VirtualClock()
        self.sink = list_sink.ListSink()
        self.metrics = metrics.Metrics()

    def make(
        self, **addresses: settings.Address
    ) -> listening_ports.ListeningPorts:
        return listening_ports.ListeningPorts(
            "ports",
            addresses,
            self.clock,
            self.metrics,
            decision_log.DecisionLog(self.sink, self.clock),
        )

    def events(self, name: str) -> list[dict[str, typing.Any]]:
        return [line for line in self.sink.lines if line["event"] == name]

    async def sleep(self, seconds: float) -> None:
        await self.clock.sleep(datetime.timedelta(seconds=seconds))


def _run(scenario: abc.Callable[[_World], abc.Awaitable[None]]) -> None:
    async def main() -> None:
        await scenario(_World())

    virtual_time.run(main())


@contextlib.contextmanager
def _held() -> abc.Iterator[settings.Address]:
    with socket.create_server((LOOPBACK, 0)) as holder:
        yield settings.Address(LOOPBACK, holder.getsockname()[1])


def _can_bind(address: settings.Address) -> bool:
    with socket.socket() as prober:
        try:
            prober.bind((address.host, address.port))
        except OSError:
            return False
    return True


def _free_address() -> settings.Address:
    with socket.socket() as prober:
        prober.bind((LOOPBACK, 0))
        return settings.Address(LOOPBACK, prober.getsockname()[1])


def test_wait_holds_no_other_port_and_is_logged_until_it_is_over() -> None:
    async def main(world: _World) -> None:
        free = _free_address()
        with _held() as taken:
            ports = world.make(free=free, taken=taken)
            starting = asyncio.create_task(ports.start())
            await world.sleep(25)
            assert _can_bind(free)
            assert ports.obstacle == (
                f"waiting for taken at {taken}: Address already in use"
            )
        await starting
        assert ports.obstacle == ""
        waits = world.events("port_wait")
        assert [round(line["seconds"]) for line in waits] == [0, 10, 20]
        assert {line["address"] for line in waits} == {str(taken)}
        (over,) = world.events("port_wait_over")
        assert round(over["seconds"]) == 25
        for name in ("free", "taken"):
            ports.take(name).close()

    _run(main)


def test_address_that_is_not_there_yet_is_awaited() -> None:
    async def main(world: _World) -> None:
        ports = world.make(absent=ABSENT)
        starting = asyncio.create_task(ports.start())
        await world.sleep(1)
        assert not starting.done()
        assert "Cannot assign requested address" in ports.obstacle
        starting.cancel()
        await asyncio.gather(starting, return_exceptions=True)

    _run(main)


def test_port_that_is_not_permitted_fails_and_releases_the_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main(world: _World) -> None:
        free, odd = _free_address(), _free_address()
        bind = socket.socket.bind

        def refuse(listener: socket.socket, address: typing.Any) -> None:
            if address == (odd.host, odd.port):
                raise PermissionError(errno.EACCES, "Permission denied")
            bind(listener, address)

        monkeypatch.setattr(socket.socket, "bind", refuse)
        ports = world.make(free=free, odd=odd)
        text = f"cannot listen for odd at {odd}: Permission denied"
        with pytest.raises(OSError, match=text):
            await ports.start()
        assert _can_bind(free)

    _run(main)


def test_cancelled_wait_holds_no_port() -> None:
    async def main(world: _World) -> None:
        free = _free_address()
        with _held() as taken:
            ports = world.make(free=free, taken=taken)
            starting = asyncio.create_task(ports.start())
            await world.sleep(1)
            starting.cancel()
            await asyncio.gather(starting, return_exceptions=True)
        assert _can_bind(free)

    _run(main)


def test_ports_that_no_server_took_over_are_released_by_the_stop() -> None:
    async def main(world: _World) -> None:
        free = _free_address()
        ports = world.make(free=free)
        await ports.start()
        assert not _can_bind(free)
        await ports.stop()
        assert _can_bind(free)

    _run(main)


def test_port_that_another_socket_listens_on_after_both_bound_it_is_awaited(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main(world: _World) -> None:
        listen = socket.socket.listen
        with socket.socket() as rival:
            rival.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            rival.bind((LOOPBACK, 0))
            address = settings.Address(LOOPBACK, rival.getsockname()[1])

            def listen_second(listener: socket.socket, backlog: int) -> None:
                listen(rival)
                listen(listener, backlog)

            monkeypatch.setattr(socket.socket, "listen", listen_second)
            ports = world.make(contested=address)
            starting = asyncio.create_task(ports.start())
            await world.sleep(1)
            monkeypatch.undo()
            assert not starting.done()
            assert "Address already in use" in ports.obstacle
        await starting
        ports.take("contested").close()

    _run(main)


class _Server(service_manager.Service):
    name = "metrics"

    def __init__(self) -> None:
        self.calls: list[str] = []

    async def start(self) -> None:
        self.calls.append("start")

    async def stop(self) -> None:
        self.calls.append("stop")


def test_server_in_the_background_starts_once_its_port_is_free() -> None:
    async def main(world: _World) -> None:
        server = _Server()
        with _held() as taken:
            background = listening_ports.BackgroundServer(
                world.make(metrics_port=taken), server
            )
            await background.start()
            await world.sleep(30)
            assert server.calls == []
        await world.sleep(1)
        assert server.calls == ["start"]
        await background.stop()
        assert server.calls == ["start", "stop"]
        assert _can_bind(taken)

    _run(main)


def test_server_in_the_background_that_waits_can_be_stopped() -> None:
    async def main(world: _World) -> None:
        server = _Server()
        with _held() as taken:
            background = listening_ports.BackgroundServer(
                world.make(metrics_port=taken), server
            )
            await background.start()
            await world.sleep(1)
            await background.stop()
        await world.sleep(1)
        assert "start" not in server.calls

    _run(main)
