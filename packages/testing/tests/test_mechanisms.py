"""Each mechanism taken out makes the line that it carries fail.

The mechanisms are taken out by patches that live here alone; the
products have no such switch.
"""

import asyncio
from collections import abc
import contextlib
import typing
from unittest import mock

import attrs
import pytest
from returns import result

from balsamramp_core import configuration
from balsamramp_core import storage
from balsamramp_core import verdict
from balsamramp_node.configuration import distribution
from balsamramp_node.configuration import platform_log_reader
from balsamramp_node.inbound import concurrency_limits
from balsamramp_node.inbound import deduplication_cache
from balsamramp_node.inbound import inbound_handler
from balsamramp_node.inbound import stream_server
from balsamramp_node.inbound import targets
from balsamramp_node.outbound import call_proxy
from balsamramp_node.outbound import peer_stream
from balsamramp_node.outbound import stream_client
from balsamramp_node.rollouts import policies
from balsamramp_node.rollouts import zone_states
from balsamramp_node.rollouts.policies import by_time
from balsamramp_testing.prove import cases
from balsamramp_testing.scenario import runner

SEED = 1
DANGLING = """\
node a1 in zone-a
node b1 in zone-b
service caja
route caja-all to caja
at 1s delete service caja
"""
COLD = """\
node a1 in zone-a
node b1 in zone-b
target caja-1 of caja on a1 delay 200ms cold 4 for 3s
service caja
route caja-all to caja
at 1s kill target caja-1
at 2s load caja 80/s for 2s from zone-b
at 3s start target caja-1
"""

CROSSED = """\
node a1 in zone-a
node b1 in zone-b
target caja-1 of caja on b1 delay 100ms
target catalogo-1 of catalogo on b1
service caja
service catalogo
route caja-all to caja
route catalogo-all to catalogo
at 2s load caja 20/s for 2s from zone-a booking
load catalogo 40/s for 2s from zone-a
"""
SLOW = """\
node a1 in zone-a
node b1 in zone-b
node c1 in zone-c
target caja-1 of caja on b1 delay 300ms
target caja-2 of caja on c1 delay 300ms
service caja
route caja-all to caja
at 2s load caja 10/s for 3s from zone-a booking
at 3500ms {}
"""

LONE = "\n".join(line for line in SLOW.splitlines() if "caja-2" not in line)

TRANSACTION = storage.Transaction
Patch = tuple[typing.Any, str, typing.Any]


@attrs.frozen
class _Mechanism:
    name: str
    line: int
    scenario: str
    patches: tuple[Patch, ...]


def _case(name: str) -> str:
    return {case.name: case for case in cases.all_cases()}[name].text


def _apply_all(
    base: configuration.Configuration, change: configuration.Change
) -> result.Result[configuration.Configuration, configuration.Refusal]:
    return result.Success(
        configuration.merge(base, change.version, change.puts, change.deletes)
    )


def _apply_later(
    base: configuration.Configuration, change: configuration.Change
) -> result.Result[configuration.Configuration, configuration.Refusal]:
    if change.version > base.version:
        return _apply_all(base, change)
    kind = configuration.RefusalKind.OLD
    return result.Failure(configuration.Refusal(kind, "old"))


class _Oldest(dict[str, typing.Any]):
    """Gives the oldest waiting call, whatever identifier is asked for."""

    def get(self, key: str, default: typing.Any = None) -> typing.Any:
        for future in self.values():
            if not future.done():
                return future
        return default


def _match_by_order(
    made: abc.Callable[..., None],
) -> abc.Callable[..., None]:
    def make(self: typing.Any, *arguments: typing.Any) -> None:
        made(self, *arguments)
        self._pending_calls = _Oldest()

    return make


def _not_run(
    made: abc.Callable[..., typing.Any],
) -> abc.Callable[..., typing.Any]:
    def lost(*arguments: typing.Any) -> typing.Any:
        reply = made(*arguments)
        not_run = attrs.evolve(reply.failure, verdict=verdict.Verdict.NOT_RUN)
        return attrs.evolve(reply, failure=not_run)

    return lost


