"""Network stream of httpcore on an asyncio transport.

The stream of httpcore on anyio suspends the task several times per request;
this one suspends only when it has to wait, and it counts the bytes that were
handed to the transport, which decides whether a request certainly did not
run.
"""

from __future__ import annotations

import asyncio
import collections
import collections.abc
import select
import typing

import httpcore

from wigeonhatch import sockets

_HIGH_WATER_BYTES = 256 * 1024
_LOW_WATER_BYTES = 64 * 1024
# A target that has responded and does not read on will not read the rest.
_EARLY_RESPONSE_WAIT_S = 1.0


class TargetStream(httpcore.AsyncNetworkStream, asyncio.Protocol):
    """One connection to a target.

    Args:
        loop: Running event loop.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.sent_bytes = 0
        # Time of the event loop at which each wait of a request ends.
        self.deadline_s = float('inf')
        self._loop = loop
        self._transport: asyncio.Transport | None = None
        self._poll = select.poll()
        self._received: collections.deque[bytes] = collections.deque()
        self._received_bytes = 0
        self._is_ended = False
        self._is_reset = False
        self._is_reading_paused = False
        self._is_writing_paused = False
        self._reader: asyncio.Future[bool] | None = None
        self._writer: asyncio.Future[bool] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = typing.cast('asyncio.Transport', transport)
        connection = transport.get_extra_info('socket')
        for level, option, value in sockets.DETECT_SILENCE:
            connection.setsockopt(level, option, value)
        self._poll.register(connection.fileno(), select.POLLIN)

    def data_received(self, data: bytes) -> None:
        """Keep received bytes until they are read."""
        self._received.append(data)
        self._received_bytes += len(data)
        if (
            self._received_bytes > _HIGH_WATER_BYTES
            and not self._is_reading_paused
            and self._transport is not None
        ):
            self._is_reading_paused = True
            self._transport.pause_reading()
        _wake(self._reader)
        # A waiting writer continues with the shorter wait.
        _wake(self._writer)

    def eof_received(self) -> bool:
        """Record that the target closed its side."""
        self._is_ended = True
        _wake(self._reader)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Wake up waiting tasks."""
        self._is_reset = self._is_reset or exc is not None
        self._is_ended = True
        _wake(self._reader)
        _wake(self._writer)

    def pause_writing(self) -> None:
        """Make writers wait."""
        self._is_writing_paused = True

    def resume_writing(self) -> None:
        """Let writers continue."""
        self._is_writing_paused = False
        _wake(self._writer)

    async def read(
        self, max_bytes: int, timeout: float | None = None
    ) -> bytes:
        """Read some bytes.

        Args:
            max_bytes: Largest result.
            timeout: Longest wait in s; None for the deadline only.

        Returns:
            At least one byte, or no bytes after the end.

        Raises:
            httpcore.ReadError: The connection was reset.
            httpcore.ReadTimeout: Nothing arrived in time.
        """
        if not self._received and not self._is_ended:
            self._reader = self._loop.create_future()
            try:
                if not await self._wait(self._reader, timeout):
                    raise httpcore.ReadTimeout('the target sends nothing')
            finally:
                self._reader = None
        if not self._received:
            # A response without a length must not seem to end here.
            if self._is_reset:
                raise httpcore.ReadError('the connection was reset')
            return b''
        data = self._received.popleft()
        if len(data) > max_bytes:
            self._received.appendleft(data[max_bytes:])
            data = data[:max_bytes]
        self._received_bytes -= len(data)
        if self._is_reading_paused and self._received_bytes < _LOW_WATER_BYTES:
            self._is_reading_paused = False
            if self._transport is not None and not self._is_ended:
                self._transport.resume_reading()
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write bytes and wait while the transport's buffer is full.

        Args:
            buffer: Bytes to send.
            timeout: Longest wait in s; None for the deadline only.
        """
        if not buffer:
            return
        transport = self._transport
        if transport is None or self._is_ended or transport.is_closing():
            raise httpcore.WriteError('the target closed the connection')
        # Counted first: from here on the target may receive the bytes.
        self.sent_bytes += len(buffer)
        transport.write(buffer)
        while self._is_writing_paused and not self._is_ended:
            self._writer = self._loop.create_future()
            wait_s = timeout
            if self._received:
                wait_s = _EARLY_RESPONSE_WAIT_S
            try:
                is_woken = await self._wait(self._writer, wait_s)
            finally:
                self._writer = None
            if not is_woken and self._received:
                raise httpcore.WriteError('the target responded early')
            if not is_woken:
                raise httpcore.WriteTimeout('the target does not read')

    async def aclose(self) -> None:
        """Close the connection without sending buffered bytes."""
        self._is_ended = True
        if self._transport is not None:
            self._transport.abort()

    def get_extra_info(self, info: str) -> typing.Any:
        """Describe the connection.

        Args:
            info: `is_readable`: whether bytes or the end have arrived.
        """
        if info == 'is_readable':
            return self._is_readable()
        return None

    def _is_readable(self) -> bool:
        if self._received or self._is_ended or self._transport is None:
            return True
        if self._transport.is_closing():
            return True
        # The end may have arrived without the event loop having seen it.
        return bool(self._poll.poll(0))

    async def _wait(
        self, future: asyncio.Future[bool], timeout: float | None
    ) -> bool:
        end_s = self.deadline_s
        if timeout is not None:
            end_s = min(end_s, self._loop.time() + timeout)
        if end_s == float('inf'):
            return await future
        timer = self._loop.call_at(end_s, _settle, future, False)
        try:
            return await future
        finally:
            timer.cancel()


def _settle(future: asyncio.Future[bool], is_woken: bool) -> None:
    if not future.done():
        future.set_result(is_woken)


def _wake(future: asyncio.Future[bool] | None) -> None:
    if future is not None:
        _settle(future, True)


class StreamBackend(httpcore.AsyncNetworkBackend):
    """Open the one connection of an httpcore connection object."""

    def __init__(self) -> None:
        self.deadline_s = float('inf')
        self.stream: TargetStream | None = None

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: collections.abc.Iterable[typing.Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Connect to a target.

        Args:
            host: IP address.
            port: TCP port.
            timeout: Longest wait in s.
            local_address: Not used.
            socket_options: Not used.

        Raises:
            httpcore.ConnectError: The target refused.
            httpcore.ConnectTimeout: The target did not respond.
        """
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout):
                _, stream = await loop.create_connection(
                    lambda: TargetStream(loop), host, port
                )
        except TimeoutError as error:
            raise httpcore.ConnectTimeout('no answer') from error
        except OSError as error:
            raise httpcore.ConnectError(str(error)) from error
        stream.deadline_s = self.deadline_s
        self.stream = stream
        return stream
