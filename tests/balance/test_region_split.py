"""Tests of the parts of a service's requests by region."""

from __future__ import annotations

import pytest

from wigeonhatch.balance import region_split

LOAD = region_split.RegionLoad


def test_region_keeps_its_requests_while_it_has_room() -> None:
    """Guards against requests that cross regions without need."""
    loads = {'a': LOAD(6, 10), 'b': LOAD(0, 10)}
    assert region_split.plan_fractions('a', loads)['a'] == 1.0


def test_excess_goes_to_spare_slots() -> None:
    """Guards against an overloaded region beside an idle one."""
    loads = {'a': LOAD(14, 10), 'b': LOAD(0, 20), 'c': LOAD(0, 10)}
    parts = region_split.plan_fractions('a', loads)
    assert parts['a'] == pytest.approx(0.5)
    assert parts['b'] == pytest.approx(2 * parts['c'])


def test_nothing_moves_when_all_are_full() -> None:
    """Guards against requests that cross regions to queue there."""
    loads = {'a': LOAD(20, 10), 'b': LOAD(20, 10)}
    parts = region_split.plan_fractions('a', loads)
    assert parts['a'] > 0.5


def test_region_without_slots_is_left() -> None:
    """Guards against requests to a region that has lost its targets."""
    loads = {'a': LOAD(5, 0), 'b': LOAD(0, 10)}
    assert region_split.plan_fractions('a', loads) == {'b': 1.0}
    assert region_split.plan_fractions('a', {'a': LOAD(5, 0)}) == {}


def test_change_of_traffic_moves_within_the_cap() -> None:
    """Guards against a shift above the cap when the traffic jumps."""
    split = region_split.RegionSplit('a', 0.15)
    split.adjust({'a': LOAD(5, 10), 'b': LOAD(0, 10)})
    before = split.fraction_by_region['a']
    for _ in range(4):
        split.adjust({'a': LOAD(40, 10), 'b': LOAD(0, 10)})
    moved = before - split.fraction_by_region['a']
    assert 0 < moved <= 0.15


def test_lost_slots_are_left_at_once() -> None:
    """Guards against requests that stay with targets that are gone."""
    split = region_split.RegionSplit('a', 0.15)
    split.adjust({'a': LOAD(5, 10), 'b': LOAD(0, 10)})
    split.adjust({'a': LOAD(5, 0), 'b': LOAD(0, 10)})
    assert split.fraction_by_region.get('a', 0.0) == 0.0


@pytest.mark.parametrize('keys', [1, 5, 40])
def test_choices_follow_the_parts_in_short_times(keys: int) -> None:
    """Guards against objects that draw a region above its part."""
    split = region_split.RegionSplit('a', 0.15)
    split.fraction_by_region = {'a': 0.5, 'b': 0.3, 'c': 0.2}
    regions = frozenset('abc')
    for _ in range(10):
        chosen = [
            split.choose(regions, b'%d' % (n % keys)) for n in range(100)
        ]
        assert (
            abs(chosen.count('a') - 50) <= 4 * region_split.MAX_EXCESS_REQUESTS
        )
        assert (
            abs(chosen.count('b') - 30) <= 4 * region_split.MAX_EXCESS_REQUESTS
        )


def test_object_mostly_keeps_its_region() -> None:
    """Guards against objects that are prepared for in all regions."""
    split = region_split.RegionSplit('a', 0.15)
    split.fraction_by_region = {'a': 0.5, 'b': 0.5}
    regions = frozenset('ab')
    kept = 0
    first: dict[int, str | None] = {}
    for n in range(1_000):
        key = n * 7 % 40
        chosen = split.choose(regions, b'%d' % key)
        kept += first.setdefault(key, chosen) == chosen
    assert kept >= 700
