"""Tests of the cache of store rows and the deltas for peers."""

from __future__ import annotations

import pytest

from wigeonhatch.entry import row_cache
from wigeonhatch.platform import store as stores


def row(key: str, version: int, is_deleted: bool = False) -> stores.StoredRow:
    """Build one row."""
    return stores.StoredRow(key, b'{}', version, is_deleted)


def test_peer_gets_only_changes_and_deletions() -> None:
    """Guards against sending the whole table for each change."""
    cache = row_cache.RowCache()
    cache.replace([row('a', 3), row('b', 4)], 10)
    cache.apply_changes([row('c', 11), row('a', 12, True)], 13)
    shared = cache.select_after(11, 0)
    assert not shared.is_whole
    assert shared.rows == (row('a', 12, True),)
    assert shared.version == 13
    assert cache.change_version == 12
    assert cache.select_after(13, 0).rows == ()


def test_peer_gets_the_last_change_of_a_row() -> None:
    """Guards against responses that grow with repeated changes of a row."""
    cache = row_cache.RowCache()
    cache.replace([], 10)
    cache.apply_changes([row('a', 11), row('b', 12), row('a', 13, True)], 13)
    assert set(cache.select_after(10, 0).rows) == {
        row('b', 12),
        row('a', 13, True),
    }


def test_peer_far_behind_gets_a_snapshot() -> None:
    """Guards against deletions that a peer never receives."""
    cache = row_cache.RowCache()
    cache.replace([row('a', 3)], 10)
    assert cache.select_after(9, 0).is_whole
    for version in range(11, 11 + row_cache.MAX_CHANGES):
        cache.apply_changes([row('b', version)], version)
    assert not cache.select_after(10, 0).is_whole
    cache.apply_changes([row('a', 5_000, True)], 5_000)
    shared = cache.select_after(10, 0)
    assert shared.is_whole
    assert [item.key for item in shared.rows] == ['b']


def test_row_missing_from_a_new_snapshot_is_a_change() -> None:
    """Guards against peers that retain a row deleted in a lost history.

    Peers fetch rows only when a host reports a newer change.
    """
    cache = row_cache.RowCache()
    cache.replace([row('a', 3), row('b', 4)], 10)
    assert cache.change_version == 4
    cache.replace([row('a', 3), row('b', 4)], 12)
    assert cache.change_version == 4
    cache.replace([row('b', 4)], 15)
    assert cache.change_version == 15


def test_late_response_does_not_undo_newer_rows() -> None:
    """Guards against a call whose response arrives after rows of a peer."""
    cache = row_cache.RowCache()
    cache.replace([row('a', 3), row('b', 4)], 10)
    newer = [row('a', 13), row('b', 14, True)]
    assert cache.apply_changes(newer, 14) == newer
    late = [row('a', 11), row('b', 12), row('c', 15)]
    assert cache.apply_changes(late, 15) == [row('c', 15)]
    assert cache.select_after(9, 0).rows == (row('a', 13), row('c', 15))
    assert cache.version == 15


def test_unread_table_is_not_shared() -> None:
    """Guards against a peer that accepts an unread table as an empty one."""
    with pytest.raises(ValueError):
        row_cache.RowCache().select_after(0, 0)
