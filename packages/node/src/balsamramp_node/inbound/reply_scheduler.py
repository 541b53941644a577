"""Sends replies to other nodes at the rate of this VM's link."""

import asyncio
import datetime
import itertools

import attrs

from balsamramp_core import clock
from balsamramp_core import metrics
from balsamramp_core import verdict
from balsamramp_node.inbound import reply_order
from balsamramp_node.outbound import call_transport
from balsamramp_node.process import decision_log
from balsamramp_wire import frames
from balsamramp_wire import messages

__all__ = ["Reply", "ReplyScheduler"]

# Share of the link for replies. The rest is for calls to the platform's
# store, requests, callers on this VM, and the headers of TCP and IP.
LINK_SHARE = 0.9
# Smaller frames are sent at once, ahead of the parts of larger ones.
SMALL_FRAME_MAX_BYTES = 4 * 1024
PART_MIN_BYTES = 8 * 1024
# Time that the link needs for one part, and for what may be sent in one burst
# after a pause.
PART_TIME = datetime.timedelta(milliseconds=10)
BURST_TIME = datetime.timedelta(milliseconds=40)
# A connection with more unsent data is skipped: its peer does not take it.
UNSENT_MAX_BYTES = 32 * 1024
# Interval of checks while no connection takes data.
BLOCKED_CHECK_INTERVAL = datetime.timedelta(milliseconds=20)
NONE = datetime.timedelta()

Reply = call_transport.Reply | messages.ControlAnswer


@attrs.define(eq=False, kw_only=True)
class _QueuedReply(reply_order.PendingReply):
    """A frame that is sent in parts, with the ``number`` of its parts."""

    number: int
    reply: Reply
    frame: memoryview
    writer: asyncio.StreamWriter

    @property
    def call_id(self) -> str | None:
        """Return the identifier of the call, if it is one."""
        if isinstance(self.reply, messages.ControlAnswer):
            return None
        return self.reply.call_id

    @property
    def blocked(self) -> bool:
        """Return whether the peer does not take what was sent before."""
        unsent = self.writer.transport.get_write_buffer_size()
        return unsent > UNSENT_MAX_BYTES

    @property
    def started(self) -> bool:
        """Return whether a part has been sent."""
        return self.remaining_bytes < len(self.frame)


