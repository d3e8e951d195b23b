"""Tests of the trace of one request."""

from __future__ import annotations

import json
import pathlib

import pytest

from wigeonhatch.cli import dispatch
from wigeonhatch.tracing import reader
from wigeonhatch.tracing import request

H1 = [
    {'time_ms': 1_000, 'message': 'started', 'host': 'h1', 'domain': 'a'},
    {'time_ms': 1_100, 'message': 'configuration in force', 'version': 7},
    {
        'time_ms': 1_200,
        'message': 'target ejected',
        'target': 't1',
        'reason': 'TARGET_LOST',
    },
    {
        'time_ms': 1_300,
        'message': 'target leaves',
        'target': 't1',
        'source': 'peer',
    },
    {
        'time_ms': 2_500,
        'message': 'attempt',
        'request_id': 'r1',
        'target': 't1',
        'took_ms': 300,
        'result': 'TARGET_TIMEOUT',
    },
    {'time_ms': 2_450, 'message': 'store lost', 'reason': 'ReadError'},
    {
        'time_ms': 2_510,
        'message': 'request refused',
        'request_id': 'r1',
        'name': 'TARGET_TIMEOUT',
    },
]
H2 = [
    {'time_ms': 900, 'message': 'started', 'host': 'h2'},
    {'time_ms': 950, 'message': 'attempt', 'request_id': 'r2', 'took_ms': 1},
]


@pytest.fixture
def logs(tmp_path: pathlib.Path) -> list[str]:
    """Log files of two hosts, one with a truncated line."""
    paths = []
    for name, lines in (('one', H1), ('two', H2)):
        path = tmp_path / f'{name}.log'
        text = ''.join(json.dumps(line) + '\n' for line in lines)
        path.write_text(text + ('{"time_ms": 3' if name == 'two' else ''))
        paths.append(str(path))
    return paths


def test_decisions_include_the_state_of_the_host(logs: list[str]) -> None:
    """Guards against causes that are only visible in other log lines."""
    log_reader = reader.LogReader()
    steps = request.trace_request('r1', log_reader.read(logs))
    assert [step.message for step in steps] == ['attempt', 'request refused']
    assert {step.host for step in steps} == {'h1'}
    attempt, refusal = steps
    assert attempt.time_ms == 2_200
    assert [(record.message, record.age_ms) for record in attempt.beliefs] == [
        ('target leaves', 900),
        ('target ejected', 1_000),
        ('configuration in force', 1_100),
        ('started', 1_200),
    ]
    assert refusal.beliefs[0].message == 'store lost'
    assert dict(log_reader.unusable_by_path) == {logs[1]: 1}


def test_start_resets_the_state_of_the_host() -> None:
    """Guards against causes that predate the last start of a host."""
    lines = [
        reader.LogLine(
            100, 'h1', 'store lost', {'table': 'op', 'reason': 'x'}
        ),
        reader.LogLine(200, 'h1', reader.STARTED, {'host': 'h1'}),
        reader.LogLine(300, 'h1', 'request refused', {'request_id': 'r1'}),
    ]
    (step,) = request.trace_request('r1', lines)
    assert [record.message for record in step.beliefs] == [reader.STARTED]


def test_command_shows_the_trace(
    logs: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against output that omits the target or the reason."""
    assert dispatch.run(['explain', 'r1', *logs]) == 0
    text = capsys.readouterr().out
    assert '+0 ms h1: attempt: target=t1 took_ms=300' in text
    assert 'target ejected, reason=TARGET_LOST, 1000 ms before' in text
    assert '1 lines cannot be read' in text
    assert dispatch.run(['explain', 'r1', *logs, '--json']) == 0
    value = json.loads(capsys.readouterr().out)['value']
    assert value['steps'][0]['inputs']['result'] == 'TARGET_TIMEOUT'


def test_unknown_request_and_missing_file(
    logs: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against an empty trace without an explanation or an error."""
    assert dispatch.run(['explain', 'r9', *logs]) == 0
    assert 'no line has this id' in capsys.readouterr().out
    assert dispatch.run(['explain', 'r1']) != 0
    assert dispatch.run(['explain', 'r1', '/nonexistent']) != 0


def test_dropped_line_is_a_step() -> None:
    """Guards against a request that seems to have reached no host."""
    lines = [
        reader.LogLine(
            1_000, 'h1', 'attempt', {'dropped_request_ids': ['r1', 'r2']}
        ),
        reader.LogLine(
            2_000,
            'h1',
            'lines dropped',
            {'of': 'request refused', 'dropped_request_ids': ['r2']},
        ),
    ]
    steps = request.trace_request('r2', lines)
    assert [step.message.split(' (')[0] for step in steps] == [
        'attempt',
        'request refused',
    ]
