"""Targets that do not answer anybody."""

from __future__ import annotations

import asyncio
import collections.abc

from wigeonhatch import clock as clocks


class LastResponseTimes:
    """Time of the newest answer of each target.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self._last_response_ms_by_target: dict[str, int] = {}

    def on_response(self, target: str) -> None:
        """Record an answer, whatever it says."""
        self._last_response_ms_by_target[target] = self.clock.now_ms

    def last_response_ms(self, target: str) -> int | None:
        """Time of the newest answer; None if there was none."""
        return self._last_response_ms_by_target.get(target)


class InactivityTimer:
    """Call back once a target has answered nobody for some time.

    Args:
        responses: Times of responses.
        target: Name of the target.
        on_inactive: Called after each time of silence until it returns True.
    """

    def __init__(
        self,
        responses: LastResponseTimes,
        target: str,
        on_inactive: collections.abc.Callable[[], bool],
    ) -> None:
        self._responses = responses
        self._target = target
        self._on_silent = on_inactive
        self._limit_ms = 0.0
        self._started_ms = 0
        self._timer: asyncio.TimerHandle | None = None

    def start(self, limit_ms: float) -> None:
        """Start to watch.

        Args:
            limit_ms: Longest silence in ms.
        """
        self._limit_ms = limit_ms
        self._started_ms = self._responses.clock.now_ms
        self._arm(limit_ms)

    def stop(self) -> None:
        """Stop to watch."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _arm(self, delay_ms: float) -> None:
        self._timer = asyncio.get_running_loop().call_later(
            delay_ms / 1_000, self._check
        )

    def _check(self) -> None:
        heard_ms = max(
            self._started_ms,
            self._responses.last_response_ms(self._target) or 0,
        )
        left_ms = self._limit_ms - (self._responses.clock.now_ms - heard_ms)
        if left_ms > 0:
            self._arm(left_ms + 1)
        elif not self._on_silent():
            self._arm(self._limit_ms)
