"""Watch: prints changes of state until it is told to stop."""

import argparse
import datetime
import typing

from returns import result

from balsamramp_client import command
from balsamramp_client import output
from balsamramp_client import reports

__all__ = ["Watch"]

INTERVAL = datetime.timedelta(milliseconds=500)

Document = dict[str, typing.Any]


class Watch(command.Command):
    """``balsamramp watch``: a line for each change of state."""

    name = "watch"
    doc = "print changes of state until interrupted"
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
            wanted = datetime.timedelta(seconds=parsed.seconds)
            end = time.monotonic() + wanted
        lines = 0
        previous: dict[str, str] = {}
        first = True
        while end is None or time.monotonic() < end:
            viewed = await context.node.view("status")
            if isinstance(viewed, result.Failure):
                if first:
                    return viewed
                state = {**previous, "node": viewed.failure().message}
            else:
                state = reports.state_lines(viewed.unwrap())
            lines += _emit(previous, state, context)
            previous = state
            first = False
            await time.sleep(INTERVAL)
        return result.Success(
            output.Output({"lines": lines}, notes=(f"{lines} lines",))
        )


def _emit(
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
