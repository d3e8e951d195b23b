"""Part of a service's requests that each region gets from this one."""

from __future__ import annotations

import collections.abc
import dataclasses
import math

import xxhash

ADJUST_INTERVAL_MS = 500
"""Interval at which the parts are adjusted."""
_CAP_WINDOW_MS = 2_000
"""Window over which the operators' cap on shifts counts."""
_CAP_MARGIN = 0.6
"""Part of the cap that is used; the rest covers chance in the traffic."""
LOCAL_LOAD = 0.7
"""Load up to which a region keeps its own requests, to leave headroom."""
MAX_EXCESS_REQUESTS = 3.0
"""Requests by which a region may be ahead of its part."""
_HASHES = 2.0**64 + 1
_BALANCE_MARGIN = 1.1
"""Load above the average from which a region hands requests over."""


@dataclasses.dataclass(frozen=True, slots=True)
class RegionLoad:
    """Load of one service in one region.

    Args:
        busy: Requests in progress that entered in the region.
        slots: Slots of the usable targets in the region.
    """

    busy: float
    slots: int


def plan_fractions(
    own: str, load_by_region: collections.abc.Mapping[str, RegionLoad]
) -> dict[str, float]:
    """Plan the parts of one region's requests that all regions get.

    A region keeps its requests up to its limit; what exceeds it goes to the
    regions with spare slots, in proportion to them.

    Args:
        own: Region whose requests are distributed.
        load_by_region: Load of the service in each region.

    Returns:
        Part of each region with slots; the sum is 1, or nothing without
        slots anywhere.
    """
    slots = sum(load.slots for load in load_by_region.values())
    if not slots:
        return {}
    average = sum(load.busy for load in load_by_region.values()) / slots
    bound = max(LOCAL_LOAD, average * _BALANCE_MARGIN)
    spare_by_region = {
        region: max(0.0, load.slots * bound - load.busy)
        for region, load in load_by_region.items()
        if region != own and load.slots
    }
    local = load_by_region.get(own, RegionLoad(0.0, 0))
    kept = min(local.busy, local.slots * bound)
    if not local.slots:
        local_part = 0.0
    elif local.busy <= 0:
        local_part = 1.0
    else:
        local_part = kept / local.busy
    spare = sum(spare_by_region.values())
    if not spare_by_region or (spare <= 0 and local.slots):
        return {own: 1.0}
    if spare <= 0:
        spare_by_region = {
            region: float(load_by_region[region].slots)
            for region in spare_by_region
        }
        spare = sum(spare_by_region.values())
    parts = {
        region: (1 - local_part) * value / spare
        for region, value in spare_by_region.items()
    }
    if local.slots:
        parts[own] = local_part
    return parts


class RegionSplit:
    """Parts of one service's requests, moved in bounded steps.

    Args:
        own: Region of this host.
        max_shift: Largest part that may move within the operators' window.
    """

    def __init__(self, own: str, max_shift: float) -> None:
        self.fraction_by_region: dict[str, float] = {}
        self._own = own
        self._max_step = (
            max_shift * _CAP_MARGIN * ADJUST_INTERVAL_MS / _CAP_WINDOW_MS
        )
        self._slots_by_region: dict[str, int] = {}
        self._due_by_region: dict[str, float] = {}

    def adjust(
        self, load_by_region: collections.abc.Mapping[str, RegionLoad]
    ) -> None:
        """Move the parts one step towards the plan.

        A region that lost slots since the last step may be left at once by
        the part that they served.

        Args:
            load_by_region: Load of the service in each region.
        """
        wanted = plan_fractions(self._own, load_by_region)
        slots = {region: load.slots for region, load in load_by_region.items()}
        if not self.fraction_by_region or not wanted:
            self.fraction_by_region = wanted
        else:
            lost = self._lost_part(slots)
            self.fraction_by_region = _move(
                self.fraction_by_region, wanted, max(self._max_step, lost)
            )
        self._slots_by_region = slots

    def choose(
        self, allowed: collections.abc.Set[str], affinity_key: bytes
    ) -> str | None:
        """Choose the region of the next request.

        Each object has an order of regions, weighted by their parts, so that
        few targets have to prepare for it. A region that has got too many
        requests is passed over, so that the parts hold in any short time.

        Args:
            allowed: Regions that may serve the request.
            affinity_key: Object of the request; empty for none.

        Returns:
            The region; None if there is none.
        """
        parts = {
            region: part
            for region, part in self.fraction_by_region.items()
            if region in allowed and part > 0
        }
        total = sum(parts.values())
        if not total:
            return None
        due = self._due_by_region
        for region, part in parts.items():
            due[region] = due.get(region, 0.0) + part / total
        chosen = max(parts, key=lambda region: due[region])
        if affinity_key:
            preferred = _prefer(parts, affinity_key)
            if due[preferred] > -MAX_EXCESS_REQUESTS:
                chosen = preferred
        due[chosen] = max(-2 * MAX_EXCESS_REQUESTS, due[chosen] - 1.0)
        return chosen

    def _lost_part(self, slots: dict[str, int]) -> float:
        lost = 0.0
        for region, part in self.fraction_by_region.items():
            before = self._slots_by_region.get(region, 0)
            now = slots.get(region, 0)
            if now < before:
                lost += part * (before - now) / before
        return lost


def _prefer(parts: dict[str, float], affinity_key: bytes) -> str:
    """Choose by rendezvous hashing with weights."""

    def score(region: str) -> float:
        digest = xxhash.xxh3_64_intdigest(
            affinity_key + b'\0' + region.encode()
        )
        return parts[region] / -math.log((digest + 1) / _HASHES)

    return max(parts, key=score)


def _move(
    current: dict[str, float], wanted: dict[str, float], max_step: float
) -> dict[str, float]:
    regions = [
        *wanted,
        *(region for region in current if region not in wanted),
    ]
    distance = (
        sum(
            abs(wanted.get(region, 0.0) - current.get(region, 0.0))
            for region in regions
        )
        / 2
    )
    if distance <= max_step:
        return dict(wanted)
    ratio = max_step / distance
    return {
        region: current.get(region, 0.0)
        + ratio * (wanted.get(region, 0.0) - current.get(region, 0.0))
        for region in regions
    }
