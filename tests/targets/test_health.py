"""Tests of the health probes."""

from __future__ import annotations

import anyio

from tests.targets import scripted
from wigeonhatch import clock as clocks
from wigeonhatch import outcome
from wigeonhatch.targets import client as target_client
from wigeonhatch.targets import health


@scripted.run_on_uvloop
async def test_probes_are_independent_and_checked() -> None:
    """Guards against a silent target that delays the probes of others, and
    against a malformed report that is believed or ends the probes."""
    results: dict[str, list[health.HealthResult]] = {'t1': [], 't2': []}
    clock = clocks.Clock()
    good = b'{"state": "draining", "in_use": 2, "slots": 3}'
    async with (
        scripted.ScriptedTarget(scripted.hang) as silent,
        scripted.ScriptedTarget(
            scripted.respond(b'{"state": "ok", "in_use": -1, "slots": 3}'),
            scripted.respond(b'x' * 5_000),
            scripted.respond(b'', status=500),
            scripted.respond(good),
        ) as other,
        anyio.create_task_group() as tasks,
    ):
        client = target_client.TargetClient(clock)
        client.configure(
            scripted.build_config({'t1': silent.address, 't2': other.address})
        )
        monitor = health.HealthMonitor(
            client, clock, lambda name, result: results[name].append(result), 1
        )
        monitor.watch(['t1', 't2'])
        tasks.start_soon(monitor.run)
        await scripted.until(lambda: len(results['t2']) >= 4)
        assert [isinstance(r, outcome.Failure) for r in results['t2'][:3]] == [
            True
        ] * 3
        last = results['t2'][3]
        assert isinstance(last, outcome.Success)
        assert (last.value.is_draining, last.value.in_use) == (True, 2)
        assert all(isinstance(r, outcome.Failure) for r in results['t1'])
        monitor.watch(['t1'])
        seen = len(other.requests)
        count = len(results['t1'])
        await scripted.until(lambda: len(results['t1']) >= count + 2)
        assert len(other.requests) <= seen + 1
        tasks.cancel_scope.cancel()
