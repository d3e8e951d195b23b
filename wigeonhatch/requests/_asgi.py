"""ASGI adapters for requests and responses of callers."""

from __future__ import annotations

import asyncio
import collections.abc
import logging
import typing

import anyio

from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.requests import headers as fields
from wigeonhatch.requests import model

LOG = logging.getLogger(__name__)

ABORT_EXTENSION = 'wigeonhatch.abort'

Scope = collections.abc.MutableMapping[str, typing.Any]
Message = collections.abc.MutableMapping[str, typing.Any]
Receive = collections.abc.Callable[[], collections.abc.Awaitable[Message]]
Send = collections.abc.Callable[[Message], collections.abc.Awaitable[None]]


class AsgiReply:
    """Send a response to the caller and check its declared length."""

    def __init__(self, send: Send, is_head_request: bool) -> None:
        self.is_started = False
        self.is_finished = False
        self._send = send
        self._is_head_request = is_head_request
        self._declared_length = -1
        self._sent_bytes = 0

    async def start(
        self, status: int, headers: fields.HeaderTuple
    ) -> outcome.Failure | None:
        self.is_started = True
        if not self._is_head_request:
            length = fields.find(headers, b'content-length')
            self._declared_length = -1 if length is None else int(length)
        await self._send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': headers,
            }
        )
        return None

    async def write(
        self, chunk: bytes, is_last: bool
    ) -> outcome.Failure | None:
        self._sent_bytes += len(chunk)
        if self._declared_length >= 0 and (
            self._sent_bytes > self._declared_length
            or (is_last and self._sent_bytes != self._declared_length)
        ):
            LOG.error(
                'INVARIANT_VIOLATED: response of %d bytes, declared %d',
                self._sent_bytes,
                self._declared_length,
            )
            return outcome.Failure(
                codes.ResultCode.INVARIANT_VIOLATED,
                'the response differs from its declared length',
                codes.Ran.RAN,
            )
        # Set before the send, because the server reports a disconnect to
        # the watcher once it has sent the last chunk.
        self.is_finished = is_last
        await self._send(
            {
                'type': 'http.response.body',
                'body': chunk,
                'more_body': not is_last,
            }
        )
        return None


class CallerConnection:
    """Receive a body and detect when the caller disconnects."""

    def __init__(
        self,
        receive: Receive,
        reply: AsgiReply,
        control: model.RequestControl,
        chunk_timeout_ms: int,
    ) -> None:
        self._receive = receive
        self._reply = reply
        self._control = control
        self._chunk_timeout_ms = chunk_timeout_ms
        self._is_body_complete = False
        self._watcher: asyncio.Task[None] | None = None

    async def read_chunk(self) -> bytes | None | outcome.Failure:
        """Read the next chunk of the body; None after the last one."""
        if self._is_body_complete:
            return None
        message: Message | None = None
        with anyio.move_on_after(self._chunk_timeout_ms / 1_000):
            message = await self._receive()
        if message is None:
            return outcome.Failure(
                codes.ResultCode.SLOW_SENDER,
                f'no part of the body for {self._chunk_timeout_ms} ms',
            )
        if message['type'] == 'http.disconnect':
            return outcome.Failure(codes.ResultCode.CALLER_GONE)
        if not message.get('more_body', False):
            self._is_body_complete = True
            self.watch_disconnect()
        return bytes(message.get('body', b''))

    def watch_disconnect(self) -> None:
        """Start to watch for a disconnect of the caller."""
        self._watcher = asyncio.get_running_loop().create_task(self._watch())

    async def _watch(self) -> None:
        while (await self._receive())['type'] != 'http.disconnect':
            pass
        if not self._reply.is_finished:
            self._control.on_caller_gone()


async def send_response(
    send: Send,
    status: int,
    headers: list[tuple[bytes, bytes]],
    body: bytes,
) -> None:
    await send(
        {'type': 'http.response.start', 'status': status, 'headers': headers}
    )
    await send({'type': 'http.response.body', 'body': body})


async def abort(scope: Scope) -> None:
    """Abort the connection so that the caller sees a truncated response."""
    abort_transport = scope.get('extensions', {}).get(ABORT_EXTENSION)
    if abort_transport is not None:
        abort_transport()
        # Lets the server process the abort before the application returns.
        await asyncio.sleep(0)
