"""Label: changes the labels of a target."""

import argparse

from returns import result

from balsamramp_client import command
from balsamramp_client import edits
from balsamramp_core import resource
from balsamramp_core.resources import labels

__all__ = ["Label"]


class Label(command.Command):
    """``balsamramp label TARGET KEY=VALUE|KEY- ...``.

    The pairs are merged with the operators' labels that are there; what
    the target announces itself is left alone.
    """

    name = "label"
    doc = "set or take away labels of a target"
    example = "label caja-1 tier=gold canary-"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        parser.add_argument("target")
        parser.add_argument("pairs", nargs="+", metavar="KEY=VALUE|KEY-")

    async def run(
        self, parsed: argparse.Namespace, context: command.Context
    ) -> command.CommandResult:
        read = await context.node.configuration()
        if isinstance(read, result.Failure):
            return read
        current = read.unwrap()
        key = resource.ResourceKey(labels.Labels.kind, parsed.target)
        known = current.resources.get(key)
        present = known.labels if isinstance(known, labels.Labels) else {}
        merged = edits.merge_pairs(str(key), present, parsed.pairs)
        if isinstance(merged, result.Failure):
            return merged
        item = labels.Labels(name=parsed.target, labels=merged.unwrap())
        return await edits.submit(context, current.version, [item])
