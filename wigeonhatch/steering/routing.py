"""Selection of the hosts that a request is sent to."""

from __future__ import annotations

import collections.abc
import random

from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.config import model
from wigeonhatch.steering import candidates as candidate_module
from wigeonhatch.steering import spillover as spillover_module
from wigeonhatch.steering import split
from wigeonhatch.steering import views

# Buckets return from spillover once this share of the region's slots is free.
_MIN_FREE_PERCENT = 10

Route = candidate_module.Route


class Router:
    """Select routes for requests, best first.

    Args:
        candidates: Candidate hosts of each service and region.
        splits: Splits in force on this host.
        spillover: Buckets in spillover on this host.
        can_send: Reports whether a link has bandwidth left.
        seed: Seed of the random choice among hosts.
    """

    def __init__(
        self,
        candidates: candidate_module.Candidates,
        splits: split.SplitTable,
        spillover: spillover_module.Spillover,
        can_send: views.CanSend,
        seed: int,
    ) -> None:
        self._candidates = candidates
        self._splits = splits
        self._spillover = spillover
        self._can_send = can_send
        self._random = random.Random(seed)
        self._local_by_region: dict[tuple[str, bool], Route] = {}

    def configure(self, versioned: model.VersionedConfig) -> None:
        """Precompute the routes to this host.

        `Candidates.configure` must have been called before.

        Args:
            versioned: Configuration in force.
        """
        self._local_by_region = {
            (region, is_spillover): Route(
                self._candidates.host, region, True, is_spillover
            )
            for region in versioned.config.region_by_name
            for is_spillover in (False, True)
        }

    def routes(
        self, service: str, bucket: int, bulk: bool, reserved: bool = False
    ) -> collections.abc.Iterator[Route]:
        """Yield hosts that may admit a request, best first.

        Use one iterator for all attempts of a request, and advance it only if
        the previous host did not admit the request: the iterator treats that
        host as full. If the hosts of the region refuse, the request overflows
        to another region; if none of them is reachable, its bucket enters
        spillover.

        Args:
            service: Name of the service.
            bucket: Hash bucket of the client.
            bulk: Whether the request is in the bulk class of links.
            reserved: Whether the customer has a reservation. If so, hosts in
                other regions are tried even if they report no free slot,
                because they can reclaim one for the reservation.

        Yields:
            Routes; none if no host may receive the request now.
        """
        home = self._splits.region(service, bucket)
        if home is None:
            return
        spilled = self._spillover.region(service, bucket)
        current = home if spilled is None else spilled
        yield from self._routes_in(
            service, current, current != home, bulk, reserved
        )
        region = self._choose_other_region(service, current, home, bulk)
        if region is None:
            return
        if region != home and self._has_hosts(service, current):
            # The region is only short of slots, so its bucket does not move.
            is_allowed = self._spillover.allow_overflow(service)
        else:
            is_allowed = self._spillover.move(service, bucket, home, region)
        if is_allowed:
            yield from self._routes_in(
                service, region, region != home, bulk, reserved
            )

    def on_request(self, service: str) -> None:
        """Count a request; the cap on overflow is relative to this count.

        Args:
            service: Name of the service.
        """
        self._spillover.on_request(service)

    def on_end(self, service: str, route: Route) -> None:
        """Add the slot of an ended request to the host's free slots.

        Args:
            service: Name of the service.
            route: Route whose host admitted the request.
        """
        if route.is_local:
            return
        pool = self._candidates.pool(service, route.region)
        candidate = pool.candidate_by_host.get(route.host) if pool else None
        if candidate is not None and candidate.free < candidate.capacity:
            candidate.free += 1

    def _has_hosts(self, service: str, region: str) -> bool:
        """Report whether a region has usable hosts, with free slots or not."""
        pool = self._candidates.pool(service, region)
        return pool is not None and (pool.has_local or bool(pool.candidates))

    def refusal(
        self, service: str, bucket: int, bulk: bool = False
    ) -> outcome.Failure:
        """Describe why no host from `routes` admitted a request.

        Args:
            service: Name of the service.
            bucket: Hash bucket of the client.
            bulk: Whether the request is in the bulk class of links.

        Returns:
            Failure of a request that was not run: `UNKNOWN_SERVICE`,
            `NOT_READY`, `REGION_UNAVAILABLE`, `LINK_FULL` or `NO_CAPACITY`.
        """
        config = self._candidates.config
        if config is None:
            return outcome.Failure(
                codes.ResultCode.NOT_READY, 'no configuration is in force'
            )
        if service not in config.service_by_name:
            return outcome.Failure(
                codes.ResultCode.UNKNOWN_SERVICE,
                f'service {service!r} does not exist',
            )
        home = self._splits.region(service, bucket)
        if home is None:
            return outcome.Failure(
                codes.ResultCode.NOT_READY,
                f'the split of service {service!r} is not known yet',
            )
        region = self._spillover.region(service, bucket) or home
        where = f'region {region!r} of service {service!r}'
        if self._spillover.is_cap_exhausted(service):
            where += ' (the failover cap is used up)'
        pool = self._candidates.pool(service, region)
        if pool is None or not (pool.candidates or pool.has_local):
            return outcome.Failure(
                codes.ResultCode.REGION_UNAVAILABLE,
                f'no host can be reached in {where}',
            )
        if self._candidates.free_slots(pool) > 0 and not self._has_route(
            pool, bulk
        ):
            return outcome.Failure(
                codes.ResultCode.LINK_FULL, f'no bandwidth is left to {where}'
            )
        return outcome.Failure(
            codes.ResultCode.NO_CAPACITY, f'no slot is free in {where}'
        )

    def advance(self) -> None:
        """Return buckets from spillover to regions with enough free slots."""
        self._spillover.advance(self._splits.region, self._has_spare_slots)

    def _has_spare_slots(self, service: str, region: str) -> bool:
        pool = self._candidates.pool(service, region)
        if pool is None:
            return False
        free = self._candidates.free_slots(pool)
        needed = self._candidates.total_slots(pool) * _MIN_FREE_PERCENT / 100
        return free > 0 and free >= needed

    def _routes_in(
        self,
        service: str,
        region: str,
        is_spillover: bool,
        bulk: bool,
        reserved: bool,
    ) -> collections.abc.Iterator[Route]:
        candidates = self._candidates
        pool = candidates.pool(service, region)
        if pool is None:
            return
        tried_local = (
            pool.has_local and candidates.local_free_slots(service) > 0
        )
        if tried_local:
            yield self._local_by_region[region, is_spillover]
        untried = pool.candidates
        while untried:
            host = self._choose_of_two(untried)
            if host.free <= 0:
                break
            far = host.host_region
            if far == candidates.local_region or self._can_send(far, bulk):
                host.free -= 1
                yield host.spillover_route if is_spillover else host.route
                # The iterator advances only if the host refused.
                host.free = min(host.free, 0)
            untried = [item for item in untried if item is not host]
        if region != candidates.local_region and not reserved:
            return
        # The reports may be stale, and a reservation can reclaim a used slot,
        # so try one host that reports no free slot.
        if pool.has_local and not tried_local:
            yield self._local_by_region[region, is_spillover]
        if untried:
            host = untried[int(self._random.random() * len(untried))]
            far = host.host_region
            if far == candidates.local_region or self._can_send(far, bulk):
                yield host.spillover_route if is_spillover else host.route

    def _choose_of_two(
        self, hosts: list[candidate_module.Candidate]
    ) -> candidate_module.Candidate:
        """Choose two hosts at random and return the one with more free slots.

        If neither has one, returns the host with the most free slots of all.
        """
        count = len(hosts)
        if count == 1:
            return hosts[0]
        first = int(self._random.random() * count)
        second = int(self._random.random() * (count - 1))
        if second >= first:
            second += 1
        one, other = hosts[first], hosts[second]
        better = one if one.free >= other.free else other
        if better.free > 0:
            return better
        return max(hosts, key=lambda item: item.free)

    def _has_route(self, pool: candidate_module.HostPool, bulk: bool) -> bool:
        """Report whether a host with free slots can be reached now."""
        local_region = self._candidates.local_region
        return (
            pool.has_local
            and self._candidates.local_free_slots(pool.service) > 0
            or any(
                item.free > 0
                and (
                    item.host_region == local_region
                    or self._can_send(item.host_region, bulk)
                )
                for item in pool.candidates
            )
        )

    def _choose_other_region(
        self, service: str, current: str, home: str, bulk: bool
    ) -> str | None:
        """Choose another region that can serve a request now.

        Prefers the assigned region, then the region of this host, which needs
        no link, then the region with the most free slots.
        """
        if self._spillover.is_cap_exhausted(service):
            return None
        best: tuple[tuple[bool, bool, int], str] | None = None
        for region in self._candidates.regions:
            if region == current:
                continue
            pool = self._candidates.pool(service, region)
            if pool is None or not self._has_route(pool, bulk):
                continue
            preference = (
                region == home,
                region == self._candidates.local_region,
                self._candidates.free_slots(pool),
            )
            if best is None or preference > best[0]:
                best = preference, region
        return None if best is None else best[1]
