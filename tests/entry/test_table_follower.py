"""Tests of following a store table."""

from __future__ import annotations

import anyio

from tests.entry import follower_harness
from wigeonhatch.entry import table_follower
from wigeonhatch.peers import row_share
from wigeonhatch.platform import store as stores


def test_snapshot_is_read_once_and_changes_follow_in_order() -> None:
    """Guards against changes lost between the snapshot and the first poll."""

    async def scenario() -> None:
        harness = follower_harness.FollowerHarness()
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
        harness = follower_harness.FollowerHarness()
        await harness.run_for()
        harness.store.rows.put('op', 'a', {})
        harness.store.rows.discard_history()
        await harness.run_for()
        assert harness.snapshots == [[], ['a']]

    anyio.run(scenario)


def test_failed_calls_back_off() -> None:
    """Guards against a host that floods a failing store."""

    async def scenario() -> None:
        harness = follower_harness.FollowerHarness()
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
        harness = follower_harness.FollowerHarness()
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
        harness = follower_harness.FollowerHarness()
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


def test_rows_that_leave_a_gap_are_not_taken() -> None:
    """Guards against a version above a row that was never applied.

    A peer sends what changed since the last state that it heard. The host may
    hold less: it has started again, from a copy or a peer that is behind.
    """

    async def scenario() -> None:
        harness = follower_harness.FollowerHarness()
        harness.store.rows.put('op', 'a', {})
        await harness.run_for()
        follower = harness.follower
        version = follower.cache.version
        assert version is not None
        rows = (stores.StoredRow('c', b'{}', version + 2),)
        delta = row_share.SharedRows(rows, version + 2, False, 0)
        follower.on_rows_of_peer(row_share.SentRows(version + 1, delta))
        assert follower.cache.version == version
        assert harness.changes == []
        follower.on_rows_of_peer(row_share.SentRows(version, delta))
        assert follower.cache.version == version + 2
        assert harness.changes == [('c', False)]
        follower.on_rows_of_peer(row_share.SentRows(version, delta))
        assert harness.changes == [('c', False)]
        whole = row_share.SharedRows(rows, version + 3, True, 0)
        follower.on_rows_of_peer(row_share.SentRows(version + 9, whole))
        assert harness.snapshots[-1] == ['c']

    anyio.run(scenario)


def test_only_readers_follow_the_store() -> None:
    """Guards against store calls that grow with the number of hosts."""

    async def scenario() -> None:
        harness = follower_harness.FollowerHarness()
        await harness.run_for()
        calls = harness.store.follow_calls
        await follower_harness.run_as_non_reader(harness, [])
        assert harness.store.follow_calls <= calls + 1
        assert harness.follower.followed_ms == 0

    anyio.run(scenario)


def test_non_readers_fetch_changes_from_a_peer() -> None:
    """Guards against non-readers that miss a change or read all rows."""

    async def scenario() -> None:
        harness = follower_harness.FollowerHarness()
        harness.store.rows.put('op', 'a', {})
        row = stores.StoredRow('b', b'{}', 5)
        harness.peer_rows = row_share.SharedRows((row,), 9, False, 700)
        await follower_harness.run_as_non_reader(harness, [5, 5])
        assert harness.changes == [('b', False)]
        assert harness.peer_calls == [1]
        assert harness.peer_grace_ms == [700]
        assert harness.follower.cache.version == 9
        assert set(harness.follower.cache.select_after(0, 0).rows) >= {row}

    anyio.run(scenario)


def test_non_reader_calls_the_store_when_its_peers_fail() -> None:
    """Guards against an announced change that is never read."""

    async def scenario() -> None:
        harness = follower_harness.FollowerHarness()
        await harness.run_for()
        harness.is_reader = False
        version = harness.store.rows.put('op', 'b', {})
        await follower_harness.run_as_non_reader(harness, [version])
        assert ('b', False) in harness.changes

    anyio.run(scenario)


def test_host_becomes_reader_after_a_reader_is_lost() -> None:
    """Guards against a failure domain without a reader."""

    async def scenario() -> None:
        harness = follower_harness.FollowerHarness()
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
        harness = follower_harness.FollowerHarness()
        await harness.run_for()
        harness.is_reader = False
        harness.store.is_down = True
        harness.clock.advance(table_follower.PROBE_INTERVAL_MS)
        await harness.run_for()
        assert not harness.follower.is_connected

    anyio.run(scenario)


def test_changes_after_a_restore_are_announced_and_fetched() -> None:
    """Guards against versions of two histories that count as the same."""

    async def scenario() -> None:
        harness = follower_harness.FollowerHarness()
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
