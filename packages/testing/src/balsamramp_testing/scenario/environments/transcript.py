"""Session: the memory stage with a transcript of all that is said.

Callers send bytes of HTTP to the ports of nodes, operators' commands go
through the client's command line. Control messages are written in text
form, without the periodic exchanges of members.
"""

import contextlib
import datetime
import io
import json
import logging
import re
import shlex
import typing
from unittest import mock

from absl import logging as absl_logging
import aiohttp
import falcon.asgi
import msgspec

from balsamramp_client import cmdline
from balsamramp_node.inbound import target_api
from balsamramp_node.outbound import ingress
from balsamramp_node.process import operator_api
from balsamramp_testing import memory_http
from balsamramp_testing import memory_streams
from balsamramp_testing.scenario import record
from balsamramp_testing.scenario.environments import memory
from balsamramp_testing.scenario.environments import target as target_module
from balsamramp_wire import frames
from balsamramp_wire import messages

__all__ = ["TranscriptEnvironment"]

CALL_PORT = 1
ADMIN_PORT = 3
STREAM_PORT = 2
PERIODIC = (
    "Buckets",
    "Exchange",
    "Hello",
    "Members",
    "Ping",
    "Pong",
    "States",
)
ID_PATTERN = re.compile(r"\b[0-9a-f]{32}\b")
DEFAULTS = ingress.IngressDefaults(
    timeout=datetime.timedelta(seconds=2), retries=2, body_max_bytes=65536
)


class _Log(logging.Handler):
    def __init__(self, stage: "TranscriptEnvironment") -> None:
        super().__init__(logging.INFO)
        self._stage = stage

    def emit(self, entry: logging.LogRecord) -> None:
        self._stage.write("log", entry.getMessage())


class TranscriptEnvironment(memory.MemoryEnvironment):
    """Runs a scenario and writes down what was said."""

    name = "session"
    doc = "whole nodes on fakes with a transcript"

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self._lines: list[str] = []
        self._ids: dict[str, str] = {}
        self._log = _Log(self)
        self._began_log = absl_logging.get_verbosity()
        absl_logging.set_verbosity(absl_logging.INFO)
        absl_logging.get_absl_logger().addHandler(self._log)
        self.world.streams.on_message = self._hear_frame
        self.world.network.on_message = self._hear_control

    @property
    def transcript(self) -> str:
        """Return all lines, with identifiers replaced by their order."""
        return "\n".join(self._lines) + "\n"

    def write(self, who: str, text: str) -> None:
        """Add ``text`` to the transcript, line by line."""
        seconds = f"{self.now.total_seconds():8.4f}"
        for line in text.rstrip().splitlines():
            plain = ID_PATTERN.sub(self._name_id, line)
            self._lines.append(f"{seconds} {who} | {plain}".rstrip())

    async def close(self) -> None:
        absl_logging.get_absl_logger().removeHandler(self._log)
        absl_logging.set_verbosity(self._began_log)
        await super().close()

    async def start_node(self, node: str, zone: str) -> None:
        await super().start_node(node, zone)
        found = self.world.nodes[node]
        callers = ingress.make_application(found.core.call_proxy, DEFAULTS)
        admin = falcon.asgi.App()
        target_api.add_routes(admin, found.core.targets)
        operator_api.add_routes(admin, found.core.operator_service)
        for application, port in ((callers, CALL_PORT), (admin, ADMIN_PORT)):
            await found.scope.run(memory_http.serve(application, node, port))

    async def start_target(self, target: record.TargetSpec) -> None:
        await super().start_target(target)
        self.targets[target.name].on_message = self._hear_target

    async def command(self, text: str, through: str) -> None:
        self.write(f"operator {through}", f"$ balsamramp {text}")
        arguments = ["--node", f"http://{through}:{ADMIN_PORT}"]
        arguments += ["--author", "operator", *shlex.split(text)]
        out = io.StringIO()
        with (
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(out),
            mock.patch.object(
                aiohttp, "ClientSession", memory_http.MemorySession
            ),
        ):
            try:
                code = await cmdline.execute(arguments, self.clock)
            except SystemExit as error:
                code = int(error.code or 0)
        self.write(f"operator {through}", out.getvalue())
        self.write(f"operator {through}", f"exit {code}")

    async def call(
        self, service: str, node: str, kind: str, path: str
    ) -> None:
        self._sent += 1
        body = f"{service} {kind} {self._sent:06d}".encode()
        call = record.CallRecord(
            body=body, service=service, kind=kind, path=path
        )
        self.history.calls.append(call)
        attempt = record.Attempt(number=1, node=node, began=self.now)
        call.attempts.append(attempt)
        method = "GET" if kind == record.IDEMPOTENT else "POST"
        headers = [("balsamramp-service", service)]
        if kind == record.KEYED:
            headers.append(("idempotency-key", body.decode()))
        done = await memory_http.exchange(
            node, CALL_PORT, method, path, headers, body
        )
        attempt.ended = self.now
        attempt.status = done.status
        attempt.answer = done.body
        fields = _headers(done.answer)
        attempt.verdict = fields.get("balsamramp-verdict")
        attempt.reason = fields.get("balsamramp-reason", "")

    def _name_id(self, found: re.Match[str]) -> str:
        known = f"id-{len(self._ids) + 1}"
        return self._ids.setdefault(found.group(0), known)

    def _hear_frame(self, sender: str, receiver: str, data: bytes) -> None:
        if memory_streams.CALLER not in (sender, receiver):
            self._hear_stream(sender, receiver, data)
            return
        self.write(f"{sender} -> {receiver}", data.decode("latin-1"))

    def _hear_stream(self, sender: str, receiver: str, data: bytes) -> None:
        while data:
            length, number = frames.HEADER.unpack(data[: frames.HEADER.size])
            end = frames.HEADER.size + length
            message = frames.decode(number, data[frames.HEADER.size : end])
            self._hear_control(sender, receiver, message)
            data = data[end:]

    def _hear_control(
        self, sender: str, receiver: str, message: typing.Any
    ) -> None:
        name = type(message).__name__
        if name.startswith(PERIODIC):
            return
        fields = msgspec.to_builtins(message, builtin_types=(bytes,))
        text = json.dumps(_plain(fields), sort_keys=True)
        self.write(f"{sender} -> {receiver}", f"{name} {text}")

    def _hear_target(
        self, target: str, request: messages.CallRequest, answer: typing.Any
    ) -> None:
        skipped = target_module.ATTEMPT_HEADER
        head = [f"{request.method} {request.path}"]
        head += [
            f"{name}: {value}"
            for name, value in request.headers
            if name != skipped
        ]
        text = "\n".join([*head, request.body.decode()])
        self.write(f"target {target} <-", text)
        self.write(
            f"target {target} ->", f"{answer.status} {answer.body.decode()}"
        )


def _headers(answer: bytes) -> dict[str, str]:
    head = answer.partition(memory_http.HEADER_END)[0].decode("latin-1")
    fields = {}
    for line in head.split("\r\n")[1:]:
        name, _, value = line.partition(": ")
        fields[name.lower()] = value
    return fields


def _plain(value: typing.Any) -> typing.Any:
    """Return ``value`` with the bytes in it as text, or as their JSON."""
    if isinstance(value, dict):
        return {key: _plain(item) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [_plain(item) for item in value]
    if not isinstance(value, bytes):
        return value
    try:
        return json.loads(value)
    except ValueError:
        return value.decode("utf-8", errors="backslashreplace")
