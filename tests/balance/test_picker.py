"""Tests of the choice of a target."""

from __future__ import annotations

from tests.balance import harness as harnesses
from wigeonhatch.balance import picker as pickers


def name_of(found: pickers.Pick | pickers.NoTarget) -> str:
    """Name the chosen target; empty for none."""
    return found.target.name if isinstance(found, pickers.Pick) else ''


def test_object_stays_at_its_target() -> None:
    """Guards against requests for one object that visit many targets."""
    harness = harnesses.PickerHarness(
        harnesses.build_target(f't{n}') for n in range(8)
    )
    chosen = {name_of(harness.pick(b'x')) for _ in range(20)}
    assert len(chosen) == 1
    others = {name_of(harness.pick(b'%d' % n)) for n in range(100)}
    assert len(others) == 8


def test_second_home_takes_what_the_first_cannot() -> None:
    """Guards against a queue at one target while its stand-by is free."""
    harness = harnesses.PickerHarness(
        harnesses.build_target(f't{n}') for n in range(8)
    )
    first = name_of(harness.pick(b'x'))
    for _ in range(4):
        harness.loads.start(first)
    second = name_of(harness.pick(b'x'))
    assert second != first
    assert name_of(harness.pick(b'x')) == second


def test_refused_at_once_when_no_slot_is_free_in_time() -> None:
    """Guards against requests that wait for a slot until they time out."""
    harness = harnesses.PickerHarness([harnesses.build_target('t1', slots=2)])
    for _ in range(8):
        harness.loads.start('t1')
    found = harness.pick(wait_ms=300.0)
    assert isinstance(found, pickers.NoTarget)
    assert 0 < found.retry_after_ms <= pickers.MAX_RETRY_AFTER_MS
    assert name_of(harness.pick(wait_ms=5_000.0)) == 't1'


def test_peers_requests_count() -> None:
    """Guards against hosts that overload a target together."""
    harness = harnesses.PickerHarness([harnesses.build_target('t1', slots=2)])
    harness.loads.on_report('h2', {'t1': 8})
    assert name_of(harness.pick()) == ''
    harness.clock.advance(10_000)
    harness.loads.expire()
    assert name_of(harness.pick()) == 't1'


def test_home_regions_bind() -> None:
    """Guards against requests that leave their home regions."""
    harness = harnesses.PickerHarness(
        [
            harnesses.build_target('t1', 'a1'),
            harnesses.build_target('t2', 'b1'),
        ]
    )
    homes = frozenset({'b'})
    assert {
        name_of(harness.pick(b'%d' % n, homes=homes)) for n in range(9)
    } == {'t2'}
    assert name_of(harness.pick(homes=frozenset({'c'}))) == ''


def test_draining_and_evacuated_targets_get_nothing() -> None:
    """Guards against new requests at targets that leave."""
    harness = harnesses.PickerHarness(
        [
            harnesses.build_target('t1', 'a1', is_draining=True),
            harnesses.build_target('t2', 'a2'),
        ]
    )
    assert {name_of(harness.pick(b'%d' % n)) for n in range(9)} == {'t2'}
    harness.targets.set_evacuated_domains(frozenset({'a2'}))
    assert name_of(harness.pick()) == ''


def test_targets_that_shed_alike_are_kept() -> None:
    """Guards against a service without targets because all shed a part."""
    harness = harnesses.PickerHarness(
        harnesses.build_target(f't{n}') for n in range(4)
    )
    for number in range(4):
        for _ in range(3):
            harness.ejections.on_failure(f't{number}', True, 'shed')
    assert name_of(harness.pick())


def test_silent_targets_are_left_out() -> None:
    """Guards against requests to targets that do not answer at all."""
    harness = harnesses.PickerHarness(
        harnesses.build_target(f't{n}') for n in range(4)
    )
    for number in range(3):
        for _ in range(2):
            harness.ejections.on_failure(f't{number}', False, 'no answer')
    assert {name_of(harness.pick(b'%d' % n)) for n in range(20)} == {'t3'}


def test_cold_target_gets_its_rate() -> None:
    """Guards against a cold target that is overrun or left out."""
    harness = harnesses.PickerHarness(
        [harnesses.build_target('t1', warmup_left_ms=3_000)]
    )
    sent = 0
    for _ in range(100):
        if name_of(harness.pick()):
            harness.warmups.take_token('t1')
            sent += 1
        harness.clock.advance(20)
    assert 9 <= sent <= 11


def test_requests_without_object_are_spread() -> None:
    """Guards against one target that gets all requests without an object."""
    harness = harnesses.PickerHarness(
        harnesses.build_target(f't{n}') for n in range(4)
    )
    for _ in range(12):
        harness.loads.start(name_of(harness.pick(b'')))
    assert [harness.loads.in_progress(f't{n}') for n in range(4)] == [3] * 4
