"""Tests of tasks that an unexpected error does not end."""

from __future__ import annotations

import anyio
import pytest

from wigeonhatch import clock as clocks
from wigeonhatch import supervision


def test_task_runs_again_after_an_error() -> None:
    """Guards against an error in one task that ends the daemon."""
    clock = clocks.ManualClock()
    supervisor = supervision.Supervisor(clock)
    calls: list[str] = []

    async def run() -> None:
        calls.append('run')
        if calls.count('run') < 3:
            raise RuntimeError('unexpected')

    async def main() -> None:
        await supervisor.run('t', run, lambda: calls.append('discard'))

    anyio.run(main)
    assert calls == ['run', 'discard', 'run', 'discard', 'run']
    assert supervisor.errors_by_task == {'t': 2}
    assert clock.now_ms >= 2 * supervision.RESTART_DELAY_MS


def test_cancelled_task_ends() -> None:
    """Guards against a task that runs on while the daemon stops."""
    supervisor = supervision.Supervisor(clocks.ManualClock())

    async def main() -> None:
        with anyio.move_on_after(0.01) as scope:
            await supervisor.run('t', anyio.sleep_forever)
        assert scope.cancelled_caught

    anyio.run(main)
    assert supervisor.errors_by_task == {}


def test_end_of_the_process_is_no_error() -> None:
    """Guards against a supervisor that keeps a process that has to exit."""
    supervisor = supervision.Supervisor(clocks.ManualClock())

    async def run() -> None:
        raise SystemExit(1)

    async def main() -> None:
        with pytest.raises(SystemExit):
            await supervisor.run('t', run)

    anyio.run(main)


def test_error_of_a_step_does_not_end_the_stop(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a stop whose first step fails and cuts all requests."""

    async def fail() -> None:
        raise RuntimeError('unexpected')

    anyio.run(supervision.run_step, 'handover', fail)
    assert [vars(record)['event_fields'] for record in caplog.records] == [
        {'step': 'handover'}
    ]
