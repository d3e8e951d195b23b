"""Choice of the target of one request."""

from __future__ import annotations

import collections.abc
import dataclasses
import functools

import xxhash

from wigeonhatch import clock as clocks
from wigeonhatch.balance import ejection
from wigeonhatch.balance import loads
from wigeonhatch.balance import region_split
from wigeonhatch.balance import warmup
from wigeonhatch.routes import model
from wigeonhatch.targets import registry

_SMOOTHING = 0.3
"""Weight of the newest count of busy slots; about the last 1.5 s count."""
_MAX_RANKINGS = 4_096
"""Cached orders of targets; services x objects x regions at today's sizes."""
DEFAULT_DURATION_MS = 300.0
"""Assumed time of a request while none has been served."""
MIN_RETURN_MS = 200
"""Shortest delay after which a refused caller may return."""
MAX_RETURN_MS = 2_000
"""Longest delay; callers wait at most a third of their time."""


@dataclasses.dataclass(frozen=True, slots=True)
class Query:
    """What a request needs of its target.

    Args:
        service: Name of the service.
        affinity_key: Object of the request; empty for none.
        home_regions: Regions that may serve it; empty for all.
        wait_ms: Longest useful wait for a slot, from now, in ms.
    """

    service: str
    affinity_key: bytes
    home_regions: frozenset[str]
    wait_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class NoTarget:
    """No target can serve the request in time.

    Args:
        reason: Why, for the log.
        return_ms: Time after which there may be room in ms.
    """

    reason: str
    return_ms: int


