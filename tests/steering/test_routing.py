"""Tests of routing, refusals and spillover on one host."""

from __future__ import annotations

import collections
import random

from tests.steering import examples
from wigeonhatch import clock as clocks
from wigeonhatch import codes
from wigeonhatch.config import model
from wigeonhatch.steering import candidates
from wigeonhatch.steering import ownership
from wigeonhatch.steering import routing
from wigeonhatch.steering import spillover
from wigeonhatch.steering import split

NORTH, CENTRAL, SOUTH = 500, 100, 900
CAP = model.Cap(percent=0.4, interval_ms=10_000)


class RouterHarness:
    """Router of one host, `host-north-1` by default, with fake membership."""

    def __init__(self, name: str = 'host-north-1') -> None:
        self.clock = clocks.ManualClock()
        versioned = examples.build_config(failover_cap=CAP)
        config = versioned.config
        self.membership = examples.FakeMembership(config)
        self.full_links: set[str] = set()
        self.candidates = candidates.Candidates(
            name,
            self.clock,
            self.membership,
            lambda service: self.membership.load_by_host[name],
        )
        self.splits = split.SplitTable(self.clock)
        self.spillover = spillover.Spillover(self.clock, random.Random(1))
        self.router = routing.Router(
            self.candidates,
            self.splits,
            self.spillover,
            lambda region, bulk: region not in self.full_links,
            seed=1,
        )
        self.candidates.configure(versioned, ownership.assign_owners(config))
        for component in (self.splits, self.spillover, self.router):
            component.configure(versioned)
        self.splits.mark_loaded()

    def route_hosts(self, bucket: int, reserved: bool = False) -> list[str]:
        """Return the hosts of all routes of a request, in order."""
        routes = self.router.routes('ledger', bucket, False, reserved)
        return [route.host.removeprefix('host-') for route in routes]

    def first_route(self, bucket: int) -> routing.Route | None:
        """Return the first route of a request."""
        return next(self.router.routes('ledger', bucket, False), None)

    def count_requests(self, count: int) -> None:
        """Record a number of requests."""
        for _ in range(count):
            self.router.on_request('ledger')

    def set_free(self, region: str, free: int) -> None:
        """Report the free slots of both hosts of a region."""
        for number in (1, 2):
            name = f'host-{region}-{number}'
            self.membership.load_by_host[name].free = free
            self.membership.record_by_host[name].sequence += 1
        self.clock.advance(50)


def test_local_slots_come_first() -> None:
    """Guards against forwarding a request while this host has free slots."""
    host = RouterHarness()
    first = host.first_route(NORTH)
    assert first == routing.Route('host-north-1', 'north', True, False)
    host.membership.load_by_host['host-north-1'].free = 0
    assert host.route_hosts(NORTH)[:2] == ['north-2', 'north-1']


def test_sent_requests_count_until_the_next_report() -> None:
    """Guards against sending all requests to one host on a stale report."""
    host = RouterHarness('host-south-1')
    sent = collections.Counter(
        route.host for _ in range(10) if (route := host.first_route(NORTH))
    )
    assert sent == {'host-north-1': 5, 'host-north-2': 5}
    assert (
        host.candidates.free_slots(host.candidates.pool('ledger', 'north'))
        == 0
    )
    host.clock.advance(1_000)
    assert host.first_route(NORTH) is not None


def test_a_refusing_host_is_avoided_until_its_next_report() -> None:
    """Guards against forwarding each request to a full host first."""
    host = RouterHarness('host-south-1')
    host.count_requests(1_000)
    assert host.route_hosts(NORTH)[:2] in (
        ['north-1', 'north-2'],
        ['north-2', 'north-1'],
    )
    route = host.first_route(NORTH)
    assert route is not None and route.region == 'south'


def test_draining_and_unreachable_hosts_receive_nothing() -> None:
    """Guards against sending new requests to stopping or failed hosts."""
    host = RouterHarness('host-south-1')
    host.membership.drained = frozenset({'host-north-1'})
    assert 'north-1' not in host.route_hosts(NORTH)
    host = RouterHarness('host-south-1')
    host.membership.unreachable = {'host-north-2'}
    assert 'north-2' not in host.route_hosts(NORTH)


def test_the_acting_host_stands_in() -> None:
    """Guards against targets that receive no requests after a takeover."""
    host = RouterHarness('host-south-1')
    host.membership.unreachable = {'host-north-1', 'host-north-2'}
    host.membership.actor_by_host = {'host-north-1': 'host-central-1'}
    route = host.first_route(NORTH)
    assert route is not None
    assert (route.host, route.region) == ('host-central-1', 'north')
    host.membership.actor_by_host = {'host-north-1': 'host-south-1'}
    host.clock.advance(50)
    route = host.first_route(NORTH)
    assert route == routing.Route('host-south-1', 'north', True, False)


