"""Demand of the callers of each region for each service."""

from __future__ import annotations

import collections.abc

_SMOOTHING = 0.3
"""Smoothing factor of the load; the average covers about the last 1.5 s."""

Demand = dict[str, float]
"""Requests in progress by region of the callers."""


class RegionDemand:
    """Smoothed requests in progress by service and region of the callers.

    Args:
        regions: All regions.
    """

    def __init__(self, regions: collections.abc.Iterable[str]) -> None:
        self._regions = tuple(dict.fromkeys(regions))
        self._demand_by_service: dict[str, Demand] = {}

    def remove(self, service: str) -> None:
        """Forget a service."""
        self._demand_by_service.pop(service, None)

    def start(
        self,
        service: str,
        count_by_region: collections.abc.Mapping[str, int],
        slots: int,
    ) -> Demand:
        """Estimate the demand before this host has sent requests.

        All regions are assumed to have the same demand, which fills all slots;
        a few requests that have just arrived tell little of it.

        Args:
            service: Name of the service.
            count_by_region: Requests in progress by region of the callers.
            slots: Slots of all usable targets.
        """
        assumed = slots / len(self._regions)
        demand = {
            region: max(float(count_by_region.get(region, 0)), assumed)
            for region in self._regions
        }
        self._demand_by_service[service] = demand
        return dict(demand)

    def update(
        self,
        service: str,
        count_by_region: collections.abc.Mapping[str, int],
        slots: int,
    ) -> Demand:
        """Update the estimate by what is in progress.

        Without any requests, the last estimate remains the best one.

        Args:
            service: Name of the service.
            count_by_region: Requests in progress by region of the callers.
            slots: Slots of all usable targets.
        """
        demand = self._demand_by_service.get(service)
        if demand is None:
            return self.start(service, count_by_region, slots)
        if any(count_by_region.values()):
            for region in self._regions:
                count = count_by_region.get(region, 0)
                demand[region] += _SMOOTHING * (count - demand[region])
        return dict(demand)
