"""Label: sets the labels of a target."""

import argparse
import typing

from returns import result

from balsamramp_client import api
from balsamramp_client import command

__all__ = ["Label"]


class Label(command.Command):
    """``balsamramp label TARGET KEY=VALUE ...``: sets a target's labels."""

    name = "label"
    doc = "set the labels of a target"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        parser.add_argument("target")
        parser.add_argument("labels", nargs="+", metavar="KEY=VALUE")

    async def run(
        self, parsed: argparse.Namespace, node: api.NodeApi
    ) -> result.Result[typing.Any, api.ApiError]:
        labels = {}
        for pair in parsed.labels:
            key, separator, value = pair.partition("=")
            if not separator:
                text = f"{pair!r} is not KEY=VALUE"
                return result.Failure(api.ApiError(text))
            labels[key] = value
        item = {"kind": "labels", "name": parsed.target, "labels": labels}
        return await node.submit({"author": parsed.author, "puts": [item]})
