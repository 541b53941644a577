"""Names: the unknown service names that callers used."""

import argparse
import asyncio
import collections
import difflib
import typing

from returns import result

from balsamramp_client import api
from balsamramp_client import command
from balsamramp_client import output
from balsamramp_core import configuration

__all__ = ["Names"]

NEAREST_NAMES = 3
REQUESTS_AT_ONCE = 16
KINDS_OF_NAME = ("service", "alias")


class Names(command.Command):
    """``balsamramp names``: unknown names, counts and nearest names."""

    name = "names"
    doc = "show the unknown service names that callers used"
    example = "names --all-nodes"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        parser.add_argument(
            "--all-nodes",
            action="store_true",
            help="ask every node that the first one knows",
        )

    async def run(
        self, parsed: argparse.Namespace, context: command.Context
    ) -> command.CommandResult:
        read = await context.node.configuration()
        if isinstance(read, result.Failure):
            return read
        nodes = [context.node]
        if parsed.all_nodes:
            viewed = await context.node.view("status")
            if isinstance(viewed, result.Failure):
                return viewed
            nodes = _nodes(context.node, viewed.unwrap())
        answers = await _ask(nodes)
        counts: collections.Counter[str] = collections.Counter()
        for answer in answers:
            counts.update(answer)
        if not answers:
            text = "no node answered"
            return result.Failure(api.ApiError(text, api.ErrorKind.UNKNOWN))
        return result.Success(
            _describe(counts, read.unwrap(), len(answers), len(nodes))
        )


def _nodes(
    first: api.NodeApi, status: dict[str, typing.Any]
) -> list[api.NodeApi]:
    return [
        first.for_node(f"{first.scheme}://{node['admin']}")
        for node in status["nodes"]
    ]


async def _ask(nodes: list[api.NodeApi]) -> list[dict[str, int]]:
    limit = asyncio.Semaphore(REQUESTS_AT_ONCE)

    async def ask(
        node: api.NodeApi,
    ) -> result.Result[dict[str, int], api.ApiError]:
        async with limit:
            return await node.view("names")

    answers = await asyncio.gather(*(ask(node) for node in nodes))
    return [
        answer.unwrap()
        for answer in answers
        if isinstance(answer, result.Success)
    ]


def _describe(
    counts: collections.Counter[str],
    current: configuration.Configuration,
    answered: int,
    asked: int,
) -> output.Output:
    known = [
        key.name for key in current.resources if key.kind in KINDS_OF_NAME
    ]
    document: list[dict[str, typing.Any]] = []
    for name, count in sorted(counts.items(), key=lambda item: -item[1]):
        nearest = difflib.get_close_matches(name, known, NEAREST_NAMES)
        document.append({"name": name, "count": count, "nearest": nearest})
    rows = tuple(
        (str(item["name"]), str(item["count"]), ", ".join(item["nearest"]))
        for item in document
    )
    notes = [f"{len(rows)} unknown names on {answered} of {asked} nodes"]
    if rows:
        notes.append("to accept a spelling: balsamramp alias NAME SERVICE")
    return output.Output(
        {"names": document, "answered": answered, "asked": asked},
        (output.Table(("NAME", "COUNT", "NEAREST KNOWN NAMES"), rows),),
        tuple(notes),
    )
