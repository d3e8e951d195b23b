"""Objects that requests concern, and the targets that each may use."""

from __future__ import annotations

import collections

from wigeonhatch import clock as clocks

KEYS_PER_TARGET = 24
"""Objects that a target is assumed to keep ready; a target whose requests
concern more of them loses the benefit for all."""
MAX_HOME_TARGETS = 2
"""Targets of one object, so that the loss of one leaves a prepared one; more
would have to keep the objects of all regions ready several times."""
KEY_TTL_MS = 10_000
"""Time for which an object counts after its last request; the time for which
targets remember objects is not stated."""


class AffinityKeyCounter:
    """Count the distinct objects of each service.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._last_seen_ms_by_key_by_service: dict[str, dict[bytes, int]] = (
            collections.defaultdict(dict)
        )

    def on_request(self, service: str, affinity_key: bytes) -> None:
        """Count a request for an object.

        Args:
            service: Name of the service.
            affinity_key: The object; empty for none.
        """
        if affinity_key:
            self._last_seen_ms_by_key_by_service[service][affinity_key] = (
                self._clock.now_ms
            )

    def home_target_count(self, service: str, targets: int) -> int:
        """Number of targets that handle one object.

        Args:
            service: Name of the service.
            targets: Targets among which the objects are divided.
        """
        count = len(self._last_seen_ms_by_key_by_service[service])
        if not count:
            return targets
        most = min(targets, MAX_HOME_TARGETS)
        return max(1, min(most, KEYS_PER_TARGET * targets // count))

    def expire(self) -> None:
        """Forget objects without requests."""
        oldest_ms = self._clock.now_ms - KEY_TTL_MS
        for (
            last_seen_ms_by_key
        ) in self._last_seen_ms_by_key_by_service.values():
            for key, last_seen_ms in list(last_seen_ms_by_key.items()):
                if last_seen_ms < oldest_ms:
                    del last_seen_ms_by_key[key]