def test_spillover_stays_within_the_cap() -> None:
    """Guards against a failed region that overloads the other regions."""
    host = RouterHarness()
    host.membership.unreachable = {'host-central-1', 'host-central-2'}
    served = [bucket for bucket in range(300) if host.first_route(bucket)]
    assert served == [0, 1, 2, 3]
    refusal = host.router.refusal('ledger', CENTRAL)
    assert refusal.code is codes.ResultCode.REGION_UNAVAILABLE
    assert refusal.ran is codes.Ran.NOT_RUN
    host.clock.advance(15_001)
    served = [bucket for bucket in range(300) if host.first_route(bucket)]
    assert served == list(range(8))


def test_buckets_return_slowly_and_within_half_the_cap() -> None:
    """Guards against flapping and against overloading a recovering region."""
    host = RouterHarness()
    host.membership.unreachable = {'host-central-1', 'host-central-2'}
    assert [bool(host.first_route(bucket)) for bucket in range(5)] == (
        [True] * 4 + [False]
    )
    host.membership.unreachable = set()
    host.clock.advance(15_001)
    host.set_free('central', 5)
    for free in (5, 0, 5):
        host.set_free('central', free)
        host.router.advance()
        host.clock.advance(4_000)
    host.router.advance()
    assert host.spillover.count_by_service == {'ledger': 4}
    host.clock.advance(1_000)
    host.router.advance()
    assert host.spillover.count_by_service == {'ledger': 2}
    host.clock.advance(14_000)
    host.router.advance()
    assert host.spillover.count_by_service == {'ledger': 2}
    host.clock.advance(1_001)
    host.router.advance()
    assert host.spillover.count_by_service == {'ledger': 0}


def test_requests_overflow_from_a_full_region_within_the_cap() -> None:
    """Guards against refusals, or a moved bucket, when one region is full."""
    host = RouterHarness()
    host.count_requests(1_000)
    host.set_free('central', 0)
    regions = [
        route.region if (route := host.first_route(CENTRAL)) else None
        for _ in range(6)
    ]
    assert regions == ['north'] * 4 + [None] * 2
    # The bucket has not moved, so it returns to its region at once.
    assert host.spillover.count_by_service == {'ledger': 0}
    host.set_free('central', 5)
    route = host.first_route(CENTRAL)
    assert route is not None and route.region == 'central'


def test_overflow_and_moved_buckets_share_the_cap() -> None:
    """Guards against overflow and moves that each use the whole cap."""
    host = RouterHarness()
    host.count_requests(1_000)
    host.set_free('south', 0)
    assert host.first_route(SOUTH) and host.first_route(SOUTH)
    host.membership.unreachable = {'host-central-1', 'host-central-2'}
    host.clock.advance(50)
    assert [bool(host.first_route(bucket)) for bucket in range(4)] == (
        [True] * 2 + [False] * 2
    )


def test_links_without_room_are_not_used() -> None:
    """Guards against routes over a full link, also in spillover."""
    host = RouterHarness()
    host.count_requests(1_000)
    host.full_links = {'central', 'south'}
    route = host.first_route(CENTRAL)
    assert route is not None
    assert (route.region, route.is_spillover) == ('north', True)
    host.set_free('north', 0)
    assert host.first_route(SOUTH) is None
    refusal = host.router.refusal('ledger', SOUTH)
    assert refusal.code is codes.ResultCode.LINK_FULL


def test_full_regions_refuse_unless_a_reservation_can_reclaim() -> None:
    """Guards against refusing a reservation and against needless forwards."""
    host = RouterHarness()
    for region in examples.REGIONS:
        host.set_free(region, 0)
    assert host.route_hosts(SOUTH) == []
    assert len(host.route_hosts(SOUTH, reserved=True)) == 1
    refusal = host.router.refusal('ledger', SOUTH)
    assert refusal.code is codes.ResultCode.NO_CAPACITY
    assert host.spillover.count_by_service == {'ledger': 0}


def test_refusals_before_the_split_is_known() -> None:
    """Guards against routing with a split that may be out of date."""
    host = RouterHarness()
    host.splits = host.router._splits = split.SplitTable(host.clock)
    assert host.route_hosts(NORTH) == []
    refusal = host.router.refusal('ledger', NORTH)
    assert refusal.code is codes.ResultCode.NOT_READY
    refusal = host.router.refusal('album', NORTH)
    assert refusal.code is codes.ResultCode.UNKNOWN_SERVICE
