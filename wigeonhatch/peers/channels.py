"""Channels to peers, one with its own task for each peer."""

from __future__ import annotations

import asyncio
import logging
import typing

import anyio
import anyio.abc
import grpclib
from grpclib import client as grpc_client
from grpclib import const as grpc_const
from grpclib import exceptions as grpc_exceptions
from h2 import exceptions as h2_exceptions

from wigeonhatch import clock as clocks
from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch import settings
from wigeonhatch.config import model
from wigeonhatch.peers import _connection
from wigeonhatch.peers import peers_grpc

_LOG = logging.getLogger(__name__)
_CONNECT_MS = 1_000
_TICK_MS = 500
# A late tick means that this process was paused; data that arrived in the
# meantime has not been read yet, so the silence cannot be judged.
_PAUSE_MS = 500
_IDLE_TICKS = 120
_FAILED_MS = 2_000
PEER_ERRORS: tuple[type[Exception], ...] = (
    OSError,
    TimeoutError,
    grpclib.GRPCError,
    grpc_exceptions.ProtocolError,
    grpc_exceptions.StreamTerminatedError,
    h2_exceptions.H2Error,
    # uvloop raises it for a write to a transport that it has just closed.
    RuntimeError,
)
"""Errors with which a call to a peer ends."""


def make_call_failure(
    error: Exception, host: str, head_sent: bool
) -> outcome.Failure:
    """Describe a failed call, without denying a possible execution.

    Args:
        error: One of `PEER_ERRORS`.
        host: Host that was called.
        head_sent: Whether the first message may have been sent.

    Returns:
        `PEER_UNREACHABLE` or `DEADLINE_EXCEEDED` (not run) if nothing was
        sent, otherwise `PEER_LOST` or `DEADLINE_EXCEEDED_RUNNING` (unknown).
    """
    detail = f'host {host}: {type(error).__name__}: {error}'
    is_refused = (
        isinstance(error, grpclib.GRPCError)
        and error.status is grpc_const.Status.UNAUTHENTICATED
    )
    if is_refused:
        return outcome.Failure(codes.ResultCode.PEER_UNREACHABLE, detail)
    is_late = isinstance(error, TimeoutError)
    if head_sent:
        code = codes.ResultCode.PEER_LOST
        if is_late:
            code = codes.ResultCode.DEADLINE_EXCEEDED_RUNNING
    else:
        code = codes.ResultCode.PEER_UNREACHABLE
        if is_late:
            code = codes.ResultCode.DEADLINE_EXCEEDED
    return outcome.Failure(code, detail)


class _PeerChannel(grpc_client.Channel):
    """Channel that sends the credential and limits the connect time."""

    def __init__(
        self, address: str, credential: str, clock: clocks.Clock
    ) -> None:
        host, port = settings.parse_address(address)
        super().__init__(host, port)
        token = _connection.make_token(credential)
        self._metadata = ((_connection.CREDENTIAL_KEY, token),)
        self._clock = clock
        self.failed_ms: int | None = None
        self._is_closed = False

    @property
    def open_protocol(self) -> _connection.WatchedProtocol | None:
        """Connection in use, if it is open."""
        protocol = typing.cast(
            '_connection.WatchedProtocol | None', self._protocol
        )
        if protocol is None or not protocol.is_open:
            return None
        return protocol

    def request(self, *args: typing.Any, **kwargs: typing.Any) -> typing.Any:
        """Create a call with the credential in its metadata."""
        extra = kwargs.get('metadata') or ()
        pairs = extra.items() if hasattr(extra, 'items') else extra
        kwargs['metadata'] = [*self._metadata, *pairs]
        return super().request(*args, **kwargs)

    def _protocol_factory(self) -> _connection.WatchedProtocol:
        return _connection.WatchedProtocol(
            grpc_client.Handler(),
            self._config,
            self._h2_config,
            self._clock,
            pings=True,
        )

    def close_permanently(self, reason: str) -> None:
        """End all calls and refuse new ones.

        Args:
            reason: Passed to the calls in progress.
        """
        self._is_closed = True
        protocol = self.open_protocol
        if protocol is not None:
            protocol.abort(reason)
        self.close()

    async def _create_connection(self) -> typing.Any:
        if self._is_closed:
            raise ConnectionError('channel was closed')
        try:
            async with asyncio.timeout(_CONNECT_MS / 1000):
                protocol = await super()._create_connection()
        except TimeoutError:
            self.failed_ms = self._clock.now_ms
            # A timeout would be taken for the deadline of the call.
            raise ConnectionError(
                f'no connection within {_CONNECT_MS} ms'
            ) from None
        except OSError:
            self.failed_ms = self._clock.now_ms
            raise
        connected = typing.cast(_connection.WatchedProtocol, protocol)
        if self._is_closed:
            connected.abort('channel was closed')
        if not connected.is_open:
            # The library would use the connection without looking at it.
            self.failed_ms = self._clock.now_ms
            raise ConnectionError('connection was closed at once')
        self.failed_ms = None
        return connected


class _Peer:
    __slots__ = ('address', 'channel', 'is_used', 'stub')

    def __init__(self, address: str, channel: _PeerChannel) -> None:
        self.address = address
        self.is_used = True
        self.set_channel(channel)

    def set_channel(self, channel: _PeerChannel) -> None:
        self.channel = channel
        self.stub = peers_grpc.PeersStub(channel)


