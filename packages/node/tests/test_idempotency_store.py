"""Idempotency keys run at most once while nodes and targets churn.

The owner of a key changes when nodes die, restart or are partitioned and when
targets join. A new owner has no record of the key, so it must not run the key
unless no other owner, live or lost, may have run it.
"""

import datetime
import itertools
import typing

import hypothesis
from hypothesis import strategies
import pytest

from balsamramp_core import metrics
from balsamramp_core import verdict
from balsamramp_node.inbound import idempotency_store
from balsamramp_node.inbound import key_owners
from balsamramp_testing import memory_target
from balsamramp_testing import simulation
from balsamramp_testing import virtual_time
from balsamramp_wire import messages

NODES = ("n0", "n1", "n2")
KEYS = ("k0", "k1", "k2", "k3")
EXTRA_SETTINGS = "[targets]\nlease = 60000"
SETTLE_TIME = datetime.timedelta(seconds=3)

CALL = strategies.tuples(
    strategies.just("call"),
    strategies.sampled_from(NODES),
    strategies.sampled_from(KEYS),
)
CHURN = strategies.tuples(
    strategies.sampled_from(
        ["kill", "start", "join", "partition", "reconnect"]
    ),
    strategies.sampled_from(NODES[1:]),
    strategies.just(""),
)
STEPS = strategies.lists(
    strategies.one_of(CALL, CALL, CHURN), min_size=5, max_size=25
)
SETTINGS = hypothesis.settings(
    max_examples=25,
    derandomize=True,
    deadline=None,
    database=None,
    phases=[hypothesis.Phase.generate],
)


class _Churn:
    """A simulation with calls that have keys, and with churn."""

    def __init__(self) -> None:
        self.environment = simulation.Simulation(seed=3)
        self.targets: dict[str, memory_target.MemoryTarget] = {}
        self.runs: dict[bytes, int] = {}
        self.not_run: list[str] = []
        self._numbers = itertools.count()

    async def start(self) -> None:
        """Start all nodes, each with a target."""
        for name in NODES:
            await self.start_node(name)
        await self.environment.apply(
            "n0",
            {"kind": "service", "name": "caja"},
            {"kind": "route", "name": "caja-all", "service": "caja"},
        )
        await self.environment.clock.sleep(SETTLE_TIME)

    async def start_node(self, name: str) -> None:
        """Start a node, with its first target."""
        if name in self.environment.nodes:
            return
        await self.environment.start_node(name, "zone-a", EXTRA_SETTINGS)
        self._announce(name, f"caja-{name}")

    async def step(self, action: str, name: str, key: str) -> None:
        """Perform one step."""
        environment = self.environment
        if action == "call" and name in environment.nodes:
            await self._call(name, key)
        if action == "kill" and name in environment.nodes:
            await environment.kill_node(name)
        if action == "start":
            await self.start_node(name)
            await environment.clock.sleep(SETTLE_TIME)
        if action == "join" and name in environment.nodes:
            self._announce(name, f"caja-{name}-{next(self._numbers)}")
        if action == "partition":
            environment.network.partition("n0", name)
        if action == "reconnect":
            environment.network.heal("n0", name)

    async def _call(self, name: str, key: str) -> None:
        reply = await self.environment.call(
            name, "caja", "POST", body=key.encode(), key=key
        )
        if isinstance(reply, messages.CallAnswer):
            return
        if reply.failure.verdict is verdict.Verdict.NOT_RUN:
            self.not_run.append(key)

    def _announce(self, node: str, target: str) -> None:
        target_server = self.environment.announce(node, target, "caja")
        target_server.runs = self.runs


async def _run_steps(steps: list[tuple[str, str, str]]) -> _Churn:
    churn = _Churn()
    await churn.start()
    for action, name, key in steps:
        await churn.step(action, name, key)
        await churn.environment.clock.sleep(
            datetime.timedelta(milliseconds=50)
        )
    await churn.environment.stop()
    return churn


def _check(steps: list[tuple[str, str, str]]) -> None:
    churn = virtual_time.run(_run_steps(steps))
    for key, runs in churn.runs.items():
        assert runs <= 1, f"{key!r} ran {runs} times"
    assert churn.not_run == []


KNOWN_STEPS = [
    [("call", "n0", key) for key in KEYS]
    + [("kill", "n1", ""), ("kill", "n2", "")]
    + [("call", "n0", key) for key in KEYS]
    + [("start", "n1", ""), ("start", "n2", "")]
    + [("call", "n1", key) for key in KEYS],
    [("call", "n0", key) for key in KEYS]
    + [("join", "n1", ""), ("join", "n2", ""), ("join", "n2", "")] * 3
    + [("start", "n1", "")]
    + [("call", "n0", key) for key in KEYS],
]


@pytest.mark.parametrize("steps", KNOWN_STEPS)
def test_keys_run_once_in_known_cases(
    steps: list[tuple[str, str, str]],
) -> None:
    _check(steps)


@SETTINGS
@hypothesis.given(STEPS)
def test_keys_run_once_while_nodes_churn(
    steps: list[tuple[str, str, str]],
) -> None:
    _check(steps)


def test_repeated_key_gets_the_recorded_response() -> None:
    steps = [("call", name, "k0") for name in NODES * 2]
    churn = virtual_time.run(_run_steps(steps))
    assert churn.runs == {b"k0": 1}


def test_key_runs_twice_without_claims(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def claim(*arguments: object) -> bool:
        return True

    monkeypatch.setattr(idempotency_store.IdempotencyStore, "_claim", claim)
    with pytest.raises(AssertionError):
        _check(KNOWN_STEPS[1])


def test_key_runs_twice_without_memory_of_lost_owners(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        key_owners.KeyOwners,
        "may_have_run_elsewhere",
        lambda *arguments: False,
    )
    with pytest.raises(AssertionError):
        _check(KNOWN_STEPS[0])


class _Members:
    """Counts how often the members are listed."""

    def __init__(self) -> None:
        self.listed = 0

    def members(self) -> list[messages.Member]:
        self.listed += 1
        return []


class _Peers:
    def handle(self, *handler: object) -> None:
        """Ignore the handler."""


@pytest.mark.parametrize("receives_keys", [True, False])
def test_owners_are_followed_only_where_calls_have_keys(
    receives_keys: bool,
) -> None:
    """Guards against work for each target of the fleet that nobody needs."""

    async def main() -> None:
        members = _Members()
        clock = virtual_time.VirtualClock()
        key_store = idempotency_store.IdempotencyStore(
            "n",
            typing.cast(typing.Any, members),
            typing.cast(typing.Any, _Peers()),
            clock,
            metrics.Metrics(),
            SETTLE_TIME,
            receives_keys,
        )
        await key_store.start()
        await clock.sleep(SETTLE_TIME)
        await key_store.stop()
        assert bool(members.listed) is receives_keys

    virtual_time.run(main())
