"""TLS: what a node proves itself with, read from its settings."""

import pathlib
import ssl

import grpc

from balsamramp_core import settings
from balsamramp_node.process import certificate_files
from balsamramp_wire import grpc_transport

__all__ = ["NodeTls"]


class NodeTls:
    """The TLS contexts of a node; none of them when TLS is off.

    Between nodes both ends show a certificate of the same authority, and
    that of the listening end must name its IP address.

    Options: ``[tls] node_key``, ``node_certificate`` and ``node_ca`` turn
    TLS on between nodes, ``caller_key`` and ``caller_certificate`` towards
    callers, targets and operators. All are empty by default.
    """

    def __init__(self, checked: settings.Settings) -> None:
        self._key = checked.text("tls", "node_key")
        self._certificate = checked.text("tls", "node_certificate")
        self._authority = checked.text("tls", "node_ca")
        self._caller_key = checked.text("tls", "caller_key")
        self._caller_certificate = checked.text("tls", "caller_certificate")

    @property
    def is_mutual_tls(self) -> bool:
        """Tell whether nodes talk TLS among each other."""
        return bool(self._key)

    @property
    def caller_certificate_files(
        self,
    ) -> certificate_files.CertificateFiles | None:
        """Return the files towards callers, None when TLS is off."""
        if not self._caller_key:
            return None
        return certificate_files.CertificateFiles(
            self._caller_key, self._caller_certificate
        )

    def server_context(self) -> ssl.SSLContext | None:
        """Return the context for calls that come from other nodes."""
        return self._context(ssl.Purpose.CLIENT_AUTH)

    def client_context(self) -> ssl.SSLContext | None:
        """Return the context for calls that go to other nodes."""
        return self._context(ssl.Purpose.SERVER_AUTH)

    def credentials(self) -> grpc_transport.Credentials | None:
        """Return the credentials for control requests."""
        if not self.is_mutual_tls:
            return None
        key = pathlib.Path(self._key).read_bytes()
        certificate = pathlib.Path(self._certificate).read_bytes()
        authority = pathlib.Path(self._authority).read_bytes()
        return grpc_transport.Credentials(
            grpc.ssl_server_credentials(
                [(key, certificate)], authority, require_client_auth=True
            ),
            grpc.ssl_channel_credentials(authority, key, certificate),
        )

    def _context(self, purpose: ssl.Purpose) -> ssl.SSLContext | None:
        if not self.is_mutual_tls:
            return None
        context = ssl.create_default_context(purpose, cafile=self._authority)
        context.load_cert_chain(self._certificate, self._key)
        context.verify_mode = ssl.CERT_REQUIRED
        return context
