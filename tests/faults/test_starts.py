"""Test of daemons that start without a store and beside slow peers."""

from __future__ import annotations

import asyncio
import pathlib
import random
import signal

import pytest

from tests.faults import bounds
from tests.faults import callers
from tests.faults import events
from tests.faults import fleet as fleets
from tests.faults import run

HOSTS = 7
CALLERS = 12
MAX_PAUSE_MS = 60
MODES = ('refuses_connections', 'is_request_stalled', 'is_response_stalled')
START_S = 4.0
"""Time for which the store is away, and in which peers are suspended."""
DRAINS = 8
DRAIN_PAUSE_S = 0.8


async def _suspend(
    fleet: fleets.Fleet, host: fleets.Host, rng: random.Random
) -> None:
    """Suspend a daemon somewhere in its start."""
    await asyncio.sleep(rng.uniform(0.0, START_S / 2))
    fleet.send_signal(host, signal.SIGSTOP)
    await asyncio.sleep(rng.uniform(0.0, START_S / 2))
    fleet.send_signal(host, signal.SIGCONT)


async def _restore_link(host: fleets.Host, mode: str, delay_s: float) -> None:
    """End the fault of the links between a host and the store."""
    await asyncio.sleep(delay_s)
    setattr(host.store_proxy, mode, False)
    host.store_proxy.reset_connections()


async def start_and_drain(
    folder: pathlib.Path, mode: str, seed: int
) -> list[str]:
    """Start hosts without a store; drain targets once all are ready.

    Args:
        folder: Folder of settings and logs.
        mode: Fault of the links to the store until they are restored.
        seed: Seed of the order of all steps.

    Returns:
        Violated rules with details.
    """
    rng = random.Random(f'{mode}/{seed}')
    fleet = fleets.Fleet(folder, HOSTS, rng)
    for host in fleet.hosts:
        setattr(host.store_proxy, mode, True)
    tasks: list[asyncio.Task[None]] = []
    try:
        await fleet.start(6)
        tasks = [
            asyncio.ensure_future(coroutine)
            for coroutine in (
                *(fleet.restart_on_exit(host) for host in fleet.hosts),
                *(
                    callers.Caller(number, fleet, MAX_PAUSE_MS).run()
                    for number in range(CALLERS)
                ),
            )
        ]
        await asyncio.gather(
            *(
                _suspend(fleet, host, rng)
                for host in rng.sample(fleet.hosts, HOSTS // 2)
            ),
            *(
                _restore_link(host, mode, START_S + rng.uniform(0.0, 2.0))
                for host in fleet.hosts
            ),
        )
        await run.wait_until_ready(fleet)
        await asyncio.sleep(bounds.CONVERGENCE_MS / 1_000)
        drains = []
        for _ in range(DRAINS):
            drains.append(
                asyncio.ensure_future(events.drain_target(fleet, rng))
            )
            await asyncio.sleep(DRAIN_PAUSE_S)
        await asyncio.gather(*drains)
        for task in tasks:
            if task.done():
                task.result()
    finally:
        for task in tasks:
            task.cancel()
        fleet.stop()
    fleet.ledger.check_retries()
    return fleet.ledger.violations


@pytest.mark.parametrize('mode', MODES)
def test_hosts_that_start_without_a_store_keep_all_bounds(
    tmp_path: pathlib.Path, mode: str
) -> None:
    """Guards against daemons that end, or miss changes, after such a start."""
    assert asyncio.run(start_and_drain(tmp_path, mode, 1)) == []
