"""Tests of following a table of the store."""

from __future__ import annotations

import random
import typing

import anyio

from tests.entry import fake_store
from wigeonhatch import clock as clocks
from wigeonhatch.entry import table_follower
from wigeonhatch.peers import row_share
from wigeonhatch.platform import store as stores
from wigeonhatch.standins import row_store


class _Record:
    """What a follower has reported."""

    def __init__(self) -> None:
        self.store = fake_store.FakeStore(row_store.RowStore())
        self.clock = clocks.ManualClock()
        self.snapshots: list[list[str]] = []
        self.changes: list[tuple[str, bool]] = []
        self.regained_ms: list[int] = []
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
            self.regained_ms.append,
            self.peer_grace_ms.append,
            lambda: self.is_reader,
            lambda: 7,
            self._fetch_from_peer,
            self.clock,
            random.Random(1),
        )

    async def _fetch_from_peer(
        self, table: str, last_change_version: int, after: int
    ) -> row_share.SharedRows | None:
        self.peer_calls.append(after)
        return self.peer_rows

    async def run_for(self, duration_s: float = 0.05) -> None:
        """Let the follower run."""
        with anyio.move_on_after(duration_s):
            await self.follower.run()


def test_rows_come_once_and_changes_in_order() -> None:
    """Guards against changes that are lost between reading and following."""

    async def scenario() -> None:
        record = _Record()
        record.store.rows.put('op', 'a', {})
        await record.run_for()
        record.store.rows.put('op', 'b', {})
        record.store.rows.put('other', 'x', {})
        record.store.rows.remove('op', 'a')
        await record.run_for()
        assert record.snapshots == [['a']]
        assert record.changes == [('b', False), ('a', True)]
        assert record.regained_ms == []

    anyio.run(scenario)


def test_lost_history_means_reading_again() -> None:
    """Guards against a follower that stays behind a dropped history."""

    async def scenario() -> None:
        record = _Record()
        await record.run_for()
        record.store.rows.put('op', 'a', {})
        record.store.rows.discard_history()
        await record.run_for()
        assert record.snapshots == [[], ['a']]

    anyio.run(scenario)


def test_outage_is_reported_with_its_length() -> None:
    """Guards against entries that count as gone after an outage."""

    async def scenario() -> None:
        record = _Record()
        await record.run_for()
        record.store.is_down = True
        before_ms = record.clock.now_ms
        await record.run_for()
        assert not record.follower.is_connected
        assert record.follower.followed_ms == 0
        record.store.is_down = False
        await record.run_for()
        assert record.follower.is_connected
        record.clock.advance(10)
        assert 0 < record.follower.followed_ms < record.clock.now_ms
        assert len(record.regained_ms) == 1
        assert 0 < record.regained_ms[0] <= record.clock.now_ms - before_ms

    anyio.run(scenario)


def test_failed_calls_are_spaced() -> None:
    """Guards against a host that floods a store that refuses it."""

    async def scenario() -> None:
        record = _Record()
        record.store.is_down = True
        started_ms = record.clock.now_ms
        with anyio.move_on_after(5):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(record.follower.run)
                while record.store.list_calls < 50:
                    await anyio.sleep(0)
                tasks.cancel_scope.cancel()
        elapsed_ms = record.clock.now_ms - started_ms
        assert elapsed_ms >= 45 * table_follower.MAX_BACKOFF_MS // 2

    anyio.run(scenario)


def test_change_that_a_peer_has_seen_is_fetched_at_once() -> None:
    """Guards against a host whose call for changes was swallowed.

    Calls that peers cause are spaced as well.
    """

    async def scenario() -> None:
        record = _Record()
        await record.run_for()
        record.store.is_unresponsive = True
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(record.follower.run)
            await anyio.sleep(0.02)
            version = record.store.rows.put('op', 'a', {})
            record.store.is_unresponsive = False
            record.clock.advance(table_follower.MIN_REFRESH_INTERVAL_MS)
            record.follower.on_peer_version(version)
            await anyio.sleep(0.02)
            assert record.changes == [('a', False)]
            assert record.follower.cache.last_change_version == version
            calls = record.store.follow_calls
            record.store.is_unresponsive = True
            await anyio.sleep(0.02)
            for _ in range(10):
                record.follower.on_peer_version(version + 1)
                await anyio.sleep(0)
            assert record.store.follow_calls <= calls + 2
            tasks.cancel_scope.cancel()

    anyio.run(scenario)


