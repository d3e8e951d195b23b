"""Tests of the retry budget of a service."""

from __future__ import annotations

import typing

from wigeonhatch.entry import edge_settings
from wigeonhatch.entry import retry_share
from wigeonhatch.requests import retry

SLACK = 60
BOUNDS = edge_settings.Bounds(
    stop_grace=typing.cast(typing.Any, '6s'),
    retry_ratio=0.2,
    retry_slack=64,
    directory_ttl_max=typing.cast(typing.Any, '5s'),
)


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


def test_restarts_add_no_retries() -> None:
    """Guards against a retry budget that each start of a host fills again."""
    retries = 0
    for _ in range(20):
        budget = retry_share.build_retry_budget(lambda: BOUNDS, lambda: 7)
        for _ in range(3):
            budget.on_request()
            retries += budget.take()
    assert retries <= BOUNDS.retry_ratio * 60


def test_requests_fill_the_budget_of_a_host() -> None:
    """Guards against a host that saves no retries for a burst of failures."""
    budget = retry_share.build_retry_budget(lambda: BOUNDS, lambda: 7)
    for _ in range(1_000):
        budget.on_request()
    retries = 0
    while budget.take():
        retries += 1
    assert 1 < retries <= BOUNDS.retry_slack / 7
