"""Fixes the counts of each window in the store and reports them."""

import asyncio
from collections import abc
import datetime
import random
import typing

from absl import logging
import attrs
import msgspec
from returns import result

from balsamramp_core import background_task
from balsamramp_core import clock
from balsamramp_core import decoding
from balsamramp_core import metrics
from balsamramp_core import service_manager
from balsamramp_core import storage
from balsamramp_node.process import decision_log
from balsamramp_node.usage import fleet_time
from balsamramp_node.usage import reporter_lease
from balsamramp_node.usage import usage_collector
from balsamramp_node.usage import usage_publisher
from balsamramp_node.usage import usage_roles
from balsamramp_node.usage import usage_windows
from balsamramp_wire import control_transport
from balsamramp_wire import usage_messages

__all__ = ["UsageReporter", "WindowRow", "window_key"]

PREFIX = "usage/windows/"
STEP_INTERVAL = datetime.timedelta(milliseconds=250)
# Shares of the lateness after the end of a window: until then the counts of
# zones out of reach are waited for, ...
FIX_SHARE = 0.65
# ... after that the first candidate takes over from a holder that has
# reported nothing, and each further one a little later. They look at its
# lease in time before.
TAKE_OVER_SHARE = 0.75
LOOK_SHARE = 0.4
POSITION_SHARE = 0.05
SEND_TIME_MIN = datetime.timedelta(milliseconds=500)
RETRY_MIN = datetime.timedelta(milliseconds=250)
RETRY_MAX = datetime.timedelta(seconds=2)
STORE_RETRY_DELAY = datetime.timedelta(seconds=1)
ERROR_PAUSE = datetime.timedelta(seconds=1)
NOTICE_TIMEOUT = datetime.timedelta(milliseconds=800)
# Rows of reported windows that stay for operators at least.
KEPT_ROWS_MIN = 6
SCAN_MAX_ROWS = 100
DELETED_ROWS_MAX = 20
# A row of the store holds 64 KiB.
COUNTS_MAX_BYTES = 48_000


@attrs.frozen(kw_only=True)
class WindowRow:
    """The counts of one window, which no node changes any more."""

    window: int
    counts: dict[str, int]


def window_key(window: int) -> str:
    """Return the table key of the counts of ``window``."""
    return f"{PREFIX}{window:012d}"


