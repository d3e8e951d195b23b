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
    """Guards against a hanging target that delays the probes of others, and
    against a malformed report that is accepted or ends the probes."""
    results: dict[str, list[health.HealthResult]] = {'t1': [], 't2': []}
    clock = clocks.Clock()
    valid = b'{"state": "draining", "in_use": 2, "slots": 3}'
    async with (
        scripted.ScriptedTarget(scripted.hang) as hanging,
        scripted.ScriptedTarget(
            scripted.respond(b'{"state": "ok", "in_use": -1, "slots": 3}'),
            scripted.respond(b'x' * 5_000),
            scripted.respond(b'', status=500),
            scripted.respond(valid),
        ) as other,
        anyio.create_task_group() as tasks,
    ):
        client = target_client.TargetClient(clock)
        client.configure(
            scripted.build_config({'t1': hanging.address, 't2': other.address})
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
        request_count = len(other.requests)
        result_count = len(results['t1'])
        await scripted.until(lambda: len(results['t1']) >= result_count + 2)
        assert len(other.requests) <= request_count + 1
        tasks.cancel_scope.cancel()
