"""Every parser of bytes from outside: its stated error or a value."""

import asyncio
import datetime
import random
import typing

import hypothesis
from hypothesis import strategies
import msgspec
import pytest
from returns import result

from balsamramp_core import configuration
from balsamramp_core import configuration_codec as codec
from balsamramp_core import resource
from balsamramp_core import resources
from balsamramp_core import settings
from balsamramp_node.inbound import targets
from balsamramp_node.process import options
from balsamramp_wire import frames
from balsamramp_wire import messages

FUZZ = hypothesis.settings(derandomize=True, deadline=None, max_examples=150)
NAMES = strategies.text("abcz019._:-", min_size=1, max_size=12)
LABELS = strategies.dictionaries(NAMES, NAMES, max_size=3)
TIMES = strategies.datetimes(
    min_value=datetime.datetime(2020, 1, 1),
    max_value=datetime.datetime(2040, 1, 1),
    timezones=strategies.just(datetime.UTC),
)
JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=8), inner)
    ),
    max_leaves=8,
)


def _items() -> strategies.SearchStrategy[resource.Resource]:
    kinds = [
        strategies.builds(
            resources.KINDS["service"],
            name=NAMES,
            idempotent_methods=strategies.just(("GET",)),
        ),
        strategies.builds(
            resources.KINDS["labels"], name=NAMES, labels=LABELS
        ),
        strategies.builds(
            resources.KINDS["zone"],
            name=NAMES,
            out=strategies.booleans(),
            since=TIMES,
            author=NAMES,
        ),
    ]
    return strategies.one_of(kinds)


CHANGES = strategies.builds(
    configuration.Change,
    version=strategies.integers(1, 10**9),
    base_version=strategies.integers(0, 10**9),
    change_id=NAMES,
    base_digest=strategies.integers(0, 2**128 - 1),
    digest=strategies.integers(0, 2**128 - 1),
    author=NAMES,
    accepted_at=TIMES,
    puts=strategies.lists(_items(), max_size=4).map(tuple),
    deletes=strategies.lists(
        strategies.builds(resource.ResourceKey, NAMES, NAMES), max_size=2
    ).map(tuple),
)


LINEAGES = strategies.lists(
    strategies.builds(
        configuration.AcceptedVersion,
        strategies.integers(1, 10**9),
        strategies.integers(0, 2**128 - 1),
        NAMES,
        TIMES,
    ),
    max_size=3,
).map(tuple)


@strategies.composite
def _snapshots(draw: strategies.DrawFn) -> configuration.Snapshot:
    items = draw(strategies.lists(_items(), max_size=5))
    version = draw(strategies.integers(1, 10**9))
    whole = configuration.merge(configuration.EMPTY, version, items, ())
    return configuration.Snapshot(whole, draw(LINEAGES))


SNAPSHOTS = _snapshots()


@strategies.composite
def _damaged(
    draw: strategies.DrawFn, whole: strategies.SearchStrategy[bytes]
) -> bytes:
    """Return bytes cut short, with one changed or one put in."""
    data = bytearray(draw(whole))
    place = draw(strategies.integers(0, max(len(data) - 1, 0)))
    way = draw(strategies.sampled_from(("cut", "change", "put")))
    byte = draw(strategies.integers(0, 255))
    if way == "cut":
        return bytes(data[:place])
    if way == "change" and data:
        data[place] = byte
        return bytes(data)
    data.insert(place, byte)
    return bytes(data)


CHANGE_BYTES = CHANGES.map(codec.change_to_bytes)
SNAPSHOT_BYTES = SNAPSHOTS.map(codec.snapshot_to_bytes)
JSON_BYTES = JSON.map(lambda value: msgspec.json.encode(value))


@FUZZ
@hypothesis.given(CHANGES)
def test_change_survives_its_bytes(change: configuration.Change) -> None:
    data = codec.change_to_bytes(change)
    assert codec.change_from_bytes(data).unwrap() == change


@FUZZ
@hypothesis.given(SNAPSHOTS)
def test_snapshot_survives_its_bytes(
    whole: configuration.Snapshot,
) -> None:
    data = codec.snapshot_to_bytes(whole)
    assert codec.snapshot_from_bytes(data).unwrap() == whole


DEEP = b"[" * 100_000 + b"]" * 100_000


