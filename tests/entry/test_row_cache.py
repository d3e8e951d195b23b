"""Tests of the rows that a host keeps for itself and its peers."""

from __future__ import annotations

import pytest

from wigeonhatch.entry import row_cache
from wigeonhatch.platform import store as stores


def row(key: str, version: int, is_deleted: bool = False) -> stores.StoredRow:
    """Build one row."""
    return stores.StoredRow(key, b'{}', version, is_deleted)


def test_peer_gets_changes_and_deletions_alone() -> None:
    """Guards against whole tables that are sent for each change."""
    cache = row_cache.RowCache()
    cache.replace([row('a', 3), row('b', 4)], 10)
    cache.apply_changes([row('c', 11), row('a', 12, True)], 13)
    shared = cache.select_rows_after(11, 0)
    assert not shared.is_whole
    assert shared.rows == (row('a', 12, True),)
    assert shared.version == 13
    assert cache.last_change_version == 12
    assert cache.select_rows_after(13, 0).rows == ()


def test_peer_gets_the_last_change_of_a_row() -> None:
    """Guards against answers that grow with the changes of few rows."""
    cache = row_cache.RowCache()
    cache.replace([], 10)
    cache.apply_changes([row('a', 11), row('b', 12), row('a', 13, True)], 13)
    assert set(cache.select_rows_after(10, 0).rows) == {
        row('b', 12),
        row('a', 13, True),
    }


def test_peer_that_is_far_behind_gets_all_rows() -> None:
    """Guards against deletions that a peer never hears of."""
    cache = row_cache.RowCache()
    cache.replace([row('a', 3)], 10)
    assert cache.select_rows_after(9, 0).is_whole
    for version in range(11, 11 + row_cache.MAX_CHANGES):
        cache.apply_changes([row('b', version)], version)
    assert not cache.select_rows_after(10, 0).is_whole
    cache.apply_changes([row('a', 5_000, True)], 5_000)
    shared = cache.select_rows_after(10, 0)
    assert shared.is_whole
    assert [item.key for item in shared.rows] == ['b']


def test_row_that_is_gone_after_reading_again_is_a_change() -> None:
    """Guards against peers that keep a target deleted in a lost history.

    They ask for rows only when somebody has seen a newer change.
    """
    cache = row_cache.RowCache()
    cache.replace([row('a', 3), row('b', 4)], 10)
    assert cache.last_change_version == 4
    cache.replace([row('a', 3), row('b', 4)], 12)
    assert cache.last_change_version == 4
    cache.replace([row('b', 4)], 15)
    assert cache.last_change_version == 15


def test_table_that_was_not_read_is_not_shared() -> None:
    """Guards against an empty table that a peer takes for the whole one."""
    with pytest.raises(ValueError):
        row_cache.RowCache().select_rows_after(0, 0)
