"""Entry point and argument parser of the ``balsamramp`` command."""

import argparse
import asyncio
from collections import abc
import getpass
import os
import pathlib
import ssl
import sys

from returns import result

from balsamramp_client import api
from balsamramp_client import command
from balsamramp_client import commands
from balsamramp_client import exit_codes
from balsamramp_client import output
from balsamramp_core import clock

__all__ = ["execute", "main"]

NODE_VARIABLE = "BALSAMRAMP_NODE"
TOKEN_VARIABLE = "BALSAMRAMP_TOKEN_FILE"
UNKNOWN_USER = "unknown"
DEFAULT_NODE = "http://127.0.0.1:7003"
EPILOG = """\
exit codes:
  0  done
  1  rejected by a node or by a check, or a name does not exist
  2  bad arguments or an unreadable file
  3  conflict: another operator has changed the same resources
  4  no response, or it is unknown whether the change was accepted
"""


def main(arguments: abc.Sequence[str] | None = None) -> int:
    """Run one command in a new event loop and return its exit code."""
    try:
        return asyncio.run(execute(arguments))
    except KeyboardInterrupt:
        return exit_codes.OK


async def execute(
    arguments: abc.Sequence[str] | None = None,
    time: clock.Clock | None = None,
) -> int:
    """Run one command in the running event loop; return its exit code."""
    parser = _build_parser()
    parsed = parser.parse_args(arguments)
    created = _create_node_api(parsed)
    if isinstance(created, result.Failure):
        return _print_error(created.failure())
    context = command.Context(
        node=created.unwrap(),
        author=parsed.author,
        change_id=parsed.change_id or api.new_change_id(),
        clock=time or clock.SystemClock(),
        emit=_print_line,
    )
    outcome = await commands.COMMANDS[parsed.command].run(parsed, context)
    if isinstance(outcome, result.Failure):
        return _print_error(outcome.failure())
    print(output.FORMATS[parsed.output](outcome.unwrap()))
    return exit_codes.OK


def _print_line(line: str) -> None:
    print(line, flush=True)


def _print_error(error: api.ApiError) -> int:
    print(f"balsamramp: {error.message}", file=sys.stderr)
    for change in error.changes:
        changed_keys = [
            f"{item['kind']}/{item['name']}" for item in change["puts"]
        ]
        changed_keys += ["/".join(pair) for pair in change["deletes"]]
        print(
            f"  version {change['version']} by {change['author']} "
            f"at {change['accepted_at']}: {', '.join(changed_keys)}",
            file=sys.stderr,
        )
    return exit_codes.CODES[error.kind]


def _create_node_api(
    parsed: argparse.Namespace,
) -> result.Result[api.NodeApi, api.ApiError]:
    values = parsed.node or [os.environ.get(NODE_VARIABLE, DEFAULT_NODE)]
    urls = [url for item in values for url in item.split(",") if url]
    for url in urls:
        if not url.startswith(("http://", "https://")):
            return _usage_error(f"--node {url!r} is not an http or https URL")
    if not urls:
        return _usage_error(f"no URL in --node or ${NODE_VARIABLE}")
    token = ""
    try:
        if parsed.token_file is not None:
            token = parsed.token_file.read_text("utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        return _usage_error(f"--token-file cannot be read: {error}")
    tls_context = None
    if parsed.ca is not None:
        try:
            tls_context = ssl.create_default_context(cafile=parsed.ca)
        except (OSError, ssl.SSLError) as error:
            return _usage_error(f"--ca {parsed.ca} cannot be loaded: {error}")
    return result.Success(api.NodeApi(urls, token, tls_context))


def _user_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return UNKNOWN_USER


def _usage_error(message: str) -> result.Result[api.NodeApi, api.ApiError]:
    return result.Failure(api.ApiError(message, api.ErrorKind.USAGE))


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="balsamramp",
        description="Command-line client for operators of balsamramp.",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--node",
        action="append",
        metavar="URL",
        help="admin URL of a node; if it does not respond, the next one "
        f"given is tried; default ${NODE_VARIABLE} or {DEFAULT_NODE}",
    )
    parser.add_argument(
        "--output", choices=sorted(output.FORMATS), default="table"
    )
    parser.add_argument(
        "--author",
        default=_user_name(),
        help="name of the operator, recorded with a change",
    )
    parser.add_argument(
        "--change-id",
        help="id of an earlier submission whose outcome is unknown",
    )
    parser.add_argument(
        "--token-file",
        type=pathlib.Path,
        default=os.environ.get(TOKEN_VARIABLE),
        help=f"file with the operator token; default ${TOKEN_VARIABLE}",
    )
    parser.add_argument(
        "--ca", help="PEM file with the CA certificate of the nodes"
    )
    subparsers = parser.add_subparsers(dest="command", required=True)
    for name, item in sorted(commands.COMMANDS.items()):
        subparser = subparsers.add_parser(
            name, help=item.doc, epilog=f"example: balsamramp {item.example}"
        )
        item.add_arguments(subparser)
    return parser


if __name__ == "__main__":
    sys.exit(main())
