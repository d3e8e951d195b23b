"""Program `wigeonhatch`."""

from __future__ import annotations

import collections.abc
import io
import logging
import os
import sys

from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.cli import daemons

_LOG = logging.getLogger(__name__)
_INTERRUPTED = 130


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
        from wigeonhatch.cli import reports

        return reports.report(
            outcome.Failure(
                codes.ResultCode.INTERNAL, f'{type(error).__name__}: {error}'
            ),
            '',
        )


def _run(arguments: collections.abc.Sequence[str]) -> int:
    paths = arguments[1:]
    if (
        arguments[:1] == ['edge']
        and len(paths) <= 1
        and not any(path.startswith('-') or path == 'help' for path in paths)
    ):
        # The operators' commands would add to the memory of the daemon and to
        # the time of its start.
        return daemons.edge(*paths)
    from wigeonhatch.cli import dispatch

    return dispatch.run(arguments)
