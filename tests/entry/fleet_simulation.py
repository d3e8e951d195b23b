"""Hosts that follow a store and their peers, in virtual time."""

from __future__ import annotations

import asyncio
import collections.abc
import contextvars
import json
import random
import typing

import anyio
import anyio.abc

from tests import virtual_time
from tests.entry import fleet_network
from tests.platform import test_decode
from wigeonhatch import supervision
from wigeonhatch.balance import loads
from wigeonhatch.balance import statements
from wigeonhatch.entry import catalog as catalogs
from wigeonhatch.entry import directory
from wigeonhatch.entry import edge_settings
from wigeonhatch.entry import fleet as fleets
from wigeonhatch.entry import state_topics
from wigeonhatch.entry import store_follower
from wigeonhatch.peers import peer_call
from wigeonhatch.peers import state_link
from wigeonhatch.platform import names
from wigeonhatch.platform import store as stores
from wigeonhatch.requests import quarantine
from wigeonhatch.routes import table as tables
from wigeonhatch.standins import row_store
from wigeonhatch.targets import registry

REGIONS = ('north', 'central', 'south')
PROBE_INTERVAL_S = 0.1
_CALLING_HOST: contextvars.ContextVar[str] = contextvars.ContextVar('host')


class Host:
    """Store follower of one host with its peers.

    Args:
        name: Name of the host.
        ip: Address of the host.
        fleet: All hosts.
    """

    def __init__(self, name: str, ip: str, fleet: FleetSimulation) -> None:
        self.name = name
        self.ip = ip
        self.domain = fleet.network.domain_by_host[name]
        self.started_s = asyncio.get_running_loop().time()
        self.clock = virtual_time.VirtualClock()
        self.routes = tables.RouteTable()
        self.targets = registry.TargetRegistry(self.clock)
        self._network = fleet.network
        self._simulation = fleet
        self._scope = anyio.CancelScope()
        region = self.domain.partition('-')[0]
        store = stores.StoreClient('10.9.9.9:80')
        store._pool = typing.cast(
            typing.Any,
            fleet_network.StorePool(name, fleet.network, fleet.application),
        )
        settings = edge_settings.EdgeSettings(
            name,
            ip,
            self.domain,
            region,
            {
                domain: domain.partition('-')[0]
                for domain in fleet.network.domain_by_host.values()
            },
            f'{ip}:80',
            f'{ip}:81',
            f'{ip}:82',
            f'{ip}:83',
            84,
            85,
            '10.9.9.9:80',
            edge_settings.Bounds('6s', 0.2, 60.0, '5s'),  # type: ignore
            fleet.seeds,
        )
        targets = statements.StatementTable(self.targets, self.clock)
        self.fleet = fleets.Fleet(
            settings,
            store,
            loads.LoadTable(self.clock),
            targets,
            quarantine.QuarantineTable(name, list, self.clock),
            self._build_report,
            self._on_peer_state,
            lambda data: self._push.on_datagram(data),
            self.clock,
        )
        self.fleet._link.send_datagrams = (  # type: ignore[method-assign]
            self._send_datagrams
        )
        catalog = catalogs.Catalog(
            self.routes,
            self.targets,
            lambda _: None,
            lambda: None,
            self.clock,
        )
        rng = random.Random(f'{name}/{self.started_s}/{fleet.seed}')
        self.follower = store_follower.StoreFollower(
            store, catalog, self.fleet, self.clock, rng
        )
        self._push = state_topics.build_push(
            self.routes, catalog, self.follower, self.fleet, self.clock, rng
        )

        self.directory = directory.DirectoryApplication(
            lambda: True,
            lambda region, caller: [],
            0,
            bytes,
            self.follower.read_rows,
        )

    @property
    def config_version(self) -> int:
        """Version of the configuration in force; 0 for none."""
        config = self.routes.config
        return 0 if config is None else config.version

    async def run(self) -> None:
        """Run until stopped."""
        _CALLING_HOST.set(self.name)
        supervisor = supervision.Supervisor(self.clock)
        with self._scope:
            async with anyio.create_task_group() as tasks:
                self.follower.start(tasks, supervisor)
                tasks.start_soon(self.fleet.join)
                tasks.start_soon(self.fleet.run)
                tasks.start_soon(self._push.run)
        assert not supervisor.errors_by_task

    def kill(self) -> None:
        """End all tasks at once."""
        self._scope.cancel()

    async def respond(self, path: str) -> bytes:
        """Answer a call of a peer.

        Raises:
            PeerCallError: The host has nothing to answer with.
        """
        sent: list[dict[str, typing.Any]] = []

        async def send(message: dict[str, typing.Any]) -> None:
            sent.append(message)

        path, _, query = path.partition('?')
        await self.directory(
            {'type': 'http', 'path': path, 'query_string': query.encode()},
            None,
            typing.cast(typing.Any, send),
        )
        if sent[0]['status'] != 200:
            raise peer_call.PeerCallError(str(sent[0]['status']))
        return bytes(sent[1]['body'])

    def _build_report(self) -> state_link.HostReport:
        return state_link.HostReport(
            is_serving=self.routes.config is not None,
            reaches_store=self.follower.is_connected,
            followed_ms=self.follower.followed_ms,
            weight=1.0,
            config_version=self.config_version,
            changed_by_table=self.follower.changed_by_table,
        )

    def _on_peer_state(self, state: state_link.HostState) -> None:
        self._push.on_peer_state(state)
        self.follower.on_peer_state(state)

    def _send_datagrams(
        self,
        datagrams: collections.abc.Iterable[bytes],
        address: tuple[str, int],
    ) -> None:
        peer = self._simulation.host_by_ip.get(address[0])
        if peer is None:
            return
        latency_s = self._network.latency_s(self.name, peer.name)
        for data in datagrams:
            if not self._network.is_lost(self.name, peer.name):
                asyncio.get_running_loop().call_later(
                    latency_s,
                    peer.fleet._link.datagram_received,
                    data,
                    (self.ip, 1),
                )


