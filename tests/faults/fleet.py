"""Daemons of the soak as processes, with the store and targets around them."""

from __future__ import annotations

import asyncio
import json
import pathlib
import random
import signal
import socket
import subprocess
import sys
import typing

import uvicorn

from tests.faults import ledger as ledgers
from tests.faults import proxy as proxies
from tests.faults import target as targets
from tests.faults import terms
from wigeonhatch import clock as clocks
from wigeonhatch.standins import row_store

ROOT = pathlib.Path(__file__).parents[2]
REGION_BY_DOMAIN = {'a': 'north', 'b': 'north', 'c': 'south', 'd': 'south'}
SERVICES = ('reader', 'writer', 'album')
KIND_BY_SERVICE = dict(zip(SERVICES, ('read', 'write', 'photo')))
_TYPES = dict(zip(SERVICES, ('idempotent', 'non_idempotent', 'upload')))
HEARTBEAT_MS = 1_500
_RESTART_MS = 200
_CLOCK_ERRORS_MS = (0, 0, -6_000, 6_000, -3_600_000, 3_600_000)
"""Errors of the time of day; each start of a daemon has one of them."""


class Host:
    """One entry host: a daemon, its settings and its way to the store."""

    def __init__(self, number: int, folder: pathlib.Path) -> None:
        self.name = f'h{number}'
        self.ip = f'127.1.{number // 200}.{number % 200 + 1}'
        self.domain = 'abcd'[number % 4]
        self.region = REGION_BY_DOMAIN[self.domain]
        self.store = proxies.Proxy()
        self.settings = folder / f'{self.name}.json'
        self.log = folder / f'{self.name}.log'
        self.process: subprocess.Popen[bytes] | None = None
        self.is_wanted = True
        self.incarnation = 0
        self.started_ms = 0
        self.killed_ms: int | None = None

    def address(self, port: int) -> str:
        """`IP:PORT` on this host."""
        return f'{self.ip}:{port}'


