"""Command line of the node, ``balsamrampd``."""

import argparse
import asyncio
from collections import abc
import logging as std_logging
import os
import pathlib
import signal
import sys

from absl import flags
from absl import logging
import msgspec
from returns import result
import uvloop

from balsamramp_core import clock
from balsamramp_core import service_manager
from balsamramp_core import settings
from balsamramp_node.process import app
from balsamramp_node.process import options
from balsamramp_node.process import process_setup
from balsamramp_node.process import process_signals

__all__ = ["main"]

EXIT_OK = 0
EXIT_START = 1
EXIT_SETTINGS = 2
EXIT_FORCED = 3


class _PrefixFormatter(logging.PythonFormatter):
    """Prefixes each log message with the node name and zone."""

    def __init__(self, prefix: str) -> None:
        super().__init__()
        self._prefix = prefix

    def format(self, record: std_logging.LogRecord) -> str:
        prefixed = std_logging.makeLogRecord(record.__dict__)
        prefixed.msg = f"{self._prefix}: {record.getMessage()}"
        prefixed.args = None
        return super().format(prefixed)


class _StopSignals:
    """Stops gracefully on the first signal, exits at once on the second."""

    def __init__(self) -> None:
        self._event = asyncio.Event()

    def on_signal(self) -> None:
        """Handle one SIGINT or SIGTERM."""
        if self._event.is_set():
            logging.warning(
                "received a second signal; exiting without draining"
            )
            logging.flush()
            os._exit(EXIT_FORCED)
        self._event.set()

    async def wait(self) -> None:
        """Wait for the first signal."""
        await self._event.wait()


def main(arguments: abc.Sequence[str] | None = None) -> int:
    """Run the node until a stop signal; return the exit code."""
    process_setup.open_standard_streams()
    process_signals.unblock_signals()
    parsed = _parser().parse_args(arguments)
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    std_logging.getLogger("uvicorn").setLevel(std_logging.WARNING)
    checked = options.read(parsed.settings)
    if isinstance(checked, result.Failure):
        print(f"balsamrampd: {checked.failure()}", file=sys.stderr)
        return EXIT_SETTINGS
    if parsed.print_settings:
        print(settings.render(checked.unwrap(), options.OPTIONS), end="")
        return EXIT_OK
    if parsed.check:
        print(f"{parsed.settings}: ok")
        return EXIT_OK
    _prefix_log_lines(checked.unwrap())
    try:
        uvloop.run(_run(checked.unwrap(), parsed.addresses))
    except service_manager.StartError as error:
        print(f"balsamrampd: cannot start: {error}", file=sys.stderr)
        return EXIT_START
    return EXIT_OK


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="balsamrampd",
        description="Node of balsamramp: one process on each target VM.",
    )
    parser.add_argument(
        "settings", type=pathlib.Path, help="settings file in INI format"
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    parser.add_argument(
        "--print-settings",
        action="store_true",
        help="print all settings with their defaults and exit",
    )
    parser.add_argument(
        "--addresses",
        type=pathlib.Path,
        help="write the bound addresses to this file as JSON once serving",
    )
    return parser


def _prefix_log_lines(checked: settings.Settings) -> None:
    prefix = f"{checked.text('node', 'id')} {checked.text('node', 'zone')}"
    handler = logging.get_absl_handler()
    handler.setFormatter(_PrefixFormatter(prefix))


def _log_reload_request() -> None:
    logging.warning(
        "received SIGHUP; settings are read at the start, nothing is reloaded"
    )


async def _run(
    checked: settings.Settings, addresses: pathlib.Path | None
) -> None:
    node = app.Node(checked, clock.SystemClock())
    stop_signals = _StopSignals()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop_signals.on_signal)
    loop.add_signal_handler(signal.SIGHUP, _log_reload_request)
    if not await _start(node, stop_signals):
        return
    if addresses is not None:
        partial = addresses.with_suffix(".partial")
        partial.write_bytes(msgspec.json.encode(node.addresses()))
        partial.replace(addresses)
    await stop_signals.wait()
    await node.stop()


async def _start(node: app.Node, stop_signals: _StopSignals) -> bool:
    """Start the node; return False if a signal ends it before it serves."""
    starting = asyncio.create_task(node.start())
    stopping = asyncio.create_task(stop_signals.wait())
    await asyncio.wait(
        [starting, stopping], return_when=asyncio.FIRST_COMPLETED
    )
    if starting.done():
        stopping.cancel()
        await starting
        return True
    logging.info("received a signal while starting; ending")
    starting.cancel()
    await asyncio.gather(starting, return_exceptions=True)
    return False


if __name__ == "__main__":
    sys.exit(main())
