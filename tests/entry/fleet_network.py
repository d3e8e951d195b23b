"""Simulated network between hosts, their peers and the store."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import random
import types
import typing
import urllib.parse

import anyio
import httpcore

from wigeonhatch.standins import row_store

REMOTE_LATENCY_MS = 35
LOCAL_LATENCY_MS = 1
STORE_LATENCY_MS = 4


@dataclasses.dataclass
class Link:
    """Condition of the link of one host.

    Args:
        mbps: Bandwidth of what it sends, in Mbit/s.
        loss: Fraction of the datagrams that are lost.
        sends_nothing: Whether all that it sends is lost.
        queue_s: Time in s for which its packets wait before they are sent.
        is_frozen: Whether the host neither sends nor answers.
        store_fault: What its calls to the store meet: `silent`, `busy` or
            `refused`; empty for nothing.
    """

    mbps: float = 100.0
    loss: float = 0.0
    queue_s: float = 0.0
    sends_nothing: bool = False
    is_frozen: bool = False
    store_fault: str = ''


class Network:
    """Latency, bandwidth and faults between hosts.

    Args:
        rng: Source of randomness.

    Attributes:
        link_by_host: Condition of the link of each host.
        domain_by_host: Failure domain of each host.
        cut_domains: Domains that are cut off from the others.
        cut_pairs: Pairs of hosts without any packets between them.
        cut_calls: Pairs of hosts between which datagrams pass alone.
    """

    def __init__(self, rng: random.Random) -> None:
        self.link_by_host: collections.defaultdict[str, Link] = (
            collections.defaultdict(Link)
        )
        self.domain_by_host: dict[str, str] = {}
        self.cut_domains: set[str] = set()
        self.cut_pairs: set[frozenset[str]] = set()
        self.cut_calls: set[frozenset[str]] = set()
        self._rng = rng
        self._free_s_by_host: dict[str, float] = {}

    def is_open(self, first: str, second: str) -> bool:
        """Whether packets pass between two hosts."""
        domains = {self.domain_by_host[host] for host in (first, second)}
        return not (
            self.link_by_host[first].is_frozen
            or self.link_by_host[second].is_frozen
            or (len(domains) > 1 and domains & self.cut_domains)
            or frozenset((first, second)) in self.cut_pairs
        )

    def is_lost(self, first: str, second: str) -> bool:
        """Decide whether a datagram from one host to another is lost."""
        if self.link_by_host[first].sends_nothing:
            return True
        loss = max(
            self.link_by_host[first].loss, self.link_by_host[second].loss
        )
        return not self.is_open(first, second) or self._rng.random() < loss

    def latency_s(self, first: str, second: str) -> float:
        """Latency of a packet from one host to another in s."""
        regions = {
            self.domain_by_host[host].partition('-')[0]
            for host in (first, second)
        }
        is_remote = len(regions) > 1
        latency_ms = REMOTE_LATENCY_MS if is_remote else LOCAL_LATENCY_MS
        return latency_ms / 1_000 + self.link_by_host[first].queue_s

    async def connect(self, first: str, second: str, timeout_s: float) -> bool:
        """Open a connection; return whether it was there in time."""
        duration_s = self.latency_s(first, second)
        duration_s += self.latency_s(second, first)
        if self.link_by_host[first].sends_nothing:
            duration_s = timeout_s
        await anyio.sleep(min(duration_s, timeout_s))
        return duration_s < timeout_s

    async def transfer(self, sender: str, size_bytes: int) -> None:
        """Wait until the link of a host has sent some bytes."""
        now_s = asyncio.get_running_loop().time()
        start_s = max(now_s, self._free_s_by_host.get(sender, 0.0))
        duration_s = (
            size_bytes * 8 / (self.link_by_host[sender].mbps * 1_000_000)
        )
        self._free_s_by_host[sender] = start_s + duration_s
        await anyio.sleep(start_s + duration_s - now_s)


class StorePool:
    """Connection pool that calls a stand-in of the store.

    Args:
        host: Name of the host.
        network: Condition of its link.
        application: Store to call.
    """

    def __init__(
        self,
        host: str,
        network: Network,
        application: row_store.RowStoreApplication,
    ) -> None:
        self.connections: list[typing.Any] = []
        self._host = host
        self._network = network
        self._application = application

    async def request(
        self,
        method: str,
        url: str,
        headers: object,
        content: bytes | None,
        extensions: dict[str, dict[str, float]],
    ) -> typing.Any:
        """Send one request.

        Raises:
            ConnectError: The store refuses connections of this host.
            ReadTimeout: It did not respond in time.
        """
        timeout_s = extensions['timeout']['read']
        own = self._network.link_by_host[self._host]
        connect_s = extensions['timeout']['connect']
        if own.sends_nothing or own.queue_s > connect_s:
            await anyio.sleep(connect_s)
            raise httpcore.ConnectTimeout
        with anyio.move_on_after(timeout_s):
            return await self._call(method, url, content)
        raise httpcore.ReadTimeout

    async def _call(
        self, method: str, url: str, content: bytes | None
    ) -> typing.Any:
        link = self._network.link_by_host[self._host]
        await anyio.sleep(STORE_LATENCY_MS / 2_000)
        if link.is_frozen or link.store_fault == 'silent':
            await anyio.sleep_forever()
        if link.store_fault == 'refused':
            raise httpcore.ConnectError
        if link.store_fault == 'busy':
            return types.SimpleNamespace(status=503, headers=[], content=b'{}')
        store = self._application.store
        era = store.era
        parts = urllib.parse.urlsplit(url)
        sent: list[dict[str, typing.Any]] = []

        async def receive() -> dict[str, typing.Any]:
            return {
                'type': 'http.request',
                'body': content or b'',
                'more_body': False,
            }

        async def send(message: dict[str, typing.Any]) -> None:
            sent.append(message)

        await self._application(
            {
                'type': 'http',
                'method': method,
                'path': parts.path,
                'query_string': parts.query.encode(),
            },
            typing.cast(typing.Any, receive),
            typing.cast(typing.Any, send),
        )
        await anyio.sleep(STORE_LATENCY_MS / 2_000)
        if (
            link.is_frozen
            or link.store_fault == 'silent'
            or store.faults.is_silent
            or store.era != era
        ):
            await anyio.sleep_forever()
        body = b''.join(message.get('body', b'') for message in sent)
        return types.SimpleNamespace(
            status=sent[0]['status'], headers=sent[0]['headers'], content=body
        )
