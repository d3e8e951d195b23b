"""Requests to reload that arrive while a daemon starts.

The default action of SIGHUP ends the process.
"""

from __future__ import annotations

import signal

_pending: list[int] = []


def hold() -> None:
    """Record SIGHUP from now on, unless the process ignores it."""
    if signal.getsignal(signal.SIGHUP) is signal.SIG_DFL:
        signal.signal(signal.SIGHUP, _record)


def release() -> None:
    """Restore the default action, for commands that are no daemons."""
    if signal.getsignal(signal.SIGHUP) is _record:
        signal.signal(signal.SIGHUP, signal.SIG_DFL)


def take() -> bool:
    """Return whether SIGHUP has arrived, and forget it."""
    has_arrived = bool(_pending)
    _pending.clear()
    return has_arrived


def _record(number: int, frame: object) -> None:
    del frame
    _pending.append(number)
