"""Byte budgets of this host on the links to other regions."""

from __future__ import annotations

import collections
import dataclasses
import enum

from wigeonhatch import clock as clock_module
from wigeonhatch.config import model

BURST_MS = 100
"""Capacity of a bucket, as the time in which it fills at its rate."""
MIN_BURST_BYTES = 65_536
"""Minimum capacity: one body chunk, so that slow links pass whole chunks."""
BULK_PERCENT = 80
MIN_AVAILABLE_BYTES = 16_384
RATE_INCREASE_DELAY_MS = 3_000
"""Delay before a higher rate applies. Until then a host without the new
configuration may still use its former share of the link."""
BYTES_PER_MBIT = 125_000


class TrafficClass(enum.Enum):
    """Class of a transfer."""

    SMALL = 'small'
    BULK = 'bulk'


@dataclasses.dataclass(slots=True)
class _TokenBucket:
    """Token bucket in bytes; a transfer above its capacity leaves a debt."""

    rate_per_ms: float
    tokens: float
    refilled_ms: int

    @property
    def capacity(self) -> float:
        return max(MIN_BURST_BYTES, self.rate_per_ms * BURST_MS)

    def refill(self, now_ms: int) -> None:
        added = (now_ms - self.refilled_ms) * self.rate_per_ms
        self.tokens = min(self.capacity, self.tokens + added)
        self.refilled_ms = now_ms

    def delay_ms(self, size_bytes: int) -> float:
        """Time in ms until a transfer may start; 0 if it may start now."""
        deficit = min(size_bytes, self.capacity) - self.tokens
        return max(0.0, deficit / self.rate_per_ms)


class _Link:
    """Budget of this host on the link to one region."""

    def __init__(self, rate_per_ms: float, now_ms: int) -> None:
        # The buckets start empty, since an earlier incarnation of this host
        # may have used its tokens just before it ended.
        self.total = _TokenBucket(rate_per_ms, 0.0, now_ms)
        self.bulk = _TokenBucket(rate_per_ms * BULK_PERCENT / 100, 0.0, now_ms)
        self.queue_by_class: dict[TrafficClass, collections.deque[object]] = {
            item: collections.deque() for item in TrafficClass
        }
        self.next_rate = rate_per_ms
        self.raise_ms = now_ms

    def set_rate(self, rate_per_ms: float, now_ms: int) -> None:
        self.refill(now_ms)
        if rate_per_ms <= self.total.rate_per_ms:
            self._apply(rate_per_ms)
        else:
            self.raise_ms = now_ms + RATE_INCREASE_DELAY_MS
        self.next_rate = rate_per_ms

    def refill(self, now_ms: int) -> None:
        if self.next_rate > self.total.rate_per_ms and now_ms >= self.raise_ms:
            self.total.refill(self.raise_ms)
            self.bulk.refill(self.raise_ms)
            self._apply(self.next_rate)
        self.total.refill(now_ms)
        self.bulk.refill(now_ms)

    def delay_ms(self, size_bytes: int, traffic_class: TrafficClass) -> float:
        wait_ms = self.total.delay_ms(size_bytes)
        if traffic_class is TrafficClass.BULK:
            wait_ms = max(wait_ms, self.bulk.delay_ms(size_bytes))
        return wait_ms

    def consume(self, size_bytes: int, traffic_class: TrafficClass) -> None:
        self.total.tokens -= size_bytes
        if traffic_class is TrafficClass.BULK:
            self.bulk.tokens -= size_bytes

    def is_first(self, waiter: object, traffic_class: TrafficClass) -> bool:
        small = self.queue_by_class[TrafficClass.SMALL]
        if traffic_class is TrafficClass.BULK and small:
            return False
        return self.queue_by_class[traffic_class][0] is waiter

    def _apply(self, rate_per_ms: float) -> None:
        for bucket, rate in (
            (self.total, rate_per_ms),
            (self.bulk, rate_per_ms * BULK_PERCENT / 100),
        ):
            bucket.rate_per_ms = rate
            bucket.tokens = min(bucket.tokens, bucket.capacity)


