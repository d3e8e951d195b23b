"""Test of retries beside targets that fail and hosts that are restarted."""

from __future__ import annotations

import asyncio
import pathlib
import random

from tests.faults import bounds
from tests.faults import callers
from tests.faults import events
from tests.faults import fleet as fleets
from tests.faults import run
from tests.faults import target as targets

HOSTS = 7
READS_PER_START = 6


async def _send_reads(
    fleet: fleets.Fleet, host: fleets.Host, name: str
) -> None:
    """Send some idempotent requests to a host."""
    for number in range(READS_PER_START):
        connection = callers.connect(host.address(fleet.port('caller')))
        await callers.send(
            fleet,
            connection,
            f'{name}-{host.name}-{number}',
            'read',
            f'/read/{number}',
            expects_success=False,
        )
        await connection.aclose()


async def _run_scenario(folder: pathlib.Path) -> list[str]:
    fleet = fleets.Fleet(folder, HOSTS, random.Random(1))
    restarts: list[asyncio.Task[None]] = []
    try:
        await fleet.start(4)
        for target in fleet.targets:
            target.faults = targets.Faults(reset_fraction=1.0)
        restarts = [
            asyncio.ensure_future(fleet.restart_on_exit(host))
            for host in fleet.hosts
        ]
        end_ms = fleet.clock.now_ms + 1.5 * bounds.RETRY_WINDOW_MS
        while fleet.clock.now_ms < end_ms:
            await run.wait_until_ready(fleet)
            await asyncio.gather(
                *(
                    _send_reads(fleet, host, f'{fleet.clock.now_ms}')
                    for host in fleet.hosts
                )
            )
            for host in fleet.hosts:
                events.kill(fleet, host)
    finally:
        for task in restarts:
            task.cancel()
        fleet.stop()
    fleet.ledger.check_retries()
    return fleet.ledger.violations


def test_restarts_add_no_retries(tmp_path: pathlib.Path) -> None:
    """Guards against a retry budget that each start of a host fills again."""
    assert asyncio.run(_run_scenario(tmp_path)) == []
