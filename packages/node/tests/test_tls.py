"""TLS: calls between nodes and from callers, and wrong certificates."""

import asyncio
import pathlib
import ssl

import aiohttp
import pytest
import trustme

from balsamramp_client import api
from balsamramp_core import clock
from balsamramp_core import service_manager
from balsamramp_core import settings
from balsamramp_node.process import app
from balsamramp_node.process import options
from balsamramp_testing import loopback_fleet

# An address kept for documentation, which no machine has.
UNBINDABLE = "192.0.2.1"
ANNOUNCEMENT = {"service": "caja", "url": "http://127.0.0.1:9"}
CHANGE = {
    "author": "ana",
    "puts": [
        {"kind": "service", "name": "caja"},
        {"kind": "route", "name": "caja-all", "service": "caja"},
    ],
}


def _node_section(directory: pathlib.Path, authority: trustme.CA) -> str:
    leaf = authority.issue_cert("127.0.0.1")
    lines = ["[tls]"]
    for name, blob in (
        ("node_key", leaf.private_key_pem),
        ("node_certificate", leaf.cert_chain_pems[0]),
        ("node_ca", authority.cert_pem),
    ):
        path = directory / f"{name}-{id(authority)}.pem"
        blob.write_to_path(path)
        lines.append(f"{name} = {path}")
    return "\n".join(lines)


async def _members(node: app.Node) -> list[str]:
    nodes = api.NodeApi([f"http://{node.addresses().admin}"])
    status = (await nodes.view("status")).unwrap()
    return [item["node"] for item in status["nodes"]]


async def _until_members(node: app.Node, count: int) -> None:
    for _ in range(200):
        if len(await _members(node)) == count:
            return
        await asyncio.sleep(0.02)
    raise AssertionError(await _members(node))


async def _join(directory: pathlib.Path) -> None:
    good = trustme.CA()
    wrong = trustme.CA()
    async with loopback_fleet.LoopbackFleet(directory) as deployment:
        section = _node_section(directory, good)
        first = await deployment.start_node("n1", "zone-a", section)
        second = await deployment.start_node("n2", "zone-b", section)
        await _until_members(first, 2)
        await _until_members(second, 2)
        stranger = await deployment.start_node(
            "n3", "zone-a", _node_section(directory, wrong)
        )
        plain = await deployment.start_node("n4", "zone-a")
        await asyncio.sleep(1)
        assert await _members(stranger) == ["n3"]
        assert await _members(plain) == ["n4"]
        assert await _members(first) == ["n1", "n2"]
        await _call_over_tls(first, second)
        await _open_stream(first, None, (OSError, asyncio.IncompleteReadError))
        trusting = ssl.create_default_context()
        good.configure_trust(trusting)
        await _open_stream(
            first, trusting, (OSError, asyncio.IncompleteReadError)
        )


async def _call_over_tls(caller: app.Node, owner: app.Node) -> None:
    """Reach a target that does not listen through the node in front."""
    async with aiohttp.ClientSession() as session:
        async with session.put(
            f"http://{owner.addresses().admin}/v1/targets/caja-1",
            json=ANNOUNCEMENT,
        ) as response:
            assert response.status == 200
        nodes = api.NodeApi([f"http://{caller.addresses().admin}"])
        (await nodes.submit(CHANGE)).unwrap()
        for _ in range(100):
            async with session.get(
                f"http://{caller.addresses().call}/",
                headers={"balsamramp-service": "caja"},
            ) as response:
                answer = await response.json()
            if answer["reason"] == "target-failed":
                break
            await asyncio.sleep(0.02)
        assert answer["reason"] == "target-failed", answer
        assert answer["verdict"] == "not-run"


async def _open_stream(
    node: app.Node,
    security: ssl.SSLContext | None,
    refusals: tuple[type[Exception], ...],
) -> None:
    address = node.addresses().stream
    with pytest.raises(refusals):
        reader, writer = await asyncio.open_connection(
            address.host, address.port, ssl=security
        )
        writer.write(b"\0\0\0\1\2\0")
        await reader.readexactly(1)


async def _call_from_outside(directory: pathlib.Path) -> None:
    authority = trustme.CA()
    leaf = authority.issue_cert("127.0.0.1")
    key = directory / "key.pem"
    certificate = directory / "certificate.pem"
    leaf.private_key_pem.write_to_path(key)
    leaf.cert_chain_pems[0].write_to_path(certificate)
    extra = f"[tls]\ncaller_key = {key}\ncaller_certificate = {certificate}"
    trusting = ssl.create_default_context()
    authority.configure_trust(trusting)
    async with (
        loopback_fleet.LoopbackFleet(directory) as deployment,
        aiohttp.ClientSession() as session,
    ):
        node = await deployment.start_node("n1", "zone-a", extra)
        bound = node.addresses()
        nodes = api.NodeApi([f"https://{bound.admin}"], "", trusting)
        assert (await nodes.view("status")).unwrap()["node"] == "n1"
        distrusting = api.NodeApi([f"https://{bound.admin}"])
        refused = (await distrusting.view("status")).failure()
        assert "certificate verify failed" in refused.message
        async with session.get(
            f"https://{bound.call}/", ssl=trusting
        ) as response:
            assert response.headers["balsamramp-verdict"] == "not-run"
        with pytest.raises(aiohttp.ClientError):
            await session.get(f"http://{bound.call}/")


def test_nodes_join_and_call_only_with_certificates_of_one_authority(
    tmp_path: pathlib.Path,
) -> None:
    asyncio.run(_join(tmp_path))


async def _start_beyond_loopback() -> None:
    text = loopback_fleet.SETTINGS.format(
        name="n1", zone="zone-a", platform="http://x", seeds="", extra=""
    ).replace("127.0.0.1", UNBINDABLE)
    checked = settings.parse(text, "node.ini", options.OPTIONS).unwrap()
    node = app.Node(checked, clock.SystemClock())
    with pytest.raises(service_manager.StartError):
        await node.start()


def test_node_beyond_loopback_says_that_it_talks_no_tls(
    caplog: pytest.LogCaptureFixture,
) -> None:
    asyncio.run(_start_beyond_loopback())
    assert f"traffic between nodes on {UNBINDABLE} is not TLS" in caplog.text
    assert f"traffic of callers on {UNBINDABLE} is not TLS" in caplog.text


def test_callers_and_operators_talk_tls(tmp_path: pathlib.Path) -> None:
    asyncio.run(_call_from_outside(tmp_path))
