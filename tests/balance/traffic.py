"""Traffic of the simulated site: rates by region and service."""

from __future__ import annotations

import math

from tests.balance import region_simulation

RATE_PER_S = 133.0
"""Mean rate of each region."""


def steady(now_ms: int) -> region_simulation.Rates:
    """Send at the same rate from the first request on."""
    return _rates({'a': 1.0, 'b': 1.0, 'c': 1.0})


def waves(now_ms: int) -> region_simulation.Rates:
    """Rise and fall by half, in each region at another time."""
    return _rates(
        {
            region: 1 + 0.55 * math.sin(now_ms / 2_500 + 2 * number)
            for number, region in enumerate('abc')
        }
    )


def burst(now_ms: int) -> region_simulation.Rates:
    """Send four times as much from region `c` for 3 s, and again later."""
    is_high = 6_000 <= now_ms % 9_000
    return _rates({'a': 0.8, 'b': 0.8, 'c': 2.0 if is_high else 0.5})


def fall(now_ms: int) -> region_simulation.Rates:
    """Send a sixth as much from region `c` after 7 s."""
    return _rates({'a': 0.8, 'b': 0.8, 'c': 2.0 if now_ms < 7_000 else 0.35})


def moving_callers(now_ms: int) -> region_simulation.Rates:
    """Let most callers of region `a` move to region `c` for 5 s."""
    is_moved = 6_000 <= now_ms < 11_000
    return _rates(
        {
            'a': 0.2 if is_moved else 1.0,
            'b': 1.0,
            'c': 1.8 if is_moved else 1.0,
        }
    )


def pause(now_ms: int) -> region_simulation.Rates:
    """Send nothing from region `c` for 3 s."""
    return _rates(
        {
            'a': 1.0,
            'b': 1.0,
            'c': 0.0 if 6_000 <= now_ms < 9_000 else 1.0,
        }
    )


def stopping_class(now_ms: int) -> region_simulation.Rates:
    """Stop the requests of the largest service for 4 s."""
    rates = dict(steady(now_ms))
    if 7_000 <= now_ms < 11_000:
        for region in 'abc':
            rates[region, 'board'] = 0.0
            rates[region, 'ledger'] *= 2.0
    return rates


def changed_route(now_ms: int) -> region_simulation.Rates:
    """Send half of a service's requests to another one after 7 s."""
    rates = dict(steady(now_ms))
    if now_ms >= 7_000:
        for region in 'abc':
            moved = rates[region, 'ledger'] / 2
            rates[region, 'ledger'] -= moved
            rates[region, 'board'] += moved
    return rates


def _rates(factor_by_region: dict[str, float]) -> region_simulation.Rates:
    return {
        (region, service): RATE_PER_S * factor * share
        for region, factor in factor_by_region.items()
        for service, share in region_simulation.MIX.items()
    }
