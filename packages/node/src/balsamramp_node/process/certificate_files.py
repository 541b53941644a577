"""Caller files: what a node proves itself with towards callers."""

import attrs

__all__ = ["CertificateFiles"]


@attrs.frozen
class CertificateFiles:
    """Private key and certificate towards callers, as PEM files."""

    key: str
    certificate: str
