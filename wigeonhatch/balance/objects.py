"""Objects that requests concern, and the targets that each may use."""

from __future__ import annotations

import collections

from wigeonhatch import clock as clocks

OBJECTS_PER_TARGET = 24
"""Objects that a target is assumed to keep ready; a target whose requests
concern more of them loses the benefit for all."""
MAX_HOME_TARGETS = 2
"""Targets of one object, so that the loss of one leaves a prepared one; more
would have to keep the objects of all regions ready several times."""
MEMORY_MS = 10_000
"""Time for which an object counts after its last request; the time for which
targets remember objects is not stated."""


class ObjectCounter:
    """Count the distinct objects of each service.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._seen_ms_by_object: dict[str, dict[bytes, int]] = (
            collections.defaultdict(dict)
        )

    def note(self, service: str, affinity_key: bytes) -> None:
        """Count a request for an object.

        Args:
            service: Name of the service.
            affinity_key: The object; empty for none.
        """
        if affinity_key:
            self._seen_ms_by_object[service][affinity_key] = self._clock.now_ms

    def home_size(self, service: str, targets: int) -> int:
        """Number of targets that handle one object.

        Args:
            service: Name of the service.
            targets: Targets among which the objects are divided.
        """
        count = len(self._seen_ms_by_object[service])
        if not count:
            return targets
        most = min(targets, MAX_HOME_TARGETS)
        return max(1, min(most, OBJECTS_PER_TARGET * targets // count))

    def expire(self) -> None:
        """Forget objects without requests."""
        oldest_ms = self._clock.now_ms - MEMORY_MS
        for seen_ms_by_object in self._seen_ms_by_object.values():
            for key, seen_ms in list(seen_ms_by_object.items()):
                if seen_ms < oldest_ms:
                    del seen_ms_by_object[key]
