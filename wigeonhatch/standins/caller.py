"""Stand-in for callers, which checks each response."""

from __future__ import annotations

import collections
import dataclasses
import random
import typing

import anyio
from hdrh import histogram
import httpcore
import msgspec

from wigeonhatch import clock as clocks
from wigeonhatch.standins import target as target_standin

LOOKUP_PATH = '/.wigeonhatch/v1/lookup'
_HIGHEST_US = 60_000_000
_KEYS_PER_LOOKUP = 16
_PART_BYTES = 65_536


@dataclasses.dataclass(frozen=True)
class LookupHost:
    """One entry host of a lookup response."""

    host: str
    address: str
    region: str = ''


@dataclasses.dataclass(frozen=True)
class Lookup:
    """Response of a lookup."""

    service: str
    hosts: list[LookupHost]
    ttl_ms: int
    version: int = 0
    keys: list[str] = dataclasses.field(default_factory=list)
    bucket: int = -1


@dataclasses.dataclass(frozen=True)
class Plan:
    """One kind of request in a load.

    Args:
        service: Name of the service.
        weight: Part of the load.
        method: HTTP method.
        request_bytes: Length of the request body.
        response_bytes: Length of the response body.
        non_idempotent: Whether the request is marked non-idempotent.
        customer: Name of the customer.
    """

    service: str
    weight: float = 1.0
    method: str = 'GET'
    request_bytes: int = 0
    response_bytes: int = 512
    non_idempotent: bool = False
    customer: str = ''


@dataclasses.dataclass
class Report:
    """What a load run saw."""

    sent: int = 0
    served: int = 0
    wrong: int = 0
    doubled: int = 0
    failed_lookups: int = 0
    count_by_code: dict[str, int] = dataclasses.field(default_factory=dict)
    count_by_target: dict[str, int] = dataclasses.field(default_factory=dict)
    median_ms: float = 0.0
    p99_ms: float = 0.0
    p999_ms: float = 0.0
    keys_served: list[str] = dataclasses.field(default_factory=list)
    served_by_second: dict[int, int] = dataclasses.field(default_factory=dict)
    failed_by_second: dict[int, int] = dataclasses.field(default_factory=dict)


class _Connections:
    """Idle connections to entry hosts by address."""

    def __init__(self) -> None:
        self._idle_by_address: dict[
            str, list[httpcore.AsyncHTTPConnection]
        ] = {}

    def take(self, address: str) -> httpcore.AsyncHTTPConnection:
        idle = self._idle_by_address.setdefault(address, [])
        while idle:
            connection = idle.pop()
            if connection.is_available() and not connection.has_expired():
                return connection
        host, _, port = address.rpartition(':')
        origin = httpcore.Origin(b'http', host.encode(), int(port))
        return httpcore.AsyncHTTPConnection(origin, keepalive_expiry=20)

    async def put(
        self, address: str, connection: httpcore.AsyncHTTPConnection
    ) -> None:
        if connection.is_idle():
            self._idle_by_address[address].append(connection)
        else:
            with anyio.CancelScope(shield=True):
                await connection.aclose()


@dataclasses.dataclass
class _CachedLookup:
    lookup: Lookup
    until_ms: int
    keys: list[str]


