"""Tests of outages of the store, as a follower observes them."""

from __future__ import annotations

import anyio

from tests.entry import follower_harness
from wigeonhatch.entry import catalog as catalogs
from wigeonhatch.entry import table_follower
from wigeonhatch.peers import row_share
from wigeonhatch.platform import store as stores


def test_outage_is_reported_with_its_length() -> None:
    """Guards against removing entries that expired during an outage."""

    async def scenario() -> None:
        harness = follower_harness.FollowerHarness()
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


def test_rows_of_a_peer_start_no_grace_period() -> None:
    """Guards against removed targets that are retained forever.

    On a host that the store refuses, each fetch from a peer would otherwise
    restart the grace period.
    """

    async def scenario() -> None:
        harness = follower_harness.FollowerHarness()
        await harness.run_for()
        harness.store.is_down = True
        await harness.run_for()
        for version in (5, 6):
            row = stores.StoredRow('b', b'', version, True)
            harness.peer_rows = row_share.SharedRows((row,), version, False, 0)
            await follower_harness.run_as_non_reader(harness, [version])
        assert harness.changes == [('b', True), ('b', True)]
        assert harness.outages_ms == []
        assert harness.peer_grace_ms == [0, 0]

    anyio.run(scenario)


def test_pause_between_calls_is_no_outage() -> None:
    """Guards against a grace period long after an outage of the store.

    After its call has failed, a host follows its peers, and calls the store
    again only to probe it.
    """

    async def scenario() -> None:
        harness = follower_harness.FollowerHarness()
        await harness.run_for()
        harness.store.is_down = True
        await harness.run_for()
        await follower_harness.run_as_non_reader(harness, [])
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
        harness = follower_harness.FollowerHarness()
        await harness.run_for()
        harness.store.is_down = True
        await harness.run_for()
        harness.store.is_down = False
        harness.is_reader = False
        harness.clock.advance(table_follower.MAX_OUTAGE_GAP_MS + 1)
        version = harness.store.rows.put('op', 'b', {})
        await follower_harness.run_as_non_reader(harness, [version])
        assert harness.changes == [('b', False)]
        assert harness.outages_ms == []

    anyio.run(scenario)


def test_outages_on_both_sides_of_a_pause_are_two() -> None:
    """Guards against a probe in an outage that counts the time before it."""

    async def scenario() -> None:
        harness = follower_harness.FollowerHarness()
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
