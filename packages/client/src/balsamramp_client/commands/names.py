"""Command that reports calls to unknown service names."""

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

NEAREST_NAMES_MAX = 3
CONCURRENT_REQUESTS_MAX = 16
SERVICE_NAME_KINDS = ("service", "alias")


class Names(command.Command):
    """``balsamramp names``: shows unknown names with close matches."""

    name = "names"
    doc = "show the unknown service names that callers used"
    example = "names --all-nodes"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        parser.add_argument(
            "--all-nodes",
            action="store_true",
            help="query every node in the status of the first one",
        )

    async def run(
        self, parsed: argparse.Namespace, context: command.Context
    ) -> command.CommandResult:
        fetched = await context.node.configuration()
        if isinstance(fetched, result.Failure):
            return fetched
        nodes = [context.node]
        if parsed.all_nodes:
            status = await context.node.view("status")
            if isinstance(status, result.Failure):
                return status
            nodes = _node_clients(context.node, status.unwrap())
        responses = await _query_names(nodes)
        counts: collections.Counter[str] = collections.Counter()
        for response in responses:
            counts.update(response)
        if not responses:
            text = "no node responded to the request for its unknown names"
            return result.Failure(api.ApiError(text, api.ErrorKind.UNKNOWN))
        return result.Success(
            _describe(counts, fetched.unwrap(), len(responses), len(nodes))
        )


def _node_clients(
    first: api.NodeApi, status: dict[str, typing.Any]
) -> list[api.NodeApi]:
    return [
        first.for_node(f"{first.scheme}://{node['admin']}")
        for node in status["nodes"]
    ]


async def _query_names(nodes: list[api.NodeApi]) -> list[dict[str, int]]:
    limiter = asyncio.Semaphore(CONCURRENT_REQUESTS_MAX)

    async def query(
        node: api.NodeApi,
    ) -> result.Result[dict[str, int], api.ApiError]:
        async with limiter:
            return await node.view("names")

    responses = await asyncio.gather(*(query(node) for node in nodes))
    return [
        response.unwrap()
        for response in responses
        if isinstance(response, result.Success)
    ]


def _describe(
    counts: collections.Counter[str],
    current: configuration.Configuration,
    responded: int,
    queried: int,
) -> output.Output:
    known_names = [
        key.name for key in current.resources if key.kind in SERVICE_NAME_KINDS
    ]
    document: list[dict[str, typing.Any]] = []
    for name, count in sorted(counts.items(), key=lambda item: -item[1]):
        nearest = difflib.get_close_matches(
            name, known_names, NEAREST_NAMES_MAX
        )
        document.append({"name": name, "count": count, "nearest": nearest})
    rows = tuple(
        (str(item["name"]), str(item["count"]), ", ".join(item["nearest"]))
        for item in document
    )
    notes = [f"{len(rows)} unknown names on {responded} of {queried} nodes"]
    if rows:
        notes.append("to accept a spelling: balsamramp alias NAME SERVICE")
    return output.Output(
        {"names": document, "answered": responded, "asked": queried},
        (output.Table(("NAME", "COUNT", "NEAREST KNOWN NAMES"), rows),),
        tuple(notes),
    )
