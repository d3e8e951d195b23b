"""Request count over a sliding window."""

from __future__ import annotations

import collections

from wigeonhatch import clock as clocks

_BIN_MS = 500


class TrafficWindow:
    """Count requests over a sliding window, in bins of 500 ms.

    Args:
        clock: Clock of this host.
        window_ms: Length of the window in ms.
    """

    def __init__(self, clock: clocks.Clock, window_ms: int = 10_000) -> None:
        self.window_ms = window_ms
        self._clock = clock
        self._bins: collections.deque[list[int]] = collections.deque()
        self._total = 0

    def add(self) -> None:
        """Count one request now."""
        bin_number = self._clock.now_ms // _BIN_MS
        if not self._bins or self._bins[-1][0] != bin_number:
            self._expire()
            self._bins.append([bin_number, 0])
        self._bins[-1][1] += 1
        self._total += 1

    @property
    def count(self) -> int:
        """Number of requests in the window."""
        self._expire()
        return self._total

    def _expire(self) -> None:
        oldest_bin = (self._clock.now_ms - self.window_ms) // _BIN_MS
        while self._bins and self._bins[0][0] < oldest_bin:
            self._total -= self._bins.popleft()[1]
