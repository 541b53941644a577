"""The build: what it leaves is what a node can start with."""

from collections import abc
import json
import os
import pathlib
import platform
import shutil
import signal
import subprocess
import sys
import time

import pytest

ROOT = pathlib.Path(__file__).resolve().parents[2]
SOURCES = (
    "deploy",
    "platform",
    "packages/core/src",
    "packages/wire/src",
    "packages/node/src",
)
BUILD_TIMEOUT_SECONDS = 120.0
REPEAT_SECONDS = 2.0
STARTED_SECONDS = 20.0
# What a node imports, as the deploy file starts it.
IMPORTS = (
    "import sys; sys.path[0] = 'platform'; import store_platform_adapter;"
    " from balsamramp_node.process import sidecar_cmdline"
)
STAMP = "target/deps/balsamramp-build.json"
Environment = dict[str, str]


def _environment(**changes: str) -> Environment:
    """Return the tests' own, in which python3 is the Python of the tests."""
    folder = pathlib.Path(sys.executable).parent
    path = os.pathsep.join([str(folder), os.environ["PATH"]])
    return {**os.environ, "PATH": path, **changes}


def _start_build(
    clone: pathlib.Path,
    environment: Environment | None = None,
    **options: object,
) -> subprocess.Popen[str]:
    return subprocess.Popen(
        ["bash", "deploy/build.sh"],
        cwd=clone,
        env=environment or _environment(),
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        start_new_session=True,
        **options,  # type: ignore[call-overload]
    )


def _build(
    clone: pathlib.Path,
    environment: Environment | None = None,
    **options: object,
) -> tuple[int, str]:
    process = _start_build(clone, environment, **options)
    output, _ = process.communicate(timeout=BUILD_TIMEOUT_SECONDS)
    return process.returncode, output


def _assert_built(result: tuple[int, str]) -> None:
    code, output = result
    assert code == 0, output


def _import_error(clone: pathlib.Path) -> str:
    """Return what a node would end with, or an empty string."""
    done = subprocess.run(
        ["python3", "-S", "-c", IMPORTS],
        cwd=clone,
        env=_environment(PYTHONPATH="target/deps"),
        capture_output=True,
        text=True,
    )
    return done.stderr


def _copy_sources(clone: pathlib.Path) -> pathlib.Path:
    for name in SOURCES:
        shutil.copytree(
            ROOT / name,
            clone / name,
            ignore=shutil.ignore_patterns("__pycache__", "*.egg-info"),
        )
    return clone


@pytest.fixture(scope="module")
def first_build(
    tmp_path_factory: pytest.TempPathFactory,
) -> pathlib.Path:
    clone = _copy_sources(tmp_path_factory.mktemp("clone"))
    _assert_built(_build(clone))
    return clone


@pytest.fixture
def built(first_build: pathlib.Path, tmp_path: pathlib.Path) -> pathlib.Path:
    return shutil.copytree(first_build, tmp_path / "clone", symlinks=True)


@pytest.fixture
def fresh(tmp_path: pathlib.Path) -> pathlib.Path:
    return _copy_sources(tmp_path / "clone")


def _rename_libraries(clone: pathlib.Path) -> None:
    """As pip leaves them on another kind of machine."""
    for path in clone.glob("target/deps/**/*.so"):
        name, _, _ = path.name.partition(".")
        path.rename(path.with_name(f"{name}.cpython-39-mips-linux-gnu.so"))


def _remove_library(clone: pathlib.Path) -> None:
    shutil.rmtree(clone / "target/deps/orjson")


def _claim_other_python(clone: pathlib.Path) -> None:
    stamp = clone / STAMP
    stamp.write_text(
        stamp.read_text().replace(
            str(sys.implementation.cache_tag), "cpython-39"
        )
    )


