"""Tests of the signals of an edge daemon."""

from __future__ import annotations

import collections.abc
import os
import signal

import anyio
import pytest

from wigeonhatch import pending_signals
from wigeonhatch.entry import edge_signals


async def _deliver(
    *numbers: signal.Signals,
) -> collections.abc.AsyncIterator[signal.Signals]:
    for number in numbers:
        yield number


@pytest.fixture(autouse=True)
def default_handler() -> collections.abc.Iterator[None]:
    """Begin with the default action; restore the handler after a test."""
    handler = signal.signal(signal.SIGHUP, signal.SIG_DFL)
    pending_signals.release()
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    yield
    signal.signal(signal.SIGHUP, handler)


def test_signal_before_the_handlers_is_not_lost() -> None:
    """Guards against SIGHUP that ends a starting daemon, or has no effect."""
    pending_signals.hold()
    os.kill(os.getpid(), signal.SIGHUP)
    reloads: list[str] = []

    async def main() -> None:
        for _ in range(2):
            await edge_signals.wait_for_stop(
                _deliver(signal.SIGTERM), lambda: reloads.append('reload')
            )

    anyio.run(main)
    assert reloads == ['reload']


def test_daemon_hears_an_ignored_signal() -> None:
    """Guards against a daemon under `nohup` that misses a reload."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    pending_signals.hold()
    pending_signals.hold()
    os.kill(os.getpid(), signal.SIGHUP)
    assert pending_signals.take()
    pending_signals.release()
    assert signal.getsignal(signal.SIGHUP) is signal.SIG_IGN


def test_error_of_a_reload_does_not_end_the_daemon() -> None:
    """Guards against settings that end the daemon on SIGHUP."""
    reloads: list[str] = []

    def reload() -> None:
        reloads.append('reload')
        raise RuntimeError('unexpected')

    async def main() -> None:
        await edge_signals.wait_for_stop(
            _deliver(signal.SIGHUP, signal.SIGHUP, signal.SIGTERM), reload
        )

    anyio.run(main)
    assert reloads == ['reload', 'reload']


def test_ignored_signal_stays_ignored() -> None:
    """Guards against a command that ends although it runs under `nohup`."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    pending_signals.hold()
    pending_signals.release()
    assert signal.getsignal(signal.SIGHUP) is signal.SIG_IGN


def test_other_commands_keep_the_default_action() -> None:
    """Guards against a command that outlives its terminal."""
    pending_signals.hold()
    pending_signals.release()
    assert signal.getsignal(signal.SIGHUP) is signal.SIG_DFL
