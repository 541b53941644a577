"""Tokens: checks the bearer token of operators' and targets' calls."""

import hmac

import falcon
import falcon.asgi

__all__ = ["TokenAuthMiddleware"]

SCHEME = "bearer"


class TokenAuthMiddleware:
    """Refuses requests under ``prefixes`` that lack the token.

    An empty token admits every request. ``who`` is named in the refusal.
    """

    def __init__(self, who: str, token: str, prefixes: tuple[str, ...]):
        self._who = who
        self._token = token.encode()
        self._prefixes = prefixes

    async def process_request(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        """Raise HTTPUnauthorized unless the request carries the token."""
        if not self._token or not req.path.startswith(self._prefixes):
            return
        scheme, _, given = (req.auth or "").partition(" ")
        if scheme.lower() == SCHEME and hmac.compare_digest(
            given.strip().encode(), self._token
        ):
            return
        raise falcon.HTTPUnauthorized(
            title=f"{self._who} token is missing or wrong"
        )