def test_rows_of_a_peer_replace_an_unreachable_store() -> None:
    """Guards against hosts that do not serve because they start in an outage.

    Older rows of a peer are not taken over.
    """

    async def scenario() -> None:
        record = _Record()
        record.store.is_down = True
        row = stores.StoredRow('a', b'{}', 5)
        record.peer_rows = row_share.SharedRows((row,), 7, True, 0)
        await record.run_for()
        assert record.snapshots == [['a']]
        assert (
            record.follower.cache.select_rows_after(0, 0) == record.peer_rows
        )
        record.peer_rows = row_share.SharedRows((), 6, True, 0)
        await record.run_for()
        assert record.snapshots == [['a']]
        record.store.is_down = False
        record.store.rows.version = 7
        record.store.rows.put('op', 'b', {})
        await record.run_for()
        assert record.changes == [('b', False)]

    anyio.run(scenario)


async def _follow_as_other(
    record: _Record, news: list[int], until_s: float = 0.05
) -> None:
    """Let a follower that has read the table run while a reader exists."""
    if record.follower.cache.version is None:
        await record.run_for()
    record.is_reader = False
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(record.follower.run)
        await anyio.sleep(0.02)
        for version in news:
            record.follower.on_peer_version(version)
            await anyio.sleep(0.02)
        await anyio.sleep(until_s)
        tasks.cancel_scope.cancel()


def test_only_readers_follow_the_store() -> None:
    """Guards against calls to the store that grow with the hosts."""

    async def scenario() -> None:
        record = _Record()
        await record.run_for()
        calls = record.store.follow_calls
        await _follow_as_other(record, [])
        assert record.store.follow_calls <= calls + 1
        assert record.follower.followed_ms == 0

    anyio.run(scenario)


def test_other_hosts_learn_changes_from_a_peer() -> None:
    """Guards against hosts that miss a change, or read all rows for it."""

    async def scenario() -> None:
        record = _Record()
        record.store.rows.put('op', 'a', {})
        row = stores.StoredRow('b', b'{}', 5)
        record.peer_rows = row_share.SharedRows((row,), 9, False, 700)
        await _follow_as_other(record, [5, 5])
        assert record.changes == [('b', False)]
        assert record.peer_calls == [1]
        assert record.peer_grace_ms == [700]
        assert record.follower.cache.version == 9
        assert set(record.follower.cache.select_rows_after(0, 0).rows) >= {row}

    anyio.run(scenario)


def test_rows_of_a_peer_start_no_grace() -> None:
    """Guards against removed targets that a refused host keeps for good.

    Each reading of a peer would start the time for which they are kept anew.
    """

    async def scenario() -> None:
        record = _Record()
        await record.run_for()
        record.store.is_down = True
        await record.run_for()
        for version in (5, 6):
            row = stores.StoredRow('b', b'', version, True)
            record.peer_rows = row_share.SharedRows((row,), version, False, 0)
            await _follow_as_other(record, [version])
        assert record.changes == [('b', True), ('b', True)]
        assert record.regained_ms == []
        assert record.peer_grace_ms == [0, 0]

    anyio.run(scenario)


def test_host_asks_the_store_when_its_peers_fail() -> None:
    """Guards against a change that is known of and never read."""

    async def scenario() -> None:
        record = _Record()
        await record.run_for()
        record.is_reader = False
        version = record.store.rows.put('op', 'b', {})
        await _follow_as_other(record, [version])
        assert ('b', False) in record.changes

    anyio.run(scenario)


def test_host_takes_over_from_a_lost_reader() -> None:
    """Guards against a failure domain in which nobody follows the store."""

    async def scenario() -> None:
        record = _Record()
        await record.run_for()
        record.is_reader = False
        record.store.rows.put('op', 'b', {})
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(record.follower.run)
            await anyio.sleep(0.02)
            assert record.changes == []
            record.is_reader = True
            await anyio.sleep(
                2 * table_follower.READER_CHECK_INTERVAL_MS / 1_000
            )
            tasks.cancel_scope.cancel()
        assert record.changes == [('b', False)]

    anyio.run(scenario)


def test_hosts_that_do_not_read_check_the_store() -> None:
    """Guards against a host that takes over though the store refuses it."""

    async def scenario() -> None:
        record = _Record()
        await record.run_for()
        record.is_reader = False
        record.store.is_down = True
        record.clock.advance(table_follower.STORE_PROBE_INTERVAL_MS)
        await record.run_for()
        assert not record.follower.is_connected

    anyio.run(scenario)
