"""Sliding-window rate limit for moves of buckets between regions."""

from __future__ import annotations

import collections
import fractions
import logging
import math

from wigeonhatch import clock as clocks
from wigeonhatch import codes
from wigeonhatch.config import model
from wigeonhatch.steering import buckets as hash_buckets

_log = logging.getLogger(__name__)
# Moves older than the window are kept up to this age, so that they count
# again if an operator lengthens the interval.
_HISTORY_MS = 3_600_000


def buckets_per_window(cap: model.Cap) -> int:
    """Convert a cap to the number of buckets that may move in one window.

    Args:
        cap: Cap from the configuration.

    Returns:
        The number, rounded down; 0 for a cap below one bucket.
    """
    fraction = fractions.Fraction(str(cap.percent)) / 100
    return math.floor(fraction * hash_buckets.BUCKET_COUNT)


def window_ms(cap: model.Cap) -> int:
    """Return the length of the window in ms, including the lookup TTL.

    A caller may use a cached lookup response for the TTL, so a move can take
    effect that much later than the host makes it.

    Args:
        cap: Cap from the configuration.
    """
    return cap.interval_ms + model.LOOKUP_TTL_MS


class ShiftLimiter:
    """Limit the number of buckets that move in any window.

    A window is a closed interval: moves exactly `window_ms` apart share a
    window. Each move is checked against the cap in force when it is made.

    Args:
        clock: Clock of this host.
        cap: Initial cap.
    """

    def __init__(self, clock: clocks.Clock, cap: model.Cap) -> None:
        self.violations = 0
        self._clock = clock
        self._window: collections.deque[tuple[int, int]] = collections.deque()
        self._expired: collections.deque[tuple[int, int]] = collections.deque()
        self._used_moves = 0
        self._max_moves = buckets_per_window(cap)
        self._window_ms = window_ms(cap)

    def configure(self, cap: model.Cap) -> None:
        """Replace the cap; earlier moves in the new window count against it.

        Args:
            cap: Cap from the configuration.
        """
        self._max_moves = buckets_per_window(cap)
        self._window_ms = window_ms(cap)
        while self._expired and self._is_in_window(self._expired[-1][0]):
            moved_ms, count = self._expired.pop()
            self._window.appendleft((moved_ms, count))
            self._used_moves += count

    @property
    def max_moves(self) -> int:
        """Number of buckets that may move in one window."""
        return self._max_moves

    @property
    def available(self) -> int:
        """Number of buckets that may move now."""
        self._expire()
        return max(0, self._max_moves - self._used_moves)

    def acquire(self, requested: int, reserve: int = 0) -> int:
        """Grant moves and count them as made now.

        Args:
            requested: Number of buckets that the caller needs to move.
            reserve: Number of moves to leave available to other callers.

        Returns:
            The number of moves granted, from 0 to `requested`.
        """
        self._expire()
        granted = min(requested, self._max_moves - self._used_moves - reserve)
        if granted <= 0:
            return 0
        self._window.append((self._clock.now_ms, granted))
        self._used_moves += granted
        if sum(count for _, count in self._window) > self._max_moves:
            self._window.pop()
            self._used_moves -= granted
            self.record_violation(
                f'{granted} more moves exceed the cap of {self._max_moves}'
            )
            return 0
        return granted

    def record_violation(self, detail: str) -> None:
        """Count and log a violation of the shift limit.

        Args:
            detail: Observed and permitted number of moves.
        """
        self.violations += 1
        _log.error(
            'shift limit violated: %s',
            detail,
            extra={'code': int(codes.ResultCode.INVARIANT_VIOLATED)},
        )

    def _is_in_window(self, moved_ms: int) -> bool:
        return self._clock.now_ms - moved_ms <= self._window_ms

    def _expire(self) -> None:
        while self._window and not self._is_in_window(self._window[0][0]):
            moved_ms, count = self._window.popleft()
            self._used_moves -= count
            self._expired.append((moved_ms, count))
        now_ms = self._clock.now_ms
        while self._expired and now_ms - self._expired[0][0] > _HISTORY_MS:
            self._expired.popleft()
