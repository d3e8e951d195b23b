"""Number of targets that serve the requests of one affinity key."""

from __future__ import annotations

import collections

from wigeonhatch import clock as clocks

KEYS_PER_TARGET = 24
"""Affinity keys for which a target is assumed to cache state; with more keys,
evictions make it lose the benefit for all of them."""
MAX_HOME_TARGETS = 2
"""Home targets of one key, the first in its ranking: if one is lost, the other
has the state cached; more would cache the state of all regions repeatedly."""
KEY_TTL_MS = 10_000
"""Time for which a key counts after its last request; targets do not state how
long they cache the state of a key."""


class AffinityKeyCounter:
    """Count the distinct affinity keys of each service.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._keys_by_service: dict[str, dict[bytes, int]] = (
            collections.defaultdict(dict)
        )

    def on_request(self, service: str, affinity_key: bytes) -> None:
        """Record the affinity key of a request.

        Args:
            service: Name of the service.
            affinity_key: Affinity key; empty for none.
        """
        if affinity_key:
            self._keys_by_service[service][affinity_key] = self._clock.now_ms

    def home_count(self, service: str, targets: int) -> int:
        """Number of home targets of one key.

        Args:
            service: Name of the service.
            targets: Number of targets among which the keys are divided.
        """
        count = len(self._keys_by_service[service])
        if not count:
            return targets
        limit = min(targets, MAX_HOME_TARGETS)
        return max(1, min(limit, KEYS_PER_TARGET * targets // count))

    def expire(self) -> None:
        """Remove keys without recent requests."""
        oldest_ms = self._clock.now_ms - KEY_TTL_MS
        for last_seen_ms_by_key in self._keys_by_service.values():
            for key, last_seen_ms in list(last_seen_ms_by_key.items()):
                if last_seen_ms < oldest_ms:
                    del last_seen_ms_by_key[key]
