"""Tests of following a store table."""

from __future__ import annotations

import random
import typing

import anyio

from tests.entry import fake_store
from wigeonhatch import clock as clocks
from wigeonhatch.entry import catalog as catalogs
from wigeonhatch.entry import table_follower
from wigeonhatch.peers import row_share
from wigeonhatch.platform import store as stores
from wigeonhatch.standins import row_store


class _FollowerHarness:
    """Follower of a fake store; records what it reports."""

    def __init__(self) -> None:
        self.store = fake_store.FakeStore(row_store.RowStore())
        self.clock = clocks.ManualClock()
        self.snapshots: list[list[str]] = []
        self.changes: list[tuple[str, bool]] = []
        self.outages_ms: list[int] = []
        self.restores: list[int] = []
        self.peer_rows: row_share.SharedRows | None = None
        self.peer_calls: list[int] = []
        self.peer_grace_ms: list[int] = []
        self.is_reader = True
        self.follower = table_follower.TableFollower(
            typing.cast(typing.Any, self.store),
            'op',
            lambda rows: self.snapshots.append([row.key for row in rows]),
            lambda rows: self.changes.extend(
                (row.key, row.is_deleted) for row in rows
            ),
            self.outages_ms.append,
            lambda: self.restores.append(len(self.snapshots)),
            self.peer_grace_ms.append,
            lambda: self.is_reader,
            lambda: 7,
            self._fetch_from_peer,
            self.clock,
            random.Random(1),
        )

    async def _fetch_from_peer(
        self, table: str, change_version: int, after: int
    ) -> row_share.SharedRows | None:
        self.peer_calls.append(after)
        return self.peer_rows

    async def run_for(self, duration_s: float = 0.05) -> None:
        """Let the follower run."""
        with anyio.move_on_after(duration_s):
            await self.follower.run()


def test_snapshot_is_read_once_and_changes_follow_in_order() -> None:
    """Guards against changes lost between the snapshot and the first poll."""

    async def scenario() -> None:
        harness = _FollowerHarness()
        harness.store.rows.put('op', 'a', {})
        await harness.run_for()
        harness.store.rows.put('op', 'b', {})
        harness.store.rows.put('other', 'x', {})
        harness.store.rows.remove('op', 'a')
        await harness.run_for()
        assert harness.snapshots == [['a']]
        assert harness.changes == [('b', False), ('a', True)]
        assert harness.outages_ms == []

    anyio.run(scenario)


def test_lost_history_causes_a_new_snapshot() -> None:
    """Guards against a follower that never recovers from a lost history."""

    async def scenario() -> None:
        harness = _FollowerHarness()
        await harness.run_for()
        harness.store.rows.put('op', 'a', {})
        harness.store.rows.discard_history()
        await harness.run_for()
        assert harness.snapshots == [[], ['a']]

    anyio.run(scenario)


def test_outage_is_reported_with_its_length() -> None:
    """Guards against removing entries that expired during an outage."""

    async def scenario() -> None:
        harness = _FollowerHarness()
        await harness.run_for()
        harness.store.is_down = True
        before_ms = harness.clock.now_ms
        await harness.run_for()
        assert not harness.follower.is_connected
        assert harness.follower.followed_ms == 0
        harness.store.is_down = False
        await harness.run_for()
        assert harness.follower.is_connected
        harness.clock.advance(10)
        assert 0 < harness.follower.followed_ms < harness.clock.now_ms
        assert len(harness.outages_ms) == 1
        assert 0 < harness.outages_ms[0] <= harness.clock.now_ms - before_ms

    anyio.run(scenario)


def test_failed_calls_back_off() -> None:
    """Guards against a host that floods a failing store."""

    async def scenario() -> None:
        harness = _FollowerHarness()
        harness.store.is_down = True
        started_ms = harness.clock.now_ms
        with anyio.move_on_after(5):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(harness.follower.run)
                while harness.store.list_calls < 50:
                    await anyio.sleep(0)
                tasks.cancel_scope.cancel()
        elapsed_ms = harness.clock.now_ms - started_ms
        assert elapsed_ms >= 45 * table_follower.MAX_BACKOFF_MS // 2

    anyio.run(scenario)


