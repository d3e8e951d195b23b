"""Tests of whole nodes with servers on loopback."""

from __future__ import annotations

import collections.abc
import contextlib
import typing

import anyio
import anyio.abc
import msgspec
import pytest

from tests.peers import cluster
from wigeonhatch.peers import records
from wigeonhatch.platform import interface
from wigeonhatch.standins import memory_platform
from wigeonhatch.steering import split as splits

pytestmark = pytest.mark.anyio


class _Cluster:
    """Hosts that share a platform.

    Args:
        count: Number of hosts.
    """

    def __init__(self, count: int, group: anyio.abc.TaskGroup) -> None:
        self.group = group
        self.platform = memory_platform.MemoryPlatform()
        self.address_by_host = {
            f'h{index}': cluster.free_address() for index in range(count)
        }
        self.host_by_name: dict[str, cluster.Host] = {}
        self.started: list[cluster.Host] = []

    def document(self, mark: int) -> dict[str, typing.Any]:
        return cluster.make_document(self.address_by_host, mark)

    async def start(
        self, name: str, seeds: collections.abc.Sequence[str] = ()
    ) -> cluster.Host:
        host = cluster.Host(
            name,
            self.address_by_host[name],
            self.platform.client(),
            [self.address_by_host[seed] for seed in seeds],
            int(name[1:]),
        )
        self.host_by_name[name] = host
        self.started.append(host)
        await host.start(self.group)
        return host

    async def start_all(self) -> list[cluster.Host]:
        await cluster.store_config(self.platform, 1, self.document(1))
        hosts = [await self.start(name) for name in self.address_by_host]
        for host in hosts:
            await host.node.start_up()
        return hosts

    async def wait_for_version(self, version: int) -> None:
        await cluster.wait_until(
            lambda: all(
                host.node.store.version == version
                for host in self.host_by_name.values()
            )
        )

    def cut(self, *names: str) -> None:
        """Let the named hosts and the others not call each other."""
        for name, host in self.host_by_name.items():
            channels = host.node.channels
            stub = type(channels).stub.__get__(channels)
            near = {
                other
                for other in self.host_by_name
                if (other in names) == (name in names)
            }
            channels.stub = (  # type: ignore[method-assign]
                lambda other, near=near, stub=stub: (
                    stub(other) if other in near else None
                )
            )

    def heal(self) -> None:
        for host in self.started:
            vars(host.node.channels).pop('stub', None)


@contextlib.asynccontextmanager
async def _cluster(
    count: int,
) -> collections.abc.AsyncGenerator[_Cluster, None]:
    async with anyio.create_task_group() as group:
        yield _Cluster(count, group)
        group.cancel_scope.cancel()


def _assert_rising(host: cluster.Host) -> None:
    assert host.versions == sorted(set(host.versions))
    assert host.node.store.violations == 0


async def test_stale_platform_read_at_start() -> None:
    """Guards against a host that starts with an older version."""
    async with _cluster(1) as world:
        for version in (1, 2, 3):
            await cluster.store_config(
                world.platform, version, world.document(version)
            )
        host = await world.start('h0')
        host.platform.faults.stale_reads = 2
        found = await host.node.start_up()
        assert (found.version, host.versions) == (3, [3])
        for lag in (0, 1, 2):
            host.platform.faults.stale_reads = lag
            await host.node.poller.poll(with_splits=True)
        assert host.versions == [3]


async def test_without_platform_and_peers_there_is_no_configuration() -> None:
    """Guards against a host that is ready without a configuration."""
    async with _cluster(2) as world:
        await cluster.store_config(world.platform, 1, world.document(1))
        host = await world.start('h0', seeds=['h1'])
        host.platform.faults.down = True
        with anyio.move_on_after(1.5) as scope:
            await host.node.start_up()
        assert scope.cancelled_caught and host.node.store.current is None
        host.platform.faults.down = False
        await host.node.start_up()
        assert host.versions == [1]


async def test_restart_while_one_peer_holds_the_newest_version() -> None:
    """Guards against a restarted host that goes back to an older version.

    The platform is down, the only seed is behind, and nothing else spreads.
    """
    async with _cluster(3) as world:
        hosts = await world.start_all()
        for host in hosts:
            host.platform.faults.down = True
        hosts[2].stop()
        world.cut('h1')
        newest = cluster.versioned(2, world.document(2))
        hosts[1].node.store.offer(newest)
        restarted = await world.start('h2', seeds=['h0'])
        restarted.platform.faults.down = True
        await restarted.node.start_up()
        assert restarted.node.store.version == 2
        for host in world.host_by_name.values():
            _assert_rising(host)


