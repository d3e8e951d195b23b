"""Share of one host in the retries that all hosts may send."""

from __future__ import annotations

import collections.abc

from wigeonhatch.entry import edge_settings
from wigeonhatch.requests import retry

_USED_FRACTION = 0.5
"""Fraction of the agreed retries to use, since counts differ among hosts."""


def build_retry_budget(
    read_bounds: collections.abc.Callable[[], edge_settings.Bounds],
    count_hosts: collections.abc.Callable[[], int],
) -> retry.RetryBudget:
    """Build the budget of one service.

    It starts empty, since what the host spent before a restart still counts
    against the slack of the bounds.

    Args:
        read_bounds: Returns the present bounds agreed with the operators.
        count_hosts: Returns the number of hosts that share the retries.
    """

    def count_burst_retries() -> int:
        slack = read_bounds().retry_slack * _USED_FRACTION
        return max(1, int(slack / count_hosts()))

    return retry.RetryBudget(
        int(read_bounds().retry_ratio * _USED_FRACTION * 100),
        count_burst_retries,
        starts_full=False,
    )
