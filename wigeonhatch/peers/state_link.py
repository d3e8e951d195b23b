"""Heartbeat datagrams that carry the state of each host.

Each host sends its state to every host that the platform lists. A lost
datagram is replaced by the next one, and a host that cannot reach the
platform still receives the states of its peers.
"""

from __future__ import annotations

import asyncio
import collections.abc
import logging
import typing

import msgspec

from wigeonhatch import clock as clocks
from wigeonhatch import decoding
from wigeonhatch import log
from wigeonhatch import settings
from wigeonhatch.balance import departures as departure_tables
from wigeonhatch.balance import rate_limits
from wigeonhatch.peers import state_parts
from wigeonhatch.requests import quarantine

INTERVAL_MS = 200
"""Interval of datagrams within a region; bounds the age of target counts."""
INTERVALS_PER_REMOTE_SEND = 2
"""Intervals between datagrams to other regions, which have more latency."""
PEER_TIMEOUT_MS = 1_500
"""Time without datagrams until a peer is lost; about four lost datagrams."""
RETENTION_MS = 600_000
"""Retention of the state of a lost peer; 460 hosts are replaced each day."""
MAX_TARGETS = 100
"""Maximum targets per datagram."""
MAX_BYTES = 1_472
"""Size limit of a datagram that fits into one packet."""
_BYTES_PER_TARGET = 32
"""Upper estimate of the size of a target's name and count."""
_LOG = logging.getLogger(__name__)


class HostReport(msgspec.Struct, frozen=True, array_like=True):
    """Status that a host reports about itself.

    Args:
        is_serving: Whether lookups may return it to callers.
        reaches_store: Whether its last calls to the store were answered.
        followed_ms: Time in ms for which it has followed the store without a
            failed call; 0 for hosts that fetch rows from peers.
        weight: Share of callers relative to a host of full weight.
        config_version: Version of the routing configuration in force.
        changed_by_table: Store version of the newest change that it has
            received, by table of the platform's store.
        reaches_targets: Whether it can open connections to targets.
        fractions_by_region: Fractions in 1/10,000 by region of the targets,
            which the hosts of a region use; by that region. Contains the own
            region once it has sent requests, and regions without live hosts.
    """

    is_serving: bool
    reaches_store: bool
    followed_ms: int
    weight: float
    config_version: int
    changed_by_table: dict[str, int]
    reaches_targets: bool = True
    fractions_by_region: dict[str, dict[str, int]] = {}


class HostState(msgspec.Struct, frozen=True, array_like=True):
    """State that a host sends to its peers.

    Args:
        host: Name of the host.
        incarnation: Time of its start; normally rises with each restart.
        sequence: Number of the datagram within the incarnation.
        domain: Failure domain.
        region: Region.
        caller_address: `IP:PORT` of the callers' interface.
        report: Status that it reports about itself.
        count_by_target: Number of its requests in flight by target.
        rate_statements: Rate limits that targets have stated.
        crash_statements: Requests that crash targets.
        departures: Targets that have stated that they leave.
    """

    host: str
    incarnation: int
    sequence: int
    domain: str
    region: str
    caller_address: str
    report: HostReport
    count_by_target: dict[str, int]
    rate_statements: tuple[rate_limits.RateStatement, ...] = ()
    crash_statements: tuple[quarantine.CrashStatement, ...] = ()
    departures: tuple[departure_tables.Departure, ...] = ()


_ENCODER = msgspec.msgpack.Encoder()


