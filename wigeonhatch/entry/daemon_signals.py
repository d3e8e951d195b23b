"""Reception of the signals of a daemon until it exits."""

from __future__ import annotations

import collections.abc
import contextlib
import signal

import anyio

_HANDLED = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


@contextlib.contextmanager
def receive() -> collections.abc.Iterator[
    collections.abc.AsyncIterator[signal.Signals]
]:
    """Receive the signals of a daemon; ignore further ones afterwards.

    The default action of a signal would end the process within the stop, or
    before its last log lines are written.
    """
    with anyio.open_signal_receiver(*_HANDLED) as signals:
        yield signals
        # The receiver restores the default actions when it closes.
        signal.pthread_sigmask(signal.SIG_BLOCK, _HANDLED)
    for number in _HANDLED:
        signal.signal(number, signal.SIG_IGN)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, _HANDLED)
