"""Bytes without end from the store keep a call waiting until its timeout."""

import asyncio
from collections import abc
import datetime
import time

import endless_target
import pytest
import store_client

from balsamramp_core import clock
from balsamramp_core import settings
from balsamramp_core import storage

TIMEOUT = datetime.timedelta(seconds=10)
PROMPT_SECONDS = 2.0
# The limit on a body, and what the socket buffers of both ends can take.
SENT_MAX_BYTES = store_client.RESPONSE_MAX_BYTES + 40_000_000
ERROR_KINDS = storage.StorageErrorKind

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"transfer-encoding: chunked\r\n\r\n"
FILLER = b"x" * 1024
CASES = {
    "header lines": (OK, b"a: b\r\n"),
    "a header line": (OK + b"a: ", FILLER),
    "informational responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "empty lines": (b"", b"\r\n"),
    "a body without a length": (OK + b"\r\n", FILLER),
    "a chunk extension": (CHUNKED + b"1;", FILLER),
    "trailers": (CHUNKED + b"0\r\n", b"a: b\r\n"),
    "no response": (b"", FILLER),
}

Call = abc.Callable[
    [store_client.StoreClient], abc.Awaitable[store_client.StoreResponse]
]


async def _call_endless_store(
    case: str, timeout: datetime.timedelta, call: Call
) -> tuple[storage.StorageErrorKind, float]:
    """Return the error of a call, and the seconds that it took."""
    store = endless_target.EndlessTarget("store", "store")
    store.in_trouble = True
    store.start_bytes, store.unit = CASES[case]
    await store.start()
    address = settings.Address("127.0.0.1", store.port)
    client = store_client.StoreClient(address, timeout, clock.SystemClock())
    started = time.monotonic()
    response = await call(client)
    seconds = time.monotonic() - started
    assert not client._idle_connections
    async with asyncio.timeout(PROMPT_SECONDS):
        while store.endless_responses:  # noqa: ASYNC110
            await asyncio.sleep(0.02)
    assert store.most_sent_bytes < SENT_MAX_BYTES
    await store.stop()
    return response.failure().kind, seconds


def _get(
    client: store_client.StoreClient,
) -> abc.Awaitable[store_client.StoreResponse]:
    return client.get("/v1/rows-get", {})


def _post(
    client: store_client.StoreClient,
) -> abc.Awaitable[store_client.StoreResponse]:
    return client.post("/v1/rows-tx", {})


@pytest.mark.parametrize(
    ("call", "kind"),
    [(_get, ERROR_KINDS.UNAVAILABLE), (_post, ERROR_KINDS.OUTCOME_UNKNOWN)],
)
@pytest.mark.parametrize("case", CASES)
def test_endless_response_of_the_store(
    case: str, call: Call, kind: storage.StorageErrorKind
) -> None:
    error, seconds = asyncio.run(_call_endless_store(case, TIMEOUT, call))
    assert error is kind
    assert seconds < PROMPT_SECONDS
