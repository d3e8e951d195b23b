"""Buckets and requests that are served outside their assigned region."""

from __future__ import annotations

import collections.abc
import math
import random

from wigeonhatch import clock as clocks
from wigeonhatch.config import model
from wigeonhatch.steering import buckets
from wigeonhatch.steering import limiter
from wigeonhatch.steering import traffic

# A region must have had free slots for this long before buckets return;
# one lookup TTL covers callers that still use older responses.
_RETURN_DELAY_MS = model.LOOKUP_TTL_MS
# With fewer requests in a window, one request would count as a large fraction
# of the traffic. A token is needed then, so that the sum over hosts with few
# requests stays within the cap as well.
_MIN_REQUESTS = 100
_MAX_TOKENS = 2.0


class Spillover:
    """Track spillover and limit how many buckets enter or leave it.

    A bucket enters spillover as soon as its region cannot serve a request. It
    leaves only after its region has had free slots for 5 s without a break,
    so that a brief lack of slots does not move it back and forth.

    Args:
        clock: Clock of this host.
        rng: Source of randomness.
    """

    def __init__(self, clock: clocks.Clock, rng: random.Random) -> None:
        self.generation = 0
        self._clock = clock
        self._rng = rng
        self._limit_by_service: dict[str, limiter.ShiftLimiter] = {}
        self._region_by_bucket: dict[str, dict[int, str]] = {}
        self._free_since_ms: dict[tuple[str, str], int] = {}
        self._traffic_by_service: dict[str, traffic.TrafficWindow] = {}
        self._balance_by_service: dict[str, float] = {}
        self._token_by_service: dict[str, float] = {}

    @property
    def violations(self) -> int:
        """Number of violated invariants since the start."""
        return sum(item.violations for item in self._limit_by_service.values())

    @property
    def count_by_service(self) -> dict[str, int]:
        """Number of buckets in spillover for each service."""
        return {
            name: len(regions)
            for name, regions in self._region_by_bucket.items()
        }

    def configure(self, versioned: model.VersionedConfig) -> None:
        """Apply the services and caps of a configuration.

        Args:
            versioned: Configuration in force.
        """
        for name, service in versioned.config.service_by_name.items():
            window_ms = limiter.window_ms(service.spillover_cap)
            self._traffic_by_service.setdefault(
                name, traffic.TrafficWindow(self._clock)
            ).window_ms = window_ms
            limit = self._limit_by_service.get(name)
            if limit is None:
                self._limit_by_service[name] = limiter.ShiftLimiter(
                    self._clock, service.spillover_cap
                )
                self._region_by_bucket[name] = {}
            else:
                limit.configure(service.spillover_cap)

    def region(self, service: str, bucket: int) -> str | None:
        """Return the region that serves a bucket in spillover.

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
            region: Region to serve the bucket; `home` to leave spillover.

        Returns:
            Whether the cap allowed the move.
        """
        limit = self._limit_by_service.get(service)
        if limit is None or not limit.acquire(1):
            return False
        self._set_region(service, bucket, home, region)
        return True

    def on_request(self, service: str) -> None:
        """Count a request; the cost of an overflow is relative to this count.

        Args:
            service: Name of the service.
        """
        window = self._traffic_by_service.get(service)
        if window is None:
            return
        window.add()
        limit = self._limit_by_service[service]
        # A random start keeps hosts that start together from overflowing
        # together.
        token = self._token_by_service.get(service, self._rng.random())
        self._token_by_service[service] = min(
            _MAX_TOKENS, token + limit.max_moves / buckets.BUCKET_COUNT
        )

    def allow_overflow(self, service: str) -> bool:
        """Allow one request to overflow to another region, within the cap.

        The bucket does not move. Moved buckets and overflowing requests share
        the cap: one of n requests in the window is charged as 1/n of the
        buckets, rounded up; the excess is credited to the next charge.

        Args:
            service: Name of the service.

        Returns:
            Whether the cap allows it.
        """
        limit = self._limit_by_service.get(service)
        if limit is None:
            return False
        requests = self._traffic_by_service[service].count
        token = self._token_by_service.get(service, 0.0)
        if requests < _MIN_REQUESTS and token < 1:
            return False
        cost = buckets.BUCKET_COUNT / max(_MIN_REQUESTS, requests)
        due = self._balance_by_service.get(service, 0.0) + cost
        charge = math.ceil(due)
        if limit.available < charge or limit.acquire(charge) < charge:
            return False
        self._balance_by_service[service] = due - charge
        self._token_by_service[service] = max(0.0, token - 1)
        return True

    def is_cap_exhausted(self, service: str) -> bool:
        """Report whether the cap permits no further move at present.

        Args:
            service: Name of the service.
        """
        limit = self._limit_by_service.get(service)
        return limit is None or limit.available == 0

    def advance(
        self,
        get_home: collections.abc.Callable[[str, int], str | None],
        has_slots: collections.abc.Callable[[str, str], bool],
    ) -> None:
        """Return buckets to regions that have had spare slots for 5 s.

        Uses at most half of the cap, so that buckets can leave a region that
        fails again soon after their return, within the same window.

        Args:
            get_home: Returns the assigned region of (service, bucket).
            has_slots: Reports whether (service, region) is reachable and has
                enough free slots.
        """
        for service, region_by_bucket in self._region_by_bucket.items():
            homes = {
                item: get_home(service, item) for item in region_by_bucket
            }
            ready = {
                home
                for home in set(homes.values())
                if home is not None
                and self._is_ready(service, home, has_slots(service, home))
            }
            limit = self._limit_by_service[service]
            for bucket, home in homes.items():
                if home == region_by_bucket[bucket]:
                    # The split now assigns the bucket to the region that
                    # serves it: it does not move, so the cap is not charged.
                    self._set_region(service, bucket, home, home)
                elif home in ready and limit.acquire(1, limit.max_moves // 2):
                    self._set_region(service, bucket, home, home)

    def _is_ready(self, service: str, home: str, has_slots: bool) -> bool:
        key = service, home
        if not has_slots:
            self._free_since_ms.pop(key, None)
            return False
        now_ms = self._clock.now_ms
        since_ms = self._free_since_ms.setdefault(key, now_ms)
        return now_ms - since_ms >= _RETURN_DELAY_MS

    def _set_region(
        self, service: str, bucket: int, home: str, region: str
    ) -> None:
        regions = self._region_by_bucket[service]
        if region == home:
            regions.pop(bucket, None)
        else:
            regions[bucket] = region
            # The region has just failed to serve a request.
            self._free_since_ms.pop((service, home), None)
        self.generation += 1
