"""The adapter against a store in memory: what it reads and writes."""

import asyncio
import base64
from collections import abc
import datetime
import gc
import itertools
import types
import typing

import attrs
import configuration_decoder
import fake_store
import heartbeat_api
import msgspec
import pytest
from returns import result
import sidecar_fleet
import store_client
import store_intent_source
import store_outcome_publisher

from balsamramp_core import clock
from balsamramp_core import intents
from balsamramp_core import metrics
from balsamramp_core import settings
from balsamramp_core import storage
from balsamramp_core.resources import entry
from balsamramp_core.resources import organisation
from balsamramp_core.resources import rollout_order
from balsamramp_core.resources import service
from balsamramp_core.resources import zone
from balsamramp_node.inbound import targets
from balsamramp_node.process import decision_log
from balsamramp_node.rollouts import outcome_reporter
from balsamramp_testing import list_sink

TIMEOUT = datetime.timedelta(seconds=5)
POLL_TIME = datetime.timedelta(seconds=2)
LARGE_ROUTES = 1300
KEY = "maj3nr26tta828m82thh"
# A node has to answer pings within 250 ms on less than half of a core.
ITEMS_PER_TURN_MAX = 200
KINDS = storage.StorageErrorKind
# Fields of the platform that not all deployments have, and ours.
OPTIONAL_SERVICE_FIELDS = {
    "warmupS": "warm_up_seconds",
    "warmupPerS": "warm_up_rate",
}


class _Trial:
    def __init__(self, store: fake_store.FakeStore) -> None:
        self.store = store
        address = settings.Address("127.0.0.1", store.port)
        self.client = store_client.StoreClient(
            address, TIMEOUT, clock.SystemClock()
        )
        self.table = store_client.StoreTable(self.client)
        self.rows = store_intent_source.StoreIntentSource(self.client)
        self.outcome_publisher = store_outcome_publisher.StoreOutcomePublisher(
            self.client
        )

    async def next(self) -> intents.Intents:
        read = await self.rows.next(POLL_TIME)
        found = read.unwrap()
        assert found is not None
        return found


def _try(main: abc.Callable[[_Trial], abc.Awaitable[None]]) -> None:
    async def start() -> None:
        store = fake_store.FakeStore()
        await store.start()
        trial = _Trial(store)
        try:
            await main(trial)
        finally:
            await trial.client.stop()
            await store.stop()

    asyncio.run(start())


def _of(found: intents.Intents, kind: type) -> list[typing.Any]:
    return [item for item in found.resources if isinstance(item, kind)]


def test_a_configuration_becomes_entries_with_their_terms() -> None:
    async def main(trial: _Trial) -> None:
        split = {
            "host": "h.example",
            "prefix": "/big/",
            "routeType": "download",
            "timeoutMs": 700,
            "targetLatencyMs": 900,
            "priority": 2,
            "split": [
                {"service": "caja", "weight": 3},
                {"service": "catalogo", "weight": 1},
            ],
            "maxAttempts": 3,
        }
        document = sidecar_fleet.configuration(7, big=split)
        trial.store.put("op", "config", document)
        found = await trial.next()
        assert found.label == "7"
        by_name = {item.name: item for item in _of(found, entry.Entry)}
        assert not by_name["pay"].repeatable
        assert by_name["read"].repeatable
        big = by_name["big"]
        assert big.repeatable
        assert big.large
        assert (big.timeout_ms, big.objective_ms) == (700, 900)
        assert [part.weight for part in big.parts] == [3, 1]

    _try(main)


def _with_tenants(
    version: int, tenants: object, **routes: typing.Any
) -> dict[str, typing.Any]:
    document = sidecar_fleet.configuration(version, **routes)
    return {**document, "tenants": tenants}


