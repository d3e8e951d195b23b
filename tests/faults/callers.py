"""Callers of the soak test: lookups, persistent connections and probes."""

from __future__ import annotations

import asyncio
import json
import random

import httpcore

from tests.faults import bounds
from tests.faults import crash_rule
from tests.faults import fleet as fleets
from tests.faults import ledger as ledgers

REQUEST_TIMEOUT_MS = 4_000
LOOKUP_TIMEOUT_S = 1.0
PROBE_INTERVAL_MS = 400
DEADLY_PAUSE_MS = 100
"""Maximum pause between repeats of a request that crashes targets."""
_METHOD_BY_KIND = {'read': 'GET', 'write': 'POST', 'photo': 'POST'}
_AFFINITY_KEY_COUNT = 12
_REUSE_FRACTION = 0.8
_CANCEL_FRACTION = 0.05
_DISCONNECT_ERRORS = (
    httpcore.ReadError,
    httpcore.RemoteProtocolError,
    httpcore.WriteError,
)


def _timeouts(read_s: float) -> dict[str, dict[str, float]]:
    return {
        'timeout': {'connect': 1.0, 'read': read_s, 'write': 2.0, 'pool': 1.0}
    }


class Caller:
    """Caller that sends requests one at a time.

    Args:
        number: Index of the caller.
        fleet: The fleet.
        pause_ms: Maximum pause between requests, in ms.
        keeps_lookup: Whether it uses the addresses of the first lookup for
            ever, also those that failed.
    """

    def __init__(
        self,
        number: int,
        fleet: fleets.Fleet,
        pause_ms: int,
        keeps_lookup: bool = False,
    ) -> None:
        self._name = f'c{number}'
        self._fleet = fleet
        self._pause_ms = pause_ms
        self._rng = random.Random(f'{fleet.rng.random()}/{number}')
        self._domain = 'abcd'[number % 4]
        self._region = fleets.REGION_BY_DOMAIN[self._domain]
        self._addresses: list[str] = []
        self._expires_ms = 0
        self._keeps_lookup = keeps_lookup
        self._idle_by_address: dict[str, httpcore.AsyncHTTPConnection] = {}
        self._request_count = 0

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            await asyncio.sleep(self._rng.randint(1, self._pause_ms) / 1_000)
            is_expired = self._fleet.clock.now_ms >= self._expires_ms
            if is_expired and not (self._keeps_lookup and self._addresses):
                await self._refresh_lookup()
            if self._addresses:
                await self._send_request(self._rng.choice(self._addresses))

    async def _refresh_lookup(self) -> None:
        fleet = self._fleet
        local = [h for h in fleet.hosts if h.region == self._region]
        remote = [h for h in fleet.hosts if h.region != self._region]
        candidates = self._rng.sample(local, len(local)) + remote
        for host in candidates[:3]:
            content = await _get(
                host.address(fleet.port('lookup')),
                f'/resolve?name=x&region={self._region}&zone={self._domain}',
            )
            if content is None:
                continue
            lookup = json.loads(content)
            _check_lookup(fleet, host, lookup['addresses'])
            self._addresses = lookup['addresses']
            self._expires_ms = fleet.clock.now_ms + 1_000
            for address in self._idle_by_address.keys() - set(self._addresses):
                await self._close(address)
            return

    async def _send_request(self, address: str) -> None:
        kind = self._rng.choice(('read', 'read', 'write', 'photo'))
        self._request_count += 1
        size = 0
        if kind == 'photo':
            size = self._rng.randint(1_000, 120_000)
        elif kind == 'write':
            size = 200
        connection = self._idle_by_address.pop(address, None)
        if connection is None or not connection.is_available():
            if connection is not None:
                await connection.aclose()
            connection = connect(address)
        cancels_early = self._rng.random() < _CANCEL_FRACTION
        outcome = await send(
            self._fleet,
            connection,
            f'{self._name}-{self._request_count}',
            kind,
            f'/{kind}/{self._request_count}',
            self._rng.randbytes(size),
            b'o%d' % self._rng.randrange(_AFFINITY_KEY_COUNT),
            self._rng.randint(5, 60) if cancels_early else REQUEST_TIMEOUT_MS,
            not cancels_early,
        )
        if outcome.status and self._rng.random() < _REUSE_FRACTION:
            self._idle_by_address[address] = connection
        else:
            await connection.aclose()
            if not outcome.status and not self._keeps_lookup:
                self._addresses = [
                    item for item in self._addresses if item != address
                ]

    async def _close(self, address: str) -> None:
        await self._idle_by_address.pop(address).aclose()


