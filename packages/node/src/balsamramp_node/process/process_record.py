"""Log lines that tell how a process began and how it ended."""

from collections import abc
import datetime
import enum
import hashlib
import os
import pathlib
import platform
import resource
import sys
import typing

import msgspec

from balsamramp_core import clock
import balsamramp_node
from balsamramp_node.process import decision_log

__all__ = ["BUILD_FILE", "ExitCode", "ProcessRecord", "describe_build"]

# Written beside the packages by the build, as the last of its files.
BUILD_FILE = "balsamramp-build.json"
DIGEST_CHARACTERS = 12
LIMITS = {
    "descriptors": resource.RLIMIT_NOFILE,
    "address_space": resource.RLIMIT_AS,
    "processes": resource.RLIMIT_NPROC,
    "file_size": resource.RLIMIT_FSIZE,
}
SECOND = datetime.timedelta(seconds=1)


class ExitCode(enum.IntEnum):
    """Exit codes of a sidecar, one for each way in which it ends itself."""

    STOPPED = 0
    START_FAILED = 1
    INVALID_SETTINGS = 2
    FORCED = 3
    UNEXPECTED_ERROR = 4
    # Not logged: what writes the log cannot be loaded.
    UNUSABLE_BUILD = 5


class ProcessRecord:
    """Writes one line when a process starts and one when it ends.

    A ``process_start`` without a ``process_end`` stands for a process that
    was killed, or that ended in a library or in the interpreter.
    """

    def __init__(
        self, decisions: decision_log.DecisionLog, time: clock.Clock
    ) -> None:
        self._decisions = decisions
        self._clock = time
        self._started_at = time.monotonic()

    def write_start(
        self,
        settings_text: str,
        addresses: abc.Mapping[str, str],
        environment: abc.Mapping[str, str],
    ) -> None:
        """Log what the process was given: settings, build, limits, ports.

        ``environment`` holds the settings that come from there.
        """
        digest = hashlib.sha256(settings_text.encode()).hexdigest()
        self._decisions.write(
            "process_start",
            pid=os.getpid(),
            settings_digest=digest[:DIGEST_CHARACTERS],
            build=describe_build(),
            python=sys.implementation.cache_tag,
            machine=platform.machine(),
            limits=_describe_limits(),
            environment=environment,
            addresses=addresses,
        )

    def write_end(self, exit_code: ExitCode, reason: str) -> None:
        """Log that the process ends now, with the reason for operators."""
        elapsed = self._clock.monotonic() - self._started_at
        self._decisions.write(
            "process_end",
            exit_code=exit_code,
            reason=reason,
            seconds=round(elapsed / SECOND, 3),
        )


def describe_build() -> typing.Any:
    """Return what the build says of itself, or None outside a build."""
    folder = pathlib.Path(balsamramp_node.__file__).parents[1]
    try:
        content = (folder / BUILD_FILE).read_bytes()
        return msgspec.json.decode(content)
    except FileNotFoundError:
        return None
    except (OSError, msgspec.DecodeError) as error:
        return {"error": str(error)}


def _describe_limits() -> dict[str, int | None]:
    """Return the limits of the process, None where there is none."""
    found: dict[str, int | None] = {}
    for name, limit in LIMITS.items():
        soft, _ = resource.getrlimit(limit)
        found[name] = None if soft == resource.RLIM_INFINITY else soft
    return found