def test_tenants_become_organisations_with_digests_of_their_keys() -> None:
    async def main(trial: _Trial) -> None:
        route = sidecar_fleet.configuration(3)["routes"]["pay"]
        tenants = {
            "pulo": {"apiKeys": [KEY, "second"], "priority": 1},
            "kabo": {"apiKeys": []},
        }
        trial.store.put(
            "op",
            "config",
            _with_tenants(3, tenants, public={**route, "noAuth": True}),
        )
        found = await trial.next()
        digests = (
            organisation.digest_key(key) for key in (KEY.encode(), b"second")
        )
        assert _of(found, organisation.Organisation) == [
            organisation.Organisation(
                name="pulo", key_digests=tuple(sorted(digests)), priority=1
            ),
            organisation.Organisation(name="kabo"),
        ]
        needs_key = {
            item.name: item.needs_key for item in _of(found, entry.Entry)
        }
        assert needs_key == {"pay": True, "read": True, "public": False}

    _try(main)


def test_keys_are_needed_as_long_as_there_are_tenants() -> None:
    # An empty object is a configuration whose last tenant was withdrawn.
    async def main(trial: _Trial) -> None:
        without = sidecar_fleet.configuration(3)
        for document, expected in (
            (without, False),
            (_with_tenants(4, {}), True),
            ({**without, "version": 5}, False),
        ):
            trial.store.put("op", "config", document)
            entries = _of(await trial.next(), entry.Entry)
            assert {item.needs_key for item in entries} == {expected}

    _try(main)


@pytest.mark.parametrize(
    "tenants",
    [
        {"pulo": {"apiKeys": KEY}},
        {"pulo": {"apiKeys": {KEY: 1}}},
        {"pulo": {"apiKeys": [[KEY]]}},
        {"pulo": {"apiKeys": ["other"], "priority": KEY}},
        {"pulo": [KEY]},
        {"pulo": KEY},
        [KEY],
        KEY,
    ],
)
def test_malformed_tenants_are_refused_without_showing_a_key(
    tenants: object, caplog: pytest.LogCaptureFixture
) -> None:
    async def main(trial: _Trial) -> None:
        trial.store.put("op", "config", sidecar_fleet.configuration(3))
        await trial.next()
        trial.store.put("op", "config", _with_tenants(4, tenants))
        await trial.rows.next(POLL_TIME)
        rejection = trial.rows.rejection
        assert rejection is not None
        assert "tenants" in rejection.message
        assert KEY not in rejection.message

    _try(main)
    assert KEY not in caplog.text


def test_no_key_is_kept() -> None:
    # The row and the texts of its items were kept, to tell what changed.
    async def main(trial: _Trial) -> None:
        tenants = {"pulo": {"apiKeys": [KEY], "priority": 1}}
        for version in (3, 4):
            trial.store.put("op", "config", _with_tenants(version, tenants))
            await trial.next()
        trial.rows.restart()
        await trial.next()
        state = {**vars(trial.rows), "_client": None}
        objects = _reachable(state)
        kept = [
            item.encode() if isinstance(item, str) else bytes(item)
            for item in objects
            if isinstance(item, bytes | bytearray | str | msgspec.Raw)
        ]
        assert b"caja.example" in kept
        # A part of a row, even one without a key, keeps the whole row.
        decoders = configuration_decoder.ConfigurationDecoder
        assert [item for item in objects if isinstance(item, decoders)]
        views = msgspec.Raw | memoryview
        assert not [item for item in objects if isinstance(item, views)]
        assert not [item for item in kept if KEY.encode() in item]

    _try(main)


def _reachable(root: object) -> list[object]:
    """Return what ``root`` refers to, directly or not."""
    found, seen, waiting = [], {id(root)}, [root]
    while waiting:
        item = waiting.pop()
        found.append(item)
        if not isinstance(item, type | types.FunctionType):
            for referent in gc.get_referents(item):
                if id(referent) not in seen:
                    seen.add(id(referent))
                    waiting.append(referent)
    return found


