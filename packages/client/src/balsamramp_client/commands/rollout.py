"""Rollout: starts, shows and aborts rollouts."""

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
    """``balsamramp rollout start|status|abort``."""

    name = "rollout"
    doc = "move a service to a new version by a time"
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
            help="time from its start until the new version has all calls",
        )
        deadline.add_argument(
            "--by", metavar="TIME", help="ISO 8601 with a time zone"
        )
        start.add_argument(
            "--start",
            metavar="TIME",
            help="when calls begin to move, ISO 8601; default now",
        )
        start.add_argument(
            "--late",
            choices=[item.value for item in rollout.LatePolicy],
            default=rollout.LatePolicy.ROLL_BACK.value,
            help="what happens if the deadline passes before the last step",
        )
        start.add_argument(
            "--keep-old",
            type=int,
            default=rollout.KEEP_OLD_SECONDS,
            metavar="SECONDS",
            help="how long the old version stays ready after the last step",
        )
        status = actions.add_parser("status", help="show rollouts")
        status.add_argument("rollout", nargs="?")
        abort = actions.add_parser("abort", help="take a rollout back")
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
        start = _time(parsed.start) or context.clock.now()
        deadline = _time(parsed.by)
        if deadline is None:
            deadline = start + datetime.timedelta(seconds=parsed.within)
    except (OverflowError, ValueError) as error:
        return edits.usage(f"not a time: {error}")
    read = await context.node.configuration()
    if isinstance(read, result.Failure):
        return read
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
    current = read.unwrap()
    if item.key in current.resources:
        text = f"{item.key} is there already; choose another name"
        return result.Failure(api.ApiError(text))
    return await edits.submit(context, current.version, [item])


async def _abort(
    parsed: argparse.Namespace, context: command.Context
) -> command.CommandResult:
    read = await context.node.configuration()
    if isinstance(read, result.Failure):
        return read
    current = read.unwrap()
    key = resource.ResourceKey(rollout.Rollout.kind, parsed.rollout)
    known = current.resources.get(key)
    if not isinstance(known, rollout.Rollout):
        text = f"no {key} at version {current.version}"
        return result.Failure(api.ApiError(text))
    item = attrs.evolve(known, aborted_by=context.author)
    return await edits.submit(context, current.version, [item])


async def _status(
    parsed: argparse.Namespace, context: command.Context
) -> command.CommandResult:
    viewed = await context.node.view("status")
    if isinstance(viewed, result.Failure):
        return viewed
    found = reports.rollouts(viewed.unwrap())
    if parsed.rollout is None:
        return result.Success(found)
    if parsed.rollout not in found.document:
        text = f"no rollout/{parsed.rollout}"
        return result.Failure(api.ApiError(text))
    return result.Success(reports.select_rollout(found, parsed.rollout))


def _time(text: str | None) -> datetime.datetime | None:
    return None if text is None else datetime.datetime.fromisoformat(text)
