"""uvicorn server without signal handling."""

from __future__ import annotations

import collections.abc
import contextlib
import logging
import socket
import typing

import uvicorn

from wigeonhatch import settings as settings_module

_KEEP_ALIVE_S = 30
_LOG = logging.getLogger(__name__)


class HttpServer(uvicorn.Server):
    """Serve one interface of the daemon.

    uvicorn's signal handling raises the signal again after shutdown, which
    would override the exit status of a graceful stop.
    """

    @contextlib.contextmanager
    def capture_signals(self) -> collections.abc.Generator[None, None, None]:
        """Install no signal handlers."""
        yield

    def stop_accepting(self) -> None:
        """Close the listeners and the idle connections at once.

        `serve` does the same, but up to 0.1 s after `should_exit` is set.
        """
        self.should_exit = True
        if not self.started:
            return
        for listener in self.servers:
            listener.close()
        for connection in list(self.server_state.connections):
            connection.shutdown()


class OptionalServer(HttpServer):
    """Serve an interface without which the daemon can do its work.

    uvicorn ends the process if an address cannot be bound.
    """

    async def serve(self, sockets: list[socket.socket] | None = None) -> None:
        """Serve until `should_exit` is set; return if that is impossible."""
        try:
            await super().serve(sockets)
        except SystemExit:
            _LOG.error(
                'interface not served',
                extra={
                    'event_fields': {
                        'address': f'{self.config.host}:{self.config.port}'
                    }
                },
            )


def build_server(
    app: typing.Any, address: str, is_optional: bool = False
) -> HttpServer:
    """Build a server for one interface.

    Args:
        app: ASGI application.
        address: `IP:PORT` to listen on.
        is_optional: Whether the daemon runs without it if the address cannot
            be bound.

    Returns:
        A server; `serve()` runs it until `should_exit` is set.
    """
    host, port = settings_module.parse_address(address)
    config = uvicorn.Config(
        app,
        host=host,
        port=port,
        loop='uvloop',
        http='httptools',
        log_config=None,
        access_log=False,
        lifespan='off',
        server_header=False,
        date_header=False,
        timeout_keep_alive=_KEEP_ALIVE_S,
    )
    return OptionalServer(config) if is_optional else HttpServer(config)
