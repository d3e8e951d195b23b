"""Requests in progress at each target, of this host and of its peers."""

from __future__ import annotations

import collections
import collections.abc

from wigeonhatch import clock as clocks

REPORT_LIFE_MS = 2_000
"""Age at which a peer's counts are dropped; ten intervals of its reports."""
DEFAULT_DURATION_MS = 300.0
"""Assumed time of a request while none has been served."""
_SMOOTHING = 0.1
"""Weight of the newest duration; about the last ten responses count."""


class LoadTable:
    """Count requests in progress by target.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._own_by_target: collections.Counter[str] = collections.Counter()
        self._peer_by_target: collections.Counter[str] = collections.Counter()
        self._report_by_host: dict[str, tuple[int, dict[str, int]]] = {}
        self._duration_by_place: dict[tuple[str, bool], float] = {}

    def start(self, target: str) -> None:
        """Count a request that is sent to a target."""
        self._own_by_target[target] += 1

    def finish(self, target: str) -> None:
        """Count the end of a request at a target."""
        if self._own_by_target[target] <= 1:
            del self._own_by_target[target]
        else:
            self._own_by_target[target] -= 1

    def record_duration(
        self, service: str, is_home: bool, took_ms: int
    ) -> None:
        """Learn how long a request of a service takes without a queue.

        Args:
            service: Name of the service.
            is_home: Whether the target usually handles the object.
            took_ms: Time from the request to the whole response in ms.
        """
        key = (service, is_home)
        known = self._duration_by_place.get(key)
        self._duration_by_place[key] = (
            took_ms
            if known is None
            else known + _SMOOTHING * (took_ms - known)
        )

    def duration_ms(self, service: str, is_home: bool) -> float:
        """Smoothed time of a request of a service without a queue in ms.

        Args:
            service: Name of the service.
            is_home: Whether the target usually handles the object.
        """
        known = self._duration_by_place.get((service, is_home))
        if known is None:
            known = self._duration_by_place.get((service, not is_home))
        return DEFAULT_DURATION_MS if known is None else known

    def max_duration_ms(self, service: str) -> float | None:
        """Smoothed time of the requests that take longest in ms.

        Args:
            service: Name of the service.

        Returns:
            The time; None while no request has been served.
        """
        known = [
            duration
            for (name, _), duration in self._duration_by_place.items()
            if name == service
        ]
        return max(known, default=None)

    def in_progress(self, target: str) -> int:
        """Requests of all hosts in progress at a target."""
        return self._own_by_target[target] + self._peer_by_target[target]

    def own_counts(self) -> dict[str, int]:
        """Requests of this host in progress, by target."""
        return dict(self._own_by_target)

    def on_report(
        self, host: str, count_by_target: collections.abc.Mapping[str, int]
    ) -> None:
        """Take over the counts of a peer.

        Args:
            host: Name of the peer.
            count_by_target: Its requests in progress by target.
        """
        known = self._report_by_host.pop(host, None)
        if known is not None:
            self._peer_by_target.subtract(known[1])
        counts = dict(count_by_target)
        self._report_by_host[host] = (self._clock.now_ms, counts)
        self._peer_by_target.update(counts)

    def remove_host(self, host: str) -> None:
        """Drop the counts of a peer."""
        known = self._report_by_host.pop(host, None)
        if known is not None:
            self._peer_by_target.subtract(known[1])

    def expire(self) -> None:
        """Drop counts of peers that have not reported for too long."""
        oldest_ms = self._clock.now_ms - REPORT_LIFE_MS
        for host, (reported_ms, _) in list(self._report_by_host.items()):
            if reported_ms < oldest_ms:
                self.remove_host(host)
        self._peer_by_target = +self._peer_by_target

    def counts_by_host(
        self, own_host: str
    ) -> collections.abc.Iterator[tuple[str, dict[str, int]]]:
        """Yield each host with its requests in progress by target.

        Args:
            own_host: Name of this host.
        """
        yield own_host, self.own_counts()
        for host, (_, counts) in self._report_by_host.items():
            yield host, counts
