"""Edits: steps that the commands which change something share."""

from collections import abc

from returns import result

from balsamramp_client import api
from balsamramp_client import command
from balsamramp_client import output
from balsamramp_core import resource
from balsamramp_core import resources

__all__ = ["merge_pairs", "submit", "usage"]


def usage(message: str) -> result.Result[output.Output, api.ApiError]:
    """Return the failure of a command that was given bad arguments."""
    return result.Failure(api.ApiError(message, api.ErrorKind.USAGE))


def merge_pairs(
    what: str, present: abc.Mapping[str, str], pairs: abc.Sequence[str]
) -> result.Result[dict[str, str], api.ApiError]:
    """Return ``present`` after ``KEY=VALUE`` and ``KEY-`` of ``pairs``."""
    merged = dict(present)
    for pair in pairs:
        key, separator, value = pair.partition("=")
        if separator:
            merged[key] = value
            continue
        if not pair.endswith("-"):
            text = f"{pair!r} is neither KEY=VALUE nor KEY-"
            return result.Failure(api.ApiError(text, api.ErrorKind.USAGE))
        if merged.pop(pair[:-1], None) is None:
            text = f"{what} has no {pair[:-1]!r} to take away"
            return result.Failure(api.ApiError(text))
    return result.Success(merged)


async def submit(
    context: command.Context,
    base_version: int,
    puts: abc.Sequence[resource.Resource] = (),
    deletes: abc.Sequence[resource.ResourceKey] = (),
) -> command.CommandResult:
    """Submit a change that was made while looking at ``base_version``."""
    for item in puts:
        found = item.validation_errors()
        if found:
            text = f"{item.key}: {'; '.join(found)}"
            return result.Failure(api.ApiError(text))
    change = {
        "author": context.author,
        "base_version": base_version,
        "change_id": context.change_id,
        "puts": [resources.encode(item) for item in puts],
        "deletes": [[key.kind, key.name] for key in deletes],
    }
    submitted = await context.node.submit(change)
    return submitted.map(
        lambda accepted: output.Output(
            accepted, notes=(f"accepted as version {accepted['version']}",)
        )
    )