def _without_conditions(
    conditions: typing.Any, writes: typing.Any
) -> storage.Transaction:
    del conditions
    return TRANSACTION((), writes)


async def _abort(server: object, connection: typing.Any) -> None:
    connection.writer.transport.abort()


async def _at_once(*_: typing.Any) -> None:
    """Wait for nothing."""


async def _never(*_: typing.Any) -> None:
    await asyncio.Event().wait()


def _nothing(*_: typing.Any, **__: typing.Any) -> None:
    """Do nothing."""


MECHANISMS = (
    _Mechanism(
        "older versions are refused",
        1,
        _case("messages-lost-1"),
        ((configuration, "apply_change", _apply_all),),
    ),
    _Mechanism(
        "dependencies are checked",
        2,
        DANGLING,
        ((configuration, "problems", lambda *_: []),),
    ),
    _Mechanism(
        "a change is applied only to the state it builds on",
        3,
        _case("node-frozen-1"),
        ((configuration, "apply_change", _apply_later),),
    ),
    _Mechanism(
        "a version is taken by a conditional write",
        3,
        _case("updates-crossed-1"),
        ((storage, "Transaction", _without_conditions),),
    ),
    _Mechanism(
        "a version is judged by its calls",
        4,
        _case("version-fails-1"),
        ((policies, "find_policy", lambda name: by_time.ByTimePolicy),),
    ),
    _Mechanism(
        "a target's calls in flight are limited",
        5,
        COLD,
        tuple(
            (limit, "limit", property(lambda self: 1000))
            for limit in concurrency_limits.LIMITS.values()
        ),
    ),
    _Mechanism(
        "zones out are left out",
        6,
        _case("none-1"),
        ((zone_states.ZoneStates, "put", _nothing),),
    ),
    _Mechanism(
        "answers are matched by identifier",
        7,
        CROSSED,
        (
            (
                peer_stream.PeerStream,
                "__init__",
                _match_by_order(peer_stream.PeerStream.__init__),
            ),
        ),
    ),
    _Mechanism(
        "a lost answer may have run",
        8,
        LONE.format("kill node b1"),
        tuple(
            (stream_client, name, _not_run(getattr(stream_client, name)))
            for name in ("_connection_lost_failure", "_connect_failure")
        ),
    ),
    _Mechanism(
        "only calls that did not run are tried again",
        9,
        SLOW.format("kill node b1"),
        ((call_proxy._Call, "may_retry", lambda *_: True),),
    ),
    _Mechanism(
        "a door recognises a repeated message",
        9,
        SLOW.format("silence b1"),
        ((deduplication_cache.DeduplicationCache, "find", lambda *_: None),),
    ),
    _Mechanism(
        "a draining target is refused new work",
        10,
        _case("none-1"),
        ((targets.LocalTargets, "drain", lambda *_: True),),
    ),
    _Mechanism(
        "a shutdown waits for the calls that run",
        11,
        SLOW.format("stop node b1"),
        (
            (inbound_handler.InboundHandler, "wait_until_idle", _at_once),
            (stream_server.StreamServer, "_drain_and_close", _abort),
        ),
    ),
    _Mechanism(
        "changes are read and pushed",
        12,
        _case("none-1"),
        (
            (platform_log_reader.PlatformLogReader, "_run", _never),
            (distribution.Distribution, "_push_soon", _nothing),
            (distribution.Distribution, "observe_peer_state", _nothing),
        ),
    ),
)


@pytest.mark.parametrize(
    "mechanism", MECHANISMS, ids=lambda mechanism: mechanism.name
)
def test_line_fails_without_its_mechanism(mechanism: _Mechanism) -> None:
    whole = runner.run_in_memory(mechanism.scenario, SEED)
    assert mechanism.line not in whole.broken
    with contextlib.ExitStack() as taken_out:
        for patch in mechanism.patches:
            taken_out.enter_context(mock.patch.object(*patch))
        without = runner.run_in_memory(mechanism.scenario, SEED)
    assert mechanism.line in without.broken