@pytest.mark.parametrize(
    "decode",
    [
        codec.change_from_bytes,
        codec.changes_from_bytes,
        codec.snapshot_from_bytes,
    ],
)
@FUZZ
@hypothesis.example(data=DEEP)
@hypothesis.example(data=b'{"puts": ' + DEEP + b"}")
@hypothesis.given(
    data=strategies.binary(max_size=60)
    | JSON_BYTES
    | _damaged(CHANGE_BYTES)
    | _damaged(SNAPSHOT_BYTES)
)
def test_configuration_bytes_are_read_or_refused(
    decode: typing.Callable[[bytes], result.Result[typing.Any, str]],
    data: bytes,
) -> None:
    decoded = decode(data)
    assert isinstance(decoded, result.Success) or decoded.failure()


@FUZZ
@hypothesis.given(_damaged(SNAPSHOT_BYTES))
def test_a_damaged_snapshot_is_never_another_configuration(
    data: bytes,
) -> None:
    decoded = codec.snapshot_from_bytes(data).value_or(None)
    if decoded is None:
        return
    whole = decoded.configuration
    again = configuration.merge(
        configuration.EMPTY, whole.version, whole.resources.values(), ()
    )
    assert again.digest == whole.digest


@FUZZ
@hypothesis.given(
    strategies.dictionaries(
        strategies.sampled_from(
            ("kind", "name", "service", "labels", "out", "since", "selector")
        ),
        strategies.sampled_from(sorted(resources.KINDS)) | JSON,
    )
)
def test_documents_are_resources_or_refused(
    document: dict[str, typing.Any],
) -> None:
    decoded = resources.decode(document)
    if isinstance(decoded, result.Failure):
        assert decoded.failure()
        return
    item = decoded.unwrap()
    assert resources.decode(resources.encode(item)).unwrap() == item


@FUZZ
@hypothesis.given(
    strategies.text(max_size=80)
    | strategies.lists(
        strategies.sampled_from(
            ("[node]", "[listen]", "id = a", "id", "= b", "%(x)s", "host=h")
            + ("zone = z", "[platform", "call_port = 99999", "\t x", "#")
        )
    ).map("\n".join)
)
def test_settings_are_read_or_refused(text: str) -> None:
    read = settings.parse(text, "f.ini", options.OPTIONS)
    if isinstance(read, result.Failure):
        assert str(read.failure()).startswith("f.ini:")


@FUZZ
@hypothesis.given(number=strategies.integers(0, 255), data=strategies.binary())
def test_frames_are_read_or_refused(number: int, data: bytes) -> None:
    try:
        message = frames.decode(number, data)
    except frames.FrameError:
        return
    again = frames.encode(message)
    assert frames.decode(again[4], again[5:]) == message


@FUZZ
@hypothesis.given(
    sizes=strategies.lists(strategies.integers(0, 200), max_size=4),
    part_bytes=strategies.integers(1, 100),
    order=strategies.randoms(use_true_random=False),
)
def test_frames_in_parts_are_put_together(
    sizes: list[int], part_bytes: int, order: random.Random
) -> None:
    sent = [
        messages.ControlAnswer(number, True, bytes(size))
        for number, size in enumerate(sizes)
    ]
    waiting = [frames.encode(message) for message in sent]
    data = b""
    while any(waiting):
        number = order.choice([i for i, left in enumerate(waiting) if left])
        piece = waiting[number][:part_bytes]
        waiting[number] = waiting[number][part_bytes:]
        part = messages.FramePart(number, piece, last=not waiting[number])
        data += frames.encode(part)

    async def read() -> list[typing.Any]:
        reader = asyncio.StreamReader()
        reader.feed_data(data)
        reader.feed_eof()
        incoming = frames.FrameReader(reader)
        return [await incoming.read() for _ in sent]

    received = asyncio.run(read())
    assert sorted(received, key=lambda item: item.number) == sent


@FUZZ
@hypothesis.given(strategies.binary(max_size=40))
def test_a_stream_of_bytes_ends_or_is_refused(data: bytes) -> None:
    async def read() -> None:
        reader = asyncio.StreamReader()
        reader.feed_data(data)
        reader.feed_eof()
        incoming = frames.FrameReader(reader)
        while True:
            await incoming.read()

    with pytest.raises((frames.FrameError, asyncio.IncompleteReadError)):
        asyncio.run(read())


@FUZZ
@hypothesis.given(
    strategies.dictionaries(
        strategies.sampled_from(("service", "url", "instance", "labels")), JSON
    )
)
def test_announcements_are_read_or_refused(
    document: dict[str, typing.Any],
) -> None:
    try:
        announcement = msgspec.convert(
            {**document, "target": "caja-1"}, targets.Announcement
        )
    except msgspec.ValidationError:
        return
    assert isinstance(announcement.validation_errors(), list)
