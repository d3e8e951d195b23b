"""Tests of malformed and unexpected arguments."""

from __future__ import annotations

import contextlib
import io

from hypothesis import given
from hypothesis import seed
from hypothesis import settings
from hypothesis import strategies
import pytest

from wigeonhatch import codes
from wigeonhatch.cli import _arguments
from wigeonhatch.cli import commands
from wigeonhatch.cli import program

SAMPLES = strategies.sampled_from(
    [
        *commands.COMMAND_BY_NAME,
        *('--json', '--hosts', '--hosts=127.0.0.1:1', '--hosts=a,b', '-j'),
        *('--limit=1e9', '--limit', '--base=x', '--wait_ms=-1', '--nojson'),
        *('--settings=/', '--settings=/dev/null', '--operator=\n', '--x=1'),
        *('-', '--', '---', '--=', '', ' ', '[1, 2]', '{"a": 1}', '(', '1e5'),
        *(
            '\udcff',
            '__class__',
            '--__init__=1',
            '--help=1',
            'a.b',
            '/',
            '*',
            "'",
            '"',
        ),
    ]
)
ARGUMENTS = strategies.lists(SAMPLES | strategies.text(max_size=8), max_size=5)
STATUSES = {info.exit_status for info in codes.INFO_BY_CODE.values()}


@seed(1)
@settings(max_examples=400, deadline=None)
@given(ARGUMENTS, strategies.sampled_from(['', *commands.COMMAND_BY_NAME]))
def test_no_arguments_cause_a_stack_trace(
    arguments: list[str], command: str
) -> None:
    """Guards against stack traces and unexpected exit statuses."""
    out, err = io.StringIO(), io.StringIO()
    with pytest.MonkeyPatch.context() as patch:
        patch.setenv('WIGEONHATCH_CREDENTIAL', 'a-test-credential')
        given_arguments = [command, *arguments] if command else arguments
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            status = program.run(given_arguments)
    assert status in STATUSES
    assert status != codes.INFO_BY_CODE[codes.ResultCode.INTERNAL].exit_status
    assert 'Traceback' not in out.getvalue() + err.getvalue()
    assert bool(status) == bool(err.getvalue()) or '"code"' in out.getvalue()


@pytest.mark.parametrize(
    'arguments',
    [
        ['a', 'b'],
        ['a', '--unknown=1'],
        ['a', '__class__'],
        ['a', '-', 'b'],
        ['a', '--', '--interactive'],
        [],
    ],
)
def test_wrong_arguments_keep_a_command_from_running(
    arguments: list[str],
) -> None:
    """Guards against commands that run in spite of invalid arguments."""
    ran: list[str] = []

    def command(name: str, *, json: str = '') -> int:
        ran.append(name)
        return 0

    bound = _arguments.bind(command, arguments, {'json'})
    assert getattr(bound, 'code', None) is codes.ResultCode.USAGE
    assert ran == []


@pytest.mark.parametrize('text', ['10', '1e5', 'None', '[1]', "'a'", '{}'])
def test_arguments_are_taken_literally(text: str) -> None:
    """Guards against names that are converted to numbers or other literals."""
    received: list[str] = []

    def command(name: str, *, json: str = '') -> int:
        received.extend((name, json))
        return 0

    bound = _arguments.bind(command, ['--json', text], {'json'})
    assert not hasattr(bound, 'code')
    bound.value()
    assert received == [text, 'True']
