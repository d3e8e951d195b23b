"""Planning of shift steps: which buckets move to another region next."""

from __future__ import annotations

import collections
import collections.abc
import fractions
import math

from wigeonhatch.steering import buckets as hash_buckets


def allocate_buckets(
    shares: collections.abc.Mapping[str, float],
) -> dict[str, int]:
    """Allocate buckets to regions by the largest remainder method.

    Args:
        shares: Percent for each region; only their ratios matter.

    Returns:
        Number of buckets for each region; the sum is `BUCKET_COUNT`. Among
        equal remainders, the region whose name sorts first comes first.

    Raises:
        ValueError: The shares sum to zero.
    """
    # Fractions of decimal text are exact for 33.3 and such; floats are not.
    exact = {
        name: fractions.Fraction(str(share)) for name, share in shares.items()
    }
    total = sum(exact.values())
    if total <= 0:
        raise ValueError(f'shares must have a positive sum, got {total}')
    quota = {
        name: share * hash_buckets.BUCKET_COUNT / total
        for name, share in exact.items()
    }
    count = {name: math.floor(value) for name, value in quota.items()}
    unallocated = hash_buckets.BUCKET_COUNT - sum(count.values())
    by_remainder = sorted(
        quota, key=lambda name: (count[name] - quota[name], name)
    )
    for name in by_remainder[:unallocated]:
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
    count = allocate_buckets(shares)
    return tuple(name for name in sorted(count) for _ in range(count[name]))


def plan_step(
    current: collections.abc.Sequence[str],
    shares: collections.abc.Mapping[str, float],
    cap: int,
) -> tuple[str, ...]:
    """Plan the next step from a split towards the shares.

    Moves the minimum number of buckets that reaches the shares, up to `cap`.
    Each move goes from the region with the largest surplus to the region with
    the largest deficit, so that an interrupted shift is balanced.

    Args:
        current: Region of each bucket.
        shares: Percent for each region.
        cap: Maximum number of buckets to move.

    Returns:
        Region of each bucket after the step; equal to `current` if the
        shares are reached or the cap is 0.
    """
    surplus = collections.Counter(current)
    surplus.subtract(allocate_buckets(shares))
    buckets_by_region: dict[str, list[int]] = {}
    for bucket, name in enumerate(current):
        buckets_by_region.setdefault(name, []).append(bucket)
    planned = list(current)
    for _ in range(cap):
        source = max(surplus, key=lambda name: (surplus[name], name))
        destination = min(surplus, key=lambda name: (surplus[name], name))
        if surplus[source] <= 0:
            break
        planned[buckets_by_region[source].pop()] = destination
        surplus[source] -= 1
        surplus[destination] += 1
    return tuple(planned)
