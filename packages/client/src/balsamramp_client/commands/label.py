"""Command that changes the operators' labels of a target."""

import argparse

from returns import result

from balsamramp_client import command
from balsamramp_client import edits
from balsamramp_core import resource
from balsamramp_core.resources import labels

__all__ = ["Label"]


class Label(command.Command):
    """``balsamramp label TARGET KEY=VALUE|KEY- ...``.

    The pairs are merged into the labels that operators have set. Labels
    that the target announces itself do not change.
    """

    name = "label"
    doc = "set or remove labels of a target"
    example = "label caja-1 tier=gold canary-"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        parser.add_argument("target")
        parser.add_argument("pairs", nargs="+", metavar="KEY=VALUE|KEY-")

    async def run(
        self, parsed: argparse.Namespace, context: command.Context
    ) -> command.CommandResult:
        fetched = await context.node.configuration()
        if isinstance(fetched, result.Failure):
            return fetched
        current = fetched.unwrap()
        key = resource.ResourceKey(labels.Labels.kind, parsed.target)
        existing = current.resources.get(key)
        present = (
            existing.labels if isinstance(existing, labels.Labels) else {}
        )
        merged = edits.merge_pairs(str(key), present, parsed.pairs)
        if isinstance(merged, result.Failure):
            return merged
        item = labels.Labels(name=parsed.target, labels=merged.unwrap())
        return await edits.submit(context, current.version, [item])
