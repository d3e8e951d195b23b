"""Tests of complete nodes with servers on loopback."""

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
from wigeonhatch.requests import quarantine
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

    def document(self, variant: int) -> dict[str, typing.Any]:
        return cluster.make_document(self.address_by_host, variant)

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

    def partition(self, *names: str) -> None:
        """Block calls between the named hosts and all other hosts."""
        for name, host in self.host_by_name.items():
            channels = host.node.channels
            stub = type(channels).stub.__get__(channels)
            side = {
                other
                for other in self.host_by_name
                if (other in names) == (name in names)
            }
            channels.stub = (  # type: ignore[method-assign]
                lambda other, side=side, stub=stub: (
                    stub(other) if other in side else None
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


def _assert_increasing(host: cluster.Host) -> None:
    assert host.versions == sorted(set(host.versions))
    assert host.node.store.violations == 0


async def test_stale_platform_read_at_start() -> None:
    """Guards against a host that starts with a stale version."""
    async with _cluster(1) as testbed:
        for version in (1, 2, 3):
            await cluster.store_config(
                testbed.platform, version, testbed.document(version)
            )
        host = await testbed.start('h0')
        host.platform.faults.stale_reads = 2
        started = await host.node.start_up()
        assert (started.version, host.versions) == (3, [3])
        for lag in (0, 1, 2):
            host.platform.faults.stale_reads = lag
            await host.node.poller.poll(with_splits=True)
        assert host.versions == [3]


async def test_without_platform_and_peers_there_is_no_configuration() -> None:
    """Guards against a host that becomes ready without a configuration."""
    async with _cluster(2) as testbed:
        await cluster.store_config(testbed.platform, 1, testbed.document(1))
        host = await testbed.start('h0', seeds=['h1'])
        host.platform.faults.down = True
        with anyio.move_on_after(1.5) as scope:
            await host.node.start_up()
        assert scope.cancelled_caught and host.node.store.current is None
        host.platform.faults.down = False
        await host.node.start_up()
        assert host.versions == [1]


async def test_restart_while_one_peer_holds_the_newest_version() -> None:
    """Guards against a restarted host that reverts to an older version.

    The platform is down and the only seed holds the older version, so the
    host must query the peers of its first configuration.
    """
    async with _cluster(3) as testbed:
        hosts = await testbed.start_all()
        for host in hosts:
            host.platform.faults.down = True
        hosts[2].stop()
        testbed.partition('h1')
        newest = cluster.versioned(2, testbed.document(2))
        hosts[1].node.store.offer(newest)
        restarted = await testbed.start('h2', seeds=['h0'])
        restarted.platform.faults.down = True
        await restarted.node.start_up()
        assert restarted.node.store.version == 2
        for host in testbed.host_by_name.values():
            _assert_increasing(host)


async def test_partition_and_rejoin() -> None:
    """Guards against a partitioned host that reverts or never catches up."""
    async with _cluster(4) as testbed:
        hosts = await testbed.start_all()
        isolated = hosts[3]
        isolated.platform.faults.down = True
        testbed.partition('h3')
        for version in (2, 3, 4):
            newer = cluster.versioned(version, testbed.document(version))
            await cluster.store_config(
                testbed.platform, version, testbed.document(version)
            )
            assert hosts[0].node.store.offer(newer)
            await cluster.wait_until(
                lambda version=version: all(  # type: ignore[misc]
                    host.node.store.version == version for host in hosts[:3]
                )
            )
        reaches = isolated.node.membership.is_reachable
        await cluster.wait_until(lambda: not reaches('h0'))
        assert isolated.versions == [1]
        testbed.heal()
        await testbed.wait_for_version(4)
        await cluster.wait_until(lambda: reaches('h0'))
        for host in hosts:
            _assert_increasing(host)
            current = host.node.store.current
            assert current is not None
            assert current.document == testbed.document(4)


async def test_versions_pushed_out_of_order() -> None:
    """Guards against an older push that replaces a newer version."""
    async with _cluster(3) as testbed:
        hosts = await testbed.start_all()
        testbed.partition('h1')
        for version, host in ((3, hosts[0]), (2, hosts[1])):
            host.node.store.offer(
                cluster.versioned(version, testbed.document(version))
            )
        testbed.heal()
        await hosts[1].node.config_gossip.push('h2', 1)
        await testbed.wait_for_version(3)
        for host in hosts:
            _assert_increasing(host)


async def test_late_host_receives_drains_list_and_splits() -> None:
    """Guards against state that is only sent when it changes."""
    async with _cluster(4) as testbed:
        hosts = await testbed.start_all()
        hosts[3].stop()
        testbed.platform.set_hosts({'h1': interface.HostState.LEAVING})
        hosts[0].node.membership.on_target_health('t-1', True)
        split = splits.StoredSplit('s', 2, 6, ('north', 'south') * 500)
        hosts[1].node.splits.offer([split])
        row = {'service': 'r', 'step': 0, 'buckets': ['north'] * 1_000}
        await testbed.platform.commit(
            [], [interface.Write('split/r', msgspec.json.encode(row))]
        )
        # By then requests no longer include the changes.
        await anyio.sleep(2)
        late = await testbed.start('h3', seeds=['h2'])
        late.platform.faults.down = True
        await late.node.start_up()
        all_hosts = [*hosts[:3], late]
        await cluster.wait_until(
            lambda: all(
                host.node.membership.draining() == {'t-1', 'h1'}
                and set(host.node.splits.split_by_service) == {'r', 's'}
                for host in all_hosts
            )
        )
        assert late.node.splits.split_by_service['s'] == split
        assert [set(item.state_by_name) for item in late.lists] == [{'h1'}]
        older = splits.StoredSplit('s', 1, 5, ('north',) * 1_000)
        assert not late.node.splits.offer([older])
        versions = [(item.service, item.row_version) for item in late.splits]
        assert sorted(versions) == [('r', 1), ('s', 6)]


async def test_replaced_host_supersedes_the_old_one() -> None:
    """Guards against a paused daemon that resumes after its replacement."""
    async with _cluster(3) as testbed:
        hosts = await testbed.start_all()
        old = hosts[2]
        for host in hosts:
            host.node.membership.set_state(records.HostState.SERVING)
        member = hosts[0].node.membership
        await cluster.wait_until(lambda: member.is_serving('h2'))
        testbed.partition('h2')
        testbed.address_by_host['h2'] = cluster.free_address()
        await cluster.store_config(testbed.platform, 2, testbed.document(2))
        new = await testbed.start('h2', seeds=['h0'])
        await new.node.start_up()
        new.node.membership.set_state(records.HostState.SERVING)
        incarnation = new.node.membership.incarnation
        assert incarnation > old.node.membership.incarnation

        def has_new_record() -> bool:
            record = member.record('h2')
            return record is not None and record.incarnation == incarnation

        await cluster.wait_until(has_new_record)
        testbed.heal()
        old_membership = old.node.membership
        await cluster.wait_until(lambda: old_membership.is_superseded)
        assert has_new_record() and not new.node.membership.is_superseded


async def test_crashes_of_targets_are_exchanged() -> None:
    """Guards against owners that each lose targets to the same request."""
    async with _cluster(3) as testbed:
        hosts = await testbed.start_all()
        for number in range(quarantine.MAX_CRASHES):
            hosts[number].node.quarantine.on_crash(7, (f't{number}', 1))
        await cluster.wait_until(
            lambda: all(host.node.quarantine.check(7) for host in hosts)
        )
        await anyio.sleep(quarantine.REPORT_MS / 1_000)
        hosts[2].stop()
        hosts[2] = await testbed.start('h2', seeds=['h0'])
        await hosts[2].node.start_up()
        await cluster.wait_until(
            lambda: hosts[2].node.quarantine.check(7) is not None
        )
        hosts[0].node.quarantine.on_served(7)
        await cluster.wait_until(
            lambda: not any(host.node.quarantine.check(7) for host in hosts)
        )
