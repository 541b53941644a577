"""Target API: HTTP resources for the targets of this VM."""

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


class _Targets:
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
        taken = self._local.announce(announcement)
        if isinstance(taken, result.Failure):
            raise falcon.HTTPBadRequest(
                title="malformed announcement", description=taken.failure()
            )
        resp.media = {
            "state": taken.unwrap().state.value,
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


class _Drain:
    """``POST /v1/targets/{target}/drain`` ends new work for a target."""

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
    application.add_route("/v1/targets/{target}", _Targets(local))
    application.add_route("/v1/targets/{target}/drain", _Drain(local))


def _check_fields(body: dict[str, typing.Any]) -> None:
    fields = {field.name for field in attrs.fields(targets.Announcement)}
    unknown = sorted(set(body) - fields)
    if unknown:
        raise falcon.HTTPBadRequest(
            title="malformed announcement",
            description=f"unknown field {unknown[0]!r}",
        )
