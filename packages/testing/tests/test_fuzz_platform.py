"""Answers of the platform and bodies of requests that are malformed."""

import asyncio
import datetime
import random
import typing

import falcon
import falcon.asgi
import falcon.testing
import hypothesis
from hypothesis import strategies
import pytest
from returns import result

from balsamramp_core import storage
from balsamramp_node.configuration import accepted_log
from balsamramp_node.process import http_storage
from balsamramp_node.process import request_bodies
from balsamramp_testing import memory_platform
from balsamramp_testing import virtual_time

FUZZ = hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
DEEP = b"[" * 100_000 + b"]" * 100_000
MALFORMED = (
    b"",
    b"<html>proxy error</html>",
    b"[]",
    b"{}",
    b'{"rows": 5}',
    b'{"rows": [{"key": "a", "value": "%", "revision": 1}]}',
    b'{"keys": [5]}',
    DEEP,
)
UNAVAILABLE = storage.StorageErrorKind.UNAVAILABLE
BODY_MAX_BYTES = 1024 * 1024


class _Client(http_storage.HttpStorageClient):
    def __init__(self, status: int, body: bytes) -> None:
        super().__init__("http://platform", datetime.timedelta(seconds=1))
        self._answer = (status, body)

    async def request(
        self, method: str, path: str, **arguments: typing.Any
    ) -> result.Result[tuple[int, bytes], storage.StorageError]:
        return result.Success(self._answer)


async def _answers(body: bytes) -> list[result.Result[typing.Any, typing.Any]]:
    client = _Client(200, body)
    table = http_storage.HttpTable(client)
    objects = http_storage.HttpObjectStore(client)
    return [
        await table.read("a"),
        await table.scan("a", "", 5),
        await objects.list("a"),
    ]


@pytest.mark.parametrize("body", MALFORMED, ids=lambda body: repr(body[:20]))
def test_malformed_answer_is_no_answer(body: bytes) -> None:
    for answer in asyncio.run(_answers(body)):
        assert answer.failure().kind is UNAVAILABLE


@FUZZ
@hypothesis.given(strategies.binary(max_size=40))
def test_any_answer_is_read_or_refused(body: bytes) -> None:
    for answer in asyncio.run(_answers(body)):
        assert isinstance(answer, result.Success) or answer.failure().message


async def _head_of(value: bytes) -> result.Result[typing.Any, typing.Any]:
    time = virtual_time.VirtualClock()
    faults = memory_platform.Faults()
    table = memory_platform.MemoryTable(faults, time)
    objects = memory_platform.MemoryObjectStore(faults, time)
    write = storage.Write(accepted_log.HEAD_KEY, value)
    await table.commit(storage.Transaction((), (write,)))
    return await accepted_log.AcceptedLog(table, objects).read_head()


@pytest.mark.parametrize("value", [b"", b"[]", b'{"version": "x"}', b"\xff"])
def test_malformed_head_is_no_head(value: bytes) -> None:
    read = virtual_time.run(_head_of(value))
    assert read.failure().kind is UNAVAILABLE


class _Echo:
    async def on_post(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        resp.media = await request_bodies.read_json(req, BODY_MAX_BYTES)


@pytest.mark.parametrize("body", [DEEP, b"{", b"[]", b"\xff", b'{"a": }'])
def test_malformed_body_is_a_bad_request(body: bytes) -> None:
    application = falcon.asgi.App()
    application.add_route("/", _Echo())
    client = falcon.testing.TestClient(application)
    assert client.simulate_post("/", body=body).status_code == 400


def test_random_bodies_are_answered() -> None:
    application = falcon.asgi.App()
    application.add_route("/", _Echo())
    client = falcon.testing.TestClient(application)
    choice = random.Random(1)
    for _ in range(50):
        body = choice.randbytes(choice.randrange(40))
        answer = client.simulate_post("/", body=body)
        assert answer.status_code in (200, 400)
