"""Channels to peers, each monitored by a task of its own."""

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
_CONNECT_TIMEOUT_MS = 1_000
_CHECK_PERIOD_MS = 500
# A check that is later than this means that the process was paused. Data that
# arrived in the meantime has not been read yet, so the idle time is invalid.
_MAX_LAG_MS = 500
_MAX_IDLE_CHECKS = 120
_RETRY_MS = 2_000
PEER_ERRORS: tuple[type[Exception], ...] = (
    OSError,
    TimeoutError,
    grpclib.GRPCError,
    grpc_exceptions.ProtocolError,
    grpc_exceptions.StreamTerminatedError,
    h2_exceptions.H2Error,
    # uvloop raises this for a write to a transport that it has just closed.
    RuntimeError,
)
"""Errors that a call to a peer may raise."""


def make_call_failure(
    error: Exception, host: str, head_sent: bool
) -> outcome.Failure:
    """Convert a call error to a failure that never hides an execution.

    Args:
        error: One of `PEER_ERRORS`.
        host: Host that was called.
        head_sent: Whether the head of the request may have been sent.

    Returns:
        `PEER_UNREACHABLE` or `DEADLINE_EXCEEDED` (not run) if nothing was
        sent, otherwise `PEER_LOST` or `DEADLINE_EXCEEDED_RUNNING` (unknown).
    """
    detail = f'host {host}: {type(error).__name__}: {error}'
    is_unauthenticated = (
        isinstance(error, grpclib.GRPCError)
        and error.status is grpc_const.Status.UNAUTHENTICATED
    )
    if is_unauthenticated:
        return outcome.Failure(codes.ResultCode.PEER_UNREACHABLE, detail)
    is_timeout = isinstance(error, TimeoutError)
    if head_sent:
        code = codes.ResultCode.PEER_LOST
        if is_timeout:
            code = codes.ResultCode.DEADLINE_EXCEEDED_RUNNING
    else:
        code = codes.ResultCode.PEER_UNREACHABLE
        if is_timeout:
            code = codes.ResultCode.DEADLINE_EXCEEDED
    return outcome.Failure(code, detail)


class _PeerChannel(grpc_client.Channel):
    """Channel that sends the credential and has a connect timeout."""

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
        metadata = kwargs.get('metadata') or ()
        pairs = metadata.items() if hasattr(metadata, 'items') else metadata
        kwargs['metadata'] = [*self._metadata, *pairs]
        return super().request(*args, **kwargs)

    def _protocol_factory(self) -> _connection.WatchedProtocol:
        return _connection.WatchedProtocol(
            grpc_client.Handler(),
            self._config,
            self._h2_config,
            self._clock,
            sends_pings=True,
        )

    def close_permanently(self, reason: str) -> None:
        """End all calls and refuse new ones.

        Args:
            reason: Passed to the calls in flight.
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
            async with asyncio.timeout(_CONNECT_TIMEOUT_MS / 1000):
                protocol = await super()._create_connection()
        except TimeoutError:
            self.failed_ms = self._clock.now_ms
            # A `TimeoutError` would be treated as the deadline of the call.
            raise ConnectionError(
                f'no connection within {_CONNECT_TIMEOUT_MS} ms'
            ) from None
        except OSError:
            self.failed_ms = self._clock.now_ms
            raise
        connection = typing.cast(_connection.WatchedProtocol, protocol)
        if self._is_closed:
            connection.abort('channel was closed')
        if not connection.is_open:
            # The library would use the connection without checking it.
            self.failed_ms = self._clock.now_ms
            raise ConnectionError('connection was closed at once')
        self.failed_ms = None
        return connection


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
    """Channels to all peers; each connects on its first call.

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
        """Apply the peer addresses of a configuration.

        Channels to peers that were removed or got another address close, and
        their calls end.

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
        """Return the stub for a call to a peer.

        Args:
            host: Name of the peer.

        Returns:
            The stub to use for one call at once; None for an unknown host
            and for this host.
        """
        peer = self._peer_by_host.get(host)
        if peer is None:
            address = self._address_by_host.get(host)
            if address is None:
                return None
            peer = _Peer(address, self._open(address))
            self._peer_by_host[host] = peer
            if self._group is not None:
                self._group.start_soon(self._monitor, host, peer)
        peer.is_used = True
        return peer.stub

    def is_usable(self, host: str) -> bool:
        """Return whether a call to a peer is likely to succeed.

        Args:
            host: Name of the peer.

        Returns:
            False for an unknown host, and for 2 s after a connection failed
            to open or was closed because it received no data.
        """
        peer = self._peer_by_host.get(host)
        if peer is None:
            return host in self._address_by_host
        failed_ms = peer.channel.failed_ms
        return failed_ms is None or self._clock.now_ms - failed_ms > _RETRY_MS

    def open_seed(self, address: str) -> _SeedChannel:
        """Return a context manager that yields a stub for an address.

        Args:
            address: `IP:PORT` of a peer whose name is unknown.
        """
        return _SeedChannel(self._open(address))

    async def run(self) -> None:
        """Monitor the channels until cancelled, then close them."""
        try:
            async with anyio.create_task_group() as group:
                self._group = group
                for host, peer in self._peer_by_host.items():
                    group.start_soon(self._monitor, host, peer)
                await anyio.sleep_forever()
        finally:
            self._group = None
            for peer in self._peer_by_host.values():
                peer.channel.close_permanently('host is stopping')
            self._peer_by_host.clear()

    def _open(self, address: str) -> _PeerChannel:
        return _PeerChannel(address, self._credential, self._clock)

    async def _monitor(self, host: str, peer: _Peer) -> None:
        idle_checks = 0
        while self._peer_by_host.get(host) is peer:
            start_ms = self._clock.now_ms
            await self._clock.sleep_ms(_CHECK_PERIOD_MS)
            if self._clock.now_ms - start_ms > _CHECK_PERIOD_MS + _MAX_LAG_MS:
                continue
            protocol = peer.channel.open_protocol
            is_busy = peer.is_used or (
                protocol is not None and protocol.has_streams
            )
            peer.is_used = False
            idle_checks = 0 if is_busy else idle_checks + 1
            if (
                protocol is not None
                and protocol.receive_idle_ms >= _connection.RECEIVE_TIMEOUT_MS
            ):
                self._replace(host, peer)
            elif idle_checks >= _MAX_IDLE_CHECKS:
                if self._peer_by_host.get(host) is peer:
                    del self._peer_by_host[host]
                peer.channel.close_permanently('channel is idle')

    def _replace(self, host: str, peer: _Peer) -> None:
        _LOG.warning('channel to host %s timed out; replacing it', host)
        self.replaced_count += 1
        timed_out = peer.channel
        peer.set_channel(self._open(peer.address))
        peer.channel.failed_ms = self._clock.now_ms
        timed_out.close_permanently(f'host {host} is silent')


class _SeedChannel:
    def __init__(self, channel: _PeerChannel) -> None:
        self._channel = channel

    async def __aenter__(self) -> peers_grpc.PeersStub:
        return peers_grpc.PeersStub(self._channel)

    async def __aexit__(self, *exc_info: object) -> None:
        self._channel.close_permanently('done')
