"""Load of uploads on hosts with narrow links.

Answers the pattern in which a peak of uploads fills the links of small hosts
while hosts with wide links are idle: callers choose among the named hosts at
random, so that each gets the same number of requests.
"""

from __future__ import annotations

import collections
import random

from wigeonhatch.balance import host_weight

UPLOAD_BYTES = 60_000
WIDE_MBPS = 100.0
NARROW_MBPS = 6.0
WIDE_HOSTS = 4
NARROW_HOSTS = 6
CORES = 2.0


def learn(link_mbps: float, sizes: list[int]) -> float:
    """Weight of a host after it has served requests of some sizes."""
    meter = host_weight.LinkWeight(link_mbps, CORES)
    for size in sizes:
        meter.on_request(size, 400)
    return meter.weight


def test_narrow_links_take_their_part() -> None:
    """Guards against narrow links that fill first."""
    sizes = [UPLOAD_BYTES if n % 7 == 0 else 5_000 for n in range(2_000)]
    weights = {
        **{f'w{n}': learn(WIDE_MBPS, sizes) for n in range(WIDE_HOSTS)},
        **{f'n{n}': learn(NARROW_MBPS, sizes) for n in range(NARROW_HOSTS)},
    }
    rng = random.Random(1)
    requests: collections.Counter[str] = collections.Counter()
    for number in range(20_000):
        named = host_weight.select_hosts(weights, f'c{number}')
        requests[rng.choice(named)] += 1
    narrow = sum(requests[f'n{n}'] for n in range(NARROW_HOSTS)) / NARROW_HOSTS
    wide = sum(requests[f'w{n}'] for n in range(WIDE_HOSTS)) / WIDE_HOSTS
    # No link is much fuller than another where the links are what binds.
    assert narrow / NARROW_MBPS <= 2 * wide / WIDE_MBPS


def test_wide_links_count_alike() -> None:
    """Guards against callers that crowd on the widest of many wide links."""
    assert learn(500.0, [5_000] * 100) == host_weight.FULL_WEIGHT
    assert learn(3_000.0, [5_000] * 100) == host_weight.FULL_WEIGHT
    assert learn(0.0, [5_000] * 100) == host_weight.FULL_WEIGHT
