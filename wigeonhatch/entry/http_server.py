"""uvicorn server without signal handling."""

from __future__ import annotations

import collections.abc
import contextlib
import typing

import uvicorn

from wigeonhatch import settings as settings_module

_KEEP_ALIVE_S = 30


class HttpServer(uvicorn.Server):
    """Serve one interface of the daemon.

    uvicorn's signal handling raises the signal again after shutdown, which
    would override the exit status of a graceful stop.
    """

    @contextlib.contextmanager
    def capture_signals(self) -> collections.abc.Generator[None, None, None]:
        """Install no signal handlers."""
        yield


def build_server(app: typing.Any, address: str) -> HttpServer:
    """Build a server for one interface.

    Args:
        app: ASGI application.
        address: `IP:PORT` to listen on.

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
    return HttpServer(config)
