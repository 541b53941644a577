"""Acceptance: gives an operator's change its version on the platform."""

import attrs
import msgspec
from returns import result

from balsamramp_core import clock
from balsamramp_core import configuration
from balsamramp_core import platform
from balsamramp_core import resource

__all__ = ["Acceptor", "Head", "Rejection", "Submission", "log_key"]

HEAD_KEY = "configuration/head"
LOG_PREFIX = "configuration/log/"
VERSION_DIGITS = 12


@attrs.frozen(kw_only=True)
class Head:
    """The latest accepted version and its digest, in hexadecimal."""

    version: int
    digest: str
    change_id: str


@attrs.frozen(kw_only=True)
class Submission:
    """What an operator asks for.

    ``base_version`` is the version the operator looked at; None submits
    without looking.
    """

    change_id: str
    author: str
    puts: tuple[resource.Resource, ...] = ()
    deletes: tuple[resource.ResourceKey, ...] = ()
    base_version: int | None = None


@attrs.frozen
class Rejection:
    """A submission that was not accepted.

    ``conflict`` tells a race with another operator from bad content, and
    ``accepted`` is None when it is unknown whether it was accepted.
    ``changes`` are those that came between, for a conflict.
    """

    message: str
    conflict: bool = False
    accepted: bool | None = False
    changes: tuple[configuration.Change, ...] = ()


def log_key(version: int) -> str:
    """Return the table key of the change with this version."""
    return f"{LOG_PREFIX}{version:0{VERSION_DIGITS}d}"


class Acceptor:
    """Accepts submissions by one transaction each."""

    def __init__(self, table: platform.Table, time: clock.Clock) -> None:
        self._table = table
        self._clock = time

    async def accept(
        self, base: configuration.Configuration, submission: Submission
    ) -> result.Result[configuration.Change, Rejection]:
        """Append ``submission`` to the log behind ``base``.

        ``base`` must be the latest accepted configuration; if it is not,
        the rejection is a conflict and the caller reads on and retries.
        """
        merged = configuration.merge(base, submission.puts, submission.deletes)
        change = configuration.Change(
            version=merged.version,
            change_id=submission.change_id,
            base_digest=base.digest,
            digest=merged.digest,
            author=submission.author,
            accepted_at=self._clock.now(),
            puts=submission.puts,
            deletes=submission.deletes,
        )
        found = configuration.problems(merged, change)
        if found:
            text = "; ".join(refusal.message for refusal in found)
            return result.Failure(Rejection(text))
        return await self._append(base, change)

    async def _append(
        self, base: configuration.Configuration, change: configuration.Change
    ) -> result.Result[configuration.Change, Rejection]:
        read = await self._table.read(HEAD_KEY)
        if isinstance(read, result.Failure):
            return result.Failure(Rejection(read.failure().message))
        row = read.unwrap()
        if _version_of(row) != base.version:
            text = f"version {base.version} is no longer the latest"
            return result.Failure(Rejection(text, conflict=True))
        head = Head(
            version=change.version,
            digest=f"{change.digest:032x}",
            change_id=change.change_id,
        )
        key = log_key(change.version)
        transaction = platform.Transaction(
            conditions=(
                platform.Condition(HEAD_KEY, row.revision if row else 0),
                platform.Condition(key, 0),
            ),
            writes=(
                platform.Write(HEAD_KEY, msgspec.json.encode(head)),
                platform.Write(key, configuration.change_to_bytes(change)),
            ),
        )
        committed = await self._table.commit(transaction)
        if isinstance(committed, result.Success):
            return result.Success(change)
        return await self._explain(change, committed.failure())

    async def _explain(
        self, change: configuration.Change, error: platform.PlatformError
    ) -> result.Result[configuration.Change, Rejection]:
        if error.kind is platform.PlatformErrorKind.UNAVAILABLE:
            return result.Failure(Rejection(error.message))
        read = await self._table.read(log_key(change.version))
        if isinstance(read, result.Failure):
            text = f"outcome unknown: {read.failure().message}"
            return result.Failure(Rejection(text, accepted=None))
        row = read.unwrap()
        if row is None:
            text = f"version {change.version} was not accepted"
            return result.Failure(Rejection(text, conflict=True))
        found = configuration.change_from_bytes(row.value).value_or(None)
        if found is not None and found.change_id == change.change_id:
            return result.Success(change)
        text = f"version {change.version} went to another change"
        return result.Failure(Rejection(text, conflict=True))


def _version_of(row: platform.Row | None) -> int:
    if row is None:
        return 0
    return msgspec.json.decode(row.value, type=Head).version
