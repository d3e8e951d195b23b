"""Program `wigeonhatch`."""

from __future__ import annotations

import collections.abc
import inspect
import io
import logging
import os
import sys

from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.cli import _arguments
from wigeonhatch.cli import commands
from wigeonhatch.cli import reports

_LOG = logging.getLogger(__name__)
_INTERRUPTED = 130
_HELP = frozenset({'help', '--help', '-h'})


def main() -> None:
    """Run the command line and exit with the status of the command."""
    for stream in (sys.stdout, sys.stderr):
        # A terminal may not have all characters of names and files.
        if isinstance(stream, io.TextIOWrapper):
            stream.reconfigure(errors='backslashreplace')
    sys.exit(run(sys.argv[1:]))


def run(arguments: collections.abc.Sequence[str]) -> int:
    """Run one command.

    Args:
        arguments: Arguments without the name of the program.

    Returns:
        Exit status.
    """
    try:
        status = _run(arguments)
        sys.stdout.flush()
        return status
    except KeyboardInterrupt:
        return _INTERRUPTED
    except BrokenPipeError:
        # The reader of a pipe has gone; the interpreter would report the
        # flush at exit as an error.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return codes.INFO_BY_CODE[codes.ResultCode.OK].exit_status
    except Exception as error:
        # Operators get the error in one line; the log of a daemon has the
        # stack.
        if logging.getLogger().handlers:
            _LOG.exception('the command failed')
        return reports.report(
            outcome.Failure(
                codes.ResultCode.INTERNAL, f'{type(error).__name__}: {error}'
            ),
            '',
        )


def _run(arguments: collections.abc.Sequence[str]) -> int:
    if not arguments or arguments[0] in _HELP:
        return _print_help(arguments[1:2])
    name, rest = arguments[0], arguments[1:]
    command = commands.COMMAND_BY_NAME.get(name)
    if command is None:
        return _refuse(f'unknown command {name[:80]!r}', name, rest)
    if any(argument in _HELP - {'help'} for argument in rest):
        return _print_help([name])
    bound = _arguments.bind(command, rest, commands.SWITCHES)
    if isinstance(bound, outcome.Failure):
        return _refuse(bound.detail, name, rest)
    return bound.value()


def _refuse(
    detail: str, name: str, rest: collections.abc.Sequence[str]
) -> int:
    hint = f'wigeonhatch {name} --help'
    if name not in commands.COMMAND_BY_NAME:
        hint = 'wigeonhatch --help'
    return reports.report(
        outcome.Failure(codes.ResultCode.USAGE, f'{detail}\nsee `{hint}`'),
        str('--json' in rest),
    )


def _print_help(names: collections.abc.Sequence[str]) -> int:
    for name in names:
        command = commands.COMMAND_BY_NAME.get(name)
        if command is None:
            return _refuse(f'unknown command {name[:80]!r}', name, ())
        print(inspect.getdoc(command))
        return codes.INFO_BY_CODE[codes.ResultCode.OK].exit_status
    print('wigeonhatch COMMAND ...\n\nCommands:')
    for name, command in commands.COMMAND_BY_NAME.items():
        summary = (inspect.getdoc(command) or '').partition('\n')[0]
        print(f'  {name:8} {summary}')
    print('\n`wigeonhatch COMMAND --help` shows options and examples.')
    print('Exit statuses are those of `wigeonhatch codes`.')
    return codes.INFO_BY_CODE[codes.ResultCode.OK].exit_status
