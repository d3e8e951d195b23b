"""Tests of the choice of the peers to read from."""

from __future__ import annotations

import anyio
import pytest

from tests import virtual_time
from wigeonhatch.peers import roster as rosters
from wigeonhatch.peers import sources
from wigeonhatch.peers import state_link

VERSION_BY_HOST = {'near': 5, 'next': 7, 'region': 9, 'far': 9, 'old': 3}
DOMAIN_BY_HOST = {
    'near': 'a1',
    'next': 'a1',
    'region': 'a2',
    'far': 'b1',
    'old': 'a1',
}


def build_sources() -> sources.PeerSources:
    """Build the sources of a host of the domain `a1`."""
    clock = virtual_time.VirtualClock()
    peers = state_link.PeerTable(clock)
    roster = rosters.Roster('self')
    for number, (host, version) in enumerate(VERSION_BY_HOST.items()):
        report = state_link.HostReport(True, True, 0, 1.0, version, {})
        domain = DOMAIN_BY_HOST[host]
        ip = f'10.0.0.{number}'
        peers.update(
            state_link.HostState(
                host, 1, 1, domain, domain[0], f'{ip}:80', report, {}
            )
        )
        roster.set_ip(host, ip)
    return sources.PeerSources('a1', 'a', peers, roster, clock)


def find(peers: sources.PeerSources) -> list[str]:
    """Names of the peers with a configuration above 3."""
    return [
        source.host
        for source in peers.find(lambda report: report.config_version - 3)
    ]


def test_nearest_peers_that_know_more_come_first() -> None:
    """Guards against fetches from other regions, or from peers behind."""

    async def scenario() -> None:
        assert find(build_sources()) == ['next', 'near', 'region']

    virtual_time.run(scenario)


@pytest.mark.parametrize('is_silent', [False, True])
def test_peer_that_fails_is_asked_last(is_silent: bool) -> None:
    """Guards against the same failing peer being asked each time."""

    async def scenario() -> None:
        peers = build_sources()
        asked: list[str] = []

        async def fetch(source: sources.Source) -> str | None:
            asked.append(source.host)
            if source.host != 'next':
                return source.host
            if is_silent:
                await anyio.sleep(60)
            return None

        async def read() -> str | None:
            return await peers.read(
                peers.find(lambda report: report.config_version - 3), fetch
            )

        with anyio.fail_after(2 * sources.HEDGE_DELAY_MS / 1_000):
            assert await read() == 'near'
        assert await read() == 'near'
        assert asked == ['next', 'near', 'near']
        assert find(peers) == ['near', 'region', 'far']

    virtual_time.run(scenario)


def test_no_answer_of_any_peer_ends_the_read() -> None:
    """Guards against a host that waits for peers instead of the store."""

    async def scenario() -> None:
        peers = build_sources()

        async def fetch(source: sources.Source) -> None:
            return None

        found = peers.find(lambda report: report.config_version - 3)
        assert await peers.read(found, fetch) is None
        assert await peers.read([], fetch) is None

    virtual_time.run(scenario)
