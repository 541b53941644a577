"""Structured log of the decisions of a process.

A line is a JSON object with the time, the node, the event and the inputs
of the decision. Lines are buffered up to a limit until they can be written
to standard output. Writing never blocks; lines beyond the rate limit or
the buffer are omitted, and their number is logged.
"""

import abc
import datetime
import logging as std_logging
import os
import select
import typing

from absl import logging
import msgspec

from balsamramp_core import clock

__all__ = [
    "DecisionHandler",
    "DecisionLog",
    "FileSink",
    "LineSink",
    "LoggerSink",
    "NullSink",
    "milliseconds",
]

# Limits for routine events and for all others. A node at twice its usual load
# answers about 250 requests per second.
ROUTINE_LINES_PER_SECOND = 300.0
OTHER_LINES_PER_SECOND = 600.0
# Lines of one event that are written whatever the other events use up, so
# that what explains a flood of refusals is not lost in it.
EVENT_LINES_PER_SECOND = 2.0
# Burst size of the rate limiters: the lines of this many seconds.
BURST_SECONDS = 2.0
# Holds one second of lines at the full rate, at 300 bytes each.
BUFFER_MAX_BYTES = 256 * 1024
# A killed process loses the lines of up to one interval.
FLUSH_INTERVAL = datetime.timedelta(milliseconds=100)
OMITTED_REPORT_INTERVAL = datetime.timedelta(seconds=1)


class LineSink(abc.ABC):
    """Destination for log lines; drops a line when its buffer is full."""

    @abc.abstractmethod
    def write(self, line: bytes) -> bool:
        """Buffer ``line``; return False if it is dropped. Never blocks."""


class NullSink(LineSink):
    """Discards all lines."""

    def write(self, line: bytes) -> bool:
        return True


class LoggerSink(LineSink):
    """Writes to the log of the process, as informational messages."""

    def write(self, line: bytes) -> bool:
        logging.info("%s", line.decode())
        return True


class FileSink(LineSink):
    """Writes to a file descriptor, which it sets to non-blocking mode."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._buffer = bytearray()
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> bool:
        if len(self._buffer) + len(line) >= BUFFER_MAX_BYTES:
            self.flush()
        if len(self._buffer) + len(line) >= BUFFER_MAX_BYTES:
            return False
        self._buffer += line
        self._buffer += b"\n"
        return True

    async def run(self, time: clock.Clock) -> None:
        """Flush the buffer periodically."""
        while True:
            await time.sleep(FLUSH_INTERVAL)
            self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts."""
        if not self._buffer:
            return
        try:
            written = os.write(self._descriptor, self._buffer)
        except OSError:
            # The reader stands still or is gone, or the disk is full. What
            # is buffered is written once there is room again.
            return
        del self._buffer[:written]

    def drain(self, time: clock.Clock, timeout: datetime.timedelta) -> None:
        """Write what is buffered; block up to ``timeout`` for its reader."""
        end = time.monotonic() + timeout
        writable = False
        while True:
            pending = len(self._buffer)
            self.flush()
            if not self._buffer:
                return
            if writable and len(self._buffer) == pending:
                # The reader is gone, or the disk is full.
                return
            left = (end - time.monotonic()).total_seconds()
            _, ready, _ = select.select(
                [], [self._descriptor], [], max(left, 0.0)
            )
            writable = bool(ready)
            if not writable:
                return


class _TokenBucket:
    """A token bucket of log lines."""

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._tokens = rate * BURST_SECONDS
        self._refilled_at = datetime.timedelta()

    def take_token(self, now: datetime.timedelta) -> bool:
        elapsed = (now - self._refilled_at).total_seconds()
        self._refilled_at = now
        capacity = self._rate * BURST_SECONDS
        self._tokens = min(capacity, self._tokens + elapsed * self._rate)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class DecisionLog:
    """Writes rate-limited lines; ``context`` is part of each line.

    Example::

        decisions.write("refused", request_id="9c41", reason="overloaded")
    """

    def __init__(
        self, sink: LineSink, time: clock.Clock, **context: typing.Any
    ) -> None:
        self._sink = sink
        self._clock = time
        self._context = context
        self._encoder = msgspec.json.Encoder()
        self._routine_limiter = _TokenBucket(ROUTINE_LINES_PER_SECOND)
        self._other_limiter = _TokenBucket(OTHER_LINES_PER_SECOND)
        self._event_limiters: dict[str, _TokenBucket] = {}
        self._omitted = 0
        self._omitted_reported_at = time.monotonic()

    def write(self, event: str, **fields: typing.Any) -> None:
        """Log a decision that an operator may investigate later."""
        limiter = self._event_limiters.get(event)
        if limiter is None:
            limiter = _TokenBucket(EVENT_LINES_PER_SECOND)
            self._event_limiters[event] = limiter
        if limiter.take_token(self._clock.monotonic()):
            self._write_line(event, fields)
            return
        self._write_limited(self._other_limiter, event, fields)

    def write_routine(self, event: str, **fields: typing.Any) -> None:
        """Log a frequent decision with the expected result."""
        self._write_limited(self._routine_limiter, event, fields)

    def _write_limited(
        self, limiter: _TokenBucket, event: str, fields: dict[str, typing.Any]
    ) -> None:
        now = self._clock.monotonic()
        if not limiter.take_token(now):
            self._omitted += 1
            return
        if (
            self._omitted
            and now - self._omitted_reported_at >= OMITTED_REPORT_INTERVAL
        ):
            count, self._omitted = self._omitted, 0
            self._omitted_reported_at = now
            self._write_line("lines_omitted", {"count": count})
        self._write_line(event, fields)

    def _write_line(self, event: str, fields: dict[str, typing.Any]) -> None:
        line = {
            "time": self._clock.now().isoformat(timespec="milliseconds"),
            **self._context,
            "event": event,
            **fields,
        }
        try:
            encoded = self._encoder.encode(line)
        except (TypeError, ValueError):
            # A log line must not end what it tells of.
            texts = {name: repr(value) for name, value in fields.items()}
            encoded = self._encoder.encode({**line, **texts})
        if not self._sink.write(encoded):
            self._omitted += 1


class DecisionHandler(std_logging.Handler):
    """Forwards records of the logging library to a decision log."""

    def __init__(self, decisions: DecisionLog) -> None:
        super().__init__()
        self._decisions = decisions

    def emit(self, record: std_logging.LogRecord) -> None:
        """Write one record as a ``message`` event."""
        try:
            text = record.getMessage()
        except (TypeError, ValueError):
            text = f"{record.msg!r} with {record.args!r}"
        fields = {"level": record.levelname, "text": text}
        if record.exc_info and record.exc_info[1] is not None:
            fields["error"] = repr(record.exc_info[1])
            fields["where"] = _innermost_frame(record.exc_info[2])
        self._decisions.write("message", **fields)


def milliseconds(duration: datetime.timedelta | None) -> float | None:
    """Return a duration as it is logged, None if there is none."""
    if duration is None:
        return None
    return round(duration / datetime.timedelta(milliseconds=1), 1)


def _innermost_frame(traceback: typing.Any) -> str:
    """Return the file and line of the innermost frame of a traceback."""
    location = ""
    while traceback is not None:
        code = traceback.tb_frame.f_code
        location = (
            f"{os.path.basename(code.co_filename)}:{traceback.tb_lineno}"
        )
        traceback = traceback.tb_next
    return location
