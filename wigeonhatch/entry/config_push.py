"""Configurations that peers send to a host that is behind them."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import logging
import random

from wigeonhatch import clock as clocks
from wigeonhatch import decoding
from wigeonhatch import log
from wigeonhatch import settings
from wigeonhatch.peers import config_parts
from wigeonhatch.peers import state_link

PROPAGATION_MS = 900
"""Time after which a configuration that is in force here should be in force
everywhere, and its version have been announced."""
INTERVAL_MS = 300
"""Interval at which a host that is behind is sent the configuration."""
SENDERS = 2
"""Peers that send it at each interval, on average."""
DATAGRAMS = 8
"""Datagrams of each sender and interval, on average; a larger configuration is
sent less often."""
SILENCE_MS = 15_000
"""Time without a state of a host after which it is sent nothing."""
_LOG = logging.getLogger(__name__)

Send = collections.abc.Callable[[str, collections.abc.Iterable[bytes]], None]
"""Sends datagrams to the host with an IP address."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Peer:
    """What a peer has announced last."""

    address: str
    version: int
    heard_ms: int


class ConfigPush:
    """Send the configuration in force to hosts that announce an older one.

    What a host reads from the store or from peers may be older than what they
    have in force, or not arrive: the store was restored from a copy, or the
    link is full. Datagrams need nothing from it.

    Args:
        send: Sends datagrams to a host.
        apply: Puts a configuration of a peer in force if it is newer.
        clock: Source of monotonic time.
        rng: Decides which peers send.
    """

    def __init__(
        self,
        send: Send,
        apply: collections.abc.Callable[[bytes], None],
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self._send = send
        self._apply = apply
        self._clock = clock
        self._rng = rng
        self._assembler = config_parts.PartAssembler()
        self._settled_version = 0
        self._recent: collections.deque[tuple[int, int]] = collections.deque()
        self._content = b''
        self._datagrams: list[bytes] = []
        self._peer_by_host: dict[str, _Peer] = {}
        self._late_hosts: set[str] = set()

    def on_config(self, version: int, content: bytes) -> None:
        """Record the configuration in force.

        Args:
            version: Its version.
            content: Row of the operators' table that contains it.
        """
        self._recent.append((self._clock.now_ms, version))
        self._content = content
        self._datagrams = []
        self._late_hosts = set(self._peer_by_host)

    def on_peer_state(self, state: state_link.HostState) -> None:
        """Record which configuration a peer has in force.

        Args:
            state: State of the peer.
        """
        version = state.report.config_version
        self._peer_by_host[state.host] = _Peer(
            state.caller_address, version, self._clock.now_ms
        )
        if self._recent and version < self._recent[-1][1]:
            self._late_hosts.add(state.host)
        else:
            self._late_hosts.discard(state.host)

    async def run(self) -> None:
        """Send the configuration to hosts without it until cancelled."""
        while True:
            await self._clock.sleep_ms(INTERVAL_MS)
            self._send_to_late_hosts()

    def _send_to_late_hosts(self) -> None:
        """Send the configuration to peers that should have had it by now.

        Hosts that have fallen silent count too: a full link loses what they
        send. A host without any configuration is left alone: it serves nobody
        and reads targets and evacuations together with its first one.
        """
        settled = self._update_settled_version()
        now_ms = self._clock.now_ms
        for host in list(self._late_hosts):
            peer = self._peer_by_host[host]
            if now_ms - peer.heard_ms > SILENCE_MS:
                del self._peer_by_host[host]
                self._late_hosts.discard(host)
            elif 0 < peer.version < settled and self._is_sender():
                self._send_to(host, peer)

    def _is_sender(self) -> bool:
        if not self._datagrams:
            self._datagrams = config_parts.split(
                self._recent[-1][1], self._content
            )
        senders = SENDERS * min(1.0, DATAGRAMS / max(1, len(self._datagrams)))
        return self._rng.random() * len(self._peer_by_host) < senders

    def _send_to(self, host: str, peer: _Peer) -> None:
        log.event(
            _LOG,
            'configuration sent to a peer',
            peer=host,
            peer_version=peer.version,
            silent_ms=self._clock.now_ms - peer.heard_ms,
            version=self._recent[-1][1],
            datagrams=len(self._datagrams),
        )
        ip, _ = settings.parse_address(peer.address)
        self._send(ip, self._datagrams)

    def on_datagram(self, data: bytes) -> None:
        """Take a part of a configuration.

        Args:
            data: Content of the datagram.
        """
        try:
            content = self._assembler.add(data)
        except decoding.DecodeError as error:
            log.event(
                _LOG, 'malformed part of a configuration', reason=str(error)
            )
            return
        if content is not None:
            self._apply(content)

    def _update_settled_version(self) -> int:
        """Newest version that all hosts should have in force."""
        before_ms = self._clock.now_ms - PROPAGATION_MS
        while len(self._recent) > 1 and self._recent[1][0] <= before_ms:
            self._recent.popleft()
        if self._recent and self._recent[0][0] <= before_ms:
            self._settled_version = self._recent[0][1]
        return self._settled_version
