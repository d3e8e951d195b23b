"""Tests of the planning of shift steps."""

from __future__ import annotations

import collections
import fractions

import hypothesis
from hypothesis import strategies

from wigeonhatch.steering import step

NAMES = ('central', 'north', 'south', 'west')
WEIGHTS = strategies.lists(
    strategies.integers(0, 10_000), min_size=4, max_size=4
).filter(any)


def _shares(weights: list[int]) -> dict[str, float]:
    return dict(zip(NAMES, (weight / 100 for weight in weights)))


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(WEIGHTS)
def test_rounding_keeps_each_region_within_one_bucket(
    weights: list[int],
) -> None:
    """Guards against rounding that loses buckets or favours a region."""
    count = step.allocate_buckets(_shares(weights))
    assert sum(count.values()) == 1_000
    for name, weight in zip(NAMES, weights):
        exact = fractions.Fraction(weight * 1_000, sum(weights))
        assert abs(count[name] - exact) < 1


@hypothesis.settings(derandomize=True, deadline=None, max_examples=50)
@hypothesis.given(
    strategies.lists(
        strategies.sampled_from(NAMES), min_size=1_000, max_size=1_000
    ),
    WEIGHTS,
    strategies.integers(1, 400),
)
def test_step_moves_the_fewest_buckets(
    current: list[str], weights: list[int], cap: int
) -> None:
    """Guards against steps above the cap and against needless moves."""
    shares = _shares(weights)
    allocated = collections.Counter(step.allocate_buckets(shares))
    needed = (collections.Counter(current) - allocated).total()
    planned = step.plan_step(current, shares, cap)
    moved = sum(old != new for old, new in zip(current, planned))
    assert moved == min(cap, needed)
    remaining = (collections.Counter(planned) - allocated).total()
    assert remaining == needed - moved


def test_a_shift_ends() -> None:
    """Guards against steps that move buckets back and forth."""
    split = step.initial_split({'north': 100.0})
    shares = {'north': 33.3, 'central': 33.3, 'south': 33.4}
    for _ in range(14):
        split = step.plan_step(split, shares, 50)
    assert collections.Counter(split) == step.allocate_buckets(shares)
    assert step.plan_step(split, shares, 50) == split
