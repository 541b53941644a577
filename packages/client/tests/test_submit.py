"""Concurrent changes by two operators, and lost responses.

Guards against lost updates, where a change computed from an older version
overwrites a later one, and against a change that is accepted twice because
the client repeats it after the response was lost.
"""

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

SERVICE_CHANGE: dict[str, typing.Any] = {
    "author": "ana",
    "puts": [{"kind": "service", "name": "caja"}],
}


def _labels_change(
    author: str, base: int, **labels: str
) -> dict[str, typing.Any]:
    item = {"kind": "labels", "name": "caja-1", "labels": labels}
    return {"author": author, "base_version": base, "puts": [item]}


@contextlib.asynccontextmanager
async def _response_dropping_proxy(
    target: settings.Address, drop_request: bool
) -> abc.AsyncIterator[str]:
    """Yield the URL of a proxy that drops every response.

    With ``drop_request`` it closes the connection without forwarding the
    request; otherwise ``target`` receives the request.
    """

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if not drop_request:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                target.host, target.port
            )
            upstream_writer.write(await reader.read(65536))
            await upstream_reader.read(1)
            upstream_writer.close()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    try:
        yield f"http://127.0.0.1:{port}"
    finally:
        server.close()


async def _submit_conflicting_changes(directory: pathlib.Path) -> None:
    async with loopback_fleet.LoopbackFleet(directory) as fleet:
        node = await fleet.start_node("n1", "zone-a")
        nodes = api.NodeApi([f"http://{node.addresses().admin}"])
        assert (await nodes.submit(SERVICE_CHANGE)).unwrap()["version"] == 1
        assert (await nodes.submit(_labels_change("ana", 1, a="1"))).unwrap()
        rejected = (
            await nodes.submit(_labels_change("eva", 1, b="2"))
        ).failure()
        assert rejected.kind is api.ErrorKind.CONFLICT
        assert rejected.message == (
            "changed since version 1: labels/caja-1 in 2 by ana"
        )
        conflicts = [
            (item["version"], item["author"]) for item in rejected.changes
        ]
        assert conflicts == [(2, "ana")]
        assert rejected.changes[0]["puts"][0]["labels"] == {"a": "1"}
        unrelated = {**SERVICE_CHANGE, "base_version": 1}
        assert (await nodes.submit(unrelated)).unwrap()["version"] == 3
        unknown_base = (await nodes.submit(_labels_change("eva", 9))).failure()
        assert unknown_base.kind is api.ErrorKind.CONFLICT
        assert (
            unknown_base.message
            == "version 9 is too old or unknown; look again"
        )
        current = (await nodes.configuration()).unwrap()
        (item,) = current.of_kind("labels")
        assert getattr(item, "labels") == {"a": "1"}  # noqa: B009


async def _run_conflicting_command(
    directory: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    fetch_configuration = api.NodeApi.configuration

    async def read_before_concurrent_change(node: api.NodeApi) -> typing.Any:
        fetched = await fetch_configuration(node)
        base = fetched.unwrap().version
        (await node.submit(_labels_change("ana", base, a="1"))).unwrap()
        return fetched

    async with loopback_fleet.LoopbackFleet(directory) as fleet:
        node = await fleet.start_node("n1", "zone-a")
        url = f"http://{node.addresses().admin}"
        monkeypatch.setattr(
            api.NodeApi, "configuration", read_before_concurrent_change
        )
        arguments = ["--node", url, "label", "caja-1", "b=2"]
        assert await cmdline.execute(arguments) == 3
        text = capsys.readouterr().err
        assert "changed since version 0: labels/caja-1" in text
        assert "  version 1 by ana at 2" in text


async def _submit_with_lost_responses(directory: pathlib.Path) -> None:
    async with loopback_fleet.LoopbackFleet(directory) as fleet:
        node = await fleet.start_node("n1", "zone-a")
        other = await fleet.start_node("n2", "zone-b")
        admin = node.addresses().admin
        other_url = f"http://{other.addresses().admin}"
        for expected, drop_request in enumerate((False, True), start=1):
            async with _response_dropping_proxy(admin, drop_request) as proxy:
                nodes = api.NodeApi([proxy, other_url])
                accepted = (await nodes.submit(SERVICE_CHANGE)).unwrap()
                assert accepted["version"] == expected
                viewed = (await nodes.view("status")).unwrap()
                assert viewed["node"] == "n2"
        async with _response_dropping_proxy(admin, False) as proxy:
            change = {**SERVICE_CHANGE, "change_id": "third"}
            error = (await api.NodeApi([proxy]).submit(change)).failure()
        assert error.kind is api.ErrorKind.UNKNOWN
        assert "repeat with --change-id third" in error.message
        repeated = await api.NodeApi([other_url]).submit(change)
        assert isinstance(repeated, result.Success)
        assert repeated.unwrap()["version"] == 3


def test_conflicting_change_is_rejected_without_a_lost_update(
    tmp_path: pathlib.Path,
) -> None:
    asyncio.run(_submit_conflicting_changes(tmp_path))


def test_command_exits_with_conflict_after_concurrent_change(
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    asyncio.run(_run_conflicting_command(tmp_path, monkeypatch, capsys))


def test_repeat_after_a_lost_response_is_accepted_once(
    tmp_path: pathlib.Path,
) -> None:
    asyncio.run(_submit_with_lost_responses(tmp_path))
