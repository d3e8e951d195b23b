"""Tests of the demand of the callers of each region."""

from __future__ import annotations

import pytest

from wigeonhatch.balance import region_demand


def _build() -> region_demand.RegionDemand:
    return region_demand.RegionDemand(['a', 'a', 'b', 'c'])


def test_before_any_request_all_regions_are_assumed_to_be_alike() -> None:
    """Guards against a first plan that depends on single requests."""
    demand = _build()
    assert demand.start('board', {'a': 2}, 60) == {
        'a': 20.0,
        'b': 20.0,
        'c': 20.0,
    }
    assert demand.start('board', {'a': 90}, 60)['a'] == 90.0


def test_demand_follows_the_requests_in_progress() -> None:
    """Guards against a plan for a demand that has ended."""
    demand = _build()
    demand.start('board', {}, 60)
    for _ in range(20):
        latest = demand.update('board', {'a': 50, 'b': 5}, 60)
    assert latest == pytest.approx({'a': 50, 'b': 5, 'c': 0}, abs=0.1)


def test_pause_keeps_the_last_demand() -> None:
    """Guards against a plan from nothing as requests return after a pause."""
    demand = _build()
    before = demand.update('board', {'a': 50}, 60)
    for _ in range(20):
        latest = demand.update('board', {}, 60)
    assert latest == before


def test_removed_service_starts_again() -> None:
    """Guards against the demand of an earlier service of the same name."""
    demand = _build()
    demand.update('board', {'a': 900}, 60)
    demand.remove('board')
    assert demand.update('board', {}, 60)['a'] == 20.0
