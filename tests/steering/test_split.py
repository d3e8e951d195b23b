"""Tests of stored splits."""

from __future__ import annotations

from wigeonhatch import outcome
from wigeonhatch.steering import split

BUCKETS = ('north',) * 400 + ('south',) * 600


def test_encoding_keeps_each_bucket() -> None:
    """Guards against a bucket that changes region on its way."""
    stored = split.StoredSplit('ledger', 4, 7, BUCKETS, 'change')
    decoded = split.decode(stored.encode(), 7)
    assert decoded == outcome.Success(stored)


def test_malformed_splits_are_refused() -> None:
    """Guards against a truncated row that leaves buckets without region."""
    short = split.from_index('ledger', 0, 1, ['north'], bytes(999))
    outside = split.from_index('ledger', 0, 1, ['north'], b'\1' * 1000)
    for result in (short, outside, split.decode(b'{}', 1)):
        assert isinstance(result, outcome.Failure)
