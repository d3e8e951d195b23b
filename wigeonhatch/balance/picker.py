"""Selection of the target of each request."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import functools

import xxhash

from wigeonhatch import clock as clocks
from wigeonhatch.balance import affinity
from wigeonhatch.balance import ejection
from wigeonhatch.balance import loads
from wigeonhatch.balance import pauses as pause_tables
from wigeonhatch.balance import rate_budget
from wigeonhatch.balance import region_selector
from wigeonhatch.balance import warmup
from wigeonhatch.routes import model
from wigeonhatch.targets import registry

_MAX_SERVICES = 256
"""Services whose regions are cached; typical deployments have a few."""
_MAX_RANKINGS = 4_096
"""Cached rankings: services x affinity keys x regions, at typical sizes."""
MIN_AVAILABLE_FRACTION = 0.5
"""Fraction of a region's targets below which ejected targets that respond are
used as well."""
MAX_OFF_HOME_LOAD = 0.5
"""Load of a region's targets up to which requests may use other targets than
their home targets, where they take about three times as long."""
MIN_RETRY_AFTER_MS = 200
"""Shortest delay after which a refused caller may retry."""
MAX_RETRY_AFTER_MS = 2_000
"""Longest such delay; callers wait for at most a third of their timeout."""


@dataclasses.dataclass(frozen=True, slots=True)
class Query:
    """Requirements of a request for its target.

    Args:
        service: Name of the service.
        affinity_key: Affinity key of the request; empty for none.
        allowed_regions: Regions that may serve it; empty for all.
        max_wait_ms: Longest acceptable wait for a slot, from now, in ms.
        can_retry: Whether it may be sent to another target if the first one
            refuses it.
    """

    service: str
    affinity_key: bytes
    allowed_regions: frozenset[str]
    max_wait_ms: float
    can_retry: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Pick:
    """Selected target of one attempt.

    Args:
        target: The target.
        wait_ms: Expected wait for a slot in ms.
        is_home: Whether it is a home target of the affinity key: one of the
            first in its ranking.
        split_region: Region that the split selected; another region than that
            of the target if the request overflowed.
    """

    target: registry.TargetRecord
    wait_ms: float
    is_home: bool
    split_region: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class NoTarget:
    """No target can serve the request in time.

    Args:
        reason: Why there is none, for the log.
        retry_after_ms: Time after which a slot may be free, in ms.
    """

    reason: str
    retry_after_ms: int


class Picker:
    """Select targets for the requests that one host receives.

    Args:
        regions: Orders the regions of each request.
        targets: Listed targets.
        load_table: Requests in progress.
        ejections: Targets that are ejected because they fail.
        warmups: Rate limit of cold targets.
        rates: Share in the rate limits that targets state.
        pauses: Pauses that targets have asked for.
        clock: Source of monotonic time.
    """

    def __init__(
        self,
        regions: region_selector.RegionSelector,
        targets: registry.TargetRegistry,
        load_table: loads.LoadTable,
        ejections: ejection.EjectionTable,
        warmups: warmup.WarmupBudget,
        rates: rate_budget.RateBudget,
        pauses: pause_tables.PauseTable,
        clock: clocks.Clock,
    ) -> None:
        self._regions = regions
        self._targets = targets
        self._loads = load_table
        self._ejections = ejections
        self._warmups = warmups
        self._rates = rates
        self._pauses = pauses
        self._service_by_name: dict[str, model.ServiceConfig] = {}
        self._affinity_keys = affinity.AffinityKeyCounter(clock)
        self._find_regions = functools.lru_cache(_MAX_SERVICES)(
            self._list_regions
        )
        self._ranking = functools.lru_cache(_MAX_RANKINGS)(self._rank_targets)

    def configure(
        self, service_by_name: dict[str, model.ServiceConfig]
    ) -> None:
        """Apply the services of the configuration in force."""
        self._service_by_name = service_by_name
        self._regions.retain(service_by_name.keys())

    def region_of(self, domain: str) -> str:
        """Region of a failure domain; the domain itself if it has none."""
        return self._regions.region_of(domain)

    def pick(
        self, query: Query, excluded: collections.abc.Set[str]
    ) -> Pick | NoTarget:
        """Select the target of one attempt.

        Args:
            query: Requirements of the request.
            excluded: Names of targets that were already tried.
        """
        regions = self._usable_regions(query)
        if not regions:
            return NoTarget('no usable target', MIN_RETRY_AFTER_MS)
        self._affinity_keys.on_request(query.service, query.affinity_key)
        split_region, order = self._regions.select(
            query.service, regions, query.affinity_key
        )
        regions_to_try = tuple(order)
        best: Pick | None = None
        # A target that has just asked for a pause may refuse again.
        for avoids_refusal in (False,) if query.can_retry else (True, False):
            for region in regions_to_try:
                pick = self._pick_in_region(
                    region, query, excluded, avoids_refusal
                )
                if pick is None:
                    continue
                if pick.wait_ms <= query.max_wait_ms:
                    self._regions.on_request(
                        query.service, region, split_region
                    )
                    return dataclasses.replace(
                        pick, split_region=split_region or ''
                    )
                if best is None or pick.wait_ms < best.wait_ms:
                    best = pick
        return self._explain_none(query, best)

    def can_pick(
        self, query: Query, excluded: collections.abc.Set[str]
    ) -> bool:
        """Tell whether a target could serve a request, without selecting it.

        Args:
            query: Requirements of the request.
            excluded: Names of targets that were already tried.
        """
        picks = (
            self._pick_in_region(region, query, excluded, False)
            for region in self._usable_regions(query)
        )
        return any(
            pick is not None and pick.wait_ms <= query.max_wait_ms
            for pick in picks
        )

    def min_retry_after_ms(
        self, service: str, allowed_regions: frozenset[str]
    ) -> int:
        """Earliest time after which a refused request may find a target.

        Args:
            service: Name of the service.
            allowed_regions: Regions that may serve the request; empty for all.

        Returns:
            Time in ms; beyond the usual minimum only while all targets have
            asked for a pause.
        """
        lefts_ms = (
            self._pauses.left_ms(record)
            for record in self._targets.usable(service)
            if not allowed_regions
            or self.region_of(record.domain) in allowed_regions
        )
        return max(MIN_RETRY_AFTER_MS, min(lefts_ms, default=0))

    def _explain_none(self, query: Query, best: Pick | None) -> NoTarget:
        """Tell why no target can serve a request in time.

        Args:
            query: Requirements of the request.
            best: Target with the shortest wait; None if there is none.
        """
        if best is not None:
            return NoTarget(
                f'wait of {best.wait_ms:.0f} ms, '
                f'useful are {query.max_wait_ms:.0f}',
                _retry_after_ms(best.wait_ms, query.max_wait_ms),
            )
        retry_after_ms = self.min_retry_after_ms(
            query.service, query.allowed_regions
        )
        if retry_after_ms > MIN_RETRY_AFTER_MS:
            return NoTarget('all targets ask for a pause', retry_after_ms)
        return NoTarget(
            'all targets fail or are cold, or the cap is reached',
            retry_after_ms,
        )

    def count_unavailable(self) -> dict[str, int]:
        """Count the listed targets that get no new requests, by reason."""
        counts: collections.Counter[str] = collections.Counter()
        for record in self._targets.record_by_name.values():
            if record.is_draining:
                counts['draining'] += 1
            elif self._targets.is_leaving(record):
                counts['leaving'] += 1
            elif record.domain in self._targets.evacuated_domains:
                counts['evacuated'] += 1
            elif self._pauses.left_ms(record):
                counts['paused'] += 1
            elif not self._ejections.is_available(record.name):
                counts['ejected'] += 1
        return dict(counts)

    def recount_slots(self, service: str) -> None:
        """Take account of targets that can no longer be used, at once.

        Args:
            service: Name of their service.
        """
        self._regions.recount_slots(service)

    def adjust_splits(self, region_by_host: dict[str, str]) -> None:
        """Move the splits of all services one step towards their plans.

        Args:
            region_by_host: Region of each host that may report loads.
        """
        self._loads.expire()
        self._affinity_keys.expire()
        self._regions.adjust(self._service_by_name, region_by_host)

    def _usable_regions(self, query: Query) -> frozenset[str]:
        regions = self._find_regions(query.service, self._targets.epoch)
        if query.allowed_regions:
            regions &= query.allowed_regions
        return regions

    def _pick_in_region(
        self,
        region: str,
        query: Query,
        excluded: collections.abc.Set[str],
        avoids_refusal: bool,
    ) -> Pick | None:
        """Select the target of a region that is expected to respond first.

        The first targets in the ranking of an affinity key are its home
        targets: they cache its state and respond faster, so that a short wait
        for one of them is better than a free slot at another target.
        """
        config = self._service_by_name.get(query.service)
        rate_per_s = 0.0 if config is None else config.cold_rate_per_s
        ranking = self._ranking(
            query.service, region, query.affinity_key, self._targets.epoch
        )
        home_count = self._affinity_keys.home_count(
            query.service, len(ranking)
        )
        home_ms = self._loads.duration_ms(query.service, True)
        other_ms = max(home_ms, self._loads.duration_ms(query.service, False))
        best: Pick | None = None
        best_key = (True, float('inf'))
        available = self._available_targets(
            ranking, excluded, rate_per_s, avoids_refusal
        )
        for rank, record in enumerate(available):
            is_home = rank < home_count
            if not is_home and rank == home_count and self._is_loaded(ranking):
                break
            count = self._loads.in_progress(record.name)
            queued = max(0, count + 1 - record.slots)
            wait_ms = queued / record.slots * home_ms
            cost_ms = wait_ms + (home_ms if is_home else other_ms)
            key = (wait_ms > query.max_wait_ms, cost_ms + count / record.slots)
            if key < best_key:
                best = Pick(record, wait_ms, is_home)
                best_key = key
                if query.affinity_key and is_home and not queued:
                    break
        return best

    def _available_targets(
        self,
        ranking: collections.abc.Sequence[registry.TargetRecord],
        excluded: collections.abc.Set[str],
        rate_per_s: float,
        avoids_refusal: bool,
    ) -> collections.abc.Iterator[registry.TargetRecord]:
        """Yield the targets that may receive a request, in ranking order."""
        ejections = self._ejections
        is_scarce = False
        if not ejections.is_empty:
            available = sum(
                ejections.is_available(record.name)
                and not self._pauses.left_ms(record)
                for record in ranking
            )
            # Without most of the targets, the others would be overloaded.
            is_scarce = available < len(ranking) * MIN_AVAILABLE_FRACTION
        for record in ranking:
            name = record.name
            if name in excluded or self._pauses.left_ms(record):
                continue
            if avoids_refusal and ejections.has_refused(name):
                continue
            if not ejections.is_available(name) and not (
                is_scarce and ejections.has_responded(name)
            ):
                continue
            if self._targets.is_cold(name) and not self._warmups.has_token(
                name, rate_per_s
            ):
                continue
            if not self._rates.has_token(record):
                continue
            yield record

    def _is_loaded(
        self, ranking: collections.abc.Sequence[registry.TargetRecord]
    ) -> bool:
        """Tell whether the load is too high to use other than home targets.

        A target that serves too many affinity keys has cached the state of
        none of them, so that under load all requests would be slow.
        """
        slots = sum(record.slots for record in ranking)
        count = sum(self._loads.in_progress(record.name) for record in ranking)
        return count >= slots * MAX_OFF_HOME_LOAD

    def _list_regions(self, service: str, epoch: int) -> frozenset[str]:
        del epoch  # Only part of the cache key.
        return frozenset(
            self.region_of(record.domain)
            for record in self._targets.usable(service)
        )

    def _rank_targets(
        self, service: str, region: str, affinity_key: bytes, epoch: int
    ) -> tuple[registry.TargetRecord, ...]:
        del epoch  # Only part of the cache key.
        return tuple(
            sorted(
                (
                    record
                    for record in self._targets.usable(service)
                    if self.region_of(record.domain) == region
                ),
                key=lambda record: xxhash.xxh3_64_intdigest(
                    affinity_key + b'\0' + record.name.encode()
                ),
            )
        )


def _retry_after_ms(wait_ms: float, max_wait_ms: float) -> int:
    excess_ms = wait_ms - max(0.0, max_wait_ms)
    return int(min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, excess_ms)))
