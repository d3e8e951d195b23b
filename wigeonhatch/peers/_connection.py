"""HTTP/2 connection whose silence can be observed."""

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
SILENCE_MS = 3_000
"""A connection on which nothing arrives for this time is closed."""


def make_token(credential: str) -> str:
    """Derive what is sent; metadata allows only printable ASCII."""
    return hashlib.sha256(credential.encode()).hexdigest()


def client_configuration() -> grpc_config.Configuration:
    """Return the settings of a channel, with a ping each second."""
    return grpc_config.Configuration(
        _keepalive_time=PING_INTERVAL_MS / 1000,
        # The library's own timeout leaves the calls of a connection with
        # unsent data waiting; `abort` ends them after SILENCE_MS.
        _keepalive_timeout=60.0,
        _keepalive_permit_without_calls=True,
        _http2_max_pings_without_data=0,
        _http2_min_sent_ping_interval_without_data=0.5,
    )


class WatchedProtocol(grpc_protocol.H2Protocol):
    """Connection that notes when data last arrived.

    Args:
        handler: Handler of the library.
        configuration: Settings of the connection.
        settings: Settings of HTTP/2.
        clock: Clock of the host.
    """

    total_received_bytes: typing.ClassVar[int] = 0
    """Bytes received by all connections of the process."""

    def __init__(
        self,
        handler: grpc_protocol.AbstractHandler,
        configuration: grpc_config.Configuration,
        settings: h2_config.H2Configuration,
        clock: clocks.Clock,
    ) -> None:
        super().__init__(handler, configuration, settings)
        self._clock = clock
        self._transport: asyncio.Transport | None = None
        self._received_ms = clock.now_ms

    @property
    def silent_ms(self) -> int:
        """Time since data last arrived, in ms."""
        return self._clock.now_ms - self._received_ms

    @property
    def has_streams(self) -> bool:
        """Whether a call is in progress."""
        return bool(self.processor.streams)

    @property
    def is_open(self) -> bool:
        """Whether the connection can carry data."""
        return self._transport is not None and not (
            self._transport.is_closing()
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the connection."""
        self._transport = typing.cast(asyncio.Transport, transport)
        self._received_ms = self._clock.now_ms
        super().connection_made(transport)

    def data_received(self, data: bytes) -> None:
        """Process data and note the time."""
        self._received_ms = self._clock.now_ms
        WatchedProtocol.total_received_bytes += len(data)
        super().data_received(data)

    def abort(self, reason: str) -> None:
        """Close the connection without sending what is buffered.

        Args:
            reason: Passed to the calls in progress, which all end.
        """
        if self._transport is None:
            return
        self.processor.close(reason)
        self._transport.abort()
