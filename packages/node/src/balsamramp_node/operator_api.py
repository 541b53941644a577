"""Operator API: HTTP resources for the operators' client."""

import datetime
import typing
import uuid

import falcon
import falcon.asgi
import msgspec
from returns import result

from balsamramp_core import configuration
from balsamramp_core import kernel
from balsamramp_core import resource
from balsamramp_core import resources
from balsamramp_node import acceptance
from balsamramp_node import membership
from balsamramp_node import rollouts
from balsamramp_node import router
from balsamramp_node import source
from balsamramp_node import store
from balsamramp_node import target_api

__all__ = ["Operations", "add_routes"]

ACCEPT_ATTEMPTS = 8


class Operations:
    """What operators can do through a node, apart from HTTP."""

    def __init__(self, services: kernel.Kernel, node: str) -> None:
        self._kernel = services
        self._node = node

    async def submit(
        self,
        submission: acceptance.Submission,
        acceptor: acceptance.Acceptor,
    ) -> result.Result[configuration.Change, acceptance.Rejection]:
        """Accept ``submission`` behind the latest version."""
        configurations = self._kernel.find(store.ConfigurationStore)
        reader = self._kernel.find(source.ConfigurationSource)
        accepted: result.Result[configuration.Change, acceptance.Rejection] = (
            result.Failure(acceptance.Rejection("not attempted"))
        )
        for _ in range(ACCEPT_ATTEMPTS):
            read = await reader.read_now()
            if isinstance(read, result.Failure):
                text = f"platform: {read.failure().message}"
                return result.Failure(acceptance.Rejection(text))
            base = configurations.current
            refused = _check_base(base, submission)
            if refused is not None:
                return result.Failure(refused)
            accepted = await acceptor.accept(base, submission)
            if isinstance(accepted, result.Success):
                configurations.offer(accepted.unwrap())
                return accepted
            if not accepted.failure().conflict:
                return accepted
        return accepted

    def status(self) -> dict[str, typing.Any]:
        """Return what is in force here and what peers reported."""
        current = self._kernel.find(store.ConfigurationStore).current
        members = self._kernel.find(membership.Membership)
        versions = members.versions
        nodes = [
            {
                "node": member.node,
                "zone": member.zone,
                "state": member.state.value,
                "version": versions.get(member.node),
                "targets": msgspec.to_builtins(member.targets),
            }
            for member in members.members()
        ]
        shares = self._kernel.find(rollouts.Rollouts)
        return {
            "node": self._node,
            "version": current.version,
            "nodes": nodes,
            "rollouts": shares.dump(),
            "zones_out": sorted(self._kernel.find(router.Router).zones_out),
        }

    def document(self) -> list[dict[str, typing.Any]]:
        """Return all resources in force as plain data."""
        current = self._kernel.find(store.ConfigurationStore).current
        keys = sorted(current.resources)
        return [resources.encode(current.resources[key]) for key in keys]

    def names(self) -> dict[str, int]:
        """Return unknown service names and how often each was used."""
        return dict(self._kernel.find(router.Router).unknown_names())

    def dump(self) -> dict[str, typing.Any]:
        """Return the state of every service of the process."""
        return self._kernel.dump()


class _Changes:
    """``POST /v1/changes`` submits a change."""

    def __init__(
        self, operations: Operations, acceptor: acceptance.Acceptor
    ) -> None:
        self._operations = operations
        self._acceptor = acceptor

    async def on_post(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        submission = _submission(await target_api.read_json(req))
        accepted = await self._operations.submit(submission, self._acceptor)
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
    operations: Operations,
    acceptor: acceptance.Acceptor,
) -> None:
    """Add the resources for operators to the admin application."""
    changes = _Changes(operations, acceptor)
    application.add_route("/v1/changes", changes)
    views = {
        "/v1/configuration": operations.document,
        "/v1/dump": operations.dump,
        "/v1/names": operations.names,
        "/v1/status": operations.status,
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


def _check_base(
    base: configuration.Configuration, submission: acceptance.Submission
) -> acceptance.Rejection | None:
    wanted = submission.base_version
    if wanted is None or wanted == base.version:
        return None
    text = f"the configuration is at version {base.version}, not {wanted}"
    return acceptance.Rejection(text, conflict=True)