async def test_partition_and_rejoin() -> None:
    """Guards against a part that goes back, or never catches up."""
    async with _cluster(4) as world:
        hosts = await world.start_all()
        inside = hosts[3]
        inside.platform.faults.down = True
        world.cut('h3')
        for version in (2, 3, 4):
            newer = cluster.versioned(version, world.document(version))
            await cluster.store_config(
                world.platform, version, world.document(version)
            )
            assert hosts[0].node.store.offer(newer)
            await cluster.wait_until(
                lambda version=version: all(  # type: ignore[misc]
                    host.node.store.version == version for host in hosts[:3]
                )
            )
        reaches = inside.node.membership.is_reachable
        await cluster.wait_until(lambda: not reaches('h0'))
        assert inside.versions == [1]
        world.heal()
        await world.wait_for_version(4)
        await cluster.wait_until(lambda: reaches('h0'))
        for host in hosts:
            _assert_rising(host)
            current = host.node.store.current
            assert current is not None
            assert current.document == world.document(4)


async def test_versions_pushed_out_of_order() -> None:
    """Guards against an older push that overtakes a newer one."""
    async with _cluster(3) as world:
        hosts = await world.start_all()
        world.cut('h1')
        for version, host in ((3, hosts[0]), (2, hosts[1])):
            host.node.store.offer(
                cluster.versioned(version, world.document(version))
            )
        world.heal()
        await hosts[1].node.config_gossip.push('h2', 1)
        await world.wait_for_version(3)
        for host in hosts:
            _assert_rising(host)


async def test_late_host_receives_drains_list_and_splits() -> None:
    """Guards against state that spreads only at the moment it changes."""
    async with _cluster(4) as world:
        hosts = await world.start_all()
        hosts[3].stop()
        world.platform.set_hosts({'h1': interface.HostState.LEAVING})
        hosts[0].node.membership.on_target_health('t-1', True)
        split = splits.StoredSplit('s', 2, 6, ('north', 'south') * 500)
        hosts[1].node.splits.offer([split])
        row = {'service': 'r', 'step': 0, 'buckets': ['north'] * 1_000}
        await world.platform.commit(
            [], [interface.Write('split/r', msgspec.json.encode(row))]
        )
        # After this time no change is sent along any more.
        await anyio.sleep(2)
        late = await world.start('h3', seeds=['h2'])
        late.platform.faults.down = True
        await late.node.start_up()
        everyone = [*hosts[:3], late]
        await cluster.wait_until(
            lambda: all(
                host.node.membership.draining() == {'t-1', 'h1'}
                and set(host.node.splits.split_by_service) == {'r', 's'}
                for host in everyone
            )
        )
        assert late.node.splits.split_by_service['s'] == split
        assert [set(item.state_by_name) for item in late.lists] == [{'h1'}]
        older = splits.StoredSplit('s', 1, 5, ('north',) * 1_000)
        assert not late.node.splits.offer([older])
        versions = [(item.service, item.row_version) for item in late.splits]
        assert sorted(versions) == [('r', 1), ('s', 6)]


async def test_replaced_host_supersedes_the_old_one() -> None:
    """Guards against a paused daemon that resumes beside its successor."""
    async with _cluster(3) as world:
        hosts = await world.start_all()
        old = hosts[2]
        for host in hosts:
            host.node.membership.set_state(records.HostState.SERVING)
        member = hosts[0].node.membership
        await cluster.wait_until(lambda: member.is_serving('h2'))
        world.cut('h2')
        world.address_by_host['h2'] = cluster.free_address()
        await cluster.store_config(world.platform, 2, world.document(2))
        new = await world.start('h2', seeds=['h0'])
        await new.node.start_up()
        new.node.membership.set_state(records.HostState.SERVING)
        drawn = new.node.membership.incarnation
        assert drawn > old.node.membership.incarnation

        def shows_new() -> bool:
            known = member.record('h2')
            return known is not None and known.incarnation == drawn

        await cluster.wait_until(shows_new)
        world.heal()
        superseded = old.node.membership
        await cluster.wait_until(lambda: superseded.is_superseded)
        assert shows_new() and not new.node.membership.is_superseded
