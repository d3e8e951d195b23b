"""Tasks of a daemon whose unexpected errors end nothing else."""

from __future__ import annotations

import collections
import collections.abc
import logging

from wigeonhatch import clock as clocks

RESTART_DELAY_MS = 1_000
"""Pause after an error, which bounds the processor time and the log lines of a
task that fails at once."""
_LOG = logging.getLogger(__name__)

Run = collections.abc.Callable[[], collections.abc.Awaitable[None]]


class Supervisor:
    """Run tasks and start them again after an error.

    A daemon that ends interrupts all its requests, and an error that every
    host meets would end them all. What a task keeps up to date goes stale
    instead, which the log and a counter report.

    Args:
        clock: Source of monotonic time.

    Attributes:
        errors_by_task: Number of errors of each task since the start.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.errors_by_task: collections.Counter[str] = collections.Counter()
        self._clock = clock

    async def run(
        self,
        task: str,
        run: Run,
        on_error: collections.abc.Callable[[], None] = lambda: None,
    ) -> None:
        """Run a task until it returns, again after each error.

        Args:
            task: Name of the task for the log and the counter.
            run: Runs the task; must be safe to call again.
            on_error: Discards what the error may have left incomplete.
        """
        while True:
            try:
                await run()
                return
            except Exception:
                self.errors_by_task[task] += 1
                _LOG.exception(
                    'task failed', extra={'event_fields': {'task': task}}
                )
            on_error()
            await self._clock.sleep_ms(RESTART_DELAY_MS)


async def run_step(step: str, run: Run) -> None:
    """Run one step of a stop; an error is logged and does not end the stop.

    Args:
        step: Name of the step for the log.
        run: Runs the step.
    """
    try:
        await run()
    except Exception:
        _LOG.exception('step failed', extra={'event_fields': {'step': step}})
