"""Commands that submit, compare or validate a resource file."""

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
    """``balsamramp apply FILE``: submits a JSON file as one change."""

    name = "apply"
    doc = "submit the resources of a JSON file atomically"
    example = "apply caja.json --dry-run"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        parser.add_argument("file", type=pathlib.Path)
        parser.add_argument(
            "--dry-run",
            action="store_true",
            help="show the differences without submitting the change",
        )

    async def run(
        self, parsed: argparse.Namespace, context: command.Context
    ) -> command.CommandResult:
        decoded = documents.read_resources(parsed.file, context.clock)
        if isinstance(decoded, result.Failure):
            return decoded
        items = decoded.unwrap()
        fetched = await context.node.configuration()
        if isinstance(fetched, result.Failure):
            return fetched
        current = fetched.unwrap()
        if not parsed.dry_run:
            return await edits.submit(context, current.version, items)
        rejection = differences.validation_error(current, items, context.clock)
        if rejection:
            return result.Failure(api.ApiError(rejection))
        computed = differences.compute_diff(current, items)
        return result.Success(differences.describe(computed, current.version))


class Diff(command.Command):
    """``balsamramp diff FILE``: shows what ``apply`` would change."""

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
    """``balsamramp validate FILE``: checks a file without a node."""

    name = "validate"
    doc = "check a JSON file without contacting a node"
    example = "validate caja.json"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        parser.add_argument("file", type=pathlib.Path)

    async def run(
        self, parsed: argparse.Namespace, context: command.Context
    ) -> command.CommandResult:
        decoded = documents.read_resources(parsed.file, context.clock)
        return decoded.map(
            lambda items: _validation_output(parsed.file, len(items))
        )


def _validation_output(path: pathlib.Path, count: int) -> output.Output:
    return output.Output(
        {"file": str(path), "resources": count},
        notes=(f"{path}: {count} resources are valid",),
    )
