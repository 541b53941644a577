"""Exit codes of the client, by kind of error."""

from balsamramp_client import api

__all__ = ["CODES", "OK", "USAGE"]

OK = 0
USAGE = 2

CODES: dict[api.ErrorKind, int] = {
    api.ErrorKind.REFUSED: 1,
    api.ErrorKind.USAGE: USAGE,
    api.ErrorKind.CONFLICT: 3,
    api.ErrorKind.UNKNOWN: 4,
}
