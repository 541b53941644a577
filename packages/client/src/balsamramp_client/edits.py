"""Helpers shared by the commands that change the configuration."""

from collections import abc

from returns import result

from balsamramp_client import api
from balsamramp_client import command
from balsamramp_client import output
from balsamramp_core import resource
from balsamramp_core import resources

__all__ = ["merge_pairs", "submit", "usage_error"]


def usage_error(message: str) -> result.Result[output.Output, api.ApiError]:
    """Return the failure for invalid command-line arguments."""
    return result.Failure(api.ApiError(message, api.ErrorKind.USAGE))


def merge_pairs(
    owner: str, present: abc.Mapping[str, str], pairs: abc.Sequence[str]
) -> result.Result[dict[str, str], api.ApiError]:
    """Return a copy of ``present`` with ``pairs`` applied.

    ``KEY=VALUE`` sets a key and ``KEY-`` removes it. ``owner`` names the
    resource in error messages.
    """
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
            text = f"{owner} has no key {pair[:-1]!r} to remove"
            return result.Failure(api.ApiError(text))
    return result.Success(merged)


async def submit(
    context: command.Context,
    base_version: int,
    puts: abc.Sequence[resource.Resource] = (),
    deletes: abc.Sequence[resource.ResourceKey] = (),
) -> command.CommandResult:
    """Validate a change and submit it.

    ``base_version`` is the configuration version that the change was
    computed from; the node rejects the change as a conflict if another
    operator has changed the same resources since.
    """
    for item in puts:
        errors = item.validation_errors()
        if errors:
            text = f"{item.key}: {'; '.join(errors)}"
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
