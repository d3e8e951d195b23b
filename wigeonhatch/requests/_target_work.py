"""Work of a target on one request."""

from __future__ import annotations

from wigeonhatch import clock as clocks
from wigeonhatch.balance import loads


class TargetWork:
    """Count a request at a target until the target has ended its response.

    Args:
        load_table: Number of requests in progress at each target.
        target: Name of the target.
        clock: Source of monotonic time.
    """

    def __init__(
        self, load_table: loads.LoadTable, target: str, clock: clocks.Clock
    ) -> None:
        self.started_ms = clock.now_ms
        self._loads = load_table
        self._target = target
        self._clock = clock
        self._ended_ms: int | None = None
        load_table.start(target)

    @property
    def elapsed_ms(self) -> int:
        """Duration until now, or until the end, in ms."""
        ended_ms = self._ended_ms
        if ended_ms is None:
            ended_ms = self._clock.now_ms
        return ended_ms - self.started_ms

    def end(self) -> None:
        """Record the end; further calls have no effect."""
        if self._ended_ms is None:
            self._ended_ms = self._clock.now_ms
            self._loads.finish(self._target)
