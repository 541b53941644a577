"""TLS between nodes and from callers, and untrusted certificates."""

import asyncio
import pathlib
import ssl

import aiohttp
import pytest
import trustme

from balsamramp_client import api
from balsamramp_core import clock
from balsamramp_core import settings
from balsamramp_node.process import app
from balsamramp_node.process import options
from balsamramp_testing import loopback_fleet

# A documentation address (RFC 5737), to which no machine can bind.
UNBINDABLE = "192.0.2.1"
START_WAIT_SECONDS = 0.5
ANNOUNCEMENT = {"service": "caja", "url": "http://127.0.0.1:9"}
CHANGE = {
    "author": "ana",
    "puts": [
        {"kind": "service", "name": "caja"},
        {"kind": "route", "name": "caja-all", "service": "caja"},
    ],
}


def _tls_section(directory: pathlib.Path, ca: trustme.CA) -> str:
    server_certificate = ca.issue_cert("127.0.0.1")
    lines = ["[tls]"]
    for name, pem in (
        ("node_key", server_certificate.private_key_pem),
        ("node_certificate", server_certificate.cert_chain_pems[0]),
        ("node_ca", ca.cert_pem),
    ):
        path = directory / f"{name}-{id(ca)}.pem"
        pem.write_to_path(path)
        lines.append(f"{name} = {path}")
    return "\n".join(lines)


async def _member_names(node: app.Node) -> list[str]:
    nodes = api.NodeApi([f"http://{node.addresses().admin}"])
    status = (await nodes.view("status")).unwrap()
    return [item["node"] for item in status["nodes"]]


async def _wait_for_members(node: app.Node, count: int) -> None:
    for _ in range(200):
        if len(await _member_names(node)) == count:
            return
        await asyncio.sleep(0.02)
    raise AssertionError(await _member_names(node))


async def _check_joins(directory: pathlib.Path) -> None:
    trusted_ca = trustme.CA()
    other_ca = trustme.CA()
    async with loopback_fleet.LoopbackFleet(directory) as fleet:
        trusted_section = _tls_section(directory, trusted_ca)
        first = await fleet.start_node("n1", "zone-a", trusted_section)
        second = await fleet.start_node("n2", "zone-b", trusted_section)
        await _wait_for_members(first, 2)
        await _wait_for_members(second, 2)
        untrusted_node = await fleet.start_node(
            "n3", "zone-a", _tls_section(directory, other_ca)
        )
        plaintext_node = await fleet.start_node("n4", "zone-a")
        await asyncio.sleep(1)
        assert await _member_names(untrusted_node) == ["n3"]
        assert await _member_names(plaintext_node) == ["n4"]
        assert await _member_names(first) == ["n1", "n2"]
        await _call_over_tls(first, second)
        await _expect_stream_rejected(
            first, None, (OSError, asyncio.IncompleteReadError)
        )
        trusting_context = ssl.create_default_context()
        trusted_ca.configure_trust(trusting_context)
        await _expect_stream_rejected(
            first, trusting_context, (OSError, asyncio.IncompleteReadError)
        )


async def _call_over_tls(
    ingress_node: app.Node, target_node: app.Node
) -> None:
    """Call a target that does not listen, through the other node.

    The response proves that the call reached the target's node over TLS.
    """
    async with aiohttp.ClientSession() as session:
        async with session.put(
            f"http://{target_node.addresses().admin}/v1/targets/caja-1",
            json=ANNOUNCEMENT,
        ) as response:
            assert response.status == 200
        nodes = api.NodeApi([f"http://{ingress_node.addresses().admin}"])
        (await nodes.submit(CHANGE)).unwrap()
        for _ in range(100):
            async with session.get(
                f"http://{ingress_node.addresses().call}/",
                headers={"balsamramp-service": "caja"},
            ) as response:
                response_body = await response.json()
            if response_body["reason"] == "target-failed":
                break
            await asyncio.sleep(0.02)
        assert response_body["reason"] == "target-failed", response_body
        assert response_body["verdict"] == "not-run"


async def _expect_stream_rejected(
    node: app.Node,
    context: ssl.SSLContext | None,
    expected_errors: tuple[type[Exception], ...],
) -> None:
    address = node.addresses().stream
    with pytest.raises(expected_errors):
        reader, writer = await asyncio.open_connection(
            address.host, address.port, ssl=context
        )
        writer.write(b"\0\0\0\1\2\0")
        await reader.readexactly(1)


async def _check_caller_tls(directory: pathlib.Path) -> None:
    ca = trustme.CA()
    server_certificate = ca.issue_cert("127.0.0.1")
    key = directory / "key.pem"
    certificate = directory / "certificate.pem"
    server_certificate.private_key_pem.write_to_path(key)
    server_certificate.cert_chain_pems[0].write_to_path(certificate)
    extra = f"[tls]\ncaller_key = {key}\ncaller_certificate = {certificate}"
    trusting_context = ssl.create_default_context()
    ca.configure_trust(trusting_context)
    async with (
        loopback_fleet.LoopbackFleet(directory) as fleet,
        aiohttp.ClientSession() as session,
    ):
        node = await fleet.start_node("n1", "zone-a", extra)
        addresses = node.addresses()
        nodes = api.NodeApi(
            [f"https://{addresses.admin}"], "", trusting_context
        )
        assert (await nodes.view("status")).unwrap()["node"] == "n1"
        distrusting_client = api.NodeApi([f"https://{addresses.admin}"])
        rejected = (await distrusting_client.view("status")).failure()
        assert "certificate verify failed" in rejected.message
        async with session.get(
            f"https://{addresses.call}/", ssl=trusting_context
        ) as response:
            assert response.headers["balsamramp-verdict"] == "not-run"
        with pytest.raises(aiohttp.ClientError):
            await session.get(f"http://{addresses.call}/")


def test_nodes_join_and_call_only_with_certificates_of_the_same_ca(
    tmp_path: pathlib.Path,
) -> None:
    asyncio.run(_check_joins(tmp_path))


async def _start_outside_loopback() -> None:
    text = loopback_fleet.SETTINGS.format(
        name="n1", zone="zone-a", platform="http://x", seeds="", extra=""
    ).replace("127.0.0.1", UNBINDABLE)
    checked = settings.parse(text, "node.ini", options.OPTIONS).unwrap()
    node = app.Node(checked, clock.SystemClock())
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(START_WAIT_SECONDS):
            await node.start()


def test_node_outside_loopback_warns_about_missing_tls(
    caplog: pytest.LogCaptureFixture,
) -> None:
    asyncio.run(_start_outside_loopback())
    assert f"traffic between nodes on {UNBINDABLE} is not TLS" in caplog.text
    assert f"traffic of callers on {UNBINDABLE} is not TLS" in caplog.text


def test_callers_and_operators_use_tls(tmp_path: pathlib.Path) -> None:
    asyncio.run(_check_caller_tls(tmp_path))