class FleetSimulation:
    """Hosts, their store and the operator who changes the configuration.

    Args:
        count: Number of hosts.
        domains: Number of failure domains, in three regions.
        targets: Number of targets that the store lists.
        seed: Seed of the randomness.
    """

    def __init__(
        self, count: int, domains: int, targets: int, seed: int
    ) -> None:
        self.seed = seed
        self.rng = random.Random(seed)
        self.network = fleet_network.Network(self.rng)
        self.application = row_store.RowStoreApplication(row_store.RowStore())
        self.store = self.application.store
        self.config_version = 0
        self.host_by_ip: dict[str, Host] = {}
        self.ip_by_host: dict[str, str] = {}
        self._targets = targets
        for number in range(count):
            domain = number % domains
            region = REGIONS[domain % len(REGIONS)]
            name = f'h{number}'
            self.network.domain_by_host[name] = f'{region}-{domain}'
            self.ip_by_host[name] = f'10.0.{number // 250}.{number % 250 + 1}'
        self.seeds = [f'{ip}:83' for ip in list(self.ip_by_host.values())[:3]]
        self._tasks: anyio.abc.TaskGroup | None = None

    @property
    def now_s(self) -> float:
        """Virtual time in s."""
        return asyncio.get_running_loop().time()

    @property
    def hosts(self) -> list[Host]:
        """Hosts that run."""
        return list(self.host_by_ip.values())

    def write_targets(self) -> None:
        """Write the rows of all targets."""
        for number in range(self._targets):
            self.write_target(f't{number}')

    def write_target(self, name: str) -> None:
        """Write the row of a target in the domain `a`."""
        self.store.put(names.TARGET_TABLE, name, test_decode.TARGET)

    def write_config(self, version: int | None = None) -> int:
        """Write a configuration.

        Args:
            version: Its version; a newer one than all before if left out.

        Returns:
            The version.
        """
        if version is None:
            version = self.config_version + self.rng.randint(1, 3)
        self.config_version = max(version, self.config_version)
        document = {
            'version': f'r{version}',
            'routes': {'r': test_decode.ROUTE},
            'services': {'s': test_decode.SERVICE},
        }
        self.store.put(
            names.OPERATOR_TABLE,
            names.CONFIG_KEY,
            json.dumps(document).encode(),
        )
        return version

    def start(self, name: str) -> None:
        """Start a host."""
        assert self._tasks is not None
        ip = self.ip_by_host[name]
        host = Host(name, ip, self)
        self.host_by_ip[ip] = host
        self._tasks.start_soon(host.run)

    def kill(self, name: str) -> None:
        """Kill a host that runs."""
        host = self.host_by_ip.pop(self.ip_by_host[name], None)
        if host is not None:
            host.kill()

    async def get(self, ip: str, port: int, path: str) -> bytes:
        """Read from a peer; replaces `peer_call.get`.

        Raises:
            PeerCallError: The peer does not run, or did not answer in time.
        """
        caller = _CALLING_HOST.get()
        peer = self.host_by_ip.get(ip)
        if peer is None:
            raise peer_call.PeerCallError('nothing listens')
        with anyio.move_on_after(peer_call.CALL_TIMEOUT_MS / 1_000):
            await self._pass(caller, peer.name)
            phase_s = peer_call.PHASE_TIMEOUT_MS / 1_000
            if not await self.network.connect(caller, peer.name, phase_s):
                raise peer_call.PeerCallError('no connection')
            await anyio.sleep(self.network.latency_s(caller, peer.name))
            content = await peer.respond(path)
            await self.network.transfer(peer.name, len(content))
            await self._pass(caller, peer.name)
            await anyio.sleep(self.network.latency_s(peer.name, caller))
            return content
        raise peer_call.PeerCallError('no answer')

    async def _pass(self, caller: str, peer: str) -> None:
        """Fail like a call over a link that does not let it pass."""
        is_cut = frozenset((caller, peer)) in self.network.cut_calls
        if is_cut or not self.network.is_open(caller, peer):
            await anyio.sleep(peer_call.PHASE_TIMEOUT_MS / 1_000)
            raise peer_call.PeerCallError('no answer')

    async def run(
        self,
        scenario: collections.abc.Callable[
            [], collections.abc.Coroutine[typing.Any, typing.Any, None]
        ],
    ) -> None:
        """Start all hosts and run a scenario.

        Args:
            scenario: Runs while the hosts do.
        """
        original = peer_call.get
        peer_call.get = self.get
        try:
            async with anyio.create_task_group() as self._tasks:
                self.write_config()
                self.write_targets()
                for name in self.ip_by_host:
                    self.start(name)
                await scenario()
                self._tasks.cancel_scope.cancel()
        finally:
            peer_call.get = original
