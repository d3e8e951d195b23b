"""State that peers send to a host that is behind them."""

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
from wigeonhatch.peers import state_link
from wigeonhatch.peers import state_parts

CONFIG_TOPIC = 'config'
"""The configuration in force. The other topics are tables of the store."""
PROPAGATION_MS = 1_000
"""Time after which what this host has should be on all hosts, and announced by
them."""
INTERVAL_MS = 200
"""Interval at which a host that is behind is sent what it lacks."""
SENDERS = 2
"""Peers that send it at each interval, on average."""
DATAGRAMS = 8
"""Datagrams of each sender and interval, on average; a large message is sent
less often."""
SILENCE_MS = 15_000
"""Time without a state of a host after which it is sent nothing."""
_LOG = logging.getLogger(__name__)

Versions = collections.abc.Mapping[str, int]
"""Versions by topic; 0 for none."""


@dataclasses.dataclass(frozen=True, slots=True)
class Actions:
    """What a host does to send and take state.

    Args:
        send: Sends datagrams to the host with an IP address.
        read: Returns the content of a topic that a peer with a version lacks;
            None if this host has none.
        take: Applies the content of a topic if it is newer; raises
            `DecodeError` if it is malformed.
    """

    send: collections.abc.Callable[
        [str, collections.abc.Iterable[bytes]], None
    ]
    read: collections.abc.Callable[[str, int], bytes | None]
    take: collections.abc.Callable[[str, bytes], None]


@dataclasses.dataclass(frozen=True, slots=True)
class _Peer:
    """What a peer has announced last."""

    address: str
    versions: Versions
    heard_ms: int


class StatePush:
    """Send to peers what they should have by now, and do not announce.

    What a host reads from the store or from peers may be older than what they
    have in force, or not arrive: the store was restored from a copy, or the
    link is full. Datagrams need nothing from it.

    Args:
        read_versions: Returns what this host has of each topic.
        actions: What the host does.
        clock: Source of monotonic time.
        rng: Decides which peers send.
    """

    def __init__(
        self,
        read_versions: collections.abc.Callable[[], Versions],
        actions: Actions,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self._read_versions = read_versions
        self._actions = actions
        self._clock = clock
        self._rng = rng
        self._assembler = state_parts.PartAssembler(read_versions())
        self._recent: collections.deque[tuple[int, Versions]] = (
            collections.deque()
        )
        self._peer_by_host: dict[str, _Peer] = {}

    def on_peer_state(self, state: state_link.HostState) -> None:
        """Record what a peer has.

        Args:
            state: State of the peer.
        """
        report = state.report
        self._peer_by_host[state.host] = _Peer(
            state.caller_address,
            {CONFIG_TOPIC: report.config_version, **report.changed_by_table},
            self._clock.now_ms,
        )

    def on_datagram(self, data: bytes) -> None:
        """Take a part of what a peer sends.

        Args:
            data: Content of the datagram.
        """
        try:
            message = self._assembler.add(data)
            if message is not None:
                self._actions.take(*message)
        except decoding.DecodeError as error:
            log.event(_LOG, 'malformed part of a state', reason=str(error))

    async def run(self) -> None:
        """Send to peers what they lack until cancelled."""
        while True:
            await self._clock.sleep_ms(INTERVAL_MS)
            self._send_to_late_peers()

    def _send_to_late_peers(self) -> None:
        """Send to peers what they should have had by now.

        Peers that have fallen silent count too: a full link loses what they
        send. A host without any version of a topic is left alone: it serves
        nobody yet, and reads all tables by itself.
        """
        now_ms = self._clock.now_ms
        versions = dict(self._read_versions())
        self._recent.append((now_ms, versions))
        while self._recent[0][0] < now_ms - 2 * PROPAGATION_MS:
            self._recent.popleft()
        due_version_by_topic = {
            topic: self._version_at(topic, now_ms - PROPAGATION_MS)
            for topic in versions
        }
        for host, peer in list(self._peer_by_host.items()):
            if now_ms - peer.heard_ms > SILENCE_MS:
                del self._peer_by_host[host]
                continue
            for topic, due_version in due_version_by_topic.items():
                if 0 < peer.versions.get(topic, 0) < due_version:
                    self._send(host, peer, topic)

    def _version_at(self, topic: str, at_ms: int) -> int:
        """Version of a topic that this host had at a time; 0 for none."""
        return max(
            (
                versions[topic]
                for recorded_ms, versions in self._recent
                if recorded_ms <= at_ms
            ),
            default=0,
        )

    def _send(self, host: str, peer: _Peer, topic: str) -> None:
        """Send a topic to a peer, unless others are likely to do so."""
        if self._rng.random() * len(self._peer_by_host) >= SENDERS:
            return
        content = self._actions.read(topic, peer.versions[topic])
        version = self._recent[-1][1][topic]
        if content is None:
            return
        datagrams = state_parts.split(topic, version, content)
        if self._rng.random() * len(datagrams) >= DATAGRAMS:
            return
        log.event(
            _LOG,
            'state sent to a peer',
            peer=host,
            topic=topic,
            peer_version=peer.versions[topic],
            version=version,
            silent_ms=self._clock.now_ms - peer.heard_ms,
            datagrams=len(datagrams),
        )
        ip, _ = settings.parse_address(peer.address)
        self._actions.send(ip, datagrams)
