"""Decision log: one structured line for each decision of a process.

A line is a JSON object with the time, the node, the event and what
decided it. Lines wait in a bounded buffer until standard output takes
them; writing never blocks, and the number of lines left out is logged.
"""

import abc
import datetime
import logging as std_logging
import os
import typing

import msgspec

from balsamramp_core import clock

__all__ = [
    "DecisionHandler",
    "DecisionLog",
    "FileSink",
    "LineSink",
    "NullSink",
]

# Lines a second for what goes well, and for the rest. A node at twice its
# usual load answers about 250 requests a second.
ROUTINE_RATE = 300.0
OTHER_RATE = 600.0
# Lines that may come at once, in seconds of the rate.
BURST_SECONDS = 2.0
# A second of lines at the highest rate, at 300 bytes each.
BUFFER_MAX_BYTES = 256 * 1024
# Lines of this time are lost when a process is killed.
FLUSH_INTERVAL = datetime.timedelta(milliseconds=100)
OMITTED_INTERVAL = datetime.timedelta(seconds=1)


class LineSink(abc.ABC):
    """Takes lines, or leaves them out when there is no room."""

    @abc.abstractmethod
    def write(self, line: bytes) -> bool:
        """Take ``line``; False if it is left out. Never blocks."""


class NullSink(LineSink):
    """Keeps nothing."""

    def write(self, line: bytes) -> bool:
        return True


class FileSink(LineSink):
    """Writes to a file descriptor that must not block the process."""

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
        """Write what has gathered, again and again."""
        while True:
            await time.sleep(FLUSH_INTERVAL)
            self.flush()

    def flush(self) -> None:
        """Write as much as the descriptor takes now."""
        if not self._buffer:
            return
        try:
            written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads any more, and there is nowhere to say so.
            self._buffer.clear()
            return
        del self._buffer[:written]


class _Bucket:
    """A token bucket."""

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._tokens = rate * BURST_SECONDS
        self._at = datetime.timedelta()

    def take(self, now: datetime.timedelta) -> bool:
        passed = (now - self._at).total_seconds()
        self._at = now
        most = self._rate * BURST_SECONDS
        self._tokens = min(most, self._tokens + passed * self._rate)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class DecisionLog:
    """Writes lines at a bounded rate.

    Example::

        decisions.write("refused", request_id="9c41", reason="overloaded")
    """

    def __init__(
        self, sink: LineSink, time: clock.Clock, **place: typing.Any
    ) -> None:
        self._sink = sink
        self._clock = time
        self._place = place
        self._encoder = msgspec.json.Encoder()
        self._routine = _Bucket(ROUTINE_RATE)
        self._other = _Bucket(OTHER_RATE)
        self._omitted = 0
        self._omitted_at = time.monotonic()

    def write(self, event: str, **fields: typing.Any) -> None:
        """Log a decision that an operator may ask about later."""
        self._write(self._other, event, fields)

    def routine(self, event: str, **fields: typing.Any) -> None:
        """Log a decision of which there are many and that went well."""
        self._write(self._routine, event, fields)

    def _write(
        self, bucket: _Bucket, event: str, fields: dict[str, typing.Any]
    ) -> None:
        now = self._clock.monotonic()
        if not bucket.take(now):
            self._omitted += 1
            return
        if self._omitted and now - self._omitted_at >= OMITTED_INTERVAL:
            count, self._omitted = self._omitted, 0
            self._omitted_at = now
            self._put("lines_omitted", {"count": count})
        self._put(event, fields)

    def _put(self, event: str, fields: dict[str, typing.Any]) -> None:
        line = {
            "time": self._clock.now().isoformat(timespec="milliseconds"),
            **self._place,
            "event": event,
            **fields,
        }
        if not self._sink.write(self._encoder.encode(line)):
            self._omitted += 1


class DecisionHandler(std_logging.Handler):
    """Puts the records of the logging library into a decision log."""

    def __init__(self, decisions: DecisionLog) -> None:
        super().__init__()
        self._decisions = decisions

    def emit(self, record: std_logging.LogRecord) -> None:
        """Write one record."""
        fields = {"level": record.levelname, "text": record.getMessage()}
        if record.exc_info and record.exc_info[1] is not None:
            fields["error"] = repr(record.exc_info[1])
            fields["where"] = _where(record.exc_info[2])
        self._decisions.write("message", **fields)


def _where(traceback: typing.Any) -> str:
    """Return the innermost file and line of a traceback."""
    where = ""
    while traceback is not None:
        code = traceback.tb_frame.f_code
        where = f"{os.path.basename(code.co_filename)}:{traceback.tb_lineno}"
        traceback = traceback.tb_next
    return where
