"""Tests of the time until a configuration is in force on all hosts."""

from __future__ import annotations

import collections.abc
import typing

import anyio
import pytest

from tests import virtual_time
from tests.entry import fleet_simulation

HOSTS = 31
DOMAINS = 6
TARGETS = 40
START_S = 5.0
BOUND_S = 3.0
"""Time after which an acknowledged configuration is in force everywhere."""
REFUSED_BOUND_S = 9.0
"""The same on a host that the store does not answer."""

Simulation = fleet_simulation.FleetSimulation
Scenario = collections.abc.Callable[
    [Simulation], collections.abc.Coroutine[typing.Any, typing.Any, None]
]


def run(scenario: Scenario, seed: int = 1) -> None:
    """Run a scenario among hosts that have all read the store."""

    async def main() -> None:
        simulation = Simulation(HOSTS, DOMAINS, TARGETS, seed)

        async def run_scenario() -> None:
            await anyio.sleep(START_S)
            assert find_late(simulation) == {}
            await scenario(simulation)

        await simulation.run(run_scenario)

    virtual_time.run(main)


def find_late(simulation: Simulation) -> dict[str, int]:
    """Find the hosts without the newest configuration, with their version."""
    return {
        host.name: host.config_version
        for host in simulation.hosts
        if host.config_version < simulation.config_version
    }


def split_domain(
    simulation: Simulation,
) -> tuple[fleet_simulation.Host, list[fleet_simulation.Host]]:
    """Choose a reader and the other hosts of its domain."""
    reader = next(host for host in simulation.hosts if host.fleet.is_reader)
    return reader, [
        host
        for host in simulation.hosts
        if host.domain == reader.domain and host is not reader
    ]


@pytest.mark.parametrize('silent', [1, 2, 4])
def test_peers_that_do_not_answer_delay_no_configuration(silent: int) -> None:
    """Guards against CONFIG of 2026-12-06: the same silent peer is asked."""

    async def scenario(simulation: Simulation) -> None:
        reader, others = split_domain(simulation)
        follower, *rest = others
        network = simulation.network
        for peer in [reader, *rest][:silent]:
            network.cut_calls.add(frozenset((follower.name, peer.name)))
        network.link_by_host[follower.name].store_fault = 'silent'
        await anyio.sleep(BOUND_S)
        simulation.write_config()
        await anyio.sleep(REFUSED_BOUND_S)
        assert find_late(simulation) == {}

    for seed in range(3):
        run(scenario, seed)
