"""Entries of other writers: nested deeply, with huge numbers, odd addresses.

A process must neither end by them nor stop following the store.
"""

import asyncio
import base64
import contextlib
import datetime
import pathlib
import typing
import zlib

import aiohttp
import heartbeat_api
import hypothesis
from hypothesis import strategies
import json_object
import msgspec
import pytest
from returns import result
import sidecar_fleet
import store_client
import store_intent_source
import store_outcome_publisher

from balsamramp_core import decoding
from balsamramp_core import metrics
from balsamramp_core import settings
from balsamramp_core import storage
from balsamramp_node.inbound import targets
from balsamramp_node.membership import member_codec
from balsamramp_node.membership import member_list
from balsamramp_node.membership import table_discovery
from balsamramp_testing import member_fixture
from balsamramp_testing import virtual_time
from balsamramp_wire import frames

DEPTH = 100_000
HEADER_PREFIX = "X-Balsamramp-"
FUZZ = hypothesis.settings(max_examples=60, deadline=None)
BOMBS = [b"[" * DEPTH, b'{"a":' * DEPTH, b"[" * DEPTH + b"]" * DEPTH]
ODD_VALUES: list[typing.Any] = [
    None,
    True,
    -1,
    10**30,
    10**400,
    1e308,
    -1e308,
    "",
    "x" * 10_000,
    "\x00",
    "host:99999999",
    [],
    {},
    [[[[]]]],
]
HEARTBEAT = {
    "service": "caja",
    "address": "127.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "warmupLeftMs": 0,
    "sequence": 1,
    "born": 1_700_000_000_000,
}
ROLLOUT = {"service": "caja", "to": "v2", "durationS": 10}
MEMBER = {"address": {"host": "127.0.0.1", "port": 80}, "incarnation": 1}


def _encode(document: typing.Any) -> bytes:
    """Encode like ``json.dumps``, which has no limit on numbers."""
    try:
        return msgspec.json.encode(document)
    except msgspec.MsgspecError:
        return repr(document).replace("'", '"').encode()


def _with_odd_field(
    document: dict[str, typing.Any],
) -> strategies.SearchStrategy[bytes]:
    """Return entries with one odd value, or none that can be read."""

    def replaced(name: str, value: typing.Any) -> bytes:
        return _encode({**document, name: value})

    return strategies.one_of(
        strategies.builds(
            replaced,
            strategies.sampled_from(sorted(document)),
            strategies.sampled_from(ODD_VALUES),
        ),
        strategies.sampled_from(BOMBS),
        strategies.binary(max_size=40),
    )


class _Membership:
    def set_targets(self, records: object) -> None:
        """Ignore the records."""


async def _heartbeat_status(body: bytes) -> int:
    local = targets.LocalTargets(
        typing.cast(typing.Any, _Membership()),
        virtual_time.VirtualClock(),
        metrics.Metrics(),
        datetime.timedelta(seconds=6),
    )
    api = heartbeat_api.HeartbeatApi(local, "127.0.0.1:80")
    sent: list[dict[str, typing.Any]] = []

    async def receive() -> dict[str, typing.Any]:
        return {"type": "http.request", "body": body}

    async def send(event: dict[str, typing.Any]) -> None:
        sent.append(event)

    scope = {"path": "/v1/instances/i-1/heartbeat", "method": "POST"}
    await api(scope, receive, send)
    return int(sent[0]["status"])


@FUZZ
@hypothesis.given(body=_with_odd_field(HEARTBEAT))
def test_odd_heartbeat_is_answered(body: bytes) -> None:
    async def main() -> None:
        assert await _heartbeat_status(body) in (200, 400)

    virtual_time.run(main())


class _Client:
    """Returns the given rows for each read of the store."""

    era = 0

    def __init__(self, rows: list[dict[str, typing.Any]]) -> None:
        self._rows = rows

    async def get(
        self, path: str, query: object, timeout: object = None
    ) -> result.Result[store_client.StoreReply, storage.StorageError]:
        document = {"rows": self._rows, "ver": 5}
        found = json_object.JsonObject(document, "response")
        return result.Success(store_client.StoreReply(found, self.era))


def _row(key: str, value: bytes) -> dict[str, typing.Any]:
    encoded = base64.b64encode(value).decode()
    return {"table": "t", "part": "", "key": key, "ver": 3, "value": encoded}


@FUZZ
@hypothesis.given(
    rollout=_with_odd_field(ROLLOUT),
    odd_row=strategies.sampled_from(
        [{}, None, 7, {"key": 1}, {"key": "rollout/x", "ver": 10**400}]
    ),
)
def test_odd_order_does_not_keep_the_configuration_from_being_read(
    rollout: bytes, odd_row: typing.Any
) -> None:
    rows = [
        _row("config", msgspec.json.encode(sidecar_fleet.configuration(3))),
        odd_row,
        _row("rollout/caja", rollout),
    ]

    async def main() -> None:
        source = store_intent_source.StoreIntentSource(
            typing.cast(store_client.StoreClient, _Client(rows))
        )
        read = await source.next(datetime.timedelta(seconds=1))
        found = read.unwrap()
        assert found is not None
        assert found.label == "3"

    asyncio.run(main())


