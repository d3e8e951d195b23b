"""Tests of daemons whose targets state that they leave or want no requests."""

from __future__ import annotations

import asyncio
import collections.abc
import pathlib
import random

import pytest

from tests.faults import bounds
from tests.faults import callers
from tests.faults import events
from tests.faults import fleet as fleets
from tests.faults import ledger as ledgers
from tests.faults import run
from tests.faults import target as targets

HOSTS = 7
CALLERS = 12
MAX_PAUSE_MS = 60
STATED_S = 8.0
TARGETS = 4
"""Targets of each service, one in each domain."""


Trouble = collections.abc.Callable[
    [fleets.Fleet], collections.abc.Coroutine[None, None, None]
]


class _Scene:
    """Fleet with callers while some targets state something."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.fleet = fleets.Fleet(folder, HOSTS, random.Random(1))
        self.stated_ms = 0

    async def run(
        self,
        count: int,
        state: collections.abc.Callable[[targets.Target], None],
        is_store_down: bool = False,
        trouble: Trouble | None = None,
    ) -> list[ledgers.Outcome]:
        """Let targets state something and return what callers got then.

        Args:
            count: Targets of each service that state it.
            state: Lets a target state it from now on.
            is_store_down: Whether the store is down from then on.
            trouble: Disturbs the fleet then.
        """
        fleet = self.fleet
        tasks: list[asyncio.Task[None]] = []
        try:
            await fleet.start(TARGETS)
            await run.wait_until_ready(fleet)
            tasks = [
                asyncio.ensure_future(
                    callers.Caller(number, fleet, MAX_PAUSE_MS).run()
                )
                for number in range(CALLERS)
            ]
            await asyncio.sleep(bounds.CONVERGENCE_MS / 1_000)
            for service in fleets.SERVICES:
                named = [t for t in fleet.targets if t.service == service]
                for target in named[:count]:
                    state(target)
            if is_store_down:
                fleet.application.store.faults.is_down = True
            self.stated_ms = fleet.clock.now_ms
            if trouble is not None:
                await trouble(fleet)
            await asyncio.sleep(STATED_S)
        finally:
            for task in tasks:
                task.cancel()
            fleet.stop()
        ledger = fleet.ledger
        ledger.check_retries()
        return [
            ledger.outcome_by_id[item.request_id]
            for item in ledger.request_by_id.values()
            if item.request_id in ledger.outcome_by_id
            and item.expects_success
            and item.sent_ms - self.stated_ms > bounds.PAUSE_NOTICE_MS
        ]


def _assert_served(outcomes: list[ledgers.Outcome]) -> None:
    """Assert that callers are served where some targets have room."""
    unserved = sum(item.status != 200 for item in outcomes)
    allowed = bounds.UNSERVED_SLACK + bounds.UNSERVED_RATIO * len(outcomes)
    assert unserved <= allowed, f'of {len(outcomes)}'


def _leave(target: targets.Target) -> None:
    target.is_departure_stated = True


@pytest.mark.parametrize(
    ('count', 'is_store_down'), [(1, False), (2, True), (TARGETS, False)]
)
def test_leaving_targets_get_no_requests_while_listed_as_ready(
    tmp_path: pathlib.Path, count: int, is_store_down: bool
) -> None:
    """Guards against hosts that do not read what leaving targets state."""
    scene = _Scene(tmp_path)
    outcomes = asyncio.run(scene.run(count, _leave, is_store_down))
    assert scene.fleet.ledger.violations == []
    if count < TARGETS:
        _assert_served(outcomes)
    else:
        assert {item.status for item in outcomes} <= {200, 503}


async def _restore_and_kill(fleet: fleets.Fleet) -> None:
    """Restore the store from a copy, and kill some hosts before and after."""
    store = fleet.application.store
    copy = store.copy()
    for host in fleet.hosts[:2]:
        events.kill(fleet, host)
        fleet.spawn(host)
    fleet.write_configuration()
    await asyncio.sleep(1.0)
    store.restore(copy)
    now_ms = fleet.clock.now_ms
    fleet.disturb((ledgers.STORE,), now_ms, now_ms)
    await fleet.write_again()
    for host in fleet.hosts[2:4]:
        events.kill(fleet, host)
        fleet.spawn(host)


def test_departures_outlast_a_restore_and_restarts(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a departure that ends with what the store has lost."""
    scene = _Scene(tmp_path)
    asyncio.run(scene.run(2, _leave, trouble=_restore_and_kill))
    assert scene.fleet.ledger.violations == []


@pytest.mark.parametrize('retry_after', ['0.2', '3', '60'])
@pytest.mark.parametrize('count', [2, TARGETS])
def test_targets_that_ask_for_a_pause_get_one(
    tmp_path: pathlib.Path, count: int, retry_after: str
) -> None:
    """Guards against callers that are refused while other targets have room.

    Where no target has room, callers are told at once, and when to return.
    """
    scene = _Scene(tmp_path)
    pause_ms = int(float(retry_after) * 1_000)
    outcomes = asyncio.run(
        scene.run(count, lambda t: t.ask_for_pause(retry_after, pause_ms))
    )
    assert scene.fleet.ledger.violations == []
    if count < TARGETS:
        _assert_served(outcomes)
    else:
        assert all(item.status == 503 for item in outcomes)
