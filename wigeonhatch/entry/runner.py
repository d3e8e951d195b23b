"""Run the event loop of a daemon."""

from __future__ import annotations

import collections.abc
import logging

import anyio

from wigeonhatch import codes
from wigeonhatch import log

LOG_DRAIN_MS = 100
"""Longest wait for the reader of the log at the exit, a quarter of the time
between the end of a stop and the forced termination."""
_LOG = logging.getLogger(__name__)


def run_daemon(
    main: collections.abc.Callable[[], collections.abc.Awaitable[None]],
) -> int:
    """Run a daemon until it exits.

    Args:
        main: Runs the daemon until it is stopped.

    Returns:
        Exit status; not 0 if an address cannot be bound.
    """
    try:
        anyio.run(main, backend_options={'use_uvloop': True})
    except ExceptionGroup as group:
        matched, rest = group.split(OSError)
        if matched is None or rest is not None:
            raise
        _LOG.error('cannot start: %s', matched.exceptions)
        return codes.INFO_BY_CODE[codes.ResultCode.INTERNAL].exit_status
    finally:
        log.drain(LOG_DRAIN_MS)
    return 0
