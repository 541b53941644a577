"""Operator API: HTTP resources for the operators' client."""

import datetime
import typing
import uuid

import falcon
import falcon.asgi
import msgspec
from returns import result

from balsamramp_core import resource
from balsamramp_core import resources
from balsamramp_node import acceptance
from balsamramp_node import operations
from balsamramp_node import target_api

__all__ = ["add_routes"]


class _Changes:
    """``POST /v1/changes`` submits a change."""

    def __init__(self, available: operations.Operations) -> None:
        self._operations = available

    async def on_post(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        submission = _submission(await target_api.read_json(req))
        accepted = await self._operations.submit(submission)
        if isinstance(accepted, result.Success):
            change = accepted.unwrap()
            resp.media = {
                "version": change.version,
                "change_id": change.change_id,
            }
            return
        rejection = accepted.failure()
        resp.status = 409 if rejection.conflict else 422
        if rejection.accepted is None:
            resp.status = 504
        resp.media = {
            "message": rejection.message,
            "conflict": rejection.conflict,
            "accepted": rejection.accepted,
        }


class _View:
    """``GET`` of one view of the node, as JSON."""

    def __init__(self, view: typing.Callable[[], typing.Any]) -> None:
        self._view = view

    async def on_get(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        resp.content_type = falcon.MEDIA_JSON
        resp.data = msgspec.json.encode(self._view(), enc_hook=str)


def add_routes(
    application: falcon.asgi.App,
    available: operations.Operations,
) -> None:
    """Add the resources for operators to the admin application."""
    changes = _Changes(available)
    application.add_route("/v1/changes", changes)
    views = {
        "/v1/configuration": available.document,
        "/v1/dump": available.dump,
        "/v1/names": available.names,
        "/v1/status": available.status,
    }
    for path, view in views.items():
        application.add_route(path, _View(view))


def _submission(body: dict[str, typing.Any]) -> acceptance.Submission:
    puts = []
    for document in body.get("puts", []):
        decoded = resources.decode(_stamped(document))
        if isinstance(decoded, result.Failure):
            raise falcon.HTTPUnprocessableEntity(
                title="malformed resource", description=decoded.failure()
            )
        puts.append(decoded.unwrap())
    try:
        deletes = tuple(
            resource.ResourceKey(str(kind), str(name))
            for kind, name in body.get("deletes", [])
        )
        base_version = body.get("base_version")
        return acceptance.Submission(
            change_id=str(body.get("change_id") or uuid.uuid4().hex),
            author=str(body.get("author", "")),
            puts=tuple(puts),
            deletes=deletes,
            base_version=None if base_version is None else int(base_version),
        )
    except (TypeError, ValueError) as error:
        raise falcon.HTTPUnprocessableEntity(
            title="malformed change", description=str(error)
        ) from error


def _stamped(document: typing.Any) -> dict[str, typing.Any]:
    if not isinstance(document, dict):
        raise falcon.HTTPUnprocessableEntity(
            title="malformed resource", description="not a JSON object"
        )
    if document.get("kind") == "zone" and "since" not in document:
        now = datetime.datetime.now(datetime.UTC).isoformat()
        return {**document, "since": now}
    return document
