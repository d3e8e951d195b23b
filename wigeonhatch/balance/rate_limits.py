"""Rate limits that targets state in their responses, as known to the fleet."""

from __future__ import annotations

import collections.abc
import dataclasses
import logging

import msgspec

from wigeonhatch import clock as clocks
from wigeonhatch import log
from wigeonhatch.balance import _rotation
from wigeonhatch.targets import registry

MIN_RATE_PER_S = 0.2
"""Lowest rate to apply, since only a response shows that a limit has ended."""
_END_MARGIN_MS = 500
"""Time by which a response without a limit has to be newer than the last one
with a limit; responses overtake each other on their ways to the hosts."""
_FRESH_MS = 2_000
"""Age up to which an observation is left to its observer to report. An older
one is reported by all hosts, since the observer may have been restarted."""
_ENDED_RETENTION_MS = 60_000
_LOG = logging.getLogger(__name__)


class RateStatement(msgspec.Struct, frozen=True, array_like=True):
    """Newest known statement of a target on its rate limit.

    Args:
        target: Name of the target.
        started_ms: Start of the target, ms since the Unix epoch.
        rate_per_s: Requests per second from all hosts; None if its newest
            response had no limit.
        age_ms: Time since the newest response with the limit arrived, or the
            newest one without, in ms.
    """

    target: str
    started_ms: int
    rate_per_s: float | None
    age_ms: int


@dataclasses.dataclass(slots=True)
class _Known:
    """Newest responses of a target with and without a limit."""

    rate_per_s: float
    stated_ms: int
    ended_ms: int | None = None
    own_ms: int | None = None

    @property
    def newest_ms(self) -> int:
        """Time of the newest response."""
        return max(self.stated_ms, self.ended_ms or self.stated_ms)

    @property
    def decisive_ms(self) -> int:
        """Time of the newest response with the limit, or after its end."""
        return self.newest_ms if self.has_ended else self.stated_ms

    @property
    def has_ended(self) -> bool:
        """Whether the target no longer states a limit."""
        return (
            self.ended_ms is not None
            and self.ended_ms - self.stated_ms >= _END_MARGIN_MS
        )


class RateLimitTable:
    """Rate limits by target, from the responses that any host has received.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._known_by_key: dict[registry.Incarnation, _Known] = {}

    def rate_per_s(self, target: registry.TargetRecord) -> float | None:
        """Rate that all hosts together may send to a target.

        Args:
            target: The target.

        Returns:
            Requests per second; None if the target states no limit.
        """
        if not self._known_by_key:
            return None
        known = self._known_by_key.get(target.incarnation)
        if known is None or known.has_ended:
            return None
        return max(MIN_RATE_PER_S, known.rate_per_s)

    def on_response(
        self, target: registry.TargetRecord, rate_per_s: float | None
    ) -> None:
        """Apply the limit in a response that this host has received.

        Args:
            target: The target.
            rate_per_s: Limit; None if the response has none.
        """
        key = target.incarnation
        now_ms = self._clock.now_ms
        self._apply(key, rate_per_s, now_ms)
        known = self._known_by_key.get(key)
        if known is not None:
            known.own_ms = now_ms

    def on_report(
        self, statements: collections.abc.Iterable[RateStatement]
    ) -> None:
        """Apply the statements that a peer reports."""
        for item in statements:
            self._apply(
                (item.target, item.started_ms),
                item.rate_per_s,
                self._clock.now_ms - item.age_ms,
            )

    def build_report(self, max_statements: int) -> tuple[RateStatement, ...]:
        """Select the statements to report to the peers.

        Args:
            max_statements: Maximum number of statements.
        """
        now_ms = self._clock.now_ms
        reported = [
            RateStatement(
                *key,
                None if known.has_ended else known.rate_per_s,
                now_ms - known.decisive_ms,
            )
            for key, known in self._known_by_key.items()
            if _is_reported(known, now_ms)
        ]
        return _rotation.select(reported, max_statements, now_ms)

    def retain(
        self, targets: collections.abc.Iterable[registry.TargetRecord]
    ) -> None:
        """Discard what is known of all targets except the given ones."""
        if not self._known_by_key:
            return
        keys = {target.incarnation for target in targets}
        for key in self._known_by_key.keys() - keys:
            del self._known_by_key[key]

    def _apply(
        self, key: registry.Incarnation, rate_per_s: float | None, at_ms: int
    ) -> None:
        known = self._known_by_key.get(key)
        if known is None:
            if rate_per_s is not None:
                self._known_by_key[key] = _Known(rate_per_s, at_ms)
                _log_change(key, rate_per_s)
            return
        had_ended = known.has_ended
        previous = known.rate_per_s
        if rate_per_s is None:
            known.ended_ms = max(at_ms, known.ended_ms or at_ms)
        elif at_ms >= known.stated_ms:
            known.stated_ms = at_ms
            known.rate_per_s = rate_per_s
        if known.has_ended != had_ended or known.rate_per_s != previous:
            _log_change(key, None if known.has_ended else known.rate_per_s)
        if known.newest_ms - known.stated_ms > _ENDED_RETENTION_MS:
            del self._known_by_key[key]


def _is_reported(known: _Known, now_ms: int) -> bool:
    if now_ms - known.newest_ms > _FRESH_MS:
        return True
    return (
        known.own_ms is not None and known.newest_ms - known.own_ms < _FRESH_MS
    )


def _log_change(key: registry.Incarnation, rate_per_s: float | None) -> None:
    log.event(
        _LOG,
        'target rate limit changed',
        target=key[0],
        incarnation=key[1],
        rate_limit=rate_per_s,
    )
