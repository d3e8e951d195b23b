"""Event loop for tests whose time passes without waiting."""

from __future__ import annotations

import asyncio
import collections.abc
import selectors
import typing

import anyio

from wigeonhatch import clock as clocks

WALL_START_MS = 1_700_000_000_000


class _Selector(selectors.SelectSelector):
    """Selector that advances the time of its loop instead of waiting."""

    now_s = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the events that are there; the timeout passes at once.

        Raises:
            RuntimeError: The loop would wait forever.
        """
        ready = super().select(0)
        if not ready:
            if timeout is None:
                raise RuntimeError('all tasks wait forever')
            self.now_s += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop with a clock of its own."""

    def __init__(self) -> None:
        self._virtual = _Selector()
        super().__init__(self._virtual)

    def time(self) -> float:
        """Virtual time in s."""
        return self._virtual.now_s


class VirtualClock(clocks.Clock):
    """Clock of the running `VirtualLoop`."""

    @property
    def now_ms(self) -> int:
        """Virtual time in ms."""
        return round(asyncio.get_running_loop().time() * 1_000)

    @property
    def wall_ms(self) -> int:
        """Virtual time of day in ms."""
        return WALL_START_MS + self.now_ms


def run(
    function: collections.abc.Callable[
        [], collections.abc.Coroutine[typing.Any, typing.Any, None]
    ],
) -> None:
    """Run an asynchronous function in virtual time.

    Args:
        function: Called without arguments.
    """
    anyio.run(function, backend_options={'loop_factory': VirtualLoop})
