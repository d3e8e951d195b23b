"""Planning of shift steps, as pure functions."""

from __future__ import annotations

import collections
import collections.abc
import fractions
import math

from wigeonhatch.steering import buckets as hash_buckets


def count_by_region(
    shares: collections.abc.Mapping[str, float],
) -> dict[str, int]:
    """Round shares to buckets by largest remainder.

    Args:
        shares: Percent for each region; only their ratios matter.

    Returns:
        Buckets for each region; they sum to `BUCKET_COUNT`. A tie of
        remainders goes to the region whose name sorts first.

    Raises:
        ValueError: The shares sum to zero.
    """
    # Decimal text keeps shares such as 33.3 exact, which floats do not.
    exact = {
        name: fractions.Fraction(str(share)) for name, share in shares.items()
    }
    total = sum(exact.values())
    if total <= 0:
        raise ValueError(f'shares sum to {total}')
    quota = {
        name: share * hash_buckets.BUCKET_COUNT / total
        for name, share in exact.items()
    }
    count = {name: math.floor(value) for name, value in quota.items()}
    missing = hash_buckets.BUCKET_COUNT - sum(count.values())
    by_remainder = sorted(
        quota, key=lambda name: (count[name] - quota[name], name)
    )
    for name in by_remainder[:missing]:
        count[name] += 1
    return count


def initial_split(
    shares: collections.abc.Mapping[str, float],
) -> tuple[str, ...]:
    """Compute the split of a service that has no stored split.

    Args:
        shares: Percent for each region.

    Returns:
        Region of each bucket; the same on every host for the same shares.
    """
    count = count_by_region(shares)
    return tuple(name for name in sorted(count) for _ in range(count[name]))


def plan_step(
    current: collections.abc.Sequence[str],
    shares: collections.abc.Mapping[str, float],
    cap: int,
) -> tuple[str, ...]:
    """Plan the next step from a split towards the shares.

    Moves the fewest buckets that reach the shares, or `cap` of them. Each
    move goes from the region with the largest surplus to the region with
    the largest deficit, so that an interrupted shift is spread evenly.

    Args:
        current: Region of each bucket.
        shares: Percent for each region.
        cap: Largest number of buckets to move.

    Returns:
        Region of each bucket after the step; equal to `current` if the
        shares are reached or the cap is 0.
    """
    excess = collections.Counter(current)
    excess.subtract(count_by_region(shares))
    buckets_by_region: dict[str, list[int]] = {}
    for bucket, name in enumerate(current):
        buckets_by_region.setdefault(name, []).append(bucket)
    planned = list(current)
    for _ in range(cap):
        donor = max(excess, key=lambda name: (excess[name], name))
        receiver = min(excess, key=lambda name: (excess[name], name))
        if excess[donor] <= 0:
            break
        planned[buckets_by_region[donor].pop()] = receiver
        excess[donor] -= 1
        excess[receiver] += 1
    return tuple(planned)
