"""Command that starts, shows and aborts rollouts."""

import argparse
import datetime
import typing

import attrs
from returns import result

from balsamramp_client import api
from balsamramp_client import command
from balsamramp_client import edits
from balsamramp_client import reports
from balsamramp_core import resource
from balsamramp_core.resources import rollout

__all__ = ["Rollout"]


class Rollout(command.Command):
    """``balsamramp rollout start|status|abort``: manages rollouts."""

    name = "rollout"
    doc = "move a service to a new version by a deadline"
    example = "rollout start caja-v2 caja v1 v2 --within 3600"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        actions = parser.add_subparsers(dest="action", required=True)
        start = actions.add_parser("start", help="declare a rollout")
        start.add_argument("rollout")
        start.add_argument("service")
        start.add_argument("old")
        start.add_argument("new")
        deadline = start.add_mutually_exclusive_group(required=True)
        deadline.add_argument(
            "--within",
            type=float,
            metavar="SECONDS",
            help="time from the start until the new version gets all calls",
        )
        deadline.add_argument(
            "--by", metavar="TIME", help="deadline, ISO 8601 with a time zone"
        )
        start.add_argument(
            "--start",
            metavar="TIME",
            help="start of the first step, ISO 8601; default now",
        )
        start.add_argument(
            "--late",
            choices=[item.value for item in rollout.LatePolicy],
            default=rollout.LatePolicy.ROLL_BACK.value,
            help="action if the deadline passes before the last step",
        )
        start.add_argument(
            "--keep-old",
            type=int,
            default=rollout.KEEP_OLD_SECONDS,
            metavar="SECONDS",
            help="time that the old version stays ready after the last step",
        )
        status = actions.add_parser("status", help="show rollouts")
        status.add_argument("rollout", nargs="?")
        abort = actions.add_parser(
            "abort", help="abort a rollout and roll it back"
        )
        abort.add_argument("rollout")

    async def run(
        self, parsed: argparse.Namespace, context: command.Context
    ) -> command.CommandResult:
        actions: dict[str, typing.Any] = {
            "abort": _abort,
            "start": _start,
            "status": _status,
        }
        outcome: command.CommandResult = await actions[parsed.action](
            parsed, context
        )
        return outcome


async def _start(
    parsed: argparse.Namespace, context: command.Context
) -> command.CommandResult:
    try:
        start = _parse_time(parsed.start) or context.clock.now()
        deadline = _parse_time(parsed.by)
        if deadline is None:
            deadline = start + datetime.timedelta(seconds=parsed.within)
    except (OverflowError, ValueError) as error:
        return edits.usage_error(f"invalid time: {error}")
    fetched = await context.node.configuration()
    if isinstance(fetched, result.Failure):
        return fetched
    item = rollout.Rollout(
        name=parsed.rollout,
        service=parsed.service,
        old=parsed.old,
        new=parsed.new,
        start=start,
        deadline=deadline,
        keep_old_seconds=parsed.keep_old,
        late=rollout.LatePolicy(parsed.late),
    )
    current = fetched.unwrap()
    if item.key in current.resources:
        text = f"{item.key} already exists; choose another name"
        return result.Failure(api.ApiError(text))
    return await edits.submit(context, current.version, [item])


async def _abort(
    parsed: argparse.Namespace, context: command.Context
) -> command.CommandResult:
    fetched = await context.node.configuration()
    if isinstance(fetched, result.Failure):
        return fetched
    current = fetched.unwrap()
    key = resource.ResourceKey(rollout.Rollout.kind, parsed.rollout)
    existing = current.resources.get(key)
    if not isinstance(existing, rollout.Rollout):
        text = f"no {key} at version {current.version}"
        return result.Failure(api.ApiError(text))
    item = attrs.evolve(existing, aborted_by=context.author)
    return await edits.submit(context, current.version, [item])


async def _status(
    parsed: argparse.Namespace, context: command.Context
) -> command.CommandResult:
    status = await context.node.view("status")
    if isinstance(status, result.Failure):
        return status
    listed = reports.rollouts(status.unwrap())
    if parsed.rollout is None:
        return result.Success(listed)
    if parsed.rollout not in listed.document:
        text = f"no rollout/{parsed.rollout}"
        return result.Failure(api.ApiError(text))
    return result.Success(reports.select_rollout(listed, parsed.rollout))


def _parse_time(text: str | None) -> datetime.datetime | None:
    return None if text is None else datetime.datetime.fromisoformat(text)