def test_each_call_is_logged_with_its_bytes_and_times() -> None:
    async def main(trial: _Trial) -> None:
        sink = list_sink.ListSink()
        trial.client.call_log = store_client.StoreCallLog(
            metrics.Metrics(),
            decision_log.DecisionLog(sink, clock.SystemClock()),
        )
        trial.store.put("op", "config", sidecar_fleet.configuration(7))
        await trial.next()
        trial.store.refuse = 503
        await trial.rows.next(POLL_TIME)
        read, refused = sink.lines
        assert read["call"] == "/v1/rows-get"
        assert read["received_bytes"] > 1000
        assert 0 < read["first_byte_ms"] <= read["milliseconds"]
        assert read["error"] is None
        assert refused["call"] == "/v1/rows-feed"
        assert refused["error"] == "status 503"

    _try(main)


def test_there_are_no_intents_before_the_first_configuration() -> None:
    async def main(trial: _Trial) -> None:
        read = await trial.rows.next(POLL_TIME)
        assert read.unwrap() is None

    _try(main)


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("routeType", "sometimes"),
        ("timeoutMs", "soon"),
        ("timeoutMs", -1),
        ("maxAttempts", 0),
        ("prefix", "no-slash"),
        ("priority", None),
        ("split", "both"),
    ],
)
def test_a_configuration_that_is_not_understood_changes_nothing(
    field: str, value: object
) -> None:
    async def main(trial: _Trial) -> None:
        trial.store.put("op", "config", sidecar_fleet.configuration(3))
        before = await trial.next()
        route = sidecar_fleet.configuration(4)["routes"]["pay"]
        bad = {**route, field: value}
        document = sidecar_fleet.configuration(4, pay=bad)
        trial.store.put("op", "config", document)
        after = await trial.next()
        assert after.resources == before.resources
        assert after.label == "3"

    _try(main)


@pytest.mark.parametrize(
    "absent",
    [
        fields
        for length in range(len(OPTIONAL_SERVICE_FIELDS) + 1)
        for fields in itertools.combinations(OPTIONAL_SERVICE_FIELDS, length)
    ],
)
def test_fields_that_a_deployment_does_not_have_keep_nothing_out(
    absent: tuple[str, ...],
) -> None:
    async def main(trial: _Trial) -> None:
        document = sidecar_fleet.configuration(3)
        for name in absent:
            document["services"]["caja"].pop(name, None)
        trial.store.put("op", "config", document)
        by_name = {
            item.name: item
            for item in _of(await trial.next(), service.Service)
        }
        caja = by_name["caja"]
        expected = attrs.evolve(
            by_name["catalogo"],
            name="caja",
            **{OPTIONAL_SERVICE_FIELDS[name]: 0.0 for name in absent},
        )
        assert caja == expected

    _try(main)


def _large_configuration(version: int, first_timeout_ms: int) -> object:
    routes = {}
    for number in range(LARGE_ROUTES):
        routes[f"route-{number}"] = {
            **sidecar_fleet.configuration(version)["routes"]["read"],
            "prefix": f"/route-{number}/",
        }
    routes["route-0"]["timeoutMs"] = first_timeout_ms
    return sidecar_fleet.configuration(version, **routes)


def test_routes_that_did_not_change_are_not_decoded_again() -> None:
    async def main(trial: _Trial) -> None:
        trial.store.put("op", "config", _large_configuration(3, 100))
        before = {item.key: item for item in (await trial.next()).resources}
        trial.store.put("op", "config", _large_configuration(4, 200))
        changed = [
            item.name
            for item in (await trial.next()).resources
            if item is not before[item.key]
        ]
        assert changed == ["route-0"]

    _try(main)


