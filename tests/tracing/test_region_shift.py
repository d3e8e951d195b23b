"""Tests of the measure of shifts between regions."""

from __future__ import annotations

import json
import pathlib
import random

import pytest

from wigeonhatch.cli import dispatch
from wigeonhatch.tracing import reader
from wigeonhatch.tracing import region_shift


def _place(
    first_ms: int, count: int, region: str, source: str = 'a'
) -> list[region_shift.Placement]:
    return [
        region_shift.Placement(first_ms + number * 10, source, region)
        for number in range(count)
    ]


def _line(host: str, **fields: object) -> reader.LogLine:
    time_ms, message = fields['time_ms'], fields['message']
    assert isinstance(time_ms, int) and isinstance(message, str)
    return reader.LogLine(time_ms, host, message, fields)


def test_change_between_adjacent_windows_is_measured() -> None:
    """Guards against shifts that are measured in windows that overlap."""
    placements = [
        *_place(0, 150, 'a'),
        *_place(500, 50, 'b'),
        *_place(2_000, 100, 'a'),
        *_place(2_500, 100, 'b'),
    ]
    shifts = {
        item.at_ms: item for item in region_shift.measure_shifts(placements)
    }
    assert shifts[2_000].before == {'a': 150, 'b': 50}
    assert shifts[2_000].after == {'a': 100, 'b': 100}
    assert shifts[2_000].fraction == pytest.approx(0.25)


def test_windows_slide() -> None:
    """Guards against shifts that are hidden by the position of the windows."""
    placements = [*_place(0, 300, 'a'), *_place(3_000, 300, 'b')]
    shifts = list(region_shift.measure_shifts(placements))
    assert max(item.fraction for item in shifts) == 1.0
    assert [item.at_ms for item in shifts if item.fraction == 1.0] == [3_000]


def test_regions_of_callers_are_separate() -> None:
    """Guards against opposite shifts of two regions that cancel out."""
    placements = [
        *_place(0, 200, 'a', 'a'),
        *_place(2_000, 200, 'b', 'a'),
        *_place(0, 200, 'b', 'b'),
        *_place(2_000, 200, 'a', 'b'),
    ]
    shifts = [
        item
        for item in region_shift.measure_shifts(placements)
        if item.at_ms == 2_000
    ]
    assert [(item.source, item.fraction) for item in shifts] == [
        ('a', 1.0),
        ('b', 1.0),
    ]


@pytest.mark.parametrize('count', [20, 200, 2_000])
def test_chance_is_that_of_random_placements(count: int) -> None:
    """Guards against random differences that are taken for shifts."""
    rng = random.Random(1)
    fractions = []
    for _ in range(100):
        first, second = (
            [
                region_shift.Placement(
                    start_ms, 'a', rng.choices('abc', (5, 3, 2))[0]
                )
                for _ in range(count)
            ]
            for start_ms in (0, 2_000)
        )
        (shift,) = (
            item
            for item in region_shift.measure_shifts(first + second)
            if item.at_ms == 2_000
        )
        fractions.append(shift.fraction)
        chance = shift.chance
    assert sum(fractions) / 100 == pytest.approx(chance, rel=0.2)


def test_attempts_count_from_their_start() -> None:
    """Guards against slow attempts that count in a later window."""
    lines = [
        _line('h', time_ms=0, message='started', region='a'),
        _line('h', time_ms=5_000, message='attempt', took_ms=900, region='b'),
        _line('x', time_ms=5_000, message='attempt', took_ms=900, region='b'),
    ]
    assert list(region_shift.read_placements(lines)) == [
        region_shift.Placement(4_100, 'a', 'b')
    ]


@pytest.fixture
def log(tmp_path: pathlib.Path) -> str:
    """Log file of a host whose requests all change their region at once."""
    lines: list[dict[str, object]] = [
        {'time_ms': 0, 'message': 'started', 'host': 'h1', 'region': 'a'}
    ]
    for number in range(400):
        region = 'a' if number < 200 else 'b'
        lines.append(
            {
                'time_ms': number * 10,
                'message': 'attempt',
                'region': region,
            }
        )
    path = tmp_path / 'h1.log'
    path.write_text('\n'.join(json.dumps(line) for line in lines))
    return str(path)


def test_command_shows_the_largest_shifts(
    log: str, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a report that does not name region, time and counts."""
    assert dispatch.run(['shifts', log]) == 0
    first = capsys.readouterr().out.splitlines()[0]
    assert first.startswith('a at 2000 ms ')
    assert '1.000 changed' in first
    assert 'before a 200; after b 200' in first
    assert dispatch.run(['shifts', log, '--json']) == 0
    value = json.loads(capsys.readouterr().out)['value']
    assert value['shifts'][0]['source'] == 'a'


def test_command_reports_missing_input(
    capsys: pytest.CaptureFixture[str], tmp_path: pathlib.Path
) -> None:
    """Guards against an empty report that looks like one without shifts."""
    assert dispatch.run(['shifts']) != 0
    assert dispatch.run(['shifts', str(tmp_path / 'none.log')]) != 0
    empty = tmp_path / 'empty.log'
    empty.write_text('{"time_ms": 1')
    assert dispatch.run(['shifts', str(empty)]) == 0
    lines = capsys.readouterr().out.splitlines()
    assert lines[0].startswith('no attempts')
    assert lines[1].endswith('1 lines cannot be read')
