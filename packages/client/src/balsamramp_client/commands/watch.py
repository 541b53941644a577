"""Command that polls the status and prints each state change."""

import argparse
import datetime
import typing

from returns import result

from balsamramp_client import command
from balsamramp_client import output
from balsamramp_client import reports

__all__ = ["Watch"]

POLL_INTERVAL = datetime.timedelta(milliseconds=500)

Document = dict[str, typing.Any]


class Watch(command.Command):
    """``balsamramp watch``: prints a line for each state change.

    The first poll must succeed. When a later one fails, the error is
    printed as the state of ``node`` and polling continues.
    """

    name = "watch"
    doc = "print state changes until interrupted"
    example = "watch --for 60"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        parser.add_argument(
            "--for",
            type=float,
            dest="seconds",
            metavar="SECONDS",
            help="stop after this time",
        )

    async def run(
        self, parsed: argparse.Namespace, context: command.Context
    ) -> command.CommandResult:
        time = context.clock
        end = None
        if parsed.seconds is not None:
            duration = datetime.timedelta(seconds=parsed.seconds)
            end = time.monotonic() + duration
        lines = 0
        previous: dict[str, str] = {}
        first = True
        while end is None or time.monotonic() < end:
            fetched = await context.node.view("status")
            if isinstance(fetched, result.Failure):
                if first:
                    return fetched
                state = {**previous, "node": fetched.failure().message}
            else:
                state = reports.state_lines(fetched.unwrap())
            lines += _emit_changes(previous, state, context)
            previous = state
            first = False
            await time.sleep(POLL_INTERVAL)
        return result.Success(
            output.Output({"lines": lines}, notes=(f"{lines} lines",))
        )


def _emit_changes(
    previous: dict[str, str], state: dict[str, str], context: command.Context
) -> int:
    lines = 0
    now = context.clock.now().isoformat(timespec="milliseconds")
    for subject in sorted(set(previous) | set(state)):
        if previous.get(subject) == state.get(subject):
            continue
        context.emit(f"{now} {subject}: {state.get(subject, 'gone')}")
        lines += 1
    return lines
