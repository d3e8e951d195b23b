"""Tests of the order in which a request tries the hosts."""

from __future__ import annotations

from tests.requests import rig as rigs
from wigeonhatch.requests import _route_search

NEAR = rigs.FakeRoute('near', 'r1', True)
FAR = rigs.FakeRoute('far', 'r1', False)


def test_all_hosts_are_tried_before_and_between_waits() -> None:
    """Guards against a refusal although a slot has become free meanwhile."""
    search = _route_search.RouteSearch(lambda: iter([NEAR, FAR]), 0)
    tried = []
    while (route := search.next_route()) is not None:
        tried.append((route.host, search.wait_ms))
        search.on_refused(route)
    wait_ms = _route_search.QUEUE_WAIT_MS
    assert tried == [
        ('near', 0),
        ('far', 0),
        ('near', wait_ms),
        ('far', 0),
        ('far', wait_ms),
        ('near', 0),
        ('near', wait_ms),
        ('far', 0),
        ('far', wait_ms),
        ('near', 0),
    ]


def test_retry_after_an_admitted_attempt_does_not_wait() -> None:
    """Guards against a retry that is delayed by waits for a slot."""
    search = _route_search.RouteSearch(lambda: iter([FAR, NEAR]), 0)
    route = search.next_route()
    assert route is FAR
    search.on_failed(route)
    assert search.next_route() is NEAR
    search.on_refused(NEAR)
    assert search.next_route() is None


def test_many_refusals_end_a_round() -> None:
    """Guards against a request that tries thousands of hosts."""
    routes = [rigs.FakeRoute(f'h{n}', 'r1', False) for n in range(100)]
    search = _route_search.RouteSearch(lambda: iter(routes), 0)
    for _ in range(_route_search.MAX_REFUSALS):
        route = search.next_route()
        assert route is not None and search.wait_ms == 0
        search.on_refused(route)
    search.next_route()
    assert search.wait_ms == _route_search.QUEUE_WAIT_MS
