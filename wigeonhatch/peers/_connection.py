"""HTTP/2 connection that sends pings and reports its receive idle time."""

from __future__ import annotations

import asyncio
import hashlib
import typing

from grpclib import config as grpc_config
from grpclib import protocol as grpc_protocol
from h2 import config as h2_config

from wigeonhatch import clock as clocks

CREDENTIAL_KEY = 'wigeonhatch-credential'
PING_INTERVAL_MS = 1_000
_MAX_PING_INTERVAL_MS = 3_000
_PING_DATA = b'keepaliv'
RECEIVE_TIMEOUT_MS = 3_000
"""A connection that receives no data for this time is closed."""


def make_token(credential: str) -> str:
    """Hash the credential, since metadata allows only printable ASCII."""
    return hashlib.sha256(credential.encode()).hexdigest()


class WatchedProtocol(grpc_protocol.H2Protocol):
    """Connection that records when it last received data.

    The keepalive of the library is not used. After its timeout it waits for
    unsent data, so that calls on an unresponsive connection hang, and its
    ping fails on a connection that the peer has just closed.

    Args:
        handler: Handler of the library.
        configuration: Settings of the connection.
        settings: Settings of HTTP/2.
        clock: Clock of the host.
        sends_pings: Whether this side sends pings.
    """

    total_received_bytes: typing.ClassVar[int] = 0
    """Bytes received by all connections of the process."""

    def __init__(
        self,
        handler: grpc_protocol.AbstractHandler,
        configuration: grpc_config.Configuration,
        settings: h2_config.H2Configuration,
        clock: clocks.Clock,
        sends_pings: bool,
    ) -> None:
        super().__init__(handler, configuration, settings)
        self._sends_pings = sends_pings
        self._last_ping_ms = clock.now_ms
        self._clock = clock
        self._transport: asyncio.Transport | None = None
        self._last_received_ms = clock.now_ms

    @property
    def receive_idle_ms(self) -> int:
        """Time since data was last received, in ms."""
        return self._clock.now_ms - self._last_received_ms

    @property
    def has_streams(self) -> bool:
        """Whether a call is in flight."""
        return bool(self.processor.streams)

    @property
    def is_open(self) -> bool:
        """Whether the connection can carry data."""
        return self._transport is not None and not (
            self._transport.is_closing()
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the connection and schedule pings."""
        self._transport = typing.cast(asyncio.Transport, transport)
        self._last_received_ms = self._clock.now_ms
        super().connection_made(transport)
        if self._sends_pings:
            self._schedule_ping()

    def data_received(self, data: bytes) -> None:
        """Process data and record the time."""
        self._last_received_ms = self._clock.now_ms
        WatchedProtocol.total_received_bytes += len(data)
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """End all calls."""
        self._transport = None
        super().connection_lost(exc)

    def abort(self, reason: str) -> None:
        """Close the connection and discard buffered data.

        Args:
            reason: Passed to the calls in flight, which all end.
        """
        if self._transport is None:
            return
        self.processor.close(reason)
        self._transport.abort()

    def _schedule_ping(self) -> None:
        asyncio.get_running_loop().call_later(
            PING_INTERVAL_MS / 1000, self._ping
        )

    def _ping(self) -> None:
        if not self.is_open or self.connection.is_closing():
            return
        # While data arrives, the peer is known to be alive; less frequent
        # pings then show the peer that this side is alive.
        if (
            self.receive_idle_ms >= PING_INTERVAL_MS // 2
            or self._clock.now_ms - self._last_ping_ms >= _MAX_PING_INTERVAL_MS
        ):
            self._last_ping_ms = self._clock.now_ms
            self.connection._connection.ping(_PING_DATA)
            try:
                self.connection.flush()
            except RuntimeError:
                # When a connect is cancelled as it completes, uvloop closes
                # the transport without calling `connection_lost`.
                self._transport = None
                return
        self._schedule_ping()
