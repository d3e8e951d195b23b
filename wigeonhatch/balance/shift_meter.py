"""Measure of how fast the requests of a host change their region."""

from __future__ import annotations

import collections

from wigeonhatch.balance import _distributions
from wigeonhatch.balance import shift_limit

_STEPS = shift_limit.WINDOW_MS // shift_limit.ADJUST_INTERVAL_MS
_RETENTION_MS = 60_000
_MIN_REQUESTS = 20
"""Requests of a window below which most of a change is random."""


class ShiftMeter:
    """Fraction of requests that changed their region between two windows."""

    def __init__(self) -> None:
        self._counts: collections.deque[collections.Counter[str]] = (
            collections.deque([collections.Counter()], 2 * _STEPS)
        )
        self._fractions: collections.deque[float] = collections.deque(
            maxlen=_RETENTION_MS // shift_limit.ADJUST_INTERVAL_MS
        )

    def on_request(self, region: str) -> None:
        """Count a request that is sent to a region.

        Args:
            region: Name of the region.
        """
        self._counts[-1][region] += 1

    def advance(self) -> None:
        """Compare the last two windows and start a new step."""
        counts = list(self._counts)
        before = _total(counts[:-_STEPS])
        after = _total(counts[-_STEPS:])
        if min(before.total(), after.total()) >= _MIN_REQUESTS:
            self._fractions.append(
                _distributions.distance_between(
                    _distributions.normalize(before),
                    _distributions.normalize(after),
                )
            )
        else:
            self._fractions.append(0.0)
        self._counts.append(collections.Counter())

    @property
    def largest(self) -> float:
        """Largest fraction of the last minute; 0 with too few requests."""
        return max(self._fractions, default=0.0)


def _total(
    counts: list[collections.Counter[str]],
) -> collections.Counter[str]:
    return sum(counts, collections.Counter())
