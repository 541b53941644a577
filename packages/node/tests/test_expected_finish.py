"""The expected-finish picker prefers fast, free and local targets."""

import datetime
import random

from balsamramp_core import settings
from balsamramp_node.outbound import picker
from balsamramp_node.outbound.pickers import expected_finish
from balsamramp_wire import messages

MS = datetime.timedelta(milliseconds=1)
NOW = datetime.timedelta(seconds=100)
SLOTS = 10


def _candidate(
    name: str,
    zone: str = "near",
    service: datetime.timedelta = 100 * MS,
    **load: object,
) -> picker.Candidate:
    address = settings.Address(name, 1)
    member = messages.Member(
        node=name,
        zone=zone,
        region="r",
        stream=address,
        control=address,
        admin=address,
        incarnation=1,
        sequence=1,
        state=messages.MemberState.ALIVE,
    )
    record = messages.TargetRecord(
        target=name,
        service="s",
        labels={},
        state=messages.TargetState.READY,
        slots=SLOTS,
    )
    values = {"in_flight": 0, "limit": SLOTS, "service": service, **load}
    stats = picker.TargetStats(
        load=messages.Load(**values),  # type: ignore[arg-type]
        load_received_at=NOW,
    )
    return picker.Candidate(member, record, stats)


def _most_picked_target(
    *candidates: picker.Candidate, large: bool = False, picks: int = 40
) -> str:
    """Return the target that is picked most often with constant load."""
    target_picker = expected_finish.ExpectedFinish("near", random.Random(1))
    pick_info = picker.PickInfo(large=large)
    counts: dict[str, int] = {}
    for _ in range(picks):
        picked = target_picker.pick(candidates, NOW, pick_info).record.target
        counts[picked] = counts.get(picked, 0) + 1
    return max(counts, key=counts.__getitem__)


def test_faster_target_is_preferred() -> None:
    slow = _candidate("slow", service=160 * MS)
    assert (
        _most_picked_target(slow, _candidate("fast", service=70 * MS))
        == "fast"
    )


def test_slower_target_is_preferred_to_a_queue() -> None:
    full = _candidate("full", service=70 * MS, in_flight=SLOTS, queued=SLOTS)
    free = _candidate("free", service=120 * MS)
    assert _most_picked_target(full, free) == "free"


def test_local_zone_is_preferred_with_equal_load() -> None:
    assert _most_picked_target(_candidate("a", "far"), _candidate("b")) == "b"


def test_large_response_stays_in_its_zone_where_a_small_one_does_not() -> None:
    busy = _candidate("near", in_flight=SLOTS, queued=SLOTS // 2)
    far = _candidate("far", "far")
    assert _most_picked_target(busy, far) == "far"
    assert _most_picked_target(busy, far, large=True) == "near"


def test_large_response_avoids_a_full_link_and_a_small_one_does_not() -> None:
    full = _candidate("full", service=60 * MS, link_wait=800 * MS)
    free = _candidate("free", service=120 * MS)
    assert _most_picked_target(full, free, large=True) == "free"
    assert _most_picked_target(full, free) == "full"


def test_healthy_target_is_preferred_to_a_failing_one() -> None:
    failing = _candidate("failing", failing=0.5)
    healthy = _candidate("healthy", service=140 * MS)
    assert _most_picked_target(failing, healthy) == "healthy"


def test_own_calls_since_the_last_load_report_count() -> None:
    loaded = _candidate("loaded", service=80 * MS)
    for _ in range(2 * SLOTS):
        loaded.stats.record_start(NOW)
    assert _most_picked_target(loaded, _candidate("idle")) == "idle"


def test_unreachable_target_is_ejected_for_a_limited_time() -> None:
    unreachable = _candidate("unreachable", service=10 * MS)
    unreachable.stats.record_start(NOW)
    unreachable.stats.record_result(
        NOW, MS, picker.DoneInfo.UNREACHABLE, messages.Load(0, 0)
    )
    reachable = _candidate("reachable")
    assert _most_picked_target(unreachable, reachable) == "reachable"
    assert not unreachable.stats.is_ejected(
        NOW + 2 * picker.BASE_EJECTION_TIME
    )


def test_one_report_does_not_speak_for_a_whole_zone() -> None:
    """Guards against leaving a busy zone for one that was heard once."""
    busy = [
        _candidate(f"near-{n}", in_flight=SLOTS, queued=4) for n in range(5)
    ]
    idle = [_candidate(f"far-{n}", "far") for n in range(6)]
    for item in idle[1:]:
        item.stats.load = None
    for item in (*busy, idle[0]):
        item.stats.load_received_at = NOW - 1500 * MS
    assert _most_picked_target(*busy, *idle).startswith("near")
