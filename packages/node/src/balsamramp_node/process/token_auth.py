"""Checks the bearer tokens of operators and targets."""

import hmac

import falcon
import falcon.asgi

__all__ = ["TokenAuthMiddleware"]

SCHEME = "bearer"


class TokenAuthMiddleware:
    """Rejects requests under ``prefixes`` without the token.

    An empty token allows every request. The error message names ``role``.
    """

    def __init__(self, role: str, token: str, prefixes: tuple[str, ...]):
        self._role = role
        self._token = token.encode()
        self._prefixes = prefixes

    async def process_request(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        """Raise HTTPUnauthorized unless the request carries the token."""
        if not self._token or not req.path.startswith(self._prefixes):
            return
        scheme, _, credentials = (req.auth or "").partition(" ")
        if scheme.lower() == SCHEME and hmac.compare_digest(
            credentials.strip().encode(), self._token
        ):
            return
        raise falcon.HTTPUnauthorized(
            title=f"{self._role} token is missing or wrong"
        )
