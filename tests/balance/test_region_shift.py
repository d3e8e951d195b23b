"""Tests of the cap on shifts over all hosts, services and requests."""

from __future__ import annotations

import pytest

from tests.balance import region_simulation
from tests.balance import simulation
from tests.balance import traffic
from wigeonhatch.tracing import region_shift

END_MS = 20_000
MIN_REQUESTS = 150
"""Requests of both windows from which a shift is more than chance."""
ALL_TRAFFIC = (
    traffic.steady,
    traffic.waves,
    traffic.burst,
    traffic.fall,
    traffic.moving_callers,
    traffic.pause,
    traffic.stopping_class,
    traffic.changed_route,
)


def run(
    hosts: int,
    seed: int,
    rates: region_simulation.Traffic,
    disturb: simulation.Disturb = simulation.calm,
) -> region_simulation.Site:
    """Run a site until `END_MS`."""
    site = region_simulation.Site(hosts, seed, rates)
    site.run(disturb, END_MS)
    return site


def largest_shift(
    site: region_simulation.Site,
) -> region_shift.RegionShift:
    """Largest fraction of a region's requests that changes its region."""
    return max(
        (
            item
            for item in region_shift.measure_shifts(site.placements)
            if sum(item.before.values()) >= MIN_REQUESTS
            and sum(item.after.values()) >= MIN_REQUESTS
        ),
        key=lambda item: item.fraction,
    )


# Guards against SHIFT of 2026-12-04: a region filled all its free slots with
# the first requests, and the next ones moved elsewhere at once.
@pytest.mark.parametrize(
    ('hosts', 'seed'), [(7, 1), (7, 2), (7, 3), (30, 1), (30, 2)]
)
@pytest.mark.parametrize('rates', ALL_TRAFFIC, ids=lambda item: item.__name__)
def test_requests_change_their_region_within_the_cap(
    rates: region_simulation.Traffic, hosts: int, seed: int
) -> None:
    """Guards against shifts beyond the cap, from the first request on."""
    shift = largest_shift(run(hosts, seed, rates))
    assert shift.fraction <= region_simulation.MAX_SHIFT, shift


@pytest.mark.parametrize(
    ('rates', 'hosts', 'seed'),
    [
        (traffic.burst, 7, 1),
        (traffic.moving_callers, 7, 2),
        (traffic.steady, 60, 1),
    ],
)
@pytest.mark.parametrize(
    'disturb', simulation.SCENARIOS, ids=lambda item: item.__name__
)
def test_cap_holds_while_hosts_are_disturbed(
    disturb: simulation.Disturb,
    rates: region_simulation.Traffic,
    hosts: int,
    seed: int,
) -> None:
    """Guards against hosts that start, freeze or are cut off and differ."""
    shift = largest_shift(run(hosts, seed, rates, disturb))
    assert shift.fraction <= region_simulation.MAX_SHIFT, shift


@pytest.mark.parametrize('hosts', [7, 30])
def test_added_targets_take_over_within_the_cap(hosts: int) -> None:
    """Guards against requests that all return to a region that has grown."""

    def grow(site: simulation.Simulation, now_ms: int) -> None:
        assert isinstance(site, region_simulation.Site)
        if now_ms == 9_000:
            for service in region_simulation.MIX:
                site.add_targets(service, 'c1', 10)
            site.announce_targets()

    shift = largest_shift(run(hosts, 1, traffic.steady, grow))
    assert shift.fraction <= region_simulation.MAX_SHIFT, shift


@pytest.mark.parametrize('hosts', [7, 30])
@pytest.mark.parametrize('fraction', [0.2, 0.5])
def test_leaving_targets_move_what_they_served(
    hosts: int, fraction: float
) -> None:
    """Guards against planned work that moves more than it has to."""

    def drain(site: simulation.Simulation, now_ms: int) -> None:
        assert isinstance(site, region_simulation.Site)
        if now_ms == 9_000:
            site.drain_targets('c1', fraction)

    shift = largest_shift(run(hosts, 1, traffic.steady, drain))
    assert shift.fraction <= region_simulation.MAX_SHIFT + 0.4 * fraction


@pytest.mark.parametrize('hosts', [7, 30])
def test_callers_of_a_small_region_are_served_from_the_start(
    hosts: int,
) -> None:
    """Guards against a cap that is kept by refusals.

    The slots of all regions suffice for all requests once caches are filled.
    """
    site = run(hosts, 1, traffic.steady)
    sent = sum(site.sent['c', second] for second in range(6, 18))
    placed = sum(
        1
        for item in site.placements
        if item.source == 'c' and 6_000 <= item.sent_ms < 18_000
    )
    assert placed >= 0.97 * sent
    first = sum(1 for item in site.placements if item.sent_ms < 6_000)
    assert first >= 0.85 * sum(
        site.sent[region, second] for region in 'abc' for second in range(6)
    )
