"""Tests of targets that are left out because they fail."""

from __future__ import annotations

from wigeonhatch import clock as clocks
from wigeonhatch.balance import ejection


def test_one_failure_does_not_eject() -> None:
    """Guards against targets that are lost by chance."""
    table = ejection.EjectionTable(clocks.ManualClock())
    table.on_failure('t1', False, 'x')
    assert table.is_available('t1')
    table.on_success('t1')
    table.on_failure('t1', False, 'x')
    assert table.is_available('t1')


def test_failing_part_ejects() -> None:
    """Guards against a target that fails every other request for good."""
    table = ejection.EjectionTable(clocks.ManualClock())
    for _ in range(20):
        table.on_failure('t1', True, 'x')
        table.on_success('t1')
        if not table.is_available('t1'):
            return
    raise AssertionError('never ejected')


def test_trial_readmits_with_one_request_at_a_time() -> None:
    """Guards against a burst at a target that has just come back."""
    clock = clocks.ManualClock()
    table = ejection.EjectionTable(clock)
    for _ in range(2):
        table.on_failure('t1', False, 'x')
    assert not table.is_available('t1')
    clock.advance(ejection.FIRST_EJECTION_MS)
    assert table.is_available('t1')
    table.on_start('t1')
    assert not table.is_available('t1')
    table.on_success('t1')
    assert table.is_available('t1')
    assert not table.is_suspect('t1')


def test_trial_without_result_is_repeated() -> None:
    """Guards against a target that stays out because a caller left."""
    clock = clocks.ManualClock()
    table = ejection.EjectionTable(clock)
    for _ in range(2):
        table.on_failure('t1', False, 'x')
    clock.advance(ejection.FIRST_EJECTION_MS)
    table.on_start('t1')
    table.on_inconclusive('t1')
    assert table.is_available('t1')


def test_ejections_grow_to_a_limit() -> None:
    """Guards against trials at a dead target that come too often."""
    clock = clocks.ManualClock()
    table = ejection.EjectionTable(clock)
    table.on_failure('t1', False, 'x')
    for _ in range(6):
        table.on_failure('t1', False, 'x')
        waited_ms = 0
        while not table.is_available('t1'):
            clock.advance(100)
            waited_ms += 100
    assert waited_ms == ejection.MAX_EJECTION_MS


def test_sound_target_is_forgotten() -> None:
    """Guards against records of failures that are kept for good."""
    table = ejection.EjectionTable(clocks.ManualClock())
    table.on_failure('t1', True, 'x')
    assert not table.is_empty
    for _ in range(20):
        table.on_success('t1')
    assert table.is_empty
    table.on_inconclusive('t1')
    table.on_success('t1')
