"""Stand-ins of the third review: store, instances, clients and daemons.

Plain Python without dependencies. The daemons are started with the command of
the deploy file, on loopback addresses, and all of them are ended by `stop`.
"""

from __future__ import annotations

import asyncio
import base64
import collections
import contextlib
import json
import os
import pathlib
import shlex
import shutil
import socket
import subprocess
import tempfile
import time
import tomllib
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
START_TIMEOUT_S = 25.0
HEARTBEAT_S = 1.5
SIGNATURE = '3e1b.07.5a2.600.0.c9f2a4d1'


def free_ports(count):
    """Find free ports on loopback."""
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind(('127.0.0.1', 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


def run(main):
    """Run a case; return its exit status, 2 if it couldn't run."""
    try:
        return asyncio.run(main())
    except (Exception, KeyboardInterrupt):
        traceback.print_exc()
        return 2


class Record:
    """Lines of `record.txt`, with the time since the start."""

    def __init__(self, path):
        self.started_s = time.monotonic()
        self._file = open(path, 'w', encoding='utf-8')

    def now_s(self):
        return time.monotonic() - self.started_s

    def line(self, text):
        self._file.write(f'{self.now_s():8.3f} {text}\n')

    def close(self):
        self._file.close()


async def read_message(reader):
    """Read one HTTP/1.1 message; return its start line, fields and body."""
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(':')
            fields[name.strip().lower()] = value.strip()
    body = b''
    if 'chunked' in fields.get('transfer-encoding', ''):
        while size := int((await reader.readline()).split(b';')[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    elif 'content-length' in fields:
        body = await reader.readexactly(int(fields['content-length']))
    return lines[0], fields, body


class Store:
    """Row store of the platform, as PROTOCOL.md describes it.

    `is_down` makes it unavailable: each call is answered with 503, which
    means that nothing was done, and long polls end. Each daemon has a port of
    its own; those in `muted_ports` get no response, while others are served.
    `poll_s_by_port` holds the time of the last long poll of each daemon.
    """

    def __init__(self):
        self.is_down = False
        self.muted_ports = set()
        self.poll_s_by_port = {}
        self._version = 0
        self._rows = {}
        self._log = []
        self._changed = asyncio.Event()
        self._started_s = time.monotonic()

    async def open(self):
        """Listen on one more port and return it."""
        server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, backlog=256
        )
        return server.sockets[0].getsockname()[1]

    def set_down(self, is_down):
        self.is_down = is_down
        self._notify()

    def put(self, table, key, value):
        """Write a row; the caller has to check `is_down`."""
        self._version += 1
        row = {
            'table': table,
            'part': '',
            'key': key,
            'value': base64.b64encode(json.dumps(value).encode()).decode(),
            'ver': self._version,
        }
        self._rows[table, key] = row
        self._log.append(row)
        self._notify()

    def remove(self, table, key):
        if self._rows.pop((table, key), None) is not None:
            self._version += 1
            self._log.append(
                {
                    'table': table,
                    'part': '',
                    'key': key,
                    'ver': self._version,
                    'deleted': True,
                }
            )
            self._notify()

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while True:
                start, _, body = await read_message(reader)
                method, target, _ = start.split(' ')
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                port = writer.get_extra_info('sockname')[1]
                if int(query.get('wait_ms', 0)) >= 1_000:
                    self.poll_s_by_port[port] = time.monotonic()
                status, content = await self._call(url.path, query, body)
                content['ver'] = content.get('ver', self._version)
                now_ms = int((time.monotonic() - self._started_s) * 1000)
                content['now'] = f'{now_ms}ms'
                data = json.dumps(content).encode()
                if port in self.muted_ports:
                    await asyncio.sleep(3600)
                writer.write(
                    b'HTTP/1.1 %d X\r\nContent-Type: application/json\r\n'
                    b'Content-Length: %d\r\n\r\n' % (status, len(data)) + data
                )
                await writer.drain()
        writer.close()

    async def _call(self, path, query, body):
        await asyncio.sleep(0.004)
        if self.is_down:
            return 503, {}
        if path == '/rows-get':
            rows = [
                row
                for (table, key), row in sorted(self._rows.items())
                if table == query['table'] and key >= query.get('from', '')
            ]
            limit = int(query.get('limit', 500))
            return 200, {'rows': rows[:limit], 'has_more': len(rows) > limit}
        if path == '/rows-feed':
            after = int(query['after'])
            end_s = time.monotonic() + int(query.get('wait_ms', 0)) / 1000
            while not self.is_down:
                rows = [
                    row
                    for row in self._log
                    if row['table'] == query['table'] and row['ver'] > after
                ]
                left_s = end_s - time.monotonic()
                if rows or left_s <= 0:
                    return 200, {'rows': rows}
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), left_s)
            return 503, {}
        if path == '/rows-tx':
            call = json.loads(body)
            for item in call.get('precondition', ()):
                row = self._rows.get((item['table'], item['key']))
                if (row['ver'] if row else 0) != item['ver']:
                    return 412, {'rows': [row] if row else []}
            for item in call.get('writes', ()):
                value = json.loads(base64.b64decode(item['value']))
                self.put(item['table'], item['key'], value)
            for item in call.get('remove', ()):
                self.remove(item['table'], item['key'])
            return 200, {'ver': self._version}
        return 404, {}


class Instance:
    """Instance of a service; a restart keeps its id and its address.

    It reports to the store at its start and each heartbeat, as long as the
    store accepts the call; its entry changes when more than `sequence` does. While it is cold it says so in its row and in its
    health responses.
    """

    def __init__(self, record, store, name, service, zone, slots, work_s):
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.warmup_s = 3.0
        self.state = 'ready'
        self.cold_until_s = 0.0
        self.crash_per_s = 0.0  # rate at which a cold instance crashes
        self.lost = []  # requests that ran when it crashed under load
        self.arrivals = []  # (time, request id, source, is cold)
        self.runs = collections.Counter()
        self.received = []  # (request id, method, target, body) of each run
        self.port = 0
        self._record = record
        self._store = store
        self._sequence = 0
        self._reported = None  # entry but for its `sequence`
        self._born_ms = 0
        self._queue_limit = 3 * slots
        self._running = 0
        self._running_ids = set()
        self._waiting = 0
        self._slots = None
        self._server = None
        self._writers = set()
        self._heart = None

    @property
    def warmup_left_ms(self):
        return max(0, int((self.cold_until_s - time.monotonic()) * 1000))

    async def start(self, is_cold):
        """Listen and report to the store; cold after a start in traffic."""
        self._slots = asyncio.Semaphore(self.slots)
        self._running = self._waiting = 0
        self._sequence = 0
        self._reported = None
        self._born_ms = time.time_ns() // 1_000_000
        self.cold_until_s = time.monotonic() + (
            self.warmup_s if is_cold else 0
        )
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', self.port, backlog=512
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self._record.line(f'{self.name} starts, cold: {is_cold}')
        self._heart = asyncio.create_task(self._beat())

    def crash(self):
        """End at once, with all connections."""
        self._heart.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self._record.line(f'{self.name} ends')

    def drain(self):
        """Report that it leaves; it goes on to serve."""
        self.state = 'draining'
        self._sequence += 1
        self._store.put('servers', self.name, self.row())
        self._record.line(f'{self.name} is draining, acknowledged')
        return time.monotonic()

    def row(self):
        return {
            'address': f'127.0.0.1:{self.port}',
            'born': self._born_ms,
            'info': {
                'service': self.service,
                'version': 'v1',
                'zone': self.zone,
                'concurrency': self.slots,
            },
            'status': {
                'state': self.state,
                'sequence': self._sequence,
                'warmup_left': f'{self.warmup_left_ms}ms',
            },
        }

    async def _beat(self):
        while True:
            self._sequence += 1
            if self._store.is_down:
                self._record.line(f'{self.name} cannot report')
                await asyncio.sleep(0.25)
                continue
            row = self.row()
            key = {**row, 'status': {**row['status'], 'sequence': 0}}
            if key != self._reported:
                self._store.put('servers', self.name, row)
                self._reported = key
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while True:
                start, fields, body = await read_message(reader)
                response = await self._respond(start, fields, body, writer)
                if response is None:
                    break
                writer.write(response)
                await writer.drain()
                if self.state != 'ready':
                    break
        self._writers.discard(writer)
        writer.close()

    def _render(self, status, fields, body=b''):
        head = ''.join(f'{name}: {value}\r\n' for name, value in fields)
        load = f'{self._running},{self._waiting},{self.slots}'
        return (
            f'HTTP/1.1 {status} X\r\n{head}Server-Load: {load}\r\n'
            f'Keep-Alive: timeout=10\r\nContent-Length: {len(body)}\r\n\r\n'
        ).encode() + body

    async def _respond(self, start, fields, body, writer):
        method, target, _ = start.split(' ')
        if target == '/health':
            return self._render(
                200 if self.state == 'ready' else 503,
                [
                    ('Instance-Id', self.name),
                    ('Warmup-Ms', self.warmup_left_ms),
                ],
            )
        request_id = fields.get('request-id', '')
        echo = ('Request-Id', request_id)
        if self.state != 'ready':
            leaving = [('Connection', 'close')]
        else:
            leaving = []
        if fields.get('target-instance', self.name) != self.name:
            return self._render(421, [echo, ('Not-Executed', '1')])
        is_cold = self.warmup_left_ms > 0
        self.arrivals.append(
            (time.monotonic(), request_id, writer.get_extra_info('peername'))
            + (is_cold,)
        )
        self._record.line(f'{self.name} gets {request_id} cold: {is_cold}')
        if is_cold and self.crash_per_s:
            since_s = time.monotonic() - 1.0
            recent = sum(item[0] > since_s for item in self.arrivals)
            if recent > self.crash_per_s:
                self._record.line(f'{self.name} gets {recent} in a second')
                self.lost += self._running_ids
                self.crash()
                return None
        if self._waiting >= self._queue_limit:
            return self._render(503, [echo, ('Not-Executed', '1')])
        self._waiting += 1
        async with self._slots:
            self._waiting -= 1
            self._running += 1
            self._running_ids.add(request_id)
            self.runs[request_id] += 1
            self.received.append((request_id, method, target, body))
            try:
                await asyncio.sleep(self.work_s * (2 if is_cold else 1))
            finally:
                self._running -= 1
                self._running_ids.discard(request_id)
        return self._render(
            200,
            [echo, ('Response-Signature', SIGNATURE), *leaving],
            f'{request_id} {self.name}'.encode(),
        )


class Edge:
    """One daemon, started with the command of the deploy file."""

    def __init__(self, deployment, name, ip, zone):
        self.name = name
        self.ip = ip
        self.zone = zone
        self.process = None
        self.store_port = 0
        self._deployment = deployment
        self._settings = deployment.folder / f'{name}.json'
        self._log = open(deployment.folder / f'{name}.log', 'ab')

    @property
    def address(self):
        return self.ip, self._deployment.ports['caller']

    def write_settings(self):
        ports = self._deployment.ports
        seeds = [
            f'{edge.ip}:{ports["peer"]}' for edge in self._deployment.edges[:3]
        ]
        self._settings.write_text(
            json.dumps(
                {
                    'host': self.name,
                    'ip': self.ip,
                    'domain': self.zone,
                    'region': self._deployment.zones[self.zone],
                    'region_by_domain': self._deployment.zones,
                    'caller_address': f'{self.ip}:{ports["caller"]}',
                    'readiness_address': f'{self.ip}:{ports["ready"]}',
                    'directory_address': f'{self.ip}:{ports["directory"]}',
                    'peer_address': f'{self.ip}:{ports["peer"]}',
                    'seeds': seeds,
                    'peer_port': ports['state'],
                    'metrics_port': ports['metrics'],
                    'link_mbps': 1500.0,
                    'processor_share': 0.645,
                    'processor_speed': 2,
                    'store_address': f'127.0.0.1:{self.store_port}',
                    'bounds': {
                        'max_shift': 0.15,
                        'stop_grace': '6s',
                        'retry_ratio': 0.2,
                        'retry_slack': 64,
                        'directory_ttl_max': '5s',
                    },
                }
            )
        )

    def spawn(self):
        environment = {
            'PATH': os.environ.get('PATH', ''),
            'HOME': os.environ.get('HOME', ''),
            'LANG': os.environ.get('LANG', 'C.UTF-8'),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'WIGEONHATCH_SETTINGS': str(self._settings),
        }
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self.process = subprocess.Popen(
            shlex.split(deploy['roles']['edge']['run']),
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
        )

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                self.ip, self._deployment.ports['ready']
            )
            writer.write(b'GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n')
            start, _, _ = await read_message(reader)
            writer.close()
            return ' 200 ' in start + ' '
        except (OSError, asyncio.IncompleteReadError):
            return False


