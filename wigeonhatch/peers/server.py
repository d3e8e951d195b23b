"""Server for calls from peers."""

from __future__ import annotations

import collections.abc
import dataclasses
import hmac
import logging
import typing

import grpclib
from grpclib import const as grpc_const
from grpclib import events as grpc_events
from grpclib import protocol as grpc_protocol
from grpclib import server as grpc_server

from wigeonhatch import clock as clocks
from wigeonhatch import settings
from wigeonhatch.peers import _connection
from wigeonhatch.peers import peers_grpc
from wigeonhatch.peers import peers_pb2

_LOG = logging.getLogger(__name__)
_SWEEP_MS = 1_000
# A peer pings each second and has a shorter timeout, so a connection that
# receives nothing for this time has lost its peer.
_TIMEOUT_MS = 5_000
_MAX_LAG_MS = 500

ForwardStream = typing.Any
"""`grpclib.server.Stream` of `ForwardRequest` and `ForwardReply`."""


@dataclasses.dataclass(frozen=True)
class PeerHandlers:
    """Functions that handle the calls from peers."""

    exchange: collections.abc.Callable[
        [peers_pb2.ExchangeRequest], peers_pb2.ExchangeReply
    ]
    push_config: collections.abc.Callable[
        [peers_pb2.ConfigUpdate], peers_pb2.ConfigAck
    ]
    fetch_config: collections.abc.Callable[
        [peers_pb2.FetchConfigRequest], peers_pb2.ConfigUpdate
    ]
    renew_lease: collections.abc.Callable[
        [peers_pb2.LeaseRequest],
        collections.abc.Awaitable[peers_pb2.LeaseReply],
    ]
    forward: collections.abc.Callable[
        [ForwardStream], collections.abc.Awaitable[None]
    ]


class PeerServer(peers_grpc.PeersBase):
    """Server that checks the credential of each call.

    Args:
        credential: Credential that peers must send.
        handlers: Functions that handle the calls.
        clock: Clock of the host.
    """

    def __init__(
        self, credential: str, handlers: PeerHandlers, clock: clocks.Clock
    ) -> None:
        self.refused_count = 0
        self._token = _connection.make_token(credential).encode()
        self._handlers = handlers
        self._clock = clock
        self._server: _WatchedServer | None = None

    async def run(
        self,
        address: str,
        on_started: collections.abc.Callable[[], None] = lambda: None,
    ) -> None:
        """Serve until cancelled, then close all connections.

        Args:
            address: `IP:PORT` to listen on.
            on_started: Called once the address accepts connections.

        Raises:
            OSError: The address is in use or does not exist.
        """
        host, port = settings.parse_address(address)
        server = _WatchedServer([self], self._clock)
        grpc_events.listen(server, grpc_events.RecvRequest, self._on_request)
        await server.start(host, port)
        on_started()
        try:
            await server.sweep()
        finally:
            server.close()
            server.abort_all('host is stopping')

    async def Exchange(self, stream: typing.Any) -> None:
        """Handle `Exchange`."""
        await self._respond(stream, self._handlers.exchange)

    async def PushConfig(self, stream: typing.Any) -> None:
        """Handle `PushConfig`."""
        await self._respond(stream, self._handlers.push_config)

    async def FetchConfig(self, stream: typing.Any) -> None:
        """Handle `FetchConfig`."""
        await self._respond(stream, self._handlers.fetch_config)

    async def RenewLease(self, stream: typing.Any) -> None:
        """Handle `RenewLease`."""
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(
                await self._handlers.renew_lease(request)
            )

    async def Forward(self, stream: typing.Any) -> None:
        """Handle `Forward`."""
        await self._handlers.forward(stream)

    async def _respond(
        self,
        stream: typing.Any,
        handler: collections.abc.Callable[[typing.Any], typing.Any],
    ) -> None:
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(handler(request))

    async def _on_request(self, event: grpc_events.RecvRequest) -> None:
        token = event.metadata.get(_connection.CREDENTIAL_KEY, '')
        if isinstance(token, bytes) or not hmac.compare_digest(
            token.encode(), self._token
        ):
            self.refused_count += 1
            raise grpclib.GRPCError(
                grpc_const.Status.UNAUTHENTICATED,
                'credential is missing or wrong',
            )


class _WatchedServer(grpc_server.Server):
    """Server that closes connections that receive no data."""

    def __init__(
        self, handlers: list[typing.Any], clock: clocks.Clock
    ) -> None:
        super().__init__(handlers)
        self._clock = clock
        self._protocols: set[_connection.WatchedProtocol] = set()

    async def sweep(self) -> None:
        """Close timed-out connections until cancelled."""
        while True:
            start_ms = self._clock.now_ms
            await self._clock.sleep_ms(_SWEEP_MS)
            is_late = self._clock.now_ms - start_ms > _SWEEP_MS + _MAX_LAG_MS
            for protocol in list(self._protocols):
                if not protocol.is_open:
                    self._protocols.discard(protocol)
                elif not is_late and protocol.receive_idle_ms >= _TIMEOUT_MS:
                    _LOG.info('peer connection timed out; closing it')
                    protocol.abort('peer is silent')

    def abort_all(self, reason: str) -> None:
        """Close all connections and discard buffered data."""
        for protocol in self._protocols:
            protocol.abort(reason)
        self._protocols.clear()

    def _protocol_factory(self) -> grpc_protocol.H2Protocol:
        base = super()._protocol_factory()
        protocol = _connection.WatchedProtocol(
            base.handler,
            self._config,
            self._h2_config,
            self._clock,
            sends_pings=False,
        )
        self._protocols.add(protocol)
        return protocol