class Caller:
    """Send requests as a caller does: look up, cache, try the next host.

    Args:
        addresses: Callers' addresses of some entry hosts.
        seed: Seed of the random choices.
        one_way_ms: Delay added before sending and after receiving.
    """

    def __init__(
        self, addresses: list[str], seed: int = 1, one_way_ms: float = 0.0
    ) -> None:
        self.report = Report()
        self._addresses = addresses
        self._random = random.Random(seed)
        self._one_way_ms = one_way_ms
        self._clock = clocks.Clock()
        self._started_ms = self._clock.now_ms
        self._connections = _Connections()
        self._cached_by_service: dict[tuple[str, str], _CachedLookup] = {}
        self._latency_us = histogram.HdrHistogram(1, _HIGHEST_US, 3)
        self._codes: collections.Counter[str] = collections.Counter()
        self._targets: collections.Counter[str] = collections.Counter()

    async def look_up(self, plan: Plan, client: str) -> _CachedLookup | None:
        """Ask entry hosts in turn which hosts to use.

        Args:
            plan: Kind of the request.
            client: Address of the client.

        Returns:
            The response, from the cache while its TTL lasts; None if no host
            answered.
        """
        name = (plan.service, client)
        cached = self._cached_by_service.get(name)
        if cached is None or cached.until_ms <= self._clock.now_ms:
            addresses = list(self._addresses)
            self._random.shuffle(addresses)
            lookup = await self._ask(addresses, plan.service, client, 0)
            if lookup is None:
                self.report.failed_lookups += 1
                return None
            until_ms = self._clock.now_ms + lookup.ttl_ms
            cached = _CachedLookup(lookup, until_ms, [])
            self._cached_by_service[name] = cached
        if plan.non_idempotent and not cached.keys:
            # Keys of the host that will be used save a hop to their issuer.
            addresses = [host.address for host in cached.lookup.hosts]
            issued = await self._ask(
                addresses, plan.service, client, _KEYS_PER_LOOKUP
            )
            if issued is None:
                self.report.failed_lookups += 1
                self._cached_by_service.pop(name, None)
                return None
            cached.keys.extend(issued.keys)
        return cached

    async def _ask(
        self, addresses: list[str], service: str, client: str, keys: int
    ) -> Lookup | None:
        path = f'{LOOKUP_PATH}?service={service}&client={client}&keys={keys}'
        for address in addresses:
            connection = self._connections.take(address)
            try:
                with anyio.fail_after(2):
                    response = await connection.request(
                        'GET', f'http://{address}{path}'
                    )
                await self._connections.put(address, connection)
            except (OSError, TimeoutError, *_HTTP_ERRORS):
                continue
            if response.status != 200:
                continue
            lookup = msgspec.json.decode(response.content, type=Lookup)
            if lookup.hosts:
                return lookup
        return None

    async def send(
        self,
        plan: Plan,
        client: str,
        deadline_ms: int = 5_000,
    ) -> str:
        """Send one request and check its response.

        Args:
            plan: Kind of the request.
            client: Address of the client.
            deadline_ms: Deadline passed on, in ms.

        Returns:
            Name of the result code.
        """
        self.report.sent += 1
        cached = await self.look_up(plan, client)
        if cached is None:
            self._codes['LOOKUP_FAILED'] += 1
            return 'LOOKUP_FAILED'
        key = ''
        if plan.non_idempotent:
            key = cached.keys.pop()
        request_id = f'{self._random.getrandbits(64):016x}'
        started_ns = self._clock.now_ns
        code = 'HOST_UNREACHABLE'
        hosts = cached.lookup.hosts
        if key:
            # A key is tried at its issuer first.
            issuer = key.partition('.')[0]
            hosts = sorted(hosts, key=lambda item: item.host != issuer)
        for host in hosts[:3]:
            code = await self._attempt(
                plan,
                host,
                client,
                cached.lookup.bucket,
                request_id,
                key,
                deadline_ms,
            )
            if code != 'CONNECT_FAILED':
                break
            self._cached_by_service.pop((plan.service, client), None)
        self._codes[code] += 1
        self._count_second(code)
        if code == 'OK':
            self.report.served += 1
            elapsed_us = (self._clock.now_ns - started_ns) // 1_000
            self._latency_us.record_value(max(1, elapsed_us))
            if key:
                self.report.keys_served.append(key)
        return code

    def _count_second(self, code: str) -> None:
        second = (self._clock.now_ms - self._started_ms) // 1_000
        report = self.report
        counts = report.failed_by_second
        if code == 'OK':
            counts = report.served_by_second
        counts[second] = counts.get(second, 0) + 1

    def finish(self) -> Report:
        """Complete the report with counts and percentiles."""
        self.report.count_by_code = dict(self._codes)
        self.report.count_by_target = dict(self._targets)
        for name, percentile in (
            ('median_ms', 50.0),
            ('p99_ms', 99.0),
            ('p999_ms', 99.9),
        ):
            value = self._latency_us.get_value_at_percentile(percentile)
            setattr(self.report, name, value / 1_000)
        return self.report

    async def _attempt(
        self,
        plan: Plan,
        host: LookupHost,
        client: str,
        bucket: int,
        request_id: str,
        key: str,
        deadline_ms: int,
    ) -> str:
        headers = _headers(plan, client, bucket, request_id, key, deadline_ms)
        headers.append((b'Host', host.address.encode()))
        connection = self._connections.take(host.address)
        await anyio.sleep(self._one_way_ms / 1_000)
        request = httpcore.Request(
            plan.method,
            f'http://{host.address}/{plan.service}/items',
            headers=headers,
            content=_parts(plan.request_bytes),
        )
        try:
            with anyio.fail_after(deadline_ms / 1_000 + 2):
                response = await connection.handle_async_request(request)
                content = await response.aread()
                await response.aclose()
        except (httpcore.ConnectError, httpcore.ConnectTimeout):
            return 'CONNECT_FAILED'
        except (TimeoutError, *_HTTP_ERRORS) as error:
            await connection.aclose()
            return type(error).__name__
        await self._connections.put(host.address, connection)
        await anyio.sleep(self._one_way_ms / 1_000)
        return self._check(plan, request_id, response, content)

    def _check(
        self,
        plan: Plan,
        request_id: str,
        response: httpcore.Response,
        content: bytes,
    ) -> str:
        if response.status != 200:
            try:
                return str(msgspec.json.decode(content)['name'])
            except (msgspec.DecodeError, KeyError, TypeError):
                return f'HTTP_{response.status}'
        expected = target_standin.expected_body(
            request_id, plan.response_bytes
        )
        if content != expected:
            self.report.wrong += 1
            return 'WRONG_RESPONSE'
        fields = {name.lower(): value for name, value in response.headers}
        self._targets[fields.get(b'x-target', b'?').decode()] += 1
        return 'OK'


_HTTP_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    httpcore.ConnectionNotAvailable,
)


def _headers(
    plan: Plan,
    client: str,
    bucket: int,
    request_id: str,
    key: str,
    deadline_ms: int,
) -> list[tuple[bytes, bytes]]:
    fields = [
        ('Wigeonhatch-Request-Id', request_id),
        ('Wigeonhatch-Client', client),
        ('Wigeonhatch-Deadline-Ms', str(deadline_ms)),
        ('X-Response-Bytes', str(plan.response_bytes)),
    ]
    if bucket >= 0:
        fields.append(('Wigeonhatch-Bucket', str(bucket)))
    if plan.customer:
        fields.append(('Wigeonhatch-Customer', plan.customer))
    if plan.non_idempotent:
        fields.append(('Wigeonhatch-Non-Idempotent', '1'))
        fields.append(('Idempotency-Key', key))
    if plan.request_bytes or plan.method != 'GET':
        fields.append(('Content-Length', str(plan.request_bytes)))
    return [(name.encode(), value.encode()) for name, value in fields]


async def _parts(size: int) -> typing.AsyncIterator[bytes]:
    for start in range(0, size, _PART_BYTES):
        yield b'u' * min(_PART_BYTES, size - start)
