"""Choice of the hosts that a request is sent to."""

from __future__ import annotations

import collections.abc
import random

from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.config import model
from wigeonhatch.steering import candidates as pools
from wigeonhatch.steering import spillover as spillovers
from wigeonhatch.steering import split
from wigeonhatch.steering import views

# A region takes buckets back once this part of its slots is free.
_RETURN_FREE_PERCENT = 10

Route = pools.Route


class Router:
    """Yield routes for requests, best first.

    Args:
        candidates: Hosts of each service and region.
        splits: Split in force on this host.
        spillover: Buckets in spillover on this host.
        has_room: Reports whether a link has room.
        seed: Seed of the choice between two hosts.
    """

    def __init__(
        self,
        candidates: pools.Candidates,
        splits: split.SplitTable,
        spillover: spillovers.Spillover,
        has_room: views.HasRoom,
        seed: int,
    ) -> None:
        self._candidates = candidates
        self._splits = splits
        self._spillover = spillover
        self._has_room = has_room
        self._random = random.Random(seed)
        self._local_by_region: dict[tuple[str, bool], Route] = {}

    def configure(self, versioned: model.VersionedConfig) -> None:
        """Precompute the routes to this host.

        `Candidates.configure` has to be called before.

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

        Use one iterator for all attempts of a request, and ask for the next
        route only if the previous one did not admit it: what follows is
        chosen in the light of that refusal. When the hosts of the region
        have refused, the request is served in another region; when none of
        them can be reached, its bucket enters spillover.

        Args:
            service: Name of the service.
            bucket: Hash bucket of the client.
            bulk: Whether the request is in the bulk class of links.
            reserved: Whether the customer has a reservation; owners without
                free slots in remote regions are then included, because
                they can reclaim a slot.

        Yields:
            Routes; none if no host may take the request now.
        """
        home = self._splits.region(service, bucket)
        if home is None:
            return
        spilled = self._spillover.region(service, bucket)
        current = home if spilled is None else spilled
        yield from self._routes_in(
            service, current, current != home, bulk, reserved
        )
        region = self._best_other(service, current, home, bulk)
        if region is None:
            return
        if region != home and self._is_present(service, current):
            # A brief lack of slots: only this request goes elsewhere.
            is_allowed = self._spillover.overflow(service)
        else:
            is_allowed = self._spillover.move(service, bucket, home, region)
        if is_allowed:
            yield from self._routes_in(
                service, region, region != home, bulk, reserved
            )

    def on_request(self, service: str) -> None:
        """Count a request, the measure for what may be served elsewhere.

        Args:
            service: Name of the service.
        """
        self._spillover.on_request(service)

    def on_end(self, service: str, route: Route) -> None:
        """Count the slot of a request that has ended as free again.

        Args:
            service: Name of the service.
            route: Route whose host had admitted the request.
        """
        if route.is_local:
            return
        pool = self._candidates.pool(service, route.region)
        known = pool.known_by_host.get(route.host) if pool else None
        if known is not None and known.free < known.capacity:
            known.free += 1

    def _is_present(self, service: str, region: str) -> bool:
        """Tell whether any host can admit in a region, now or soon."""
        pool = self._candidates.pool(service, region)
        return pool is not None and (pool.has_local or bool(pool.members))

    def refusal(
        self, service: str, bucket: int, bulk: bool = False
    ) -> outcome.Failure:
        """Explain why `routes` found no host that admits a request.

        Args:
            service: Name of the service.
            bucket: Hash bucket of the client.
            bulk: Whether the request is in the bulk class of links.

        Returns:
            A failure that was not run: `UNKNOWN_SERVICE`, `NOT_READY`,
            `REGION_UNAVAILABLE`, `LINK_FULL` or `NO_CAPACITY`.
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
        if self._spillover.is_exhausted(service):
            where += ' (the failover cap is used up)'
        pool = self._candidates.pool(service, region)
        if pool is None or not (pool.members or pool.has_local):
            return outcome.Failure(
                codes.ResultCode.REGION_UNAVAILABLE,
                f'no host can be reached in {where}',
            )
        if self._candidates.free(pool) > 0 and not self._is_open(pool, bulk):
            return outcome.Failure(
                codes.ResultCode.LINK_FULL, f'no bandwidth is left to {where}'
            )
        return outcome.Failure(
            codes.ResultCode.NO_CAPACITY, f'no slot is free in {where}'
        )

    def advance(self) -> None:
        """Return buckets from spillover where their region has room."""
        self._spillover.advance(self._splits.region, self._can_return)

    def _can_return(self, service: str, region: str) -> bool:
        pool = self._candidates.pool(service, region)
        if pool is None:
            return False
        free = self._candidates.free(pool)
        needed = self._candidates.capacity(pool) * _RETURN_FREE_PERCENT / 100
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
        tried_local = pool.has_local and candidates.local_free(service) > 0
        if tried_local:
            yield self._local_by_region[region, is_spillover]
        untried = pool.members
        while untried:
            chosen = self._choose(untried)
            if chosen.free <= 0:
                break
            untried = [item for item in untried if item is not chosen]
            far = chosen.host_region
            if far != candidates.region and not self._has_room(far, bulk):
                continue
            chosen.free -= 1
            yield chosen.spill_route if is_spillover else chosen.route
            # The next route is asked for only after a refusal.
            chosen.free = min(chosen.free, 0)
        if region != candidates.region and not reserved:
            return
        # Reports are stale, and a reservation can reclaim a used slot, so
        # one owner that reports no free slot is worth an attempt.
        if pool.has_local and not tried_local:
            yield self._local_by_region[region, is_spillover]
        if untried:
            chosen = untried[int(self._random.random() * len(untried))]
            far = chosen.host_region
            if far == candidates.region or self._has_room(far, bulk):
                yield chosen.spill_route if is_spillover else chosen.route

    def _choose(self, members: list[pools.Candidate]) -> pools.Candidate:
        """Choose the better of two hosts at random.

        Falls back to the best of all, so that the result has no free slot
        only if none has.
        """
        count = len(members)
        if count == 1:
            return members[0]
        first = int(self._random.random() * count)
        second = int(self._random.random() * (count - 1))
        if second >= first:
            second += 1
        one, other = members[first], members[second]
        better = one if one.free >= other.free else other
        if better.free > 0:
            return better
        return max(members, key=lambda item: item.free)

    def _is_open(self, pool: pools.Pool, bulk: bool) -> bool:
        own = self._candidates.region
        return (
            pool.has_local
            and self._candidates.local_free(pool.service) > 0
            or any(
                item.free > 0
                and (
                    item.host_region == own
                    or self._has_room(item.host_region, bulk)
                )
                for item in pool.members
            )
        )

    def _best_other(
        self, service: str, current: str, home: str, bulk: bool
    ) -> str | None:
        """Choose another region that can take a request now.

        The assigned region comes first, then the region of this host, which
        needs no link, then the region with the most free slots.
        """
        if self._spillover.is_exhausted(service):
            return None
        best: tuple[tuple[bool, bool, int], str] | None = None
        for region in self._candidates.regions:
            if region == current:
                continue
            pool = self._candidates.pool(service, region)
            if pool is None or not self._is_open(pool, bulk):
                continue
            weight = (
                region == home,
                region == self._candidates.region,
                self._candidates.free(pool),
            )
            if best is None or weight > best[0]:
                best = weight, region
        return None if best is None else best[1]
