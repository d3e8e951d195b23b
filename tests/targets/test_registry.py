"""Tests of the target registry."""

from __future__ import annotations

from tests.balance import harness as harnesses
from wigeonhatch import clock as clocks
from wigeonhatch.targets import registry


def build_registry() -> tuple[registry.TargetRegistry, clocks.ManualClock]:
    """Build a registry with one target and its service."""
    clock = clocks.ManualClock()
    table = registry.TargetRegistry(clock)
    table.set_services({'board': harnesses.SERVICE_CONFIG})
    table.replace([harnesses.build_target('t1')])
    return table, clock


def test_targets_of_the_first_list_are_not_cold() -> None:
    """Guards against a host that starts with all targets marked as cold."""
    table, _ = build_registry()
    assert not table.is_cold('t1')


def test_new_target_is_cold_until_its_warmup_ends() -> None:
    """Guards against full load on a target that has just started."""
    table, clock = build_registry()
    table.update([harnesses.build_target('t2')], ())
    assert table.is_cold('t2')
    clock.advance(harnesses.SERVICE_CONFIG.warmup_ms)
    assert not table.is_cold('t2')


def test_restart_under_the_same_name_is_a_new_target() -> None:
    """Guards against a restarted target that does not count as cold."""
    table, _ = build_registry()
    first_incarnation = table.record_by_name['t1']
    table.update([harnesses.build_target('t1', started_ms=2)], ())
    assert table.is_cold('t1')
    assert not table.is_usable(first_incarnation)


def test_targets_of_a_restored_domain_are_cold() -> None:
    """Guards against full load on targets whose caches are empty."""
    table, _ = build_registry()
    table.set_evacuated_domains(frozenset({'a1'}))
    assert table.usable('board') == ()
    table.set_evacuated_domains(frozenset())
    assert [record.name for record in table.usable('board')] == ['t1']
    assert table.is_cold('t1')


def test_draining_target_is_not_usable() -> None:
    """Guards against new requests to a draining target."""
    table, _ = build_registry()
    epoch = table.epoch
    table.update([harnesses.build_target('t1', is_draining=True)], ())
    assert table.usable('board') == ()
    assert table.epoch > epoch
    table.update((), ['t1'])
    assert 't1' not in table.record_by_name


def test_warmup_report_makes_a_target_cold() -> None:
    """Guards against full load on a listed target that becomes cold."""
    table, _ = build_registry()
    table.on_warmup_report('t1', 1_000)
    table.on_warmup_report('unknown', 1_000)
    assert table.is_cold('t1')
    assert not table.is_cold('unknown')


def test_targets_are_grouped_by_distance() -> None:
    """Guards against probes that leave out the targets next to the host."""
    scene = harnesses.PickerHarness(
        [
            harnesses.build_target('t1', 'a1'),
            harnesses.build_target('t2', 'a2'),
            harnesses.build_target('t3', 'b1'),
            harnesses.build_target('t4', 'a1', is_draining=True),
        ]
    )
    groups = scene.targets.group_by_distance('a1', harnesses.REGION_BY_DOMAIN)
    assert groups == (['t1'], ['t2'], ['t3'])
