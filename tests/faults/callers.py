"""Callers of the soak: lookups, kept connections, requests and probes."""

from __future__ import annotations

import asyncio
import json
import random

import httpcore

from tests.faults import fleet as fleets
from tests.faults import ledger as ledgers
from tests.faults import terms

PATIENCE_MS = 4_000
LOOKUP_TIMEOUT_S = 1.0
PROBE_PAUSE_MS = 400
_METHOD_BY_KIND = {'read': 'GET', 'write': 'POST', 'photo': 'POST'}
_OBJECTS = 12
_KEPT_SHARE = 0.8
_GIVE_UP_SHARE = 0.05
_CUT = (httpcore.ReadError, httpcore.RemoteProtocolError, httpcore.WriteError)


def _timeouts(read_s: float) -> dict[str, dict[str, float]]:
    return {
        'timeout': {'connect': 1.0, 'read': read_s, 'write': 2.0, 'pool': 1.0}
    }


class Caller:
    """One caller, which sends a request after the other.

    Args:
        number: Number of the caller.
        fleet: The fleet.
        pause_ms: Longest pause between requests.
    """

    def __init__(
        self, number: int, fleet: fleets.Fleet, pause_ms: int
    ) -> None:
        self._name = f'c{number}'
        self._fleet = fleet
        self._pause_ms = pause_ms
        self._rng = random.Random(f'{fleet.rng.random()}/{number}')
        self._domain = 'abcd'[number % 4]
        self._region = fleets.REGION_BY_DOMAIN[self._domain]
        self._addresses: list[str] = []
        self._expires_ms = 0
        self._kept: dict[str, httpcore.AsyncHTTPConnection] = {}
        self._count = 0

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            await asyncio.sleep(self._rng.randint(1, self._pause_ms) / 1_000)
            if self._fleet.clock.now_ms >= self._expires_ms:
                await self._look_up()
            if self._addresses:
                await self._call(self._rng.choice(self._addresses))

    async def _look_up(self) -> None:
        fleet = self._fleet
        near = [h for h in fleet.hosts if h.region == self._region]
        far = [h for h in fleet.hosts if h.region != self._region]
        order = self._rng.sample(near, len(near)) + far
        for host in order[:3]:
            found = await _get(
                host.address(fleet.port('lookup')),
                f'/resolve?name=x&region={self._region}&zone={self._domain}',
            )
            if found is None:
                continue
            answer = json.loads(found)
            _check_lookup(fleet, host, answer['addresses'])
            self._addresses = answer['addresses']
            self._expires_ms = fleet.clock.now_ms + 1_000
            for address in self._kept.keys() - set(self._addresses):
                await self._drop(address)
            return

    async def _call(self, address: str) -> None:
        kind = self._rng.choice(('read', 'read', 'write', 'photo'))
        self._count += 1
        size = 0
        if kind == 'photo':
            size = self._rng.randint(1_000, 120_000)
        elif kind == 'write':
            size = 200
        connection = self._kept.pop(address, None)
        if connection is None or not connection.is_available():
            if connection is not None:
                await connection.aclose()
            connection = _connect(address)
        gives_up = self._rng.random() < _GIVE_UP_SHARE
        answer = await send(
            self._fleet,
            connection,
            f'{self._name}-{self._count}',
            kind,
            f'/{kind}/{self._count}',
            self._rng.randbytes(size),
            b'o%d' % self._rng.randrange(_OBJECTS),
            self._rng.randint(5, 60) if gives_up else PATIENCE_MS,
            not gives_up,
        )
        if answer.status and self._rng.random() < _KEPT_SHARE:
            self._kept[address] = connection
        else:
            await connection.aclose()
            if not answer.status:
                self._addresses = [
                    item for item in self._addresses if item != address
                ]

    async def _drop(self, address: str) -> None:
        await self._kept.pop(address).aclose()


