"""Loopback TCP proxy that can delay, stall or reset connections."""

from __future__ import annotations

import asyncio
import contextlib

_CHUNK_BYTES = 65_536


class _ProxiedConnection:
    """Client connection and its upstream connection."""

    def __init__(self, *writers: asyncio.StreamWriter) -> None:
        self.is_stalled = False
        self.writers = list(writers)

    def reset(self) -> None:
        """Reset both sides."""
        for writer in self.writers:
            writer.transport.abort()


class Proxy:
    """Forwards TCP connections to one upstream address.

    Bytes held in a stalled direction are forwarded when the stall ends, like
    TCP retransmissions; `stall_connections` stalls connections for good.

    Args:
        ip: Address to listen on.
        port: Port to listen on; 0 for any.
    """

    def __init__(self, ip: str = '127.0.0.1', port: int = 0) -> None:
        self.ip = ip
        self.port = port
        self.upstream: tuple[str, int] | None = None
        self.delay_ms = 0
        self.refuses_connections = False
        self.is_request_stalled = False
        self.is_response_stalled = False
        self._connections: set[_ProxiedConnection] = set()
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """`IP:PORT` of the proxy."""
        return f'{self.ip}:{self.port}'

    async def open(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(
            self._serve, self.ip, self.port, backlog=512
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset_connections()

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for connection in list(self._connections):
            connection.reset()

    def stall_connections(self) -> None:
        """Stall all open connections for the rest of their lifetime."""
        for connection in self._connections:
            connection.is_stalled = True

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = _ProxiedConnection(writer)
        self._connections.add(connection)
        try:
            if self.refuses_connections or self.upstream is None:
                return
            upstream_reader, upstream_writer = await asyncio.open_connection(
                *self.upstream
            )
            connection.writers.append(upstream_writer)
            await asyncio.gather(
                self._forward(connection, reader, upstream_writer, True),
                self._forward(connection, upstream_reader, writer, False),
            )
        except (OSError, asyncio.CancelledError):
            # The other side is reset below. Cancellation at the end is caught
            # because asyncio streams report cancelled handlers as errors.
            pass
        finally:
            connection.reset()
            self._connections.discard(connection)

    async def _forward(
        self,
        connection: _ProxiedConnection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_request: bool,
    ) -> None:
        while True:
            data = await reader.read(_CHUNK_BYTES)
            if self.delay_ms:
                await asyncio.sleep(self.delay_ms / 1_000)
            while connection.is_stalled or self._is_stalled(is_request):
                if writer.transport.is_closing():
                    return
                await asyncio.sleep(0.02)
            if not data:
                with contextlib.suppress(OSError, RuntimeError):
                    writer.write_eof()
                return
            writer.write(data)
            await writer.drain()

    def _is_stalled(self, is_request: bool) -> bool:
        return (
            self.is_request_stalled if is_request else self.is_response_stalled
        )