@pytest.mark.parametrize(
    "change", [_rename_libraries, _remove_library, _claim_other_python]
)
def test_libraries_that_do_not_fit_are_replaced(
    built: pathlib.Path, change: abc.Callable[[pathlib.Path], None]
) -> None:
    change(built)
    _assert_built(_build(built))
    assert _import_error(built) == ""
    stamp = json.loads((built / STAMP).read_text())
    assert stamp["python"] == sys.implementation.cache_tag
    assert stamp["machine"] == platform.machine()


def test_build_that_was_killed_is_made_good_by_the_next(
    fresh: pathlib.Path,
) -> None:
    process = _start_build(fresh)
    due = time.monotonic() + STARTED_SECONDS
    while time.monotonic() < due:
        if list(fresh.glob("target/**/msgspec")):
            break
        time.sleep(0.01)
    os.killpg(process.pid, signal.SIGKILL)
    process.communicate()
    _assert_built(_build(fresh))
    assert _import_error(fresh) == ""
    assert not list(fresh.glob("target/stage.*"))


def test_two_builds_at_once_both_succeed(fresh: pathlib.Path) -> None:
    processes = [_start_build(fresh) for _ in range(2)]
    for process in processes:
        output, _ = process.communicate(timeout=BUILD_TIMEOUT_SECONDS)
        assert process.returncode == 0, output
    assert _import_error(fresh) == ""


def test_build_without_a_needed_library_fails(fresh: pathlib.Path) -> None:
    (fresh / "deploy/requirements.txt").write_text("attrs==26.1.0\n")
    code, output = _build(fresh)
    assert code != 0
    assert "absl" in output
    assert str(sys.implementation.cache_tag) in output
    assert platform.machine() in output
    assert not (fresh / STAMP).exists()


def test_caller_of_the_build_does_not_change_its_result(
    fresh: pathlib.Path, tmp_path: pathlib.Path
) -> None:
    (tmp_path / "json.py").write_text("raise RuntimeError('not json')")
    elsewhere = tmp_path / "elsewhere"
    elsewhere.mkdir()
    (fresh / "target").symlink_to(elsewhere)
    environment = _environment(
        PYTHONPATH=str(tmp_path),
        PYTHONPYCACHEPREFIX=str(tmp_path / "cache"),
        PIP_USER="1",
        PIP_PREFIX=str(tmp_path / "prefix"),
        CDPATH=str(tmp_path),
    )
    del environment["HOME"]
    _assert_built(_build(fresh, environment))
    assert _import_error(fresh) == ""


def test_other_users_can_read_what_is_built(fresh: pathlib.Path) -> None:
    _assert_built(_build(fresh, umask=0o077))
    for path in (fresh / "target/deps").rglob("*"):
        wanted = 0o555 if path.is_dir() else 0o444
        assert path.stat().st_mode & wanted == wanted, path


def test_build_that_cannot_write_says_so(fresh: pathlib.Path) -> None:
    (fresh / "target").write_text("not a folder")
    code, output = _build(fresh)
    assert code != 0
    assert "target" in output
    assert "Traceback" not in output


def test_changed_source_reaches_the_build(built: pathlib.Path) -> None:
    changed = "packages/node/src/balsamramp_node/process/sidecar_cmdline.py"
    with (built / changed).open("a") as source:
        source.write("\nCHANGED = True\n")
    # No library is fetched for it.
    _assert_built(_build(built, _environment(PIP_NO_INDEX="1")))
    target = built / "target/deps/balsamramp_node/process/sidecar_cmdline.py"
    assert "CHANGED" in target.read_text()
    assert _import_error(built) == ""


def test_unchanged_build_is_left_alone(built: pathlib.Path) -> None:
    before = (built / "target/deps").stat().st_mtime_ns
    began = time.monotonic()
    _assert_built(_build(built, _environment(PIP_NO_INDEX="1")))
    assert time.monotonic() - began < REPEAT_SECONDS
    assert (built / "target/deps").stat().st_mtime_ns == before
