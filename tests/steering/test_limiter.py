"""Tests of the sliding-window limit on moved buckets."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from wigeonhatch import clock as clocks
from wigeonhatch.config import model
from wigeonhatch.steering import limiter

CAP = model.Cap(percent=2.5, interval_ms=1_000)
WINDOW_MS = 6_000


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 7_000), strategies.integers(0, 40)
        ),
        max_size=60,
    )
)
def test_no_window_exceeds_the_cap(
    attempts: list[tuple[int, int]],
) -> None:
    """Guards against bursts across two windows, also after pauses."""
    clock = clocks.ManualClock()
    limit = limiter.ShiftLimiter(clock, CAP)
    moves: list[tuple[int, int]] = []
    for pause_ms, requested in attempts:
        clock.advance(pause_ms)
        moves.append((clock.now_ms, limit.acquire(requested)))
    for start_ms, _ in moves:
        window = range(start_ms, start_ms + WINDOW_MS + 1)
        assert sum(count for ms, count in moves if ms in window) <= 25
    assert limit.violations == 0


def test_a_longer_interval_counts_earlier_moves() -> None:
    """Guards against using the cap twice when the interval is lengthened."""
    clock = clocks.ManualClock()
    limit = limiter.ShiftLimiter(clock, CAP)
    assert limit.acquire(25) == 25
    clock.advance(WINDOW_MS + 1)
    assert limit.available == 25
    limit.configure(model.Cap(percent=2.5, interval_ms=60_000))
    assert limit.acquire(1) == 0
    clock.advance(60_000)
    assert limit.acquire(30) == 25


def test_a_corrupted_count_is_refused_and_counted() -> None:
    """Guards against a cap that is not checked at run time."""
    limit = limiter.ShiftLimiter(clocks.ManualClock(), CAP)
    assert limit.acquire(20) == 20
    limit._used_moves = 0
    assert limit.acquire(20) == 0
    assert limit.violations == 1


def test_caps_are_rounded_down() -> None:
    """Guards against rounding that exceeds the cap."""
    for percent, count in ((0.05, 0), (0.29, 2), (1.1, 11), (100.0, 1_000)):
        cap = model.Cap(percent=percent, interval_ms=1)
        assert limiter.buckets_per_window(cap) == count
