"""Distribution of a service's requests from this region to all regions."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import math

import xxhash

from wigeonhatch.balance import _distributions

_STEP_RATIO = 2.0
"""Ratio of a service's steps to those of all requests together, which
`ShiftLimit` keeps within the cap."""
MAX_LOCAL_LOAD = 0.7
"""Load up to which a region serves its own requests, to leave headroom."""
FULL_LOAD = 1.0
"""Load above which requests leave a region at once if it has lost slots."""
MAX_EXCESS = 3.0
"""Requests that a region may receive in excess of its fraction."""
_LOSS_STEPS = 8
"""Steps for which requests of lost slots may leave a region at once. The load
that remains shows after some of them."""
_HASH_RANGE = 2.0**64 + 1
_BALANCE_MARGIN = 1.1
"""Ratio to the average load from which a region sends requests to others."""


@dataclasses.dataclass(frozen=True, slots=True)
class RegionLoad:
    """Load of one service in one region.

    Args:
        in_progress: Smoothed number of requests in progress that callers sent
            to the region.
        slots: Slots of the usable targets in the region.
    """

    in_progress: float
    slots: int


def plan_fractions(
    own: str,
    load_by_region: collections.abc.Mapping[str, RegionLoad],
    max_local_load: float = MAX_LOCAL_LOAD,
) -> dict[str, float]:
    """Plan the fractions of one region's requests that all regions serve.

    A region serves its own requests up to a load limit; the excess goes to the
    regions with spare slots, in proportion to them.

    Args:
        own: Region whose requests are distributed.
        load_by_region: Load of the service in each region.
        max_local_load: Load up to which a region serves its own requests.

    Returns:
        Fraction of each region with slots; they add up to 1. Empty if no
        region has slots.
    """
    slots = sum(load.slots for load in load_by_region.values())
    if not slots:
        return {}
    average = sum(load.in_progress for load in load_by_region.values()) / slots
    max_load = max(max_local_load, average * _BALANCE_MARGIN)
    spare_by_region = {
        region: max(0.0, load.slots * max_load - load.in_progress)
        for region, load in load_by_region.items()
        if region != own and load.slots
    }
    local = load_by_region.get(own, RegionLoad(0.0, 0))
    served_locally = min(local.in_progress, local.slots * max_load)
    if not local.slots:
        local_fraction = 0.0
    elif local.in_progress <= 0:
        local_fraction = 1.0
    else:
        local_fraction = served_locally / local.in_progress
    spare = sum(spare_by_region.values())
    if not spare_by_region or (spare <= 0 and local.slots):
        return {own: 1.0}
    if spare <= 0:
        spare_by_region = {
            region: float(load_by_region[region].slots)
            for region in spare_by_region
        }
        spare = sum(spare_by_region.values())
    fractions = {
        region: (1 - local_fraction) * region_spare / spare
        for region, region_spare in spare_by_region.items()
    }
    if local.slots:
        fractions[own] = local_fraction
    return fractions


class RegionSplit:
    """Fractions of one service's requests, adjusted in steps.

    Args:
        own: Region of this host.
    """

    def __init__(self, own: str) -> None:
        self.fraction_by_region: dict[str, float] = {}
        self._own = own
        self._slots_by_region: dict[str, int] = {}
        self._losses: collections.deque[dict[str, float]] = collections.deque(
            maxlen=_LOSS_STEPS
        )
        self._credit_by_region: dict[str, float] = {}

    def adjust(
        self,
        load_by_region: collections.abc.Mapping[str, RegionLoad],
        max_step: float,
    ) -> dict[str, float]:
        """Move the fractions one step towards the plan.

        Args:
            load_by_region: Load of the service in each region.
            max_step: Step of all requests together.

        Returns:
            Fraction that has to leave each region at once, since slots that
            served it are lost and the others are full.
        """
        lost: dict[str, float] = {}
        planned = plan_fractions(self._own, load_by_region)
        slots = {region: load.slots for region, load in load_by_region.items()}
        if not self.fraction_by_region or not planned:
            self.fraction_by_region = planned
        else:
            lost = self._leaving_fractions(load_by_region)
            self.fraction_by_region = _distributions.step_towards(
                self.fraction_by_region,
                planned,
                max(_STEP_RATIO * max_step, sum(lost.values())),
            )
        self._slots_by_region = slots
        return lost

    def fractions_among(
        self, allowed: collections.abc.Set[str]
    ) -> dict[str, float]:
        """Fractions of some regions, scaled so that they add up to 1.

        Args:
            allowed: Regions that may serve a request.

        Returns:
            Fraction of each region; equal ones if the plan uses none of them.
        """
        return _distributions.normalize(
            {
                region: fraction
                for region, fraction in self.fraction_by_region.items()
                if region in allowed
            }
        ) or dict.fromkeys(sorted(allowed), 1 / max(1, len(allowed)))

    def choose(
        self,
        fractions: collections.abc.Mapping[str, float],
        affinity_key: bytes,
    ) -> str | None:
        """Select the region of the next request.

        Weighted rendezvous hashing selects the region of an affinity key, so
        that few targets have to cache its state. A region that has received
        too many requests is skipped, so that the fractions hold over short
        times.

        Args:
            fractions: Fraction of each region that may serve the request.
            affinity_key: Affinity key of the request; empty for none.

        Returns:
            The region; None if no region has a fraction.
        """
        if not fractions:
            return None
        credit = self._credit_by_region
        for region, fraction in fractions.items():
            credit[region] = credit.get(region, 0.0) + fraction
        selected = max(fractions, key=lambda region: credit[region])
        if affinity_key:
            preferred = _select_by_hash(fractions, affinity_key)
            if credit[preferred] > -MAX_EXCESS:
                selected = preferred
        credit[selected] = max(-2 * MAX_EXCESS, credit[selected] - 1.0)
        return selected

    def _leaving_fractions(
        self, load_by_region: collections.abc.Mapping[str, RegionLoad]
    ) -> dict[str, float]:
        """Fractions of recently lost slots that the others cannot serve."""
        lost: dict[str, float] = {}
        for region, fraction in self.fraction_by_region.items():
            before = self._slots_by_region.get(region, 0)
            load = load_by_region.get(region)
            now = 0 if load is None else load.slots
            if now < before:
                lost[region] = fraction * (before - now) / before
        self._losses.append(lost)
        full = plan_fractions(self._own, load_by_region, FULL_LOAD)
        leaving: dict[str, float] = {}
        for losses in self._losses:
            for region, fraction in losses.items():
                excess = (
                    self.fraction_by_region.get(region, 0.0)
                    - full.get(region, 0.0)
                    - leaving.get(region, 0.0)
                )
                part = min(fraction, excess)
                if part > 0:
                    losses[region] -= part
                    leaving[region] = leaving.get(region, 0.0) + part
        return leaving


def _select_by_hash(
    fractions: collections.abc.Mapping[str, float], affinity_key: bytes
) -> str:
    """Select a region by weighted rendezvous hashing."""

    def score(region: str) -> float:
        digest = xxhash.xxh3_64_intdigest(
            affinity_key + b'\0' + region.encode()
        )
        return fractions[region] / -math.log((digest + 1) / _HASH_RANGE)

    return max(fractions, key=score)
