"""Exchange of host states by datagrams.

Each host sends its state to every host that the platform lists: a lost
datagram is replaced by the next one, and a host that is cut off from the
platform still hears its peers.
"""

from __future__ import annotations

import asyncio
import collections.abc
import logging
import typing

import msgspec

from wigeonhatch import clock as clocks
from wigeonhatch import log

INTERVAL_MS = 200
"""Interval of datagrams within a region; counts at targets age this much."""
INTERVALS_PER_REMOTE_SEND = 2
"""Intervals per datagram to another region, where delay is longer anyway."""
PEER_TIMEOUT_MS = 1_500
"""Silence after which a host counts as gone; about four lost datagrams."""
RETENTION_MS = 600_000
"""Silence after which nothing is kept of a host; 460 are replaced each day."""
MAX_TARGETS = 100
"""Targets per datagram, so that it fits into one packet."""
_LOG = logging.getLogger(__name__)


class HostReport(msgspec.Struct, frozen=True, array_like=True):
    """What a host tells of itself.

    Args:
        is_serving: Whether callers may be sent to it.
        reaches_store: Whether its last calls to the store were answered.
        followed_ms: Time for which it has followed the store without a failed
            call in ms; 0 for hosts that learn from peers.
        weight: Part of the callers that it takes beside a full host.
        config_version: Version of the routing configuration in force.
        changed_by_table: Newest change that it has seen, by table of the
            platform's store.
    """

    is_serving: bool
    reaches_store: bool
    followed_ms: int
    weight: float
    config_version: int
    changed_by_table: dict[str, int]


class HostState(msgspec.Struct, frozen=True, array_like=True):
    """State that a host tells its peers.

    Args:
        host: Name of the host.
        incarnation: Time of its start; a restart has a higher one.
        sequence: Number of the datagram within the incarnation.
        domain: Failure domain.
        region: Region.
        caller_address: `IP:PORT` of the callers' interface.
        report: What it tells of itself.
        count_by_target: Its requests in progress by target.
    """

    host: str
    incarnation: int
    sequence: int
    domain: str
    region: str
    caller_address: str
    report: HostReport
    count_by_target: dict[str, int]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(HostState)


class PeerTable:
    """Newest state of each peer.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._state_by_host: dict[str, tuple[int, HostState]] = {}
        self._silent: set[str] = set()

    def update(self, state: HostState) -> bool:
        """Take over a state unless a newer one is known.

        A host whose clock was set back starts with a lower incarnation. It
        is believed once the incarnation before has fallen silent, since
        datagrams of that one may still be on their way until then.

        Args:
            state: State of a peer.

        Returns:
            Whether it was taken over.
        """
        known = self._state_by_host.get(state.host)
        if known is not None and not self._is_newer(state, *known):
            return False
        self._state_by_host[state.host] = (self._clock.now_ms, state)
        if known is None or state.host in self._silent:
            self._silent.discard(state.host)
            log.event(_LOG, 'peer reached', host=state.host)
        return True

    def _is_newer(
        self, state: HostState, heard_ms: int, known: HostState
    ) -> bool:
        if state.incarnation != known.incarnation:
            is_silent = self._clock.now_ms - heard_ms > PEER_TIMEOUT_MS
            return is_silent or state.incarnation > known.incarnation
        return state.sequence > known.sequence

    def live_states(self) -> list[HostState]:
        """States of the peers that have been heard lately."""
        oldest_ms = self._clock.now_ms - PEER_TIMEOUT_MS
        return [
            state
            for heard_ms, state in self._state_by_host.values()
            if heard_ms >= oldest_ms
        ]

    def detect_lost_peers(self) -> list[str]:
        """Log peers that have fallen silent since the last call.

        Peers that have been silent for long are forgotten.

        Returns:
            Names of the peers that have just fallen silent.
        """
        oldest_ms = self._clock.now_ms - RETENTION_MS
        for host, (heard_ms, _) in list(self._state_by_host.items()):
            if heard_ms < oldest_ms:
                del self._state_by_host[host]
                self._silent.discard(host)
        live = {state.host for state in self.live_states()}
        lost = [
            host
            for host in self._state_by_host
            if host not in live and host not in self._silent
        ]
        for host in lost:
            self._silent.add(host)
            heard_ms = self._state_by_host[host][0]
            log.event(
                _LOG,
                'peer lost',
                host=host,
                silent_ms=self._clock.now_ms - heard_ms,
            )
        return lost

    def region_by_host(self) -> dict[str, str]:
        """Region of each peer that was ever heard."""
        return {
            host: state.region
            for host, (_, state) in self._state_by_host.items()
        }


class StateLink(asyncio.DatagramProtocol):
    """Socket for the states of all hosts.

    Args:
        on_state: Called with each state that arrives.
    """

    def __init__(
        self, on_state: collections.abc.Callable[[HostState], None]
    ) -> None:
        self._on_state = on_state
        self._transport: asyncio.DatagramTransport | None = None
        self.malformed_count = 0

    async def open(self, ip: str, port: int) -> None:
        """Bind the socket.

        Args:
            ip: Address of this host.
            port: UDP port.

        Raises:
            OSError: The address is in use.
        """
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(ip, port)
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = typing.cast('asyncio.DatagramTransport', transport)

    def datagram_received(
        self, data: bytes, addr: tuple[str | typing.Any, int]
    ) -> None:
        """Decode the state of a peer."""
        try:
            state = _DECODER.decode(data)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            self.malformed_count += 1
            log.event(
                _LOG,
                'malformed datagram',
                sender=str(addr[0]),
                reason=str(error),
            )
            return
        self._on_state(state)

    def error_received(self, exc: Exception) -> None:
        """Log an error of the socket; the next datagram replaces this one."""
        log.event(_LOG, 'datagram not sent', reason=str(exc))

    def send(
        self,
        state: HostState,
        peers: collections.abc.Iterable[tuple[str, int]],
    ) -> None:
        """Send a state.

        Args:
            state: State of this host.
            peers: Address and port of each peer.
        """
        if self._transport is None:
            return
        data = _ENCODER.encode(state)
        for address in peers:
            self._transport.sendto(data, address)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
