"""Apply: submits the resources of a file as one change."""

import argparse
import json
import pathlib
import typing

from returns import result

from balsamramp_client import api
from balsamramp_client import command

__all__ = ["Apply"]


class Apply(command.Command):
    """``balsamramp apply FILE``: all of a JSON file, or nothing of it."""

    name = "apply"
    doc = "put the resources of a JSON file, all or none"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        parser.add_argument("file", type=pathlib.Path)
        parser.add_argument("--base-version", type=int)

    async def run(
        self, parsed: argparse.Namespace, node: api.NodeApi
    ) -> result.Result[typing.Any, api.ApiError]:
        try:
            document = json.loads(parsed.file.read_text(encoding="utf-8"))
        except (OSError, ValueError) as error:
            return result.Failure(api.ApiError(f"{parsed.file}: {error}"))
        change = {
            "author": parsed.author,
            "puts": document.get("resources", []),
            "base_version": parsed.base_version,
        }
        return await node.submit(change)