class Picker:
    """Choose targets for the requests that enter at one host.

    Args:
        own_region: Region of this host.
        region_by_domain: Region of each failure domain.
        max_shift: Largest part of a region's requests that may move at once.
        targets: Listed targets.
        load_table: Requests in progress.
        ejections: Targets that fail.
        warmups: Rate of cold targets.
        clock: Source of monotonic time.
    """

    def __init__(
        self,
        own_region: str,
        region_by_domain: collections.abc.Mapping[str, str],
        max_shift: float,
        targets: registry.TargetRegistry,
        load_table: loads.LoadTable,
        ejections: ejection.EjectionTable,
        warmups: warmup.WarmupBudget,
        clock: clocks.Clock,
    ) -> None:
        self._own_region = own_region
        self._region_by_domain = region_by_domain
        self._max_shift = max_shift
        self._targets = targets
        self._loads = load_table
        self._ejections = ejections
        self._warmups = warmups
        self._clock = clock
        self._service_by_name: dict[str, model.ServiceTraits] = {}
        self._split_by_service: dict[str, region_split.RegionSplit] = {}
        self._busy_by_service: dict[str, dict[str, float]] = {}
        self._rank = functools.lru_cache(_MAX_RANKINGS)(self._rank_targets)

    def configure(
        self, service_by_name: dict[str, model.ServiceTraits]
    ) -> None:
        """Take over the services of the configuration in force."""
        self._service_by_name = service_by_name
        for name in self._split_by_service.keys() - service_by_name.keys():
            del self._split_by_service[name]

    def region_of(self, domain: str) -> str:
        """Region of a failure domain; the domain itself if it has none."""
        return self._region_by_domain.get(domain, domain)

    def pick(
        self, query: Query, excluded: collections.abc.Set[str]
    ) -> registry.TargetRecord | NoTarget:
        """Choose the target of one attempt.

        Args:
            query: What the request needs.
            excluded: Names of targets that have been tried.
        """
        regions = {
            self.region_of(record.domain)
            for record in self._targets.usable(query.service)
        }
        if query.home_regions:
            regions &= query.home_regions
        if not regions:
            return NoTarget('no usable target', MIN_RETURN_MS)
        split = self._split(query.service)
        region = split.choose(regions) or min(regions)
        order = [region, *sorted(regions - {region}, key=self._is_remote)]
        fallback: tuple[float, registry.TargetRecord] | None = None
        for candidate_region in order:
            found = self._pick_in(candidate_region, query, excluded)
            if isinstance(found, registry.TargetRecord):
                return found
            if found is not None and (
                fallback is None or found[0] < fallback[0]
            ):
                fallback = found
        if fallback is None:
            return NoTarget('all targets fail or are cold', MIN_RETURN_MS)
        duration_ms = self._loads.duration_ms(
            query.service, DEFAULT_DURATION_MS
        )
        wait_ms = fallback[0] * duration_ms
        if wait_ms > query.wait_ms:
            return NoTarget(
                f'wait of {wait_ms:.0f} ms', _return_ms(wait_ms, query.wait_ms)
            )
        return fallback[1]

    def adjust_splits(self, region_by_host: dict[str, str]) -> None:
        """Move the splits of all services one step towards their plans.

        Args:
            region_by_host: Region of each host that may report loads.
        """
        self._loads.expire()
        busy = self._count_busy(region_by_host)
        for service in self._service_by_name:
            slots_by_region: dict[str, int] = {}
            for record in self._targets.usable(service):
                if not self._ejections.is_suspect(record.name):
                    region = self.region_of(record.domain)
                    slots_by_region[region] = (
                        slots_by_region.get(region, 0) + record.slots
                    )
            known = self._busy_by_service.setdefault(service, {})
            regions = set(self._region_by_domain.values())
            for region in regions:
                known[region] = (1 - _SMOOTHING) * known.get(
                    region, 0.0
                ) + _SMOOTHING * busy.get((service, region), 0)
            self._split(service).adjust(
                {
                    region: region_split.RegionLoad(
                        known[region], slots_by_region.get(region, 0)
                    )
                    for region in regions
                }
            )

    def parts(self) -> dict[str, dict[str, float]]:
        """Part of each region by service, for the log and the metrics."""
        return {
            service: split.part_by_region
            for service, split in self._split_by_service.items()
        }

    def _count_busy(
        self, region_by_host: dict[str, str]
    ) -> dict[tuple[str, str], int]:
        busy: dict[tuple[str, str], int] = {}
        for host, counts in self._loads.busy_by_host(''):
            region = region_by_host.get(host, self._own_region)
            for target, count in counts.items():
                record = self._targets.record_by_name.get(target)
                if record is not None:
                    key = (record.service, region)
                    busy[key] = busy.get(key, 0) + count
        return busy

    def _split(self, service: str) -> region_split.RegionSplit:
        split = self._split_by_service.get(service)
        if split is None:
            split = self._split_by_service[service] = region_split.RegionSplit(
                self._own_region, self._max_shift
            )
        return split

    def _is_remote(self, region: str) -> bool:
        return region != self._own_region

    def _pick_in(
        self,
        region: str,
        query: Query,
        excluded: collections.abc.Set[str],
    ) -> registry.TargetRecord | tuple[float, registry.TargetRecord] | None:
        """Choose the first target with a free slot, else the least loaded.

        Returns:
            The target; or the shortest wait in durations of a request and
            its target; or None.
        """
        traits = self._service_by_name.get(query.service)
        per_s = 0.0 if traits is None else traits.warmup_per_s
        best: tuple[float, registry.TargetRecord] | None = None
        for record in self._rank(
            query.service, region, query.affinity_key, self._targets.epoch
        ):
            name = record.name
            if name in excluded or not self._ejections.is_available(name):
                continue
            if self._targets.is_cold(name) and not self._warmups.has_token(
                name, per_s
            ):
                continue
            count = self._loads.in_progress(name)
            if count < record.slots:
                return record
            wait = (count + 1 - record.slots) / record.slots
            if best is None or wait < best[0]:
                best = (wait, record)
        return best

    def _rank_targets(
        self, service: str, region: str, affinity_key: bytes, epoch: int
    ) -> tuple[registry.TargetRecord, ...]:
        del epoch  # Part of the key of the cache.
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


def _return_ms(wait_ms: float, useful_ms: float) -> int:
    missing_ms = wait_ms - max(0.0, useful_ms)
    return int(min(MAX_RETURN_MS, max(MIN_RETURN_MS, missing_ms)))
