"""Entry point of the program `wigeonhatch`."""

from __future__ import annotations

import collections.abc
import io
import logging
import os
import sys

from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch import pending_signals
from wigeonhatch.cli import daemons

_LOG = logging.getLogger(__name__)
_INTERRUPTED_STATUS = 130


def main() -> None:
    """Run the command of `sys.argv` and exit with its status."""
    for stream in (sys.stdout, sys.stderr):
        # The encoding of a terminal may lack characters of names and files.
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
        status = _dispatch(arguments)
        sys.stdout.flush()
        return status
    except KeyboardInterrupt:
        return _INTERRUPTED_STATUS
    except BrokenPipeError:
        # The reader closed the pipe; without the redirection the interpreter
        # would report an error when it flushes at exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return codes.INFO_BY_CODE[codes.ResultCode.OK].exit_status
    except Exception as error:
        # Operators see the error in one line; a daemon, which has log
        # handlers, also logs the stack trace.
        if logging.getLogger().handlers:
            _LOG.exception('command failed')
        from wigeonhatch.cli import reports

        return reports.print_failure(
            outcome.Failure(
                codes.ResultCode.INTERNAL, f'{type(error).__name__}: {error}'
            ),
            '',
        )


def _dispatch(arguments: collections.abc.Sequence[str]) -> int:
    paths = arguments[1:]
    if (
        arguments[:1] == ['edge']
        and len(paths) <= 1
        and not any(path.startswith('-') or path == 'help' for path in paths)
    ):
        # The daemon does not import the operator commands, which would add to
        # its memory and start-up time.
        return daemons.edge(*paths)
    pending_signals.release()
    from wigeonhatch.cli import dispatch

    return dispatch.run(arguments)
