"""Arithmetic on distributions of requests over regions."""

from __future__ import annotations

import collections.abc

Fractions = dict[str, float]
"""Fraction of the requests by region; they add up to 1."""


def normalize(
    weight_by_region: collections.abc.Mapping[str, float],
) -> Fractions:
    """Scale weights so that they add up to 1.

    Args:
        weight_by_region: Weights; negative ones count as 0.

    Returns:
        The distribution; empty if no weight is positive.
    """
    total = sum(weight for weight in weight_by_region.values() if weight > 0)
    if total <= 0:
        return {}
    return {
        region: weight / total
        for region, weight in weight_by_region.items()
        if weight > 0
    }


def mean_fractions(
    distributions: collections.abc.Sequence[Fractions],
) -> Fractions:
    """Mean of several distributions.

    Args:
        distributions: Distributions; at least one.
    """
    regions = {region for item in distributions for region in item}
    return {
        region: sum(item.get(region, 0.0) for item in distributions)
        / len(distributions)
        for region in sorted(regions)
    }


def step_towards(
    current: Fractions, planned: Fractions, max_step: float
) -> Fractions:
    """Move a distribution towards another one.

    Args:
        current: Present distribution.
        planned: Distribution to reach.
        max_step: Largest fraction that moves.
    """
    distance = distance_between(current, planned)
    if distance <= max_step:
        return dict(planned)
    ratio = max_step / distance
    return {
        region: current.get(region, 0.0)
        + ratio * (planned.get(region, 0.0) - current.get(region, 0.0))
        for region in {**planned, **current}
    }


def distance_between(
    first: collections.abc.Mapping[str, float],
    second: collections.abc.Mapping[str, float],
) -> float:
    """Fraction that moves between two distributions.

    Args:
        first: One distribution.
        second: The other one.
    """
    return (
        sum(
            abs(first.get(region, 0.0) - second.get(region, 0.0))
            for region in {**first, **second}
        )
        / 2
    )
