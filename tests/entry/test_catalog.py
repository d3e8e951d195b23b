"""Tests of what a host learns from the store."""

from __future__ import annotations

import json

from tests.platform import test_decode
from wigeonhatch import clock as clocks
from wigeonhatch.entry import catalog as catalogs
from wigeonhatch.platform import store as stores
from wigeonhatch.routes import model
from wigeonhatch.routes import table as tables
from wigeonhatch.targets import registry


class _Scene:
    """Catalog with its routes and targets."""

    def __init__(self) -> None:
        self.clock = clocks.ManualClock()
        self.routes = tables.RouteTable()
        self.targets = registry.TargetRegistry(self.clock)
        self.configs: list[model.RoutingConfig] = []
        self.catalog = catalogs.Catalog(
            self.routes,
            self.targets,
            self.configs.append,
            lambda: None,
            self.clock,
        )

    @property
    def names(self) -> set[str]:
        """Names of the listed targets."""
        return set(self.targets.record_by_name)


def config_row(version: int) -> stores.StoredRow:
    """Build the row of a configuration."""
    document = {
        'version': f'r{version}',
        'routes': {'r': test_decode.ROUTE},
        'services': {'s': test_decode.SERVICE},
    }
    return stores.StoredRow('config', json.dumps(document).encode(), version)


def target_row(name: str, version: int = 1) -> stores.StoredRow:
    """Build the row of a target."""
    return stores.StoredRow(
        name, test_decode.encode(test_decode.TARGET), version
    )


def gone(name: str) -> stores.StoredRow:
    """Build the row of a target that was removed."""
    return stores.StoredRow(name, b'', 9, is_deleted=True)


def test_configuration_never_goes_back() -> None:
    """Guards against an older configuration from a late answer."""
    scene = _Scene()
    scene.catalog.on_operator_snapshot([config_row(7)])
    scene.catalog.on_operator_changes([config_row(5)])
    scene.catalog.on_operator_changes([stores.StoredRow('config', b'{}', 99)])
    assert [config.version for config in scene.configs] == [7]


def test_evacuation_starts_and_ends() -> None:
    """Guards against a domain that stays evacuated or never is."""
    scene = _Scene()
    key = 'evacuate/a'
    scene.catalog.on_operator_changes([stores.StoredRow(key, b'{}', 1)])
    assert scene.targets.evacuated_domains == frozenset({'a'})
    scene.catalog.on_operator_changes([gone(key)])
    assert scene.targets.evacuated_domains == frozenset()
    scene.catalog.on_operator_changes([stores.StoredRow(key, b'{}', 2)])
    scene.catalog.on_operator_snapshot([])
    assert scene.targets.evacuated_domains == frozenset()


def test_removed_target_is_gone_at_once() -> None:
    """Guards against requests to a target that was removed."""
    scene = _Scene()
    scene.catalog.on_target_snapshot([target_row('t1'), target_row('t2')])
    scene.catalog.on_target_changes([gone('t1')])
    assert scene.names == {'t2'}


def test_unusable_entry_replaces_the_usable_one() -> None:
    """Guards against a target that is used by what it said before."""
    scene = _Scene()
    scene.catalog.on_target_snapshot([target_row('t1')])
    scene.catalog.on_target_changes([stores.StoredRow('t1', b'?', 2)])
    assert scene.names == set()


def test_lapsed_targets_are_kept_until_they_may_be_back() -> None:
    """Guards against an outage of the store that empties the list."""
    scene = _Scene()
    scene.catalog.on_target_snapshot(
        [target_row(f't{number}') for number in range(3)]
    )
    scene.catalog.on_store_recovered(catalogs.MIN_OUTAGE_MS + 1)
    scene.catalog.on_target_changes([gone('t0'), gone('t1')])
    assert scene.names == {'t0', 't1', 't2'}
    scene.catalog.on_target_changes([target_row('t1', 3)])
    scene.clock.advance(catalogs.RECOVERY_GRACE_MS)
    scene.catalog.remove_missing_targets()
    assert scene.names == {'t1', 't2'}


def test_lapsed_targets_are_kept_after_reading_again() -> None:
    """Guards against an outage that ends with a lost history."""
    scene = _Scene()
    scene.catalog.on_target_snapshot([target_row('t0'), target_row('t1')])
    scene.catalog.on_store_recovered(catalogs.MIN_OUTAGE_MS + 1)
    scene.catalog.on_target_snapshot([target_row('t1')])
    assert scene.names == {'t0', 't1'}
    scene.clock.advance(catalogs.RECOVERY_GRACE_MS)
    scene.catalog.remove_missing_targets()
    assert scene.names == {'t1'}


def test_short_silence_keeps_nothing() -> None:
    """Guards against targets that are used after they have left."""
    scene = _Scene()
    scene.catalog.on_target_snapshot([target_row('t0')])
    scene.catalog.on_store_recovered(catalogs.MIN_OUTAGE_MS)
    scene.catalog.on_target_changes([gone('t0')])
    assert scene.names == set()


def test_targets_that_leave_after_a_cut_are_not_kept() -> None:
    """Guards against requests to a target that left while a host was cut off.

    A peer followed the store all the time: no entry has lapsed. A peer that
    lost the store later than this host shows nothing.
    """
    scene = _Scene()
    scene.catalog.on_target_snapshot([target_row('t0'), target_row('t1')])
    outage_ms = catalogs.MIN_OUTAGE_MS + 1
    scene.catalog.on_store_recovered(outage_ms)
    scene.catalog.on_target_changes([gone('t0')])
    scene.catalog.on_peer_follow_time(0)
    scene.catalog.on_peer_follow_time(outage_ms - 1)
    assert scene.names == {'t0', 't1'}
    scene.catalog.on_peer_follow_time(outage_ms)
    assert scene.names == {'t1'}
    scene.catalog.on_target_changes([gone('t1')])
    assert scene.names == set()


def test_last_change_of_a_target_counts() -> None:
    """Guards against a target that stays after it changed and was removed.

    A host that reads several changes at once gets both in one answer.
    """
    scene = _Scene()
    scene.catalog.on_target_changes([target_row('t0'), gone('t0')])
    assert scene.names == set()
    scene.catalog.on_target_changes([gone('t0'), target_row('t0', 10)])
    assert scene.names == {'t0'}
