"""Clocks: the monotonic and wall clock of a host, and a manual one."""

from __future__ import annotations

import time

import anyio


class Clock:
    """Read the monotonic clock of this host.

    The clock keeps running while the process is suspended, so that a resumed
    process can detect the gap.
    """

    @property
    def now_ms(self) -> int:
        """Monotonic time in ms; only differences are meaningful."""
        return time.monotonic_ns() // 1_000_000

    @property
    def now_ns(self) -> int:
        """Monotonic time in ns, for measuring short durations."""
        return time.monotonic_ns()

    @property
    def wall_ms(self) -> int:
        """Time since the Unix epoch in ms, for logs and audit records."""
        return time.time_ns() // 1_000_000

    async def sleep_ms(self, duration_ms: int) -> None:
        """Suspend the current task.

        Args:
            duration_ms: Time to sleep in ms.
        """
        await anyio.sleep(duration_ms / 1000)


class ManualClock(Clock):
    """Clock for tests that only advances on request.

    Args:
        start_ms: Initial time in ms.
    """

    def __init__(self, start_ms: int = 1_000_000) -> None:
        self._now_ms = start_ms

    @property
    def now_ms(self) -> int:
        """Current manual time in ms."""
        return self._now_ms

    @property
    def wall_ms(self) -> int:
        """Current manual time in ms."""
        return self._now_ms

    def advance(self, duration_ms: int) -> None:
        """Advance the clock.

        Args:
            duration_ms: Time to advance by in ms, at least 0.
        """
        self._now_ms += duration_ms

    async def sleep_ms(self, duration_ms: int) -> None:
        """Advance the clock and let other tasks run.

        Args:
            duration_ms: Time to sleep in ms.
        """
        self.advance(duration_ms)
        await anyio.lowlevel.checkpoint()
