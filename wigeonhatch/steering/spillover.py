"""Buckets that this host serves outside their assigned region."""

from __future__ import annotations

import collections.abc
import math

from wigeonhatch import clock as clocks
from wigeonhatch.config import model
from wigeonhatch.steering import buckets
from wigeonhatch.steering import limiter
from wigeonhatch.steering import traffic

# A region must have had free slots for this long before buckets return;
# one lookup TTL covers callers that still follow older responses.
_RETURN_AFTER_MS = model.LOOKUP_TTL_MS
# With fewer requests in a window, one request would count as a large part of
# the traffic and could never be served elsewhere.
_MIN_REQUESTS = 100


class Spillover:
    """Track spillover and limit how many buckets enter or leave it.

    A bucket enters at once when its region cannot serve a request, and
    leaves only after its region had room without interruption for 5 s, so
    that a brief lack of slots does not move it back and forth.

    Args:
        clock: Clock of this host.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.generation = 0
        self._clock = clock
        self._limit_by_service: dict[str, limiter.ShiftLimiter] = {}
        self._region_by_bucket: dict[str, dict[int, str]] = {}
        self._roomy_since_ms: dict[tuple[str, str], int] = {}
        self._traffic_by_service: dict[str, traffic.TrafficWindow] = {}
        self._overflow_by_service: dict[str, float] = {}

    @property
    def violations(self) -> int:
        """Number of violated invariants since the start."""
        return sum(item.violations for item in self._limit_by_service.values())

    @property
    def count_by_service(self) -> dict[str, int]:
        """Buckets in spillover, for metrics."""
        return {
            name: len(regions)
            for name, regions in self._region_by_bucket.items()
        }

    def configure(self, versioned: model.VersionedConfig) -> None:
        """Take over the services and caps of a configuration.

        Args:
            versioned: Configuration in force.
        """
        for name, service in versioned.config.service_by_name.items():
            window_ms = limiter.window_ms(service.spillover_cap)
            self._traffic_by_service.setdefault(
                name, traffic.TrafficWindow(self._clock)
            ).window_ms = window_ms
            known = self._limit_by_service.get(name)
            if known is None:
                self._limit_by_service[name] = limiter.ShiftLimiter(
                    self._clock, service.spillover_cap
                )
                self._region_by_bucket[name] = {}
            else:
                known.configure(service.spillover_cap)

    def region(self, service: str, bucket: int) -> str | None:
        """Name the region that serves a bucket instead of its own.

        Args:
            service: Name of the service.
            bucket: Number of the bucket.

        Returns:
            The region; None if the bucket is not in spillover.
        """
        regions = self._region_by_bucket.get(service)
        return regions.get(bucket) if regions else None

    def move(self, service: str, bucket: int, home: str, region: str) -> bool:
        """Move a bucket into, within or out of spillover, within the cap.

        Args:
            service: Name of the service.
            bucket: Number of the bucket.
            home: Region that the bucket is assigned to.
            region: Region that shall serve it; `home` to leave spillover.

        Returns:
            Whether the cap allowed the move.
        """
        limit = self._limit_by_service.get(service)
        if limit is None or not limit.allow(1):
            return False
        self._place(service, bucket, home, region)
        return True

    def on_request(self, service: str) -> None:
        """Count a request of a service, the measure for `overflow`.

        Args:
            service: Name of the service.
        """
        window = self._traffic_by_service.get(service)
        if window is not None:
            window.add()

    def overflow(self, service: str) -> bool:
        """Count one request that another region serves, within the cap.

        The bucket stays where it is. The request counts as the part of the
        buckets that it is of the requests in a window, so that moved buckets
        and single requests together stay within the cap.

        Args:
            service: Name of the service.

        Returns:
            Whether the cap allows it.
        """
        limit = self._limit_by_service.get(service)
        if limit is None:
            return False
        requests = self._traffic_by_service[service].count
        weight = buckets.BUCKET_COUNT / max(_MIN_REQUESTS, requests)
        unpaid = self._overflow_by_service.get(service, 0.0) + weight
        whole = math.ceil(unpaid)
        if limit.available < whole or limit.allow(whole) < whole:
            return False
        self._overflow_by_service[service] = unpaid - whole
        return True

    def is_exhausted(self, service: str) -> bool:
        """Report whether the cap allows no further move now.

        Args:
            service: Name of the service.
        """
        limit = self._limit_by_service.get(service)
        return limit is None or limit.available == 0

    def advance(
        self,
        get_home: collections.abc.Callable[[str, int], str | None],
        has_room: collections.abc.Callable[[str, str], bool],
    ) -> None:
        """Return buckets to regions that have had room for 5 s.

        At most half of the cap is used, so that a region that fails again
        right after its return can be left within the same window.

        Args:
            get_home: Returns the assigned region of (service, bucket).
            has_room: Reports whether (service, region) can be reached and
                has free slots to spare.
        """
        for service, region_by_bucket in self._region_by_bucket.items():
            homes = {
                item: get_home(service, item) for item in region_by_bucket
            }
            ready = {
                home
                for home in set(homes.values())
                if home is not None
                and self._is_ready(service, home, has_room(service, home))
            }
            limit = self._limit_by_service[service]
            for bucket, home in homes.items():
                if home == region_by_bucket[bucket]:
                    # The split now assigns the bucket to the region that
                    # serves it: nothing moves, so nothing is counted.
                    self._place(service, bucket, home, home)
                elif home in ready and limit.allow(1, limit.limit // 2):
                    self._place(service, bucket, home, home)

    def _is_ready(self, service: str, home: str, has_room: bool) -> bool:
        key = service, home
        if not has_room:
            self._roomy_since_ms.pop(key, None)
            return False
        now_ms = self._clock.now_ms
        since_ms = self._roomy_since_ms.setdefault(key, now_ms)
        return now_ms - since_ms >= _RETURN_AFTER_MS

    def _place(
        self, service: str, bucket: int, home: str, region: str
    ) -> None:
        regions = self._region_by_bucket[service]
        if region == home:
            regions.pop(bucket, None)
        else:
            regions[bucket] = region
            # A departure shows that the region had no room just now.
            self._roomy_since_ms.pop((service, home), None)
        self.generation += 1
