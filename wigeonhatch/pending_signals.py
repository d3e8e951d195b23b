"""Requests to reload that arrive while a daemon starts.

The default action of SIGHUP ends the process.
"""

from __future__ import annotations

import signal
import typing

_pending: list[int] = []
_replaced: list[typing.Any] = []


def hold() -> None:
    """Record SIGHUP from now on, also if it was ignored."""
    previous = signal.signal(signal.SIGHUP, _record)
    if previous is not _record:
        _replaced.append(previous)


def release() -> None:
    """Restore what `hold` has replaced, for commands that are no daemons."""
    if _replaced:
        signal.signal(signal.SIGHUP, _replaced.pop())


def take() -> bool:
    """Return whether SIGHUP has arrived, and forget it."""
    has_arrived = bool(_pending)
    _pending.clear()
    return has_arrived


def _record(number: int, frame: object) -> None:
    del frame
    _pending.append(number)
