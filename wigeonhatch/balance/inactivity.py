"""Detection of targets that have stopped responding to any request."""

from __future__ import annotations

import asyncio
import collections.abc

from wigeonhatch import clock as clocks


class LastResponseTimes:
    """Time of the last response of each target.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self._last_response_ms_by_target: dict[str, int] = {}

    def on_response(self, target: str) -> None:
        """Record a response of any status."""
        self._last_response_ms_by_target[target] = self.clock.now_ms

    def last_response_ms(self, target: str) -> int | None:
        """Time of the last response in ms; None if there was none."""
        return self._last_response_ms_by_target.get(target)


class InactivityTimer:
    """Call back if a target responds to no request for some time.

    Args:
        responses: Times of the last responses.
        target: Name of the target.
        on_inactive: Called at each timeout until it returns True.
    """

    def __init__(
        self,
        responses: LastResponseTimes,
        target: str,
        on_inactive: collections.abc.Callable[[], bool],
    ) -> None:
        self._responses = responses
        self._target = target
        self._on_inactive = on_inactive
        self._timeout_ms = 0.0
        self._started_ms = 0
        self._timer: asyncio.TimerHandle | None = None

    def start(self, timeout_ms: float) -> None:
        """Start the timer.

        Args:
            timeout_ms: Longest time without a response in ms.
        """
        self._timeout_ms = timeout_ms
        self._started_ms = self._responses.clock.now_ms
        self._arm(timeout_ms)

    def stop(self) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _arm(self, delay_ms: float) -> None:
        self._timer = asyncio.get_running_loop().call_later(
            delay_ms / 1_000, self._check
        )

    def _check(self) -> None:
        last_active_ms = max(
            self._started_ms,
            self._responses.last_response_ms(self._target) or 0,
        )
        remaining_ms = self._timeout_ms - (
            self._responses.clock.now_ms - last_active_ms
        )
        if remaining_ms > 0:
            self._arm(remaining_ms + 1)
        elif not self._on_inactive():
            self._arm(self._timeout_ms)