@FUZZ
@hypothesis.given(
    config=_with_odd_field(sidecar_fleet.configuration(4)),
)
def test_odd_configuration_is_rejected_as_a_whole(config: bytes) -> None:
    async def main() -> None:
        rows = [
            _row("config", msgspec.json.encode(sidecar_fleet.configuration(3)))
        ]
        client = _Client(rows)
        source = store_intent_source.StoreIntentSource(
            typing.cast(store_client.StoreClient, client)
        )
        await source.next(datetime.timedelta(seconds=1))
        rows[0] = {**_row("config", config), "ver": 4}
        read = await source.next(datetime.timedelta(seconds=1))
        found = read.unwrap()
        assert found is None or found.label in ("3", "4") or found.resources

    asyncio.run(main())


class _Table(storage.Table):
    def __init__(self, value: bytes) -> None:
        self._value = value

    async def read(
        self, key: str
    ) -> result.Result[storage.Row | None, storage.StorageError]:
        return result.Success(storage.Row(key, self._value, 1))

    async def scan(
        self, prefix: str, after: str, limit: int
    ) -> result.Result[list[storage.Row], storage.StorageError]:
        valid = msgspec.json.encode(MEMBER)
        return result.Success(
            [
                storage.Row("members/z/odd", self._value, 1),
                storage.Row("members/z/valid", valid, 1),
            ]
        )

    async def commit(
        self, transaction: storage.Transaction
    ) -> result.Result[None, storage.StorageError]:
        return result.Success(None)


@FUZZ
@hypothesis.given(
    value=_with_odd_field(MEMBER)
    | strategies.sampled_from(ODD_VALUES).map(
        lambda port: _encode(
            {**MEMBER, "address": {"host": "127.0.0.1", "port": port}}
        )
    )
    | strategies.sampled_from(ODD_VALUES).map(
        lambda host: _encode({**MEMBER, "address": {"host": host, "port": 1}})
    )
)
def test_odd_entry_of_a_node_hides_no_other(value: bytes) -> None:
    own = member_fixture.make_member("own")

    async def main() -> None:
        discovery = table_discovery.TableDiscovery(
            own,
            _Table(value),
            member_list.MemberList(),
            virtual_time.VirtualClock(),
            typing.cast(typing.Any, None),
        )
        found = await discovery.read()
        assert settings.Address("127.0.0.1", 80) in found
        for item in found:
            assert 0 <= item.port <= settings.PORT_MAX
            item.host.encode("idna")

    virtual_time.run(main())


@pytest.mark.parametrize("value", [*BOMBS, b"", b"{}", b'{"state":7}'])
def test_odd_status_is_no_outcome(value: bytes) -> None:
    rows = {"rows": [_row("rollout/caja", value)]}
    reply = store_client.StoreReply(
        json_object.JsonObject(rows, "response"), 0
    )
    status = store_outcome_publisher._read_status(reply)
    assert (status.version, status.state, status.to) == (3, "", "")


@pytest.mark.parametrize(
    "packed",
    [
        b"",
        b"no zlib",
        zlib.compress(b"\x91" * DEPTH),
        zlib.compress(bytes(64 * 1024 * 1024)),
        zlib.compress(b"\x90")[:-2],
    ],
)
def test_odd_members_of_a_peer_are_rejected(packed: bytes) -> None:
    with pytest.raises(decoding.DecodingError):
        member_codec.unpack(packed)


@pytest.mark.parametrize("number", sorted(frames.MESSAGE_TYPES))
def test_deeply_nested_frame_is_rejected(number: int) -> None:
    payload = b"\x81\xa1z" + b"\x91" * DEPTH
    with pytest.raises(frames.FrameError):
        frames.decode(number, payload)


def test_process_follows_the_store_beside_odd_entries(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with sidecar_fleet.SidecarFleet(tmp_path) as fleet:
            store = fleet.store
            store.put("op", "config", sidecar_fleet.configuration(3))
            for number, bomb in enumerate(BOMBS):
                for table, key in (
                    ("op", f"rollout/odd{number}"),
                    ("status", f"rollout/odd{number}"),
                    ("balsamramp", f"members/z-a/odd{number}"),
                    ("balsamramp", f"rollouts/caja/odd{number}"),
                ):
                    store.put_bytes(table, key, bomb)
            odd = {"host": "127.0.0.1", "port": 99_999_999}
            store.put(
                "balsamramp", "members/z-a/p", {**MEMBER, "address": odd}
            )
            first = await fleet.start("first")
            await fleet.start("second", "catalogo")
            await fleet.wait_until_ready()
            for bomb in BOMBS:
                await _post_raw(first, bomb)
            for version in (5, 7):
                store.put_bytes("op", "rollout/caja", BOMBS[0])
                store.put("op", "config", sidecar_fleet.configuration(version))
                await asyncio.sleep(2.5)
            for sidecar in fleet.sidecars:
                assert sidecar.process.returncode is None
                assert '"label":"7"' in sidecar.log() or (
                    '"event":"configuration"' in sidecar.log()
                )
                assert '"level":"ERROR"' not in sidecar.log()

    asyncio.run(main())


async def _post_raw(
    sidecar: sidecar_fleet.SidecarProcess, body: bytes
) -> None:
    url = f"http://{sidecar.address('control')}/v1/instances/i/heartbeat"
    async with aiohttp.ClientSession() as session:
        with contextlib.suppress(aiohttp.ClientError):
            async with session.post(url, data=body) as answer:
                assert answer.status == 400
