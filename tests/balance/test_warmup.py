"""Tests of the rate limit of cold targets."""

from __future__ import annotations

from wigeonhatch import clock as clocks
from wigeonhatch.balance import warmup


def test_all_hosts_together_keep_the_rate() -> None:
    """Guards against a cold target to which all hosts send at full rate."""
    clock = clocks.ManualClock()
    hosts = frozenset(f'h{n}' for n in range(7))
    budgets = [
        warmup.WarmupBudget(host, clock, lambda: hosts) for host in hosts
    ]
    sent = 0
    for _ in range(100):
        for budget in budgets:
            if budget.has_token('t1', 5.0):
                budget.take_token('t1')
                sent += 1
        clock.advance(10)
    assert 4 <= sent <= 5 + warmup.MAX_OWNERS


def test_partitioned_hosts_stay_within_the_limit() -> None:
    """Guards against a partition in which each host uses the whole rate.

    The limit is 1.5 times the rate and 5 more in one second.
    """
    clock = clocks.ManualClock()
    views = [frozenset({'h1'}), frozenset({'h2'})]
    budgets = [
        warmup.WarmupBudget(min(view), clock, lambda v=view: v)  # type: ignore
        for view in views
    ]
    sent = 0
    for _ in range(100):
        for budget in budgets:
            if budget.has_token('t1', 5.0):
                budget.take_token('t1')
                sent += 1
        clock.advance(10)
    assert sent <= 5 * 1.5 + 5


def test_zero_rate_means_no_limit() -> None:
    """Guards against targets without a warm-up that get no requests."""
    budget = warmup.WarmupBudget(
        'h1', clocks.ManualClock(), lambda: frozenset({'h2'})
    )
    assert budget.has_token('t1', 0.0)