class Deployment:
    """Store, instances and daemons of one case."""

    def __init__(self, folder, zones, edge_zones):
        """Prepare; `zones` maps zones to regions."""
        self.record = Record(pathlib.Path(folder) / 'record.txt')
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.zones = zones
        self.store = Store()
        self.instances = []
        names = ('caller', 'ready', 'directory', 'peer', 'state', 'metrics')
        self.ports = dict(zip(names, free_ports(len(names))))
        net = os.getpid() % 200 + 20
        self.edges = [
            Edge(self, f'front-{zone}-{number}', f'127.{net}.0.{number}', zone)
            for number, zone in enumerate(edge_zones, 1)
        ]

    def add_instance(self, name, service, zone, slots=6, work_s=0.05):
        instance = Instance(
            self.record, self.store, name, service, zone, slots, work_s
        )
        self.instances.append(instance)
        return instance

    async def start(self, config):
        """Start everything and wait until all daemons are ready."""
        self.store.put('op', 'config', config)
        for instance in self.instances:
            await instance.start(is_cold=False)
        for edge in self.edges:
            edge.store_port = await self.store.open()
            edge.write_settings()
            edge.spawn()
        await self.wait_ready()

    async def wait_ready(self):
        end_s = time.monotonic() + START_TIMEOUT_S
        for edge in self.edges:
            while not await edge.is_ready():
                if time.monotonic() > end_s:
                    raise RuntimeError(f'{edge.name} does not get ready')
                await asyncio.sleep(0.05)

    def stop(self):
        """End all processes that were started."""
        for edge in self.edges:
            edge.kill()
        if keep := os.environ.get('KEEP_LOGS'):
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def make_config(version, routes, services):
    return {
        'version': f'r{version}',
        'routes': routes,
        'services': services,
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 67108864,
            'header_timeout': '3000ms',
            'idle_timeout': '15000ms',
        },
    }


