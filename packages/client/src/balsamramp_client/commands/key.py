"""Command that adds, lists and withdraws keys of organisations."""

import argparse
import pathlib
import typing

import attrs
from returns import result

from balsamramp_client import api
from balsamramp_client import command
from balsamramp_client import edits
from balsamramp_client import output
from balsamramp_core import configuration
from balsamramp_core import resource
from balsamramp_core.resources import organisation

__all__ = ["Key"]


class Key(command.Command):
    """``balsamramp key add|list|withdraw``: manages keys.

    A key is read from a file, as arguments are visible to other users of
    the machine. Only its digest is submitted and shown.
    """

    name = "key"
    doc = "add, list or withdraw keys of an organisation"
    example = "key add pulo --key-file pulo.key"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        actions = parser.add_subparsers(dest="action", required=True)
        add = actions.add_parser("add", help="accept one more key")
        add.add_argument("organisation")
        add.add_argument("--key-file", type=pathlib.Path, required=True)
        add.add_argument(
            "--priority",
            type=int,
            help="priority of the organisation, 0 is served first; "
            "default as before",
        )
        listing = actions.add_parser("list", help="show digests of keys")
        listing.add_argument("organisation", nargs="?")
        withdraw = actions.add_parser("withdraw", help="refuse a key")
        withdraw.add_argument("organisation")
        withdraw.add_argument(
            "digest", help="digest of the key, or how only it begins"
        )

    async def run(
        self, parsed: argparse.Namespace, context: command.Context
    ) -> command.CommandResult:
        fetched = await context.node.configuration()
        if isinstance(fetched, result.Failure):
            return fetched
        current = fetched.unwrap()
        if parsed.action == "list":
            return _list(parsed, current)
        actions: dict[str, typing.Any] = {"add": _add, "withdraw": _withdraw}
        changed = actions[parsed.action](parsed, current)
        if isinstance(changed, result.Failure):
            return changed
        return await edits.submit(context, current.version, [changed.unwrap()])


def _add(
    parsed: argparse.Namespace, current: configuration.Configuration
) -> result.Result[organisation.Organisation, api.ApiError]:
    try:
        key = parsed.key_file.read_bytes().strip()
    except OSError as error:
        text = f"--key-file cannot be read: {error}"
        return result.Failure(api.ApiError(text, api.ErrorKind.USAGE))
    if not key:
        text = f"--key-file {parsed.key_file} is empty, expected a key"
        return result.Failure(api.ApiError(text, api.ErrorKind.USAGE))
    name = parsed.organisation
    item = _find(current, name) or organisation.Organisation(name=name)
    digests = {*item.key_digests, organisation.digest_key(key)}
    item = attrs.evolve(item, key_digests=tuple(sorted(digests)))
    if parsed.priority is not None:
        item = attrs.evolve(item, priority=parsed.priority)
    return result.Success(item)


def _withdraw(
    parsed: argparse.Namespace, current: configuration.Configuration
) -> result.Result[organisation.Organisation, api.ApiError]:
    item = _find(current, parsed.organisation)
    if item is None:
        return _missing(parsed.organisation, current)
    found = [
        digest
        for digest in item.key_digests
        if digest.startswith(parsed.digest)
    ]
    if len(found) != 1:
        text = (
            f"{item.key} has {len(found)} keys whose digest begins with"
            f" {parsed.digest!r}, expected one"
        )
        return result.Failure(api.ApiError(text))
    kept = tuple(digest for digest in item.key_digests if digest not in found)
    return result.Success(attrs.evolve(item, key_digests=kept))


def _list(
    parsed: argparse.Namespace, current: configuration.Configuration
) -> command.CommandResult:
    items = [
        item
        for item in current.of_kind(organisation.Organisation.kind)
        if isinstance(item, organisation.Organisation)
        and parsed.organisation in (None, item.name)
    ]
    if parsed.organisation is not None and not items:
        return _missing(parsed.organisation, current)
    rows = tuple(
        (item.name, digest) for item in items for digest in item.key_digests
    )
    document = [{"organisation": name, "digest": key} for name, key in rows]
    return result.Success(
        output.Output(
            document,
            (output.Table(("ORGANISATION", "DIGEST"), rows),),
            (f"{len(rows)} keys of {len(items)} organisations",),
        )
    )


def _find(
    current: configuration.Configuration, name: str
) -> organisation.Organisation | None:
    key = resource.ResourceKey(organisation.Organisation.kind, name)
    found = current.resources.get(key)
    return found if isinstance(found, organisation.Organisation) else None


def _missing(
    name: str, current: configuration.Configuration
) -> result.Result[typing.Any, api.ApiError]:
    kind = organisation.Organisation.kind
    text = f"no {kind}/{name} at version {current.version}"
    return result.Failure(api.ApiError(text))
