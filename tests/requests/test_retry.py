"""Tests of the retry budget of a service."""

from __future__ import annotations

from wigeonhatch.requests import retry

SLACK = 60


def test_hosts_that_join_lower_the_saved_retries_of_each() -> None:
    """Guards against saved retries whose sum grows with the hosts."""
    host_count = 6
    budgets = [
        retry.RetryBudget(10, lambda: SLACK // host_count) for _ in range(6)
    ]
    host_count = 30
    budgets += [
        retry.RetryBudget(10, lambda: SLACK // host_count) for _ in range(24)
    ]
    retries = 0
    for budget in budgets:
        budget.on_request()
        while budget.take():
            retries += 1
    assert retries <= SLACK
