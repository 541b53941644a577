"""Files of the TLS certificate that a node presents to callers."""

import attrs

__all__ = ["CertificateFiles"]


@attrs.frozen
class CertificateFiles:
    """Paths of a PEM private key and its PEM certificate."""

    key: str
    certificate: str
