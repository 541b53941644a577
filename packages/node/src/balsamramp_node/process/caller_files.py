"""Caller files: what a node proves itself with towards callers."""

import attrs

__all__ = ["CallerFiles"]


@attrs.frozen
class CallerFiles:
    """Private key and certificate towards callers, as PEM files."""

    key: str
    certificate: str
