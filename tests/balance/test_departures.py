"""Tests of the departures that targets state."""

from __future__ import annotations

import dataclasses

from tests.balance import harness as harnesses
from wigeonhatch import clock as clocks
from wigeonhatch.balance import _rotation
from wigeonhatch.balance import departures
from wigeonhatch.balance import picker as pickers
from wigeonhatch.targets import registry

TARGET = harnesses.build_target('t1')


class _Table(departures.DepartureTable):
    """Table on a manual clock, with the incarnations that leave."""

    def __init__(self) -> None:
        self.clock = clocks.ManualClock()
        self.leaving: frozenset[registry.Incarnation] = frozenset()
        super().__init__(self._set_leaving, self.clock)
        self.retain([TARGET])

    def _set_leaving(self, leaving: frozenset[registry.Incarnation]) -> None:
        self.leaving = leaving


def test_leaving_target_is_never_picked() -> None:
    """Guards against any way to a target that leaves.

    It may be a home target, the last one, or one that serves some requests.
    """
    scene = harnesses.PickerHarness(
        harnesses.build_target(f't{number}') for number in range(3)
    )
    for _ in range(3):
        pick = scene.pick(b'k')
        assert isinstance(pick, pickers.Pick)
        scene.statements.departures.on_response(pick.target)
        for _ in range(2):
            scene.ejections.on_failure(pick.target.name, True, 'status 500')
    assert isinstance(scene.pick(b'k'), pickers.NoTarget)
    assert scene.targets.group_by_distance('a1', {'a1': 'a'}) == ([], [], [])


def test_only_the_next_incarnation_is_used_again() -> None:
    """Guards against a departure that ends while its target still leaves."""
    scene = harnesses.PickerHarness([TARGET])
    scene.statements.departures.on_response(TARGET)
    moved = dataclasses.replace(TARGET, slots=2)
    scene.targets.update([moved], ())
    assert not scene.targets.is_usable(moved)
    scene.targets.update((), ['t1'])
    scene.statements.retain([])
    scene.targets.replace([TARGET])
    assert not scene.targets.is_usable(TARGET)
    restarted = dataclasses.replace(TARGET, started_ms=2)
    scene.targets.update([restarted], ())
    assert isinstance(scene.pick(), pickers.Pick)


def test_target_without_a_start_is_used_if_listed_again() -> None:
    """Guards against a target that is lost because its start is unknown."""
    table = _Table()
    unknown = dataclasses.replace(TARGET, started_ms=0)
    table.retain([unknown])
    table.on_response(unknown)
    table.retain([unknown])
    assert table.leaving == {('t1', 0)}
    table.retain([])
    assert table.leaving == frozenset()


def test_departure_is_told_and_outlives_its_observer() -> None:
    """Guards against a departure that is lost with the host that saw it."""
    observer, peer, third = _Table(), _Table(), _Table()
    observer.on_response(TARGET)
    report = observer.build_report()
    assert report == (departures.Departure('t1', 1, 0),)
    peer.on_report(report)
    assert peer.leaving == {('t1', 1)}
    assert peer.build_report() == ()
    peer.clock.advance(70_000)
    third.on_report(peer.build_report())
    assert third.leaving == {('t1', 1)}


def test_reports_are_bounded_and_cover_all_departures() -> None:
    """Guards against datagrams that are too long or omit some targets."""
    table = _Table()
    targets = [harnesses.build_target(f't{number}') for number in range(40)]
    for target in targets:
        table.on_response(target)
    for count, size in (
        (10, departures.MAX_FRESH),
        (25, departures.MAX_REPEATED),
    ):
        told: set[str] = set()
        for _ in range(count):
            report = table.build_report()
            assert len(report) <= size
            told |= {item.target for item in report}
            table.clock.advance(_rotation.INTERVAL_MS)
        assert len(told) == len(targets)


def test_old_departures_are_forgotten_if_not_listed() -> None:
    """Guards against tables that grow with each replaced target."""
    table = _Table()
    table.on_response(TARGET)
    gone = harnesses.build_target('t2')
    table.on_response(gone)
    table.retain([TARGET])
    table.clock.advance(departures.RETENTION_MS + 1)
    table.on_report([departures.Departure('t3', 1, departures.RETENTION_MS)])
    table.retain([TARGET])
    assert table.leaving == {('t1', 1)}
    for number in range(departures.MAX_KNOWN + 10):
        table.on_report([departures.Departure(f'u{number}', 1, 0)])
    assert len(table.leaving) == departures.MAX_KNOWN
    assert ('t1', 1) in table.leaving
