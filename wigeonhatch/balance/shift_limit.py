"""Distribution of all requests of a region, which moves within a cap."""

from __future__ import annotations

import collections.abc
import random

from wigeonhatch.balance import _distributions

WINDOW_MS = 2_000
"""Window to which the operators' cap on shifts applies."""
ADJUST_INTERVAL_MS = 500
"""Interval of the steps in which the distribution moves."""
CAP_FRACTION = 0.6
"""Fraction of the cap that the steps of a window use; the rest allows for
random variations of the traffic."""
_DEVIATION = 0.03
"""Deviation that a split's choices may cause, as a fraction of the requests of
a window, within the limits below."""
_MIN_DEVIATION = 1.0
_MAX_DEVIATION = 3.0
_OVERFLOW_DEVIATION = 0.01
"""Deviation that overflow may cause, as a fraction of the requests of a
window; all hosts deviate in the same direction if a region is full."""
_MIN_OVERFLOW = 0.5
_CORRECTION = 0.3
"""Change of a region's fraction for each request that it is owed."""
_SMOOTHING = 0.3
"""Smoothing factor of the requests per window; averages about 1.5 s."""

Fractions = _distributions.Fractions


class ShiftLimit:
    """Keep the regions of a host's requests close to a shared distribution.

    The distribution starts from what the peers of the region use, and moves
    in bounded steps. All hosts of the region follow it closely, so that the
    sum of their requests does as well, whatever each of them receives.

    `fraction_by_region` is empty before the first request.

    Args:
        max_shift: Largest fraction of the requests that may change their
            region from one window to the next.
        rng: Source of randomness.
    """

    def __init__(self, max_shift: float, rng: random.Random) -> None:
        self.max_shift = max_shift
        self.fraction_by_region: Fractions = {}
        self._rng = rng
        self._credit_by_region: Fractions = {}
        self._requests_per_window = 0.0
        self._new_requests = 0

    @property
    def max_step(self) -> float:
        """Largest fraction that moves in one step."""
        return self.max_shift * CAP_FRACTION * ADJUST_INTERVAL_MS / WINDOW_MS

    def start(self, fraction_by_region: Fractions) -> None:
        """Set the distribution before the first request.

        Args:
            fraction_by_region: Distribution of the peers or the planned one.
        """
        self.fraction_by_region = dict(fraction_by_region)
        # Hosts that start together would otherwise all send their first
        # request to the same region.
        for region in fraction_by_region:
            self._credit_by_region[region] = self._rng.uniform(-0.5, 0.5)

    def move(
        self,
        planned: Fractions,
        peers: collections.abc.Sequence[Fractions],
        lost: Fractions,
    ) -> None:
        """Move the distribution one step towards the plan.

        Args:
            planned: Distribution to reach; empty if there is no plan.
            peers: Distributions that the peers of the region use.
            lost: Fraction to move out of each region at once, because the
                slots that served it are lost.
        """
        mean = _distributions.mean_fractions([self.fraction_by_region, *peers])
        # Windows before and after a pause may be adjacent.
        wanted = planned if planned and self._new_requests else mean
        goal = _distributions.step_towards(mean, wanted, self.max_step)
        self.fraction_by_region = _distributions.step_towards(
            self.fraction_by_region, goal, self.max_step
        )
        if lost:
            self._leave(lost, planned)
        self._requests_per_window += _SMOOTHING * (
            self._new_requests * WINDOW_MS / ADJUST_INTERVAL_MS
            - self._requests_per_window
        )
        self._new_requests = 0

    def correct(self, fraction_by_region: Fractions) -> Fractions:
        """Adapt a service's fractions to what the regions are owed.

        Args:
            fraction_by_region: Fractions that the service plans.

        Returns:
            Corrected fractions of the same regions.
        """
        corrected = {
            region: fraction
            + _CORRECTION * self._credit_by_region.get(region, 0.0)
            for region, fraction in fraction_by_region.items()
        }
        return _distributions.normalize(corrected) or fraction_by_region

    def allows(
        self,
        region: str,
        regions: collections.abc.Set[str],
        is_overflow: bool,
    ) -> bool:
        """Tell whether a request may be sent to a region.

        Args:
            region: Name of the region.
            regions: All regions that may serve the request; the one that is
                owed most is allowed in any case.
            is_overflow: Whether the split selected another region.
        """
        credit = self._credit_after(region)
        limit = self._max_overflow if is_overflow else self._max_deviation
        return credit >= -limit or all(
            self._credit_after(other) <= credit for other in regions
        )

    def on_request(self, region: str) -> None:
        """Count a request that is sent to a region.

        Args:
            region: Name of the region.
        """
        self._new_requests += 1
        credits = self._credit_by_region
        for other, fraction in self.fraction_by_region.items():
            credits[other] = credits.get(other, 0.0) + fraction
        credits[region] = credits.get(region, 0.0) - 1.0
        # What a region could not get for long is not made up for at once.
        limit = self._max_deviation
        for other, credit in credits.items():
            credits[other] = max(-limit, min(limit, credit))

    def _credit_after(self, region: str) -> float:
        """Requests that a region is owed once it has received one more."""
        return (
            self._credit_by_region.get(region, 0.0)
            + self.fraction_by_region.get(region, 0.0)
            - 1.0
        )

    @property
    def _max_deviation(self) -> float:
        deviation = _DEVIATION * self._requests_per_window
        return max(_MIN_DEVIATION, min(_MAX_DEVIATION, deviation))

    @property
    def _max_overflow(self) -> float:
        deviation = _OVERFLOW_DEVIATION * self._requests_per_window
        return max(_MIN_OVERFLOW, min(_MAX_DEVIATION, deviation))

    def _leave(self, lost: Fractions, planned: Fractions) -> None:
        """Move requests out of regions that have lost slots."""
        fractions = dict(self.fraction_by_region)
        freed = 0.0
        for region, fraction in lost.items():
            present = fractions.get(region, 0.0)
            excess = max(0.0, present - planned.get(region, 0.0))
            leaving = min(fraction, excess)
            fractions[region] = present - leaving
            freed += leaving
        wanted = {
            region: max(0.0, fraction - fractions.get(region, 0.0))
            for region, fraction in planned.items()
        }
        total = sum(wanted.values())
        if freed <= 0 or total <= 0:
            return
        for region, fraction in wanted.items():
            fractions[region] = (
                fractions.get(region, 0.0) + freed * fraction / total
            )
        self.fraction_by_region = fractions
