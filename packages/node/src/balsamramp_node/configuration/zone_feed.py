"""Spreads what one node of a zone reads from the external store.

Reading the store costs each node a copy of the whole configuration, which
takes a narrow link longer than changes come apart. So one node of the zone
reads, and tells the others after each read what is in force, what has
changed, and when that was true by the store's clock. A node that is not told
in time reads by itself. What arrives late does not count for longer than what
arrives at once.
"""

import asyncio
from collections import abc
import datetime
import typing
import zlib

from absl import logging
import attrs
from returns import result

from balsamramp_core import clock
from balsamramp_core import configuration_codec
from balsamramp_core import metrics
from balsamramp_core import remote_clock
from balsamramp_core import service_manager
from balsamramp_node.configuration import confirmation
from balsamramp_node.configuration import distribution
from balsamramp_node.configuration import read_age
from balsamramp_node.configuration import restored_intents
from balsamramp_node.configuration import store
from balsamramp_node.configuration import tree_sender
from balsamramp_node.membership import member_list
from balsamramp_node.process import decision_log
from balsamramp_wire import control_transport
from balsamramp_wire import messages

__all__ = ["ZoneFeed"]

# Interval of the reader's messages while nothing changes: its long-poll time,
# less what has passed since its last read.
READER_POLL_TIME = datetime.timedelta(milliseconds=700)
READER_POLL_MIN = datetime.timedelta(milliseconds=100)
# Long-poll time of a node that is not told. A poll that begins while the
# store is away is never answered, so it must not last long.
OWN_POLL_TIME = datetime.timedelta(seconds=1)
# When what it was told last is this old, the next in rank reads and tells the
# others. A few more follow one by one, then all others read by themselves,
# which leaves time for a read before a change has to be in force.
SILENCE_MAX = datetime.timedelta(milliseconds=1200)
STANDBY_STEP = datetime.timedelta(milliseconds=100)
STANDBY_NODES = 3
# Further silence, for each better reader, after which any other node also
# tells the others what it reads.
TAKEOVER_STEP = datetime.timedelta(milliseconds=300)
# Age up to which the state of the store may be taken for the present one, and
# the wait for a later confirmation.
CONFIRMATION_AGE_MAX = datetime.timedelta(milliseconds=1500)
CONFIRMATION_WAIT = datetime.timedelta(milliseconds=200)
# Peers that have a later version tell so again within this time.
LATER_VERSION_TIME = datetime.timedelta(seconds=3)
# Time for the zone's reader to tell of a version that a peer has.
LATER_VERSION_WAIT = datetime.timedelta(milliseconds=500)
# Resources of the recent changes that each message repeats.
CHANGE_MAX_KEYS = 32
# A larger change is compressed and sent a few times only; who misses it reads
# the store. Nodes forward it to several others over narrow links.
LARGE_CHANGE_MAX_KEYS = 4096
LARGE_CHANGE_MAX_BYTES = 64 * 1024
LARGE_CHANGE_SENDS = 2
# The largest change that a node decompresses.
DECOMPRESSED_MAX_BYTES = 8 * 1024 * 1024
NEVER = datetime.timedelta.min

# Incarnation of the reader and number of its message.
Mark = tuple[int, int]


@attrs.define
class _LaterVersion:
    """A version that peers have and this node does not."""

    version: int = 0
    first_told_at: datetime.timedelta = NEVER
    last_told_at: datetime.timedelta = NEVER
    # The latest for which this node has read the store.
    read_version: int = 0


@attrs.define
class _LargeChange:
    """The change that led to ``version``, if it was large."""

    version: int = 0
    sends_left: int = 0
    encoded: bytes = b""


