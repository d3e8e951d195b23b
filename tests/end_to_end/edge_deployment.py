"""One edge daemon as a process, with stand-ins for store and targets."""

from __future__ import annotations

import base64
import collections.abc
import contextlib
import json
import pathlib
import socket
import subprocess
import sys
import time
import typing

import anyio
import httpcore

ROOT = pathlib.Path(__file__).parents[2]
START_LIMIT_S = 20
STOP_GRACE_MS = 4_000
SLOW_MS = 600


def free_ports(count: int) -> list[int]:
    """Find free TCP ports on loopback."""
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind(('127.0.0.1', 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


def address(port: int) -> str:
    """Address of a port on loopback."""
    return f'127.0.0.1:{port}'


class Target:
    """Target that answers with its name, slowly on request."""

    def __init__(self, name: str, port: int) -> None:
        self.name = name
        self.port = port
        self.served: list[str] = []

    async def run(self) -> None:
        """Serve until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host='127.0.0.1', local_port=self.port
        )
        await listener.serve(self._serve)

    async def _serve(self, stream: anyio.abc.SocketStream) -> None:
        data = b''
        with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
            while True:
                while b'\r\n\r\n' not in data:
                    data += await stream.receive()
                head, _, data = data.partition(b'\r\n\r\n')
                fields = dict(
                    line.lower().split(': ', 1)
                    for line in head.decode().split('\r\n')[1:]
                )
                request_id = fields['request-id']
                if b'/slow' in head:
                    await anyio.sleep(SLOW_MS / 1_000)
                self.served.append(request_id)
                await stream.send(
                    f'HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n'
                    'Response-Signature: s\r\n'
                    f'Content-Length: {len(self.name)}\r\n\r\n'
                    f'{self.name}'.encode()
                )

    def row(self, state: str = 'ready') -> dict[str, typing.Any]:
        """Entry in the store."""
        return {
            'address': address(self.port),
            'born': 1,
            'info': {
                'service': 's',
                'version': 'v1',
                'zone': 'a',
                'concurrency': 4,
            },
            'status': {'state': state, 'sequence': 1, 'warmup_left': '0ms'},
        }


def config(
    version: int, prefix: str = '/r/', idle_timeout: str = '15s'
) -> dict[str, typing.Any]:
    """Configuration with one route."""
    return {
        'version': f'r{version}',
        'routes': {
            'r': {
                'host': 'x.example',
                'prefix': prefix,
                'type': 'non_idempotent',
                'timeout': '3s',
                'target_latency': '1s',
                'priority': 0,
                'service': 's',
                'max_attempts': 2,
            }
        },
        'services': {'s': {'health_path': '/health', 'max_conns': 50}},
        'limits': {
            'max_header_bytes': 2_000,
            'idle_timeout': idle_timeout,
        },
    }


class Deployment:
    """Store, targets and one daemon."""

    def __init__(self, folder: pathlib.Path) -> None:
        ports = free_ports(9)
        self.store, self.front, self.ready, self.lookup = ports[:4]
        self.targets = {
            name: Target(name, port)
            for name, port in zip(('t1', 't2'), ports[4:6])
        }
        self.processes: list[subprocess.Popen[bytes]] = []
        self.log = folder / 'edge.log'
        self.settings = folder / 'edge.json'
        self.settings.write_text(
            json.dumps(
                {
                    'host': 'h1',
                    'ip': '127.0.0.1',
                    'domain': 'a',
                    'region': 'north',
                    'region_by_domain': {'a': 'north'},
                    'caller_address': address(self.front),
                    'readiness_address': address(self.ready),
                    'directory_address': address(self.lookup),
                    'peer_address': address(ports[8]),
                    'peer_port': ports[6],
                    'metrics_port': ports[7],
                    'store_address': address(self.store),
                    'bounds': {
                        'stop_grace': f'{STOP_GRACE_MS}ms',
                        'retry_ratio': 0.2,
                        'retry_slack': 60,
                        'directory_ttl_max': '1s',
                    },
                }
            )
        )

    def spawn(self, *arguments: str) -> subprocess.Popen[bytes]:
        """Start a process of this package."""
        with self.log.open('ab') as stream:
            process = subprocess.Popen(
                [sys.executable, '-m', *arguments],
                cwd=ROOT,
                stdout=stream,
                stderr=stream,
            )
        self.processes.append(process)
        return process

    def spawn_store(self) -> subprocess.Popen[bytes]:
        """Start the store."""
        return self.spawn(
            'wigeonhatch.standins.row_store', address(self.store)
        )

    def spawn_edge(self) -> subprocess.Popen[bytes]:
        """Start the daemon."""
        return self.spawn('wigeonhatch', 'edge', str(self.settings))

    async def call(
        self,
        port: int,
        path: str,
        request_id: str = 'r1',
        content: bytes | None = None,
        method: str = 'GET',
        kept: httpcore.AsyncConnectionPool | None = None,
    ) -> tuple[int, bytes]:
        """Send one request, on a connection of its own or on a kept one."""
        async with contextlib.AsyncExitStack() as stack:
            pool = kept or await stack.enter_async_context(
                httpcore.AsyncConnectionPool()
            )
            response = await pool.request(
                method,
                f'http://{address(port)}{path}',
                headers={'Host': 'x.example', 'Request-Id': request_id},
                content=content,
            )
            return response.status, response.content

    async def put(self, table: str, key: str, value: object) -> None:
        """Write a row of the store."""
        row = {
            'table': table,
            'part': '',
            'key': key,
            'value': base64.b64encode(json.dumps(value).encode()).decode(),
        }
        body = {'precondition': [], 'writes': [row], 'remove': []}
        status, _ = await self.call(
            self.store,
            '/rows-tx',
            content=json.dumps(body).encode(),
            method='POST',
        )
        assert status == 200

    async def wait_for(self, port: int, path: str, wanted: int) -> None:
        """Ask until a status comes."""
        end_s = time.monotonic() + START_LIMIT_S
        while time.monotonic() < end_s:
            with contextlib.suppress(httpcore.NetworkError):
                status, _ = await self.call(port, path)
                if status == wanted:
                    return
            await anyio.sleep(0.05)
        raise AssertionError(f'{path} never answered {wanted}')

    async def start(self) -> subprocess.Popen[bytes]:
        """Start store and daemon, and wait until it is ready."""
        self.spawn_store()
        await self.wait_for(self.store, '/rows-get?table=op', 200)
        for name, target in self.targets.items():
            await self.put('servers', name, target.row())
        await self.put('op', 'config', config(1))
        edge = self.spawn_edge()
        await self.wait_for(self.ready, '/readiness', 200)
        return edge

    def stop(self) -> None:
        """End all processes that are still running."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()


Scenario = collections.abc.Callable[
    [Deployment], collections.abc.Awaitable[None]
]


def play(folder: pathlib.Path, scenario: Scenario) -> None:
    """Run a scenario on a deployment."""

    async def main() -> None:
        deployment = Deployment(folder)
        try:
            async with anyio.create_task_group() as tasks:
                for target in deployment.targets.values():
                    tasks.start_soon(target.run)
                with anyio.fail_after(60):
                    await scenario(deployment)
                tasks.cancel_scope.cancel()
        finally:
            deployment.stop()

    anyio.run(main)
