"""Resource: base class of everything that operators configure."""

import typing

import attrs

__all__ = ["Resource", "ResourceKey", "check_name"]

NAME_MAX_CHARACTERS = 128
NAME_CHARACTERS = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._:-"
)


@attrs.frozen(order=True, cache_hash=True)
class ResourceKey:
    """Identity of a resource within a configuration."""

    kind: str
    name: str

    def __str__(self) -> str:
        return f"{self.kind}/{self.name}"


@attrs.frozen(kw_only=True)
class Resource:
    """One configured item.

    A subclass declares ``kind``, the name used in documents, and
    ``aliases``, other names that the command line accepts for it.
    """

    kind: typing.ClassVar[str]
    aliases: typing.ClassVar[tuple[str, ...]] = ()

    name: str

    @property
    def key(self) -> ResourceKey:
        """Return the identity of this resource."""
        return ResourceKey(self.kind, self.name)

    def dependencies(self) -> tuple[ResourceKey, ...]:
        """Return the resources without which this one is unusable."""
        return ()

    def validation_errors(self) -> list[str]:
        """Return what is wrong with the fields, one message each."""
        return check_name("name", self.name)


def check_name(field: str, value: str) -> list[str]:
    """Return the problems of ``value`` as a name; empty when valid."""
    if not value:
        return [f"{field} is empty"]
    if len(value) > NAME_MAX_CHARACTERS:
        return [f"{field} is longer than {NAME_MAX_CHARACTERS} characters"]
    if not NAME_CHARACTERS.issuperset(value):
        return [f"{field} {value!r} has characters outside A-Z a-z 0-9 ._:-"]
    return []
