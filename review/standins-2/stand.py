"""Stand-ins of the second review: store, instances, clients, links.

They use the standard library alone, on loopback addresses and the real clock.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import typing
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.5
AFFINITY_KEYS = 60
HEADER_END = b'\r\n\r\n'


def now_s() -> float:
    """Return the steady clock in s."""
    return time.monotonic()


class Record:
    """Lines of `record.txt`, with the time since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self.started_s = now_s()
        self._file = path.open('w')

    def write(self, text: str) -> None:
        """Write one line."""
        if not self._file.closed:
            self._file.write(f'{now_s() - self.started_s:9.3f} {text}\n')

    def close(self) -> None:
        """Close the file."""
        self._file.close()


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes] | None:
    """Read a request or a response with a declared length; None at the end."""
    try:
        head = await reader.readuntil(HEADER_END)
        lines = head.decode('latin-1').split('\r\n')
        fields = {}
        for line in lines[1:]:
            if line:
                name, _, value = line.partition(':')
                fields[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(fields.get('content-length', 0)))
    except (asyncio.IncompleteReadError, OSError):
        return None
    return lines[0], fields, body


class Store:
    """The platform's store: rows with versions, and feeds of changes."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._version = 0
        self._rows: dict[tuple[str, str], dict[str, typing.Any]] = {}
        self._log: list[dict[str, typing.Any]] = []
        self._changed = asyncio.Event()
        self._servers: list[asyncio.Server] = []
        self.cut_hosts: set[str] = set()
        self._connections: set[asyncio.Task[typing.Any]] = set()

    def silence(self) -> None:
        """Let all open connections go silent for good; new ones work."""
        for task in self._connections:
            task.cancel()
        self._record.write(f'{len(self._connections)} connections go silent')
        self._connections = set()

    async def listen(self, host: str, ip: str) -> str:
        """Listen for the calls of one host; return the address."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            task = asyncio.ensure_future(self._serve(host, reader, writer))
            self._connections.add(task)
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.wait({task})
                if task.cancelled():
                    await asyncio.sleep(600)
            self._connections.discard(task)
            writer.transport.abort()

        server = await asyncio.start_server(serve, ip, 0)
        self._servers.append(server)
        port = server.sockets[0].getsockname()[1]
        return f'{ip}:{port}'

    def close(self) -> None:
        """Stop listening."""
        for server in self._servers:
            server.close()

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row as JSON."""
        self._append(table, key, json.dumps(value).encode())

    def remove(self, table: str, key: str) -> None:
        """Drop a row."""
        if (table, key) in self._rows:
            self._append(table, key, None)

    def _append(self, table: str, key: str, value: bytes | None) -> None:
        self._version += 1
        row: dict[str, typing.Any] = {
            'table': table,
            'part': '',
            'key': key,
            'ver': self._version,
        }
        if value is None:
            self._rows.pop((table, key), None)
            row['deleted'] = True
        else:
            row['value'] = base64.b64encode(value).decode()
            self._rows[table, key] = row
        self._log.append(row)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _wait_healed(self, host: str) -> None:
        while host in self.cut_hosts:
            await asyncio.sleep(0.02)

    async def _serve(
        self,
        host: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        with contextlib.suppress(OSError):
            while (message := await read_message(reader)) is not None:
                await self._wait_healed(host)
                line, _, body = message
                status, reply = await self._handle(line.split(' ')[1], body)
                await self._wait_healed(host)
                now_ms = int(now_s() * 1_000)
                reply |= {'ver': self._version, 'now': f'{now_ms}ms'}
                content = json.dumps(reply).encode()
                writer.write(
                    f'HTTP/1.1 {status} X\r\n'
                    'Content-Type: application/json\r\n'
                    f'Content-Length: {len(content)}\r\n\r\n'.encode()
                    + content
                )
                await writer.drain()

    async def _handle(
        self, target: str, body: bytes
    ) -> tuple[int, dict[str, typing.Any]]:
        path, _, query_text = target.partition('?')
        query = dict(urllib.parse.parse_qsl(query_text))
        if path == '/rows-get':
            rows = [
                row
                for (table, key), row in sorted(self._rows.items())
                if table == query['table'] and key >= query.get('from', '')
            ]
            return 200, {'rows': rows[:500], 'has_more': len(rows) > 500}
        if path == '/rows-feed':
            after = int(query['after'])
            end_s = now_s() + int(query['wait_ms']) / 1_000
            while True:
                newest = {
                    row['key']: row
                    for row in self._log
                    if row['table'] == query['table'] and row['ver'] > after
                }
                left_s = end_s - now_s()
                if newest or left_s <= 0:
                    rows = sorted(newest.values(), key=lambda r: r['ver'])
                    return 200, {'rows': rows}
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), left_s)
        if path == '/rows-tx':
            call = json.loads(body)
            for row in call['writes']:
                self._append(
                    row['table'], row['key'], base64.b64decode(row['value'])
                )
            for row in call['remove']:
                if (row['table'], row['key']) in self._rows:
                    self._append(row['table'], row['key'], None)
            return 200, {}
        return 404, {}


class Instance:
    """An instance: slots, a queue, a warm-up, an entry in the store."""

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        slots: int,
        work_s: float,
        store: Store,
        record: Record,
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.state = 'ready'
        self.cold_until_s = 0.0
        self.arrivals: list[tuple[float, bool, str]] = []
        self.ran = 0
        self.run_ids: set[str] = set()
        self.shed = 0
        self._born = int(time.time() * 1_000)
        self._sequence = 0
        self._written: tuple[str, int] | None = None
        self._store = store
        self._record = record
        self._running = 0
        self._waiting = 0
        self._free = asyncio.Semaphore(slots)
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ''

    @property
    def is_cold(self) -> bool:
        """Whether the instance is cold now."""
        return now_s() < self.cold_until_s

    async def start(self, warmup_s: float = 0.0) -> None:
        """Listen, and write the entry now and at every heartbeat."""
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, backlog=512
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        self.cool(warmup_s)
        self._beats = asyncio.ensure_future(self._beat())

    def cool(self, warmup_s: float) -> None:
        """Become cold for some time."""
        self.cold_until_s = now_s() + warmup_s

    def close(self) -> None:
        """Stop listening and writing."""
        if self._server is not None:
            self._server.close()
        if self._beats is not None:
            self._beats.cancel()

    def leave(self) -> None:
        """Remove the entry without a notice, and go on to serve."""
        if self._beats is not None:
            self._beats.cancel()
        self._store.remove('servers', self.name)
        self._record.write(f'entry {self.name} removed')

    def crash(self) -> None:
        """Stop at once: connections are reset and new ones refused."""
        self.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self._record.write(f'crash {self.name}')

    def write_entry(self) -> None:
        """Write the entry to the store."""
        self._sequence += 1
        left_ms = max(0, round((self.cold_until_s - now_s()) * 1_000))
        if self._written == (self.state, left_ms):
            # The entry changes when more than `sequence` changes.
            return
        self._written = (self.state, left_ms)
        self._store.put(
            'servers',
            self.name,
            {
                'address': self.address,
                'born': self._born,
                'info': {
                    'service': self.service,
                    'version': 'v1',
                    'zone': self.zone,
                    'concurrency': self.slots,
                },
                'status': {
                    'state': self.state,
                    'sequence': self._sequence,
                    'warmup_left': f'{left_ms}ms',
                },
            },
        )
        self._record.write(f'entry {self.name} warmup_left={left_ms}ms')

    async def _beat(self) -> None:
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while (message := await read_message(reader)) is not None:
                await self._answer(message, writer)
        self._writers.discard(writer)
        writer.transport.abort()

    async def _answer(
        self,
        message: tuple[str, dict[str, str], bytes],
        writer: asyncio.StreamWriter,
    ) -> None:
        line, fields, _ = message
        cold_ms = max(0, round((self.cold_until_s - now_s()) * 1_000))
        if line.split(' ')[1] == '/health':
            await self._reply(writer, 200, '', f'Warmup-Ms: {cold_ms}', b'')
            return
        request_id = fields.get('request-id', '')
        if fields.get('target-instance', self.name) != self.name:
            await self._reply(writer, 421, request_id, 'Not-Executed: 1', b'')
            return
        self.arrivals.append((now_s(), self.is_cold, request_id))
        self._record.write(
            f'arrival {request_id} at {self.name}'
            + (' cold' if self.is_cold else '')
        )
        if self._waiting >= 3 * self.slots:
            self.shed += 1
            await self._reply(writer, 503, request_id, 'Not-Executed: 1', b'')
            return
        self._waiting += 1
        await self._free.acquire()
        self._waiting -= 1
        self._running += 1
        self.run_ids.add(request_id)
        try:
            await asyncio.sleep(self.work_s * (2 if self.is_cold else 1))
        finally:
            self._running -= 1
            self._free.release()
        self.ran += 1
        body = f'{self.name} {request_id}'.encode()
        await self._reply(
            writer,
            200,
            request_id,
            f'Response-Signature: {self.name}.{request_id}',
            body,
        )

    async def _reply(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        request_id: str,
        field: str,
        body: bytes,
    ) -> None:
        writer.write(
            f'HTTP/1.1 {status} X\r\nRequest-Id: {request_id}\r\n'
            f'Instance-Id: {self.name}\r\n'
            f'Server-Load: {self._running},{self._waiting},{self.slots}\r\n'
            f'{field}\r\nContent-Length: {len(body)}\r\n\r\n'.encode()
            + body
        )
        await writer.drain()


def most_in_a_second(times: list[tuple[float, float]]) -> int:
    """Return the most requests that were sent and arrived within one second.

    Args:
        times: When each was sent by its client, and when it arrived.
    """
    return max(
        (
            sum(
                end - 1.0 < sent_s and arrived_s <= end
                for sent_s, arrived_s in times
            )
            for _, end in times
        ),
        default=0,
    )


class _Datagrams(asyncio.DatagramProtocol):
    """One direction of the heartbeats between two hosts."""

    def __init__(self, links: Links, pair: frozenset[str], to: typing.Any):
        self._links = links
        self._pair = pair
        self._to = to
        self._transport: typing.Any = None

    def connection_made(self, transport: typing.Any) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, addr: typing.Any) -> None:
        if not self._links.is_cut(self._pair):
            self._links.sender(addr[0]).sendto(data, self._to)


class Links:
    """Links between the hosts, which can be cut silently.

    Each host sends to its peers at the ports of its own settings; these differ
    between hosts, so that a proxy stands at each.
    """

    def __init__(self) -> None:
        self.cut_hosts: set[str] = set()
        self._sender_by_ip: dict[str, typing.Any] = {}
        self._servers: list[asyncio.Server] = []
        self._transports: list[typing.Any] = []

    def is_cut(self, pair: frozenset[str]) -> bool:
        """Tell whether a link is cut."""
        return bool(pair & self.cut_hosts)

    def sender(self, ip: str) -> typing.Any:
        """Return a socket bound to the address of the sending host."""
        if ip not in self._sender_by_ip:
            item = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            item.bind((ip, 0))
            item.setblocking(False)
            self._sender_by_ip[ip] = item
        return self._sender_by_ip[ip]

    async def open(self, first: Host, second: Host) -> None:
        """Open the link from one host to another."""
        loop = asyncio.get_running_loop()
        pair = frozenset((first.name, second.name))
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _Datagrams(self, pair, (second.ip, second.peer_port)),
            local_addr=(second.ip, first.peer_port),
        )
        self._transports.append(transport)
        for port, upstream in (
            (first.peer_port, second.peer_port),
            (first.rows_port, second.rows_port),
        ):
            await self._open_tcp(pair, second.ip, port, upstream)

    async def _open_tcp(
        self, pair: frozenset[str], ip: str, port: int, upstream: int
    ) -> None:
        async def forward(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            while data := await reader.read(65_536):
                while self.is_cut(pair):
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            other: asyncio.StreamWriter | None = None
            with contextlib.suppress(OSError, asyncio.CancelledError):
                back, other = await asyncio.open_connection(ip, upstream)
                tasks = [
                    asyncio.ensure_future(forward(reader, other)),
                    asyncio.ensure_future(forward(back, writer)),
                ]
                await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
                for task in tasks:
                    task.cancel()
            writer.close()
            if other is not None:
                other.close()

        self._servers.append(await asyncio.start_server(serve, ip, port))

    def close(self) -> None:
        """Close all links."""
        for server in self._servers:
            server.close()
        for transport in self._transports:
            transport.close()
        for item in self._sender_by_ip.values():
            item.close()


class Host:
    """One daemon of the system under test."""

    def __init__(
        self, number: int, zone: str, region: str, net: int, ports: list[int]
    ) -> None:
        self.name = f'front-{zone}-{number}'
        self.ip = f'127.{net}.0.{number + 1}'
        self.zone = zone
        self.region = region
        self.ports = ports[:4]
        self.peer_port, self.rows_port = ports[4:]
        self.store_address = ''
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def address(self) -> tuple[str, int]:
        """Address for clients."""
        return self.ip, self.ports[0]


def free_ports(count: int) -> list[int]:
    """Find ports that are free on all loopback addresses."""
    sockets = []
    for _ in range(count):
        item = socket.socket()
        item.bind(('0.0.0.0', 0))
        sockets.append(item)
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


class Deployment:
    """A small deployment: store, instances, daemons and clients."""

    def __init__(
        self,
        folder: pathlib.Path,
        zones: dict[str, str],
        places: list[str],
        has_links: bool = True,
    ) -> None:
        self.record = Record(folder / 'record.txt')
        self.store = Store(self.record)
        self.links = Links()
        self.instances: list[Instance] = []
        self.statuses: dict[str, int] = {}
        self.sent_s: dict[str, float] = {}
        self._zones = zones
        self._scratch = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        if os.environ.get('KEEP'):
            print(f'logs in {self._scratch}')
        net = random.randrange(10, 250)
        ports = free_ports(4 + 2 * len(places))
        if not has_links:
            ports = ports[:4] + len(places) * ports[4:6]
        self._has_links = has_links
        self.hosts = [
            Host(
                number,
                zone,
                zones[zone],
                net,
                ports[:4] + ports[4 + 2 * number : 6 + 2 * number],
            )
            for number, zone in enumerate(places)
        ]
        self._tasks: list[asyncio.Task[None]] = []
        self._serial = 0

    async def start(self) -> None:
        """Open the links and start all daemons."""
        for host in self.hosts:
            host.store_address = await self.store.listen(
                host.name, '127.0.0.1'
            )
            for other in self.hosts:
                if other is not host and self._has_links:
                    await self.links.open(host, other)
        for host in self.hosts:
            self.spawn(host)
        for host in self.hosts:
            await self.wait_ready(host)

    def spawn(self, host: Host) -> None:
        """Start a daemon with the command of the deploy file."""
        caller, ready, directory, metrics = host.ports
        settings = {
            'host': host.name,
            'ip': host.ip,
            'domain': host.zone,
            'region': host.region,
            'region_by_domain': self._zones,
            'caller_address': f'{host.ip}:{caller}',
            'readiness_address': f'{host.ip}:{ready}',
            'directory_address': f'{host.ip}:{directory}',
            'peer_address': f'{host.ip}:{host.rows_port}',
            'seeds': [f'{h.ip}:{host.rows_port}' for h in self.hosts[:3]],
            'peer_port': host.peer_port,
            'metrics_port': metrics,
            'link_mbps': 1000.0,
            'processor_share': 0.86,
            'processor_speed': 1,
            'store_address': host.store_address,
            'bounds': {
                'max_shift': 0.15,
                'stop_grace': '6s',
                'retry_ratio': 0.2,
                'retry_slack': 58,
                'directory_ttl_max': '5s',
            },
        }
        path = self._scratch / f'{host.name}.json'
        path.write_text(json.dumps(settings))
        with (self._scratch / f'{host.name}.log').open('ab') as log:
            host.process = subprocess.Popen(
                [sys.executable, '-m', 'wigeonhatch', 'edge'],
                cwd=ROOT,
                env={
                    'PATH': os.environ.get('PATH', ''),
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'WIGEONHATCH_SETTINGS': str(path),
                },
                stdout=log,
                stderr=log,
            )
        self.record.write(f'start {host.name}')

    async def wait_ready(self, host: Host, limit_s: float = 30.0) -> None:
        """Wait until a daemon says that it is ready."""
        end_s = now_s() + limit_s
        while now_s() < end_s:
            reply = await call(
                (host.ip, host.ports[1]), 'GET', '/readiness', {}, b'', 1.0
            )
            if reply is not None and reply[0] == 200:
                self.record.write(f'ready {host.name}')
                return
            await asyncio.sleep(0.02)
        raise TimeoutError(f'{host.name} is not ready')

    async def signal(self, host: Host, number: signal.Signals) -> None:
        """Send a signal to a daemon that this test started."""
        assert host.process is not None
        host.process.send_signal(number)
        self.record.write(f'{number.name} {host.name}')

    async def wait_exit(self, host: Host) -> None:
        """Wait until a daemon has ended."""
        assert host.process is not None
        while host.process.poll() is None:
            await asyncio.sleep(0.01)
        self.record.write(f'ended {host.name}')

    def load(
        self,
        host: Host,
        per_s: float,
        method: str,
        path: str,
        limit_s: float,
        host_name: str = 'shop.example',
    ) -> None:
        """Send requests to a host at a steady rate until the end."""

        async def send(request_id: str) -> None:
            self.sent_s[request_id] = now_s()
            self.record.write(f'sent {request_id} to {host.name}')
            reply = await call(
                host.address,
                method,
                path,
                {
                    'Host': host_name,
                    'Request-Id': request_id,
                    'Affinity-Key': str(random.randrange(AFFINITY_KEYS)),
                    'Deadline-Ms': str(int(limit_s * 1_000)),
                },
                b'',
                limit_s,
            )
            status = 'none' if reply is None else str(reply[0])
            self.statuses[status] = self.statuses.get(status, 0) + 1
            self.record.write(f'answered {request_id} {status}')

        async def run() -> None:
            next_s = now_s() + random.random() / per_s
            running: set[asyncio.Task[None]] = set()
            while True:
                await asyncio.sleep(max(0.0, next_s - now_s()))
                next_s += 1 / per_s
                self._serial += 1
                task = asyncio.ensure_future(send(f'q{self._serial}'))
                running.add(task)
                task.add_done_callback(running.discard)

        self._tasks.append(asyncio.ensure_future(run()))

    def close(self) -> None:
        """End all processes and stand-ins."""
        for task in self._tasks:
            task.cancel()
        for host in self.hosts:
            if host.process is not None and host.process.poll() is None:
                host.process.kill()
                host.process.wait()
        for instance in self.instances:
            instance.close()
        self.links.close()
        self.store.close()
        self.record.close()
        if not os.environ.get('KEEP'):
            shutil.rmtree(self._scratch, ignore_errors=True)


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    fields: dict[str, str],
    body: bytes,
    limit_s: float,
) -> tuple[int, dict[str, str], bytes] | None:
    """Send one request over a new connection; None without an answer."""
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(*address)
            head = ''.join(f'{k}: {v}\r\n' for k, v in fields.items())
            if body or method != 'GET':
                head += f'Content-Length: {len(body)}\r\n'
            writer.write(f'{method} {path} HTTP/1.1\r\n{head}\r\n'.encode())
            writer.write(body)
            reply = await read_message(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.transport.abort()
    if reply is None:
        return None
    return int(reply[0].split(' ')[1]), reply[1], reply[2]


def run_case(
    main: typing.Callable[
        [bool], typing.Coroutine[typing.Any, typing.Any, int]
    ],
) -> None:
    """Run a case; exit with 2 if it could not run."""
    is_troubled = os.environ.get('TROUBLE', '1') != '0'
    try:
        status = asyncio.run(asyncio.wait_for(main(is_troubled), 115))
    except Exception as error:
        print(f'could not run: {error!r}')
        status = 2
    sys.exit(status)
