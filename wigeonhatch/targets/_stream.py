"""Network stream for httpcore on an asyncio transport.

httpcore's own stream on anyio suspends the task several times per request;
this one suspends only when it has to wait. It also counts the bytes written to
the transport: only if there are none, the request has certainly not run.
"""

from __future__ import annotations

import asyncio
import collections
import collections.abc
import select
import typing

import httpcore

from wigeonhatch import sockets
from wigeonhatch.targets import _reset_window

_HIGH_WATER_BYTES = 256 * 1024
_LOW_WATER_BYTES = 64 * 1024
# The parser turns all bytes of a read into events without a pause; these may
# be thousands of tiny chunks, while other requests wait.
_MAX_READ_BYTES = 16 * 1024
# A target that has responded and stopped reading will not read the rest.
_EARLY_RESPONSE_WAIT_S = 1.0
_RESET_POLL_S = 0.01


class TargetStream(httpcore.AsyncNetworkStream, asyncio.Protocol):
    """One connection to a target.

    Args:
        loop: Running event loop.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.sent_bytes = 0
        # Event loop time at which every wait of the current request times out.
        self.deadline_s = float('inf')
        # Whether no request uses the connection.
        self.is_idle = False
        # Whether the current request has a body.
        self.has_body = False
        self._loop = loop
        self._transport: asyncio.Transport | None = None
        self._poller = select.poll()
        self._buffer: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        # Whether no more bytes will be received.
        self._is_ended = False
        self._ended_s = 0.0
        self._sent_s = 0.0
        # Whether a part of the current request was not sent.
        self._is_request_cut = False
        self._is_reset = False
        self._is_lost = False
        self._is_reading_paused = False
        self._is_writing_paused = False
        self._read_waiter: asyncio.Future[bool] | None = None
        self._write_waiter: asyncio.Future[bool] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set the options of its socket."""
        self._transport = typing.cast('asyncio.Transport', transport)
        connection = transport.get_extra_info('socket')
        for level, option, value in sockets.KEEPALIVE_OPTIONS:
            connection.setsockopt(level, option, value)
        self._poller.register(connection.fileno(), select.POLLIN)

    def start_request(self, deadline_s: float, has_body: bool) -> None:
        """Prepare the connection for the next request.

        Args:
            deadline_s: Event loop time in s at which every wait times out.
            has_body: Whether the request has a body.
        """
        self.deadline_s = deadline_s
        self.has_body = has_body
        self.sent_bytes = 0
        self.is_idle = False
        self._is_request_cut = False

    def data_received(self, data: bytes) -> None:
        """Buffer received bytes, and pause reading if there are too many.

        Bytes that arrive while the connection is idle belong to no request and
        may have no end, so that the connection is closed.
        """
        if self.is_idle and self._transport is not None:
            self._is_ended = True
            self._transport.abort()
            return
        self._buffer.append(data)
        self._buffered_bytes += len(data)
        if (
            self._buffered_bytes > _HIGH_WATER_BYTES
            and not self._is_reading_paused
            and self._transport is not None
        ):
            self._is_reading_paused = True
            self._transport.pause_reading()
        _wake(self._read_waiter)
        # A waiting writer continues with the shorter timeout.
        _wake(self._write_waiter)

    def eof_received(self) -> bool:
        """Record that the target closed its side of the connection.

        Returns:
            Whether to keep the other side open, which shows a later reset.
        """
        self._is_ended = True
        self._ended_s = self._loop.time()
        _wake(self._read_waiter)
        _wake(self._write_waiter)
        return not self.is_idle

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the end of the connection and wake up waiting tasks."""
        self._is_reset = self._is_reset or exc is not None
        self._is_lost = True
        self._is_ended = True
        _wake(self._read_waiter)
        _wake(self._write_waiter)

    def pause_writing(self) -> None:
        """Make writers wait until the transport's buffer has drained."""
        self._is_writing_paused = True

    def resume_writing(self) -> None:
        """Wake up a waiting writer."""
        self._is_writing_paused = False
        _wake(self._write_waiter)

    async def read(
        self, max_bytes: int, timeout: float | None = None
    ) -> bytes:
        """Read available bytes.

        Args:
            max_bytes: Largest number of bytes to return; it may return fewer.
            timeout: Longest wait in s; None to wait until the deadline.

        Returns:
            At least one byte, or no bytes at the end of the stream.

        Raises:
            httpcore.ReadError: The connection was reset.
            httpcore.ReadTimeout: Nothing arrived in time, or the deadline has
                passed.
        """
        if self._buffer:
            # Without a wait for bytes, nothing else lets other tasks run.
            await asyncio.sleep(0)
        # A target that never stops sending leaves nothing to wait for, and the
        # waits are otherwise what enforces the deadline.
        if self._loop.time() >= self.deadline_s:
            raise httpcore.ReadTimeout('the deadline has passed')
        if not self._buffer and not self._is_ended:
            self._read_waiter = self._loop.create_future()
            try:
                if not await self._wait(self._read_waiter, timeout):
                    raise httpcore.ReadTimeout('the target sends nothing')
            finally:
                self._read_waiter = None
        if not self._buffer:
            if self._is_reset:
                raise httpcore.ReadError('the connection was reset')
            return b''
        data = self._buffer.popleft()
        max_bytes = min(max_bytes, _MAX_READ_BYTES)
        if len(data) > max_bytes:
            self._buffer.appendleft(data[max_bytes:])
            data = data[:max_bytes]
        self._buffered_bytes -= len(data)
        if self._is_reading_paused and self._buffered_bytes < _LOW_WATER_BYTES:
            self._is_reading_paused = False
            if self._transport is not None and not self._is_ended:
                self._transport.resume_reading()
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write bytes and wait while the transport's buffer is full.

        A request is sent to its end after a target has responded and ended
        its side: the target may still read, and if it does not, the rest makes
        it reset the connection.

        Args:
            buffer: Bytes to send.
            timeout: Longest wait in s; None to wait until the deadline.

        Raises:
            httpcore.WriteError: The connection was lost, or the target has
                responded and does not read.
            httpcore.WriteTimeout: The target does not read.
        """
        if not buffer:
            return
        transport = self._transport
        if transport is None or not self._may_send() or transport.is_closing():
            self._is_request_cut = True
            raise httpcore.WriteError('the target closed the connection')
        # Counted before the write, after which the target may receive them.
        self.sent_bytes += len(buffer)
        transport.write(buffer)
        while self._is_writing_paused and self._may_send():
            self._write_waiter = self._loop.create_future()
            wait_s = timeout
            if self._buffer:
                wait_s = _EARLY_RESPONSE_WAIT_S
            try:
                is_woken = await self._wait(self._write_waiter, wait_s)
            finally:
                self._write_waiter = None
            if not is_woken and self._buffer:
                self._is_request_cut = True
                raise httpcore.WriteError('the target responded early')
            if not is_woken:
                raise httpcore.WriteTimeout('the target does not read')
        self._sent_s = self._loop.time()

    async def confirm_end(self) -> None:
        """Wait until no reset can follow the end of the connection.

        A target that closes a connection before it has read the whole request
        resets it, which may arrive after the end.

        Raises:
            httpcore.ReadError: The connection was reset, or the request could
                not be sent to its end.
            httpcore.ReadTimeout: The deadline has passed.
        """
        if not self.has_body:
            return
        if self._is_request_cut:
            raise httpcore.ReadError('the request was not sent to its end')
        unsent_since_s = self._loop.time()
        while True:
            # The reset is looked for after the time, so that one that arrived
            # while the process was suspended is found.
            now_s = self._loop.time()
            if self._is_lost or self._has_reset():
                raise httpcore.ReadError('the connection was reset')
            if self._has_unsent_bytes():
                self._sent_s = now_s
                if now_s >= unsent_since_s + _EARLY_RESPONSE_WAIT_S:
                    raise httpcore.ReadError('the target does not read')
            elif now_s >= _reset_window.compute_end(
                self._ended_s, self._sent_s, self.sent_bytes
            ):
                return
            if now_s >= self.deadline_s:
                raise httpcore.ReadTimeout('the deadline has passed')
            await asyncio.sleep(_RESET_POLL_S)

    async def aclose(self) -> None:
        """Close the connection without sending buffered bytes."""
        self._is_ended = True
        if self._transport is not None:
            self._transport.abort()

    def get_extra_info(self, info: str) -> typing.Any:
        """Describe the connection.

        Args:
            info: `is_readable` tells whether bytes or the end have arrived.
        """
        if info == 'is_readable':
            return self._is_readable()
        return None

    def _has_reset(self) -> bool:
        """Tell whether a reset has arrived that was not processed yet."""
        return any(
            events & (select.POLLERR | select.POLLHUP)
            for _, events in self._poller.poll(0)
        )

    def _may_send(self) -> bool:
        """Tell whether the target may still read and respond."""
        has_response = bool(self._buffer)
        return not self._is_lost and (has_response or not self._is_ended)

    def _has_unsent_bytes(self) -> bool:
        return bool(
            self._transport is not None
            and self._transport.get_write_buffer_size()
        )

    def _is_readable(self) -> bool:
        if self._buffer or self._is_ended or self._transport is None:
            return True
        if self._transport.is_closing():
            return True
        # The event loop may not have processed a received end yet.
        return bool(self._poller.poll(0))

    async def _wait(
        self, future: asyncio.Future[bool], timeout: float | None
    ) -> bool:
        wait_end_s = self.deadline_s
        if timeout is not None:
            wait_end_s = min(wait_end_s, self._loop.time() + timeout)
        if wait_end_s == float('inf'):
            return await future
        timer = self._loop.call_at(wait_end_s, _resolve, future, False)
        try:
            return await future
        finally:
            timer.cancel()


def _resolve(future: asyncio.Future[bool], is_woken: bool) -> None:
    if not future.done():
        future.set_result(is_woken)


def _wake(future: asyncio.Future[bool] | None) -> None:
    if future is not None:
        _resolve(future, True)


_Protocol = typing.TypeVar('_Protocol', bound=asyncio.BaseProtocol)


async def open_connection(
    build_protocol: collections.abc.Callable[[], _Protocol],
    host: str,
    port: int,
) -> tuple[asyncio.Transport, _Protocol]:
    """Open a TCP connection.

    Args:
        build_protocol: Builds the protocol of the connection.
        host: IP address.
        port: TCP port.

    Raises:
        OSError: The connection was refused or failed.
    """
    loop = asyncio.get_running_loop()
    return await loop.create_connection(build_protocol, host, port)


class StreamBackend(httpcore.AsyncNetworkBackend):
    """Open the single connection of an httpcore connection object."""

    def __init__(self) -> None:
        self.deadline_s = float('inf')
        self.has_body = False
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
            httpcore.ConnectError: The connection was refused or failed.
            httpcore.ConnectTimeout: No connection was made in time.
        """
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout):
                _, stream = await open_connection(
                    lambda: TargetStream(loop), host, port
                )
        except TimeoutError as error:
            raise httpcore.ConnectTimeout('no answer') from error
        except OSError as error:
            raise httpcore.ConnectError(str(error)) from error
        stream.start_request(self.deadline_s, self.has_body)
        self.stream = stream
        return stream
