"""Runs a sidecar process until a stop signal."""

import asyncio
from collections import abc
import logging as std_logging
import os
import pathlib
import signal
import threading

from absl import flags
from absl import logging
from returns import result
import uvloop

from balsamramp_core import clock
from balsamramp_core import service_manager
from balsamramp_core import settings
from balsamramp_node.process import decision_log
from balsamramp_node.process import platform_adapter
from balsamramp_node.process import process_record
from balsamramp_node.process import settings_watcher
from balsamramp_node.process import sidecar
from balsamramp_node.process import sidecar_options
from balsamramp_node.process import standard_error

__all__ = ["run", "start_exit_timer"]

STDOUT_DESCRIPTOR = 1
ADDRESS_OPTIONS = ("callers", "ready", "announcements")
PORT_OPTIONS = ("stream_port", "metrics_port")

AdapterFactory = abc.Callable[
    [settings.Settings], platform_adapter.PlatformAdapter
]


def run(path: pathlib.Path, make_adapter: AdapterFactory) -> int:
    """Run a sidecar with the settings in ``path``; return the exit code."""
    now = clock.SystemClock()
    sink = decision_log.FileSink(STDOUT_DESCRIPTOR)
    text = settings.read_text(path)
    checked = text.bind(
        lambda content: settings.parse(
            content, str(path), sidecar_options.OPTIONS
        )
    )
    if isinstance(checked, result.Failure):
        record = process_record.ProcessRecord(
            decision_log.DecisionLog(sink, now), now
        )
        return _end(
            record,
            sink,
            process_record.ExitCode.INVALID_SETTINGS,
            str(checked.failure()),
        )
    decisions = decision_log.DecisionLog(
        sink,
        now,
        node=checked.unwrap().text("node", "id"),
        zone=checked.unwrap().text("node", "zone"),
    )
    _redirect_logging(decisions)
    record = process_record.ProcessRecord(decisions, now)
    record.write_start(text.unwrap(), _describe_addresses(checked.unwrap()))
    sink.flush()
    try:
        uvloop.run(
            _serve(
                path,
                text.unwrap(),
                checked.unwrap(),
                make_adapter,
                now,
                decisions,
                sink,
                record,
            )
        )
    except service_manager.StartError as error:
        return _end(
            record,
            sink,
            process_record.ExitCode.START_FAILED,
            f"cannot start: {error}",
        )
    except Exception as error:
        logging.exception("unexpected error")
        return _end(
            record,
            sink,
            process_record.ExitCode.UNEXPECTED_ERROR,
            f"unexpected error: {error!r}",
        )
    record.write_end(process_record.ExitCode.STOPPED, "stop signal")
    sink.flush()
    return process_record.ExitCode.STOPPED


def _end(
    record: process_record.ProcessRecord,
    sink: decision_log.FileSink,
    exit_code: process_record.ExitCode,
    reason: str,
) -> int:
    """Tell operators why the process ends; return ``exit_code``."""
    record.write_end(exit_code, reason)
    sink.flush()
    standard_error.write_line(f"balsamramp-sidecar: {reason}")
    return exit_code


def _describe_addresses(checked: settings.Settings) -> dict[str, str]:
    addresses = {
        name: checked.text("listen", name) for name in ADDRESS_OPTIONS
    }
    for name in PORT_OPTIONS:
        port = checked.integer("listen", name)
        addresses[name] = f"{checked.text('listen', 'host')}:{port}"
    return addresses


def _redirect_logging(decisions: decision_log.DecisionLog) -> None:
    flags.FLAGS.mark_as_parsed()
    logging.set_verbosity(logging.INFO)
    root = std_logging.getLogger()
    root.handlers[:] = [decision_log.DecisionHandler(decisions)]


def start_exit_timer(
    seconds: float,
    sink: decision_log.FileSink,
    record: process_record.ProcessRecord,
) -> None:
    """End the process after ``seconds`` even if the event loop is blocked."""

    def force_exit() -> None:
        exit_code = process_record.ExitCode.FORCED
        reason = "still running at the end of the shutdown; exiting"
        os._exit(_end(record, sink, exit_code, reason))

    timer = threading.Timer(seconds, force_exit)
    timer.daemon = True
    timer.start()


async def _serve(
    path: pathlib.Path,
    text: str,
    checked: settings.Settings,
    make_adapter: AdapterFactory,
    now: clock.Clock,
    decisions: decision_log.DecisionLog,
    sink: decision_log.FileSink,
    record: process_record.ProcessRecord,
) -> None:
    stop_requested = asyncio.Event()

    def on_stop_signal() -> None:
        node.shutdown.begin()
        stop_requested.set()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, on_stop_signal)
    flush_task = asyncio.create_task(sink.run(now))
    node = sidecar.Sidecar(checked, make_adapter(checked), now, decisions)
    watcher = settings_watcher.SettingsWatcher(
        path, text, sidecar_options.OPTIONS, node.reload, now
    )
    # Not a handler of the event loop: closing the loop would restore the
    # default action, which ends the process.
    signal.signal(
        signal.SIGHUP,
        lambda number, frame: loop.call_soon_threadsafe(
            watcher.reload_if_changed
        ),
    )
    try:
        await node.start()
        watch_task = asyncio.create_task(watcher.run())
        await stop_requested.wait()
        watch_task.cancel()
        shutdown = node.shutdown
        exit_in = shutdown.seconds_until(shutdown.exit_at)
        start_exit_timer(exit_in, sink, record)
        await node.stop()
    finally:
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    flush_task.cancel()
