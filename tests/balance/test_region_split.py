"""Tests of the distribution of a service's requests over regions."""

from __future__ import annotations

import pytest

from wigeonhatch.balance import region_split

LOAD = region_split.RegionLoad
MAX_STEP = 0.15 / 4


def test_region_serves_its_requests_below_its_load_limit() -> None:
    """Guards against requests that change region despite free slots."""
    loads = {'a': LOAD(6, 10), 'b': LOAD(0, 10)}
    assert region_split.plan_fractions('a', loads)['a'] == 1.0


def test_excess_goes_to_spare_slots() -> None:
    """Guards against an overloaded region while another one is idle."""
    loads = {'a': LOAD(14, 10), 'b': LOAD(0, 20), 'c': LOAD(0, 10)}
    fractions = region_split.plan_fractions('a', loads)
    assert fractions['a'] == pytest.approx(0.5)
    assert fractions['b'] == pytest.approx(2 * fractions['c'])


def test_nothing_moves_when_all_are_full() -> None:
    """Guards against requests that change region only to queue there."""
    loads = {'a': LOAD(20, 10), 'b': LOAD(20, 10)}
    fractions = region_split.plan_fractions('a', loads)
    assert fractions['a'] > 0.5


def test_region_without_slots_gets_no_requests() -> None:
    """Guards against requests to a region without targets."""
    loads = {'a': LOAD(5, 0), 'b': LOAD(0, 10)}
    assert region_split.plan_fractions('a', loads) == {'b': 1.0}
    assert region_split.plan_fractions('a', {'a': LOAD(5, 0)}) == {}


def test_traffic_change_moves_fractions_in_steps() -> None:
    """Guards against affinity keys that all lose their targets at once."""
    split = region_split.RegionSplit('a')
    split.adjust({'a': LOAD(5, 10), 'b': LOAD(0, 10)}, MAX_STEP)
    before = split.fraction_by_region['a']
    for _ in range(4):
        split.adjust({'a': LOAD(40, 10), 'b': LOAD(0, 10)}, MAX_STEP)
    moved = before - split.fraction_by_region['a']
    assert 0 < moved <= 2 * 4 * MAX_STEP + 1e-9


def test_fraction_of_lost_slots_moves_at_once() -> None:
    """Guards against requests to a region whose targets have been lost."""
    split = region_split.RegionSplit('a')
    split.adjust({'a': LOAD(5, 10), 'b': LOAD(0, 10)}, MAX_STEP)
    lost = split.adjust({'a': LOAD(5, 0), 'b': LOAD(0, 10)}, MAX_STEP)
    assert lost == {'a': 1.0}
    assert split.fraction_by_region.get('a', 0.0) == 0.0


@pytest.mark.parametrize(
    ('in_progress', 'left'), [(3, 0.0), (5, 0.0), (10, 0.5), (20, 0.45)]
)
def test_lost_slots_only_move_what_the_others_cannot_serve(
    in_progress: float, left: float
) -> None:
    """Guards against shifts by targets that leave a region with free slots."""
    split = region_split.RegionSplit('a')
    split.adjust({'a': LOAD(in_progress, 20), 'b': LOAD(0, 90)}, 1.0)
    before = split.fraction_by_region['a']
    lost = split.adjust({'a': LOAD(in_progress, 5), 'b': LOAD(0, 90)}, 0.01)
    assert lost.get('a', 0.0) == pytest.approx(
        min(left, before * 0.75), abs=0.01
    )


@pytest.mark.parametrize('keys', [1, 5, 40])
def test_selection_follows_fractions_over_short_times(keys: int) -> None:
    """Guards against affinity keys that push a region above its fraction."""
    split = region_split.RegionSplit('a')
    fractions = {'a': 0.5, 'b': 0.3, 'c': 0.2}
    for _ in range(10):
        selected = [
            split.choose(fractions, b'%d' % (n % keys)) for n in range(100)
        ]
        assert abs(selected.count('a') - 50) <= 4 * region_split.MAX_EXCESS
        assert abs(selected.count('b') - 30) <= 4 * region_split.MAX_EXCESS


def test_affinity_key_mostly_keeps_its_region() -> None:
    """Guards against affinity keys whose state is cached in all regions."""
    split = region_split.RegionSplit('a')
    unchanged_count = 0
    first: dict[int, str | None] = {}
    for n in range(1_000):
        key = n * 7 % 40
        selected = split.choose({'a': 0.5, 'b': 0.5}, b'%d' % key)
        unchanged_count += first.setdefault(key, selected) == selected
    assert unchanged_count >= 700