def test_change_received_by_a_peer_is_fetched_at_once() -> None:
    """Guards against a host whose long poll is never answered.

    Calls triggered by peers are rate-limited as well.
    """

    async def scenario() -> None:
        harness = _FollowerHarness()
        await harness.run_for()
        harness.store.is_unresponsive = True
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(harness.follower.run)
            await anyio.sleep(0.02)
            version = harness.store.rows.put('op', 'a', {})
            harness.store.is_unresponsive = False
            harness.clock.advance(table_follower.MIN_REFRESH_MS)
            harness.follower.on_peer_version(version)
            await anyio.sleep(0.02)
            assert harness.changes == [('a', False)]
            assert harness.follower.cache.change_version == version
            calls = harness.store.follow_calls
            harness.store.is_unresponsive = True
            await anyio.sleep(0.02)
            for _ in range(10):
                harness.follower.on_peer_version(version + 1)
                await anyio.sleep(0)
            assert harness.store.follow_calls <= calls + 2
            tasks.cancel_scope.cancel()

    anyio.run(scenario)


def test_rows_of_a_peer_replace_an_unreachable_store() -> None:
    """Guards against hosts that cannot serve because they start in an outage.

    Older rows of a peer are ignored.
    """

    async def scenario() -> None:
        harness = _FollowerHarness()
        harness.store.is_down = True
        row = stores.StoredRow('a', b'{}', 5)
        harness.peer_rows = row_share.SharedRows((row,), 7, True, 0)
        await harness.run_for()
        assert harness.snapshots == [['a']]
        assert harness.follower.cache.select_after(0, 0) == harness.peer_rows
        harness.peer_rows = row_share.SharedRows((), 6, True, 0)
        await harness.run_for()
        assert harness.snapshots == [['a']]
        harness.store.is_down = False
        harness.store.rows.version = 7
        harness.store.rows.put('op', 'b', {})
        await harness.run_for()
        assert harness.changes == [('b', False)]

    anyio.run(scenario)


async def _run_as_non_reader(
    harness: _FollowerHarness, peer_versions: list[int], delay_s: float = 0.05
) -> None:
    """Run a follower that has read the table while another host is reader."""
    if harness.follower.cache.version is None:
        await harness.run_for()
    harness.is_reader = False
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(harness.follower.run)
        await anyio.sleep(0.02)
        for version in peer_versions:
            harness.follower.on_peer_version(version)
            await anyio.sleep(0.02)
        await anyio.sleep(delay_s)
        tasks.cancel_scope.cancel()


def test_only_readers_follow_the_store() -> None:
    """Guards against store calls that grow with the number of hosts."""

    async def scenario() -> None:
        harness = _FollowerHarness()
        await harness.run_for()
        calls = harness.store.follow_calls
        await _run_as_non_reader(harness, [])
        assert harness.store.follow_calls <= calls + 1
        assert harness.follower.followed_ms == 0

    anyio.run(scenario)


def test_non_readers_fetch_changes_from_a_peer() -> None:
    """Guards against non-readers that miss a change or read all rows."""

    async def scenario() -> None:
        harness = _FollowerHarness()
        harness.store.rows.put('op', 'a', {})
        row = stores.StoredRow('b', b'{}', 5)
        harness.peer_rows = row_share.SharedRows((row,), 9, False, 700)
        await _run_as_non_reader(harness, [5, 5])
        assert harness.changes == [('b', False)]
        assert harness.peer_calls == [1]
        assert harness.peer_grace_ms == [700]
        assert harness.follower.cache.version == 9
        assert set(harness.follower.cache.select_after(0, 0).rows) >= {row}

    anyio.run(scenario)


def test_rows_of_a_peer_start_no_grace_period() -> None:
    """Guards against removed targets that are retained forever.

    On a host that the store refuses, each fetch from a peer would otherwise
    restart the grace period.
    """

    async def scenario() -> None:
        harness = _FollowerHarness()
        await harness.run_for()
        harness.store.is_down = True
        await harness.run_for()
        for version in (5, 6):
            row = stores.StoredRow('b', b'', version, True)
            harness.peer_rows = row_share.SharedRows((row,), version, False, 0)
            await _run_as_non_reader(harness, [version])
        assert harness.changes == [('b', True), ('b', True)]
        assert harness.outages_ms == []
        assert harness.peer_grace_ms == [0, 0]

    anyio.run(scenario)


