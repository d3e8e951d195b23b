"""Metrics of an entry host on a platform, read from its parts."""

from __future__ import annotations

from wigeonhatch import supervision
from wigeonhatch.balance import picker as pickers
from wigeonhatch.balance import region_selector
from wigeonhatch.metrics import collector
from wigeonhatch.targets import reach as target_reach


def connect(
    metrics: collector.Metrics,
    regions: region_selector.RegionSelector,
    picker: pickers.Picker,
    reach: target_reach.TargetReach,
    supervisor: supervision.Supervisor,
) -> None:
    """Let the metrics read the state of the host at each collection.

    Args:
        metrics: Metrics of the host.
        regions: Selects the region of each request.
        picker: Selects the target of each request.
        reach: Tells whether the host reaches targets.
        supervisor: Runs the tasks of the host.
    """
    metrics.set_selection_counters(lambda: regions.count_by_selection)
    metrics.set_largest_shift(lambda: regions.meter.largest)
    metrics.set_task_errors(lambda: supervisor.errors_by_task)
    metrics.set_reach(lambda: not reach.is_lost)
    metrics.set_unavailable(picker.count_unavailable)
