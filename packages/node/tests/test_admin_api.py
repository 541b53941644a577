"""Admin API: invalid input, size limits, tokens and error messages."""

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
VALID_ANNOUNCEMENT = {"service": "caja", "url": "http://127.0.0.1:9"}
OPERATOR_HEADERS = {"authorization": "Bearer operator-secret"}
TARGET_HEADERS = {"authorization": "Bearer target-secret"}
CHANGES = "/v1/changes"
TARGET = "/v1/targets/caja-1"


def _announcement(**changes: typing.Any) -> str:
    return json.dumps({**VALID_ANNOUNCEMENT, **changes})


def _change(**changes: typing.Any) -> str:
    return json.dumps({"author": "ana", **changes})


# Method, path, body, expected status, expected text in the response.
REQUEST_CASES = (
    ("PUT", TARGET, _announcement(), 200, '"state": "ready"'),
    ("PUT", TARGET, _announcement(service=7), 400, "$.service"),
    ("PUT", TARGET, _announcement(service=""), 400, "service is empty"),
    ("PUT", TARGET, _announcement(url="ftp://x"), 400, "url 'ftp://x' does"),
    ("PUT", TARGET, _announcement(labels=[1]), 400, "$.labels"),
    (
        "PUT",
        TARGET,
        _announcement(labels={"a b": "1"}),
        400,
        "label key 'a b'",
    ),
    ("PUT", TARGET, _announcement(lables={}), 400, "unknown field 'lables'"),
    ("PUT", TARGET, '{"service": "caja"}', 400, "`url`"),
    ("PUT", TARGET, "{", 400, "malformed JSON"),
    ("PUT", TARGET, "[]", 400, "the body is not a JSON object"),
    ("PUT", TARGET, " " * 70_000, 413, "body is over 65536 bytes"),
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


def _admin_url(node: app.Node) -> str:
    return f"http://{node.addresses().admin}"


async def _check_request_cases(directory: pathlib.Path) -> None:
    async with (
        loopback_fleet.LoopbackFleet(directory) as fleet,
        aiohttp.ClientSession() as session,
    ):
        node = await fleet.start_node("n1", "zone-a")
        for method, path, body, status, expected in REQUEST_CASES:
            async with session.request(
                method, _admin_url(node) + path, data=body
            ) as response:
                text = await response.text()
            assert response.status == status, (path, body[:80], text)
            assert expected in text, (path, body[:80], text)


async def _check_token_cases(directory: pathlib.Path) -> None:
    extra = "[security]\n"
    for role in ("operator", "target"):
        path = directory / role
        path.write_text(f"{role}-secret\n", encoding="utf-8")
        extra += f"{role}_token_file = {path}\n"
    cases = (
        ("GET", "/v1/status", {}, 401),
        ("GET", "/v1/status", TARGET_HEADERS, 401),
        ("GET", "/v1/status", {"authorization": "Bearer "}, 401),
        ("GET", "/v1/status", {"authorization": "operator-secret"}, 401),
        ("GET", "/v1/status", OPERATOR_HEADERS, 200),
        ("GET", "/v1/dump", {}, 401),
        ("GET", "/v1/names", {}, 401),
        ("GET", "/v1/configuration", {}, 401),
        ("GET", "/v1/changes?after=0", {}, 401),
        ("POST", "/v1/changes", TARGET_HEADERS, 401),
        ("POST", "/v1/changes", OPERATOR_HEADERS, 422),
        ("PUT", "/v1/targets/caja-1", {}, 401),
        ("PUT", "/v1/targets/caja-1", OPERATOR_HEADERS, 401),
        ("PUT", "/v1/targets/caja-1", TARGET_HEADERS, 400),
        ("POST", "/v1/targets/caja-1/drain", {}, 401),
        ("DELETE", "/v1/targets/caja-1", TARGET_HEADERS, 404),
    )
    async with (
        loopback_fleet.LoopbackFleet(directory) as fleet,
        aiohttp.ClientSession() as session,
    ):
        node = await fleet.start_node("n1", "zone-a", extra)
        for method, path, headers, status in cases:
            async with session.request(
                method, _admin_url(node) + path, headers=headers, data="{}"
            ) as response:
                text = await response.text()
            assert response.status == status, (method, path, text)
        rejected = await api.NodeApi([_admin_url(node)]).view("status")
        assert rejected.failure().message == (
            "operators' token is missing or wrong"
        )
        authorized = api.NodeApi([_admin_url(node)], "operator-secret")
        assert isinstance(await authorized.view("status"), result.Success)


async def _send_unterminated_headers(directory: pathlib.Path) -> None:
    async with loopback_fleet.LoopbackFleet(directory) as fleet:
        node = await fleet.start_node("n1", "zone-a")
        bound = node.addresses()
        for address in (bound.admin, bound.call, bound.metrics):
            reader, writer = await asyncio.open_connection(
                address.host, address.port
            )
            writer.write(b"GET / HTTP/1.1\r\nhost: x\r\nlong: ")
            response_read = asyncio.create_task(reader.read(4096))
            sent_bytes = 0
            while not response_read.done() and sent_bytes < 4_000_000:
                writer.write(b"a" * 20_000)
                sent_bytes += 20_000
                await asyncio.sleep(0.001)
            writer.close()
            assert sent_bytes < 4_000_000
            assert b"400 Bad Request" in await response_read


def test_invalid_request_is_rejected_and_names_the_field(
    tmp_path: pathlib.Path,
) -> None:
    asyncio.run(_check_request_cases(tmp_path))


def test_request_without_the_required_token_is_rejected(
    tmp_path: pathlib.Path,
) -> None:
    asyncio.run(_check_token_cases(tmp_path))


def test_unterminated_headers_are_rejected(tmp_path: pathlib.Path) -> None:
    asyncio.run(_send_unterminated_headers(tmp_path))
