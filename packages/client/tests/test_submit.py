"""Races between operators, and answers that are lost on their way."""

import asyncio
from collections import abc
import contextlib
import pathlib
import typing

import pytest
from returns import result

from balsamramp_client import api
from balsamramp_client import cmdline
from balsamramp_core import settings
from balsamramp_testing import loopback_fleet

SERVICE: dict[str, typing.Any] = {
    "author": "ana",
    "puts": [{"kind": "service", "name": "caja"}],
}


def _labels(author: str, base: int, **labels: str) -> dict[str, typing.Any]:
    item = {"kind": "labels", "name": "caja-1", "labels": labels}
    return {"author": author, "base_version": base, "puts": [item]}


@contextlib.asynccontextmanager
async def _losing_answers(
    target: settings.Address, stop_before: bool
) -> abc.AsyncIterator[str]:
    """Yield the URL of a relay that hands on requests, never answers."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if not stop_before:
            onward, back = await asyncio.open_connection(
                target.host, target.port
            )
            back.write(await reader.read(65536))
            await onward.read(1)
            back.close()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    try:
        yield f"http://127.0.0.1:{port}"
    finally:
        server.close()


async def _race(directory: pathlib.Path) -> None:
    async with loopback_fleet.LoopbackFleet(directory) as deployment:
        node = await deployment.start_node("n1", "zone-a")
        nodes = api.NodeApi([f"http://{node.addresses().admin}"])
        assert (await nodes.submit(SERVICE)).unwrap()["version"] == 1
        assert (await nodes.submit(_labels("ana", 1, a="1"))).unwrap()
        later = (await nodes.submit(_labels("eva", 1, b="2"))).failure()
        assert later.kind is api.ErrorKind.CONFLICT
        assert later.message == (
            "changed since version 1: labels/caja-1 in 2 by ana"
        )
        seen = [(item["version"], item["author"]) for item in later.changes]
        assert seen == [(2, "ana")]
        assert later.changes[0]["puts"][0]["labels"] == {"a": "1"}
        unrelated = {**SERVICE, "base_version": 1}
        assert (await nodes.submit(unrelated)).unwrap()["version"] == 3
        ahead = (await nodes.submit(_labels("eva", 9))).failure()
        assert ahead.kind is api.ErrorKind.CONFLICT
        assert ahead.message == "version 9 is too old or unknown; look again"
        current = (await nodes.configuration()).unwrap()
        (item,) = current.of_kind("labels")
        assert getattr(item, "labels") == {"a": "1"}  # noqa: B009


async def _race_of_commands(
    directory: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    read = api.NodeApi.configuration

    async def read_then_lose_the_race(node: api.NodeApi) -> typing.Any:
        found = await read(node)
        base = found.unwrap().version
        (await node.submit(_labels("ana", base, a="1"))).unwrap()
        return found

    async with loopback_fleet.LoopbackFleet(directory) as deployment:
        node = await deployment.start_node("n1", "zone-a")
        url = f"http://{node.addresses().admin}"
        monkeypatch.setattr(
            api.NodeApi, "configuration", read_then_lose_the_race
        )
        arguments = ["--node", url, "label", "caja-1", "b=2"]
        assert await cmdline.execute(arguments) == 3
        text = capsys.readouterr().err
        assert "changed since version 0: labels/caja-1" in text
        assert "  version 1 by ana at 2" in text


async def _lose_answers(directory: pathlib.Path) -> None:
    async with loopback_fleet.LoopbackFleet(directory) as deployment:
        node = await deployment.start_node("n1", "zone-a")
        other = await deployment.start_node("n2", "zone-b")
        admin = node.addresses().admin
        others = f"http://{other.addresses().admin}"
        for expected, stop_before in enumerate((False, True), start=1):
            async with _losing_answers(admin, stop_before) as relay:
                nodes = api.NodeApi([relay, others])
                accepted = (await nodes.submit(SERVICE)).unwrap()
                assert accepted["version"] == expected
                viewed = (await nodes.view("status")).unwrap()
                assert viewed["node"] == "n2"
        async with _losing_answers(admin, False) as relay:
            change = {**SERVICE, "change_id": "third"}
            lost = (await api.NodeApi([relay]).submit(change)).failure()
        assert lost.kind is api.ErrorKind.UNKNOWN
        assert "repeat with --change-id third" in lost.message
        again = await api.NodeApi([others]).submit(change)
        assert isinstance(again, result.Success)
        assert again.unwrap()["version"] == 3


def test_later_of_two_operators_is_told_and_nothing_is_lost(
    tmp_path: pathlib.Path,
) -> None:
    asyncio.run(_race(tmp_path))


def test_command_that_loses_a_race_exits_with_conflict(
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    asyncio.run(_race_of_commands(tmp_path, monkeypatch, capsys))


def test_repeat_after_a_lost_answer_is_accepted_once(
    tmp_path: pathlib.Path,
) -> None:
    asyncio.run(_lose_answers(tmp_path))
