"""Requests cut at any byte, and pipelines that are read faster than answered.

A parser that depends on where its data is cut accepts other requests than
the caller sent: one hidden in the body of another, or half of one. One that
reads a pipeline as far as it has arrived holds more than its share.
"""

import http
from unittest import mock

import attrs
import hypothesis
from hypothesis import strategies

from balsamramp_core import clock
from balsamramp_core import metrics
from balsamramp_core.resources import caller_limits
from balsamramp_node.process import body_budget
from balsamramp_node.process import body_parts
from balsamramp_node.process import request_reader

LIMITS = caller_limits.CallerLimits(
    name=caller_limits.NAME, header_max_bytes=2000, body_max_bytes=3000
)
BUDGET_BYTES = 1_000_000
QUEUED_MAX = 2
TOKEN = strategies.text("abcxyz-", min_size=1, max_size=12)
VALUE = strategies.text("abc xyz;=,\t", max_size=30)
PATH = strategies.text("/ab%2?=&", max_size=20)
MANY_FIELDS = 60
NOISE = (b"\r", b"\n", b"\r\n\r\n", b"\0", b":", b" ", b"0", b"GET / HTTP/1.1")

Parsed = tuple[str, bytes, tuple[tuple[bytes, bytes], ...], bytes]


@attrs.define
class _Listener(request_reader.RequestListener):
    """Answers the oldest request whenever the reader has to wait."""

    queue: list[request_reader.ReceivedRequest] = attrs.field(factory=list)
    requests: list[Parsed] = attrs.field(factory=list)
    rejected: http.HTTPStatus | None = None
    heads: int = 0
    queued_max: int = 0

    @property
    def may_read(self) -> bool:
        return len(self.queue) < QUEUED_MAX

    @property
    def waiting(self) -> bool:
        return bool(self.queue)

    def handle_head(self, expects_continue: bool) -> None:
        self.heads += 1

    def handle_request(self, received: request_reader.ReceivedRequest) -> None:
        request = received.request
        self.requests.append(
            (
                request.method,
                request.target,
                tuple(request.headers),
                request.body,
            )
        )
        self.queue.append(received)
        self.queued_max = max(self.queued_max, len(self.queue))

    def handle_reject(self, status: http.HTTPStatus) -> None:
        self.rejected = status

    def answer(self) -> None:
        self.queue.pop(0).release()


def _read(data: bytes, cuts: list[int]) -> _Listener:
    """Parse ``data`` cut at the given places."""
    listener = _Listener()
    budget = body_budget.BodyBudget(
        BUDGET_BYTES, metrics.Metrics(), clock.SystemClock()
    )
    reader = request_reader.RequestReader(
        lambda: LIMITS, budget, lambda: 0.0, listener
    )
    places = sorted({0, len(data), *(cut % (len(data) + 1) for cut in cuts)})
    for start, end in zip(places, places[1:], strict=False):
        if listener.rejected is None:
            reader.feed(data[start:end])
        while listener.queue:
            listener.answer()
            reader.parse()
    reader.close()
    assert budget.held_bytes == 0
    return listener


@strategies.composite
def _requests(draw: strategies.DrawFn) -> tuple[bytes, Parsed]:
    """Return the bytes of a request, and the request that they are."""
    method = draw(strategies.sampled_from(["GET", "POST", "PUT", "DELETE"]))
    target = "/" + draw(PATH)
    body = draw(strategies.binary(max_size=200))
    names = draw(strategies.lists(TOKEN, max_size=6))
    fields = [(f"x-{name}", draw(VALUE).strip()) for name in names]
    if draw(strategies.booleans()):
        fields += [("a", "")] * MANY_FIELDS
    fields.append(("host", "caja.example"))
    chunked = draw(strategies.booleans())
    if chunked:
        fields.append(("transfer-encoding", "chunked"))
        framed = _chunks(draw, body)
    else:
        fields.append(("content-length", str(len(body))))
        framed = body
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields]
    head = "\r\n".join(lines).encode() + b"\r\n\r\n"
    headers = tuple((name.encode(), value.encode()) for name, value in fields)
    return head + framed, (method, target.encode(), headers, body)


def _chunks(draw: strategies.DrawFn, body: bytes) -> bytes:
    parts: list[bytes] = []
    while body:
        size = draw(strategies.integers(1, len(body)))
        extension = draw(strategies.sampled_from([b"", b";x=y", b";z"]))
        parts.append(b"%x%b\r\n%b\r\n" % (size, extension, body[:size]))
        body = body[size:]
    trailer = draw(strategies.sampled_from([b"", b"x-late: 1\r\n"]))
    return b"".join(parts) + b"0\r\n" + trailer + b"\r\n"


PIPELINES = strategies.lists(_requests(), min_size=1, max_size=6)
CUTS = strategies.lists(strategies.integers(0, 100_000), max_size=20)


@hypothesis.given(PIPELINES, CUTS)
@hypothesis.settings(deadline=None)
def test_pipeline_is_the_same_whatever_the_cuts(
    pipeline: list[tuple[bytes, Parsed]], cuts: list[int]
) -> None:
    listener = _read(b"".join(data for data, _ in pipeline), cuts)
    assert listener.rejected is None
    assert listener.requests == [request for _, request in pipeline]
    assert listener.heads == len(pipeline)


