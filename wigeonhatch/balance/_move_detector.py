"""Detection of moves of a distribution that are worth a line in the log."""

from __future__ import annotations

import collections.abc

from wigeonhatch.balance import _distributions

_MIN_MOVE = 0.02


class MoveDetector:
    """Compare a distribution with the one that was logged last."""

    def __init__(self) -> None:
        self._logged: dict[str, float] = {}

    def has_moved(
        self, fraction_by_region: collections.abc.Mapping[str, float]
    ) -> bool:
        """Tell whether a distribution has moved noticeably since the last log.

        Args:
            fraction_by_region: Present distribution.
        """
        moved = _distributions.distance_between(
            self._logged, fraction_by_region
        )
        if moved < _MIN_MOVE:
            return False
        self._logged = dict(fraction_by_region)
        return True