class PeerChannels:
    """Channels to all peers; each opens with its first call.

    Args:
        host: Name of this host.
        credential: Sent with each call.
        clock: Clock of the host.
    """

    def __init__(
        self, host: str, credential: str, clock: clocks.Clock
    ) -> None:
        self.replaced_count = 0
        self._host = host
        self._credential = credential
        self._clock = clock
        self._address_by_host: dict[str, str] = {}
        self._hosts: tuple[str, ...] = ()
        self._peer_by_host: dict[str, _Peer] = {}
        self._group: anyio.abc.TaskGroup | None = None

    @property
    def hosts(self) -> tuple[str, ...]:
        """Names of the peers that have an address, in sorted order."""
        return self._hosts

    def configure(self, versioned: model.VersionedConfig) -> None:
        """Take the addresses of the peers from a configuration.

        Channels to removed or moved peers close; their calls end.

        Args:
            versioned: Configuration in force.
        """
        self.set_addresses(
            {
                name: host.peer_address
                for name, host in versioned.config.host_by_name.items()
            }
        )

    def set_addresses(self, address_by_host: dict[str, str]) -> None:
        """Replace the addresses of the peers.

        Args:
            address_by_host: `IP:PORT` of each host.
        """
        self._address_by_host = {
            name: address
            for name, address in address_by_host.items()
            if name != self._host
        }
        hosts = tuple(sorted(self._address_by_host))
        if hosts != self._hosts:
            self._hosts = hosts
        for name, peer in list(self._peer_by_host.items()):
            if self._address_by_host.get(name) != peer.address:
                del self._peer_by_host[name]
                peer.channel.close_permanently('peer was removed or moved')

    def stub(self, host: str) -> peers_grpc.PeersStub | None:
        """Return the calls to a peer.

        Args:
            host: Name of the peer.

        Returns:
            The stub to use for one call now; None for an unknown host and
            for this host.
        """
        peer = self._peer_by_host.get(host)
        if peer is None:
            address = self._address_by_host.get(host)
            if address is None:
                return None
            peer = _Peer(address, self._open(address))
            self._peer_by_host[host] = peer
            if self._group is not None:
                self._group.start_soon(self._watch, host, peer)
        peer.is_used = True
        return peer.stub

    def is_usable(self, host: str) -> bool:
        """Tell whether a call to a peer is likely to get through.

        Args:
            host: Name of the peer.

        Returns:
            False for an unknown host, and for 2 s after a connection could
            not be opened or was closed because of its silence.
        """
        peer = self._peer_by_host.get(host)
        if peer is None:
            return host in self._address_by_host
        failed_ms = peer.channel.failed_ms
        return failed_ms is None or self._clock.now_ms - failed_ms > _FAILED_MS

    def open_seed(self, address: str) -> _SeedChannel:
        """Return a context manager with the calls to an address.

        Args:
            address: `IP:PORT` of a peer whose name is unknown.
        """
        return _SeedChannel(self._open(address))

    async def run(self) -> None:
        """Watch the channels until cancelled, then close them."""
        try:
            async with anyio.create_task_group() as group:
                self._group = group
                for host, peer in self._peer_by_host.items():
                    group.start_soon(self._watch, host, peer)
                await anyio.sleep_forever()
        finally:
            self._group = None
            for peer in self._peer_by_host.values():
                peer.channel.close_permanently('host is stopping')
            self._peer_by_host.clear()

    def _open(self, address: str) -> _PeerChannel:
        return _PeerChannel(address, self._credential, self._clock)

    async def _watch(self, host: str, peer: _Peer) -> None:
        idle_ticks = 0
        while self._peer_by_host.get(host) is peer:
            before_ms = self._clock.now_ms
            await self._clock.sleep_ms(_TICK_MS)
            if self._clock.now_ms - before_ms > _TICK_MS + _PAUSE_MS:
                continue
            protocol = peer.channel.open_protocol
            is_busy = peer.is_used or (
                protocol is not None and protocol.has_streams
            )
            peer.is_used = False
            idle_ticks = 0 if is_busy else idle_ticks + 1
            if (
                protocol is not None
                and protocol.receive_idle_ms >= _connection.RECEIVE_TIMEOUT_MS
            ):
                self._replace(host, peer)
            elif idle_ticks >= _IDLE_TICKS:
                if self._peer_by_host.get(host) is peer:
                    del self._peer_by_host[host]
                peer.channel.close_permanently('channel is idle')

    def _replace(self, host: str, peer: _Peer) -> None:
        _LOG.warning('channel to host %s is silent; replacing it', host)
        self.replaced_count += 1
        silent = peer.channel
        peer.set_channel(self._open(peer.address))
        peer.channel.failed_ms = self._clock.now_ms
        silent.close_permanently(f'host {host} is silent')


class _SeedChannel:
    def __init__(self, channel: _PeerChannel) -> None:
        self._channel = channel

    async def __aenter__(self) -> peers_grpc.PeersStub:
        return peers_grpc.PeersStub(self._channel)

    async def __aexit__(self, *exc_info: object) -> None:
        self._channel.close_permanently('done')