def make_service(warmup_per_s=5.0):
    return {
        'health_path': '/health',
        'max_conns': 390,
        'protocol': 'h1',
        'tls': False,
        'warmup': '3s',
        'warmup_per_s': warmup_per_s,
    }


def make_route(service, prefix, kind, timeout='1500ms', latency='600ms'):
    return {
        'host': 'jepu9.example',
        'prefix': prefix,
        'type': kind,
        'timeout': timeout,
        'target_latency': latency,
        'priority': 2,
        'service': service,
        'max_attempts': 2,
        'session_affinity': False,
        'home_regions': [],
    }


class Client:
    """Caller with one request at a time on a kept connection."""

    def __init__(self, record, name, host='jepu9.example'):
        self.name = name
        self.results = []  # (sent, ended, request id, status)
        self._record = record
        self._host = host
        self._count = 0
        self._connection = None

    def next_id(self):
        self._count += 1
        return f'{self.name}-{self._count:05d}'

    def close(self):
        if self._connection is not None:
            self._connection[1].close()
            self._connection = None

    async def get(self, address, path, deadline_ms=4000, body=None):
        """Send a request; return status, fields and body, or None."""
        request_id = self.next_id()
        sent_s = time.monotonic()
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                message = await self._exchange(
                    address, path, deadline_ms, body, request_id
                )
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            self.close()
            message = None
        status = 0 if message is None else int(message[0].split(' ')[1])
        self.results.append((sent_s, time.monotonic(), request_id, status))
        self._record.line(f'{request_id} answered {status or "-"}')
        return message

    async def _exchange(self, address, path, deadline_ms, body, request_id):
        if self._connection is None or self._connection[2] != address:
            self.close()
            reader, writer = await asyncio.open_connection(*address)
            self._connection = reader, writer, address
        reader, writer, _ = self._connection
        method = 'GET' if body is None else 'POST'
        length = '' if body is None else f'Content-Length: {len(body)}\r\n'
        writer.write(
            f'{method} {path} HTTP/1.1\r\nHost: {self._host}\r\n'
            f'Request-Id: {request_id}\r\nDeadline-Ms: {deadline_ms}\r\n'
            f'{length}\r\n'.encode()
            + (body or b'')
        )
        message = await read_message(reader)
        if message[1].get('connection', '').lower() == 'close':
            self.close()
        return message


def most_in_one_second(spans):
    """Largest number of spans within any second; each is (sent, arrived)."""
    return max(
        (
            sum(
                sent_s >= start_s and arrived_s <= start_s + 1.0
                for sent_s, arrived_s in spans
            )
            for start_s, _ in spans
        ),
        default=0,
    )
