"""Tests of the signals of a daemon between its stop and its exit."""

from __future__ import annotations

import collections.abc
import os
import signal

import anyio
import pytest

from wigeonhatch.entry import daemon_signals

NUMBERS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


@pytest.fixture(autouse=True)
def restored_handlers() -> collections.abc.Iterator[None]:
    """Restore the handlers of the process of the tests."""
    handlers = {number: signal.getsignal(number) for number in NUMBERS}
    yield
    for number, handler in handlers.items():
        signal.signal(number, handler)


@pytest.mark.parametrize('use_uvloop', [False, True])
def test_signals_after_the_stop_are_ignored(use_uvloop: bool) -> None:
    """Guards against a signal that kills a process which is about to exit."""

    async def main() -> None:
        with daemon_signals.receive() as signals:
            os.kill(os.getpid(), signal.SIGTERM)
            async for number in signals:
                assert number == signal.SIGTERM
                break
        for number in NUMBERS:
            os.kill(os.getpid(), number)

    anyio.run(main, backend_options={'use_uvloop': use_uvloop})
    for number in NUMBERS:
        assert signal.getsignal(number) is signal.SIG_IGN
        os.kill(os.getpid(), number)
