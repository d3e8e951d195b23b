"""Tests of hosts that have lost their links to all targets."""

from __future__ import annotations

import asyncio
import collections
import collections.abc
import pathlib
import random

import pytest

from tests.faults import bounds
from tests.faults import callers
from tests.faults import fleet as fleets
from tests.faults import links
from tests.faults import run

HOSTS = 7
CALLERS = 24
MAX_PAUSE_MS = 60
LOST_S = 2 * bounds.CONVERGENCE_MS / 1_000 + 2
RETURN_S = 4.0
ONE_HOST = ('h1',)
ONE_DOMAIN = ('h1', 'h5')
ONE_REGION = ('h0', 'h1', 'h4', 'h5')


def _set_links(
    fleet: fleets.Fleet, names: collections.abc.Iterable[str], mode: str
) -> None:
    for host in fleet.hosts:
        if host.name in names:
            host.set_links(mode)


def _served_ratios(
    fleet: fleets.Fleet, since_ms: int, until_ms: int, names: tuple[str, ...]
) -> tuple[float, float, int]:
    """Served fraction at the named hosts and others; failures at the named."""
    counts: collections.Counter[tuple[bool, bool]] = collections.Counter()
    for request_id, outcome in fleet.ledger.outcome_by_id.items():
        request = fleet.ledger.request_by_id[request_id]
        if request.expects_success and since_ms <= request.sent_ms < until_ms:
            counts[request.host in names, outcome.status == 200] += 1
    cut = counts[True, True] / max(1, counts[True, True] + counts[True, False])
    others = counts[False, True] / max(
        1, counts[False, True] + counts[False, False]
    )
    return cut, others, counts[True, False]


async def _run_with_lost_links(
    folder: pathlib.Path, mode: str, names: tuple[str, ...]
) -> None:
    fleet = fleets.Fleet(folder, HOSTS, random.Random(1))
    tasks: list[asyncio.Task[None]] = []
    try:
        await fleet.start(6)
        await run.wait_until_ready(fleet)
        tasks = [
            asyncio.ensure_future(
                callers.Caller(
                    number, fleet, MAX_PAUSE_MS, keeps_lookup=number % 3 == 0
                ).run()
            )
            for number in range(CALLERS)
        ]
        await asyncio.sleep(bounds.CONVERGENCE_MS / 1_000)
        _set_links(fleet, names, mode)
        lost_ms = fleet.clock.now_ms
        await asyncio.sleep(LOST_S)
        _set_links(fleet, names, '')
        healed_ms = fleet.clock.now_ms
        await asyncio.sleep(bounds.CONVERGENCE_MS / 1_000 + RETURN_S)
    finally:
        for task in tasks:
            task.cancel()
        fleet.stop()
    assert fleet.ledger.violations == []
    checked_ms = lost_ms + bounds.CONVERGENCE_MS
    cut, others, failed = _served_ratios(fleet, checked_ms, healed_ms, names)
    requests = sum(
        checked_ms <= request.sent_ms < healed_ms and request.host in names
        for request in fleet.ledger.request_by_id.values()
    )
    assert requests > 0, 'no caller tried a host without links'
    assert cut >= bounds.MIN_SERVED_RATIO * others or failed <= (
        bounds.UNSERVED_AT_CUT + requests * bounds.UNSERVED_AT_CUT_RATIO
    ), (cut, others, failed, requests)
    used = {
        request.host
        for request in fleet.ledger.request_by_id.values()
        if request.sent_ms > healed_ms + bounds.CONVERGENCE_MS
    }
    assert used >= set(names), 'callers have not returned'


@pytest.mark.parametrize('names', [ONE_HOST, ONE_DOMAIN, ONE_REGION])
@pytest.mark.parametrize('mode', links.MODES)
def test_callers_of_hosts_without_links_are_served(
    tmp_path: pathlib.Path, mode: str, names: tuple[str, ...]
) -> None:
    """Guards against callers that suffer from the links of their host."""
    asyncio.run(_run_with_lost_links(tmp_path, mode, names))