@hypothesis.given(PIPELINES, CUTS, strategies.data())
@hypothesis.settings(deadline=None)
def test_damaged_pipeline_is_the_same_whatever_the_cuts(
    pipeline: list[tuple[bytes, Parsed]],
    cuts: list[int],
    drawn: strategies.DataObject,
) -> None:
    data = b"".join(item for item, _ in pipeline)
    place = drawn.draw(strategies.integers(0, len(data)))
    noise = drawn.draw(
        strategies.sampled_from(NOISE) | strategies.binary(max_size=20)
    )
    dropped = drawn.draw(strategies.integers(0, 5))
    data = data[:place] + noise + data[place + dropped :]
    whole = _read(data, [])
    cut = _read(data, cuts)
    each = _read(data, list(range(len(data))))
    assert cut.requests == each.requests == whole.requests
    assert cut.rejected == each.rejected == whole.rejected


@hypothesis.given(PIPELINES, strategies.integers(0, 100_000))
@hypothesis.settings(deadline=None)
def test_request_that_ends_early_is_not_accepted(
    pipeline: list[tuple[bytes, Parsed]], end: int
) -> None:
    data = b"".join(item for item, _ in pipeline)
    data = data[: end % len(data)]
    accepted = 0
    size = 0
    for item, _ in pipeline:
        size += len(item)
        accepted += size <= len(data)
    assert len(_read(data, []).requests) == accepted


def test_pipeline_is_read_only_as_far_as_it_is_answered() -> None:
    """Guards against objects for every request of one read."""
    request = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
    listener = _read(request * 2_000, [])
    assert len(listener.requests) == 2_000
    parsed_at_once = request_reader.PARSED_AT_ONCE_MAX_BYTES // len(request)
    assert listener.queued_max <= QUEUED_MAX + parsed_at_once + 1


def test_body_far_over_the_limit_is_refused_before_it_is_read() -> None:
    listener = _read(
        b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3001\r\n\r\n", []
    )
    assert listener.rejected is http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE


def test_many_short_fields_reserve_what_their_objects_take() -> None:
    """Guards against counting the bytes of fields and not their objects."""
    budget = body_budget.BodyBudget(
        BUDGET_BYTES, metrics.Metrics(), clock.SystemClock()
    )
    reader = request_reader.RequestReader(
        lambda: LIMITS, budget, lambda: 0.0, _Listener()
    )
    fields = 1000
    reader.feed(b"GET / HTTP/1.1\r\n" + b"a:\r\n" * fields)
    reserved = budget.held_bytes
    assert reserved >= fields * request_reader.FIELD_BYTES / 2
    reader.close()
    assert budget.held_bytes == 0


def test_request_without_memory_is_not_called_malformed() -> None:
    """Guards against callers that give a request up for good."""
    parts = body_parts.BodyParts
    with mock.patch.object(parts, "append", side_effect=MemoryError):
        found = _read(b"POST / HTTP/1.1\r\ncontent-length: 2\r\n\r\nab", [])
    assert found.rejected is http.HTTPStatus.SERVICE_UNAVAILABLE


UPGRADES = strategies.sampled_from(
    [
        b"connection: upgrade\r\nupgrade: x\r\n",
        b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
        b"HTTP2-Settings: AAMAAABkAAQAAP__\r\n",
    ]
)


@hypothesis.settings(max_examples=200, deadline=None)
@hypothesis.given(
    upgrade=UPGRADES,
    method=strategies.sampled_from(["POST", "PUT", "GET", "DELETE"]),
    body=strategies.binary(max_size=2500),
    chunked=strategies.booleans(),
    behind=strategies.sampled_from(
        [b"", b"GET /b HTTP/1.1\r\n\r\n", b"\0junk"]
    ),
    cuts=strategies.lists(strategies.integers(0, 3000), max_size=6),
)
def test_request_that_offers_an_upgrade_keeps_its_body(
    upgrade: bytes,
    method: str,
    body: bytes,
    chunked: bool,
    behind: bytes,
    cuts: list[int],
) -> None:
    """Guards against a request that is run with an empty body."""
    head = f"{method} /a HTTP/1.1\r\nhost: x\r\n".encode() + upgrade
    if chunked:
        sent = head + b"transfer-encoding: chunked\r\n\r\n"
        if body:
            sent += f"{len(body):x}\r\n".encode() + body + b"\r\n"
        sent += b"0\r\n\r\n"
    else:
        sent = head + f"content-length: {len(body)}\r\n\r\n".encode() + body
    listener = _read(sent + behind, cuts)
    assert listener.rejected is None
    (request,) = listener.requests
    assert (request[0], request[1], request[3]) == (method, b"/a", body)
    assert listener.heads == 1


def test_cut_off_request_that_offers_an_upgrade_is_not_passed_on() -> None:
    sent = (
        b"POST /a HTTP/1.1\r\nconnection: upgrade\r\nupgrade: x\r\n"
        b"content-length: 4\r\n\r\nabc"
    )
    assert _read(sent, []).requests == []
