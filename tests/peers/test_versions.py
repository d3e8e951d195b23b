"""Stateful test of versions: restarts, stale reads and partitions.

The nodes are real. Their calls invoke each other's handlers directly, so that
hypothesis determines the order of events.
"""

from __future__ import annotations

import asyncio
import collections.abc
import typing

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from tests.peers import cluster
from wigeonhatch.peers import records
from wigeonhatch.standins import memory_platform
from wigeonhatch.steering import split as splits

_NAMES = ('h0', 'h1', 'h2', 'h3')
_DOCUMENT = cluster.make_document(dict.fromkeys(_NAMES, '127.0.0.1:1'))
_HOSTS = strategies.sampled_from(_NAMES)


class _DirectStub:
    def __init__(self, node: typing.Any) -> None:
        self._node = node

    async def Exchange(self, request: typing.Any, timeout: float) -> object:
        return self._node.exchange.on_exchange(request)

    async def PushConfig(self, request: typing.Any, timeout: float) -> object:
        return self._node.config_gossip.on_push(request)

    async def FetchConfig(self, request: typing.Any, timeout: float) -> object:
        return self._node.config_gossip.on_fetch(request)


class _Seed:
    def __init__(self, stub: _DirectStub | None) -> None:
        self._stub = stub

    async def __aenter__(self) -> _DirectStub:
        if self._stub is None:
            raise AssertionError('seeds are reachable in this model')
        return self._stub

    async def __aexit__(self, *exc_info: object) -> None:
        return None


class VersionMachine(stateful.RuleBasedStateMachine):
    """Hosts that change, distribute, lose and read configurations."""

    def __init__(self) -> None:
        super().__init__()
        self.runner = asyncio.Runner()
        self.platform = memory_platform.MemoryPlatform()
        self.head = 0
        self.row_version = 0
        self.partition_by_host = dict.fromkeys(_NAMES, 0)
        self.host_by_name: dict[str, cluster.Host] = {}
        self.min_version_by_host = dict.fromkeys(_NAMES, 0)
        self.change()
        for name in _NAMES:
            self.restart(name, 0, False)

    def teardown(self) -> None:
        self.check_convergence()
        self.runner.close()

    def run(self, work: collections.abc.Coroutine[None, None, object]) -> None:
        self.runner.run(work)

    async def make_host(self, name: str) -> cluster.Host:
        return cluster.Host(name, '127.0.0.1:1', self.platform.client())

    def stub(self, caller: str, name: str) -> _DirectStub | None:
        host = self.host_by_name.get(name)
        if (
            name == caller
            or host is None
            or self.partition_by_host[caller] != self.partition_by_host[name]
        ):
            return None
        return _DirectStub(host.node)

    def document(self, version: int) -> dict[str, typing.Any]:
        return {**_DOCUMENT, 'customer_by_name': {f'c-{version}': {}}}

    @stateful.rule()
    def change(self) -> None:
        self.head += 1
        self.run(
            cluster.store_config(
                self.platform, self.head, self.document(self.head)
            )
        )

    @stateful.rule(name=_HOSTS)
    def accept_as_operator(self, name: str) -> None:
        self.change()
        self.host_by_name[name].node.store.offer(
            cluster.versioned(self.head, self.document(self.head))
        )

    @stateful.rule(name=_HOSTS)
    def commit_step(self, name: str) -> None:
        self.row_version += 1
        buckets = (f'region-{self.row_version}',) * 1_000
        split = splits.StoredSplit('s', 0, self.row_version, buckets)
        self.host_by_name[name].node.splits.offer([split])

    @stateful.rule(name=_HOSTS, lag=strategies.integers(0, 4))
    def poll(self, name: str, lag: int) -> None:
        host = self.host_by_name[name]
        host.platform.faults.stale_reads = lag
        self.run(host.node.poller.poll(False))

    @stateful.rule(
        name=_HOSTS, lag=strategies.integers(0, 4), down=strategies.booleans()
    )
    def restart(self, name: str, lag: int, down: bool) -> None:
        host = self.runner.run(self.make_host(name))
        host.platform.faults.stale_reads = lag
        host.platform.faults.down = down
        reachable = [
            other
            for other in _NAMES
            if self.stub(name, other)
            and self.host_by_name[other].node.store.current
        ]
        if down and not reachable:
            host.platform.faults.down = False
            reachable = []
        node = host.node
        channels: typing.Any = node.channels
        channels.stub = lambda other: self.stub(name, other)
        channels.open_seed = lambda address: _Seed(self.stub(name, address))
        node._startup._seeds = reachable[:1]
        self.host_by_name[name] = host
        self.min_version_by_host[name] = 0
        self.run(node.start_up())
        if not host.platform.faults.down:
            assert node.store.version == self.head
        for other in reachable:
            peer = self.host_by_name[other].node
            assert node.store.version >= peer.store.version
        host.platform.faults.down = False
        node.membership.set_state(records.HostState.SERVING)

    @stateful.rule(caller=_HOSTS, name=_HOSTS)
    def exchange(self, caller: str, name: str) -> None:
        node = self.host_by_name[caller].node
        node.membership.announce()
        self.run(node.exchange.exchange_with(name))

    @stateful.rule(caller=_HOSTS, name=_HOSTS, base=strategies.integers(0, 9))
    def push(self, caller: str, name: str, base: int) -> None:
        self.run(self.host_by_name[caller].node.config_gossip.push(name, base))

    @stateful.rule(sides=strategies.tuples(*[strategies.integers(0, 1)] * 4))
    def partition(self, sides: tuple[int, ...]) -> None:
        self.partition_by_host = dict(zip(_NAMES, sides))

    @stateful.invariant()
    def versions_never_fall(self) -> None:
        for name, host in self.host_by_name.items():
            version = host.node.store.version
            assert version >= self.min_version_by_host[name]
            assert version <= self.head
            self.min_version_by_host[name] = version
            assert host.versions == sorted(set(host.versions))
            rows = [split.row_version for split in host.splits]
            assert rows == sorted(set(rows))
            assert host.node.store.violations == 0
            current = host.node.store.current
            if current is not None:
                assert current.document == self.document(version)

    def check_convergence(self) -> None:
        self.partition_by_host = dict.fromkeys(_NAMES, 0)
        self.poll('h0', 0)
        for _ in range(2):
            for caller, name in zip(_NAMES, (*_NAMES[1:], _NAMES[0])):
                self.exchange(caller, name)
        self.versions_never_fall()
        hosts = self.host_by_name.values()
        assert {host.node.store.version for host in hosts} == {self.head}
        newest = {
            host.node.splits.split_by_service['s'].row_version
            for host in hosts
            if host.node.splits.split_by_service
        }
        assert len(newest) <= 1
        for host in hosts:
            record_by_host = {
                name: host.node.membership.record(name) for name in _NAMES
            }
            assert {
                name: record.incarnation
                for name, record in record_by_host.items()
                if record is not None
            } == {
                name: other.node.membership.incarnation
                for name, other in self.host_by_name.items()
            }


def test_versions_never_fall_and_converge() -> None:
    """Guards against a host that reverts to an older configuration."""
    hypothesis.seed(7)(VersionMachine)
    stateful.run_state_machine_as_test(
        VersionMachine,
        settings=hypothesis.settings(
            max_examples=60,
            stateful_step_count=40,
            deadline=None,
            derandomize=True,
            database=None,
        ),
    )
