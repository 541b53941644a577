"""Puts the libraries and the product's packages into target/deps.

The libraries and packages are collected in a folder beside it, imported as
a node imports them, and take its place in the end. A stamp among them says
what they were made for; anything else than that is made anew.
"""

import compileall
import contextlib
import fcntl
import hashlib
import importlib.machinery
import json
import os
import pathlib
import platform
import shutil
import subprocess
import sys
import tempfile
import typing

__all__ = ["main"]

ROOT = pathlib.Path(__file__).resolve().parents[1]
TARGET = ROOT / "target"
DEPS = TARGET / "deps"
DEPLOY_FILE = ROOT / "deploy" / "system.toml"
REQUIREMENTS = ROOT / "deploy" / "requirements.txt"
PACKAGES = ("core", "wire", "node")
STAMP_NAME = "balsamramp-build.json"
# Of earlier releases, which would take the libraries for their own.
OLD_STAMP = TARGET / "requirements.txt"
STAGE_PREFIX = "stage."
OLDEST_PYTHON = (3, 11)
DIGEST_CHARACTERS = 12
# Other users of the machine run the nodes.
UMASK = 0o022
EXIT_OK = 0
EXIT_FAILED = 1
# Options of the caller's pip that concern where and for which machine it
# installs. Its indexes and certificates are kept.
PIP_OPTIONS = (
    "ABI",
    "CONSTRAINT",
    "DRY_RUN",
    "EDITABLE",
    "IMPLEMENTATION",
    "NO_DEPS",
    "PLATFORM",
    "PREFIX",
    "PYTHON",
    "PYTHON_VERSION",
    "REQUIREMENT",
    "REQUIRE_VIRTUALENV",
    "ROOT",
    "TARGET",
)
# A node's program has its folder first on Python's path.
IMPORTS = (
    "import sys; sys.path[0] = 'platform'; import store_platform_adapter;"
    " from balsamramp_node.process import sidecar_cmdline"
)

Stamp = dict[str, str]


class BuildError(Exception):
    """Raised with the reason for which nothing was built."""


def _describe_machine() -> Stamp:
    """Return all that libraries are made for, and their list."""
    try:
        c_library = os.confstr("CS_GNU_LIBC_VERSION") or ""
    except (OSError, ValueError):
        c_library = ""
    digest = hashlib.sha256(REQUIREMENTS.read_bytes()).hexdigest()
    return {
        "python": str(sys.implementation.cache_tag),
        "machine": platform.machine(),
        "requirements": digest[:DIGEST_CHARACTERS],
        "extensions": importlib.machinery.EXTENSION_SUFFIXES[0],
        "c_library": c_library,
    }


def _digest_files(folder: pathlib.Path) -> str:
    """Return a digest of the names and sizes of the files in ``folder``."""
    found = []
    for parent, folders, names in os.walk(folder):
        folders[:] = [name for name in folders if name != "__pycache__"]
        for name in names:
            if name == STAMP_NAME:
                continue
            path = os.path.join(parent, name)
            size = os.stat(path).st_size
            found.append(f"{os.path.relpath(path, folder)} {size}")
    return hashlib.sha256("\n".join(sorted(found)).encode()).hexdigest()


def _read_stamp() -> Stamp:
    try:
        stamp = json.loads((DEPS / STAMP_NAME).read_bytes())
    except (OSError, ValueError):
        return {}
    return stamp if isinstance(stamp, dict) else {}


def _has_libraries(machine: Stamp) -> bool:
    """Tell whether whole libraries for ``machine`` are in place."""
    try:
        wanted = {**machine, "files": _digest_files(DEPS)}
    except OSError:
        return False
    return _read_stamp() == wanted


def _sources() -> dict[str, pathlib.Path]:
    """Return the product's files by their place in the build."""
    found = {}
    for package in PACKAGES:
        source = ROOT / "packages" / package / "src"
        for path in (source / f"balsamramp_{package}").rglob("*"):
            if path.is_file() and "__pycache__" not in path.parts:
                found[str(path.relative_to(source))] = path
    return found


def _has_sources(sources: dict[str, pathlib.Path]) -> bool:
    """Tell whether the product's packages in place are those sources."""
    placed = set()
    for package in PACKAGES:
        for path in (DEPS / f"balsamramp_{package}").rglob("*"):
            if path.is_file() and "__pycache__" not in path.parts:
                placed.add(str(path.relative_to(DEPS)))
    if placed != set(sources):
        return False
    try:
        return all(
            path.read_bytes() == (DEPS / name).read_bytes()
            for name, path in sources.items()
        )
    except OSError:
        return False


