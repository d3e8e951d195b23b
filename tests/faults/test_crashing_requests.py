"""Tests of daemons with a request that crashes the targets that run it."""

from __future__ import annotations

import asyncio
import json
import pathlib
import random

import pytest

from tests.faults import bounds
from tests.faults import callers
from tests.faults import fleet as fleets
from tests.faults import run

HOSTS = 7
CALLERS = 12
TARGETS_PER_SERVICE = 8
MAX_PAUSE_MS = 100
DEADLY_S = 2 * bounds.CONVERGENCE_MS / 1_000 + 2


async def _run_with_deadly(folder: pathlib.Path, kind: str) -> None:
    fleet = fleets.Fleet(folder, HOSTS, random.Random(1))
    tasks: list[asyncio.Task[None]] = []
    try:
        await fleet.start(TARGETS_PER_SERVICE)
        await run.wait_until_ready(fleet)
        tasks = [
            asyncio.ensure_future(
                callers.Caller(number, fleet, MAX_PAUSE_MS).run()
            )
            for number in range(CALLERS)
        ]
        await asyncio.sleep(bounds.CONVERGENCE_MS / 1_000)
        deadly = callers.send_deadly(fleet, kind, random.Random(2))
        tasks.append(asyncio.ensure_future(deadly))
        await asyncio.sleep(DEADLY_S)
        for task in tasks:
            if task.done():
                task.result()
    finally:
        for task in tasks:
            task.cancel()
        fleet.stop()
    ledger = fleet.ledger
    assert ledger.violations == []
    assert ledger.crash_rule.most_crashes >= bounds.FREE_CRASHES
    refused = [
        request_id
        for request_id, outcome in ledger.outcome_by_id.items()
        if outcome.status == 503
        and json.loads(outcome.body)['name'] == 'QUARANTINED'
    ]
    assert all(request_id.startswith('deadly') for request_id in refused)


@pytest.mark.parametrize('kind', ['read', 'write'])
def test_request_that_crashes_targets_is_not_sent_on(
    tmp_path: pathlib.Path, kind: str
) -> None:
    """Guards against one request that ends target after target."""
    asyncio.run(_run_with_deadly(tmp_path, kind))
