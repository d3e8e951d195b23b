"""Daemon processes of the soak test, with stand-ins for store and targets."""

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

from tests.faults import bounds
from tests.faults import host as hosts
from tests.faults import ledger as ledgers
from tests.faults import proxy as proxies
from tests.faults import statement_rule
from tests.faults import target as targets
from wigeonhatch import clock as clocks
from wigeonhatch.standins import row_store

ROOT = pathlib.Path(__file__).parents[2]
REGION_BY_DOMAIN = hosts.REGION_BY_DOMAIN
SERVICES = ('reader', 'writer', 'album')
KIND_BY_SERVICE = dict(zip(SERVICES, ('read', 'write', 'photo')))
_ROUTE_TYPES = dict(zip(SERVICES, ('idempotent', 'non_idempotent', 'upload')))
HEARTBEAT_MS = 1_500
RESTART_MS = 3_000
"""Time from a crash by a request to the start of the next incarnation."""
_BACKOFF_MS = 200
_CLOCK_OFFSETS_MS = (0, 0, -6_000, 6_000, -3_600_000, 3_600_000)
"""Wall clock offsets; each start of a daemon uses a random one."""


Host = hosts.Host


class Fleet:
    """Processes and stand-ins of one soak run.

    Args:
        folder: Folder for settings and logs.
        hosts: Number of daemons.
        rng: Random number generator.
    """

    def __init__(
        self, folder: pathlib.Path, hosts: int, rng: random.Random
    ) -> None:
        self.clock = clocks.Clock()
        self.ledger = ledgers.Ledger()
        self.rng = rng
        self.hosts = [Host(number, folder) for number in range(hosts)]
        self.targets: list[targets.Target] = []
        self.registered_by_name: dict[str, targets.Target] = {}
        self.application = row_store.RowStoreApplication(row_store.RowStore())
        self.version = 0
        self.written_ms_by_version: dict[int, int] = {}
        self.evacuated_domains: set[str] = set()
        self._evacuated_by_domain: dict[str, list[str]] = {}
        self._ports: dict[str, int] = {}
        self._target_count = 0
        self._restarts: set[asyncio.Task[None]] = set()
        self._server: uvicorn.Server | None = None

    async def start(self, targets_per_service: int) -> None:
        """Start the store, the targets and the daemons."""
        self._ports = _find_free_ports()
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
        self.write_configuration()
        for host in self.hosts:
            host.store_proxy.upstream = upstream
            await host.store_proxy.open()
            self.write_settings(host, 'INFO')
            self.spawn(host)

    def stop(self) -> None:
        """Stop all processes and stand-ins."""
        for task in self._restarts:
            task.cancel()
        for host in self.hosts:
            host.is_enabled = False
            if host.process is not None and host.process.poll() is None:
                host.process.kill()
                host.process.wait()
            host.store_proxy.close()
        for target in self.targets:
            target.close()
            target.proxy.close()
        if self._server is not None:
            for server in self._server.servers:
                server.close()

    def port(self, name: str) -> int:
        """Return the port of an interface, which is the same on all hosts."""
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
            'store_address': host.store_proxy.address,
            'seeds': seeds,
            'log_level': log_level,
            'bounds': {
                'stop_grace': f'{bounds.STOP_GRACE_MS}ms',
                'retry_ratio': bounds.RETRY_RATIO,
                'retry_slack': bounds.RETRY_SLACK,
                'directory_ttl_max': '2s',
            },
        }
        host.settings_path.write_text(json.dumps(content))

    def spawn(self, host: Host) -> None:
        """Start the daemon of a host."""
        now_ms = self.clock.now_ms
        self.disturb(
            (host.name, statement_rule.process_of(host.name)), now_ms, now_ms
        )
        host.down_since_ms = None
        host.started_ms = now_ms
        host.incarnation += 1
        with host.log_path.open('ab') as stream:
            host.process = subprocess.Popen(
                [
                    sys.executable,
                    '-m',
                    'tests.faults.skewed',
                    str(self.rng.choice(_CLOCK_OFFSETS_MS)),
                    'edge',
                    str(host.settings_path),
                ],
                cwd=ROOT,
                stdout=stream,
                stderr=stream,
            )

    async def restart_on_exit(self, host: Host) -> None:
        """Restart a daemon whenever it exits, until the run ends."""
        while host.is_enabled:
            await asyncio.sleep(0.05)
            process = host.process
            if process is None or process.poll() is None:
                continue
            if host.down_since_ms is None:
                self.ledger.fail(
                    'exit', f'{host.name} with status {process.returncode}'
                )
                host.down_since_ms = self.clock.now_ms
            host.process = None
            await asyncio.sleep(self.rng.randint(1, 5) * _BACKOFF_MS / 1_000)
            if host.is_enabled:
                self.spawn(host)

    def send_signal(self, host: Host, number: signal.Signals) -> None:
        """Send a signal to a daemon if it is running."""
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
            self.ledger.disturbances.add(ledgers.ANY_FAULT, start_ms, end_ms)

    def write_configuration(self) -> None:
        """Write the next configuration, which replaces the probe route."""
        self.version += self.rng.randint(1, 3)
        services = {
            service: {
                'health_path': '/health',
                'max_conns': 200,
                'warmup': f'{bounds.WARMUP_MS}ms',
                'warmup_per_s': bounds.WARMUP_PER_S,
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
        self.written_ms_by_version[self.version] = self.clock.now_ms

    @staticmethod
    def probe_path(version: int) -> str:
        """Return the path prefix of the probe route of a version."""
        return f'/probe-{version}/'

    async def add_target(
        self,
        service: str,
        domain: str,
        proxy: proxies.Proxy | None = None,
        is_cold: bool = True,
    ) -> targets.Target:
        """Start a target and register it."""
        self._target_count += 1
        if proxy is None:
            proxy = proxies.Proxy()
            await proxy.open()
        target = targets.Target(
            f'{service}-{self._target_count}',
            service,
            domain,
            proxy,
            self.ledger,
            self.clock,
            self.rng,
            self._on_crash,
        )
        await target.open()
        self.targets.append(target)
        if is_cold:
            self.ledger.warmup_end_ms_by_target[target.name] = (
                self.clock.now_ms + bounds.WARMUP_MS
            )
        self.register(target)
        return target

    def _on_crash(self, target: targets.Target, content: str) -> None:
        """Crash a target unless it leaves already, and replace it later."""
        if target not in self.targets:
            return
        self.targets.remove(target)
        target.proxy.close()
        target.close()
        self.ledger.crash_rule.on_crash(content, self.clock.now_ms)
        now_ms = self.clock.now_ms
        self.disturb((target.name,), now_ms, now_ms + RESTART_MS)
        task = asyncio.ensure_future(self._replace(target))
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)

    async def _replace(self, target: targets.Target) -> None:
        await asyncio.sleep(RESTART_MS / 1_000)
        self.unregister(target)
        await target.proxy.open()
        await self.add_target(target.service, target.domain, target.proxy)

    def register(self, target: targets.Target) -> None:
        """Write the row of a target to the store."""
        self.registered_by_name[target.name] = target
        age_ms = self.clock.now_ms - target.started_ms
        is_cold = target.name in self.ledger.warmup_end_ms_by_target
        remaining_ms = max(0, bounds.WARMUP_MS - age_ms) if is_cold else 0
        self.application.store.put(
            'servers',
            target.name,
            {
                'address': target.proxy.address,
                'born': target.born_ms,
                'info': {
                    'service': target.service,
                    'version': 'v1',
                    'zone': target.domain,
                    'concurrency': targets.SLOTS,
                },
                'status': {
                    'state': 'draining' if target.is_draining else 'ready',
                    'sequence': 1,
                    'warmup_left': f'{remaining_ms}ms',
                },
            },
        )

    def unregister(self, target: targets.Target) -> None:
        """Remove the row of a target from the store."""
        self.registered_by_name.pop(target.name, None)
        self.application.store.remove('servers', target.name)
        self.ledger.leaving_ms_by_target.setdefault(
            target.name, self.clock.now_ms
        )

    async def write_again(self) -> None:
        """Write what a restored store has lost, as operators and targets do.

        Rows of targets that have left expire later.
        """
        store = self.application.store
        self.write_configuration()
        for domain in REGION_BY_DOMAIN:
            if domain in self.evacuated_domains:
                store.put('op', f'evacuate/{domain}', {})
            else:
                store.remove('op', f'evacuate/{domain}')
        for target in self.registered_by_name.values():
            self.register(target)
        await asyncio.sleep(3 * HEARTBEAT_MS / 1_000)
        for row in store.rows('servers'):
            if row['key'] not in self.registered_by_name:
                store.remove('servers', row['key'])

    def evacuate(self, domain: str) -> None:
        """Start the evacuation of a domain."""
        self.application.store.put('op', f'evacuate/{domain}', {})
        self.evacuated_domains.add(domain)
        # Some of them may leave before the evacuation ends.
        names = [item.name for item in self.targets if item.domain == domain]
        self._evacuated_by_domain[domain] = names
        for name in names:
            self.ledger.evacuated_ms_by_target[name] = self.clock.now_ms

    def end_evacuation(self, domain: str) -> None:
        """End the evacuation of a domain."""
        self.application.store.remove('op', f'evacuate/{domain}')
        self.evacuated_domains.discard(domain)
        for target in self._evacuated_by_domain.pop(domain, ()):
            self.ledger.evacuated_ms_by_target.pop(target, None)

    @staticmethod
    def _route(service: str, prefix: str) -> dict[str, typing.Any]:
        return {
            'host': 'x.example',
            'prefix': prefix,
            'type': _ROUTE_TYPES[service],
            'timeout': '2s',
            'target_latency': '500ms',
            'priority': 1,
            'service': service,
            'max_attempts': 3,
            'session_affinity': True,
        }


def _find_free_ports() -> dict[str, int]:
    """Find ports that are free on all loopback addresses."""
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
