"""Background tasks that last as long as the process."""

import asyncio
from collections import abc
import datetime

from absl import logging

from balsamramp_core import clock
from balsamramp_core import metrics

__all__ = ["RESTART_PAUSE", "start"]

RESTART_PAUSE = datetime.timedelta(seconds=1)


def start(
    run: abc.Callable[[], abc.Coroutine[object, object, None]],
    time: clock.Clock,
    counters: metrics.Metrics | None = None,
) -> asyncio.Task[None]:
    """Return a task that runs ``run`` until it returns or is cancelled.

    After an unexpected error it is logged, counted and run again.

    Example::

        self._task = background_task.start(self._run, time, counters)
        ...
        self._task.cancel()
    """
    return asyncio.create_task(_run_again(run, time, counters))


async def _run_again(
    run: abc.Callable[[], abc.Coroutine[object, object, None]],
    time: clock.Clock,
    counters: metrics.Metrics | None,
) -> None:
    name = getattr(run, "__qualname__", repr(run))
    while True:
        try:
            await run()
            return
        except Exception:
            logging.exception(
                "background task %s ended by an unexpected error; running it"
                " again in %g s",
                name,
                RESTART_PAUSE.total_seconds(),
            )
        if counters is not None:
            counters.count("background_errors_total", task=name)
        await time.sleep(RESTART_PAUSE)
