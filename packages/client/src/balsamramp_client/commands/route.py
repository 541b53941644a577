"""Commands that create routes and change their selectors."""

import argparse

import attrs
from returns import result

from balsamramp_client import api
from balsamramp_client import command
from balsamramp_client import edits
from balsamramp_core import configuration
from balsamramp_core import resource
from balsamramp_core.resources import route

__all__ = ["Route", "Selector"]


class Route(command.Command):
    """``balsamramp route NAME SERVICE``: creates or updates a route.

    On an existing route, omitted options keep their values.
    """

    name = "route"
    doc = "create or update a route of a service"
    example = "route caja-v2 caja --path-prefix /v2 --selector version=v2"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        parser.add_argument("route")
        parser.add_argument("service")
        parser.add_argument("--path-prefix")
        parser.add_argument("--selector", nargs="+", metavar="KEY=VALUE|KEY-")

    async def run(
        self, parsed: argparse.Namespace, context: command.Context
    ) -> command.CommandResult:
        fetched = await context.node.configuration()
        if isinstance(fetched, result.Failure):
            return fetched
        current = fetched.unwrap()
        existing = _find_route(current, parsed.route)
        item = existing or route.Route(
            name=parsed.route, service=parsed.service
        )
        merged = edits.merge_pairs(
            str(item.key), item.selector, parsed.selector or ()
        )
        if isinstance(merged, result.Failure):
            return merged
        item = attrs.evolve(
            item,
            service=parsed.service,
            path_prefix=parsed.path_prefix or item.path_prefix,
            selector=merged.unwrap(),
        )
        return await edits.submit(context, current.version, [item])


class Selector(command.Command):
    """``balsamramp selector ROUTE KEY=VALUE|KEY- ...``."""

    name = "selector"
    doc = "set or remove labels in the selector of a route"
    example = "selector caja-all tier=gold"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        parser.add_argument("route")
        parser.add_argument("pairs", nargs="+", metavar="KEY=VALUE|KEY-")

    async def run(
        self, parsed: argparse.Namespace, context: command.Context
    ) -> command.CommandResult:
        fetched = await context.node.configuration()
        if isinstance(fetched, result.Failure):
            return fetched
        current = fetched.unwrap()
        existing = _find_route(current, parsed.route)
        if existing is None:
            text = f"no route/{parsed.route} at version {current.version}"
            return result.Failure(api.ApiError(text))
        merged = edits.merge_pairs(
            str(existing.key), existing.selector, parsed.pairs
        )
        if isinstance(merged, result.Failure):
            return merged
        item = attrs.evolve(existing, selector=merged.unwrap())
        return await edits.submit(context, current.version, [item])


def _find_route(
    current: configuration.Configuration, name: str
) -> route.Route | None:
    key = resource.ResourceKey(route.Route.kind, name)
    found = current.resources.get(key)
    return found if isinstance(found, route.Route) else None