async def send(
    fleet: fleets.Fleet,
    connection: httpcore.AsyncHTTPConnection,
    request_id: str,
    kind: str,
    path: str,
    content: bytes = b'',
    affinity_key: bytes = b'o1',
    timeout_ms: int = REQUEST_TIMEOUT_MS,
    expects_success: bool = True,
) -> ledgers.Outcome:
    """Send one request and record its outcome.

    Args:
        fleet: The fleet.
        connection: Connection to the host.
        request_id: Identifier of the request.
        kind: `read`, `write` or `photo`.
        path: Path of the request.
        content: Body.
        affinity_key: Affinity key of the request.
        timeout_ms: Time after which the caller cancels the request, in ms.
        expects_success: Whether the checks expect a success.
    """
    ledger, clock = fleet.ledger, fleet.clock
    origin = connection._origin
    host = origin.host.decode()
    name = next(item.name for item in fleet.hosts if item.ip == host)
    method = _METHOD_BY_KIND[kind]
    request = ledgers.Request(
        request_id,
        kind,
        name,
        clock.now_ms,
        ledgers.hash_content(method, path, content),
        expects_success,
    )
    ledger.on_sent(request)
    status, signature, body, reason = 0, '', b'', ''
    try:
        async with asyncio.timeout(timeout_ms / 1_000):
            response = await connection.request(
                method,
                f'http://{host}:{origin.port}{path}',
                headers={
                    'Host': 'x.example',
                    'Request-Id': request_id,
                    'Affinity-Key': affinity_key,
                    'Deadline-Ms': str(REQUEST_TIMEOUT_MS),
                    'Content-Length': str(len(content)),
                },
                content=content,
                extensions=_timeouts(REQUEST_TIMEOUT_MS / 1_000 + 1),
            )
        fields = {n.lower(): v.decode() for n, v in response.headers}
        status = response.status
        signature = fields.get(b'response-signature', '')
        body = response.content
        if b'server-leaving' in fields:
            ledger.statement_rule.on_departure(
                fields[b'instance-id'], name, clock.now_ms
            )
    except _DISCONNECT_ERRORS:
        reason = 'reset'
    except (httpcore.ConnectError, httpcore.ConnectTimeout):
        reason = 'connect'
    except (TimeoutError, httpcore.TimeoutException):
        reason = 'timeout'
    except httpcore.ConnectionNotAvailable:
        reason = 'stale'
    outcome = ledgers.Outcome(clock.now_ms, status, signature, body, reason)
    ledger.on_outcome(request, outcome)
    return outcome


async def send_deadly(
    fleet: fleets.Fleet, kind: str, rng: random.Random
) -> None:
    """Send one request that crashes targets to random hosts until cancelled.

    Args:
        fleet: The fleet.
        kind: `read` or `write`.
        rng: Random number generator, whose seed identifies the request.
    """
    name = f'{rng.getrandbits(32):x}'
    content = b'' if kind == 'read' else name.encode() * 20
    path = f'/{kind}{crash_rule.DEADLY_PATH}{name}'
    for number in range(1_000_000):
        host = rng.choice(fleet.hosts)
        connection = connect(host.address(fleet.port('caller')))
        await send(
            fleet,
            connection,
            f'deadly-{name}-{number}',
            kind,
            path,
            content,
            expects_success=False,
        )
        await connection.aclose()
        await asyncio.sleep(rng.randint(1, DEADLY_PAUSE_MS) / 1_000)


async def visit_named_hosts(fleet: fleets.Fleet) -> None:
    """Send one request to each host that the lookups of its region name.

    With many hosts, a few callers that choose at random miss some of them.
    """
    port = fleet.port('lookup')
    for region in sorted(set(fleets.REGION_BY_DOMAIN.values())):
        for host in fleet.hosts:
            if host.region != region:
                continue
            content = await _get(
                host.address(port), f'/resolve?name=x&region={region}&zone=v'
            )
            if content is not None:
                break
        else:
            continue
        await asyncio.gather(
            *(
                _visit(fleet, address, f'v-{region}-{number}')
                for number, address in enumerate(
                    json.loads(content)['addresses']
                )
            )
        )


