"""Tests of the pauses that targets ask for."""

from __future__ import annotations

import dataclasses

from tests.balance import harness as harnesses
from wigeonhatch import clock as clocks
from wigeonhatch.balance import pauses
from wigeonhatch.balance import picker as pickers

TARGET = harnesses.build_target('t1')


def _build_scene(*domains: str) -> harnesses.PickerHarness:
    return harnesses.PickerHarness(
        harnesses.build_target(f't{number}', domain)
        for number, domain in enumerate(domains)
    )


def _pause(scene: harnesses.PickerHarness, name: str, pause_ms: int) -> None:
    record = scene.targets.record_by_name[name]
    scene.statements.pauses.on_response(record, pause_ms)
    scene.ejections.on_pause(name)
    scene.picker.recount_slots('board')


def test_paused_target_is_never_picked() -> None:
    """Guards against requests to a target that wants none.

    Targets that fail are used if most do, but not one that is paused.
    """
    scene = _build_scene('a1', 'a1')
    _pause(scene, 't0', 3_000)
    for _ in range(2):
        scene.ejections.on_failure('t1', True, 'status 500')
    for _ in range(5):
        pick = scene.pick()
        assert isinstance(pick, pickers.Pick)
        assert pick.target.name == 't1'


def test_refusal_tells_when_the_first_pause_ends() -> None:
    """Guards against callers that return while no target wants them."""
    scene = _build_scene('a1', 'b1')
    _pause(scene, 't0', 60_000)
    _pause(scene, 't1', 9_000)
    result = scene.pick()
    assert isinstance(result, pickers.NoTarget)
    assert result.retry_after_ms == 9_000
    limited = scene.pick(allowed_regions=frozenset({'a'}))
    assert isinstance(limited, pickers.NoTarget)
    assert limited.retry_after_ms == 60_000


def test_other_regions_serve_at_once() -> None:
    """Guards against refusals beside room in another region."""
    scene = _build_scene('a1', 'a2', 'b1', 'b1')
    for name in ('t0', 't1'):
        _pause(scene, name, 3_000)
    for _ in range(20):
        pick = scene.pick()
        assert isinstance(pick, pickers.Pick)
        assert pick.target.domain == 'b1'


def test_target_proves_itself_after_its_pause() -> None:
    """Guards against a burst of requests that a target refuses again.

    Its first request must be one that can be retried elsewhere.
    """
    scene = _build_scene('a1', 'a1')
    _pause(scene, 't0', 200)
    _pause(scene, 't1', 200)
    scene.ejections.on_success('t1')
    scene.clock.advance(200)
    for _ in range(8):
        pick = scene.pick(can_retry=False)
        assert isinstance(pick, pickers.Pick)
        assert pick.target.name == 't1'
    scene.targets.update((), ['t1'])
    trial = scene.pick(can_retry=False)
    assert isinstance(trial, pickers.Pick)
    scene.ejections.on_start('t0')
    assert isinstance(scene.pick(), pickers.NoTarget)
    scene.ejections.on_success('t0')
    assert isinstance(scene.pick(), pickers.Pick)


def test_region_serves_again_after_the_pauses_of_all_its_targets() -> None:
    """Guards against a region that is lost while others have room."""
    scene = _build_scene('a1', 'a2', 'b1', 'b1')
    for name in ('t0', 't1'):
        _pause(scene, name, 3_000)
    scene.clock.advance(3_000)
    scene.picker.adjust_splits({})
    for _ in range(2):
        trial = scene.pick()
        assert isinstance(trial, pickers.Pick)
        assert trial.target.domain in ('a1', 'a2')
        scene.ejections.on_start(trial.target.name)
    other = scene.pick()
    assert isinstance(other, pickers.Pick)
    assert other.target.domain == 'b1'


def test_pause_is_bounded_and_ends_with_the_incarnation() -> None:
    """Guards against a target that is lost to a mistake or by a restart."""
    clock = clocks.ManualClock()
    table = pauses.PauseTable(clock)
    table.on_response(TARGET, 86_400_000)
    assert table.left_ms(TARGET) == pauses.MAX_PAUSE_MS
    table.on_response(TARGET, 200)
    assert table.left_ms(TARGET) == pauses.MAX_PAUSE_MS
    restarted = dataclasses.replace(TARGET, started_ms=2)
    assert table.left_ms(restarted) == 0
    table.retain([TARGET])
    assert table.left_ms(TARGET) == pauses.MAX_PAUSE_MS
    table.retain([restarted])
    assert table.left_ms(TARGET) == 0