def test_decoding_many_routes_does_not_block_the_event_loop(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    decoded_by_turn = [0]
    validation_errors = entry.Entry.validation_errors

    def count(item: entry.Entry) -> list[str]:
        decoded_by_turn[-1] += 1
        return validation_errors(item)

    async def count_turns() -> None:
        while True:
            await asyncio.sleep(0)
            decoded_by_turn.append(0)

    async def main(trial: _Trial) -> None:
        trial.store.put("op", "config", _large_configuration(3, 100))
        monkeypatch.setattr(entry.Entry, "validation_errors", count)
        turns = asyncio.create_task(count_turns())
        await trial.next()
        turns.cancel()

    _try(main)
    assert sum(decoded_by_turn) >= LARGE_ROUTES
    assert max(decoded_by_turn) <= ITEMS_PER_TURN_MAX


def test_an_older_configuration_is_not_gone_back_to() -> None:
    async def main(trial: _Trial) -> None:
        trial.store.put("op", "config", sidecar_fleet.configuration(9))
        await trial.next()
        trial.store.put("op", "config", sidecar_fleet.configuration(8))
        assert (await trial.next()).label == "9"

    _try(main)


def test_orders_come_and_go_also_when_the_history_is_lost() -> None:
    async def main(trial: _Trial) -> None:
        trial.store.put("op", "config", sidecar_fleet.configuration(3))
        await trial.next()
        trial.store.put("op", "evacuate/z-a", {})
        order = {"service": "caja", "to": "v2", "durationS": 12}
        revision = trial.store.put("op", "rollout/caja", order)
        found = await trial.next()
        (out,) = _of(found, zone.Zone)
        assert out.name == "z-a"
        (ordered,) = _of(found, rollout_order.RolloutOrder)
        assert (ordered.new, ordered.revision) == ("v2", revision)
        trial.store.forget_history = True
        trial.store.remove("op", "evacuate/z-a")
        assert not _of(await trial.next(), zone.Zone)

    _try(main)


def test_a_wait_that_began_in_an_outage_does_not_hide_what_follows() -> None:
    async def main(trial: _Trial) -> None:
        trial.store.put("op", "config", sidecar_fleet.configuration(3))
        await trial.next()
        trial.store.silent = True
        unanswered = await trial.rows.next(POLL_TIME)
        assert isinstance(unanswered, result.Failure)
        trial.store.silent = False
        trial.store.put("op", "config", sidecar_fleet.configuration(4))
        assert (await trial.next()).label == "4"

    _try(main)


def test_changes_that_take_too_long_to_transfer_come_into_force() -> None:
    async def main(trial: _Trial) -> None:
        trial.store.put("op", "config", sidecar_fleet.configuration(3))
        await trial.next()
        trial.store.silent = True
        trial.store.put("op", "config", sidecar_fleet.configuration(4))
        assert isinstance(await trial.rows.next(POLL_TIME), result.Failure)
        assert (await trial.next()).label == "4"

    _try(main)


def test_an_order_that_is_not_understood_loses_nothing_else() -> None:
    async def main(trial: _Trial) -> None:
        trial.store.put("op", "config", sidecar_fleet.configuration(3))
        trial.store.put("op", "rollout/caja", {"service": "caja"})
        trial.store.put("op", "rollout/no", {"service": "no", "to": "v2"})
        found = await trial.next()
        assert len(_of(found, entry.Entry)) == 2
        assert not _of(found, rollout_order.RolloutOrder)

    _try(main)


def test_rows_are_written_read_and_dropped() -> None:
    async def main(trial: _Trial) -> None:
        write = storage.Write("members/z-a/one", b"1")
        await trial.table.commit(storage.Transaction((), (write,)))
        row = (await trial.table.read("members/z-a/one")).unwrap()
        assert row is not None
        assert row.value == b"1"
        found = (await trial.table.scan("members/", "", 10)).unwrap()
        assert [item.key for item in found] == ["members/z-a/one"]
        gone = storage.Write("members/z-a/one", None)
        await trial.table.commit(storage.Transaction((), (gone,)))
        assert (await trial.table.read("members/z-a/one")).unwrap() is None

    _try(main)


def test_what_went_wrong_with_a_write_is_told_apart() -> None:
    async def main(trial: _Trial) -> None:
        write = storage.Write("k", b"1")
        condition = storage.Condition("k", 77)
        conflict = storage.Transaction((condition,), (write,))
        plain = storage.Transaction((), (write,))

        async def kind(
            transaction: storage.Transaction,
        ) -> storage.StorageErrorKind:
            committed = await trial.table.commit(transaction)
            assert isinstance(committed, result.Failure)
            return committed.failure().kind

        assert await kind(conflict) is KINDS.CONFLICT
        trial.store.refuse = 503
        assert await kind(plain) is KINDS.UNAVAILABLE
        trial.store.refuse = 0
        trial.store.lose_answers = True
        assert await kind(plain) is KINDS.OUTCOME_UNKNOWN
        assert trial.store.rows

    _try(main)


def _outcome(state: str, revision: int) -> intents.Outcome:
    return intents.Outcome(
        service="caja", version="v2", revision=revision, state=state
    )


def test_a_final_outcome_is_not_written_over() -> None:
    async def main(trial: _Trial) -> None:
        revision = trial.store.put("op", "rollout/caja", {})
        words = (
            outcome_reporter.RUNNING,
            outcome_reporter.ROLLED_BACK,
            outcome_reporter.COMPLETED,
            outcome_reporter.RUNNING,
        )
        for word in words:
            published = await trial.outcome_publisher.publish(
                _outcome(word, revision)
            )
            assert isinstance(published, result.Success)
        status = trial.store.read("status", "rollout/caja")
        assert status["state"] == "rolled_back"
        assert status["to"] == "v2"

    _try(main)


def test_the_outcome_of_an_earlier_order_is_written_over() -> None:
    async def main(trial: _Trial) -> None:
        final = _outcome(outcome_reporter.COMPLETED, 0)
        await trial.outcome_publisher.publish(final)
        revision = trial.store.put("op", "rollout/caja", {})
        running = _outcome(outcome_reporter.RUNNING, revision)
        await trial.outcome_publisher.publish(running)
        status = trial.store.read("status", "rollout/caja")
        assert status["state"] == "running"

    _try(main)


def test_a_lost_answer_is_resolved_by_publishing_again() -> None:
    async def main(trial: _Trial) -> None:
        revision = trial.store.put("op", "rollout/caja", {})
        running = _outcome(outcome_reporter.RUNNING, revision)
        trial.store.lose_answers = True
        lost = await trial.outcome_publisher.publish(running)
        assert isinstance(lost, result.Failure)
        version = trial.store.version
        again = await trial.outcome_publisher.publish(running)
        assert isinstance(again, result.Success)
        assert trial.store.version == version

    _try(main)


class _Local:
    def __init__(self) -> None:
        self.announced: list[targets.Announcement] = []
        self.drained: list[str] = []
        self.withdrawn: list[tuple[str, int]] = []
        self.is_late = False

    def announce(
        self, announcement: targets.Announcement
    ) -> result.Result[None, str]:
        self.announced.append(announcement)
        return result.Failure("late") if self.is_late else result.Success(None)

    def drain(self, target: str) -> None:
        self.drained.append(target)

    def withdraw(self, target: str, started_ms: int) -> None:
        self.withdrawn.append((target, started_ms))


HEARTBEAT = {
    "service": "caja",
    "address": "10.0.0.1:80",
    "zone": "z-a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "warmupLeftMs": 1500,
    "sequence": 4,
    "born": 1700000000000,
}


def _post(local: _Local, call: str, body: bytes) -> int:
    statuses: list[int] = []

    async def receive() -> dict[str, object]:
        return {"type": "http.request", "body": body}

    async def send(event: dict[str, typing.Any]) -> None:
        if "status" in event:
            statuses.append(event["status"])

    application = heartbeat_api.HeartbeatApi(
        typing.cast(typing.Any, local), "10.0.0.1:80"
    )
    scope = {"path": f"/v1/instances/i-1/{call}", "method": "POST"}
    asyncio.run(application(scope, receive, send))
    return statuses[0]


def test_a_heartbeat_announces_the_target() -> None:
    local = _Local()
    body = msgspec.json.encode(HEARTBEAT)
    assert _post(local, "heartbeat", body) == 200
    (found,) = local.announced
    assert found.target == "i-1"
    assert found.instance == "1700000000000"
    assert found.cold_for == datetime.timedelta(seconds=1.5)
    assert found.labels == {"version": "v1"}
    assert not local.drained


def test_a_leaving_target_is_drained_once_it_is_believed() -> None:
    local = _Local()
    body = msgspec.json.encode({**HEARTBEAT, "state": "draining"})
    assert _post(local, "heartbeat", body) == 200
    assert local.drained == ["i-1"]
    local.is_late = True
    assert _post(local, "heartbeat", body) == 200
    assert local.drained == ["i-1"]
    assert _post(local, "deregister", b"{}") == 200
    assert local.withdrawn == [("i-1", 0)]


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("state", "sleeping"),
        ("slots", "8"),
        ("slots", True),
        ("born", 1.5),
        ("sequence", None),
        ("address", "10.0.0.2:80"),
        ("version", 1),
        ("warmupLeftMs", -1),
    ],
)
def test_what_another_writer_sends_names_no_target(
    field: str, value: object
) -> None:
    local = _Local()
    body = msgspec.json.encode({**HEARTBEAT, field: value})
    assert _post(local, "heartbeat", body) == 400
    assert not local.announced


