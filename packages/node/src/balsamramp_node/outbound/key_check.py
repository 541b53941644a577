"""Checks the keys of callers and names their organisations."""

from collections import abc

import attrs
from returns import result

from balsamramp_core import configuration
from balsamramp_core import resource
from balsamramp_core import verdict
from balsamramp_core.resources import entry
from balsamramp_core.resources import organisation
from balsamramp_node.configuration import store
from balsamramp_wire import messages

__all__ = ["Admission", "KeyCheck"]

KEY_HEADER = "authorization"
SCHEME = "bearer"
# Priorities of entries are compared among calls of equal organisations.
ENTRY_PRIORITIES = 1000


@attrs.frozen(kw_only=True)
class Admission:
    """How an admitted request is sent on.

    ``headers`` name the organisation, and hold no key. ``priority`` ranks
    the request among those that wait for a slot.
    """

    headers: messages.Headers
    priority: int


class KeyCheck:
    """Looks up the keys of the configuration in force.

    A key is never compared with another one: the key that the caller shows
    is hashed, and its digest is looked up. The time of the lookup depends on
    the digest, which says nothing about how much of a key is right.

    If a key belongs to several organisations, the first by name has it.
    """

    def __init__(
        self, configurations: store.ConfigurationStore, header_name: str
    ) -> None:
        self._header_name = header_name
        self._organisations: tuple[organisation.Organisation, ...] = ()
        self._holders: dict[str, organisation.Organisation] = {}
        self._keys_in_use = False
        configurations.listen_changes(self._apply_changes)

    def admit(
        self, matched: entry.Entry, headers: messages.Headers
    ) -> result.Result[Admission, verdict.Failure]:
        """Return how to send a request of ``matched`` on, or its refusal.

        A key may also come with a request that needs none. Then it names
        the organisation if it is known, and is dropped in any case. Headers
        are unchanged while there is no organisation and no entry needs a key.
        """
        if not self._keys_in_use and not matched.needs_key:
            return result.Success(
                Admission(headers=headers, priority=matched.priority)
            )
        shown = [value for name, value in headers if name == KEY_HEADER]
        found = self._find_holder(shown)
        if isinstance(found, result.Failure) and matched.needs_key:
            return found
        holder = found.value_or(None)
        kept = [item for item in headers if item[0] != KEY_HEADER]
        if holder is not None and self._header_name:
            kept.append((self._header_name, holder.name))
        return result.Success(
            Admission(headers=tuple(kept), priority=_combine(matched, holder))
        )

    def _find_holder(
        self, shown: list[str]
    ) -> result.Result[organisation.Organisation, verdict.Failure]:
        """Return whose key the values of the header show."""
        if not shown:
            return _refusal(
                verdict.Reason.UNKNOWN_KEY,
                "the request has no Authorization, expected Bearer and a key",
            )
        if len(shown) > 1:
            return _refusal(
                verdict.Reason.BAD_REQUEST,
                f"the request has {len(shown)} fields Authorization,"
                " expected one",
            )
        scheme, _, key = shown[0].partition(" ")
        key = key.strip(" \t")
        if scheme.lower() != SCHEME or not key:
            return _refusal(
                verdict.Reason.UNKNOWN_KEY,
                "Authorization is of another form, expected Bearer and a key",
            )
        digest = organisation.digest_key(key.encode("latin-1"))
        holder = self._holders.get(digest)
        if holder is None:
            return _refusal(
                verdict.Reason.UNKNOWN_KEY,
                "the key in Authorization is not known,"
                " expected one of an organisation",
            )
        return result.Success(holder)

    def _apply_changes(
        self,
        current: configuration.Configuration,
        changed: abc.Iterable[resource.ResourceKey],
    ) -> None:
        kinds = {key.kind for key in changed}
        if organisation.Organisation.kind in kinds:
            self._organisations = tuple(
                item
                for item in current.of_kind(organisation.Organisation.kind)
                if isinstance(item, organisation.Organisation)
            )
            self._holders = {
                digest: item
                for item in reversed(self._organisations)
                for digest in item.key_digests
            }
        if not kinds.isdisjoint(
            (organisation.Organisation.kind, entry.Entry.kind)
        ):
            self._keys_in_use = bool(self._organisations) or any(
                item.needs_key
                for item in current.of_kind(entry.Entry.kind)
                if isinstance(item, entry.Entry)
            )


def _combine(
    matched: entry.Entry, holder: organisation.Organisation | None
) -> int:
    """Return a priority that ranks by organisation first, then by entry.

    A request without an organisation's priority has that of its entry in
    place of it.
    """
    first = matched.priority
    if holder is not None and holder.priority is not None:
        first = holder.priority
    second = min(matched.priority, ENTRY_PRIORITIES - 1)
    return first * ENTRY_PRIORITIES + second


def _refusal(
    reason: verdict.Reason, text: str
) -> result.Result[organisation.Organisation, verdict.Failure]:
    return result.Failure(
        verdict.Failure(verdict.Verdict.NOT_RUN, reason, text)
    )
