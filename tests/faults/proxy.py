"""Loopback proxy whose connections can be delayed, silenced or reset."""

from __future__ import annotations

import asyncio
import contextlib

_PART_BYTES = 65_536


class _Link:
    """One connection through the proxy."""

    def __init__(self, *writers: asyncio.StreamWriter) -> None:
        self.is_silent = False
        self.writers = list(writers)

    def reset(self) -> None:
        """Reset both sides."""
        for writer in self.writers:
            writer.transport.abort()


class Proxy:
    """Pass TCP connections on to one address.

    Bytes that a silent direction holds back are passed on when it ends, as a
    network does; connections that were silenced for good stay so.

    Args:
        ip: Address to listen on.
        port: Port to listen on; 0 for any.
    """

    def __init__(self, ip: str = '127.0.0.1', port: int = 0) -> None:
        self.ip = ip
        self.port = port
        self.upstream: tuple[str, int] | None = None
        self.delay_ms = 0
        self.refuses = False
        self.is_request_silent = False
        self.is_response_silent = False
        self._links: set[_Link] = set()
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """`IP:PORT` of the proxy."""
        return f'{self.ip}:{self.port}'

    async def open(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, self.ip, self.port, backlog=512
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset_open()

    def reset_open(self) -> None:
        """Reset the open connections."""
        for link in list(self._links):
            link.reset()

    def silence_open(self) -> None:
        """Pass nothing more on over the open connections."""
        for link in self._links:
            link.is_silent = True

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        link = _Link(writer)
        self._links.add(link)
        try:
            if self.refuses or self.upstream is None:
                return
            up_reader, up_writer = await asyncio.open_connection(
                *self.upstream
            )
            link.writers.append(up_writer)
            await asyncio.gather(
                self._pump(link, reader, up_writer, True),
                self._pump(link, up_reader, writer, False),
            )
        except (OSError, asyncio.CancelledError):
            # The other side is reset as well; the streams of asyncio report
            # handlers that are cancelled at the end as errors.
            pass
        finally:
            link.reset()
            self._links.discard(link)

    async def _pump(
        self,
        link: _Link,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_request: bool,
    ) -> None:
        while True:
            data = await reader.read(_PART_BYTES)
            if self.delay_ms:
                await asyncio.sleep(self.delay_ms / 1_000)
            while link.is_silent or self._is_silent(is_request):
                if writer.transport.is_closing():
                    return
                await asyncio.sleep(0.02)
            if not data:
                with contextlib.suppress(OSError, RuntimeError):
                    writer.write_eof()
                return
            writer.write(data)
            await writer.drain()

    def _is_silent(self, is_request: bool) -> bool:
        return (
            self.is_request_silent if is_request else self.is_response_silent
        )
