"""Byte budgets of this host on the links to other regions."""

from __future__ import annotations

import collections
import dataclasses
import enum

from wigeonhatch import clock as clock_module
from wigeonhatch.config import model

BURST_MS = 100
"""Size of a full bucket as time at the bucket's rate."""
MIN_BURST_BYTES = 65_536
"""One part of a body, so that a slow link still passes whole parts."""
BULK_PERCENT = 80
MIN_AVAILABLE_BYTES = 16_384
RATE_INCREASE_DELAY_MS = 3_000
"""Delay before a larger part of a link is used: until then a host that has
not learned the configuration may still use the part it is to give up."""
BYTES_PER_MBIT = 125_000


class TrafficClass(enum.Enum):
    """Class of a transfer."""

    SMALL = 'small'
    BULK = 'bulk'


@dataclasses.dataclass(slots=True)
class _Bucket:
    """Tokens in bytes that are filled at a rate; negative after a debt."""

    rate_per_ms: float
    tokens: float
    filled_ms: int

    @property
    def size(self) -> float:
        return max(MIN_BURST_BYTES, self.rate_per_ms * BURST_MS)

    def fill(self, now_ms: int) -> None:
        gained = (now_ms - self.filled_ms) * self.rate_per_ms
        self.tokens = min(self.size, self.tokens + gained)
        self.filled_ms = now_ms

    def missing_ms(self, size_bytes: int) -> float:
        """Time in ms until a transfer may start, 0 if now."""
        missing = min(size_bytes, self.size) - self.tokens
        return max(0.0, missing / self.rate_per_ms)


class _Link:
    """Budget of this host on the link to one region."""

    def __init__(self, rate_per_ms: float, now_ms: int) -> None:
        # The buckets start empty: an earlier incarnation of this host may
        # have used its tokens just before it ended.
        self.all = _Bucket(rate_per_ms, 0.0, now_ms)
        self.bulk = _Bucket(rate_per_ms * BULK_PERCENT / 100, 0.0, now_ms)
        self.queue_by_class: dict[TrafficClass, collections.deque[object]] = {
            item: collections.deque() for item in TrafficClass
        }
        self.next_rate = rate_per_ms
        self.raise_ms = now_ms

    def set_rate(self, rate_per_ms: float, now_ms: int) -> None:
        self.fill(now_ms)
        if rate_per_ms <= self.all.rate_per_ms:
            self._apply(rate_per_ms)
        else:
            self.raise_ms = now_ms + RATE_INCREASE_DELAY_MS
        self.next_rate = rate_per_ms

    def fill(self, now_ms: int) -> None:
        if self.next_rate > self.all.rate_per_ms and now_ms >= self.raise_ms:
            self.all.fill(self.raise_ms)
            self.bulk.fill(self.raise_ms)
            self._apply(self.next_rate)
        self.all.fill(now_ms)
        self.bulk.fill(now_ms)

    def missing_ms(
        self, size_bytes: int, traffic_class: TrafficClass
    ) -> float:
        wait_ms = self.all.missing_ms(size_bytes)
        if traffic_class is TrafficClass.BULK:
            wait_ms = max(wait_ms, self.bulk.missing_ms(size_bytes))
        return wait_ms

    def take(self, size_bytes: int, traffic_class: TrafficClass) -> None:
        self.all.tokens -= size_bytes
        if traffic_class is TrafficClass.BULK:
            self.bulk.tokens -= size_bytes

    def is_first(self, waiter: object, traffic_class: TrafficClass) -> bool:
        small = self.queue_by_class[TrafficClass.SMALL]
        if traffic_class is TrafficClass.BULK and small:
            return False
        return self.queue_by_class[traffic_class][0] is waiter

    def _apply(self, rate_per_ms: float) -> None:
        for bucket, rate in (
            (self.all, rate_per_ms),
            (self.bulk, rate_per_ms * BULK_PERCENT / 100),
        ):
            bucket.rate_per_ms = rate
            bucket.tokens = min(bucket.tokens, bucket.size)


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

        A lower rate applies at once, a higher one after
        `RATE_INCREASE_DELAY_MS`.

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
        old_by_region = self._link_by_region
        self._link_by_region = {}
        for pair, link in config.link_by_pair.items():
            near, _, far = pair.partition('/')
            if region not in (near, far):
                continue
            other = far if near == region else near
            rate_per_ms = (
                link.mbit_per_s * BYTES_PER_MBIT / 1000 / max(1, host_count)
            )
            known = old_by_region.get(other)
            if known is None:
                known = _Link(rate_per_ms, now_ms)
            else:
                known.set_rate(rate_per_ms, now_ms)
            self._link_by_region[other] = known

    def has_capacity(
        self, far_region: str, traffic_class: TrafficClass
    ) -> bool:
        """Tell whether a transfer could start now.

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
        link.fill(self._clock.now_ms)
        if any(link.queue_by_class.values()):
            return False
        return link.missing_ms(MIN_AVAILABLE_BYTES, traffic_class) == 0

    async def acquire(
        self,
        far_region: str,
        size_bytes: int,
        traffic_class: TrafficClass,
        wait_ms: int,
    ) -> bool:
        """Take the tokens for a transfer, waiting for them if necessary.

        A transfer larger than the bucket starts when the bucket is full and
        leaves a debt.

        Args:
            far_region: Receiving region; the local region needs no tokens.
            size_bytes: Size of the transfer in bytes.
            traffic_class: Class of the transfer; bulk waits for small.
            wait_ms: Longest wait in ms.

        Returns:
            Whether the transfer may start; False if there is no link.
        """
        if far_region == self._region:
            return True
        end_ms = self._clock.now_ms + wait_ms
        waiter = object()
        link: _Link | None = None
        try:
            while True:
                link = self._join(link, far_region, waiter, traffic_class)
                if link is None:
                    return False
                now_ms = self._clock.now_ms
                link.fill(now_ms)
                missing_ms = link.missing_ms(size_bytes, traffic_class)
                if link.is_first(waiter, traffic_class):
                    if missing_ms == 0:
                        link.take(size_bytes, traffic_class)
                        return True
                    # The first in the queue waits for exactly its tokens.
                    if missing_ms > end_ms - now_ms:
                        return False
                if now_ms >= end_ms:
                    return False
                pause_ms = min(max(1, int(missing_ms)), end_ms - now_ms)
                await self._clock.sleep_ms(pause_ms)
        finally:
            if link is not None:
                link.queue_by_class[traffic_class].remove(waiter)

    def _join(
        self,
        old: _Link | None,
        far_region: str,
        waiter: object,
        traffic_class: TrafficClass,
    ) -> _Link | None:
        """Queue on the link in force, leaving a link that is gone."""
        link = self._link_by_region.get(far_region)
        if link is not old:
            if old is not None:
                old.queue_by_class[traffic_class].remove(waiter)
            if link is not None:
                link.queue_by_class[traffic_class].append(waiter)
        return link
