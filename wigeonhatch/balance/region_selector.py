"""Selection of the regions that may serve a request."""

from __future__ import annotations

import collections
import collections.abc
import logging
import random

from wigeonhatch import log
from wigeonhatch.balance import _distributions
from wigeonhatch.balance import _move_detector
from wigeonhatch.balance import _request_mix
from wigeonhatch.balance import ejection
from wigeonhatch.balance import loads
from wigeonhatch.balance import region_demand
from wigeonhatch.balance import region_split
from wigeonhatch.balance import shift_limit
from wigeonhatch.balance import shift_meter
from wigeonhatch.targets import registry

_LOG = logging.getLogger(__name__)

_ALL_REGIONS: frozenset[str] = frozenset()
FindPeers = collections.abc.Callable[
    [], collections.abc.Sequence[shift_limit.Fractions]
]
Selection = tuple[str, str, bool]
"""Service and region of an attempt, and whether the split had selected another
region."""


class RegionSelector:
    """Order the regions of each request by the splits and the cap on shifts.

    `count_by_selection` counts the attempts since the start.

    Args:
        own_region: Region of this host.
        region_by_domain: Region of each failure domain.
        max_shift: Largest fraction of a region's requests that may move within
            the window of the operators' cap.
        targets: Listed targets.
        load_table: Requests in progress.
        ejections: Targets that are ejected because they fail.
        find_peers: Returns the distributions that the peers of the region use.
        rng: Source of randomness.
    """

    def __init__(
        self,
        own_region: str,
        region_by_domain: collections.abc.Mapping[str, str],
        max_shift: float,
        targets: registry.TargetRegistry,
        load_table: loads.LoadTable,
        ejections: ejection.EjectionTable,
        find_peers: FindPeers,
        rng: random.Random,
    ) -> None:
        self.count_by_selection: collections.Counter[Selection] = (
            collections.Counter()
        )
        self._own_region = own_region
        self._region_by_domain = region_by_domain
        self._targets = targets
        self._loads = load_table
        self._ejections = ejections
        self._find_peers = find_peers
        self.meter = shift_meter.ShiftMeter()
        self._limit = shift_limit.ShiftLimit(max_shift, rng)
        self._split_by_service: dict[str, region_split.RegionSplit] = {}
        self._demand = region_demand.RegionDemand(region_by_domain.values())
        self._slots_by_service: dict[str, dict[str, int]] = {}
        self._moves: dict[str, _move_detector.MoveDetector] = (
            collections.defaultdict(_move_detector.MoveDetector)
        )
        self._mix = _request_mix.RequestMix()

    def retain(self, services: collections.abc.Set[str]) -> None:
        """Discard the splits of all services except the given ones."""
        for name in self._split_by_service.keys() - services:
            del self._split_by_service[name]
            self._demand.remove(name)
            self._slots_by_service.pop(name, None)
            self._moves.pop(name, None)

    def region_of(self, domain: str) -> str:
        """Region of a failure domain; the domain itself if it has none."""
        return self._region_by_domain.get(domain, domain)

    def set_max_shift(self, max_shift: float) -> None:
        """Change the cap.

        Args:
            max_shift: Largest fraction of a region's requests that may move
                within the window of the cap.
        """
        self._limit.max_shift = max_shift

    @property
    def fraction_by_region(self) -> shift_limit.Fractions:
        """Distribution of the requests; empty before the first one."""
        return self._limit.fraction_by_region

    def select(
        self, service: str, regions: frozenset[str], affinity_key: bytes
    ) -> tuple[str | None, collections.abc.Iterator[str]]:
        """Select the regions of a request.

        Regions beyond the cap are left out. The cap does not apply if the own
        region has no target of the service, or all of them have failed.

        Args:
            service: Name of the service.
            regions: Regions that may serve the request.
            affinity_key: Affinity key of the request; empty for none.

        Returns:
            The region that the split selects; and all regions to try, in the
            order of preference.
        """
        own = self._own_region
        split = self._split(service)
        self._start()
        self._mix.on_request(service, regions)
        first = split.choose(
            self._limit.correct(split.fractions_among(regions)), affinity_key
        )
        # A region of which all targets have failed holds no others back.
        slots = self._slots_by_service.get(service, {})
        usable = frozenset(region for region in regions if slots.get(region))
        order = sorted(
            regions,
            key=lambda region: (
                # No other request would try its targets again.
                region != own or own in usable,
                region != first,
                region != own,
                -split.fraction_by_region.get(region, 0.0),
                region,
            ),
        )
        if own not in usable or len(order) == 1:
            return first, iter(order)
        return first, (
            region
            for region in order
            if self._limit.allows(region, usable, region != first)
        )

    def recount_slots(self, service: str) -> None:
        """Count the slots that can be used before the next adjustment.

        Args:
            service: Name of the service.
        """
        self._slots_by_service[service] = self._count_slots(service)

    def on_request(
        self, service: str, region: str, split_region: str | None
    ) -> None:
        """Count a request that is sent to a region.

        Args:
            service: Name of the service.
            region: Region of its target.
            split_region: Region that the split selected.
        """
        self._mix.on_sent(service)
        self._limit.on_request(region)
        self.meter.on_request(region)
        self.count_by_selection[service, region, region != split_region] += 1

    def adjust(
        self,
        services: collections.abc.Iterable[str],
        region_by_host: collections.abc.Mapping[str, str],
    ) -> None:
        """Move the splits of all services one step towards their plans.

        Args:
            services: Names of the services.
            region_by_host: Region of each host that may report loads.
        """
        in_progress = self._count_in_progress(region_by_host)
        lost_by_service = {
            service: self._adjust_split(service, in_progress.get(service, {}))
            for service in services
        }
        if not self._limit.fraction_by_region:
            return
        weights = self._mix.fractions()
        lost: shift_limit.Fractions = {}
        for (service, _), weight in weights.items():
            for region, fraction in lost_by_service.get(service, {}).items():
                lost[region] = lost.get(region, 0.0) + weight * fraction
        self._mix.decay()
        planned = self._plan(weights)
        peers = self._find_peers()
        self._limit.move(planned, peers, lost)
        self.meter.advance()
        if self._moves[''].has_moved(self._limit.fraction_by_region):
            log.event(
                _LOG,
                'region distribution moved',
                fractions=_rounded(self._limit.fraction_by_region),
                planned=_rounded(planned),
                lost=_rounded(lost),
                peers=len(peers),
            )

    def _adjust_split(
        self,
        service: str,
        count_by_region: collections.abc.Mapping[str, int],
    ) -> shift_limit.Fractions:
        """Move the split of a service; return what has to leave regions."""
        self.recount_slots(service)
        slots = self._slots_by_service[service]
        has_started = bool(self._limit.fraction_by_region)
        estimate = self._demand.update if has_started else self._demand.start
        load = estimate(service, count_by_region, sum(slots.values()))
        # Refused requests of the own region are demand as well.
        demand = dict(load)
        demand[self._own_region] *= self._mix.demand_ratio(service)
        split = self._split(service)
        lost = split.adjust(
            {
                region: region_split.RegionLoad(
                    demand[region], slots.get(region, 0)
                )
                for region in load
            },
            self._limit.max_step,
        )
        if self._moves[service].has_moved(split.fraction_by_region):
            log.event(
                _LOG,
                'region split moved',
                service=service,
                fractions=_rounded(split.fraction_by_region),
                in_progress=_rounded(load),
                demand=_rounded(demand),
                slots=slots,
            )
        return lost

    def _start(self) -> None:
        """Start the distribution with the first request."""
        if self._limit.fraction_by_region:
            return
        peers = self._find_peers()
        if peers:
            self._limit.start(_distributions.mean_fractions(peers))
            return
        self._limit.start(
            self._plan(
                {
                    (service, _ALL_REGIONS): sum(
                        self._count_slots(service).values()
                    )
                    for service in self._split_by_service
                }
            )
        )

    def _plan(
        self, weights: collections.abc.Mapping[_request_mix.Key, float]
    ) -> shift_limit.Fractions:
        """Plan the distribution of all requests.

        Args:
            weights: Requests by service and regions that may serve them.
        """
        planned: shift_limit.Fractions = {}
        for (service, regions), weight in weights.items():
            split = self._split(service)
            fractions = split.fractions_among(
                regions or split.fraction_by_region.keys()
            )
            for region, fraction in fractions.items():
                planned[region] = planned.get(region, 0.0) + weight * fraction
        return _distributions.normalize(planned)

    def _split(self, service: str) -> region_split.RegionSplit:
        split = self._split_by_service.get(service)
        if split is None:
            split = self._split_by_service[service] = region_split.RegionSplit(
                self._own_region
            )
        return split

    def _count_slots(self, service: str) -> dict[str, int]:
        """Count the slots of the targets that can be used, by region."""
        slots: collections.Counter[str] = collections.Counter()
        for record in self._targets.usable(service):
            if not self._ejections.is_suspect(record.name):
                slots[self.region_of(record.domain)] += record.slots
        return slots

    def _count_in_progress(
        self, region_by_host: collections.abc.Mapping[str, str]
    ) -> dict[str, collections.Counter[str]]:
        """Count requests by their service and the region of their callers."""
        in_progress: dict[str, collections.Counter[str]] = {}
        for host, counts in self._loads.counts_by_host(''):
            region = region_by_host.get(host, self._own_region)
            for target, count in counts.items():
                record = self._targets.record_by_name.get(target)
                if record is not None:
                    by_region = in_progress.setdefault(
                        record.service, collections.Counter()
                    )
                    by_region[region] += count
        return in_progress


def _rounded(value_by_region: dict[str, float]) -> dict[str, float]:
    return {
        region: round(value, 2) for region, value in value_by_region.items()
    }
