"""Apply: submits the resources of a file as one change."""

import argparse
import pathlib

from returns import result

from balsamramp_client import api
from balsamramp_client import command
from balsamramp_client import differences
from balsamramp_client import documents
from balsamramp_client import edits
from balsamramp_client import output

__all__ = ["Apply", "Diff", "Validate"]


class Apply(command.Command):
    """``balsamramp apply FILE``: all of a JSON file, or nothing of it."""

    name = "apply"
    doc = "put the resources of a JSON file, all or none"
    example = "apply caja.json --dry-run"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        parser.add_argument("file", type=pathlib.Path)
        parser.add_argument(
            "--dry-run",
            action="store_true",
            help="show the difference and change nothing",
        )

    async def run(
        self, parsed: argparse.Namespace, context: command.Context
    ) -> command.CommandResult:
        decoded = documents.read_resources(parsed.file, context.clock)
        if isinstance(decoded, result.Failure):
            return decoded
        items = decoded.unwrap()
        read = await context.node.configuration()
        if isinstance(read, result.Failure):
            return read
        current = read.unwrap()
        if not parsed.dry_run:
            return await edits.submit(context, current.version, items)
        refused = differences.validation_error(current, items, context.clock)
        if refused:
            return result.Failure(api.ApiError(refused))
        found = differences.compute_diff(current, items)
        return result.Success(differences.describe(found, current.version))


class Diff(command.Command):
    """``balsamramp diff FILE``: what ``apply`` would change."""

    name = "diff"
    doc = "show what a JSON file would change"
    example = "diff caja.json"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        parser.add_argument("file", type=pathlib.Path)

    async def run(
        self, parsed: argparse.Namespace, context: command.Context
    ) -> command.CommandResult:
        parsed.dry_run = True
        return await Apply().run(parsed, context)


class Validate(command.Command):
    """``balsamramp validate FILE``: checks a file without any node."""

    name = "validate"
    doc = "check a JSON file without asking a node"
    example = "validate caja.json"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        parser.add_argument("file", type=pathlib.Path)

    async def run(
        self, parsed: argparse.Namespace, context: command.Context
    ) -> command.CommandResult:
        decoded = documents.read_resources(parsed.file, context.clock)
        return decoded.map(lambda items: _valid(parsed.file, len(items)))


def _valid(path: pathlib.Path, count: int) -> output.Output:
    return output.Output(
        {"file": str(path), "resources": count},
        notes=(f"{path}: {count} resources are valid",),
    )
