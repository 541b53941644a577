"""Scenario files on fakes in virtual time, and one on processes."""

import asyncio
import functools
import pathlib

import pytest

from balsamramp_testing.scenario import language
from balsamramp_testing.scenario import runner
from balsamramp_testing.scenario import statement

SCENARIOS = pathlib.Path(__file__).parent.parent / "scenarios"
SEEDS = (1, 2, 3)
FILES = (
    "cold_start",
    "consortium_day",
    "herd_returns",
    "node_killed",
    "society_day",
)
UNSUPPORTED = "node a1 in zone-a\n\nsilence a1\n"


def _read(name: str) -> str:
    return (SCENARIOS / f"{name}.scenario").read_text(encoding="utf-8")


@functools.cache
def _outcome(name: str, seed: int) -> tuple[list[str], dict[int, list[str]]]:
    outcome = runner.run_in_memory(_read(name), seed, name)
    return outcome.record.failures, outcome.broken


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("name", FILES)
def test_lines_hold(name: str, seed: int) -> None:
    _, broken = _outcome(name, seed)
    assert broken == {}


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("name", FILES)
def test_expectations_hold(name: str, seed: int) -> None:
    failures, _ = _outcome(name, seed)
    assert failures == []


def test_scenario_is_the_same_on_every_run() -> None:
    text = _read("node_killed")
    first, second = (runner.run_in_memory(text, 7).record for _ in range(2))
    assert first == second


def test_scenario_holds_on_processes(tmp_path: pathlib.Path) -> None:
    outcome = asyncio.run(
        runner.run_on_processes(_read("node_killed"), 1, tmp_path)
    )
    assert outcome.failures == []
    assert len(outcome.record.runs) >= len(outcome.record.calls) * 0.9


def test_processes_refuse_what_they_cannot_do(tmp_path: pathlib.Path) -> None:
    with pytest.raises(
        statement.ScenarioError,
        match="processes:3:1: processes cannot silence connections",
    ):
        asyncio.run(runner.run_on_processes(UNSUPPORTED, 1, tmp_path))


def test_every_scenario_file_can_be_read() -> None:
    for path in sorted(SCENARIOS.glob("*.scenario")):
        assert language.parse(path.read_text(encoding="utf-8"), path.name)
