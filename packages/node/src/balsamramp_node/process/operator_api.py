"""Operator API: HTTP resources for the operators' client."""

from collections import abc
import datetime
import typing
import uuid

import falcon
import falcon.asgi
import msgspec
from returns import result

from balsamramp_core import configuration
from balsamramp_core import resource
from balsamramp_core import resources
from balsamramp_node.configuration import change_committer
from balsamramp_node.process import operator_service
from balsamramp_node.process import request_bodies

__all__ = ["PREFIXES", "add_routes"]

PREFIXES = (
    "/v1/changes",
    "/v1/configuration",
    "/v1/dump",
    "/v1/names",
    "/v1/status",
)
BODY_MAX_BYTES = 4 * 1024 * 1024
ITEMS_MAX = 10_000
AUTHOR_MAX_CHARACTERS = 128
CHANGES_MAX = 1000
FIELDS = frozenset(["author", "base_version", "change_id", "deletes", "puts"])

STATUS_CONFLICT = 409
STATUS_REFUSED = 422
STATUS_UNKNOWN = 504


class _Changes:
    """``POST /v1/changes`` submits a change; ``GET`` lists the latest."""

    def __init__(self, available: operator_service.OperatorService) -> None:
        self._operations = available

    async def on_post(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        body = await request_bodies.read_json(req, BODY_MAX_BYTES)
        accepted = await self._operations.submit(_submission(body))
        if isinstance(accepted, result.Success):
            change = accepted.unwrap()
            resp.media = {
                "version": change.version,
                "change_id": change.change_id,
            }
            return
        rejection = accepted.failure()
        resp.status = STATUS_CONFLICT if rejection.conflict else STATUS_REFUSED
        if rejection.accepted is None:
            resp.status = STATUS_UNKNOWN
        _write(
            resp,
            {
                "message": rejection.message,
                "conflict": rejection.conflict,
                "accepted": rejection.accepted,
                "changes": [_described(item) for item in rejection.changes],
            },
        )

    async def on_get(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        after = req.get_param_as_int("after", required=True, min_value=0)
        found = self._operations.changes_after(after)
        if found is None:
            raise falcon.HTTPGone(
                title=f"the changes after version {after} are no longer held"
            )
        changes = [_described(item) for item in found[:CHANGES_MAX]]
        _write(resp, {"changes": changes})


class _View:
    """``GET`` of one view of the node, as JSON."""

    def __init__(self, view: abc.Callable[[], typing.Any]) -> None:
        self._view = view

    async def on_get(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        _write(resp, self._view())


def add_routes(
    application: falcon.asgi.App,
    available: operator_service.OperatorService,
) -> None:
    """Add the resources for operators to the admin application."""
    changes = _Changes(available)
    application.add_route("/v1/changes", changes)
    views = {
        "/v1/configuration": available.configuration_document,
        "/v1/dump": available.dump,
        "/v1/names": available.unknown_service_names,
        "/v1/status": available.status,
    }
    for path, view in views.items():
        application.add_route(path, _View(view))


def _write(resp: falcon.asgi.Response, document: typing.Any) -> None:
    resp.content_type = falcon.MEDIA_JSON
    resp.data = msgspec.json.encode(document, enc_hook=str)


def _described(change: configuration.Change) -> dict[str, typing.Any]:
    return {
        "version": change.version,
        "author": change.author,
        "accepted_at": change.accepted_at,
        "puts": [resources.encode(item) for item in change.puts],
        "deletes": [[key.kind, key.name] for key in change.deletes],
    }


def _submission(
    body: dict[str, typing.Any],
) -> change_committer.ChangeProposal:
    unknown = sorted(set(body) - FIELDS)
    if unknown:
        raise _malformed(f"unknown field {unknown[0]!r}")
    submission = change_committer.ChangeProposal(
        change_id=_text(body, "change_id") or uuid.uuid4().hex,
        author=_text(body, "author"),
        puts=_puts(_items(body, "puts")),
        deletes=_deletes(_items(body, "deletes")),
        base_version=_base_version(body),
    )
    if not submission.puts and not submission.deletes:
        raise _malformed("puts and deletes are both empty")
    return submission


def _text(body: dict[str, typing.Any], field: str) -> str:
    given = body.get(field, "")
    if not isinstance(given, str):
        raise _malformed(f"{field} is not a string")
    if len(given) > AUTHOR_MAX_CHARACTERS:
        raise _malformed(
            f"{field} is longer than {AUTHOR_MAX_CHARACTERS} characters"
        )
    return given


def _items(body: dict[str, typing.Any], field: str) -> list[typing.Any]:
    given = body.get(field, [])
    if not isinstance(given, list):
        raise _malformed(f"{field} is not a list")
    if len(given) > ITEMS_MAX:
        raise _malformed(f"{field} has more than {ITEMS_MAX} items")
    return given


def _base_version(body: dict[str, typing.Any]) -> int | None:
    given = body.get("base_version")
    if given is None:
        return None
    if isinstance(given, bool) or not isinstance(given, int) or given < 0:
        raise _malformed("base_version is not a version number")
    return given


def _puts(documents: list[typing.Any]) -> tuple[resource.Resource, ...]:
    puts = []
    for document in documents:
        if not isinstance(document, dict):
            raise _malformed("a resource in puts is not a JSON object")
        decoded = resources.decode(_stamped(document))
        if isinstance(decoded, result.Failure):
            raise _malformed(decoded.failure())
        puts.append(decoded.unwrap())
    return tuple(puts)


def _deletes(pairs: list[typing.Any]) -> tuple[resource.ResourceKey, ...]:
    deletes = []
    for pair in pairs:
        if not isinstance(pair, list) or len(pair) != 2:
            raise _malformed("an item of deletes is not [kind, name]")
        kind, name = pair
        if kind not in resources.KINDS or not isinstance(name, str):
            raise _malformed(f"deletes has no kind {kind!r}")
        deletes.append(resource.ResourceKey(kind, name))
    return tuple(deletes)


def _malformed(text: str) -> falcon.HTTPUnprocessableEntity:
    return falcon.HTTPUnprocessableEntity(
        title="malformed change", description=text
    )


def _stamped(document: dict[str, typing.Any]) -> dict[str, typing.Any]:
    if document.get("kind") == "zone" and "since" not in document:
        now = datetime.datetime.now(datetime.UTC).isoformat()
        return {**document, "since": now}
    return document
