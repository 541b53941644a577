"""TLS contexts and credentials of a node."""

import pathlib
import ssl

import grpc

from balsamramp_core import settings
from balsamramp_node.process import certificate_files
from balsamramp_wire import grpc_transport

__all__ = ["NodeTls"]


class NodeTls:
    """Creates the TLS contexts of a node; all are None when TLS is off.

    Nodes use mutual TLS: both sides present a certificate of the same CA,
    and the server certificate has to name the server's IP address.

    Options: ``[tls] node_key``, ``node_certificate`` and ``node_ca`` enable
    TLS between nodes, ``caller_key`` and ``caller_certificate`` enable it
    for callers, targets and operators. All are empty by default.
    """

    def __init__(self, checked: settings.Settings) -> None:
        self._key = checked.text("tls", "node_key")
        self._certificate = checked.text("tls", "node_certificate")
        self._ca = checked.text("tls", "node_ca")
        self._caller_key = checked.text("tls", "caller_key")
        self._caller_certificate = checked.text("tls", "caller_certificate")

    @property
    def is_mutual_tls(self) -> bool:
        """Return whether connections between nodes use TLS."""
        return bool(self._key)

    @property
    def caller_certificate_files(
        self,
    ) -> certificate_files.CertificateFiles | None:
        """Return the certificate files for callers, None without TLS."""
        if not self._caller_key:
            return None
        return certificate_files.CertificateFiles(
            self._caller_key, self._caller_certificate
        )

    def server_context(self) -> ssl.SSLContext | None:
        """Return the context for calls received from other nodes."""
        return self._context(ssl.Purpose.CLIENT_AUTH)

    def client_context(self) -> ssl.SSLContext | None:
        """Return the context for calls sent to other nodes."""
        return self._context(ssl.Purpose.SERVER_AUTH)

    def credentials(self) -> grpc_transport.Credentials | None:
        """Return the credentials for control requests."""
        if not self.is_mutual_tls:
            return None
        key = pathlib.Path(self._key).read_bytes()
        certificate = pathlib.Path(self._certificate).read_bytes()
        ca = pathlib.Path(self._ca).read_bytes()
        return grpc_transport.Credentials(
            grpc.ssl_server_credentials(
                [(key, certificate)], ca, require_client_auth=True
            ),
            grpc.ssl_channel_credentials(ca, key, certificate),
        )

    def _context(self, purpose: ssl.Purpose) -> ssl.SSLContext | None:
        if not self.is_mutual_tls:
            return None
        context = ssl.create_default_context(purpose, cafile=self._ca)
        context.load_cert_chain(self._certificate, self._key)
        context.verify_mode = ssl.CERT_REQUIRED
        return context
