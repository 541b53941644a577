"""Command line of the node, ``balsamrampd``."""

import argparse
import asyncio
from collections import abc
import logging as std_logging
import pathlib
import signal
import sys

from absl import flags
from absl import logging
import msgspec
from returns import result
import uvloop

from balsamramp_core import clock
from balsamramp_core import settings
from balsamramp_node import app
from balsamramp_node import options

__all__ = ["main"]

EXIT_OK = 0
EXIT_SETTINGS = 2


def main(arguments: abc.Sequence[str] | None = None) -> int:
    """Run the node until it is told to stop; return the exit code."""
    parsed = _parser().parse_args(arguments)
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    std_logging.getLogger("uvicorn").setLevel(std_logging.WARNING)
    checked = settings.read(parsed.settings, options.OPTIONS)
    if isinstance(checked, result.Failure):
        print(f"balsamrampd: {checked.failure()}", file=sys.stderr)
        return EXIT_SETTINGS
    if parsed.print_settings:
        print(settings.render(checked.unwrap(), options.OPTIONS), end="")
        return EXIT_OK
    if parsed.check:
        print(f"{parsed.settings}: ok")
        return EXIT_OK
    uvloop.run(_run(checked.unwrap(), parsed.addresses))
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


async def _run(
    checked: settings.Settings, addresses: pathlib.Path | None
) -> None:
    node = app.Node(checked, clock.SystemClock())
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stopping.set)
    await node.start()
    if addresses is not None:
        partial = addresses.with_suffix(".partial")
        partial.write_bytes(msgspec.json.encode(node.addresses()))
        partial.replace(addresses)
    await stopping.wait()
    await node.stop()


if __name__ == "__main__":
    sys.exit(main())
