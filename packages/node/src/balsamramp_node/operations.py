"""Operations: what operators can do through a node, apart from HTTP."""

import typing

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

__all__ = ["Operations"]

ACCEPT_ATTEMPTS = 8
REPEAT_MAX_CHANGES = 1024


class Operations:
    """What operators can do through a node, apart from HTTP."""

    def __init__(
        self,
        services: kernel.Kernel,
        node: str,
        acceptor: acceptance.Acceptor,
    ) -> None:
        self._kernel = services
        self._node = node
        self._acceptor = acceptor

    async def submit(
        self,
        submission: acceptance.Submission,
    ) -> result.Result[configuration.Change, acceptance.Rejection]:
        """Accept ``submission`` behind the latest version.

        One that was accepted before, known by its change id, yields the
        change that it became. One whose resources were changed after
        its base version is a conflict, and the rejection holds the
        changes that came between.
        """
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
            between = configurations.changes_after(
                base.version
                if submission.base_version is None
                else submission.base_version
            )
            repeated = _find_change(configurations, submission, between)
            if repeated is not None:
                return result.Success(repeated)
            refused = _check_base(base, submission, between)
            if refused is not None:
                return result.Failure(refused)
            accepted = await self._acceptor.accept(base, submission)
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
                "admin": str(member.admin),
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

    def document(self) -> dict[str, typing.Any]:
        """Return all resources in force, and their version, as data."""
        current = self._kernel.find(store.ConfigurationStore).current
        keys = sorted(current.resources)
        return {
            "version": current.version,
            "resources": [
                resources.encode(current.resources[key]) for key in keys
            ],
        }

    def changes_after(self, version: int) -> list[configuration.Change] | None:
        """Return the changes after ``version``, None if some are gone."""
        configurations = self._kernel.find(store.ConfigurationStore)
        return configurations.changes_after(version)

    def names(self) -> dict[str, int]:
        """Return unknown service names and how often each was used."""
        return dict(self._kernel.find(router.Router).unknown_names())

    def dump(self) -> dict[str, typing.Any]:
        """Return the state of every service of the process."""
        return self._kernel.dump()


def _find_change(
    configurations: store.ConfigurationStore,
    submission: acceptance.Submission,
    between: list[configuration.Change] | None,
) -> configuration.Change | None:
    current = configurations.current.version
    oldest = max(0, current - REPEAT_MAX_CHANGES)
    remembered = configurations.changes_after(oldest) or between or []
    for change in remembered:
        if change.change_id == submission.change_id:
            return change
    return None


def _check_base(
    base: configuration.Configuration,
    submission: acceptance.Submission,
    between: list[configuration.Change] | None,
) -> acceptance.Rejection | None:
    wanted = submission.base_version
    if wanted is None:
        return None
    if wanted > base.version:
        text = f"base version {wanted} is not accepted yet"
        return acceptance.Rejection(text)
    if between is None:
        text = (
            f"the changes after version {wanted} are no longer held by this "
            f"node; read again, the configuration is at {base.version}"
        )
        return acceptance.Rejection(text, conflict=True)
    own = {item.key for item in submission.puts} | set(submission.deletes)
    racing = [change for change in between if own & _touched(change)]
    if not racing:
        return None
    names = sorted(
        {str(key) for change in racing for key in own & _touched(change)}
    )
    text = f"changed since version {wanted}: {', '.join(names)}"
    return acceptance.Rejection(text, conflict=True, changes=tuple(racing))


def _touched(change: configuration.Change) -> set[resource.ResourceKey]:
    return {item.key for item in change.puts} | set(change.deletes)