def _install_libraries(folder: pathlib.Path) -> None:
    environment = {
        name: value
        for name, value in os.environ.items()
        if not name.startswith("PYTHON")
        and name.removeprefix("PIP_") not in PIP_OPTIONS
    }
    environment["PIP_USER"] = "0"
    done = subprocess.run(
        [
            *(sys.executable, "-m", "pip", "install", "--quiet"),
            *("--disable-pip-version-check", "--no-deps"),
            *("--target", folder, "-r", REQUIREMENTS),
        ],
        env=environment,
    )
    if done.returncode:
        raise BuildError(
            f"pip ended with status {done.returncode}; the libraries of"
            f" {REQUIREMENTS.name} are not installed"
        )


def _copy_libraries(folder: pathlib.Path) -> None:
    """Take the libraries that are in place, without the product."""
    left_out = {STAMP_NAME, *(f"balsamramp_{name}" for name in PACKAGES)}

    def ignore(parent: str, names: list[str]) -> set[str]:
        return left_out if pathlib.Path(parent) == DEPS else set()

    shutil.copytree(DEPS, folder, ignore=ignore)


def _copy_sources(
    sources: dict[str, pathlib.Path], folder: pathlib.Path
) -> None:
    for name, path in sources.items():
        destination = folder / name
        destination.parent.mkdir(parents=True, exist_ok=True)
        # Not its mode: a clone may be closed to other users.
        shutil.copyfile(path, destination)
    for package in PACKAGES:
        compileall.compile_dir(
            folder / f"balsamramp_{package}",
            quiet=1,
            stripdir=str(folder),
            prependdir=str(DEPS.relative_to(ROOT)),
        )


def _check_imports(folder: pathlib.Path, machine: Stamp) -> None:
    """Import what a node imports, started as the deploy file says."""
    # Not there before OLDEST_PYTHON.
    import tomllib

    deploy = tomllib.loads(DEPLOY_FILE.read_text())
    for role in deploy["roles"].values():
        words = role["run"].split()
        program = next(word for word in words if word.endswith(".py"))
        command = words[: words.index(program)]
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(folder)
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        done = subprocess.run(
            [*command, "-c", IMPORTS],
            cwd=ROOT,
            env=environment,
            capture_output=True,
            text=True,
        )
        if done.returncode:
            lines = done.stderr.strip().splitlines()
            reason = lines[-1] if lines else f"status {done.returncode}"
            raise BuildError(
                f"'{role['run']}' cannot import its modules: {reason}"
                f" (Python {platform.python_version()},"
                f" {machine['python']}, {machine['machine']},"
                f" {machine['c_library'] or 'other C library'})"
            )


@contextlib.contextmanager
def _locked() -> typing.Iterator[None]:
    """Wait for other builds in this folder, and keep them out."""
    lock = os.open(TARGET, os.O_RDONLY)
    try:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield
    finally:
        os.close(lock)


def _replace(folder: pathlib.Path, old: pathlib.Path) -> None:
    """Put ``folder`` in place; what was there goes to ``old``."""
    OLD_STAMP.unlink(missing_ok=True)
    # Two renames, so that a process which starts meanwhile finds either.
    if os.path.lexists(DEPS):
        DEPS.rename(old)
    try:
        folder.rename(DEPS)
    except OSError:
        if os.path.lexists(old):
            old.rename(DEPS)
        raise


def build() -> None:
    """Bring target/deps up to date; raises BuildError."""
    if sys.version_info < OLDEST_PYTHON:
        raise BuildError(
            f"{sys.executable} is Python {platform.python_version()}; allowed"
            f" is {'.'.join(map(str, OLDEST_PYTHON))} or later"
        )
    os.umask(UMASK)
    machine, sources = _describe_machine(), _sources()
    if _has_libraries(machine) and _has_sources(sources):
        return
    TARGET.mkdir(exist_ok=True)
    with _locked():
        # What builds left that were killed.
        for stale in TARGET.glob(f"{STAGE_PREFIX}*"):
            shutil.rmtree(stale, ignore_errors=True)
        has_libraries = _has_libraries(machine)
        if has_libraries and _has_sources(sources):
            return
        stage = pathlib.Path(tempfile.mkdtemp(prefix=STAGE_PREFIX, dir=TARGET))
        try:
            folder = stage / DEPS.name
            if has_libraries:
                _copy_libraries(folder)
            else:
                _install_libraries(folder)
            _copy_sources(sources, folder)
            _check_imports(folder, machine)
            stamp = {**machine, "files": _digest_files(folder)}
            (folder / STAMP_NAME).write_text(json.dumps(stamp) + "\n")
            _replace(folder, stage / "old")
        finally:
            shutil.rmtree(stage, ignore_errors=True)


def main() -> int:
    """Build, and return the exit code."""
    try:
        build()
    except BuildError as error:
        print(f"build: {error}", file=sys.stderr)
        return EXIT_FAILED
    except OSError as error:
        print(
            f"build: {error}; user {os.getuid()} has to be able to write to"
            f" the folder {TARGET} and what is in it, or to remove it",
            file=sys.stderr,
        )
        return EXIT_FAILED
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