@pytest.mark.parametrize("body", [b"", b"\xff", b"[]", b'"x"', b"{"])
def test_bytes_that_are_no_heartbeat_are_refused(body: bytes) -> None:
    local = _Local()
    assert _post(local, "heartbeat", body) == 400
    assert not local.announced


def test_versions_that_were_missed_are_not_all_read() -> None:
    async def main(trial: _Trial) -> None:
        trial.store.put("op", "config", sidecar_fleet.configuration(3))
        await trial.next()
        trial.store.refuse = 503
        assert isinstance(await trial.rows.next(POLL_TIME), result.Failure)
        trial.store.refuse = 0
        sink = list_sink.ListSink()
        trial.client.call_log = store_client.StoreCallLog(
            metrics.Metrics(),
            decision_log.DecisionLog(sink, clock.SystemClock()),
        )
        for version in range(4, 14):
            trial.store.put(
                "op", "config", sidecar_fleet.configuration(version)
            )
        assert (await trial.next()).label == "13"
        one_row = len(
            base64.b64encode(
                msgspec.json.encode(sidecar_fleet.configuration(13))
            )
        )
        assert sink.lines[0]["received_bytes"] < 2 * one_row

    _try(main)


def test_unreadable_configuration_is_rejected_once_until_it_is_replaced() -> (
    None
):
    async def main(trial: _Trial) -> None:
        trial.store.put("op", "config", sidecar_fleet.configuration(3))
        await trial.next()
        bad = sidecar_fleet.configuration(4)
        del bad["limits"]["maxBodyBytes"]
        revision = trial.store.put("op", "config", bad)
        await trial.rows.next(POLL_TIME)
        rejection = trial.rows.rejection
        assert rejection is not None
        assert rejection.revision == revision
        assert rejection.message == (
            "config.limits.maxBodyBytes is None, expected an integer"
        )
        trial.store.put("op", "evacuate/a", {})
        await trial.rows.next(POLL_TIME)
        assert trial.rows.rejection is rejection
        trial.store.put("op", "config", sidecar_fleet.configuration(5))
        await trial.next()
        assert trial.rows.rejection is None

    _try(main)
