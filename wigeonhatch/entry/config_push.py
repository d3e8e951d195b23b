"""Configurations that peers send to a host that is behind them."""

from __future__ import annotations

import collections
import collections.abc
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
SENDERS = 2
"""Peers that answer one state of a host that is behind, on average."""
_LOG = logging.getLogger(__name__)

Send = collections.abc.Callable[[str, collections.abc.Iterable[bytes]], None]
"""Sends datagrams to the host with an IP address."""


class ConfigPush:
    """Send the configuration in force to hosts that announce an older one.

    What a host reads from the store or from peers may be older than what they
    have in force, or not arrive: the store was restored from a copy, or the
    link is full. Datagrams need nothing from it but its states.

    Args:
        send: Sends datagrams to a host.
        count_peers: Returns the number of live peers.
        apply: Puts a configuration of a peer in force if it is newer.
        clock: Source of monotonic time.
        rng: Decides which peers answer.
    """

    def __init__(
        self,
        send: Send,
        count_peers: collections.abc.Callable[[], int],
        apply: collections.abc.Callable[[bytes], None],
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self._send = send
        self._count_peers = count_peers
        self._apply = apply
        self._clock = clock
        self._rng = rng
        self._assembler = config_parts.PartAssembler()
        self._settled_version = 0
        self._recent: collections.deque[tuple[int, int]] = collections.deque()
        self._content = b''
        self._datagrams: list[bytes] = []

    def on_config(self, version: int, content: bytes) -> None:
        """Record the configuration in force.

        Args:
            version: Its version.
            content: Row of the operators' table that contains it.
        """
        self._recent.append((self._clock.now_ms, version))
        self._content = content
        self._datagrams = []

    def on_peer_state(self, state: state_link.HostState) -> None:
        """Send the configuration to a peer that should have had it by now.

        A host without any is left alone: it serves nobody, and reads targets
        and evacuations together with its first configuration.

        Args:
            state: State of the peer.
        """
        version = state.report.config_version
        if not 0 < version < self._update_settled_version():
            return
        if self._rng.random() * max(1, self._count_peers()) >= SENDERS:
            return
        newest = self._recent[-1][1]
        if not self._datagrams:
            self._datagrams = config_parts.split(newest, self._content)
        log.event(
            _LOG,
            'configuration sent to a peer',
            peer=state.host,
            peer_version=version,
            version=newest,
            datagrams=len(self._datagrams),
        )
        ip, _ = settings.parse_address(state.caller_address)
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
