"""Sliding-window limit on the buckets that a host moves."""

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
# Moves are remembered for this long after they leave the window, so that
# they count again when an operator lengthens the interval.
_MEMORY_MS = 3_600_000


def cap_buckets(cap: model.Cap) -> int:
    """Count the buckets that may move in one window.

    Args:
        cap: Cap of an operator.

    Returns:
        The number rounded down; 0 for a cap below one bucket.
    """
    part = fractions.Fraction(str(cap.percent)) / 100
    return math.floor(part * hash_buckets.BUCKET_COUNT)


def window_ms(cap: model.Cap) -> int:
    """Length of the window in ms, with the lookup TTL.

    A caller may follow a lookup response for the TTL, so a move can take
    effect that much later than the host made it.

    Args:
        cap: Cap of an operator.
    """
    return cap.interval_ms + model.LOOKUP_TTL_MS


class ShiftLimiter:
    """Limit the buckets that move in any window.

    A window is closed at both ends: moves exactly `window_ms` apart share a
    window. Each move is judged by the cap in force when it happens.

    Args:
        clock: Clock of this host.
        cap: Cap at the start.
    """

    def __init__(self, clock: clocks.Clock, cap: model.Cap) -> None:
        self.violations = 0
        self._clock = clock
        self._recent: collections.deque[tuple[int, int]] = collections.deque()
        self._past: collections.deque[tuple[int, int]] = collections.deque()
        self._used = 0
        self._limit = cap_buckets(cap)
        self._window_ms = window_ms(cap)

    def configure(self, cap: model.Cap) -> None:
        """Replace the cap; moves within the new window count against it.

        Args:
            cap: Cap of an operator.
        """
        self._limit = cap_buckets(cap)
        self._window_ms = window_ms(cap)
        while self._past and self._is_recent(self._past[-1][0]):
            at_ms, count = self._past.pop()
            self._recent.appendleft((at_ms, count))
            self._used += count

    @property
    def limit(self) -> int:
        """Buckets that may move in one window."""
        return self._limit

    @property
    def available(self) -> int:
        """Buckets that may move now."""
        self._expire()
        return max(0, self._limit - self._used)

    def allow(self, wanted: int, reserve: int = 0) -> int:
        """Allow moves and count them as made now.

        Args:
            wanted: Number of buckets that the caller wants to move.
            reserve: Number of buckets to leave for other moves.

        Returns:
            The number that the caller may move now, from 0 to `wanted`.
        """
        self._expire()
        granted = min(wanted, self._limit - self._used - reserve)
        if granted <= 0:
            return 0
        self._recent.append((self._clock.now_ms, granted))
        self._used += granted
        if sum(count for _, count in self._recent) > self._limit:
            self._recent.pop()
            self._used -= granted
            self.on_violation(f'{granted} moves exceed cap {self._limit}')
            return 0
        return granted

    def on_violation(self, detail: str) -> None:
        """Count and log a violated invariant.

        Args:
            detail: What was found and what was expected.
        """
        self.violations += 1
        _log.error(
            'shift limit violated: %s',
            detail,
            extra={'code': int(codes.ResultCode.INVARIANT_VIOLATED)},
        )

    def _is_recent(self, at_ms: int) -> bool:
        return self._clock.now_ms - at_ms <= self._window_ms

    def _expire(self) -> None:
        while self._recent and not self._is_recent(self._recent[0][0]):
            at_ms, count = self._recent.popleft()
            self._used -= count
            self._past.append((at_ms, count))
        now_ms = self._clock.now_ms
        while self._past and now_ms - self._past[0][0] > _MEMORY_MS:
            self._past.popleft()
