"""Runs a sidecar process until a stop signal."""

import asyncio
from collections import abc
import datetime
import logging as std_logging
import os
import pathlib
import signal
import threading
import typing

from absl import flags
from absl import logging
from returns import result
import uvloop

from balsamramp_core import background_task
from balsamramp_core import clock
from balsamramp_core import service_manager
from balsamramp_core import settings
from balsamramp_node.process import decision_log
from balsamramp_node.process import platform_adapter
from balsamramp_node.process import process_record
from balsamramp_node.process import process_signals
from balsamramp_node.process import settings_reader
from balsamramp_node.process import settings_watcher
from balsamramp_node.process import shutdown_schedule
from balsamramp_node.process import sidecar
from balsamramp_node.process import sidecar_options
from balsamramp_node.process import standard_error

__all__ = ["run", "start_exit_timer", "start_flushing"]

PROGRAM = "balsamramp-sidecar"
ENVIRONMENT_PREFIX = "BALSAMRAMP"
STDOUT_DESCRIPTOR = 1
# A timer of 0 would be none.
MIN_TIMER_SECONDS = 0.001
# Time for the last lines of the log, of which a reader may be behind. It fits
# between the end of a shutdown and that of its grace.
DRAIN_TIMEOUT = datetime.timedelta(milliseconds=100)
ADDRESS_OPTIONS = ("callers", "ready", "announcements")
PORT_OPTIONS = ("stream_port", "metrics_port")

AdapterFactory = abc.Callable[
    [settings.Settings], platform_adapter.PlatformAdapter
]


def run(path: pathlib.Path, make_adapter: AdapterFactory) -> int:
    """Run a sidecar with the settings in ``path``; return the exit code."""
    process = _SidecarProcess(path, make_adapter, clock.SystemClock())
    try:
        uvloop.run(process.run())
    except _InvalidSettingsError as error:
        return process.end(
            process_record.ExitCode.INVALID_SETTINGS, str(error)
        )
    except service_manager.StartError as error:
        return process.end(
            process_record.ExitCode.START_FAILED, f"cannot start: {error}"
        )
    except Exception as error:
        logging.exception("unexpected error")
        return process.end(
            process_record.ExitCode.UNEXPECTED_ERROR,
            f"unexpected error: {error!r}",
        )
    return process.end(process_record.ExitCode.STOPPED, "stop signal")


class _InvalidSettingsError(Exception):
    """The settings are still invalid after the wait for them."""


class _SidecarProcess:
    """A sidecar from reading its settings until its stop."""

    def __init__(
        self,
        path: pathlib.Path,
        make_adapter: AdapterFactory,
        now: clock.Clock,
    ) -> None:
        self._path = path
        self._make_adapter = make_adapter
        self._clock = now
        self._sink = decision_log.FileSink(STDOUT_DESCRIPTOR)
        self._decisions = decision_log.DecisionLog(self._sink, now)
        self._record = process_record.ProcessRecord(self._decisions, now)
        self._signals = process_signals.StopSignals()
        self._signals.listen()
        self._stop_requested = asyncio.Event()
        self._node: sidecar.Sidecar | None = None
        self._options: abc.Sequence[settings.Option] = ()

    async def run(self) -> None:
        """Serve until a stop signal."""
        loop = asyncio.get_running_loop()
        self._signals.tell(
            lambda: loop.call_soon_threadsafe(self._on_stop_signal)
        )
        flush_task = start_flushing(self._sink, self._clock)
        try:
            reading = await self._read_settings()
            if reading is not None and not self._stop_requested.is_set():
                await self._serve(reading)
        finally:
            signal.signal(signal.SIGHUP, signal.SIG_IGN)
            self._signals.ignore()
        flush_task.cancel()

    def end(self, exit_code: process_record.ExitCode, reason: str) -> int:
        """Tell operators why the process ends; return ``exit_code``."""
        return _end(self._record, self._sink, exit_code, reason)

    def _on_stop_signal(self) -> None:
        if self._node is not None:
            self._node.shutdown.begin()
        self._stop_requested.set()

    async def _read_settings(self) -> settings_reader.Reading | None:
        """Return the settings, or None if a stop signal ends the wait."""
        options = settings.with_environment(
            sidecar_options.OPTIONS, ENVIRONMENT_PREFIX, os.environ
        )
        if isinstance(options, result.Failure):
            raise _InvalidSettingsError(str(options.failure()))
        self._options = options.unwrap()
        reader = settings_reader.SettingsReader(
            self._path,
            self._options,
            self._clock,
            self._report_invalid_settings,
        )
        reading = asyncio.create_task(reader.read())
        await self._wait_unless_stopped(reading)
        if not reading.done():
            reading.cancel()
            return None
        checked = await reading
        if isinstance(checked, result.Failure):
            raise _InvalidSettingsError(str(checked.failure()))
        return checked.unwrap()

    def _report_invalid_settings(self, error: settings.SettingsError) -> None:
        self._decisions.write(
            "settings_invalid",
            error=str(error),
            wait_seconds=settings_reader.WAIT_MAX.total_seconds(),
        )
        self._sink.flush()
        standard_error.write_line(
            f"{PROGRAM}: {error}; waiting"
            f" {settings_reader.WAIT_MAX.total_seconds():.0f} s for it to"
            " become valid"
        )

    async def _wait_unless_stopped(
        self, task: asyncio.Task[typing.Any]
    ) -> None:
        """Wait until ``task`` is done or a stop signal has come."""
        stopped = asyncio.create_task(self._stop_requested.wait())
        await asyncio.wait(
            (task, stopped), return_when=asyncio.FIRST_COMPLETED
        )
        stopped.cancel()

    async def _serve(self, reading: settings_reader.Reading) -> None:
        checked = reading.settings
        self._decisions = decision_log.DecisionLog(
            self._sink,
            self._clock,
            node=checked.text("node", "id"),
            zone=checked.text("node", "zone"),
        )
        _redirect_logging(self._decisions)
        self._record = process_record.ProcessRecord(
            self._decisions, self._clock
        )
        self._record.write_start(
            reading.text,
            _describe_addresses(checked),
            _describe_environment(self._options),
        )
        self._sink.flush()
        node = sidecar.Sidecar(
            checked, self._make_adapter(checked), self._clock, self._decisions
        )
        self._node = node
        watcher = settings_watcher.SettingsWatcher(
            self._path,
            reading.text,
            self._options,
            node.reload,
            self._clock,
        )
        loop = asyncio.get_running_loop()
        # Not a handler of the event loop: closing the loop would restore the
        # default action, which ends the process.
        signal.signal(
            signal.SIGHUP,
            lambda number, frame: loop.call_soon_threadsafe(
                watcher.reload_if_changed
            ),
        )
        starting = asyncio.create_task(node.start())
        await self._wait_unless_stopped(starting)
        if starting.done():
            await starting
            watch_task = background_task.start(watcher.run, self._clock)
            await self._stop_requested.wait()
            watch_task.cancel()
        shutdown = node.shutdown
        exit_in = shutdown.seconds_until(shutdown.exit_at)
        start_exit_timer(exit_in, self._sink, self._record)
        if starting.done() or not await self._cancel_start(starting, shutdown):
            await node.stop()

    async def _cancel_start(
        self,
        starting: asyncio.Task[None],
        shutdown: shutdown_schedule.ShutdownSchedule,
    ) -> bool:
        """Stop what was started; return False if the node serves by then."""
        logging.info("stop signal while the node starts; stopping its start")
        starting.cancel()
        await asyncio.wait(
            (starting,), timeout=shutdown.seconds_until(shutdown.stop_end)
        )
        if not starting.done():
            logging.warning("the start did not stop in time; leaving it")
            return True
        if starting.cancelled():
            return True
        error = starting.exception()
        if error is not None:
            logging.warning("the start failed while it stopped: %r", error)
        return error is not None


