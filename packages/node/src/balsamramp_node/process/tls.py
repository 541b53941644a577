"""TLS: what a node proves itself with, read from its settings."""

import pathlib
import ssl

import grpc

from balsamramp_core import settings
from balsamramp_node.process import caller_files
from balsamramp_wire import control

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
    def between_nodes(self) -> bool:
        """Tell whether nodes talk TLS among each other."""
        return bool(self._key)

    @property
    def caller_files(self) -> caller_files.CallerFiles | None:
        """Return the files towards callers, None when TLS is off."""
        if not self._caller_key:
            return None
        return caller_files.CallerFiles(
            self._caller_key, self._caller_certificate
        )

    def server_context(self) -> ssl.SSLContext | None:
        """Return the context for calls that come from other nodes."""
        return self._context(ssl.Purpose.CLIENT_AUTH)

    def client_context(self) -> ssl.SSLContext | None:
        """Return the context for calls that go to other nodes."""
        return self._context(ssl.Purpose.SERVER_AUTH)

    def credentials(self) -> control.Credentials | None:
        """Return the credentials for control requests."""
        if not self.between_nodes:
            return None
        key = pathlib.Path(self._key).read_bytes()
        certificate = pathlib.Path(self._certificate).read_bytes()
        authority = pathlib.Path(self._authority).read_bytes()
        return control.Credentials(
            grpc.ssl_server_credentials(
                [(key, certificate)], authority, require_client_auth=True
            ),
            grpc.ssl_channel_credentials(authority, key, certificate),
        )

    def _context(self, purpose: ssl.Purpose) -> ssl.SSLContext | None:
        if not self.between_nodes:
            return None
        context = ssl.create_default_context(purpose, cafile=self._authority)
        context.load_cert_chain(self._certificate, self._key)
        context.verify_mode = ssl.CERT_REQUIRED
        return context
