"""Load reports of targets, weighted by their reliability."""

from __future__ import annotations

import dataclasses
import math

FULL_WEIGHT_MS = 2_000
"""Age up to which a report keeps its full weight."""
DECAY_MS = 2_000
"""Time in which the weight of an older report decays linearly to zero."""
FROZEN_REPEATS = 4
"""Repetitions of a report under load after which it counts as frozen."""
TOLERANCE = 1
"""Requests by which a report may differ from the owner's count, because
requests start and end while the report is in transit."""
WEIGHT_GAIN = 0.25
"""Weight added by a consistent report; four of them restore full weight."""
WEIGHT_LOSS_FACTOR = 0.5
"""Factor applied to the weight for each frozen or inconsistent report."""
MIN_WEIGHT = 0.05
"""Weight below which a report that lost weight is ignored."""


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load reported by a target.

    Args:
        in_progress: Requests in progress on the target.
        slots: Concurrent requests that the target accepts.
        serial: Sequence number of the measurement; None if the target sends
            none, in which case equal reports count as one measurement.
    """

    in_progress: int
    slots: int
    serial: int | None = None


class WeightedReport:
    """Latest load report of one target and its weight from 0 to 1."""

    __slots__ = ('_received_ms', '_repeats', '_report', 'weight')

    def __init__(self) -> None:
        self._report: LoadReport | None = None
        self._received_ms = 0
        self._repeats = 0
        self.weight = 0.0

    def on_report(
        self, report: LoadReport, min_used: int, max_used: int, now_ms: int
    ) -> None:
        """Update the weight by comparing a report with the owner's count.

        Args:
            report: Load reported by the target.
            min_used: Fewest requests that the owner had in progress since
                the previous report.
            max_used: Most requests that the owner had in progress since then.
            now_ms: Time at which the report was received in ms.
        """
        is_repeat = self._report is not None and (
            report.serial == self._report.serial
            if report.serial is not None
            else report == self._report
        )
        is_frozen = False
        # Without load, a correct target also repeats the same report.
        if is_repeat and min_used != max_used:
            self._repeats += 1
            is_frozen = self._repeats >= FROZEN_REPEATS
        elif not is_repeat:
            self._repeats = 0
        is_consistent = (
            report.slots >= 0
            and min_used - TOLERANCE
            <= report.in_progress
            <= max_used + TOLERANCE
        )
        weight = self._weight_at(now_ms)
        if is_frozen or not is_consistent:
            weight *= WEIGHT_LOSS_FACTOR
            self.weight = weight if weight >= MIN_WEIGHT else 0.0
        else:
            self.weight = min(1.0, weight + WEIGHT_GAIN)
        self._report = report
        self._received_ms = now_ms

    def limit(self, slots: int, now_ms: int) -> int:
        """Compute the limit of concurrent requests that the report allows.

        Args:
            slots: Configured slots of the target.
            now_ms: Current time in ms.

        Returns:
            Between 1 and `slots`; at least 1 so that the owner continues to
            observe results of the target.
        """
        if self._report is None:
            return slots
        reduction = max(0, slots - self._report.slots)
        weighted = math.floor(reduction * self._weight_at(now_ms))
        return max(1, slots - weighted)

    def _weight_at(self, now_ms: int) -> float:
        age_ms = now_ms - self._received_ms
        if age_ms <= FULL_WEIGHT_MS:
            return self.weight
        return self.weight * max(0.0, 1 - (age_ms - FULL_WEIGHT_MS) / DECAY_MS)
