"""Tests of routes, refusals and spillover on one host."""

from __future__ import annotations

import collections

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


class Host:
    """Router of `host-north-1` with a membership that tests set."""

    def __init__(self, name: str = 'host-north-1') -> None:
        self.clock = clocks.ManualClock()
        versioned = examples.build_config(failover_cap=CAP)
        config = versioned.config
        self.members = examples.FakeMembership(config)
        self.closed: set[str] = set()
        self.candidates = candidates.Candidates(
            name,
            self.clock,
            self.members,
            lambda service: self.members.load_by_host[name],
        )
        self.splits = split.SplitTable(self.clock)
        self.spillover = spillover.Spillover(self.clock)
        self.router = routing.Router(
            self.candidates,
            self.splits,
            self.spillover,
            lambda region, bulk: region not in self.closed,
            seed=1,
        )
        self.candidates.configure(versioned, ownership.assign_owners(config))
        for part in (self.splits, self.spillover, self.router):
            part.configure(versioned)
        self.splits.mark_loaded()

    def routes(self, bucket: int, reserved: bool = False) -> list[str]:
        """List the hosts that all routes of a request lead to."""
        found = self.router.routes('ledger', bucket, False, reserved)
        return [route.host.removeprefix('host-') for route in found]

    def first(self, bucket: int) -> routing.Route | None:
        """Return the first route of a request."""
        return next(self.router.routes('ledger', bucket, False), None)

    def count_requests(self, count: int) -> None:
        """Count requests of callers."""
        for _ in range(count):
            self.router.on_request('ledger')

    def set_free(self, region: str, free: int) -> None:
        """Report free slots of both hosts of a region."""
        for at in (1, 2):
            name = f'host-{region}-{at}'
            self.members.load_by_host[name].free = free
            self.members.record_by_host[name].sequence += 1
        self.clock.advance(50)


def test_local_slots_come_first() -> None:
    """Guards against a hop where this host has free slots."""
    host = Host()
    first = host.first(NORTH)
    assert first == routing.Route('host-north-1', 'north', True, False)
    host.members.load_by_host['host-north-1'].free = 0
    assert host.routes(NORTH)[:2] == ['north-2', 'north-1']


def test_sent_requests_count_until_the_next_report() -> None:
    """Guards against a crowd at the host with the best old report."""
    host = Host('host-south-1')
    sent = collections.Counter(
        route.host for _ in range(10) if (route := host.first(NORTH))
    )
    assert sent == {'host-north-1': 5, 'host-north-2': 5}
    assert (
        host.candidates.free_slots(host.candidates.pool('ledger', 'north'))
        == 0
    )
    host.clock.advance(1_000)
    assert host.first(NORTH) is not None


def test_a_refusing_host_is_avoided_until_its_next_report() -> None:
    """Guards against a hop for each request to a host that is full."""
    host = Host('host-south-1')
    host.count_requests(1_000)
    assert host.routes(NORTH)[:2] in (
        ['north-1', 'north-2'],
        ['north-2', 'north-1'],
    )
    route = host.first(NORTH)
    assert route is not None and route.region == 'south'


def test_draining_and_unreachable_hosts_receive_nothing() -> None:
    """Guards against new requests to hosts that stop or are gone."""
    host = Host('host-south-1')
    host.members.drained = frozenset({'host-north-1'})
    assert 'north-1' not in host.routes(NORTH)
    host = Host('host-south-1')
    host.members.unreachable = {'host-north-2'}
    assert 'north-2' not in host.routes(NORTH)


def test_the_acting_host_stands_in() -> None:
    """Guards against targets that idle after a takeover."""
    host = Host('host-south-1')
    host.members.unreachable = {'host-north-1', 'host-north-2'}
    host.members.actor_by_host = {'host-north-1': 'host-central-1'}
    route = host.first(NORTH)
    assert route is not None
    assert (route.host, route.region) == ('host-central-1', 'north')
    host.members.actor_by_host = {'host-north-1': 'host-south-1'}
    host.clock.advance(50)
    route = host.first(NORTH)
    assert route == routing.Route('host-south-1', 'north', True, False)


def test_spillover_stays_within_the_cap() -> None:
    """Guards against a failed region that floods the others."""
    host = Host()
    host.members.unreachable = {'host-central-1', 'host-central-2'}
    served = [bucket for bucket in range(300) if host.first(bucket)]
    assert served == [0, 1, 2, 3]
    refusal = host.router.refusal('ledger', CENTRAL)
    assert refusal.code is codes.ResultCode.REGION_UNAVAILABLE
    assert refusal.ran is codes.Ran.NOT_RUN
    host.clock.advance(15_001)
    served = [bucket for bucket in range(300) if host.first(bucket)]
    assert served == list(range(8))


def test_buckets_return_slowly_and_within_half_the_cap() -> None:
    """Guards against flapping and against a rush to a cold region."""
    host = Host()
    host.members.unreachable = {'host-central-1', 'host-central-2'}
    assert [bool(host.first(bucket)) for bucket in range(5)] == (
        [True] * 4 + [False]
    )
    host.members.unreachable = set()
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
    """Guards against refusals beside free slots, and against a shift."""
    host = Host()
    host.count_requests(1_000)
    host.set_free('central', 0)
    regions = [
        route.region if (route := host.first(CENTRAL)) else None
        for _ in range(6)
    ]
    assert regions == ['north'] * 4 + [None] * 2
    # The bucket itself has not moved, so it follows its region at once.
    assert host.spillover.count_by_service == {'ledger': 0}
    host.set_free('central', 5)
    route = host.first(CENTRAL)
    assert route is not None and route.region == 'central'


def test_overflow_and_moved_buckets_share_the_cap() -> None:
    """Guards against a cap that is used twice."""
    host = Host()
    host.count_requests(1_000)
    host.set_free('south', 0)
    assert host.first(SOUTH) and host.first(SOUTH)
    host.members.unreachable = {'host-central-1', 'host-central-2'}
    host.clock.advance(50)
    assert [bool(host.first(bucket)) for bucket in range(4)] == (
        [True] * 2 + [False] * 2
    )


def test_links_without_room_are_not_used() -> None:
    """Guards against a route over a full link, also for spillover."""
    host = Host()
    host.count_requests(1_000)
    host.closed = {'central', 'south'}
    route = host.first(CENTRAL)
    assert route is not None
    assert (route.region, route.is_spillover) == ('north', True)
    host.set_free('north', 0)
    assert host.first(SOUTH) is None
    refusal = host.router.refusal('ledger', SOUTH)
    assert refusal.code is codes.ResultCode.LINK_FULL


def test_full_regions_refuse_unless_a_reservation_can_reclaim() -> None:
    """Guards against refusing a reservation and against needless hops."""
    host = Host()
    for region in examples.REGIONS:
        host.set_free(region, 0)
    assert host.routes(SOUTH) == []
    assert len(host.routes(SOUTH, reserved=True)) == 1
    refusal = host.router.refusal('ledger', SOUTH)
    assert refusal.code is codes.ResultCode.NO_CAPACITY
    assert host.spillover.count_by_service == {'ledger': 0}


def test_refusals_before_the_split_is_known() -> None:
    """Guards against routes from a split that may be out of date."""
    host = Host()
    host.splits = host.router._splits = split.SplitTable(host.clock)
    assert host.routes(NORTH) == []
    refusal = host.router.refusal('ledger', NORTH)
    assert refusal.code is codes.ResultCode.NOT_READY
    refusal = host.router.refusal('album', NORTH)
    assert refusal.code is codes.ResultCode.UNKNOWN_SERVICE
