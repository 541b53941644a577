"""Command line of the operators' client, ``balsamramp``."""

import argparse
import asyncio
from collections import abc
import getpass
import json
import os
import sys

from returns import result

from balsamramp_client import api
from balsamramp_client import commands

__all__ = ["main"]

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_CONFLICT = 3
NODE_VARIABLE = "BALSAMRAMP_NODE"


def main(arguments: abc.Sequence[str] | None = None) -> int:
    """Run one command; return its exit code."""
    parsed = _parser().parse_args(arguments)
    command = commands.COMMANDS[parsed.command]
    node = api.NodeApi(parsed.node)
    done = asyncio.run(command.run(parsed, node))
    if isinstance(done, result.Success):
        print(json.dumps(done.unwrap(), indent=2, sort_keys=True))
        return EXIT_OK
    error = done.failure()
    print(f"balsamramp: {error.message}", file=sys.stderr)
    return EXIT_CONFLICT if error.conflict else EXIT_REFUSED


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="balsamramp", description="Operators' client of balsamramp."
    )
    parser.add_argument(
        "--node",
        default=os.environ.get(NODE_VARIABLE, "http://127.0.0.1:7003"),
        help=f"admin URL of any node; default ${NODE_VARIABLE}",
    )
    parser.add_argument(
        "--author",
        default=getpass.getuser(),
        help="operator's name recorded with a change",
    )
    subparsers = parser.add_subparsers(dest="command", required=True)
    for name, command in sorted(commands.COMMANDS.items()):
        subparser = subparsers.add_parser(name, help=command.doc)
        command.add_arguments(subparser)
    return parser


if __name__ == "__main__":
    sys.exit(main())
