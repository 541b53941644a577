"""Expected finish: fast, free and near targets first."""

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


def _most_picked(
    *candidates: picker.Candidate, large: bool = False, times: int = 40
) -> str:
    """Return who is picked most often when nothing else changes."""
    chosen = expected_finish.ExpectedFinish("near", random.Random(1))
    pick_info = picker.PickInfo(large=large)
    counts: dict[str, int] = {}
    for _ in range(times):
        found = chosen.pick(candidates, NOW, pick_info).record.target
        counts[found] = counts.get(found, 0) + 1
    return max(counts, key=counts.__getitem__)


def test_the_faster_target_goes_first() -> None:
    slow = _candidate("slow", service=160 * MS)
    assert _most_picked(slow, _candidate("fast", service=70 * MS)) == "fast"


def test_a_queue_costs_more_than_a_slow_target() -> None:
    full = _candidate("full", service=70 * MS, in_flight=SLOTS, queued=SLOTS)
    free = _candidate("free", service=120 * MS)
    assert _most_picked(full, free) == "free"


def test_the_own_zone_goes_first_when_all_else_is_alike() -> None:
    assert _most_picked(_candidate("a", "far"), _candidate("b")) == "b"


def test_a_large_answer_waits_in_its_zone_where_a_small_one_does_not() -> None:
    busy = _candidate("near", in_flight=SLOTS, queued=SLOTS // 2)
    far = _candidate("far", "far")
    assert _most_picked(busy, far) == "far"
    assert _most_picked(busy, far, large=True) == "near"


def test_a_target_that_fails_calls_is_left_for_one_that_does_not() -> None:
    failing = _candidate("failing", failing=0.5)
    sound = _candidate("sound", service=140 * MS)
    assert _most_picked(failing, sound) == "sound"


def test_own_calls_since_the_last_answer_count() -> None:
    loaded = _candidate("loaded", service=80 * MS)
    for _ in range(2 * SLOTS):
        loaded.stats.record_start(NOW)
    assert _most_picked(loaded, _candidate("idle")) == "idle"


def test_an_unreachable_target_is_left_out_for_a_while() -> None:
    gone = _candidate("gone", service=10 * MS)
    gone.stats.record_start(NOW)
    gone.stats.record_result(
        NOW, MS, picker.DoneInfo.UNREACHABLE, messages.Load(0, 0)
    )
    here = _candidate("here")
    assert _most_picked(gone, here) == "here"
    assert not gone.stats.is_ejected(NOW + 2 * picker.BASE_EJECTION_TIME)
