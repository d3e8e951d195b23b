"""Tests of the order in which regions are tried."""

from __future__ import annotations

import collections.abc
import random

import pytest

from tests.balance import harness as harnesses
from wigeonhatch.balance import ejection
from wigeonhatch.balance import picker as pickers
from wigeonhatch.balance import region_selector

REGION_BY_DOMAIN = {'a1': 'a', 'b1': 'b', 'c1': 'c'}
ALL = frozenset('abc')


def _build(
    *domains: str,
    peers: collections.abc.Sequence[dict[str, float]] = (),
) -> tuple[harnesses.PickerHarness, region_selector.RegionSelector]:
    harness = harnesses.PickerHarness(
        (
            harnesses.build_target(f't{number}', domain)
            for number, domain in enumerate(domains)
        ),
        region_by_domain=REGION_BY_DOMAIN,
    )
    selector = region_selector.RegionSelector(
        'a',
        REGION_BY_DOMAIN,
        0.15,
        harness.targets,
        harness.loads,
        harness.ejections,
        lambda: peers,
        random.Random(1),
    )
    selector.adjust(['board'], {})
    return harness, selector


def _use_up_limit(
    selector: region_selector.RegionSelector,
) -> list[str]:
    """Send requests to region `b` until it is left out; return the order."""
    for _ in range(100):
        _, regions = selector.select('board', ALL, b'')
        order = list(regions)
        if 'b' not in order:
            return order
        selector.on_request('board', 'b', 'a')
    raise AssertionError('region b is never left out')


def _send(
    selector: region_selector.RegionSelector, service: str, count: int
) -> None:
    """Send requests to the first region that is tried."""
    for _ in range(count):
        split_region, order = selector.select(service, ALL, b'')
        selector.on_request(service, next(iter(order)), split_region)


def test_own_region_is_tried_first() -> None:
    """Guards against requests that leave a region with free slots."""
    _, selector = _build('a1', 'b1', 'c1')
    split_region, order = selector.select('board', ALL, b'')
    assert split_region == 'a'
    assert next(iter(order)) == 'a'


def test_regions_beyond_the_cap_are_left_out() -> None:
    """Guards against overflow beyond the cap, from the first request on."""
    _, selector = _build('a1', 'b1', 'c1')
    assert _use_up_limit(selector) == ['a']


def test_cap_does_not_apply_without_targets_in_the_own_region() -> None:
    """Guards against refusals because the targets of a region are gone."""
    _, selector = _build('a1', 'b1', 'c1')
    _use_up_limit(selector)
    _, order = selector.select('board', frozenset('bc'), b'')
    assert set(order) == {'b', 'c'}


def test_failed_targets_of_the_own_region_hold_nothing_back() -> None:
    """Guards against refusals because all targets of the region fail.

    They are still listed, and the distribution still has their fraction.
    """
    harness, selector = _build('a1', 'b1', 'c1', peers=[{'a': 0.9, 'b': 0.1}])
    _use_up_limit(selector)
    for _ in range(20):
        harness.ejections.on_failure('t0', False, 'TARGET_LOST')
    assert harness.ejections.is_suspect('t0')
    selector.adjust(['board'], {})
    for _ in range(50):
        _, order = selector.select('board', ALL, b'')
        assert {'b', 'c'} <= set(order)
        selector.on_request('board', 'b', 'b')


def test_targets_of_a_region_that_all_failed_are_tried_again() -> None:
    """Guards against a region that is lost while others have room."""
    scene = harnesses.PickerHarness(
        harnesses.build_target(f't{number}', domain)
        for number, domain in enumerate(('a1', 'b1', 'b1'))
    )
    for _ in range(ejection.MAX_CONSECUTIVE_FAILURES):
        scene.ejections.on_failure('t0', False, 'x')
    scene.clock.advance(ejection.FIRST_EJECTION_MS)
    for _ in range(20):
        scene.picker.adjust_splits({})
    trial = scene.pick()
    assert isinstance(trial, pickers.Pick)
    assert trial.target.name == 't0'
    scene.ejections.on_start('t0')
    other = scene.pick()
    assert isinstance(other, pickers.Pick)
    assert other.target.domain == 'b1'


def test_requests_of_lost_slots_leave_a_full_region() -> None:
    """Guards against refusals because targets of the region have failed."""
    harness, selector = _build('a1', 'a1', 'b1', 'c1')
    harness.loads.on_report('h2', {'t0': 4, 't1': 4})
    _send(selector, 'board', 10)
    selector.adjust(['board'], {'h2': 'a'})
    before = selector.fraction_by_region['a']
    harness.targets.update((), ['t0'])
    selector.adjust(['board'], {'h2': 'a'})
    assert selector.fraction_by_region['a'] <= before - 0.2


def test_lost_slots_move_nothing_while_others_are_free() -> None:
    """Guards against ejections by mistake that shift requests."""
    harness, selector = _build('a1', 'a1', 'a1', 'a1', 'b1', 'c1')
    harness.loads.on_report('h2', {'t0': 4})
    for _ in range(20):
        _send(selector, 'board', 5)
        selector.adjust(['board'], {'h2': 'a'})
    before = selector.fraction_by_region['a']
    harness.targets.update((), ['t0'])
    selector.adjust(['board'], {'h2': 'a'})
    assert selector.fraction_by_region['a'] >= before


def test_start_assumes_equal_demand_of_all_regions() -> None:
    """Guards against a small region that is filled by the first requests."""
    _, selector = _build('a1', *['b1'] * 5, *['c1'] * 4)
    selector.select('board', ALL, b'')
    assert selector.fraction_by_region['a'] == pytest.approx(0.33)
    _, large = _build(*['a1'] * 5, *['b1'] * 3, 'c1')
    large.select('board', ALL, b'')
    assert large.fraction_by_region['a'] == 1.0


def test_first_requests_of_peers_do_not_change_the_start() -> None:
    """Guards against hosts that fill a small region after a joint restart."""
    harness, selector = _build('a1', *['b1'] * 5, *['c1'] * 4)
    harness.loads.on_report('h2', {'t0': 2})
    harness.loads.on_report('h3', {'t1': 1})
    selector.adjust(['board'], {'h2': 'a', 'h3': 'b'})
    selector.select('board', ALL, b'')
    assert selector.fraction_by_region['a'] == pytest.approx(0.33, abs=0.01)


def test_start_takes_the_distribution_of_peers() -> None:
    """Guards against a host that starts from a plan while others run."""
    _, selector = _build(
        'a1', 'b1', 'c1', peers=[{'a': 0.2, 'b': 0.8}, {'a': 0.4, 'b': 0.6}]
    )
    selector.select('board', ALL, b'')
    assert selector.fraction_by_region == pytest.approx({'a': 0.3, 'b': 0.7})


def test_requests_bound_to_a_region_count() -> None:
    """Guards against a plan that ignores requests with home regions."""
    _, selector = _build('a1', 'b1', 'c1')
    for _ in range(40):
        for regions in (frozenset('b'), ALL):
            split_region, order = selector.select('board', regions, b'')
            selector.on_request('board', next(iter(order)), split_region)
        selector.adjust(['board'], {})
    assert selector.fraction_by_region['b'] >= 0.4


def test_selections_are_counted() -> None:
    """Guards against metrics that hide how a region was selected."""
    _, selector = _build('a1', 'b1', 'c1')
    selector.on_request('board', 'a', 'a')
    selector.on_request('board', 'b', 'a')
    assert selector.count_by_selection == {
        ('board', 'a', False): 1,
        ('board', 'b', True): 1,
    }
