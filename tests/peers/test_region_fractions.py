"""Tests of the exchange of distributions between hosts."""

from __future__ import annotations

import msgspec
import pytest

from wigeonhatch import clock as clocks
from wigeonhatch.peers import region_fractions
from wigeonhatch.peers import state_link


class _Host:
    """Host that hears the given states."""

    def __init__(self, region: str) -> None:
        self.region = region
        self.clock = clocks.ManualClock()
        self.peers = state_link.PeerTable(self.clock)
        self.fractions = region_fractions.RegionFractions(region, self.peers)
        self._sequence = 0

    def hear(
        self, host: str, region: str, fractions: dict[str, dict[str, int]]
    ) -> None:
        """Receive the state of a peer."""
        self._sequence += 1
        report = state_link.HostReport(
            True, True, 0, 1.0, 1, {}, fractions_by_region=fractions
        )
        self.peers.update(
            state_link.HostState(
                host, 1, self._sequence, region, region, '', report, {}
            )
        )


def test_hosts_of_the_region_share_their_distribution() -> None:
    """Guards against hosts of a region that follow different distributions."""
    sender, receiver = _Host('a'), _Host('a')
    sender.fractions.refresh({'a': 0.25, 'b': 0.75, 'c': 0.0})
    receiver.hear('h1', 'a', sender.fractions.report)
    assert receiver.fractions.find_peers() == [{'a': 0.25, 'b': 0.75}]


def test_distribution_is_sent_once_it_is_used() -> None:
    """Guards against peers that follow a host that has sent no request."""
    host = _Host('a')
    host.fractions.refresh({})
    assert host.fractions.report == {}


def test_only_host_of_a_region_learns_its_last_distribution() -> None:
    """Guards against a shift as the only host of a region restarts."""
    other, restarted = _Host('b'), _Host('a')
    other.hear('h1', 'a', {'a': {'a': 4_000, 'b': 6_000}})
    other.fractions.refresh({'b': 1.0})
    other.clock.advance(state_link.PEER_TIMEOUT_MS + 1)
    other.fractions.refresh({'b': 1.0})
    restarted.hear('h2', 'b', other.fractions.report)
    assert restarted.fractions.find_peers() == [{'a': 0.4, 'b': 0.6}]


def test_peers_of_the_region_precede_what_others_tell() -> None:
    """Guards against an old distribution while the region is in use."""
    host = _Host('a')
    host.hear('h2', 'b', {'a': {'b': 10_000}})
    host.hear('h1', 'a', {'a': {'a': 10_000}})
    assert host.fractions.find_peers() == [{'a': 1.0}]


def test_all_regions_are_told_in_turn() -> None:
    """Guards against a report of 33 regions that exceeds one packet."""
    host = _Host('a')
    regions = [f'region-{number}' for number in range(33)]
    for region in regions:
        host.hear(f'h-{region}', region, {region: {region: 10_000}})
    told: set[str] = set()
    for _ in regions:
        host.fractions.refresh({'a': 1.0})
        assert len(host.fractions.report) <= 3
        told.update(host.fractions.report)
    assert told == {'a', *regions}


def test_only_the_largest_fractions_are_sent() -> None:
    """Guards against a distribution over 33 regions that fills a packet."""
    host = _Host('a')
    host.fractions.refresh(
        {f'region-{number}': (number + 1) / 561 for number in range(33)}
    )
    assert sorted(host.fractions.report['a']) == [
        f'region-{number}' for number in range(21, 33)
    ]


@pytest.mark.parametrize('fractions', [{}, {'a': 0}, {'a': -5}])
def test_useless_distributions_are_ignored(fractions: dict[str, int]) -> None:
    """Guards against a division by zero, and against negative fractions."""
    host = _Host('a')
    host.hear('h1', 'a', {'a': fractions})
    assert host.fractions.find_peers() == []


def test_hosts_of_the_previous_build_are_left_out() -> None:
    """Guards against a missing field that counts as a distribution."""
    host = _Host('a')
    host.hear('h1', 'a', {})
    host.fractions.refresh({})
    assert host.fractions.find_peers() == []


class _PreviousReport(msgspec.Struct, frozen=True, array_like=True):
    """`HostReport` without the distributions."""

    is_serving: bool
    reaches_store: bool
    followed_ms: int
    weight: float
    config_version: int
    changed_by_table: dict[str, int]
    reaches_targets: bool = True


def test_previous_build_reads_and_sends_reports() -> None:
    """Guards against states that hosts of two builds cannot exchange."""
    report = state_link.HostReport(
        True, True, 0, 1.0, 3, {'op': 9}, True, {'a': {'a': 10_000}}
    )
    previous = msgspec.msgpack.decode(
        msgspec.msgpack.encode(report), type=_PreviousReport
    )
    assert previous.changed_by_table == {'op': 9}
    current = msgspec.msgpack.decode(
        msgspec.msgpack.encode(previous), type=state_link.HostReport
    )
    assert current.fractions_by_region == {}
