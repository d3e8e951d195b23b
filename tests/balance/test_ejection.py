"""Tests of the outlier ejection of targets."""

from __future__ import annotations

from wigeonhatch import clock as clocks
from wigeonhatch.balance import ejection


def test_one_failure_does_not_eject() -> None:
    """Guards against the ejection of a target after one random failure."""
    table = ejection.EjectionTable(clocks.ManualClock())
    table.on_failure('t1', False, 'x')
    assert table.is_available('t1')
    table.on_success('t1')
    table.on_failure('t1', False, 'x')
    assert table.is_available('t1')


def test_failure_ratio_ejects() -> None:
    """Guards against the use of a target that fails every other request."""
    table = ejection.EjectionTable(clocks.ManualClock())
    for _ in range(20):
        table.on_failure('t1', True, 'x')
        table.on_success('t1')
        if not table.is_available('t1'):
            return
    raise AssertionError('never ejected')


def test_trial_readmits_with_one_request_at_a_time() -> None:
    """Guards against a burst of requests to a target that has recovered."""
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


def test_inconclusive_trial_is_repeated() -> None:
    """Guards against a target that stays ejected if a caller disconnects."""
    clock = clocks.ManualClock()
    table = ejection.EjectionTable(clock)
    for _ in range(2):
        table.on_failure('t1', False, 'x')
    clock.advance(ejection.FIRST_EJECTION_MS)
    table.on_start('t1')
    table.on_inconclusive('t1')
    assert table.is_available('t1')


def test_ejection_time_grows_to_a_limit() -> None:
    """Guards against frequent trial requests to a target that is down."""
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


def test_paused_target_stays_on_trial_when_links_return() -> None:
    """Guards against a paused target that counts as room in its region."""
    table = ejection.EjectionTable(clocks.ManualClock())
    table.on_pause('t1')
    for _ in range(2):
        table.on_failure('t2', False, 'x')
    table.clear()
    assert table.is_suspect('t1')
    assert not table.is_suspect('t2')


def test_record_of_healthy_target_is_removed() -> None:
    """Guards against failure records that are never removed."""
    table = ejection.EjectionTable(clocks.ManualClock())
    table.on_failure('t1', True, 'x')
    assert not table.is_empty
    for _ in range(20):
        table.on_success('t1')
    assert table.is_empty
    table.on_inconclusive('t1')
    table.on_success('t1')
