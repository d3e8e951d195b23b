"""Tests of the rate limits that targets state."""

from __future__ import annotations

import dataclasses

from tests.balance import harness as harnesses
from wigeonhatch import clock as clocks
from wigeonhatch.balance import _rotation
from wigeonhatch.balance import picker as pickers
from wigeonhatch.balance import rate_limits

MAX_STATEMENTS = 20
TARGET = harnesses.build_target('t1')


def build_table() -> tuple[rate_limits.RateLimitTable, clocks.ManualClock]:
    """Build an empty table on a manual clock."""
    clock = clocks.ManualClock()
    return rate_limits.RateLimitTable(clock), clock


def test_response_without_a_limit_ends_it_after_a_margin() -> None:
    """Guards against a limit that an overtaken response ends, or none ends."""
    table, clock = build_table()
    table.on_response(TARGET, 3.0)
    clock.advance(100)
    table.on_response(TARGET, None)
    assert table.rate_per_s(TARGET) == 3.0
    clock.advance(500)
    table.on_response(TARGET, None)
    assert table.rate_per_s(TARGET) is None
    table.on_response(TARGET, 2.0)
    assert table.rate_per_s(TARGET) == 2.0


def test_restarted_target_has_no_limit() -> None:
    """Guards against a limit that outlives the target that stated it."""
    table, _ = build_table()
    table.on_response(TARGET, 3.0)
    restarted = dataclasses.replace(TARGET, started_ms=2)
    assert table.rate_per_s(restarted) is None
    table.retain([restarted])
    assert table.rate_per_s(TARGET) is None


def test_limit_of_zero_lets_trials_pass() -> None:
    """Guards against a limit whose end no response can show."""
    table, _ = build_table()
    table.on_response(TARGET, 0.0)
    assert table.rate_per_s(TARGET) == rate_limits.MIN_RATE_PER_S


def test_older_reports_do_not_replace_newer_responses() -> None:
    """Guards against a limit that returns with the report of a peer."""
    table, clock = build_table()
    table.on_response(TARGET, 3.0)
    clock.advance(1_000)
    table.on_response(TARGET, None)
    table.on_report([rate_limits.RateStatement('t1', 1, 3.0, 900)])
    assert table.rate_per_s(TARGET) is None
    table.on_report([rate_limits.RateStatement('t1', 1, 5.0, 100)])
    assert table.rate_per_s(TARGET) == 5.0


def test_statement_outlives_its_observer() -> None:
    """Guards against a restarted host that learns of no limit."""
    table, clock = build_table()
    table.on_report([rate_limits.RateStatement('t1', 1, 3.0, 0)])
    assert table.build_report(MAX_STATEMENTS) == ()
    clock.advance(2_100)
    report = table.build_report(MAX_STATEMENTS)
    assert report == (rate_limits.RateStatement('t1', 1, 3.0, 2_100),)


def test_reports_cover_all_statements_in_turn() -> None:
    """Guards against datagrams that are too long or omit some targets."""
    table, clock = build_table()
    names = {f't{number}' for number in range(50)}
    for name in names:
        table.on_response(harnesses.build_target(name), 1.0)
    reported: set[str] = set()
    for _ in range(10):
        report = table.build_report(MAX_STATEMENTS)
        assert len(report) <= MAX_STATEMENTS
        reported |= {statement.target for statement in report}
        clock.advance(_rotation.INTERVAL_MS)
    assert reported == names


def test_limited_target_is_passed_over() -> None:
    """Guards against requests that wait for a target without tokens."""
    scene = harnesses.PickerHarness(
        [harnesses.build_target('t1'), harnesses.build_target('t2')]
    )
    scene.limits.on_response(scene.targets.record_by_name['t1'], 1.0)
    for _ in range(6):
        pick = scene.pick(b'k')
        assert isinstance(pick, pickers.Pick)
        assert pick.target.name == 't2'
    scene.limits.on_response(scene.targets.record_by_name['t2'], 1.0)
    assert isinstance(scene.pick(b'k'), pickers.NoTarget)