def test_non_reader_calls_the_store_when_its_peers_fail() -> None:
    """Guards against an announced change that is never read."""

    async def scenario() -> None:
        harness = _FollowerHarness()
        await harness.run_for()
        harness.is_reader = False
        version = harness.store.rows.put('op', 'b', {})
        await _run_as_non_reader(harness, [version])
        assert ('b', False) in harness.changes

    anyio.run(scenario)


def test_host_becomes_reader_after_a_reader_is_lost() -> None:
    """Guards against a failure domain without a reader."""

    async def scenario() -> None:
        harness = _FollowerHarness()
        await harness.run_for()
        harness.is_reader = False
        harness.store.rows.put('op', 'b', {})
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(harness.follower.run)
            await anyio.sleep(0.02)
            assert harness.changes == []
            harness.is_reader = True
            await anyio.sleep(
                2 * table_follower.READER_CHECK_INTERVAL_MS / 1_000
            )
            tasks.cancel_scope.cancel()
        assert harness.changes == [('b', False)]

    anyio.run(scenario)


def test_non_readers_probe_the_store() -> None:
    """Guards against electing a reader that the store refuses."""

    async def scenario() -> None:
        harness = _FollowerHarness()
        await harness.run_for()
        harness.is_reader = False
        harness.store.is_down = True
        harness.clock.advance(table_follower.PROBE_INTERVAL_MS)
        await harness.run_for()
        assert not harness.follower.is_connected

    anyio.run(scenario)


def test_pause_between_calls_is_no_outage() -> None:
    """Guards against a grace period long after an outage of the store.

    After its call has failed, a host follows its peers, and calls the store
    again only to probe it.
    """

    async def scenario() -> None:
        harness = _FollowerHarness()
        await harness.run_for()
        harness.store.is_down = True
        await harness.run_for()
        await _run_as_non_reader(harness, [])
        harness.store.is_down = False
        harness.clock.advance(table_follower.PROBE_INTERVAL_MS)
        await harness.run_for()
        assert harness.follower.is_connected
        assert all(
            outage_ms <= catalogs.MIN_OUTAGE_MS
            for outage_ms in harness.outages_ms
        )

    anyio.run(scenario)


def test_call_after_peers_failed_ends_no_outage() -> None:
    """Guards against a grace period when a host turns from peers to the store.

    The host follows its peers after an outage until they do not respond.
    """

    async def scenario() -> None:
        harness = _FollowerHarness()
        await harness.run_for()
        harness.store.is_down = True
        await harness.run_for()
        harness.store.is_down = False
        harness.is_reader = False
        harness.clock.advance(table_follower.MAX_OUTAGE_GAP_MS + 1)
        version = harness.store.rows.put('op', 'b', {})
        await _run_as_non_reader(harness, [version])
        assert harness.changes == [('b', False)]
        assert harness.outages_ms == []

    anyio.run(scenario)


def test_outages_on_both_sides_of_a_pause_are_two() -> None:
    """Guards against a probe in an outage that counts the time before it."""

    async def scenario() -> None:
        harness = _FollowerHarness()
        await harness.run_for()
        harness.store.is_down = True
        await harness.run_for()
        harness.clock.advance(table_follower.PROBE_INTERVAL_MS)
        second_ms = harness.clock.now_ms
        await harness.run_for()
        harness.store.is_down = False
        await harness.run_for()
        assert len(harness.outages_ms) == 1
        assert harness.outages_ms[0] <= harness.clock.now_ms - second_ms

    anyio.run(scenario)


def test_no_pause_alone_starts_a_grace_period() -> None:
    """Guards against a pause that counts as an outage of the store."""
    assert table_follower.MAX_OUTAGE_GAP_MS < catalogs.MIN_OUTAGE_MS


def test_changes_after_a_restore_are_announced_and_fetched() -> None:
    """Guards against versions of two histories that count as the same."""

    async def scenario() -> None:
        harness = _FollowerHarness()
        rows = harness.store.rows
        rows.put('op', 'a', {})
        copy = rows.copy()
        rows.put('op', 'lost', {})
        await harness.run_for()
        version = harness.follower.cache.change_version
        rows.restore(copy)
        rows.put('op', 'b', {})
        await harness.run_for()
        assert harness.snapshots == [['a', 'lost'], ['a', 'b']]
        assert harness.restores == [1]
        assert harness.follower.cache.change_version > version
        delta = harness.follower.cache.select_after(version, 0)
        assert delta.is_whole

    anyio.run(scenario)
