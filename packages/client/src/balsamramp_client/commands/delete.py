"""Command that deletes a resource."""

import argparse

from returns import result

from balsamramp_client import api
from balsamramp_client import command
from balsamramp_client import edits
from balsamramp_core import resource
from balsamramp_core import resources

__all__ = ["Delete"]


class Delete(command.Command):
    """``balsamramp delete KIND NAME``: deletes one resource.

    A node rejects the deletion while another resource needs it.
    """

    name = "delete"
    doc = "delete a resource that no other resource needs"
    example = "delete alias cajaa"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        parser.add_argument("kind")
        parser.add_argument("resource")

    async def run(
        self, parsed: argparse.Namespace, context: command.Context
    ) -> command.CommandResult:
        try:
            kind = resources.find_kind(parsed.kind).kind
        except resources.KindNotFoundError as error:
            return edits.usage_error(str(error))
        fetched = await context.node.configuration()
        if isinstance(fetched, result.Failure):
            return fetched
        current = fetched.unwrap()
        key = resource.ResourceKey(kind, parsed.resource)
        if key not in current.resources:
            text = f"no {key} at version {current.version}"
            return result.Failure(api.ApiError(text))
        return await edits.submit(context, current.version, deletes=[key])
