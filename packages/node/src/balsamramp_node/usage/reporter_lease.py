"""The lease of the one node that reports usage."""

from collections import abc
import datetime

from absl import logging
import attrs
import msgspec
from returns import result

from balsamramp_core import clock
from balsamramp_core import decoding
from balsamramp_core import metrics
from balsamramp_core import storage
from balsamramp_node.process import decision_log

__all__ = ["LEASE_KEY", "LeaseRow", "ReporterLease"]

LEASE_KEY = "usage/lease"
# A holder acts for less time than others wait, so that clocks that run at
# slightly different rates, and messages in transit, do no harm.
HOLD_SHARE = 0.6
EXPIRY_SHARE = 1.15
# A node that has just started may know no members yet, and so no counts.
UNKNOWN_HOLDER_WAIT = datetime.timedelta(seconds=30)


@attrs.frozen(kw_only=True)
class LeaseRow:
    """The holder; ``token`` counts holders, ``renewals`` its writes."""

    node: str
    incarnation: int
    token: int
    renewals: int


@attrs.frozen
class _ObservedRevision:
    revision: int
    unchanged_since: datetime.timedelta


class ReporterLease:
    """One row of the table, written on condition of its revision.

    A holder writes the row each time that it has something to do, and may
    act until ``held_until``, which counts from before that write. Another
    node takes the row over only after it has not changed for longer than
    ``duration`` by that node's own monotonic clock, and much later if it
    does not know the holder, live or departed. So the wall clocks of VMs
    need not agree, and no two holders alternate within ``duration``.
    The lease is not given back on shutdown, as a next holder that begins
    at once could lose it again within ``duration``.
    """

    def __init__(
        self,
        node: str,
        incarnation: int,
        table: storage.Table,
        duration: datetime.timedelta,
        is_known: abc.Callable[[str], bool],
        time: clock.Clock,
        counters: metrics.Metrics,
        decisions: decision_log.DecisionLog,
    ) -> None:
        self._node = node
        self._incarnation = incarnation
        self._table = table
        self._hold_time = duration * HOLD_SHARE
        self._expiry_time = duration * EXPIRY_SHARE
        self._is_known = is_known
        self._clock = time
        self._metrics = counters
        self._decisions = decisions
        self._observed: _ObservedRevision | None = None
        self._is_owner = False
        self._revision: int | None = None
        self._token = 0
        self._renewals = 0
        self._held_until = datetime.timedelta()

    @property
    def is_owner(self) -> bool:
        """Return whether the row was this node's when last read.

        The lease may have expired since: it must be written before use.
        """
        return self._is_owner

    @property
    def token(self) -> int:
        """Return the number of the current lease, which only grows."""
        return self._token

    @property
    def revision(self) -> int:
        """Return the last known revision of the row, 0 if unknown."""
        return 0 if self._observed is None else self._observed.revision

    @property
    def held_until(self) -> datetime.timedelta:
        """Return the monotonic time after which the holder must not act."""
        return self._held_until

    def observe(self, revision: int) -> None:
        """Record a revision of the row that another node has read."""
        if self._observed is None or revision > self._observed.revision:
            self._observed = _ObservedRevision(
                revision, self._clock.monotonic()
            )

    async def look(self) -> bool:
        """Read the row, so that ``take`` knows for how long it lasts.

        Returns whether it could be read.
        """
        read = await self._table.read(LEASE_KEY)
        if isinstance(read, result.Failure):
            return False
        self._record(read.unwrap())
        return True

    async def take(self) -> bool:
        """Take the lease if it is free, and return whether it is held.

        The row is read only when it may have expired.
        """
        if self._observed is not None and not self._has_expired(
            self._observed.revision
        ):
            return False
        read = await self._table.read(LEASE_KEY)
        if isinstance(read, result.Failure):
            return False
        stored = read.unwrap()
        if stored is None:
            return await self._begin(0, 1, None)
        expired = self._has_expired(stored.revision)
        row = _decode(stored.value)
        if row is None:
            return False
        if self._is_mine(row):
            self._adopt(row, stored.revision)
            return await self.commit((), ())
        if not expired or self._must_wait_for(row):
            return False
        return await self._begin(stored.revision, row.token + 1, row)

    async def commit(
        self,
        conditions: tuple[storage.Condition, ...],
        writes: tuple[storage.Write, ...],
    ) -> bool:
        """Write the lease together with ``writes``.

        Returns whether they were applied and this node holds the lease
        since. If not, they may have been applied, or may be later, while
        the lease row has the revision that was known here.
        """
        if self._revision is None:
            await self._refresh()
        if self._revision is None:
            # Unreadable, or the row of another holder.
            return False
        sent_at = self._clock.monotonic()
        self._renewals += 1
        own = LeaseRow(
            node=self._node,
            incarnation=self._incarnation,
            token=self._token,
            renewals=self._renewals,
        )
        committed = await self._table.commit(
            storage.Transaction(
                (storage.Condition(LEASE_KEY, self._revision), *conditions),
                (storage.Write(LEASE_KEY, msgspec.json.encode(own)), *writes),
            )
        )
        applied = isinstance(committed, result.Success)
        if applied:
            self._revision = None
        found = await self._refresh()
        if not applied and found != own:
            return False
        if found is not None and not self._is_mine(found):
            return False
        self._is_owner = True
        self._held_until = sent_at + self._hold_time
        return True

    async def _begin(
        self, revision: int, token: int, previous: LeaseRow | None
    ) -> bool:
        self._revision = revision
        self._token = token
        if not await self.commit((), ()):
            return False
        self._metrics.count("usage_leases_taken_total")
        self._decisions.write(
            "usage_lease_taken",
            token=token,
            previous=None if previous is None else previous.node,
        )
        return True

    async def _refresh(self) -> LeaseRow | None:
        """Read the row and return it; None if it cannot be read."""
        read = await self._table.read(LEASE_KEY)
        if isinstance(read, result.Failure):
            return None
        return self._record(read.unwrap())

    def _record(self, stored: storage.Row | None) -> LeaseRow | None:
        row = None if stored is None else _decode(stored.value)
        if stored is None or row is None:
            return None
        self._has_expired(stored.revision)
        if self._is_mine(row):
            self._adopt(row, stored.revision)
        else:
            self._lose(row)
        return row

    def _adopt(self, row: LeaseRow, revision: int) -> None:
        self._is_owner = True
        self._revision = revision
        self._token = row.token
        self._renewals = max(self._renewals, row.renewals)

    def _lose(self, row: LeaseRow) -> None:
        self._held_until = datetime.timedelta()
        if not self._is_owner:
            return
        self._is_owner = False
        self._metrics.count("usage_leases_lost_total")
        self._decisions.write(
            "usage_lease_lost",
            token=self._token,
            holder=row.node,
            holder_token=row.token,
            cause="another node took it after it had expired",
        )

    def _is_mine(self, row: LeaseRow) -> bool:
        return (row.node, row.incarnation) == (self._node, self._incarnation)

    def _must_wait_for(self, row: LeaseRow) -> bool:
        """Return whether this node must learn first who the holder is."""
        assert self._observed is not None
        if self._is_known(row.node):
            return False
        unchanged = self._clock.monotonic() - self._observed.unchanged_since
        return unchanged < UNKNOWN_HOLDER_WAIT

    def _has_expired(self, revision: int) -> bool:
        """Observe a revision; return whether it has lasted long enough."""
        now = self._clock.monotonic()
        if self._observed is None or self._observed.revision != revision:
            self._observed = _ObservedRevision(revision, now)
            return False
        return now - self._observed.unchanged_since >= self._expiry_time


def _decode(value: bytes) -> LeaseRow | None:
    try:
        return decoding.decode_json(value, LeaseRow)
    except decoding.DecodingError as error:
        logging.warning(
            "row %s is not a valid lease, so usage is not reported: %s",
            LEASE_KEY,
            error,
        )
        return None
