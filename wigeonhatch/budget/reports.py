"""Load reports of targets and the weight that they deserve."""

from __future__ import annotations

import dataclasses
import math

FRESH_MS = 2_000
"""Age up to which a report keeps its weight."""
FADE_MS = 2_000
"""Time in which the weight of an old report falls to zero."""
REPEATS = 4
"""Equal reports under load after which they count as frozen."""
TOLERANCE = 1
"""Requests by which a report may differ from the owner's count, because
requests start and end while the report travels."""
GAIN = 0.25
"""Weight that an agreeing report adds; four of them restore full weight."""
LOSS = 0.5
"""Factor of the weight for each report that is frozen or contradicts."""
NEGLIGIBLE = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load as a target reports it.

    Args:
        in_progress: Requests that the target counts in progress.
        slots: Requests that the target is ready to run at once.
        serial: Number of the measurement; None if the target has none, in
            which case equal reports count as one measurement.
    """

    in_progress: int
    slots: int
    serial: int | None = None


class ReportWeight:
    """Latest load report of one target, with its weight."""

    __slots__ = ('_at_ms', '_repeats', '_report', 'weight')

    def __init__(self) -> None:
        self._report: LoadReport | None = None
        self._at_ms = 0
        self._repeats = 0
        self.weight = 0.0

    def on_report(
        self, report: LoadReport, low: int, high: int, now_ms: int
    ) -> None:
        """Judge a report against the owner's own count.

        Args:
            report: Load as the target reports it.
            low: Fewest requests that the owner had in progress since the
                report before.
            high: Most requests that the owner had in progress since then.
            now_ms: Time of the report in ms.
        """
        same = self._report is not None and (
            report.serial == self._report.serial
            if report.serial is not None
            else report == self._report
        )
        is_frozen = False
        # Without load, an honest target reports the same again and again.
        if same and low != high:
            self._repeats += 1
            is_frozen = self._repeats >= REPEATS
        elif not same:
            self._repeats = 0
        agrees = (
            report.slots >= 0
            and low - TOLERANCE <= report.in_progress <= high + TOLERANCE
        )
        weight = self._weight_at(now_ms)
        if is_frozen or not agrees:
            weight *= LOSS
            self.weight = weight if weight >= NEGLIGIBLE else 0.0
        else:
            self.weight = min(1.0, weight + GAIN)
        self._report = report
        self._at_ms = now_ms

    def limit(self, slots: int, now_ms: int) -> int:
        """Compute how many requests the report leaves to the target.

        Args:
            slots: Configured slots of the target.
            now_ms: Current time in ms.

        Returns:
            Between 1 and `slots`; at least 1 so that the owner's own
            observation of the target goes on.
        """
        if self._report is None:
            return slots
        reduction = max(0, slots - self._report.slots)
        weighted = math.floor(reduction * self._weight_at(now_ms))
        return max(1, slots - weighted)

    def _weight_at(self, now_ms: int) -> float:
        age_ms = now_ms - self._at_ms
        if age_ms <= FRESH_MS:
            return self.weight
        return self.weight * max(0.0, 1 - (age_ms - FRESH_MS) / FADE_MS)
