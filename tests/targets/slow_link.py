"""Link to a target with a delay and a bandwidth, as between regions."""

from __future__ import annotations

import asyncio
import select
import socket
import struct

CHUNK_BYTES = 16_384
CHUNK_S = 0.01
_POLL_S = 0.002
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class SlowLink:
    """Relay of TCP connections that passes on their ends and resets.

    Args:
        delay_s: One-way delay in s.
    """

    def __init__(self, delay_s: float) -> None:
        self._delay_s = delay_s
        self._upstream = ('', 0)
        self._server: asyncio.Server | None = None

    async def open(self, upstream: tuple[str, int]) -> tuple[str, int]:
        """Listen in front of a target.

        Args:
            upstream: Address of the target.

        Returns:
            Address of the link.
        """
        self._upstream = upstream
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        return host, port

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writers = [writer]
        tasks: list[asyncio.Task[None]] = []
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                *self._upstream
            )
            writers.append(upstream_writer)
            tasks = [
                asyncio.ensure_future(coroutine)
                for coroutine in (
                    self._pass_on(reader, upstream_writer),
                    self._pass_on(upstream_reader, writer),
                    _wait_for_reset(writer),
                    _wait_for_reset(upstream_writer),
                )
            ]
            both_ends = asyncio.gather(*tasks[:2])
            await asyncio.wait(
                {both_ends, *tasks[2:]}, return_when=asyncio.FIRST_COMPLETED
            )
            if both_ends.done() and both_ends.exception() is None:
                return
            # One side was reset: the other one is, once that has travelled.
            await asyncio.sleep(self._delay_s)
            for item in writers:
                item.get_extra_info('socket').setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for item in writers:
                item.transport.abort()

    async def _pass_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Pass bytes on in chunks, each after the delay."""
        loop = asyncio.get_running_loop()
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()

        async def deliver() -> None:
            while True:
                due_s, data = await queue.get()
                await asyncio.sleep(due_s - loop.time())
                if not data:
                    writer.write_eof()
                    return
                writer.write(data)
                await writer.drain()

        delivery = asyncio.ensure_future(deliver())
        try:
            while data := await reader.read(CHUNK_BYTES):
                queue.put_nowait((loop.time() + self._delay_s, data))
                await asyncio.sleep(CHUNK_S)
            queue.put_nowait((loop.time() + self._delay_s, b''))
            await delivery
        finally:
            delivery.cancel()


async def _wait_for_reset(writer: asyncio.StreamWriter) -> None:
    """Wait until one side has reset its connection.

    A stream whose end has been read does not report a reset by itself.
    """
    poller = select.poll()
    poller.register(writer.get_extra_info('socket').fileno(), 0)
    while not writer.transport.is_closing():
        if any(events & select.POLLERR for _, events in poller.poll(0)):
            return
        await asyncio.sleep(_POLL_S)
