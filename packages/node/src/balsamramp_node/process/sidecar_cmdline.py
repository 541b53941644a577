"""Sidecar command line: runs a sidecar until it is told to stop."""

import asyncio
from collections import abc
import logging as std_logging
import pathlib
import signal
import sys

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

__all__ = ["run"]

EXIT_OK = 0
EXIT_START = 1
EXIT_SETTINGS = 2
STANDARD_OUTPUT = 1

HostFactory = abc.Callable[
    [settings.Settings], platform_adapter.PlatformAdapter
]


def run(path: pathlib.Path, make_host: HostFactory) -> int:
    """Run a node with the settings in ``path``; return the exit code."""
    checked = settings.read(path, sidecar_options.OPTIONS)
    if isinstance(checked, result.Failure):
        print(f"balsamramp-sidecar: {checked.failure()}", file=sys.stderr)
        return EXIT_SETTINGS
    now = clock.SystemClock()
    sink = decision_log.FileSink(STANDARD_OUTPUT)
    decisions = decision_log.DecisionLog(
        sink,
        now,
        node=checked.unwrap().text("node", "id"),
        zone=checked.unwrap().text("node", "zone"),
    )
    _log_to(decisions)
    try:
        uvloop.run(
            _serve(path, checked.unwrap(), make_host, now, decisions, sink)
        )
    except service_manager.StartError as error:
        print(f"balsamramp-sidecar: cannot start: {error}", file=sys.stderr)
        return EXIT_START
    finally:
        sink.flush()
    return EXIT_OK


def _log_to(decisions: decision_log.DecisionLog) -> None:
    flags.FLAGS.mark_as_parsed()
    logging.set_verbosity(logging.INFO)
    root = std_logging.getLogger()
    root.handlers[:] = [decision_log.DecisionHandler(decisions)]
    std_logging.getLogger("uvicorn").setLevel(std_logging.WARNING)


async def _serve(
    path: pathlib.Path,
    checked: settings.Settings,
    make_host: HostFactory,
    now: clock.Clock,
    decisions: decision_log.DecisionLog,
    sink: decision_log.FileSink,
) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stopped.set)
    flushing = asyncio.create_task(sink.run(now))
    node = sidecar.Sidecar(checked, make_host(checked), now, decisions)
    watch = settings_watcher.SettingsWatcher(
        path, sidecar_options.OPTIONS, node.reload, now
    )
    loop.add_signal_handler(signal.SIGHUP, watch.reload_if_changed)
    await node.start()
    watching = asyncio.create_task(watch.run())
    await stopped.wait()
    watching.cancel()
    await node.stop()
    flushing.cancel()
