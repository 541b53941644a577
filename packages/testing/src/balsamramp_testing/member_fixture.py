"""Membership records for tests."""

import typing

from balsamramp_core import settings
from balsamramp_wire import messages

__all__ = ["make_member"]


def make_member(
    node: str, zone: str = "z", **fields: typing.Any
) -> messages.Member:
    """Return the record of a live node that listens at its name."""
    address = settings.Address(node, 1)
    values: dict[str, typing.Any] = {
        "node": node,
        "zone": zone,
        "region": "r",
        "stream": address,
        "control": address,
        "admin": address,
        "incarnation": 1,
        "sequence": 1,
        "state": messages.MemberState.ALIVE,
        **fields,
    }
    return messages.Member(**values)
