"""Tests of applying store rows to routes and targets."""

from __future__ import annotations

import json

import pytest

from tests.platform import test_decode
from wigeonhatch import clock as clocks
from wigeonhatch.entry import catalog as catalogs
from wigeonhatch.entry import restore_hold
from wigeonhatch.platform import store as stores
from wigeonhatch.routes import model
from wigeonhatch.routes import table as tables
from wigeonhatch.targets import registry


class _CatalogHarness:
    """Catalog with its routes and targets on a manual clock."""

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


def target_row(
    name: str, version: int = 1, state: str = 'ready', started_ms: int = 1
) -> stores.StoredRow:
    """Build the row of a target."""
    status = test_decode.TARGET['status'] | {'state': state}
    content = test_decode.TARGET | {'status': status, 'born': started_ms}
    return stores.StoredRow(name, test_decode.encode(content), version)


def deleted_row(name: str) -> stores.StoredRow:
    """Build the deletion of a row."""
    return stores.StoredRow(name, b'', 9, is_deleted=True)


def test_older_configuration_is_ignored() -> None:
    """Guards against an older or invalid configuration in force."""
    harness = _CatalogHarness()
    harness.catalog.on_operator_snapshot([config_row(7)])
    harness.catalog.on_operator_changes([config_row(5)])
    harness.catalog.on_operator_changes(
        [stores.StoredRow('config', b'{}', 99)]
    )
    assert [config.version for config in harness.configs] == [7]


def test_evacuation_starts_and_ends() -> None:
    """Guards against evacuations that never start or never end."""
    harness = _CatalogHarness()
    key = 'evacuate/a'
    harness.catalog.on_operator_changes([stores.StoredRow(key, b'{}', 1)])
    assert harness.targets.evacuated_domains == frozenset({'a'})
    harness.catalog.on_operator_changes([deleted_row(key)])
    assert harness.targets.evacuated_domains == frozenset()
    harness.catalog.on_operator_changes([stores.StoredRow(key, b'{}', 2)])
    harness.catalog.on_operator_snapshot([])
    assert harness.targets.evacuated_domains == frozenset()


def test_removed_target_is_gone_at_once() -> None:
    """Guards against requests to a target whose row was deleted."""
    harness = _CatalogHarness()
    harness.catalog.on_target_snapshot([target_row('t1'), target_row('t2')])
    harness.catalog.on_target_changes([deleted_row('t1')])
    assert harness.names == {'t2'}


def test_unusable_entry_removes_the_target() -> None:
    """Guards against using a target by its previous entry."""
    harness = _CatalogHarness()
    harness.catalog.on_target_snapshot([target_row('t1')])
    harness.catalog.on_target_changes([stores.StoredRow('t1', b'?', 2)])
    assert harness.names == set()


def test_expired_targets_are_retained_during_the_grace_period() -> None:
    """Guards against removing targets whose entries expired in an outage."""
    harness = _CatalogHarness()
    harness.catalog.on_target_snapshot(
        [target_row(f't{number}') for number in range(3)]
    )
    harness.catalog.on_store_recovered(catalogs.MIN_OUTAGE_MS + 1)
    harness.catalog.on_target_changes([deleted_row('t0'), deleted_row('t1')])
    assert harness.names == {'t0', 't1', 't2'}
    harness.catalog.on_target_changes([target_row('t1', 3)])
    harness.clock.advance(catalogs.RECOVERY_GRACE_MS)
    harness.catalog.remove_missing_targets()
    assert harness.names == {'t1', 't2'}


def test_expired_targets_are_retained_after_a_new_snapshot() -> None:
    """Guards against removing targets if the change history was lost."""
    harness = _CatalogHarness()
    harness.catalog.on_target_snapshot([target_row('t0'), target_row('t1')])
    harness.catalog.on_store_recovered(catalogs.MIN_OUTAGE_MS + 1)
    harness.catalog.on_target_snapshot([target_row('t1')])
    assert harness.names == {'t0', 't1'}
    harness.clock.advance(catalogs.RECOVERY_GRACE_MS)
    harness.catalog.remove_missing_targets()
    assert harness.names == {'t1'}


def test_target_that_returns_after_the_grace_period_is_kept() -> None:
    """Guards against a live target that is removed with the missing ones."""
    harness = _CatalogHarness()
    harness.catalog.on_target_snapshot([target_row('t0'), target_row('t1')])
    harness.catalog.on_store_recovered(catalogs.MIN_OUTAGE_MS + 1)
    harness.catalog.on_target_changes([deleted_row('t0')])
    harness.clock.advance(catalogs.RECOVERY_GRACE_MS)
    harness.catalog.on_target_snapshot([target_row('t0'), target_row('t1')])
    harness.catalog.expire_holds()
    assert harness.names == {'t0', 't1'}


