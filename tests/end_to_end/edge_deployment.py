"""Edge daemon as a process, with stand-ins for the store and targets."""

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
START_TIMEOUT_S = 20
STOP_GRACE_MS = 4_000
SLOW_RESPONSE_MS = 600
DELAY_MS_BY_PATH = {b'/slow': SLOW_RESPONSE_MS, b'/long': 2_800}
LARGE_BODY = b'0123456789abcdef' * 250_000


def find_free_ports(count: int) -> list[int]:
    """Find free TCP ports on loopback."""
    sockets = [socket.socket() for _ in range(count)]
    for bound_socket in sockets:
        bound_socket.bind(('127.0.0.1', 0))
    ports = [bound_socket.getsockname()[1] for bound_socket in sockets]
    for bound_socket in sockets:
        bound_socket.close()
    return ports


def address(port: int) -> str:
    """Return the loopback address of a port."""
    return f'127.0.0.1:{port}'


class Target:
    """Target that responds with its name; late or at length for some paths."""

    def __init__(self, name: str, port: int) -> None:
        self.name = name
        self.port = port
        self.served_ids: list[str] = []

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
                for path, delay_ms in DELAY_MS_BY_PATH.items():
                    if path in head:
                        await anyio.sleep(delay_ms / 1_000)
                self.served_ids.append(request_id)
                body = LARGE_BODY if b'/large' in head else self.name.encode()
                await stream.send(
                    f'HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n'
                    'Response-Signature: s\r\n'
                    f'Content-Length: {len(body)}\r\n\r\n'.encode()
                    + body
                )

    def make_row(self, state: str = 'ready') -> dict[str, typing.Any]:
        """Build the row of the target in the store."""
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


def make_config(
    version: int, prefix: str = '/r/', idle_timeout: str = '15s'
) -> dict[str, typing.Any]:
    """Build a configuration with one route."""
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
    """Store, targets and one edge daemon."""

    def __init__(
        self,
        folder: pathlib.Path,
        build_target: collections.abc.Callable[[str, int], Target] = Target,
    ) -> None:
        ports = find_free_ports(9)
        self.peer_port = ports[6]
        self.store_port, self.port, self.ready_port, self.lookup_port = ports[
            :4
        ]
        self.targets = {
            name: build_target(name, port)
            for name, port in zip(('t1', 't2'), ports[4:6])
        }
        self.processes: list[subprocess.Popen[bytes]] = []
        self.log_path = folder / 'edge.log'
        self.settings_path = folder / 'edge.json'
        self.settings_path.write_text(
            json.dumps(
                {
                    'host': 'h1',
                    'ip': '127.0.0.1',
                    'domain': 'a',
                    'region': 'north',
                    'region_by_domain': {'a': 'north'},
                    'caller_address': address(self.port),
                    'readiness_address': address(self.ready_port),
                    'directory_address': address(self.lookup_port),
                    'peer_address': address(ports[8]),
                    'peer_port': self.peer_port,
                    'metrics_port': ports[7],
                    'store_address': address(self.store_port),
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
        """Start a Python module as a process."""
        with self.log_path.open('ab') as stream:
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
            'wigeonhatch.standins.row_store', address(self.store_port)
        )

    def spawn_edge(self) -> subprocess.Popen[bytes]:
        """Start the daemon."""
        return self.spawn('wigeonhatch', 'edge', str(self.settings_path))

    async def call(
        self,
        port: int,
        path: str,
        request_id: str = 'r1',
        content: bytes | None = None,
        method: str = 'GET',
        shared_pool: httpcore.AsyncConnectionPool | None = None,
        deadline_ms: int | None = None,
    ) -> tuple[int, bytes]:
        """Send one request, with a pool of its own or a shared one."""
        async with contextlib.AsyncExitStack() as stack:
            pool = shared_pool or await stack.enter_async_context(
                httpcore.AsyncConnectionPool()
            )
            headers = {'Host': 'x.example', 'Request-Id': request_id}
            if deadline_ms is not None:
                headers['Deadline-Ms'] = f'{deadline_ms}'
            response = await pool.request(
                method,
                f'http://{address(port)}{path}',
                headers=headers,
                content=content,
            )
            return response.status, response.content

    async def put(self, table: str, key: str, value: object) -> None:
        """Write a row to the store."""
        await self.put_bytes(table, key, json.dumps(value).encode())

    async def put_bytes(self, table: str, key: str, content: bytes) -> None:
        """Write a row that may be unreadable to the store."""
        row = {
            'table': table,
            'part': '',
            'key': key,
            'value': base64.b64encode(content).decode(),
        }
        body = {'precondition': [], 'writes': [row], 'remove': []}
        status, _ = await self.call(
            self.store_port,
            '/rows-tx',
            content=json.dumps(body).encode(),
            method='POST',
        )
        assert status == 200

    async def wait_for(self, port: int, path: str, expected: int) -> None:
        """Poll a path until it returns the expected status."""
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            with contextlib.suppress(httpcore.NetworkError):
                status, _ = await self.call(port, path)
                if status == expected:
                    return
            await anyio.sleep(0.05)
        raise AssertionError(f'{path} never returned {expected}')

    async def start(self) -> subprocess.Popen[bytes]:
        """Start store and daemon, and wait until the daemon is ready."""
        self.spawn_store()
        await self.wait_for(self.store_port, '/rows-get?table=op', 200)
        for name, target in self.targets.items():
            await self.put('servers', name, target.make_row())
        await self.put('op', 'config', make_config(1))
        edge = self.spawn_edge()
        await self.wait_for(self.ready_port, '/readiness', 200)
        return edge

    def stop(self) -> None:
        """Kill all processes that are still running."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()


Scenario = collections.abc.Callable[
    [Deployment], collections.abc.Awaitable[None]
]


def run_scenario(
    folder: pathlib.Path,
    scenario: Scenario,
    build_target: collections.abc.Callable[[str, int], Target] = Target,
) -> None:
    """Run a scenario against a new deployment."""

    async def main() -> None:
        deployment = Deployment(folder, build_target)
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
