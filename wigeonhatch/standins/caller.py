"""Stand-in for a caller: sends requests and verifies each response."""

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
_MAX_LATENCY_US = 60_000_000
_KEYS_PER_LOOKUP = 16
_CHUNK_BYTES = 65_536


@dataclasses.dataclass(frozen=True)
class LookupHost:
    """Entry host in a lookup response."""

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
    """Kind of request in a generated load.

    Args:
        service: Name of the service.
        weight: Relative frequency in the load.
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
    """Results of a load run, as observed by the caller."""

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


class _ConnectionPool:
    """Pool of idle connections to entry hosts, by address."""

    def __init__(self) -> None:
        self._idle_by_address: dict[
            str, list[httpcore.AsyncHTTPConnection]
        ] = {}

    def acquire(self, address: str) -> httpcore.AsyncHTTPConnection:
        idle = self._idle_by_address.setdefault(address, [])
        while idle:
            connection = idle.pop()
            if connection.is_available() and not connection.has_expired():
                return connection
        host, _, port = address.rpartition(':')
        origin = httpcore.Origin(b'http', host.encode(), int(port))
        return httpcore.AsyncHTTPConnection(origin, keepalive_expiry=20)

    async def release(
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
    expires_ms: int
    keys: list[str]


class Caller:
    """Caller that caches lookups and fails over to the next host.

    Args:
        addresses: Caller-facing addresses of entry hosts to query.
        seed: Seed of the random number generator.
        one_way_ms: Simulated network delay in each direction, in ms.
    """

    def __init__(
        self, addresses: list[str], seed: int = 1, one_way_ms: float = 0.0
    ) -> None:
        self.report = Report()
        self._addresses = addresses
        self._rng = random.Random(seed)
        self._one_way_ms = one_way_ms
        self._clock = clocks.Clock()
        self._started_ms = self._clock.now_ms
        self._pool = _ConnectionPool()
        self._cache: dict[tuple[str, str], _CachedLookup] = {}
        self._latency_us = histogram.HdrHistogram(1, _MAX_LATENCY_US, 3)
        self._codes: collections.Counter[str] = collections.Counter()
        self._targets: collections.Counter[str] = collections.Counter()

    async def look_up(self, plan: Plan, client: str) -> _CachedLookup | None:
        """Look up the hosts for a request, from the cache if possible.

        Args:
            plan: Kind of the request.
            client: Address of the client.

        Returns:
            The lookup, from the cache until its TTL expires; None if no entry
            host returned any hosts.
        """
        cache_key = (plan.service, client)
        cached = self._cache.get(cache_key)
        if cached is None or cached.expires_ms <= self._clock.now_ms:
            addresses = list(self._addresses)
            self._rng.shuffle(addresses)
            lookup = await self._fetch_lookup(
                addresses, plan.service, client, 0
            )
            if lookup is None:
                self.report.failed_lookups += 1
                return None
            expires_ms = self._clock.now_ms + lookup.ttl_ms
            cached = _CachedLookup(lookup, expires_ms, [])
            self._cache[cache_key] = cached
        if plan.non_idempotent and not cached.keys:
            # Keys issued by the serving host save a hop to another issuer.
            addresses = [host.address for host in cached.lookup.hosts]
            key_lookup = await self._fetch_lookup(
                addresses, plan.service, client, _KEYS_PER_LOOKUP
            )
            if key_lookup is None:
                self.report.failed_lookups += 1
                self._cache.pop(cache_key, None)
                return None
            cached.keys.extend(key_lookup.keys)
        return cached

    async def _fetch_lookup(
        self, addresses: list[str], service: str, client: str, keys: int
    ) -> Lookup | None:
        path = f'{LOOKUP_PATH}?service={service}&client={client}&keys={keys}'
        for address in addresses:
            connection = self._pool.acquire(address)
            try:
                with anyio.fail_after(2):
                    response = await connection.request(
                        'GET', f'http://{address}{path}'
                    )
                await self._pool.release(address, connection)
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
        """Send one request and verify its response.

        Args:
            plan: Kind of the request.
            client: Address of the client.
            deadline_ms: Deadline sent with the request, in ms.

        Returns:
            Result code, or the name of a client-side error.
        """
        self.report.sent += 1
        cached = await self.look_up(plan, client)
        if cached is None:
            self._codes['LOOKUP_FAILED'] += 1
            return 'LOOKUP_FAILED'
        key = ''
        if plan.non_idempotent:
            key = cached.keys.pop()
        request_id = f'{self._rng.getrandbits(64):016x}'
        started_ns = self._clock.now_ns
        code = 'HOST_UNREACHABLE'
        hosts = cached.lookup.hosts
        if key:
            # The request goes to the issuer of its key first.
            issuer = key.partition('.')[0]
            hosts = sorted(hosts, key=lambda item: item.host != issuer)
        for host in hosts[:3]:
            code = await self._send_to_host(
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
            self._cache.pop((plan.service, client), None)
        self._codes[code] += 1
        self._count_by_second(code)
        if code == 'OK':
            self.report.served += 1
            elapsed_us = (self._clock.now_ns - started_ns) // 1_000
            self._latency_us.record_value(max(1, elapsed_us))
            if key:
                self.report.keys_served.append(key)
        return code

    def _count_by_second(self, code: str) -> None:
        second = (self._clock.now_ms - self._started_ms) // 1_000
        report = self.report
        counts = report.failed_by_second
        if code == 'OK':
            counts = report.served_by_second
        counts[second] = counts.get(second, 0) + 1

    def finish(self) -> Report:
        """Add the counts and latency percentiles to the report."""
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

    async def _send_to_host(
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
        connection = self._pool.acquire(host.address)
        await anyio.sleep(self._one_way_ms / 1_000)
        request = httpcore.Request(
            plan.method,
            f'http://{host.address}/{plan.service}/items',
            headers=headers,
            content=_iterate_body(plan.request_bytes),
        )
        try:
            with anyio.fail_after(deadline_ms / 1_000 + 2):
                response = await connection.handle_async_request(request)
                body = await response.aread()
                await response.aclose()
        except (httpcore.ConnectError, httpcore.ConnectTimeout):
            return 'CONNECT_FAILED'
        except (TimeoutError, *_HTTP_ERRORS) as error:
            await connection.aclose()
            return type(error).__name__
        await self._pool.release(host.address, connection)
        await anyio.sleep(self._one_way_ms / 1_000)
        return self._check_response(plan, request_id, response, body)

    def _check_response(
        self,
        plan: Plan,
        request_id: str,
        response: httpcore.Response,
        body: bytes,
    ) -> str:
        if response.status != 200:
            try:
                return str(msgspec.json.decode(body)['name'])
            except (msgspec.DecodeError, KeyError, TypeError):
                return f'HTTP_{response.status}'
        expected = target_standin.expected_body(
            request_id, plan.response_bytes
        )
        if body != expected:
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


async def _iterate_body(size: int) -> typing.AsyncIterator[bytes]:
    for start in range(0, size, _CHUNK_BYTES):
        yield b'u' * min(_CHUNK_BYTES, size - start)
