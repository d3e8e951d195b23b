"""Dispatch of command-line arguments to commands."""

from __future__ import annotations

import collections.abc
import inspect

from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.cli import _arguments
from wigeonhatch.cli import commands
from wigeonhatch.cli import reports

_HELP_ARGUMENTS = frozenset({'help', '--help', '-h'})


def run(arguments: collections.abc.Sequence[str]) -> int:
    """Find a command, bind its arguments and run it.

    Args:
        arguments: Arguments without the name of the program.

    Returns:
        Exit status.
    """
    if not arguments or arguments[0] in _HELP_ARGUMENTS:
        return _print_help(arguments[1:2])
    name, rest = arguments[0], arguments[1:]
    command = commands.COMMAND_BY_NAME.get(name)
    if command is None:
        return _reject(f'unknown command {name[:80]!r}', name, rest)
    if any(argument in _HELP_ARGUMENTS - {'help'} for argument in rest):
        return _print_help([name])
    bound = _arguments.bind(command, rest, commands.SWITCHES)
    if isinstance(bound, outcome.Failure):
        return _reject(bound.detail, name, rest)
    return bound.value()


def _reject(
    detail: str, name: str, rest: collections.abc.Sequence[str]
) -> int:
    hint = f'wigeonhatch {name} --help'
    if name not in commands.COMMAND_BY_NAME:
        hint = 'wigeonhatch --help'
    return reports.print_failure(
        outcome.Failure(codes.ResultCode.USAGE, f'{detail}\nsee `{hint}`'),
        str('--json' in rest),
    )


def _print_help(names: collections.abc.Sequence[str]) -> int:
    for name in names:
        command = commands.COMMAND_BY_NAME.get(name)
        if command is None:
            return _reject(f'unknown command {name[:80]!r}', name, ())
        print(inspect.getdoc(command))
        return codes.INFO_BY_CODE[codes.ResultCode.OK].exit_status
    print('wigeonhatch COMMAND ...\n\nCommands:')
    for name, command in commands.COMMAND_BY_NAME.items():
        summary = (inspect.getdoc(command) or '').partition('\n')[0]
        print(f'  {name:8} {summary}')
    print('\n`wigeonhatch COMMAND --help` shows options and examples.')
    print('Exit statuses are those of `wigeonhatch codes`.')
    return codes.INFO_BY_CODE[codes.ResultCode.OK].exit_status
