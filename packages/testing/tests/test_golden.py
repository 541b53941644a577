"""Golden sessions: what was said equals the files, byte by byte.

A file has the scenario under ``---input---`` and the transcript under
``---session---``; ``pytest --rewrite-golden`` writes the transcripts anew.
"""

import pathlib

import pytest

from balsamramp_testing.scenario import runner

GOLDEN = pathlib.Path(__file__).parent.parent / "golden"
FILES = sorted(GOLDEN.glob("*.session"))
INPUT = "---input---\n"
SESSION = "---session---\n"
SEED = 1


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_session_is_as_recorded(
    path: pathlib.Path, request: pytest.FixtureRequest
) -> None:
    text = path.read_text(encoding="utf-8")
    given, _, recorded = text.removeprefix(INPUT).partition(SESSION)
    said = runner.record_transcript(given, SEED, path.name)
    if request.config.getoption("--rewrite-golden"):
        path.write_text(INPUT + given + SESSION + said, encoding="utf-8")
        return
    assert said == recorded


def test_there_are_sessions() -> None:
    assert len(FILES) >= 4
