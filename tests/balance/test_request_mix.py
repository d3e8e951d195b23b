"""Tests of the recent requests by service."""

from __future__ import annotations

import pytest

from wigeonhatch.balance import _request_mix

ALL = frozenset('ab')


def test_fractions_follow_recent_requests() -> None:
    """Guards against a plan for services that are not used any more."""
    mix = _request_mix.RequestMix()
    for _ in range(100):
        mix.on_request('old', ALL)
    assert mix.fractions() == {('old', ALL): 1.0}
    for _ in range(30):
        mix.on_request('new', ALL)
        mix.decay()
    assert mix.fractions()['new', ALL] >= 0.8


def test_no_requests_have_no_fractions() -> None:
    """Guards against a plan that rests on requests of long ago."""
    mix = _request_mix.RequestMix()
    mix.on_request('a', ALL)
    for _ in range(10):
        mix.decay()
    assert mix.fractions() == {}


@pytest.mark.parametrize(('sent', 'ratio'), [(4, 1.0), (3, 4 / 3), (1, 2.0)])
def test_refused_requests_raise_the_demand(sent: int, ratio: float) -> None:
    """Guards against demand that is not seen because it is refused."""
    mix = _request_mix.RequestMix()
    for number in range(100):
        mix.on_request('a', ALL)
        if number % 4 < sent:
            mix.on_sent('a')
    assert mix.demand_ratio('a') == pytest.approx(ratio)
    assert mix.demand_ratio('b') == 1.0