def _end(
    record: process_record.ProcessRecord,
    sink: decision_log.FileSink,
    exit_code: process_record.ExitCode,
    reason: str,
) -> int:
    """Tell operators why the process ends; return ``exit_code``."""
    record.write_end(exit_code, reason)
    sink.drain(clock.SystemClock(), DRAIN_TIMEOUT)
    if exit_code != process_record.ExitCode.STOPPED:
        standard_error.write_line(f"{PROGRAM}: {reason}")
    return exit_code


def _describe_addresses(checked: settings.Settings) -> dict[str, str]:
    addresses = {
        name: checked.text("listen", name) for name in ADDRESS_OPTIONS
    }
    for name in PORT_OPTIONS:
        port = checked.integer("listen", name)
        addresses[name] = f"{checked.text('listen', 'host')}:{port}"
    return addresses


def _describe_environment(
    options: abc.Sequence[settings.Option],
) -> dict[str, str]:
    """Return the defaults that differ from those of the table."""
    found = {}
    for option, own in zip(options, sidecar_options.OPTIONS, strict=True):
        if option.default is not None and option.default != own.default:
            found[f"[{option.section}] {option.name}"] = option.default
    return found


def _redirect_logging(decisions: decision_log.DecisionLog) -> None:
    flags.FLAGS.mark_as_parsed()
    logging.set_verbosity(logging.INFO)
    root = std_logging.getLogger()
    root.handlers[:] = [decision_log.DecisionHandler(decisions)]


def start_flushing(
    sink: decision_log.FileSink, now: clock.Clock
) -> asyncio.Task[None]:
    """Return a task that writes the log for as long as the process runs."""

    async def write_log() -> None:
        await sink.run(now)

    return background_task.start(write_log, now)


def start_exit_timer(
    seconds: float,
    sink: decision_log.FileSink,
    record: process_record.ProcessRecord,
) -> None:
    """End the process after ``seconds`` even if the event loop is blocked."""

    def force_exit() -> None:
        exit_code = process_record.ExitCode.FORCED
        reason = "still running at the end of the shutdown; exiting"
        try:
            _end(record, sink, exit_code, reason)
        finally:
            os._exit(exit_code)

    timer = threading.Timer(seconds, force_exit)
    timer.daemon = True
    try:
        timer.start()
    except RuntimeError as error:
        logging.warning(
            "no thread for the exit timer: %s; using SIGALRM", error
        )
        signal.signal(signal.SIGALRM, lambda number, frame: force_exit())
        signal.setitimer(signal.ITIMER_REAL, max(seconds, MIN_TIMER_SECONDS))