def encode_state(state: HostState) -> bytes:
    """Encode a state; leaves out idle targets if it exceeds one packet.

    Args:
        state: State of this host.
    """
    data = _ENCODER.encode(state)
    counts = state.count_by_target
    while len(data) > MAX_BYTES and counts:
        excess = len(data) - MAX_BYTES
        kept = max(0, len(counts) - 1 - excess // _BYTES_PER_TARGET)
        counts = dict(sorted(counts.items(), key=lambda item: -item[1])[:kept])
        data = _ENCODER.encode(
            msgspec.structs.replace(state, count_by_target=counts)
        )
    return data


def decode_state(data: bytes) -> HostState:
    """Decode the state of a peer.

    Args:
        data: Content of a datagram.

    Raises:
        DecodeError: It is malformed, or the peer has no usable address.
    """
    state = decoding.decode_msgpack(data, HostState)
    try:
        settings.parse_address(state.caller_address)
    except ValueError as error:
        raise decoding.DecodeError(f'caller_address: {error}') from error
    return state


class PeerTable:
    """Newest state of each peer.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._state_by_host: dict[str, tuple[int, HostState]] = {}
        self._lost_hosts: set[str] = set()

    def update(self, state: HostState) -> bool:
        """Store a state unless a newer one is stored.

        A host whose clock was set back restarts with a lower incarnation. It
        is accepted once the previous incarnation has timed out, since
        datagrams of that one may still be in flight until then.

        Args:
            state: State of a peer.

        Returns:
            Whether it was stored.
        """
        current = self._state_by_host.get(state.host)
        if current is not None and not self._is_newer(state, *current):
            return False
        self._state_by_host[state.host] = (self._clock.now_ms, state)
        if current is None or state.host in self._lost_hosts:
            self._lost_hosts.discard(state.host)
            log.event(_LOG, 'peer reached', host=state.host)
        return True

    def _is_newer(
        self, state: HostState, received_ms: int, current: HostState
    ) -> bool:
        if state.incarnation != current.incarnation:
            has_timed_out = self._clock.now_ms - received_ms > PEER_TIMEOUT_MS
            return has_timed_out or state.incarnation > current.incarnation
        return state.sequence > current.sequence

    def live_states(self) -> list[HostState]:
        """States of the peers that have not timed out."""
        min_received_ms = self._clock.now_ms - PEER_TIMEOUT_MS
        return [
            state
            for received_ms, state in self._state_by_host.values()
            if received_ms >= min_received_ms
        ]

    def detect_lost_peers(self) -> list[str]:
        """Log the peers that have timed out since the last call.

        Deletes peers whose last state is older than `RETENTION_MS`.

        Returns:
            Names of the peers that have timed out since the last call.
        """
        min_received_ms = self._clock.now_ms - RETENTION_MS
        for host, (received_ms, _) in list(self._state_by_host.items()):
            if received_ms < min_received_ms:
                del self._state_by_host[host]
                self._lost_hosts.discard(host)
        live = {state.host for state in self.live_states()}
        lost = [
            host
            for host in self._state_by_host
            if host not in live and host not in self._lost_hosts
        ]
        for host in lost:
            self._lost_hosts.add(host)
            received_ms = self._state_by_host[host][0]
            log.event(
                _LOG,
                'peer lost',
                host=host,
                silent_ms=self._clock.now_ms - received_ms,
            )
        return lost

    def region_by_host(self) -> dict[str, str]:
        """Region of each peer in the table, including lost ones."""
        return {
            host: state.region
            for host, (_, state) in self._state_by_host.items()
        }


class StateLink(asyncio.DatagramProtocol):
    """UDP socket that sends and receives host states.

    Args:
        on_state: Called with each state that arrives.
        on_part: Called with each part of a larger message, and the address of
            its sender.
    """

    def __init__(
        self,
        on_state: collections.abc.Callable[[HostState], None],
        on_part: collections.abc.Callable[[bytes, str], None],
    ) -> None:
        self._on_state = on_state
        self._on_part = on_part
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
        """Store the transport of the socket."""
        self._transport = typing.cast('asyncio.DatagramTransport', transport)

    def datagram_received(
        self, data: bytes, addr: tuple[str | typing.Any, int]
    ) -> None:
        """Decode the state of a peer; log and count malformed datagrams."""
        if data.startswith(state_parts.MARKER):
            self._on_part(data, str(addr[0]))
            return
        try:
            state = decode_state(data)
        except decoding.DecodeError as error:
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
        """Log a socket error; the next datagram replaces the lost one."""
        log.event(_LOG, 'datagram send failed', reason=str(exc))

    def send(
        self,
        state: HostState,
        peers: collections.abc.Iterable[tuple[str, int]],
    ) -> None:
        """Send a state to peers; does nothing before the socket is open.

        Args:
            state: State of this host.
            peers: Address and port of each peer.
        """
        data = encode_state(state)
        for address in peers:
            self.send_datagrams([data], address)

    def send_datagrams(
        self,
        datagrams: collections.abc.Iterable[bytes],
        address: tuple[str, int],
    ) -> None:
        """Send datagrams to a peer; does nothing before the socket is open.

        Args:
            datagrams: Content of each.
            address: Address and port of the peer.
        """
        if self._transport is not None:
            for data in datagrams:
                self._transport.sendto(data, address)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
