"""Tests of the byte budgets between regions."""

from __future__ import annotations

import anyio
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from benchmarks import small_config as build
from wigeonhatch import clock as clock_module
from wigeonhatch.links import budget

SMALL = budget.TrafficClass.SMALL
BULK = budget.TrafficClass.BULK
RATE = 5_000
"""80 Mbit/s between two hosts, in bytes per ms."""


def build_link(hosts: int = 2):
    clock = clock_module.ManualClock()
    link = budget.LinkBudget(clock)
    configure(link, hosts)
    return link, clock


def configure(link: budget.LinkBudget, hosts: int) -> None:
    names = {f'h{index}': 'north1' for index in range(hosts)}
    versioned, _ = build.build_config(names, {'t': ('s', 'south1')})
    link.configure(versioned, 'north')


def acquire(link, size, traffic_class=SMALL, wait_ms=0, region='south'):
    return anyio.run(link.acquire, region, size, traffic_class, wait_ms)


def test_bucket_starts_empty_and_fills_to_its_capacity() -> None:
    """Guards against a burst after a restart or a long pause."""
    link, clock = build_link()
    assert not acquire(link, 1_000)
    clock.advance(10)
    assert acquire(link, 10 * RATE)
    assert not acquire(link, 1_000)
    clock.advance(60_000)
    assert acquire(link, budget.BURST_MS * RATE)
    assert not link.has_tokens('south', SMALL)


def test_bulk_leaves_bandwidth_to_small_bodies() -> None:
    """Guards against uploads that starve small requests."""
    link, clock = build_link()
    sent = 0
    for _ in range(100):
        clock.advance(10)
        while acquire(link, 1_000, BULK):
            sent += 1_000
    assert sent <= 0.8 * RATE * 1_000
    assert sent >= 0.78 * RATE * 1_000
    assert link.has_tokens('south', SMALL)
    assert not link.has_tokens('south', BULK)


def test_small_is_served_before_bulk() -> None:
    """Guards against a small body that queues behind an upload."""
    link, _ = build_link()
    order: list[str] = []

    async def send(name: str, traffic_class: budget.TrafficClass) -> None:
        assert await link.acquire('south', 50_000, traffic_class, 10_000)
        order.append(name)

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send, 'bulk', BULK)
            tasks.start_soon(send, 'small', SMALL)

    anyio.run(run)
    assert order == ['small', 'bulk']


def test_local_traffic_needs_no_tokens_and_unknown_links_have_none() -> None:
    """Guards against refusing local transfers and using undefined links."""
    link, _ = build_link()
    assert acquire(link, 10**9, BULK, region='north')
    assert link.has_tokens('north', BULK)
    assert not link.has_tokens('east', SMALL)
    assert not acquire(link, 1, region='east')


def test_rate_increase_is_delayed_and_decrease_is_immediate() -> None:
    """Guards against a link overloaded by hosts with different versions."""
    link, clock = build_link(hosts=2)
    configure(link, hosts=1)
    clock.advance(1_000)
    assert acquire(link, budget.BURST_MS * RATE)
    clock.advance(2_000)
    assert acquire(link, budget.BURST_MS * RATE)
    clock.advance(1_000)
    assert acquire(link, budget.BURST_MS * 2 * RATE)
    configure(link, hosts=4)
    clock.advance(10)
    assert acquire(link, 5 * RATE)
    assert not acquire(link, 1_000)


def test_transfer_larger_than_the_bucket_leaves_a_debt() -> None:
    """Guards against a large body that never starts or goes uncounted."""
    link, clock = build_link()
    size = 20 * budget.BURST_MS * RATE
    assert acquire(link, size, SMALL, 1_000)
    start_ms = clock.now_ms
    assert acquire(link, 1_000, SMALL, 60_000)
    assert clock.now_ms - start_ms >= 19 * budget.BURST_MS


@settings(max_examples=50, deadline=None, derandomize=True)
@given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 300),
            strategies.integers(1, 400_000),
            strategies.sampled_from(budget.TrafficClass),
            strategies.integers(0, 200),
        ),
        max_size=30,
    )
)
def test_bytes_never_exceed_rate_and_burst(steps) -> None:
    """Guards against sequences of transfers that overload the link."""
    link, clock = build_link()
    start_ms = clock.now_ms
    burst = budget.BURST_MS * RATE
    sent = 0
    for gap_ms, size, traffic_class, wait_ms in steps:
        clock.advance(gap_ms)
        if acquire(link, size, traffic_class, wait_ms):
            # Only the latest transfer can leave a debt.
            assert sent <= (clock.now_ms - start_ms) * RATE
            sent += size
    assert sent <= (clock.now_ms - start_ms) * RATE + burst
