"""HTTP resources of the operator API."""

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
LIST_ITEMS_MAX = 10_000
STRING_MAX_CHARACTERS = 128
CHANGES_PER_RESPONSE_MAX = 1000
CHANGE_FIELDS = frozenset(
    ["author", "base_version", "change_id", "deletes", "puts"]
)

STATUS_CONFLICT = 409
STATUS_UNPROCESSABLE = 422
STATUS_GATEWAY_TIMEOUT = 504


class _ChangesResource:
    """``POST /v1/changes`` submits a change; ``GET`` lists the latest."""

    def __init__(self, operations: operator_service.OperatorService) -> None:
        self._operations = operations

    async def on_post(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        body = await request_bodies.read_json(req, BODY_MAX_BYTES)
        outcome = await self._operations.submit(_parse_proposal(body))
        if isinstance(outcome, result.Success):
            change = outcome.unwrap()
            resp.media = {
                "version": change.version,
                "change_id": change.change_id,
            }
            return
        rejection = outcome.failure()
        resp.status = (
            STATUS_CONFLICT if rejection.conflict else STATUS_UNPROCESSABLE
        )
        if rejection.accepted is None:
            resp.status = STATUS_GATEWAY_TIMEOUT
        _write_json(
            resp,
            {
                "message": rejection.message,
                "conflict": rejection.conflict,
                "accepted": rejection.accepted,
                "changes": [
                    _encode_change(item) for item in rejection.changes
                ],
            },
        )

    async def on_get(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        after = req.get_param_as_int("after", required=True, min_value=0)
        later_changes = self._operations.changes_after(after)
        if later_changes is None:
            raise falcon.HTTPGone(
                title=f"the changes after version {after} are no longer held"
            )
        changes = [
            _encode_change(item)
            for item in later_changes[:CHANGES_PER_RESPONSE_MAX]
        ]
        _write_json(resp, {"changes": changes})


class _ViewResource:
    """``GET`` returns one view of the node as JSON."""

    def __init__(self, view: abc.Callable[[], typing.Any]) -> None:
        self._view = view

    async def on_get(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        _write_json(resp, self._view())


def add_routes(
    application: falcon.asgi.App,
    operations: operator_service.OperatorService,
) -> None:
    """Add the resources for operators to the admin application."""
    changes = _ChangesResource(operations)
    application.add_route("/v1/changes", changes)
    views = {
        "/v1/configuration": operations.configuration_document,
        "/v1/dump": operations.dump,
        "/v1/names": operations.unknown_service_names,
        "/v1/status": operations.status,
    }
    for path, view in views.items():
        application.add_route(path, _ViewResource(view))


def _write_json(resp: falcon.asgi.Response, document: typing.Any) -> None:
    resp.content_type = falcon.MEDIA_JSON
    resp.data = msgspec.json.encode(document, enc_hook=str)


def _encode_change(change: configuration.Change) -> dict[str, typing.Any]:
    return {
        "version": change.version,
        "author": change.author,
        "accepted_at": change.accepted_at,
        "puts": [resources.encode(item) for item in change.puts],
        "deletes": [[key.kind, key.name] for key in change.deletes],
    }


def _parse_proposal(
    body: dict[str, typing.Any],
) -> change_committer.ChangeProposal:
    unknown = sorted(set(body) - CHANGE_FIELDS)
    if unknown:
        raise _malformed(f"unknown field {unknown[0]!r}")
    proposal = change_committer.ChangeProposal(
        change_id=_string_field(body, "change_id") or uuid.uuid4().hex,
        author=_string_field(body, "author"),
        puts=_parse_puts(_list_field(body, "puts")),
        deletes=_parse_deletes(_list_field(body, "deletes")),
        base_version=_parse_base_version(body),
    )
    if not proposal.puts and not proposal.deletes:
        raise _malformed("puts and deletes are both empty")
    return proposal


def _string_field(body: dict[str, typing.Any], field: str) -> str:
    value = body.get(field, "")
    if not isinstance(value, str):
        raise _malformed(f"{field} is not a string")
    if len(value) > STRING_MAX_CHARACTERS:
        raise _malformed(
            f"{field} is longer than {STRING_MAX_CHARACTERS} characters"
        )
    return value


def _list_field(body: dict[str, typing.Any], field: str) -> list[typing.Any]:
    value = body.get(field, [])
    if not isinstance(value, list):
        raise _malformed(f"{field} is not a list")
    if len(value) > LIST_ITEMS_MAX:
        raise _malformed(f"{field} has more than {LIST_ITEMS_MAX} items")
    return value


def _parse_base_version(body: dict[str, typing.Any]) -> int | None:
    value = body.get("base_version")
    if value is None:
        return None
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise _malformed("base_version is not a version number")
    return value


def _parse_puts(documents: list[typing.Any]) -> tuple[resource.Resource, ...]:
    puts = []
    for document in documents:
        if not isinstance(document, dict):
            raise _malformed("a resource in puts is not a JSON object")
        decoded = resources.decode(_with_since(document))
        if isinstance(decoded, result.Failure):
            raise _malformed(decoded.failure())
        puts.append(decoded.unwrap())
    return tuple(puts)


def _parse_deletes(
    pairs: list[typing.Any],
) -> tuple[resource.ResourceKey, ...]:
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


def _with_since(document: dict[str, typing.Any]) -> dict[str, typing.Any]:
    if document.get("kind") == "zone" and "since" not in document:
        now = datetime.datetime.now(datetime.UTC).isoformat()
        return {**document, "since": now}
    return document
