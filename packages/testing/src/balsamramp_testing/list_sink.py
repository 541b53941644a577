"""Decision log for tests, which keeps its lines in a list."""

import typing

import msgspec

from balsamramp_node.process import decision_log

__all__ = ["ListSink"]


class ListSink(decision_log.LineSink):
    """Keeps the lines as decoded objects."""

    def __init__(self) -> None:
        self.lines: list[dict[str, typing.Any]] = []

    def write(self, line: bytes) -> bool:
        self.lines.append(msgspec.json.decode(line))
        return True
