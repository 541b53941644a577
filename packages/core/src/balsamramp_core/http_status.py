"""Which numbers are HTTP status codes (RFC 9110, section 15)."""

__all__ = ["is_final", "is_interim"]

INTERIM_STATUSES = range(100, 200)
FINAL_STATUSES = range(200, 600)


def is_interim(status: int) -> bool:
    """Return whether a response with ``status`` precedes the final one."""
    return status in INTERIM_STATUSES


def is_final(status: int) -> bool:
    """Return whether ``status`` may end a request."""
    return status in FINAL_STATUSES
