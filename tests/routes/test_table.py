"""Tests of the selection of routes and services."""

from __future__ import annotations

import collections

import pytest

from wigeonhatch.routes import model
from wigeonhatch.routes import table as tables


def build_route(
    name: str, prefix: str, *shares: tuple[str, float]
) -> model.Route:
    """Build a route of the host `x.example`."""
    return model.Route(
        name=name,
        host_name='x.example',
        prefix=prefix,
        kind=model.RequestKind.IDEMPOTENT,
        timeout_ms=0,
        objective_ms=0,
        priority=0,
        shares=tuple(model.ServiceShare(*item) for item in shares),
        max_attempts=2,
        has_affinity=False,
        allowed_regions=frozenset(),
    )


def build_config(version: int, *routes: model.Route) -> model.RoutingConfig:
    """Build a configuration with the given routes."""
    return model.RoutingConfig(
        version,
        {route.name: route for route in routes},
        {},
        model.CallerLimits(),
    )


@pytest.mark.parametrize(
    ('path', 'expected'),
    [
        ('/a/x', 'short'),
        ('/a/b/x', 'long'),
        ('/a/b/', 'long'),
        ('/a/b', 'short'),
        ('/a/bc/x', 'short'),
        ('/x/a/b/', None),
        ('', None),
    ],
)
def test_longest_prefix_wins(path: str, expected: str | None) -> None:
    """Guards against requests that reach the service of another route."""
    table = tables.RouteTable()
    table.configure(
        build_config(
            1,
            build_route('short', '/a/', ('s', 1)),
            build_route('long', '/a/b/', ('s', 1)),
        )
    )
    route = table.find('X.example:80', path)
    assert (route.name if route else None) == expected
    assert table.find('y.example', path) is None


def test_older_configuration_is_ignored() -> None:
    """Guards against a host that reverts to an older version."""
    table = tables.RouteTable()
    assert table.configure(build_config(5, build_route('r', '/a/', ('s', 1))))
    assert not table.configure(build_config(4))
    assert not table.configure(build_config(5))
    assert table.find('x.example', '/a/') is not None


def test_weights_hold_over_short_times() -> None:
    """Guards against services whose share differs from their weight."""
    table = tables.RouteTable()
    route = build_route('r', '/a/', ('s', 90), ('t', 10))
    table.configure(build_config(1, route))
    for _ in range(5):
        count_by_service = collections.Counter(
            table.choose_service(route) for _ in range(20)
        )
        assert abs(count_by_service['t'] - 2) <= 1