class ReplyScheduler:
    """Keeps the queue for the link in this process, and in order.

    Written as they come, large replies would fill the queues of the link,
    and all other data of this VM would wait behind them. So small replies
    are sent at once, and large ones in parts as fast as the link takes them.
    A reply that cannot arrive before its deadline any more is replaced by a
    failure. Without a rate everything is sent at once.
    """

    def __init__(
        self,
        link_bytes_per_second: float,
        time: clock.Clock,
        counters: metrics.Metrics,
        decisions: decision_log.DecisionLog,
    ) -> None:
        self._rate = link_bytes_per_second * LINK_SHARE
        self._clock = time
        self._metrics = counters
        self._decisions = decisions
        self._part_bytes = max(
            PART_MIN_BYTES, int(self._rate * PART_TIME.total_seconds())
        )
        self._queue: list[_QueuedReply] = []
        self._numbers = itertools.count(1)
        # The link is taken by what was sent until then.
        self._busy_until = NONE
        self._timer: asyncio.TimerHandle | None = None

    @property
    def queued_bytes(self) -> int:
        """Return how much waits for the link."""
        return sum(item.remaining_bytes for item in self._queue)

    def expected_time(self, size: int) -> datetime.timedelta:
        """Return the time that the link needs for ``size`` bytes."""
        if not self._rate:
            return NONE
        return datetime.timedelta(seconds=size / self._rate)

    def send(
        self,
        writer: asyncio.StreamWriter,
        reply: Reply,
        objective_at: datetime.timedelta,
        deadline: datetime.timedelta,
        in_parts: bool,
    ) -> None:
        """Send ``reply`` now or when the link has room for it.

        ``in_parts`` states that the peer understands parts of frames.
        """
        frame = frames.encode(reply)
        now = self._clock.monotonic()
        if not (self._rate and in_parts) or self._fits_now(len(frame), now):
            self._write(writer, frame, type(reply).__name__, now)
            return
        self._queue.append(
            _QueuedReply(
                number=next(self._numbers),
                reply=reply,
                frame=memoryview(frame),
                writer=writer,
                remaining_bytes=len(frame),
                objective_at=objective_at,
                deadline=deadline,
            )
        )
        if self._timer is None:
            self._pump()

    def write(self, writer: asyncio.StreamWriter, message: object) -> None:
        """Send a small message at once."""
        now = self._clock.monotonic()
        self._write(
            writer, frames.encode(message), type(message).__name__, now
        )

    def discard(self, call_id: str) -> None:
        """Stop sending the reply to a call whose caller has left."""
        for item in list(self._queue):
            if item.call_id == call_id:
                self._drop(item)

    def forget(self, writer: asyncio.StreamWriter) -> None:
        """Drop the replies of a connection that has ended."""
        self._queue = [item for item in self._queue if item.writer != writer]

    async def flush(self, writer: asyncio.StreamWriter) -> None:
        """Wait until all replies of a connection are sent."""
        while any(item.writer is writer for item in self._queue):
            await self._clock.sleep(BLOCKED_CHECK_INTERVAL)

    def _fits_now(self, size: int, now: datetime.timedelta) -> bool:
        if size <= SMALL_FRAME_MAX_BYTES:
            return True
        if self._queue:
            return False
        end = max(self._busy_until, now) + self.expected_time(size)
        return end <= now + BURST_TIME

    def _pump(self) -> None:
        """Send what the link takes now, and schedule the next time."""
        self._timer = None
        while True:
            now = self._clock.monotonic()
            self._drop_overdue(now)
            if not self._queue:
                return
            link_wait = self._busy_until - now
            if link_wait > BURST_TIME:
                self._schedule(link_wait - BURST_TIME / 2)
                return
            item = reply_order.find_next_reply(
                (item for item in self._queue if not item.blocked),
                now,
                self._rate,
            )
            if item is None:
                self._schedule(BLOCKED_CHECK_INTERVAL)
                return
            self._send_part(item, now)

    def _schedule(self, delay: datetime.timedelta) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay.total_seconds(), self._pump)

    def _send_part(self, item: _QueuedReply, now: datetime.timedelta) -> None:
        start = len(item.frame) - item.remaining_bytes
        data = bytes(item.frame[start : start + self._part_bytes])
        item.remaining_bytes -= len(data)
        part = messages.FramePart(
            item.number, data, last=not item.remaining_bytes
        )
        name = type(item.reply).__name__
        self._write(item.writer, frames.encode(part), name, now)
        if not item.remaining_bytes:
            self._queue.remove(item)

    def _write(
        self,
        writer: asyncio.StreamWriter,
        frame: bytes,
        message_name: str,
        now: datetime.timedelta,
    ) -> None:
        if writer.is_closing():
            return
        self._busy_until = max(self._busy_until, now) + self.expected_time(
            len(frame)
        )
        self._metrics.count(
            "stream_sent_bytes_total", len(frame), message=message_name
        )
        writer.write(frame)

    def _drop_overdue(self, now: datetime.timedelta) -> None:
        for item in list(self._queue):
            needed = self.expected_time(item.remaining_bytes)
            if now + needed <= item.deadline:
                continue
            self._drop(item)
            self._metrics.count("replies_overdue_total")
            self._decisions.write(
                "reply_overdue",
                call_id=item.call_id,
                remaining_bytes=item.remaining_bytes,
                queued_bytes=self.queued_bytes,
            )
            if isinstance(item.reply, messages.ControlAnswer):
                continue
            failure = verdict.Failure(
                verdict.Verdict.MAY_HAVE_RUN,
                verdict.Reason.DEADLINE,
                "the link cannot deliver the response before the deadline",
            )
            self.write(
                item.writer,
                messages.CallFailure(
                    call_id=item.reply.call_id,
                    failure=failure,
                    load=item.reply.load,
                ),
            )

    def _drop(self, item: _QueuedReply) -> None:
        self._queue.remove(item)
        if item.started:
            self.write(
                item.writer, messages.FramePart(item.number, b"", drop=True)
            )
