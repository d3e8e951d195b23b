"""Requests in progress at each target, from this host and its peers."""

from __future__ import annotations

import collections
import collections.abc

from wigeonhatch import clock as clocks

REPORT_TTL_MS = 2_000
"""Age at which the counts of a peer expire; ten report intervals."""
DEFAULT_DURATION_MS = 300.0
"""Duration assumed for a request until one has been served."""
_SMOOTHING = 0.1
"""Smoothing factor; the average covers about the last ten responses."""


class LoadTable:
    """Requests in progress by target, and durations by service.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._own_by_target: collections.Counter[str] = collections.Counter()
        self._peer_by_target: collections.Counter[str] = collections.Counter()
        self._report_by_host: dict[str, tuple[int, dict[str, int]]] = {}
        self._duration_by_key: dict[tuple[str, bool], float] = {}

    def start(self, target: str) -> None:
        """Count a request sent to a target."""
        self._own_by_target[target] += 1

    def finish(self, target: str) -> None:
        """Count the end of a request at a target."""
        if self._own_by_target[target] <= 1:
            del self._own_by_target[target]
        else:
            self._own_by_target[target] -= 1

    def record_duration(
        self, service: str, is_home: bool, duration_ms: int
    ) -> None:
        """Record the duration of a request that did not wait for a slot.

        Args:
            service: Name of the service.
            is_home: Whether the target is a home target of the affinity key.
            duration_ms: Time from the request to the whole response in ms.
        """
        key = (service, is_home)
        smoothed_ms = self._duration_by_key.get(key)
        self._duration_by_key[key] = (
            duration_ms
            if smoothed_ms is None
            else smoothed_ms + _SMOOTHING * (duration_ms - smoothed_ms)
        )

    def duration_ms(self, service: str, is_home: bool) -> float:
        """Smoothed duration in ms of a request that does not wait for a slot.

        Args:
            service: Name of the service.
            is_home: Whether the target is a home target of the affinity key.
        """
        smoothed_ms = self._duration_by_key.get((service, is_home))
        if smoothed_ms is None:
            smoothed_ms = self._duration_by_key.get((service, not is_home))
        return DEFAULT_DURATION_MS if smoothed_ms is None else smoothed_ms

    def max_duration_ms(self, service: str) -> float | None:
        """Longest smoothed duration of the requests of a service in ms.

        Args:
            service: Name of the service.

        Returns:
            The duration; None until a request has been served.
        """
        durations = [
            duration
            for (name, _), duration in self._duration_by_key.items()
            if name == service
        ]
        return max(durations, default=None)

    def in_progress(self, target: str) -> int:
        """Number of requests of all hosts in progress at a target."""
        return self._own_by_target[target] + self._peer_by_target[target]

    def own_counts(self) -> dict[str, int]:
        """Requests of this host in progress, by target."""
        return dict(self._own_by_target)

    def on_report(
        self, host: str, count_by_target: collections.abc.Mapping[str, int]
    ) -> None:
        """Replace the counts of a peer by those of its newest report.

        Args:
            host: Name of the peer.
            count_by_target: Its requests in progress by target.
        """
        previous = self._report_by_host.pop(host, None)
        if previous is not None:
            self._peer_by_target.subtract(previous[1])
        counts = dict(count_by_target)
        self._report_by_host[host] = (self._clock.now_ms, counts)
        self._peer_by_target.update(counts)

    def remove_host(self, host: str) -> None:
        """Remove the counts of a peer."""
        previous = self._report_by_host.pop(host, None)
        if previous is not None:
            self._peer_by_target.subtract(previous[1])

    def expire(self) -> None:
        """Remove the counts of peers whose last report is too old."""
        oldest_ms = self._clock.now_ms - REPORT_TTL_MS
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
