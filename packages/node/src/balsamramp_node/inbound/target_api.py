"""HTTP resources by which the targets of this VM announce themselves."""

import typing

import attrs
import falcon
import falcon.asgi
import msgspec
from returns import result

from balsamramp_node.inbound import targets
from balsamramp_node.process import request_bodies
from balsamramp_wire import messages

__all__ = ["PREFIXES", "add_routes"]

PREFIXES = ("/v1/targets/",)

BODY_MAX_BYTES = 64 * 1024


class _TargetResource:
    """``PUT /v1/targets/{target}`` announces or renews; DELETE withdraws."""

    def __init__(self, local: targets.LocalTargets) -> None:
        self._local = local

    async def on_put(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
        target: str,
    ) -> None:
        body = await request_bodies.read_json(req, BODY_MAX_BYTES)
        _check_fields(body)
        try:
            announcement = msgspec.convert(
                {**body, "target": target}, targets.Announcement
            )
        except msgspec.ValidationError as error:
            raise falcon.HTTPBadRequest(
                title="malformed announcement", description=str(error)
            ) from error
        announced = self._local.announce(announcement)
        if isinstance(announced, result.Failure):
            raise falcon.HTTPBadRequest(
                title="malformed announcement", description=announced.failure()
            )
        resp.media = {
            "state": announced.unwrap().state.value,
            "lease_ms": self._local.lease.total_seconds() * 1000,
        }

    async def on_delete(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
        target: str,
    ) -> None:
        if not self._local.withdraw(target):
            raise falcon.HTTPNotFound(title=f"no target {target}")
        resp.media = {"state": messages.MemberState.LEFT.value}


class _DrainResource:
    """``POST /v1/targets/{target}/drain`` stops new calls to a target."""

    def __init__(self, local: targets.LocalTargets) -> None:
        self._local = local

    async def on_post(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
        target: str,
    ) -> None:
        if not self._local.drain(target):
            raise falcon.HTTPNotFound(title=f"no target {target}")
        resp.media = {"state": messages.TargetState.DRAINING.value}


def add_routes(
    application: falcon.asgi.App, local: targets.LocalTargets
) -> None:
    """Add the resources for targets to the admin application."""
    application.add_route("/v1/targets/{target}", _TargetResource(local))
    application.add_route("/v1/targets/{target}/drain", _DrainResource(local))


def _check_fields(body: dict[str, typing.Any]) -> None:
    fields = {field.name for field in attrs.fields(targets.Announcement)}
    unknown = sorted(set(body) - fields)
    if unknown:
        raise falcon.HTTPBadRequest(
            title="malformed announcement",
            description=f"unknown field {unknown[0]!r}",
        )