class Fleet:
    """All processes and stand-ins of one run.

    Args:
        folder: Folder of settings and logs.
        hosts: Number of daemons.
        rng: Source of randomness.
    """

    def __init__(
        self, folder: pathlib.Path, hosts: int, rng: random.Random
    ) -> None:
        self.clock = clocks.Clock()
        self.ledger = ledgers.Ledger()
        self.rng = rng
        self.hosts = [Host(number, folder) for number in range(hosts)]
        self.targets: list[targets.Target] = []
        self.application = row_store.RowStoreApplication(row_store.RowStore())
        self.version = 0
        self.acknowledged_ms: dict[int, int] = {}
        self.evacuated: set[str] = set()
        self._ports: dict[str, int] = {}
        self._births = 0
        self._server: uvicorn.Server | None = None

    async def start(self, targets_per_service: int) -> None:
        """Start the store, the targets and the daemons."""
        self._ports = _choose_ports()
        config = uvicorn.Config(
            self.application,
            port=0,
            log_level='critical',
            lifespan='off',
            timeout_keep_alive=60,
        )
        config.load()
        self._server = uvicorn.Server(config)
        self._server.lifespan = config.lifespan_class(config)
        await self._server.startup()
        upstream = self._server.servers[0].sockets[0].getsockname()[:2]
        for service in SERVICES:
            for number in range(targets_per_service):
                domain = 'abcd'[number % 4]
                await self.add_target(service, domain, is_cold=False)
        self.configure()
        for host in self.hosts:
            host.store.upstream = upstream
            await host.store.open()
            self.write_settings(host, 'INFO')
            self.spawn(host)

    def stop(self) -> None:
        """End all processes and stand-ins."""
        for host in self.hosts:
            host.is_wanted = False
            if host.process is not None and host.process.poll() is None:
                host.process.kill()
                host.process.wait()
            host.store.close()
        for target in self.targets:
            target.close()
            target.proxy.close()
        if self._server is not None:
            for server in self._server.servers:
                server.close()

    def port(self, name: str) -> int:
        """Port of an interface, the same on all hosts."""
        return self._ports[name]

    def write_settings(self, host: Host, log_level: str) -> None:
        """Write the settings of a host."""
        seeds = [item.address(self.port('peer')) for item in self.hosts[:3]]
        content = {
            'host': host.name,
            'ip': host.ip,
            'domain': host.domain,
            'region': host.region,
            'region_by_domain': REGION_BY_DOMAIN,
            'caller_address': host.address(self.port('caller')),
            'readiness_address': host.address(self.port('ready')),
            'directory_address': host.address(self.port('lookup')),
            'peer_address': host.address(self.port('peer')),
            'peer_port': self.port('state'),
            'metrics_port': self.port('metrics'),
            'store_address': host.store.address,
            'seeds': seeds,
            'log_level': log_level,
            'bounds': {
                'stop_grace': f'{terms.GRACE_MS}ms',
                'retry_ratio': terms.RETRY_RATIO,
                'retry_slack': terms.RETRY_SLACK,
                'directory_ttl_max': '2s',
            },
        }
        host.settings.write_text(json.dumps(content))

    def spawn(self, host: Host) -> None:
        """Start the daemon of a host."""
        now_ms = self.clock.now_ms
        self.disturb((host.name,), now_ms, now_ms)
        host.killed_ms = None
        host.started_ms = now_ms
        host.incarnation += 1
        with host.log.open('ab') as stream:
            host.process = subprocess.Popen(
                [
                    sys.executable,
                    '-m',
                    'tests.faults.skewed',
                    str(self.rng.choice(_CLOCK_ERRORS_MS)),
                    'edge',
                    str(host.settings),
                ],
                cwd=ROOT,
                stdout=stream,
                stderr=stream,
            )

    async def watch(self, host: Host) -> None:
        """Start a daemon again whenever it ends, until the end of the run."""
        while host.is_wanted:
            await asyncio.sleep(0.05)
            process = host.process
            if process is None or process.poll() is None:
                continue
            if host.killed_ms is None:
                self.ledger.fail(
                    'exit', f'{host.name} with status {process.returncode}'
                )
                host.killed_ms = self.clock.now_ms
            host.process = None
            await asyncio.sleep(self.rng.randint(1, 5) * _RESTART_MS / 1_000)
            if host.is_wanted:
                self.spawn(host)

    def send_signal(self, host: Host, number: signal.Signals) -> None:
        """Send a signal to a daemon if it runs."""
        if host.process is not None and host.process.poll() is None:
            host.process.send_signal(number)

    def disturb(
        self,
        names: tuple[str, ...],
        start_ms: int,
        end_ms: int,
        is_planned: bool = False,
    ) -> None:
        """Record a disturbance of hosts, targets or the store."""
        for name in names:
            self.ledger.disturbances.add(name, start_ms, end_ms)
        if not is_planned:
            self.ledger.disturbances.add(ledgers.ANYTHING, start_ms, end_ms)

    def configure(self) -> None:
        """Write the next configuration; it drops one route and adds one."""
        self.version += self.rng.randint(1, 3)
        services = {
            service: {
                'health_path': '/health',
                'max_conns': 200,
                'warmup': f'{terms.WARMUP_MS}ms',
                'warmup_per_s': terms.WARMUP_PER_S,
            }
            for service in SERVICES
        }
        routes = {
            service: self._route(service, f'/{KIND_BY_SERVICE[service]}/')
            for service in SERVICES
        }
        routes['probe'] = self._route('reader', self.probe_path(self.version))
        self.application.store.put(
            'op',
            'config',
            {
                'version': f'r{self.version}',
                'routes': routes,
                'services': services,
                'limits': {'idle_timeout': '10s'},
            },
        )
        self.acknowledged_ms[self.version] = self.clock.now_ms

    @staticmethod
    def probe_path(version: int) -> str:
        """Prefix of the route that only one version has."""
        return f'/probe-{version}/'

    async def add_target(
        self,
        service: str,
        domain: str,
        proxy: proxies.Proxy | None = None,
        is_cold: bool = True,
    ) -> targets.Target:
        """Start a target and register it."""
        self._births += 1
        if proxy is None:
            proxy = proxies.Proxy()
            await proxy.open()
        target = targets.Target(
            f'{service}-{self._births}',
            service,
            domain,
            proxy,
            self.ledger,
            self.clock,
            self.rng,
        )
        await target.open()
        self.targets.append(target)
        if is_cold:
            self.ledger.cold_until_by_target[target.name] = (
                self.clock.now_ms + terms.WARMUP_MS
            )
        self.register(target)
        return target

    def register(self, target: targets.Target) -> None:
        """Write the entry of a target."""
        age_ms = self.clock.now_ms - target.started_ms
        is_cold = target.name in self.ledger.cold_until_by_target
        left_ms = max(0, terms.WARMUP_MS - age_ms) if is_cold else 0
        self.application.store.put(
            'servers',
            target.name,
            {
                'address': target.proxy.address,
                'born': self.clock.wall_ms - age_ms,
                'info': {
                    'service': target.service,
                    'version': 'v1',
                    'zone': target.domain,
                    'concurrency': targets.SLOTS,
                },
                'status': {
                    'state': 'draining' if target.is_draining else 'ready',
                    'sequence': 1,
                    'warmup_left': f'{left_ms}ms',
                },
            },
        )

    def unregister(self, target: targets.Target) -> None:
        """Remove the entry of a target."""
        self.application.store.remove('servers', target.name)
        self.ledger.left_by_target.setdefault(target.name, self.clock.now_ms)

    def evacuate(self, domain: str) -> None:
        """Ask that nothing more be sent to the targets of a domain."""
        self.application.store.put('op', f'evacuate/{domain}', {})
        self.evacuated.add(domain)
        for target in self.targets:
            if target.domain == domain:
                self.ledger.evacuated_by_target[target.name] = (
                    self.clock.now_ms
                )

    def take_back(self, domain: str) -> None:
        """End the evacuation of a domain."""
        self.application.store.remove('op', f'evacuate/{domain}')
        self.evacuated.discard(domain)
        for target in self.targets:
            if target.domain == domain:
                self.ledger.evacuated_by_target.pop(target.name, None)

    @staticmethod
    def _route(service: str, prefix: str) -> dict[str, typing.Any]:
        return {
            'host': 'x.example',
            'prefix': prefix,
            'type': _TYPES[service],
            'timeout': '2s',
            'target_latency': '500ms',
            'priority': 1,
            'service': service,
            'max_attempts': 3,
            'session_affinity': True,
        }


def _choose_ports() -> dict[str, int]:
    """Find ports that are free on all addresses of loopback."""
    names = ('caller', 'ready', 'lookup', 'peer', 'metrics', 'state')
    sockets = []
    for _ in names:
        item = socket.socket()
        item.bind(('0.0.0.0', 0))
        sockets.append(item)
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return dict(zip(names, ports))