def test_short_outage_starts_no_grace_period() -> None:
    """Guards against using targets that have left."""
    harness = _CatalogHarness()
    harness.catalog.on_target_snapshot([target_row('t0')])
    harness.catalog.on_store_recovered(catalogs.MIN_OUTAGE_MS)
    harness.catalog.on_target_changes([deleted_row('t0')])
    assert harness.names == set()


def test_grace_period_ends_if_a_peer_kept_following() -> None:
    """Guards against requests to a target that left while a host was cut off.

    If a peer followed the store all the time, no entry has expired. A peer
    that has followed it for less than the outage proves nothing.
    """
    harness = _CatalogHarness()
    harness.catalog.on_target_snapshot([target_row('t0'), target_row('t1')])
    outage_ms = catalogs.MIN_OUTAGE_MS + 1
    harness.catalog.on_store_recovered(outage_ms)
    harness.catalog.on_target_changes([deleted_row('t0')])
    harness.catalog.on_peer_follow_time(0)
    harness.catalog.on_peer_follow_time(outage_ms - 1)
    assert harness.names == {'t0', 't1'}
    harness.catalog.on_peer_follow_time(outage_ms)
    assert harness.names == {'t1'}
    harness.catalog.on_target_changes([deleted_row('t1')])
    assert harness.names == set()


def test_last_change_of_a_target_applies() -> None:
    """Guards against a target that stays after a change and a deletion.

    Both may arrive in one batch.
    """
    harness = _CatalogHarness()
    harness.catalog.on_target_changes([target_row('t0'), deleted_row('t0')])
    assert harness.names == set()
    harness.catalog.on_target_changes(
        [deleted_row('t0'), target_row('t0', 10)]
    )
    assert harness.names == {'t0'}


def test_targets_that_left_stay_away_after_a_restore() -> None:
    """Guards against requests to targets that an older copy shows as ready."""
    harness = _CatalogHarness()
    names = ('draining', 'removed', 'restarted', 'other')
    harness.catalog.on_target_snapshot([target_row(name) for name in names])
    harness.catalog.on_target_changes(
        [
            target_row('draining', 2, 'draining'),
            deleted_row('removed'),
            target_row('restarted', 3, started_ms=2),
        ]
    )
    harness.catalog.on_store_restored()
    harness.catalog.on_target_snapshot([target_row(name) for name in names])
    by_name = harness.targets.record_by_name
    assert by_name['draining'].is_draining
    assert by_name['restarted'].started_ms == 2
    assert harness.names == {'draining', 'restarted', 'other'}
    harness.clock.advance(restore_hold.HOLD_MS)
    harness.catalog.on_target_changes([deleted_row('draining')])
    harness.catalog.expire_holds()
    assert harness.names == {'removed', 'restarted', 'other'}


def test_target_that_returns_after_a_restore_is_used_at_once() -> None:
    """Guards against a live target that waits for the end of the hold."""
    harness = _CatalogHarness()
    harness.catalog.on_target_snapshot([target_row('t1')])
    harness.catalog.on_target_changes([deleted_row('t1')])
    harness.catalog.on_store_restored()
    harness.catalog.on_target_snapshot([target_row('t1')])
    assert harness.names == set()
    harness.catalog.on_target_changes([target_row('t1', 2)])
    assert harness.names == {'t1'}


def test_target_that_the_copy_lacks_is_kept_for_some_time() -> None:
    """Guards against the loss of targets that started after the copy."""
    harness = _CatalogHarness()
    harness.catalog.on_target_snapshot([target_row('t1')])
    harness.catalog.on_store_restored()
    harness.catalog.on_peer_follow_time(3_600_000)
    harness.catalog.on_target_snapshot([])
    harness.catalog.expire_holds()
    assert harness.names == {'t1'}
    harness.clock.advance(catalogs.RECOVERY_GRACE_MS)
    harness.catalog.expire_holds()
    assert harness.names == set()


@pytest.mark.parametrize('is_ended', [True, False])
def test_evacuation_outlasts_a_restore(is_ended: bool) -> None:
    """Guards against requests to a domain whose evacuation the copy lacks."""
    harness = _CatalogHarness()
    key = 'evacuate/a'
    harness.catalog.on_operator_changes([stores.StoredRow(key, b'{}', 1)])
    harness.catalog.on_store_restored()
    harness.catalog.on_operator_snapshot([])
    assert harness.targets.evacuated_domains == frozenset({'a'})
    if is_ended:
        harness.catalog.on_operator_changes([deleted_row(key)])
        assert harness.targets.evacuated_domains == frozenset()
    harness.clock.advance(restore_hold.HOLD_MS)
    harness.catalog.expire_holds()
    assert harness.targets.evacuated_domains == frozenset()


def test_configuration_outlasts_a_restore() -> None:
    """Guards against an older configuration in force after a restore."""
    harness = _CatalogHarness()
    harness.catalog.on_operator_snapshot([config_row(7)])
    harness.catalog.on_store_restored()
    harness.catalog.on_operator_snapshot([config_row(5)])
    harness.catalog.on_operator_changes([config_row(8)])
    assert [config.version for config in harness.configs] == [7, 8]
