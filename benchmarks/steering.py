"""Processor time of route selection and lookups, compared with the goals.

Run with `python -m benchmarks.steering`. The size of a deployment is its
number of hosts; each host owns one target in its failure domain.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import random
import sys
import time

from wigeonhatch import clock as clocks
from wigeonhatch.config import model
from wigeonhatch.steering import candidates
from wigeonhatch.steering import lookup
from wigeonhatch.steering import ownership
from wigeonhatch.steering import routing
from wigeonhatch.steering import spillover
from wigeonhatch.steering import split

SIZES = (7, 66, 660)
GOAL_ROUTE_US = 5.0
GOAL_LOOKUP_US = 10.0
_CALLS = 50_000
_ROUNDS = 5
_SERVICE = 'ledger'


@dataclasses.dataclass(frozen=True, slots=True)
class _Load:
    free: int = 1_000_000
    capacity: int = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Record:
    incarnation: int = 1
    sequence: int = 1


class _Membership:
    """Stub membership: every host serves and has free slots."""

    def record(self, host: str) -> _Record:
        """Return a record that never changes."""
        return _Record()

    def is_reachable(self, host: str) -> bool:
        """Report that the host is reachable."""
        return True

    def is_serving(self, host: str) -> bool:
        """Report that the host serves."""
        return True

    def actor_for(self, host: str) -> str | None:
        """Report that no host acts for another."""
        return None

    def load(self, host: str, service: str) -> _Load:
        """Return a load that never changes."""
        return _Load()

    def draining(self) -> frozenset[str]:
        """Report that nothing drains."""
        return frozenset()


def build_config(hosts: int) -> model.VersionedConfig:
    """Build a configuration of 3 regions, or 33 for 50 hosts or more."""
    regions = [f'region-{i:02}' for i in range(3 if hosts < 50 else 33)]
    percent = 100 / len(regions)
    config = model.SteeringConfig(
        region_by_name={name: model.Region([name]) for name in regions},
        host_by_name={
            f'host-{i:04}': model.Host(
                regions[i % len(regions)], *['127.0.0.1:1'] * 3
            )
            for i in range(hosts)
        },
        service_by_name={
            _SERVICE: model.Service(
                5, 50, dict.fromkeys(regions, percent), model.Cap(5.0, 10_000)
            )
        },
        target_by_name={
            f'target-{i:04}': model.Target(
                _SERVICE, regions[i % len(regions)], '127.0.0.1:2'
            )
            for i in range(hosts)
        },
    )
    return model.VersionedConfig(1, 'change', config, {})


def mean_us(call: collections.abc.Callable[[int], object]) -> float:
    """Return the mean processor time of a call in us, in the best round."""
    best = float('inf')
    for _ in range(_ROUNDS):
        started = time.process_time()
        for i in range(_CALLS):
            call(i)
        best = min(best, time.process_time() - started)
    return best / _CALLS * 1e6


def measure(hosts: int) -> tuple[float, float, float]:
    """Measure the first local route, the first remote route and a lookup.

    Args:
        hosts: Number of hosts.

    Returns:
        Mean processor time of each in us.
    """
    clock = clocks.Clock()
    own_load = _Load()
    versioned = build_config(hosts)
    pools = candidates.Candidates(
        'host-0000', clock, _Membership(), lambda service: own_load
    )
    splits = split.SplitTable(clock)
    spill = spillover.Spillover(clock, random.Random(1))
    router = routing.Router(
        pools, splits, spill, lambda region, bulk: True, seed=1
    )
    pools.configure(versioned, ownership.assign_owners(versioned.config))
    for component in (splits, spill, router):
        component.configure(versioned)
    splits.mark_loaded()
    table = lookup.LookupTable(clock, pools, splits, spill)
    rng = random.Random(1)
    clients = [
        f'10.{rng.randrange(256)}.{rng.randrange(256)}.1'
        for _ in range(_CALLS)
    ]
    return (
        mean_us(lambda i: next(router.routes(_SERVICE, 0, False), None)),
        mean_us(lambda i: next(router.routes(_SERVICE, 999, False), None)),
        mean_us(lambda i: table.answer_lookup(_SERVICE, clients[i])),
    )


def main() -> int:
    """Print the figures; return 0 if all goals are met, else 1."""
    print('hosts  local route us  remote route us  lookup us')
    print(
        f'{"goal":>5}  {GOAL_ROUTE_US:14.1f}  {GOAL_ROUTE_US:15.1f}  '
        f'{GOAL_LOOKUP_US:9.1f}'
    )
    is_met = True
    for hosts in SIZES:
        local, remote, lookup_us = measure(hosts)
        print(f'{hosts:5}  {local:14.2f}  {remote:15.2f}  {lookup_us:9.2f}')
        is_met &= max(local, remote) < GOAL_ROUTE_US
        is_met &= lookup_us < GOAL_LOOKUP_US
    return 0 if is_met else 1


if __name__ == '__main__':
    sys.exit(main())
