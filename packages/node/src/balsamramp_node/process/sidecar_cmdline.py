"""Runs a sidecar process until a stop signal."""

import asyncio
from collections import abc
import logging as std_logging
import os
import pathlib
import signal
import sys
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
from balsamramp_node.process import settings_watcher
from balsamramp_node.process import sidecar
from balsamramp_node.process import sidecar_options

__all__ = ["run", "start_exit_timer"]

EXIT_OK = 0
EXIT_START = 1
EXIT_SETTINGS = 2
EXIT_FORCED = 3
STDOUT_DESCRIPTOR = 1

AdapterFactory = abc.Callable[
    [settings.Settings], platform_adapter.PlatformAdapter
]


def run(path: pathlib.Path, make_adapter: AdapterFactory) -> int:
    """Run a sidecar with the settings in ``path``; return the exit code."""
    text = settings.read_text(path)
    checked = text.bind(
        lambda content: settings.parse(
            content, str(path), sidecar_options.OPTIONS
        )
    )
    if isinstance(checked, result.Failure):
        print(f"balsamramp-sidecar: {checked.failure()}", file=sys.stderr)
        return EXIT_SETTINGS
    now = clock.SystemClock()
    sink = decision_log.FileSink(STDOUT_DESCRIPTOR)
    decisions = decision_log.DecisionLog(
        sink,
        now,
        node=checked.unwrap().text("node", "id"),
        zone=checked.unwrap().text("node", "zone"),
    )
    _redirect_logging(decisions)
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
            )
        )
    except service_manager.StartError as error:
        print(f"balsamramp-sidecar: cannot start: {error}", file=sys.stderr)
        return EXIT_START
    finally:
        sink.flush()
    return EXIT_OK


def _redirect_logging(decisions: decision_log.DecisionLog) -> None:
    flags.FLAGS.mark_as_parsed()
    logging.set_verbosity(logging.INFO)
    root = std_logging.getLogger()
    root.handlers[:] = [decision_log.DecisionHandler(decisions)]


def start_exit_timer(seconds: float, sink: decision_log.FileSink) -> None:
    """End the process after ``seconds`` even if the event loop is blocked."""

    def force_exit() -> None:
        print(
            "balsamramp-sidecar: still running at the end of the shutdown;"
            " exiting",
            file=sys.stderr,
            flush=True,
        )
        sink.flush()
        os._exit(EXIT_FORCED)

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
        start_exit_timer(shutdown.seconds_until(shutdown.exit_at), sink)
        await node.stop()
    finally:
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    flush_task.cancel()
