"""Base class of the resources that operators configure."""

import typing

import attrs

__all__ = ["Resource", "ResourceKey", "check_name"]

NAME_MAX_CHARACTERS = 128
NAME_CHARACTERS = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._:-"
)


@attrs.frozen(order=True, cache_hash=True)
class ResourceKey:
    """Kind and name of a resource, unique within a configuration."""

    kind: str
    name: str

    def __str__(self) -> str:
        return f"{self.kind}/{self.name}"


@attrs.frozen(kw_only=True)
class Resource:
    """One configured resource.

    A subclass declares ``kind``, its name in documents, and ``aliases``,
    other names that the command line accepts for the kind.
    """

    kind: typing.ClassVar[str]
    aliases: typing.ClassVar[tuple[str, ...]] = ()

    name: str

    @property
    def key(self) -> ResourceKey:
        """Return the kind and the name of this resource."""
        return ResourceKey(self.kind, self.name)

    def dependencies(self) -> tuple[ResourceKey, ...]:
        """Return the keys of resources that this one refers to."""
        return ()

    def validation_errors(self) -> list[str]:
        """Return one message for each invalid field."""
        return check_name("name", self.name)


def check_name(field: str, value: str) -> list[str]:
    """Return why ``value`` is not a valid name; empty if it is."""
    if not value:
        return [f"{field} is empty"]
    if len(value) > NAME_MAX_CHARACTERS:
        return [f"{field} is longer than {NAME_MAX_CHARACTERS} characters"]
    if not NAME_CHARACTERS.issuperset(value):
        return [f"{field} {value!r} has characters outside A-Z a-z 0-9 ._:-"]
    return []
