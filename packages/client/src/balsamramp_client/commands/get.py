"""Command that shows the resources in force."""

import argparse
import json

from returns import result

from balsamramp_client import api
from balsamramp_client import command
from balsamramp_client import edits
from balsamramp_client import output
from balsamramp_core import resource
from balsamramp_core import resources

__all__ = ["Get"]


class Get(command.Command):
    """``balsamramp get [KIND [NAME]]``: shows resources in force."""

    name = "get"
    doc = "show the resources in force"
    example = "get route caja-all"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        parser.add_argument("kind", nargs="?")
        parser.add_argument("resource", nargs="?")

    async def run(
        self, parsed: argparse.Namespace, context: command.Context
    ) -> command.CommandResult:
        kind = None
        if parsed.kind is not None:
            try:
                kind = resources.find_kind(parsed.kind).kind
            except resources.KindNotFoundError as error:
                return edits.usage_error(str(error))
        fetched = await context.node.configuration()
        if isinstance(fetched, result.Failure):
            return fetched
        current = fetched.unwrap()
        selected = []
        for key in sorted(current.resources):
            if kind is not None and key.kind != kind:
                continue
            if parsed.resource is not None and key.name != parsed.resource:
                continue
            selected.append(current.resources[key])
        if parsed.resource is not None and not selected:
            text = f"no {kind}/{parsed.resource} at version {current.version}"
            return result.Failure(api.ApiError(text))
        return result.Success(_describe(selected, current.version))


def _describe(
    selected: list[resource.Resource], version: int
) -> output.Output:
    encoded = [resources.encode(item) for item in selected]
    rows = []
    for item in encoded:
        fields = {
            name: value
            for name, value in item.items()
            if name not in ("kind", "name")
        }
        row = (item["kind"], item["name"], json.dumps(fields, sort_keys=True))
        rows.append(row)
    return output.Output(
        {"version": version, "resources": encoded},
        (output.Table(("KIND", "NAME", "FIELDS"), tuple(rows)),),
        (f"{len(selected)} resources at version {version}",),
    )