class LinkBudget:
    """Token buckets of this host, one for each region it sends to.

    Args:
        clock: Source of time.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._region = ''
        self._link_by_region: dict[str, _Link] = {}

    def configure(self, versioned: model.VersionedConfig, region: str) -> None:
        """Apply a configuration.

        A lower rate applies at once, a higher one after a delay.

        Args:
            versioned: Configuration in force.
            region: Region of this host.
        """
        config = versioned.config
        now_ms = self._clock.now_ms
        self._region = region
        domains = config.region_by_name[region].domains
        host_count = sum(
            host.domain in domains for host in config.host_by_name.values()
        )
        previous_by_region = self._link_by_region
        self._link_by_region = {}
        for pair, link in config.link_by_pair.items():
            near, _, far = pair.partition('/')
            if region not in (near, far):
                continue
            far_region = far if near == region else near
            rate_per_ms = (
                link.mbit_per_s * BYTES_PER_MBIT / 1000 / max(1, host_count)
            )
            link_budget = previous_by_region.get(far_region)
            if link_budget is None:
                link_budget = _Link(rate_per_ms, now_ms)
            else:
                link_budget.set_rate(rate_per_ms, now_ms)
            self._link_by_region[far_region] = link_budget

    def has_tokens(self, far_region: str, traffic_class: TrafficClass) -> bool:
        """Tell whether a transfer of `MIN_AVAILABLE_BYTES` could start now.

        Args:
            far_region: Receiving region.
            traffic_class: Class of the transfer.

        Returns:
            True for the local region; False if there is no link.
        """
        if far_region == self._region:
            return True
        link = self._link_by_region.get(far_region)
        if link is None:
            return False
        link.refill(self._clock.now_ms)
        if any(link.queue_by_class.values()):
            return False
        return link.delay_ms(MIN_AVAILABLE_BYTES, traffic_class) == 0

    async def acquire(
        self,
        far_region: str,
        size_bytes: int,
        traffic_class: TrafficClass,
        wait_ms: int,
    ) -> bool:
        """Acquire the tokens for a transfer, waiting for them if necessary.

        A transfer larger than the bucket starts when the bucket is full and
        leaves a debt.

        Args:
            far_region: Receiving region; the local region needs no tokens.
            size_bytes: Size of the transfer in bytes.
            traffic_class: Class of the transfer; small precedes bulk.
            wait_ms: Timeout in ms.

        Returns:
            Whether the transfer may start; False if there is no link.
        """
        if far_region == self._region:
            return True
        deadline_ms = self._clock.now_ms + wait_ms
        waiter = object()
        link: _Link | None = None
        try:
            while True:
                link = self._enqueue(link, far_region, waiter, traffic_class)
                if link is None:
                    return False
                now_ms = self._clock.now_ms
                link.refill(now_ms)
                delay_ms = link.delay_ms(size_bytes, traffic_class)
                if link.is_first(waiter, traffic_class):
                    if delay_ms == 0:
                        link.consume(size_bytes, traffic_class)
                        return True
                    # Only the first in the queue knows its exact delay.
                    if delay_ms > deadline_ms - now_ms:
                        return False
                if now_ms >= deadline_ms:
                    return False
                pause_ms = min(max(1, int(delay_ms)), deadline_ms - now_ms)
                await self._clock.sleep_ms(pause_ms)
        finally:
            if link is not None:
                link.queue_by_class[traffic_class].remove(waiter)

    def _enqueue(
        self,
        previous: _Link | None,
        far_region: str,
        waiter: object,
        traffic_class: TrafficClass,
    ) -> _Link | None:
        """Queue on the current link; leave one that was replaced."""
        link = self._link_by_region.get(far_region)
        if link is not previous:
            if previous is not None:
                previous.queue_by_class[traffic_class].remove(waiter)
            if link is not None:
                link.queue_by_class[traffic_class].append(waiter)
        return link
