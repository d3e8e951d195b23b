"""Test of daemons whose store comes back from an older copy."""

from __future__ import annotations

import asyncio
import pathlib
import random

from tests.faults import bounds
from tests.faults import callers
from tests.faults import fleet as fleets
from tests.faults import ledger as ledgers
from tests.faults import run

HOSTS = 7
CALLERS = 4
MAX_PAUSE_MS = 100
OUTAGE_S = 1.0


async def _restore(fleet: fleets.Fleet) -> None:
    """Take a copy, write to the store, and restore the copy."""
    store = fleet.application.store
    copy = store.copy()
    fleet.write_configuration()
    await asyncio.sleep(1.0)
    start_ms = fleet.clock.now_ms
    store.faults.is_down = True
    await asyncio.sleep(OUTAGE_S)
    store.restore(copy)
    store.faults.is_down = False
    fleet.disturb((ledgers.STORE,), start_ms, fleet.clock.now_ms)


async def _run_with_restored_store(folder: pathlib.Path) -> None:
    """Change the configuration after the store was restored."""
    fleet = fleets.Fleet(folder, HOSTS, random.Random(1))
    tasks: list[asyncio.Task[None]] = []
    try:
        await fleet.start(4)
        await run.wait_until_ready(fleet)
        tasks = [
            asyncio.ensure_future(coroutine)
            for coroutine in (
                *(
                    callers.Caller(number, fleet, MAX_PAUSE_MS).run()
                    for number in range(CALLERS)
                ),
                *(
                    callers.probe_configuration(fleet, host)
                    for host in fleet.hosts
                ),
            )
        ]
        await asyncio.sleep(bounds.CONVERGENCE_MS / 1_000)
        await _restore(fleet)
        await asyncio.sleep(bounds.CONVERGENCE_MS / 1_000)
        fleet.write_configuration()
        await asyncio.sleep(2 * bounds.CONFIG_MS / 1_000)
    finally:
        for task in tasks:
            task.cancel()
        fleet.stop()
    assert fleet.ledger.violations == []


def test_configurations_after_a_restore_are_in_force(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against hosts that take versions of two histories for one."""
    asyncio.run(_run_with_restored_store(tmp_path))
