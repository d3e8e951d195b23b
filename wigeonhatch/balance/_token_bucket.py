"""Token bucket that holds at most one token."""

from __future__ import annotations

from wigeonhatch import clock as clocks

_CAPACITY = 1.0


class TokenBucket:
    """Tokens of one target that this host may use.

    Args:
        clock: Source of monotonic time.
        tokens: Initial number of tokens.
    """

    __slots__ = ('_clock', '_tokens', '_updated_ms')

    def __init__(self, clock: clocks.Clock, tokens: float = _CAPACITY) -> None:
        self._clock = clock
        self._tokens = tokens
        self._updated_ms = clock.now_ms

    def refill(self, rate_per_s: float) -> bool:
        """Add the tokens of the time since the last call.

        Args:
            rate_per_s: Tokens per second.

        Returns:
            Whether there is a token.
        """
        now_ms = self._clock.now_ms
        elapsed_ms = now_ms - self._updated_ms
        self._updated_ms = now_ms
        self._tokens = min(
            _CAPACITY, self._tokens + rate_per_s * elapsed_ms / 1_000
        )
        return self._tokens >= 1.0

    def clear(self) -> None:
        """Remove all tokens."""
        self._updated_ms = self._clock.now_ms
        self._tokens = min(0.0, self._tokens)

    def take(self) -> None:
        """Consume the token whose presence `refill` has confirmed."""
        self._tokens -= 1.0
