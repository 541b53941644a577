"""One play of a case: a fleet, its backends, its callers and a record."""

import abc
import asyncio
import os
import pathlib
import sys
import tempfile
import time

import backend
import callers
import fleet

__all__ = ["BROKEN", "HELD", "NOT_RUN", "SERVICE", "Case", "main"]

# Exit codes; that of an unexpected exception of Python is 1.
HELD, BROKEN, NOT_RUN = 0, 10, 2
SERVICE = "caja"
PLAY_SECONDS_MAX = 110.0
STOP_SECONDS = 5.0


class Case(abc.ABC):
    """Starts and ends the processes around ``play``.

    ``trouble`` states whether the disruption happens.
    """

    number: int

    def __init__(
        self,
        folder: pathlib.Path,
        record: pathlib.Path,
        trouble: bool,
    ) -> None:
        self.trouble = trouble
        self.fleet = fleet.Fleet(folder, self.number)
        self.backends: list[backend.Backend] = []
        self.callers = callers.Callers(self.fleet.machines)
        self._record = record.open("w")
        self._began_at = time.monotonic()
        self._ended = False
        self._traffic: list[asyncio.Task[None]] = []

    @abc.abstractmethod
    async def play(self) -> int:
        """Return HELD, BROKEN or NOT_RUN."""

    async def run(self) -> int:
        """Play the case, end all processes and write the record."""
        try:
            result = await self.play()
        except (OSError, TimeoutError, AssertionError) as error:
            self.note(f"the case could not run: {error!r}")
            result = NOT_RUN
        finally:
            self._ended = True
            if self._traffic:
                await asyncio.wait(self._traffic, timeout=STOP_SECONDS)
            await self.callers.close()
            for item in self.backends:
                item.stop()
            await self.fleet.stop()
            self._write_requests()
            self.note(f"result {result}")
            self._record.close()
        return result

    def note(self, text: str) -> None:
        """Write a line to the record."""
        seconds = time.monotonic() - self._began_at
        self._record.write(f"{seconds:8.3f} {text}\n")
        self._record.flush()

    def add_machine(
        self, name: str, zone: str, version: str, service: str = SERVICE
    ) -> backend.Backend:
        """Add a machine with a backend; neither is started."""
        machine = self.fleet.add(name, zone, service)
        added = backend.Backend(
            f"i-{name}",
            service,
            version,
            machine.address("backend"),
            machine.address("control"),
            zone,
        )
        self.backends.append(added)
        return added

    def start_traffic(
        self, per_second: float, kind: str, service: str = SERVICE
    ) -> None:
        """Send requests at a steady rate until the end of the case."""
        self._traffic.append(
            asyncio.create_task(
                self.callers.run(
                    per_second, service, kind, lambda: self._ended
                )
            )
        )

    def _write_requests(self) -> None:
        runs: dict[str, list[str]] = {}
        for item in self.backends:
            for _, request_id in item.runs:
                runs.setdefault(request_id, []).append(item.name)
        for answer in sorted(
            self.callers.answers, key=lambda item: item.sent_at
        ):
            run_by = ", ".join(runs.get(answer.request_id, ["none"]))
            status = answer.status or "no answer"
            self._record.write(
                f"{answer.sent_at - self._began_at:8.3f} {answer.request_id}"
                f" /{answer.kind}/ at {answer.machine}: {status} after"
                f" {answer.milliseconds} ms, run by {run_by}\n"
            )


def main(case_type: type[Case], record: pathlib.Path) -> None:
    """Play a case and exit with its result."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play(folder: pathlib.Path) -> int:
        async with asyncio.timeout(PLAY_SECONDS_MAX):
            return await case_type(folder, record, trouble).run()

    with tempfile.TemporaryDirectory() as folder:
        try:
            result = asyncio.run(play(pathlib.Path(folder)))
        except (OSError, TimeoutError) as error:
            print(f"the case could not run: {error!r}", file=sys.stderr)
            result = NOT_RUN
    sys.exit(result)