class UsageReporter(service_manager.Service):
    """Reports the usage of each window, one node at a time.

    Only candidates take the lease. A holder first writes the counts of a
    window to a row that must not exist yet, in one transaction with its
    lease, and then sends what that row holds. Whoever repeats a report
    sends the same counts therefore, whatever it has counted itself.
    """

    name = "usage-reporter"
    requires = ("usage-exchange",)

    def __init__(
        self,
        lease: reporter_lease.ReporterLease,
        node: str,
        table: storage.Table,
        collector: usage_collector.UsageCollector,
        roles: usage_roles.UsageRoles,
        windows: usage_windows.UsageWindows,
        publisher: usage_publisher.UsagePublisher,
        fleet: fleet_time.FleetTime,
        transport: control_transport.ControlTransport,
        time: clock.Clock,
        counters: metrics.Metrics,
        decisions: decision_log.DecisionLog,
        rng: random.Random,
    ) -> None:
        self._lease = lease
        self._node = node
        self._table = table
        self._collector = collector
        self._roles = roles
        self._usage_windows = windows
        self._publisher = publisher
        self._fleet = fleet
        self._transport = transport
        self._clock = time
        self._metrics = counters
        self._decisions = decisions
        self._random = rng
        # A window's row stays as long as its report may be repeated, and as
        # wall clocks differ by less than a window.
        self._kept_rows = max(KEPT_ROWS_MIN, windows.retained + 2)
        self._started_at = datetime.timedelta()
        self._fixed: dict[int, dict[str, int]] = {}
        self._unsure: set[int] = set()
        self._not_fixed: set[int] = set()
        self._reported: set[int] = set()
        self._old_keys: list[str] = []
        self._loaded_token = 0
        self._held_since = 0
        self._retry_at = datetime.timedelta()
        self._retry_wait = RETRY_MIN
        self._store_retry_at = datetime.timedelta()
        self._first: int | None = None
        self._looked_at: set[int] = set()
        self._task: asyncio.Task[None] | None = None
        self._notices: set[asyncio.Task[typing.Any]] = set()
        transport.handle(usage_messages.ReportedRequest, self._serve_reported)

    async def start(self) -> None:
        self._started_at = self._clock.monotonic()
        self._task = background_task.start(
            self._run, self._clock, self._metrics
        )

    async def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def dump(self) -> abc.Mapping[str, typing.Any]:
        return {
            "holds": self._lease.is_owner,
            "token": self._lease.token,
            "fixed": sorted(self._fixed),
            "reported": sorted(self._reported),
        }

    async def _run(self) -> None:
        while True:
            jitter = 0.8 + 0.4 * self._random.random()
            await self._clock.sleep(STEP_INTERVAL * jitter)
            try:
                await self._step()
            except Exception:
                logging.exception("a step of reporting usage failed; going on")
                await self._clock.sleep(ERROR_PAUSE)

    async def _step(self) -> None:
        """Report the windows that are ready, the oldest first."""
        position = self._roles.position
        if position is None:
            return
        now = self._fleet.now()
        running = self._usage_windows.window_at(now)
        first = running - self._usage_windows.retained
        self._forget(first)
        for window in range(first, running):
            if window in self._reported or now >= self._usage_windows.due(
                window
            ):
                continue
            if self._clock.monotonic() < self._store_retry_at:
                return
            if not await self._report(window, position):
                return

    async def _report(self, window: int, position: int) -> bool:
        """Take one window further; return whether to go on with the next."""
        if not self._is_due(window, position):
            await self._look(window)
            return True
        may_report = self._lease.is_owner or self._may_fix(window)
        if not may_report and not await self._find_fixed(window):
            return True
        if not await self._hold():
            self._store_retry_at = self._clock.monotonic() + STORE_RETRY_DELAY
            return False
        if window not in self._fixed and not self._may_fix(window):
            return True
        if window not in self._fixed and not await self._fix(window):
            self._store_retry_at = self._clock.monotonic() + STORE_RETRY_DELAY
            return False
        if self._clock.monotonic() < self._retry_at:
            return True
        return await self._publish(window)

    async def _hold(self) -> bool:
        """Take the lease, unless this node has it, and read what is fixed."""
        if not self._lease.is_owner and not await self._lease.take():
            return False
        return self._loaded_token == self._lease.token or await self._load()

    async def _look(self, window: int) -> None:
        """Read the lease once if the report of a window is slow to come."""
        passed = self._fleet.now() - self._usage_windows.end(window)
        if (
            self._lease.is_owner
            or window in self._looked_at
            or passed < self._usage_windows.lateness * LOOK_SHARE
        ):
            return
        if await self._lease.look():
            self._looked_at.add(window)
        else:
            self._store_retry_at = self._clock.monotonic() + STORE_RETRY_DELAY

    def _is_due(self, window: int, position: int) -> bool:
        """Return whether this node has to act on the window now."""
        passed = self._fleet.now() - self._usage_windows.end(window)
        lateness = self._usage_windows.lateness
        if not self._lease.is_owner:
            share = TAKE_OVER_SHARE + position * POSITION_SHARE
            return passed >= lateness * share
        if window in self._fixed or passed >= lateness * FIX_SHARE:
            return True
        return self._collector.is_complete(window)

    def _may_fix(self, window: int) -> bool:
        """Return whether this node has run while the window did.

        The counts of an earlier one went with the nodes that had them.
        """
        started = self._fleet.at(self._started_at)
        return self._usage_windows.end(window) > started

    async def _find_fixed(self, window: int) -> bool:
        """Return whether a window that is not this node's to fix is fixed.

        Otherwise there is nothing to take the lease for. The row is read
        once, as windows are fixed earlier than others take over.
        """
        if window in self._fixed:
            return True
        if window in self._not_fixed:
            return False
        read = await self._table.read(window_key(window))
        if isinstance(read, result.Failure):
            self._store_retry_at = self._clock.monotonic() + STORE_RETRY_DELAY
            return False
        stored = read.unwrap()
        if stored is not None and self._adopt(stored):
            return True
        self._not_fixed.add(window)
        return False

    async def _load(self) -> bool:
        """Read which windows are fixed, at the beginning of a lease."""
        scanned = await self._table.scan(PREFIX, "", SCAN_MAX_ROWS)
        if isinstance(scanned, result.Failure):
            return False
        running = self._usage_windows.window_at(self._fleet.now())
        oldest = window_key(running - self._kept_rows)
        self._old_keys = []
        for row in scanned.unwrap():
            if row.key < oldest:
                self._old_keys.append(row.key)
                continue
            self._adopt(row)
        self._loaded_token = self._lease.token
        self._held_since = running
        return True

    async def _fix(self, window: int) -> bool:
        """Write the counts of a window, unless they are written already."""
        key = window_key(window)
        if window in self._unsure:
            read = await self._table.read(key)
            if isinstance(read, result.Failure):
                return False
            stored = read.unwrap()
            if stored is not None:
                return self._adopt(stored)
        complete = self._collector.is_complete(window)
        counts = self._limit(window, self._collector.totals(window))
        value = msgspec.json.encode(WindowRow(window=window, counts=counts))
        deleted = [window_key(window - self._kept_rows)]
        deleted += self._old_keys[:DELETED_ROWS_MAX]
        self._unsure.add(window)
        applied = await self._lease.commit(
            (storage.Condition(key, 0),),
            (
                storage.Write(key, value),
                *(storage.Write(old, None) for old in deleted),
            ),
        )
        if not applied:
            return False
        self._old_keys = self._old_keys[DELETED_ROWS_MAX:]
        self._fixed[window] = counts
        self._metrics.count("usage_windows_fixed_total")
        self._decisions.write(
            "usage_fixed",
            window=window,
            complete=complete,
            organisations=len(counts),
            calls=sum(counts.values()),
            token=self._lease.token,
        )
        return True

    async def _publish(self, window: int) -> bool:
        now = self._clock.monotonic()
        time_left = self._lease.held_until - now
        if time_left < SEND_TIME_MIN and not await self._lease.commit((), ()):
            self._store_retry_at = now + STORE_RETRY_DELAY
            return False
        report = usage_publisher.UsageReport(
            window=window,
            counts=self._fixed[window],
            holder=self._node,
            token=self._lease.token,
        )
        published = await self._publisher.publish(
            report, self._lease.held_until
        )
        if isinstance(published, result.Failure):
            self._on_publish_failed(window, published.failure().message)
            return False
        self._retry_wait = RETRY_MIN
        self._reported.add(window)
        self._metrics.count("usage_reports_total", outcome="taken")
        self._decisions.write(
            "usage_reported", window=window, token=self._lease.token
        )
        self._send_notices()
        return True

    def _on_publish_failed(self, window: int, cause: str) -> None:
        jitter = 0.5 + self._random.random()
        self._retry_at = self._clock.monotonic() + self._retry_wait * jitter
        self._decisions.write(
            "usage_unreported",
            window=window,
            token=self._lease.token,
            cause=cause,
            retry_ms=round(self._retry_wait.total_seconds() * 1000),
        )
        self._metrics.count("usage_reports_total", outcome="failed")
        self._retry_wait = min(2 * self._retry_wait, RETRY_MAX)
        self._send_notices()

    def _send_notices(self) -> None:
        """Tell the other candidates that they need not take over."""
        request = usage_messages.ReportedRequest(
            revision=self._lease.revision,
            windows=tuple(sorted(self._reported)),
        )
        for member in self._roles.other_candidates():
            task = asyncio.create_task(
                self._transport.send(member.control, request, NOTICE_TIMEOUT)
            )
            self._notices.add(task)
            task.add_done_callback(self._notices.discard)

    async def _serve_reported(
        self, request: usage_messages.ReportedRequest
    ) -> usage_messages.ReportedReply:
        now = self._fleet.now()
        self._lease.observe(request.revision)
        for window in request.windows:
            if self._usage_windows.is_retained(window, now):
                self._reported.add(window)
        return usage_messages.ReportedReply()

    def _adopt(self, row: storage.Row) -> bool:
        """Keep the counts in a row as those of its window."""
        try:
            found = decoding.decode_json(row.value, WindowRow)
        except decoding.DecodingError as error:
            logging.warning(
                "row %s holds no counts of a window; it is not reported: %s",
                row.key,
                error,
            )
            return False
        self._fixed[found.window] = found.counts
        return True

    def _limit(
        self, window: int, counts: abc.Mapping[str, int]
    ) -> dict[str, int]:
        """Return the largest counts that fit into a row."""
        limited: dict[str, int] = {}
        room = COUNTS_MAX_BYTES
        for name in sorted(counts, key=lambda name: (-counts[name], name)):
            room -= len(msgspec.json.encode({name: counts[name]}))
            if room < 0:
                break
            limited[name] = counts[name]
        if len(limited) < len(counts):
            logging.warning(
                "window %d has %d organisations; reporting the %d largest, as"
                " a row holds %d bytes",
                window,
                len(counts),
                len(limited),
                COUNTS_MAX_BYTES,
            )
        return dict(sorted(limited.items()))

    def _forget(self, first: int) -> None:
        """Forget the windows before ``first``, which are overdue."""
        oldest = first - self._usage_windows.retained
        for window in range(max(self._first or first, oldest), first):
            if window in self._reported or not self._lease.is_owner:
                continue
            if window < self._held_since or not self._may_fix(window):
                continue
            self._metrics.count("usage_windows_missed_total")
            self._decisions.write(
                "usage_window_missed",
                window=window,
                fixed=window in self._fixed,
            )
        self._first = first
        for window in [number for number in self._fixed if number < first]:
            del self._fixed[window]
        self._reported = {
            number for number in self._reported if number >= first
        }
        self._unsure = {number for number in self._unsure if number >= first}
        self._not_fixed = {
            number for number in self._not_fixed if number >= first
        }
        self._looked_at = {
            number for number in self._looked_at if number >= first
        }
