"""Tests of the target selection."""

from __future__ import annotations

from tests.balance import harness as harnesses
from wigeonhatch.balance import picker as pickers


def picked_name(pick: pickers.Pick | pickers.NoTarget) -> str:
    """Name of the selected target; empty for none."""
    return pick.target.name if isinstance(pick, pickers.Pick) else ''


def test_affinity_key_keeps_its_target() -> None:
    """Guards against many targets for the requests of one affinity key."""
    harness = harnesses.PickerHarness(
        harnesses.build_target(f't{n}') for n in range(8)
    )
    names = {picked_name(harness.pick(b'x')) for _ in range(20)}
    assert len(names) == 1
    others = {picked_name(harness.pick(b'%d' % n)) for n in range(100)}
    assert len(others) == 8


def test_second_home_target_serves_excess_requests() -> None:
    """Guards against a queue at one home target while another is free."""
    harness = harnesses.PickerHarness(
        harnesses.build_target(f't{n}') for n in range(8)
    )
    first = picked_name(harness.pick(b'x'))
    for _ in range(4):
        harness.loads.start(first)
    second = picked_name(harness.pick(b'x'))
    assert second != first
    assert picked_name(harness.pick(b'x')) == second


def test_refuses_at_once_if_no_slot_is_free_in_time() -> None:
    """Guards against requests that wait for a slot until they time out."""
    harness = harnesses.PickerHarness([harnesses.build_target('t1', slots=2)])
    for _ in range(8):
        harness.loads.start('t1')
    pick = harness.pick(wait_ms=300.0)
    assert isinstance(pick, pickers.NoTarget)
    assert 0 < pick.retry_after_ms <= pickers.MAX_RETRY_AFTER_MS
    assert picked_name(harness.pick(wait_ms=5_000.0)) == 't1'


def test_requests_of_peers_count() -> None:
    """Guards against a target that several hosts overload together."""
    harness = harnesses.PickerHarness([harnesses.build_target('t1', slots=2)])
    harness.loads.on_report('h2', {'t1': 8})
    assert picked_name(harness.pick()) == ''
    harness.clock.advance(10_000)
    harness.loads.expire()
    assert picked_name(harness.pick()) == 't1'


def test_only_allowed_regions_are_used() -> None:
    """Guards against requests to regions that may not serve them."""
    harness = harnesses.PickerHarness(
        [
            harnesses.build_target('t1', 'a1'),
            harnesses.build_target('t2', 'b1'),
        ]
    )
    regions = frozenset({'b'})
    assert {
        picked_name(harness.pick(b'%d' % n, allowed_regions=regions))
        for n in range(9)
    } == {'t2'}
    assert picked_name(harness.pick(allowed_regions=frozenset({'c'}))) == ''


def test_draining_and_evacuated_targets_get_nothing() -> None:
    """Guards against new requests to draining or evacuated targets."""
    harness = harnesses.PickerHarness(
        [
            harnesses.build_target('t1', 'a1', is_draining=True),
            harnesses.build_target('t2', 'a2'),
        ]
    )
    assert {picked_name(harness.pick(b'%d' % n)) for n in range(9)} == {'t2'}
    harness.targets.set_evacuated_domains(frozenset({'a2'}))
    assert picked_name(harness.pick()) == ''


def test_targets_that_all_shed_are_still_used() -> None:
    """Guards against the ejection of all targets if all shed some requests."""
    harness = harnesses.PickerHarness(
        harnesses.build_target(f't{n}') for n in range(4)
    )
    for number in range(4):
        for _ in range(3):
            harness.ejections.on_failure(f't{number}', True, 'shed')
    assert picked_name(harness.pick())


def test_unresponsive_targets_are_excluded() -> None:
    """Guards against requests to targets that do not respond at all."""
    harness = harnesses.PickerHarness(
        harnesses.build_target(f't{n}') for n in range(4)
    )
    for number in range(3):
        for _ in range(2):
            harness.ejections.on_failure(f't{number}', False, 'no answer')
    assert {picked_name(harness.pick(b'%d' % n)) for n in range(20)} == {'t3'}


def test_cold_target_gets_its_rate() -> None:
    """Guards against a cold target that is overloaded or not used."""
    harness = harnesses.PickerHarness(
        [harnesses.build_target('t1', warmup_left_ms=3_000)]
    )
    sent = 0
    for _ in range(100):
        if picked_name(harness.pick()):
            harness.warmups.take_token('t1')
            sent += 1
        harness.clock.advance(20)
    assert 9 <= sent <= 11


def test_requests_without_affinity_key_are_spread() -> None:
    """Guards against one target for all requests without an affinity key."""
    harness = harnesses.PickerHarness(
        harnesses.build_target(f't{n}') for n in range(4)
    )
    for _ in range(12):
        harness.loads.start(picked_name(harness.pick(b'')))
    assert [harness.loads.in_progress(f't{n}') for n in range(4)] == [3] * 4
