"""uvicorn server of the callers' interface, with connection limits."""

from __future__ import annotations

import asyncio
import collections.abc
import typing

from uvicorn import config as uvicorn_config
from uvicorn.protocols.http import httptools_impl

from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch import settings
from wigeonhatch.platform import names
from wigeonhatch.requests import _asgi
from wigeonhatch.requests import _fields
from wigeonhatch.requests import _replies
from wigeonhatch.requests import connection_ledger

KEEP_ALIVE_S = 30
Application = collections.abc.Callable[
    [_asgi.Scope, _asgi.Receive, _asgi.Send],
    collections.abc.Awaitable[None],
]
# A refused caller that is still sending has this long to read the refusal; an
# immediate close would reset the connection and discard the refusal.
_LINGER_S = 2.0


class _CycleTransport:
    """Transport of one request and its response.

    uvicorn closes it at the end of a response that ends the connection. While
    the caller is still sending, that would reset the connection.
    """

    def __init__(self, protocol: BoundedProtocol) -> None:
        self.write = protocol.transport.write
        self.is_closing = protocol.transport.is_closing
        self.close = protocol.close_after_response


class BoundedProtocol(httptools_impl.HttpToolsProtocol):
    """HTTP protocol with limits on connections and incomplete heads."""

    limits: settings.Limits
    ledger: connection_ledger.ConnectionLedger
    keep_alive_s: float = KEEP_ALIVE_S

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Refuse a connection beyond the limit."""
        super().connection_made(typing.cast('asyncio.Transport', transport))
        self.ledger.add(self)
        self._is_refused = False
        self._is_reading_head = False
        self._is_ending = False
        self._head_bytes = 0
        self._timer: asyncio.TimerHandle | None = None
        if len(self.connections) > self.limits.max_connections:
            self._refuse(
                outcome.Failure(codes.ResultCode.TOO_MANY_CONNECTIONS)
            )
            return
        self._start_timer(
            self.limits.max_body_gap_ms / 1_000, self._on_head_timeout
        )

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the timer of the closed connection."""
        self._stop_timer()
        self.ledger.remove(self)
        super().connection_lost(exc)

    def shutdown(self) -> None:
        """Close the connection at once, or after its response."""
        if self._stage is not connection_ledger.Stage.DISCARDING:
            super().shutdown()

    def describe_exchange(self) -> connection_ledger.Exchange:
        """Describe the latest exchange on the connection."""
        headers = dict(self.headers or ())
        return connection_ledger.Exchange(
            self._stage,
            headers.get(names.REQUEST_ID, b'').decode('ascii', 'replace'),
            self._unsent_bytes,
        )

    @property
    def _stage(self) -> connection_ledger.Stage:
        cycle = self.cycle
        if cycle is not None and not (
            cycle.response_complete or self._is_refused
        ):
            return connection_ledger.Stage.RUNNING
        if self._unsent_bytes:
            return connection_ledger.Stage.SENDING
        if self._is_refused or (cycle is not None and cycle.more_body):
            return connection_ledger.Stage.DISCARDING
        if self._is_reading_head:
            return connection_ledger.Stage.RECEIVING
        return connection_ledger.Stage.IDLE

    @property
    def _unsent_bytes(self) -> int:
        try:
            return self.transport.get_write_buffer_size()
        except RuntimeError:
            # uvloop refuses the call between an abort and `connection_lost`.
            return 0

    def eof_received(self) -> None:
        """Refuse a body that is shorter than declared."""
        cycle = self.cycle
        if (
            cycle is not None
            and cycle.more_body
            and not cycle.response_started
            and not self._is_refused
        ):
            # The application may have forwarded a part of the body.
            cycle.response_started = True
            self._write_refusal(
                outcome.Failure(
                    codes.ResultCode.BODY_LENGTH_MISMATCH,
                    'the connection ended within the body',
                )
            )

    def data_received(self, data: bytes) -> None:
        """Parse data; limit the size and time of an incomplete head."""
        if self._is_refused:
            return
        super().data_received(data)
        if not self._is_reading_head:
            return
        self._head_bytes += len(data)
        if self._head_bytes > self.limits.max_header_bytes:
            self._refuse(outcome.Failure(codes.ResultCode.HEADER_TOO_LARGE))
        elif self._timer is None and not self._is_refused:
            self._start_timer(
                self.limits.max_body_gap_ms / 1_000, self._on_head_timeout
            )

    def on_message_begin(self) -> None:
        """Give the application a way to abort the connection."""
        super().on_message_begin()
        self._is_reading_head = True
        self._head_bytes = 0
        scope: dict[str, typing.Any] = typing.cast(
            'dict[str, typing.Any]', self.scope
        )
        scope['extensions'] = {_asgi.ABORT_EXTENSION: self.transport.abort}

    def on_headers_complete(self) -> None:
        """Stop the timer of the head."""
        self._is_reading_head = False
        self._stop_timer()
        super().on_headers_complete()
        self.cycle.transport = typing.cast(
            'asyncio.Transport', _CycleTransport(self)
        )

    def close_after_response(self) -> None:
        """Close the connection, but read a request that was answered early."""
        cycle = self.cycle
        self._is_ending = True
        if not (cycle.response_complete and cycle.more_body):
            self.transport.close()

    def on_message_complete(self) -> None:
        """Keep the connection open once a refused body was read completely."""
        if self.cycle.response_complete:
            self._stop_timer()
            if self._is_ending:
                self.transport.close()
        super().on_message_complete()

    def on_response_complete(self) -> None:
        """Limit the time to read the rest of a refused body."""
        cycle = self.cycle
        if cycle.response_complete and cycle.more_body:
            self._start_timer(_LINGER_S, self.transport.close)
        self.timeout_keep_alive = self.keep_alive_s  # type: ignore[assignment]
        super().on_response_complete()

    def send_400_response(self, msg: str) -> None:
        """Refuse malformed HTTP."""
        cycle = self.cycle
        if (
            cycle is not None
            and cycle.response_started
            and not cycle.response_complete
        ):
            # The refusal would end up within the response in progress.
            self.transport.abort()
            return
        self._refuse(outcome.Failure(codes.ResultCode.BAD_REQUEST, msg))

    def _on_head_timeout(self) -> None:
        self._timer = None
        self._refuse(
            outcome.Failure(
                codes.ResultCode.SLOW_SENDER,
                'the head is incomplete',
                codes.Ran.NOT_RUN,
            )
        )

    def _refuse(self, failure: outcome.Failure) -> None:
        self._is_refused = True
        self._is_reading_head = False
        if len(self.connections) > 2 * self.limits.max_connections:
            self.transport.abort()
            return
        self._write_refusal(failure)
        self._start_timer(_LINGER_S, self.transport.close)

    def _write_refusal(self, failure: outcome.Failure) -> None:
        status, headers, body = _replies.render_refusal(
            failure, _fields.choose_request_id(None)
        )
        head = b''.join(b'%b: %b\r\n' % item for item in headers)
        self.transport.write(
            httptools_impl.STATUS_LINE[status]
            + head
            + b'connection: close\r\n\r\n'
            + body
        )

    def _start_timer(
        self, delay_s: float, callback: collections.abc.Callable[[], None]
    ) -> None:
        self._stop_timer()
        self._timer = self.loop.call_later(delay_s, callback)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def build_protocol(
    limits: settings.Limits,
    ledger: connection_ledger.ConnectionLedger | None = None,
) -> type[BoundedProtocol]:
    """Build a protocol class whose limits can be replaced while in use.

    Args:
        limits: Limits of the callers' interface.
        ledger: Receives the connections.
    """
    return type(
        'LimitedProtocol',
        (BoundedProtocol,),
        {
            'limits': limits,
            'ledger': ledger or connection_ledger.ConnectionLedger(),
        },
    )


def build_server_config(
    application: Application,
    address: str,
    protocol: type[BoundedProtocol],
) -> uvicorn_config.Config:
    """Configure uvicorn for the callers' interface.

    Args:
        application: ASGI application to serve.
        address: `IP:PORT` to listen on.
        protocol: Protocol class with the limits of the callers' interface.
    """
    host, port = settings.parse_address(address)
    return uvicorn_config.Config(
        application,  # type: ignore[arg-type]
        host=host,
        port=port,
        http=protocol,
        ws='none',
        lifespan='off',
        loop='uvloop',
        interface='asgi3',
        log_config=None,
        access_log=False,
        proxy_headers=False,
        server_header=False,
        date_header=False,
        timeout_keep_alive=KEEP_ALIVE_S,
        backlog=2_048,
    )
