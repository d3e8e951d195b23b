"""Tests of the weights of hosts with slow links.

Callers choose at random among the hosts returned to them. If all hosts were
returned to all callers, a peak of uploads would saturate slow links while
hosts with fast links are idle.
"""

from __future__ import annotations

import collections
import random

from wigeonhatch.balance import host_weight

UPLOAD_BYTES = 60_000
FAST_MBPS = 100.0
SLOW_MBPS = 6.0
FAST_HOSTS = 4
SLOW_HOSTS = 6
CORES = 2.0


def weigh(link_mbps: float, sizes: list[int]) -> float:
    """Weight of a host after requests of the given sizes."""
    link_weight = host_weight.LinkWeight(link_mbps, CORES)
    for size in sizes:
        link_weight.on_request(size, 400)
    return link_weight.weight


def test_slow_links_get_fewer_requests() -> None:
    """Guards against slow links that are saturated before fast ones."""
    sizes = [UPLOAD_BYTES if n % 7 == 0 else 5_000 for n in range(2_000)]
    weights = {
        **{f'w{n}': weigh(FAST_MBPS, sizes) for n in range(FAST_HOSTS)},
        **{f'n{n}': weigh(SLOW_MBPS, sizes) for n in range(SLOW_HOSTS)},
    }
    rng = random.Random(1)
    requests: collections.Counter[str] = collections.Counter()
    for number in range(20_000):
        selected = host_weight.select_hosts(weights, f'c{number}')
        requests[rng.choice(selected)] += 1
    slow_mean = sum(requests[f'n{n}'] for n in range(SLOW_HOSTS)) / SLOW_HOSTS
    fast_mean = sum(requests[f'w{n}'] for n in range(FAST_HOSTS)) / FAST_HOSTS
    # Where links are the bottleneck, their utilization is similar.
    assert slow_mean / SLOW_MBPS <= 2 * fast_mean / FAST_MBPS


def test_fast_links_have_equal_weight() -> None:
    """Guards against too many callers on the fastest of several fast links."""
    assert weigh(500.0, [5_000] * 100) == host_weight.FULL_WEIGHT
    assert weigh(3_000.0, [5_000] * 100) == host_weight.FULL_WEIGHT
    assert weigh(0.0, [5_000] * 100) == host_weight.FULL_WEIGHT
