"""The admin port: bad input, sizes and tokens, and what the user reads."""

import asyncio
import json
import pathlib
import typing

import aiohttp
from returns import result

from balsamramp_client import api
from balsamramp_node.process import app
from balsamramp_testing import loopback_fleet

SERVICE = {"kind": "service", "name": "caja"}
GOOD = {"service": "caja", "url": "http://127.0.0.1:9"}
OPERATOR = {"authorization": "Bearer operator-secret"}
TARGET = {"authorization": "Bearer target-secret"}
CHANGES = "/v1/changes"
CAJA = "/v1/targets/caja-1"


def _announcement(**changed: typing.Any) -> str:
    return json.dumps({**GOOD, **changed})


def _change(**changed: typing.Any) -> str:
    return json.dumps({"author": "ana", **changed})


# Method, path, body, status, and a text in the answer.
REQUESTS = (
    ("PUT", CAJA, _announcement(), 200, '"state": "ready"'),
    ("PUT", CAJA, _announcement(service=7), 400, "$.service"),
    ("PUT", CAJA, _announcement(service=""), 400, "service is empty"),
    ("PUT", CAJA, _announcement(url="ftp://x"), 400, "url 'ftp://x' does"),
    ("PUT", CAJA, _announcement(labels=[1]), 400, "$.labels"),
    ("PUT", CAJA, _announcement(labels={"a b": "1"}), 400, "label key 'a b'"),
    ("PUT", CAJA, _announcement(lables={}), 400, "unknown field 'lables'"),
    ("PUT", CAJA, '{"service": "caja"}', 400, "`url`"),
    ("PUT", CAJA, "{", 400, "malformed JSON"),
    ("PUT", CAJA, "[]", 400, "the body is not a JSON object"),
    ("PUT", CAJA, " " * 70_000, 413, "body is over 65536 bytes"),
    ("PUT", "/v1/targets/a%20b", _announcement(), 400, "target 'a b' has"),
    ("POST", "/v1/targets/x/drain", "", 404, "no target x"),
    ("DELETE", "/v1/targets/x", "", 404, "no target x"),
    ("POST", CHANGES, "{", 400, "malformed JSON"),
    ("POST", CHANGES, " " * 4_200_000, 413, "body is over 4194304 bytes"),
    ("POST", CHANGES, _change(put=[]), 422, "unknown field 'put'"),
    ("POST", CHANGES, _change(puts={}), 422, "puts is not a list"),
    ("POST", CHANGES, _change(puts=[3]), 422, "not a JSON object"),
    ("POST", CHANGES, _change(puts=[{}]), 422, "lacks its 'kind'"),
    ("POST", CHANGES, _change(puts=[{}] * 10_001), 422, "more than 10000"),
    ("POST", CHANGES, _change(deletes=["x"]), 422, "not [kind, name]"),
    ("POST", CHANGES, _change(deletes=[["x", "y"]]), 422, "no kind 'x'"),
    ("POST", CHANGES, _change(author=1), 422, "author is not a string"),
    ("POST", CHANGES, _change(author="a" * 200), 422, "longer than 128"),
    ("POST", CHANGES, _change(base_version=-1), 422, "base_version is not"),
    ("POST", CHANGES, _change(base_version=True), 422, "base_version is not"),
    ("POST", CHANGES, _change(), 422, "puts and deletes are both empty"),
    ("POST", CHANGES, _change(puts=[SERVICE]), 200, '"version": 1'),
    ("GET", CHANGES, "", 400, "after"),
    ("GET", CHANGES + "?after=0", "", 200, '"version":1'),
    ("GET", "/v1/nothing", "", 404, ""),
    ("PUT", "/v1/status", "", 405, ""),
)


def _admin(node: app.Node) -> str:
    return f"http://{node.addresses().admin}"


async def _send_requests(directory: pathlib.Path) -> None:
    async with (
        loopback_fleet.LoopbackFleet(directory) as deployment,
        aiohttp.ClientSession() as session,
    ):
        node = await deployment.start_node("n1", "zone-a")
        for method, path, body, status, expected in REQUESTS:
            async with session.request(
                method, _admin(node) + path, data=body
            ) as response:
                text = await response.text()
            assert response.status == status, (path, body[:80], text)
            assert expected in text, (path, body[:80], text)


async def _send_tokens(directory: pathlib.Path) -> None:
    extra = "[security]\n"
    for who in ("operator", "target"):
        path = directory / who
        path.write_text(f"{who}-secret\n", encoding="utf-8")
        extra += f"{who}_token_file = {path}\n"
    cases = (
        ("GET", "/v1/status", {}, 401),
        ("GET", "/v1/status", TARGET, 401),
        ("GET", "/v1/status", {"authorization": "Bearer "}, 401),
        ("GET", "/v1/status", {"authorization": "operator-secret"}, 401),
        ("GET", "/v1/status", OPERATOR, 200),
        ("GET", "/v1/dump", {}, 401),
        ("GET", "/v1/names", {}, 401),
        ("GET", "/v1/configuration", {}, 401),
        ("GET", "/v1/changes?after=0", {}, 401),
        ("POST", "/v1/changes", TARGET, 401),
        ("POST", "/v1/changes", OPERATOR, 422),
        ("PUT", "/v1/targets/caja-1", {}, 401),
        ("PUT", "/v1/targets/caja-1", OPERATOR, 401),
        ("PUT", "/v1/targets/caja-1", TARGET, 400),
        ("POST", "/v1/targets/caja-1/drain", {}, 401),
        ("DELETE", "/v1/targets/caja-1", TARGET, 404),
    )
    async with (
        loopback_fleet.LoopbackFleet(directory) as deployment,
        aiohttp.ClientSession() as session,
    ):
        node = await deployment.start_node("n1", "zone-a", extra)
        for method, path, headers, status in cases:
            async with session.request(
                method, _admin(node) + path, headers=headers, data="{}"
            ) as response:
                text = await response.text()
            assert response.status == status, (method, path, text)
        refused = await api.NodeApi([_admin(node)]).view("status")
        assert refused.failure().message == (
            "operators' token is missing or wrong"
        )
        admitted = api.NodeApi([_admin(node)], "operator-secret")
        assert isinstance(await admitted.view("status"), result.Success)


async def _send_endless_headers(directory: pathlib.Path) -> None:
    async with loopback_fleet.LoopbackFleet(directory) as deployment:
        node = await deployment.start_node("n1", "zone-a")
        bound = node.addresses()
        for address in (bound.admin, bound.call, bound.metrics):
            reader, writer = await asyncio.open_connection(
                address.host, address.port
            )
            writer.write(b"GET / HTTP/1.1\r\nhost: x\r\nlong: ")
            answer = asyncio.create_task(reader.read(4096))
            sent = 0
            while not answer.done() and sent < 4_000_000:
                writer.write(b"a" * 20_000)
                sent += 20_000
                await asyncio.sleep(0.001)
            writer.close()
            assert sent < 4_000_000
            assert b"400 Bad Request" in await answer


def test_bad_requests_are_refused_with_the_field_named(
    tmp_path: pathlib.Path,
) -> None:
    asyncio.run(_send_requests(tmp_path))


def test_requests_without_their_token_are_refused(
    tmp_path: pathlib.Path,
) -> None:
    asyncio.run(_send_tokens(tmp_path))


def test_headers_without_end_are_refused(tmp_path: pathlib.Path) -> None:
    asyncio.run(_send_endless_headers(tmp_path))
