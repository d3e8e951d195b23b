"""Test of daemons whose store comes back from an older copy."""

from __future__ import annotations

import asyncio
import collections.abc
import pathlib
import random
import signal

from tests.faults import bounds
from tests.faults import callers
from tests.faults import fleet as fleets
from tests.faults import ledger as ledgers
from tests.faults import run
from wigeonhatch.peers import readers

HOSTS = 7
CALLERS = 12
MAX_PAUSE_MS = 100
OUTAGE_S = 1.0
SUSPENDED_S = 0.4

Scenario = collections.abc.Callable[
    [fleets.Fleet], collections.abc.Coroutine[None, None, None]
]


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


async def _restore_and_change(fleet: fleets.Fleet) -> None:
    """Restore the store and change the configuration later."""
    await _restore(fleet)
    await asyncio.sleep(bounds.CONVERGENCE_MS / 1_000)
    fleet.write_configuration()
    await asyncio.sleep(2 * bounds.CONFIG_MS / 1_000)


async def _run_scenario(folder: pathlib.Path, scenario: Scenario) -> None:
    """Run a scenario with callers and probes of the configuration."""
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
        await scenario(fleet)
    finally:
        for task in tasks:
            task.cancel()
        fleet.stop()
    assert fleet.ledger.violations == []


def _is_reader(fleet: fleets.Fleet, host: fleets.Host) -> bool:
    domain = {
        item.name: True for item in fleet.hosts if item.domain == host.domain
    }
    return readers.choose_reader(domain) == host.name


async def _lose_a_departure(fleet: fleets.Fleet) -> None:
    """Restore a copy with a target that left while hosts were suspended.

    Readers are not suspended, as the store has sent them the change.
    """
    store = fleet.application.store
    suspended = [host for host in fleet.hosts if not _is_reader(fleet, host)]
    target = next(item for item in fleet.targets if item.service == 'reader')
    copy = store.copy()
    for host in suspended:
        fleet.send_signal(host, signal.SIGSTOP)
    fleet.unregister(target)
    await asyncio.sleep(SUSPENDED_S)
    store.restore(copy)
    now_ms = fleet.clock.now_ms
    names = tuple(host.name for host in suspended)
    fleet.disturb((ledgers.STORE, *names), now_ms, now_ms)
    for host in suspended:
        fleet.send_signal(host, signal.SIGCONT)
    await fleet.write_again()


def test_configurations_after_a_restore_are_in_force(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against hosts that take versions of two histories for one."""
    asyncio.run(_run_scenario(tmp_path, _restore_and_change))


def test_targets_that_left_before_a_restore_get_no_requests(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a host that learns only from the copy, not from peers."""
    asyncio.run(_run_scenario(tmp_path, _lose_a_departure))
