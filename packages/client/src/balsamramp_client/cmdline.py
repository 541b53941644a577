"""Command line of the operators' client, ``balsamramp``."""

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
  1  refused, by a node or because something is not there
  2  bad arguments or an unreadable file
  3  conflict: another operator changed the same resources in between
  4  no answer, or it is unknown whether the change was accepted
"""


def main(arguments: abc.Sequence[str] | None = None) -> int:
    """Run one command; return its exit code."""
    try:
        return asyncio.run(execute(arguments))
    except KeyboardInterrupt:
        return exit_codes.OK


async def execute(
    arguments: abc.Sequence[str] | None = None,
    time: clock.Clock | None = None,
) -> int:
    """Run one command in the running loop; return its exit code."""
    parser = _parser()
    parsed = parser.parse_args(arguments)
    made = _node_api(parsed)
    if isinstance(made, result.Failure):
        return _fail(made.failure())
    context = command.Context(
        node=made.unwrap(),
        author=parsed.author,
        change_id=parsed.change_id or api.new_change_id(),
        clock=time or clock.SystemClock(),
        emit=_emit,
    )
    done = await commands.COMMANDS[parsed.command].run(parsed, context)
    if isinstance(done, result.Failure):
        return _fail(done.failure())
    print(output.FORMATS[parsed.output](done.unwrap()))
    return exit_codes.OK


def _emit(line: str) -> None:
    print(line, flush=True)


def _fail(error: api.ApiError) -> int:
    print(f"balsamramp: {error.message}", file=sys.stderr)
    for change in error.changes:
        touched = [f"{item['kind']}/{item['name']}" for item in change["puts"]]
        touched += ["/".join(pair) for pair in change["deletes"]]
        print(
            f"  version {change['version']} by {change['author']} "
            f"at {change['accepted_at']}: {', '.join(touched)}",
            file=sys.stderr,
        )
    return exit_codes.CODES[error.kind]


def _node_api(
    parsed: argparse.Namespace,
) -> result.Result[api.NodeApi, api.ApiError]:
    given = parsed.node or [os.environ.get(NODE_VARIABLE, DEFAULT_NODE)]
    urls = [url for item in given for url in item.split(",") if url]
    for url in urls:
        if not url.startswith(("http://", "https://")):
            return _usage(f"--node {url!r} is not an http or https URL")
    if not urls:
        return _usage("--node is empty")
    token = ""
    try:
        if parsed.token_file is not None:
            token = parsed.token_file.read_text("utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        return _usage(f"--token-file cannot be read: {error}")
    security = None
    if parsed.ca is not None:
        try:
            security = ssl.create_default_context(cafile=parsed.ca)
        except (OSError, ssl.SSLError) as error:
            return _usage(f"--ca {parsed.ca}: {error}")
    return result.Success(api.NodeApi(urls, token, security))


def _user_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return UNKNOWN_USER


def _usage(message: str) -> result.Result[api.NodeApi, api.ApiError]:
    return result.Failure(api.ApiError(message, api.ErrorKind.USAGE))


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="balsamramp",
        description="Operators' client of balsamramp.",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--node",
        action="append",
        metavar="URL",
        help="admin URL of a node; the next one given is tried when it "
        f"does not answer; default ${NODE_VARIABLE} or {DEFAULT_NODE}",
    )
    parser.add_argument(
        "--output", choices=sorted(output.FORMATS), default="table"
    )
    parser.add_argument(
        "--author",
        default=_user_name(),
        help="operator's name recorded with a change",
    )
    parser.add_argument(
        "--change-id",
        help="id of an earlier attempt whose outcome is unknown",
    )
    parser.add_argument(
        "--token-file",
        type=pathlib.Path,
        default=os.environ.get(TOKEN_VARIABLE),
        help=f"file with the operators' token; default ${TOKEN_VARIABLE}",
    )
    parser.add_argument(
        "--ca", help="certificate of the authority that signs nodes, PEM"
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
