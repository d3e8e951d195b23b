"""Tests of the time until changes are in force on all hosts."""

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

DEPARTURE_BOUND_S = 3.0
"""Time after which a target that has left gets no requests."""
QUEUE_S = 0.8
"""Wait of each packet in the queue of a full link."""

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


def test_host_that_starts_after_a_restore_follows_its_peers() -> None:
    """Guards against CONFIG of 2026-12-06: the copy's configuration stays.

    Only the memory of hosts has the newest configuration until the operator
    writes again.
    """

    async def scenario(simulation: Simulation) -> None:
        copy = simulation.store.copy()
        simulation.write_config()
        await anyio.sleep(BOUND_S)
        simulation.store.restore(copy)
        await anyio.sleep(0.5)
        started = [host.name for host in simulation.hosts[::7]]
        for name in started:
            simulation.kill(name)
        await anyio.sleep(0.2)
        for name in started:
            simulation.start(name)
        await anyio.sleep(BOUND_S)
        assert find_late(simulation) == {}

    for seed in range(3):
        run(scenario, seed)


def test_host_with_a_full_link_gets_configurations_in_time() -> None:
    """Guards against CONFIG of 2026-12-06: all calls of a host time out.

    What the host sends waits in the queue of its link for longer than its
    calls may take.
    """

    async def scenario(simulation: Simulation) -> None:
        hosts = simulation.rng.sample(simulation.hosts, 3)
        for host in hosts:
            simulation.network.link_by_host[host.name].queue_s = QUEUE_S
        await anyio.sleep(BOUND_S)
        for _ in range(4):
            simulation.write_config()
            await anyio.sleep(BOUND_S)
            assert find_late(simulation) == {}

    for seed in range(3):
        run(scenario, seed)


def test_host_that_is_not_heard_gets_configurations_in_time() -> None:
    """Guards against CONFIG of 2026-12-06: only hosts that are heard get it.

    A full link loses the states of its host for seconds.
    """

    async def scenario(simulation: Simulation) -> None:
        hosts = simulation.rng.sample(simulation.hosts, 3)
        for host in hosts:
            link = simulation.network.link_by_host[host.name]
            link.sends_nothing = True
        for _ in range(3):
            await anyio.sleep(BOUND_S)
            simulation.write_config()
            await anyio.sleep(BOUND_S)
            assert find_late(simulation) == {}
            for host in hosts:
                link = simulation.network.link_by_host[host.name]
                link.sends_nothing = not link.sends_nothing

    for seed in range(3):
        run(scenario, seed)


@pytest.mark.parametrize('is_heard', [True, False])
def test_host_with_a_full_link_follows_evacuations_and_targets(
    is_heard: bool,
) -> None:
    """Guards against requests to targets that have left, or are evacuated.

    They take the same way as configurations.
    """

    async def scenario(simulation: Simulation) -> None:
        hosts = simulation.rng.sample(simulation.hosts, 3)
        for host in hosts:
            link = simulation.network.link_by_host[host.name]
            link.queue_s = QUEUE_S
            link.sends_nothing = not is_heard
        await anyio.sleep(BOUND_S)
        for _ in range(2 if is_heard else 1):
            simulation.store.put('op', 'evacuate/a', {})
            simulation.store.remove('servers', 't1')
            await anyio.sleep(DEPARTURE_BOUND_S)
            for host in simulation.hosts:
                assert 't1' not in host.targets.record_by_name
                assert host.targets.usable('s') == ()
            simulation.store.remove('op', 'evacuate/a')
            simulation.write_target('t1')
            await anyio.sleep(DEPARTURE_BOUND_S)
            for host in simulation.hosts:
                assert 't1' in host.targets.record_by_name
                assert len(host.targets.usable('s')) == TARGETS

    for seed in range(2):
        run(scenario, seed)


@pytest.mark.parametrize('interval_s', [0.3, 1.0])
def test_host_behind_catches_up_among_many_changes(interval_s: float) -> None:
    """Guards against a host that each change leaves behind again."""

    async def scenario(simulation: Simulation) -> None:
        host = simulation.hosts[0]
        simulation.network.link_by_host[host.name].queue_s = QUEUE_S
        await anyio.sleep(BOUND_S)
        acknowledged = [(simulation.now_s, simulation.config_version)]
        while simulation.now_s < 25:
            version = simulation.write_config()
            acknowledged.append((simulation.now_s, version))
            await anyio.sleep(interval_s)
            due = [
                version
                for written_s, version in acknowledged
                if written_s <= simulation.now_s - BOUND_S
            ]
            assert not due or host.config_version >= due[-1]

    run(scenario)
