"""Tests of stored splits."""

from __future__ import annotations

from tests.steering import examples
from wigeonhatch import clock as clocks
from wigeonhatch import outcome
from wigeonhatch.steering import split

BUCKETS = ('north',) * 400 + ('south',) * 600


def test_encoding_keeps_each_bucket() -> None:
    """Guards against a bucket whose region changes in encoding."""
    stored = split.StoredSplit('ledger', 4, 7, BUCKETS, 'change')
    decoded = split.decode(stored.encode(), 7)
    assert decoded == outcome.Success(stored)


def test_malformed_splits_are_refused() -> None:
    """Guards against a truncated row that leaves buckets without a region."""
    short = split.from_region_indexes('ledger', 0, 1, ['north'], bytes(999))
    outside = split.from_region_indexes(
        'ledger', 0, 1, ['north'], b'\1' * 1000
    )
    for result in (short, outside, split.decode(b'{}', 1)):
        assert isinstance(result, outcome.Failure)


def test_service_waits_for_its_stored_split() -> None:
    """Guards against starting with the final shares of an ongoing shift."""
    table = split.SplitTable(clocks.ManualClock())
    table.configure(examples.build_config())
    assert table.region('ledger', 0) is None
    table.offer(split.StoredSplit('ledger', 4, 7, BUCKETS))
    table.mark_loaded()
    assert table.in_force('ledger') == BUCKETS
    empty = split.SplitTable(clocks.ManualClock())
    empty.mark_loaded()
    empty.configure(examples.build_config())
    assert empty.region('ledger', 0) == 'central'


def test_host_that_missed_steps_catches_up_within_the_cap() -> None:
    """Guards against moves above the cap on rejoining and after a restart."""
    clock = clocks.ManualClock()
    table = split.SplitTable(clock)
    table.configure(examples.build_config())
    table.offer(split.StoredSplit('ledger', 1, 2, ('north',) * 1_000))
    table.offer(split.StoredSplit('ledger', 9, 10, BUCKETS))
    table.offer(split.StoredSplit('ledger', 8, 9, ('south',) * 1_000))
    pending = []
    for _ in range(4):
        table.advance()
        pending.append(table.count_pending('ledger'))
        clock.advance(7_501)
    assert pending == [600, 600, 550, 550]
    assert table.row_version_by_service == {'ledger': 10}
    assert table.violations == 0
