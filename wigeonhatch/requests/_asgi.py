"""Callers' connections behind the ASGI server."""

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
    """Send a response to the caller."""

    def __init__(self, send: Send, is_head: bool) -> None:
        self.is_started = False
        self.is_finished = False
        self._send = send
        self._is_head = is_head
        self._length = -1
        self._count = 0

    async def start(
        self, status: int, headers: fields.HeaderTuple
    ) -> outcome.Failure | None:
        self.is_started = True
        if not self._is_head:
            length = fields.find(headers, b'content-length')
            self._length = -1 if length is None else int(length)
        await self._send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': headers,
            }
        )
        return None

    async def write(
        self, part: bytes, is_last: bool
    ) -> outcome.Failure | None:
        self._count += len(part)
        if self._length >= 0 and (
            self._count > self._length
            or (is_last and self._count != self._length)
        ):
            LOG.error(
                'INVARIANT_VIOLATED: %d bytes to the caller, declared %d',
                self._count,
                self._length,
            )
            return outcome.Failure(
                codes.ResultCode.INVARIANT_VIOLATED,
                'the response differs from its declared length',
                codes.Ran.RAN,
            )
        # Set first, because the server wakes up the watcher of the
        # connection when it has sent the last part.
        self.is_finished = is_last
        await self._send(
            {
                'type': 'http.response.body',
                'body': part,
                'more_body': not is_last,
            }
        )
        return None


class CallerConnection:
    """Receive a body and notice when the caller goes away."""

    def __init__(
        self,
        receive: Receive,
        reply: AsgiReply,
        control: model.RequestControl,
        max_gap_ms: int,
    ) -> None:
        self._receive = receive
        self._reply = reply
        self._control = control
        self._max_gap_ms = max_gap_ms
        self._is_ended = False
        self._watcher: asyncio.Task[None] | None = None

    async def read_part(self) -> bytes | None | outcome.Failure:
        """Read the next part of the body."""
        if self._is_ended:
            return None
        message: Message | None = None
        with anyio.move_on_after(self._max_gap_ms / 1_000):
            message = await self._receive()
        if message is None:
            return outcome.Failure(
                codes.ResultCode.SLOW_SENDER,
                f'no part of the body for {self._max_gap_ms} ms',
            )
        if message['type'] == 'http.disconnect':
            return outcome.Failure(codes.ResultCode.CALLER_GONE)
        if not message.get('more_body', False):
            self._is_ended = True
            self.watch()
        return bytes(message.get('body', b''))

    def watch(self) -> None:
        """Start to watch for the end of the connection."""
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
    """Close the connection so that the response is seen as incomplete."""
    abort = scope.get('extensions', {}).get(ABORT_EXTENSION)
    if abort is not None:
        abort()
        # Lets the server see the end of the connection before the
        # application returns.
        await asyncio.sleep(0)