class ZoneFeed(service_manager.Service, confirmation.Confirmer):
    """Decides which node reads the store, and brings changes into force.

    The node with the fastest link reads, among equals the first by name.
    Nodes may disagree about that while they learn of each other; then some
    more of them read.
    """

    name = "zone-feed"
    requires = ("configuration",)

    def __init__(
        self,
        own: messages.Member,
        members: member_list.MemberList,
        transport: control_transport.ControlTransport,
        configurations: store.ConfigurationStore,
        age: read_age.ReadAge,
        time: clock.Clock,
        counters: metrics.Metrics,
        decisions: decision_log.DecisionLog,
        restored: restored_intents.RestoredIntents,
        store_clock: remote_clock.RemoteClock,
    ) -> None:
        self._restored = restored
        self._store_clock = store_clock
        self._later = _LaterVersion()
        self._confirmed_by = ""
        self._own = own
        self._members = members
        self._store = configurations
        self._age = age
        self._clock = time
        self._metrics = counters
        self._decisions = decisions
        self._tree = tree_sender.TreeSender(
            own.node, own.zone, members, transport, counters
        )
        self._number = 0
        self._large_change = _LargeChange()
        self._last_marks: dict[str, Mark] = {}
        self._confirmed = asyncio.Event()
        self._confirmed_at = NEVER
        self._read_at = NEVER
        self._told_at = NEVER
        self._told_by_better_at = NEVER
        self._behind = asyncio.Event()
        self._reading = True
        self._started_at = time.monotonic()
        counters.measure("configuration_age_seconds", self._measure_age)
        transport.handle(messages.StateRequest, self._serve_state)

    @property
    def confirmation(self) -> confirmation.Confirmation:
        age: datetime.timedelta | None = None
        if self._confirmed_at != NEVER:
            age = self._clock.monotonic() - self._confirmed_at
        later = self._later_version()
        current = self._store.current
        is_latest = later <= current.version
        return confirmation.Confirmation(
            confirmed=(
                is_latest and age is not None and age <= CONFIRMATION_AGE_MAX
            ),
            version=current.version,
            source=self._confirmed_by,
            age=age,
            later_version=0 if is_latest else later,
        )

    @property
    def is_reader(self) -> bool:
        """Return whether this node tells the others what it reads."""
        rank = self._rank_of(self._own)
        if not rank:
            return True
        silence = _silence_until_read(rank)
        if rank > STANDBY_NODES:
            silence = SILENCE_MAX + rank * TAKEOVER_STEP
        return self._clock.monotonic() >= self._told_by_better_at + silence

    @property
    def poll_time(self) -> datetime.timedelta:
        """Return how long a read of this node waits for a change."""
        if not self.is_reader:
            return OWN_POLL_TIME
        now = self._clock.monotonic()
        return (
            max(self._read_at + READER_POLL_TIME, now + READER_POLL_MIN) - now
        )

    async def stop(self) -> None:
        await self._tree.stop()

    def dump(self) -> abc.Mapping[str, typing.Any]:
        known = self.confirmation
        return {
            "reader": self.is_reader,
            "reading": self._reading,
            "confirmed": known.confirmed,
            "confirmed_by": known.source,
            "age": known.age,
            "later_version": known.later_version,
        }

    async def wait_until_read_needed(self) -> bool:
        """Wait while others tell this node what is in force.

        Returns whether it waited: the last own read is outdated then.
        """
        waited = False
        while not (self.is_reader or self._behind.is_set()):
            rank = self._rank_of(self._own)
            silent_at = self._told_at + _silence_until_read(rank)
            remaining = silent_at - self._clock.monotonic()
            if remaining <= datetime.timedelta():
                break
            self._set_reading(False)
            waited = True
            await self._wait_until_behind(remaining)
        self._behind.clear()
        self._set_reading(True)
        return waited

    async def confirm(self) -> bool:
        try:
            async with asyncio.timeout(CONFIRMATION_WAIT.total_seconds()):
                while not self.confirmation.confirmed:
                    await self._confirmed.wait()
        except TimeoutError:
            return self.confirmation.confirmed
        return True

    def record_later_version(self, version: int) -> None:
        """Record that a peer has another, later configuration."""
        now = self._clock.monotonic()
        if version <= self._store.current.version:
            return
        if self._later_version() <= self._store.current.version:
            self._later = _LaterVersion(version, now, now)
            return
        self._later.version = max(self._later.version, version)
        self._later.last_told_at = now
        is_overdue = now >= self._later.first_told_at + LATER_VERSION_WAIT
        if is_overdue and self._later.read_version < self._later.version:
            self._later.read_version = self._later.version
            self._behind.set()

    def record_read(self, read_at: datetime.timedelta | None) -> None:
        """Record an own read; tell the others if that is for this node.

        What is in force here was the present configuration at ``read_at`` by
        the store's clock. Without that time the read confirms nothing.
        """
        self._read_at = self._clock.monotonic()
        age = None if read_at is None else self._store_clock.age(read_at)
        if read_at is None or age is None:
            self._metrics.count("undated_reads_total")
            return
        self._record_confirmation(age, self._own.node)
        if not self.is_reader:
            return
        current = self._store.current
        if not current.version:
            return
        change = self._store.recent_change(CHANGE_MAX_KEYS, self._clock.now())
        encoded = b""
        if change is not None:
            encoded = configuration_codec.change_to_bytes(change)
        else:
            encoded = self._encode_large_change(current.version)
        self._number += 1
        request = messages.StateRequest(
            reader=self._own.node,
            incarnation=self._own.incarnation,
            number=self._number,
            version=current.version,
            digest=distribution.digest_bytes(current.digest),
            change=encoded,
            compressed=change is None and bool(encoded),
            configuration_number=self._restored.number,
            read_at=read_at,
        )
        self._tree.send(request, _tree_seed(request))

    def _encode_large_change(self, version: int) -> bytes:
        """Return the last change, compressed, or nothing if it was sent."""
        if version != self._large_change.version:
            self._large_change = _LargeChange(version, LARGE_CHANGE_SENDS)
            change = self._store.recent_change(
                LARGE_CHANGE_MAX_KEYS, self._clock.now()
            )
            if change is not None:
                encoded = configuration_codec.change_to_bytes(change)
                self._large_change.encoded = zlib.compress(encoded)
        if not self._large_change.sends_left:
            return b""
        self._large_change.sends_left -= 1
        if len(self._large_change.encoded) > LARGE_CHANGE_MAX_BYTES:
            return b""
        return self._large_change.encoded

    async def _wait_until_behind(self, timeout: datetime.timedelta) -> None:
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                await self._behind.wait()
        except TimeoutError:
            return

    def _set_reading(self, reading: bool) -> None:
        if reading is self._reading:
            return
        self._reading = reading
        self._decisions.write(
            "configuration_reader",
            reading=reading,
            reader=self.is_reader,
            version=self._store.current.version,
        )

    async def _serve_state(
        self, request: messages.StateRequest
    ) -> messages.StateReply:
        mark = request.incarnation, request.number
        if mark > self._last_marks.get(request.reader, (0, 0)):
            self._last_marks[request.reader] = mark
            self._tree.forward(request, _tree_seed(request))
            self._handle_state(request)
        return messages.StateReply(self._store.current.version)

    def _handle_state(self, request: messages.StateRequest) -> None:
        if request.version > self._store.current.version:
            self._catch_up(request)
        current = self._store.current
        if current.version < request.version:
            self._metrics.count("states_missed_total")
            self._behind.set()
            return
        if current.version == request.version:
            self._restored.record_number(request.configuration_number)
        elif request.digest != distribution.digest_bytes(current.digest):
            # It tells of an earlier state: it was late, or its reader is.
            self._metrics.count("states_outdated_total")
            return
        age = self._age_of(request)
        if age is None:
            self._metrics.count("undated_states_total")
            return
        self._metrics.observe(
            "configuration_told_age_seconds", age.total_seconds()
        )
        told_at = self._clock.monotonic() - age
        self._told_at = max(self._told_at, told_at)
        self._record_confirmation(age, request.reader)
        self._age.update_read_age(age)
        reader = self._members.get(request.reader)
        if reader is not None and _rank_key(reader) < _rank_key(self._own):
            self._told_by_better_at = max(self._told_by_better_at, told_at)

    def _age_of(
        self, request: messages.StateRequest
    ) -> datetime.timedelta | None:
        if request.read_at is None:
            return None
        return self._store_clock.age(request.read_at)

    def _measure_age(self) -> float:
        """Return the age in seconds, that of the process if unknown."""
        since = max(self._confirmed_at, self._started_at)
        return (self._clock.monotonic() - since).total_seconds()

    def _later_version(self) -> int:
        """Return the latest version that peers had a moment ago."""
        now = self._clock.monotonic()
        if now > self._later.last_told_at + LATER_VERSION_TIME:
            return 0
        return self._later.version

    def _record_confirmation(
        self, age: datetime.timedelta, source: str
    ) -> None:
        confirmed_at = self._clock.monotonic() - age
        if confirmed_at > self._confirmed_at:
            self._confirmed_at = confirmed_at
            self._confirmed_by = source
        self._confirmed.set()
        self._confirmed = asyncio.Event()

    def _catch_up(self, request: messages.StateRequest) -> None:
        current = self._store.current
        if request.digest == distribution.digest_bytes(current.digest):
            self._store.adopt_version(request.version)
            return
        if not request.change or not self._restored.may_follow(
            request.version, request.configuration_number
        ):
            return
        encoded = request.change
        if request.compressed:
            encoded = _decompress(encoded)
        decoded = configuration_codec.change_from_bytes(encoded)
        if isinstance(decoded, result.Failure):
            logging.warning(
                "ignored a change from %s: %s",
                request.reader,
                decoded.failure(),
            )
            return
        change = decoded.unwrap()
        applied = self._store.apply_recent_change(change)
        if isinstance(applied, result.Failure):
            return
        self._decisions.write(
            "configuration",
            version=request.version,
            previous=current.version,
            changed=len(change.puts) + len(change.deletes),
            source=request.reader,
            read_age_ms=decision_log.milliseconds(self._age_of(request)),
        )

    def _rank_of(self, member: messages.Member) -> int:
        """Return how many nodes of the zone are better readers."""
        own_key = _rank_key(member)
        return sum(
            _rank_key(other) < own_key
            for other in self._members.alive_in(member.zone)
        )


def _silence_until_read(rank: int) -> datetime.timedelta:
    """Return how long a node waits to be told before it reads."""
    return SILENCE_MAX + max(min(rank - 1, STANDBY_NODES), 0) * STANDBY_STEP


def _decompress(data: bytes) -> bytes:
    """Return the decompressed data, or nothing if it is malformed."""
    decompressor = zlib.decompressobj()
    try:
        return decompressor.decompress(data, DECOMPRESSED_MAX_BYTES)
    except zlib.error as error:
        logging.warning("cannot decompress a change: %s", error)
        return b""


def _rank_key(member: messages.Member) -> tuple[float, str]:
    return -member.link_rate, member.node


def _tree_seed(request: messages.StateRequest) -> int:
    """Return the seed of the tree for the messages of one reader."""
    return zlib.crc32(request.reader.encode())
