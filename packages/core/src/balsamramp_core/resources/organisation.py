"""Resource for an organisation and the keys of its callers."""

import hashlib

import attrs

from balsamramp_core import resource

__all__ = ["PRIORITY_MAX", "Organisation", "digest_key"]

# Keeps the rank of a call, which holds the entry's priority too, in 32 bits.
PRIORITY_MAX = 1_000_000

DIGEST_CHARACTERS = hashlib.sha256().digest_size * 2
HEX_CHARACTERS = frozenset("0123456789abcdef")


@attrs.frozen(kw_only=True)
class Organisation(resource.Resource):
    """An organisation whose callers show one of its keys.

    ``key_digests`` are the results of ``digest_key``; the keys themselves
    are not kept. With none, all calls of the organisation are refused.
    ``priority``, where 0 is served first, precedes that of the entry; with
    None the entry's is used.
    """

    kind = "organisation"
    aliases = ("organisations", "org")

    key_digests: tuple[str, ...] = ()
    priority: int | None = None

    def validation_errors(self) -> list[str]:
        errors = super().validation_errors()
        for digest in self.key_digests:
            hexadecimal = HEX_CHARACTERS.issuperset(digest)
            if len(digest) != DIGEST_CHARACTERS or not hexadecimal:
                # It may be a key that was entered by mistake.
                errors.append(
                    "key_digests has a value that is not shown; each must be"
                    f" a digest of {DIGEST_CHARACTERS} hexadecimal digits"
                )
        if self.priority is not None and not (
            0 <= self.priority <= PRIORITY_MAX
        ):
            errors.append(
                f"priority is {self.priority}; must be 0 to {PRIORITY_MAX}"
            )
        return errors


def digest_key(key: bytes) -> str:
    """Return the digest by which ``key`` is looked up.

    Keys are random, so a hash without salt or stretching does not reveal
    them, and its result can be used as an index.
    """
    return hashlib.sha256(key).hexdigest()