async def _visit(fleet: fleets.Fleet, address: str, request_id: str) -> None:
    connection = connect(address)
    await send(fleet, connection, request_id, 'read', '/read/visit')
    await connection.aclose()


async def probe_configuration(fleet: fleets.Fleet, host: fleets.Host) -> None:
    """Probe a host for the newest and for removed routes until cancelled."""
    rng = random.Random(f'probe {host.name}')
    last_served = (0, 0, 0)
    for number in range(1_000_000):
        await asyncio.sleep(rng.randint(1, 2 * PROBE_INTERVAL_MS) / 1_000)
        newest = fleet.version
        older = rng.choice(list(fleet.written_ms_by_version))
        for version in {newest, older}:
            sent_ms = fleet.clock.now_ms
            connection = connect(host.address(fleet.port('caller')))
            outcome = await send(
                fleet,
                connection,
                f'p-{host.name}-{number}-{version}',
                'read',
                f'{fleet.probe_path(version)}x',
                expects_success=False,
            )
            await connection.aclose()
            _check_probe(fleet, host, version, sent_ms, outcome, last_served)
            if outcome.status == 200 and version >= last_served[1]:
                last_served = (host.incarnation, version, outcome.ended_ms)


def _check_probe(
    fleet: fleets.Fleet,
    host: fleets.Host,
    version: int,
    sent_ms: int,
    outcome: ledgers.Outcome,
    last_served: tuple[int, int, int],
) -> None:
    """Check that a host serves the newest configuration and no older one."""
    has_converged = fleet.ledger.disturbances.has_converged(host.name, sent_ms)
    versions = list(fleet.written_ms_by_version)
    index = versions.index(version)
    is_newest = version == versions[-1]
    incarnation, newest_served, served_ms = last_served
    is_reverted = (
        incarnation == host.incarnation
        and version < newest_served
        and sent_ms > served_ms + bounds.REVERT_MS
    )
    if is_reverted and outcome.status == 200:
        fleet.ledger.fail(
            'revert', f'{host.name} serves {version} after {newest_served}'
        )
    if not has_converged or host.down_since_ms is not None:
        return
    replaced = versions[index + 1] if not is_newest else None
    if replaced is not None and outcome.status == 200:
        age_ms = sent_ms - fleet.written_ms_by_version[replaced]
        if age_ms > bounds.CONFIG_MS:
            fleet.ledger.fail(
                'config',
                f'{host.name} serves old {version} for {age_ms} ms',
            )
    age_ms = sent_ms - fleet.written_ms_by_version[version]
    if is_newest and outcome.status == 404 and age_ms > bounds.CONFIG_MS:
        fleet.ledger.fail(
            'config', f'{host.name} lacks {version} after {age_ms} ms'
        )


def _check_lookup(
    fleet: fleets.Fleet, source: fleets.Host, addresses: list[str]
) -> None:
    now_ms = fleet.clock.now_ms
    if not fleet.ledger.disturbances.has_converged(source.name, now_ms):
        return
    max_age_ms = bounds.CONVERGENCE_MS + bounds.LOOKUP_LAG_MS
    for host in fleet.hosts:
        if (
            host.down_since_ms is not None
            and now_ms - host.down_since_ms > max_age_ms
            and len(addresses) > 1
            and host.address(fleet.port('caller')) in addresses
        ):
            fleet.ledger.fail('lookup', f'{source.name} lists {host.name}')


def connect(address: str) -> httpcore.AsyncHTTPConnection:
    ip, _, port = address.rpartition(':')
    return httpcore.AsyncHTTPConnection(
        httpcore.Origin(b'http', ip.encode(), int(port))
    )


async def is_ready(address: str) -> bool:
    """Return whether a host reports that it is ready for callers.

    Args:
        address: `IP:PORT` of the readiness check.
    """
    return await _get(address, '/readiness') is not None


async def _get(address: str, path: str) -> bytes | None:
    connection = connect(address)
    try:
        response = await connection.request(
            'GET',
            f'http://{address}{path}',
            extensions=_timeouts(LOOKUP_TIMEOUT_S),
        )
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
    ):
        return None
    finally:
        await connection.aclose()
    return response.content if response.status == 200 else None
