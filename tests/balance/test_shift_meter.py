"""Tests of the measure of shifts on a host."""

from __future__ import annotations

import pytest

from wigeonhatch.balance import shift_meter


def _run(meter: shift_meter.ShiftMeter, region: str, steps: int) -> None:
    for _ in range(steps):
        for _ in range(20):
            meter.on_request(region)
        meter.advance()


def test_change_between_windows_is_measured() -> None:
    """Guards against a metric that hides a shift."""
    meter = shift_meter.ShiftMeter()
    _run(meter, 'a', 8)
    assert meter.largest == 0.0
    _run(meter, 'b', 2)
    assert meter.largest == pytest.approx(0.5)
    _run(meter, 'b', 2)
    assert meter.largest == 1.0


def test_largest_value_expires() -> None:
    """Guards against an alarm that never ends."""
    meter = shift_meter.ShiftMeter()
    _run(meter, 'a', 8)
    _run(meter, 'b', 130)
    assert meter.largest == 0.0


def test_few_requests_count_as_no_shift() -> None:
    """Guards against an alarm because of single requests."""
    meter = shift_meter.ShiftMeter()
    for number in range(40):
        meter.on_request('ab'[number % 2])
        meter.advance()
    assert meter.largest == 0.0
