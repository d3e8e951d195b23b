"""Tests of daemons whose targets state rate limits."""

from __future__ import annotations

import asyncio
import pathlib
import random

import pytest

from tests.faults import bounds
from tests.faults import callers
from tests.faults import fleet as fleets
from tests.faults import run

HOSTS = 7
CALLERS = 12
MAX_PAUSE_MS = 100
LIMITED_S = 2 * bounds.CONVERGENCE_MS / 1_000 + 1


async def _run_with_limit(folder: pathlib.Path, rate_per_s: float) -> None:
    """Limit one target of each service and check the requests it gets."""
    fleet = fleets.Fleet(folder, HOSTS, random.Random(1))
    tasks: list[asyncio.Task[None]] = []
    try:
        await fleet.start(4)
        await run.wait_until_ready(fleet)
        tasks = [
            asyncio.ensure_future(
                callers.Caller(number, fleet, MAX_PAUSE_MS).run()
            )
            for number in range(CALLERS)
        ]
        await asyncio.sleep(bounds.CONVERGENCE_MS / 1_000 + 1)
        limited = [
            next(t for t in fleet.targets if t.service == service)
            for service in fleets.SERVICES
        ]
        for target in limited:
            target.limit_rate(rate_per_s)
        await asyncio.sleep(LIMITED_S)
    finally:
        for task in tasks:
            task.cancel()
        fleet.stop()
    assert fleet.ledger.violations == []
    counts = fleet.ledger.rate_rule.count_by_target
    assert all(counts[target.name] > 0 for target in limited)


@pytest.mark.parametrize('rate_per_s', [0.5, 3.7])
def test_all_hosts_together_keep_the_stated_rate(
    tmp_path: pathlib.Path, rate_per_s: float
) -> None:
    """Guards against a limit that no host reads, or that each uses alone."""
    asyncio.run(_run_with_limit(tmp_path, rate_per_s))