async def send(
    fleet: fleets.Fleet,
    connection: httpcore.AsyncHTTPConnection,
    request_id: str,
    kind: str,
    path: str,
    content: bytes = b'',
    object_name: bytes = b'o1',
    patience_ms: int = PATIENCE_MS,
    is_owed: bool = True,
) -> ledgers.Answer:
    """Send one request and record how it ends.

    Args:
        fleet: The fleet.
        connection: Connection to the host.
        request_id: Identity of the request.
        kind: `read`, `write` or `photo`.
        path: Path of the request.
        content: Body.
        object_name: Object that it concerns.
        patience_ms: Time after which the caller closes the connection.
        is_owed: Whether the caller waits for a success.
    """
    ledger, clock = fleet.ledger, fleet.clock
    origin = connection._origin
    host = origin.host.decode()
    name = next(item.name for item in fleet.hosts if item.ip == host)
    method = _METHOD_BY_KIND[kind]
    attempt = ledgers.Attempt(
        request_id,
        kind,
        name,
        clock.now_ms,
        ledgers.hash_content(method, path, content),
        is_owed,
    )
    ledger.on_sent(attempt)
    status, signature, body, reason = 0, '', b'', ''
    try:
        async with asyncio.timeout(patience_ms / 1_000):
            response = await connection.request(
                method,
                f'http://{host}:{origin.port}{path}',
                headers={
                    'Host': 'x.example',
                    'Request-Id': request_id,
                    'Affinity-Key': object_name,
                    'Deadline-Ms': str(PATIENCE_MS),
                    'Content-Length': str(len(content)),
                },
                content=content,
                extensions=_timeouts(PATIENCE_MS / 1_000 + 1),
            )
        fields = {n.lower(): v.decode() for n, v in response.headers}
        status = response.status
        signature = fields.get(b'response-signature', '')
        body = response.content
    except _CUT:
        reason = 'cut'
    except (httpcore.ConnectError, httpcore.ConnectTimeout):
        reason = 'connect'
    except (TimeoutError, httpcore.TimeoutException):
        reason = 'gave up'
    except httpcore.ConnectionNotAvailable:
        reason = 'stale'
    answer = ledgers.Answer(clock.now_ms, status, signature, body, reason)
    ledger.on_answer(attempt, answer)
    return answer


async def probe_configuration(fleet: fleets.Fleet, host: fleets.Host) -> None:
    """Ask a host for the newest and for dropped routes, until cancelled."""
    rng = random.Random(f'probe {host.name}')
    seen = (0, 0, 0)
    for number in range(1_000_000):
        await asyncio.sleep(rng.randint(1, 2 * PROBE_PAUSE_MS) / 1_000)
        version = fleet.version
        older = rng.choice(list(fleet.acknowledged_ms))
        for asked in {version, older}:
            sent_ms = fleet.clock.now_ms
            connection = _connect(host.address(fleet.port('caller')))
            answer = await send(
                fleet,
                connection,
                f'p-{host.name}-{number}-{asked}',
                'read',
                f'{fleet.probe_path(asked)}x',
                is_owed=False,
            )
            await connection.aclose()
            _check_version(fleet, host, asked, sent_ms, answer, seen)
            if answer.status == 200 and asked >= seen[1]:
                seen = (host.incarnation, asked, answer.at_ms)


def _check_version(
    fleet: fleets.Fleet,
    host: fleets.Host,
    asked: int,
    sent_ms: int,
    answer: ledgers.Answer,
    seen: tuple[int, int, int],
) -> None:
    """Check that a host serves the configuration in force and no older one."""
    calm = fleet.ledger.disturbances.is_in_touch(host.name, sent_ms)
    versions = list(fleet.acknowledged_ms)
    index = versions.index(asked)
    is_newest = asked == versions[-1]
    incarnation, newest_seen, seen_ms = seen
    is_older = (
        incarnation == host.incarnation
        and asked < newest_seen
        and sent_ms > seen_ms + terms.REVERT_MS
    )
    if is_older and answer.status == 200:
        fleet.ledger.fail(
            'revert', f'{host.name} serves {asked} after {newest_seen}'
        )
    if not calm or host.killed_ms is not None:
        return
    replaced = versions[index + 1] if not is_newest else None
    if replaced is not None and answer.status == 200:
        age_ms = sent_ms - fleet.acknowledged_ms[replaced]
        if age_ms > terms.CONFIG_MS:
            fleet.ledger.fail(
                'config', f'{host.name} serves {asked} for {age_ms} ms'
            )
    age_ms = sent_ms - fleet.acknowledged_ms[asked]
    if is_newest and answer.status == 404 and age_ms > terms.CONFIG_MS:
        fleet.ledger.fail(
            'config', f'{host.name} misses {asked} for {age_ms} ms'
        )


def _check_lookup(
    fleet: fleets.Fleet, asked: fleets.Host, addresses: list[str]
) -> None:
    now_ms = fleet.clock.now_ms
    if not fleet.ledger.disturbances.is_in_touch(asked.name, now_ms):
        return
    bound_ms = terms.CONTACT_MS + terms.LOOKUP_LAG_MS
    for host in fleet.hosts:
        if (
            host.killed_ms is not None
            and now_ms - host.killed_ms > bound_ms
            and len(addresses) > 1
            and host.address(fleet.port('caller')) in addresses
        ):
            fleet.ledger.fail('lookup', f'{asked.name} names {host.name}')


def _connect(address: str) -> httpcore.AsyncHTTPConnection:
    ip, _, port = address.rpartition(':')
    return httpcore.AsyncHTTPConnection(
        httpcore.Origin(b'http', ip.encode(), int(port))
    )


async def is_ready(address: str) -> bool:
    """Ask a host whether callers may be sent to it.

    Args:
        address: `IP:PORT` of the readiness check.
    """
    return await _get(address, '/readiness') is not None


async def _get(address: str, path: str) -> bytes | None:
    connection = _connect(address)
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
