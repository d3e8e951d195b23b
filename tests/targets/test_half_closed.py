"""Tests of responses whose target ends the connection during an upload."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import socket
import typing

import pytest

from tests.targets import scripted
from wigeonhatch import clock as clocks
from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.targets import client as target_client
from wigeonhatch.targets import request as target_request

HEAD = b'HTTP/1.1 200 OK\r\n\r\n'
PART = b'part of the body'
CLOCK = clocks.Clock()
CHUNK = b'a' * 65_536
Answer = collections.abc.Callable[
    [socket.socket], collections.abc.Coroutine[typing.Any, typing.Any, None]
]


def answer_and_close(unread_s: float) -> Answer:
    """Answer at once and half-close; close with unread bytes later."""

    async def answer(connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(connection, HEAD + PART)
        connection.shutdown(socket.SHUT_WR)
        await asyncio.sleep(unread_s)
        connection.close()

    return answer


async def answer_and_read(connection: socket.socket) -> None:
    """Answer at once, half-close and read what still comes."""
    loop = asyncio.get_running_loop()
    await loop.sock_sendall(connection, HEAD + PART)
    connection.shutdown(socket.SHUT_WR)
    while await loop.sock_recv(connection, 1_048_576):
        pass
    connection.close()


async def upload(answer: Answer, size: int) -> bytes | outcome.Failure:
    """Upload a body to a target that answers after the head."""
    loop = asyncio.get_running_loop()

    async def serve() -> None:
        connection, _ = await loop.sock_accept(listener)
        connection.setblocking(False)
        with contextlib.suppress(ConnectionError):
            await loop.sock_recv(connection, 1_024)
            await answer(connection)

    async def chunks() -> collections.abc.AsyncIterator[bytes]:
        for _ in range(size // len(CHUNK)):
            yield CHUNK

    with socket.create_server(('127.0.0.1', 0)) as listener:
        listener.setblocking(False)
        port = listener.getsockname()[1]
        task = asyncio.ensure_future(serve())
        client = target_client.TargetClient(
            CLOCK, accepts_close_delimited=True
        )
        client.set_targets({'t': (f'127.0.0.1:{port}', 1)})
        head = target_request.RequestHead('PUT', b'/x', (), size)
        result = await client.send('t', head, chunks(), CLOCK.now_ms + 5_000)
        if isinstance(result, outcome.Success):
            body = b''
            while isinstance(chunk := await result.value.read(), bytes):
                body += chunk
            result = body if chunk is None else chunk
        client.close()
        await task
        return result


@pytest.mark.parametrize('unread_s', [0.0, 0.02, 0.08])
@pytest.mark.parametrize('size', [5 * 65_536, 16 * 65_536, 64 * 65_536])
@scripted.run_on_uvloop
async def test_response_cut_by_a_reset_after_the_end_is_incomplete(
    size: int, unread_s: float
) -> None:
    """Guards against MIXED of 2026-12-06: a part is taken for the answer.

    The end of the connection arrives before the reset, as the target had
    bytes of the upload that it never read.
    """
    for _ in range(5):
        result = await upload(answer_and_close(unread_s), size)
        assert isinstance(result, outcome.Failure)
        assert result.code is codes.ResultCode.RESPONSE_INCOMPLETE
        assert result.ran is not codes.Ran.NOT_RUN


@pytest.mark.parametrize('size', [5 * 65_536, 64 * 65_536])
@scripted.run_on_uvloop
async def test_early_response_that_ends_without_a_reset_is_served(
    size: int,
) -> None:
    """Guards against the loss of whole responses to uploads."""
    assert await upload(answer_and_read, size) == PART
