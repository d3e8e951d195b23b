"""Tests of quarantines in the store, for hosts that hear few peers."""

from __future__ import annotations

import typing

import anyio
import pytest

from tests.entry import fake_store
from wigeonhatch import clock as clocks
from wigeonhatch.entry import quarantine_store
from wigeonhatch.platform import names
from wigeonhatch.requests import quarantine
from wigeonhatch.standins import row_store

DEADLY = 7
KNOWN = frozenset(f'h{number}' for number in range(7))


class _Scene:
    """Store, and hosts that hear the given ones."""

    def __init__(self) -> None:
        self.clock = clocks.ManualClock()
        self.rows = row_store.RowStore()
        self.store = fake_store.FakeStore(self.rows)

    def build(
        self, host: str, live: frozenset[str]
    ) -> tuple[quarantine.QuarantineTable, quarantine_store.QuarantineStore]:
        """Build the quarantine of a host."""
        view = quarantine.HostView(live, KNOWN)
        table = quarantine.QuarantineTable(host, lambda: view, self.clock)
        return table, quarantine_store.QuarantineStore(
            host,
            typing.cast(typing.Any, self.store),
            table,
            lambda: view,
            self.clock,
        )

    def crash(self, table: quarantine.QuarantineTable, count: int) -> None:
        """Crash targets with the deadly request."""
        for number in range(count):
            table.on_crash(DEADLY, (f't{number}', 1))

    @property
    def keys(self) -> list[str]:
        """Keys of the rows in the store."""
        return [row['key'] for row in self.rows.rows(names.QUARANTINE_TABLE)]


def test_host_that_hears_no_peer_learns_of_a_quarantine() -> None:
    """Guards against a host that is cut off and crashes targets of its own."""
    scene = _Scene()
    hosts = [scene.build(name, KNOWN - {'h6'}) for name in sorted(KNOWN)[:6]]
    isolated, view = scene.build('h6', frozenset({'h6'}))
    for table, _ in hosts:
        scene.crash(table, quarantine.MAX_CRASHES)
    for _, other in hosts:
        anyio.run(other.run_once)
    assert len(scene.keys) == 1
    assert scene.store.list_calls == 0
    anyio.run(view.run_once)
    assert isolated.check(DEADLY) is not None


def test_calm_host_calls_the_store_once_a_minute() -> None:
    """Guards against calls that grow with the number of hosts."""
    scene = _Scene()
    views = [scene.build(name, KNOWN)[1] for name in KNOWN]
    for _ in range(90):
        scene.clock.advance(quarantine_store.INTERVAL_MS)
        for view in views:
            anyio.run(view.run_once)
    assert scene.store.list_calls == 1


def test_rows_end_with_the_quarantine() -> None:
    """Guards against rows that refuse requests which have been served."""
    scene = _Scene()
    table, view = scene.build('h0', frozenset({'h0'}))
    scene.crash(table, 1)
    anyio.run(view.run_once)
    assert len(scene.keys) == 1
    scene.clock.advance(10)
    table.on_served(DEADLY)
    anyio.run(view.run_once)
    assert scene.keys == []


def test_rows_of_hosts_that_have_gone_are_removed() -> None:
    """Guards against rows that stay for ever, and unreadable ones."""
    scene = _Scene()
    scene.rows.put(names.QUARANTINE_TABLE, 'x/h9', b'\xc1')
    table, view = scene.build('h0', frozenset({'h0'}))
    anyio.run(view.run_once)
    assert table.refused() == []
    views = [scene.build(name, KNOWN)[1] for name in KNOWN]
    scene.clock.advance(quarantine_store.PURGE_INTERVAL_MS)
    for other in views:
        anyio.run(other.run_once)
    assert scene.keys == []


@pytest.mark.parametrize('is_divided', [True, False])
def test_store_that_is_down_changes_nothing(is_divided: bool) -> None:
    """Guards against a quarantine that depends on the store."""
    scene = _Scene()
    live = frozenset({'h0'}) if is_divided else KNOWN
    table, view = scene.build('h0', live)
    scene.crash(table, quarantine.MAX_CRASHES)
    scene.store.is_down = True
    anyio.run(view.run_once)
    assert table.check(DEADLY) is not None
