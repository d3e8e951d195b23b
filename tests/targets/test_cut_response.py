"""Tests of responses without a length to uploads that targets may cut."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import functools
import socket

import pytest

from tests.targets import scripted
from tests.targets import slow_link
from wigeonhatch import clock as clocks
from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.targets import _reset_window
from wigeonhatch.targets import client as target_client
from wigeonhatch.targets import request as target_request

HEAD = b'HTTP/1.1 200 OK\r\n\r\n'
BODY = b'whole body'
HALF = BODY[: len(BODY) // 2]
CLOCK = clocks.Clock()
PIECES = 20
PIECE_PAUSE_S = 0.01
Answer = collections.abc.Callable[
    [socket.socket, int], collections.abc.Awaitable[None]
]


async def answer_half_and_close(connection: socket.socket, _: int) -> None:
    """Answer by half, take what has arrived and close."""
    loop = asyncio.get_running_loop()
    await loop.sock_sendall(connection, HEAD + HALF)
    with contextlib.suppress(BlockingIOError):
        while connection.recv(1_048_576):
            pass
    connection.close()


async def read_and_answer(connection: socket.socket, unread: int) -> None:
    """Read the request, answer and close."""
    loop = asyncio.get_running_loop()
    await _read(connection, unread)
    await loop.sock_sendall(connection, HEAD + BODY)
    connection.close()


async def answer_and_read(connection: socket.socket, unread: int) -> None:
    """Answer, read the rest of the request and close."""
    loop = asyncio.get_running_loop()
    await loop.sock_sendall(connection, HEAD + BODY)
    await _read(connection, unread)
    connection.close()


async def answer_end_and_read(connection: socket.socket, unread: int) -> None:
    """Answer, end the own side, read the rest of the request and close."""
    loop = asyncio.get_running_loop()
    await loop.sock_sendall(connection, HEAD + BODY)
    connection.shutdown(socket.SHUT_WR)
    await _read(connection, unread)
    connection.close()


async def answer_half_unread(
    connection: socket.socket, _: int, pause_s: float
) -> None:
    """Answer by half, end the own side, and close without reading."""
    loop = asyncio.get_running_loop()
    await loop.sock_sendall(connection, HEAD + HALF)
    connection.shutdown(socket.SHUT_WR)
    await asyncio.sleep(pause_s)
    connection.close()


async def _read(connection: socket.socket, size: int) -> None:
    loop = asyncio.get_running_loop()
    while size > 0:
        data = await loop.sock_recv(connection, 1_048_576)
        assert data
        size -= len(data)


async def upload(
    answer: Answer,
    size: int,
    in_pieces: bool,
    delay_s: float | None = None,
    within_ms: int = 10_000,
    declared: int | None = None,
    accepts_close_delimited: bool = True,
) -> bytes | outcome.Failure:
    """Upload a body to a target that answers once it has read a part.

    Args:
        answer: How the target goes on, with the number of bytes to come.
        size: Bytes of the body.
        in_pieces: Whether the caller sends pieces with pauses.
        delay_s: Delay of the link in s; None without a link.
        within_ms: Time until the deadline in ms.
        declared: Declared length; -1 for none, None for the true one.
        accepts_close_delimited: As for the client.
    """
    loop = asyncio.get_running_loop()

    async def serve() -> None:
        connection, _ = await loop.sock_accept(listener)
        connection.setblocking(False)
        received = b''
        while b'\r\n\r\n' not in received:
            received += await loop.sock_recv(connection, 1_024)
        body = received.split(b'\r\n\r\n', 1)[1]
        with contextlib.suppress(ConnectionError):
            await answer(connection, size - len(body))

    async def pieces() -> collections.abc.AsyncIterator[bytes]:
        for number in range(PIECES):
            start, end = (size * n // PIECES for n in (number, number + 1))
            yield b'a' * (end - start)
            await asyncio.sleep(PIECE_PAUSE_S)

    with socket.create_server(('127.0.0.1', 0)) as listener:
        listener.setblocking(False)
        address = listener.getsockname()[:2]
        link = slow_link.SlowLink(delay_s or 0.0)
        if delay_s is not None:
            address = await link.open(address)
        task = asyncio.ensure_future(serve())
        client = target_client.TargetClient(CLOCK, accepts_close_delimited)
        client.set_targets({'t': ('{}:{}'.format(*address), 1)})
        result = await client.send(
            't',
            target_request.RequestHead(
                'PUT' if size else 'GET',
                b'/x',
                (),
                size if declared is None else declared,
            ),
            pieces() if in_pieces else b'a' * size,
            CLOCK.now_ms + within_ms,
        )
        content: bytes | outcome.Failure | None = b''
        if isinstance(result, outcome.Failure):
            content = result
        else:
            parts = []
            while isinstance(part := await result.value.read(), bytes):
                parts.append(part)
            content = b''.join(parts) if part is None else part
        client.close()
        link.close()
        await task
        return content


def assert_incomplete(result: bytes | outcome.Failure) -> None:
    """Check for the failure of a request that may have run."""
    assert isinstance(result, outcome.Failure), result
    assert result.code is codes.ResultCode.RESPONSE_INCOMPLETE
    assert result.ran is not codes.Ran.NOT_RUN


@pytest.mark.parametrize('delay_s', [0.002, 0.035, 0.08])
@pytest.mark.parametrize('size', [50_000, 64_000, 200_000, 900_000])
@scripted.run_on_uvloop
async def test_response_cut_while_an_upload_is_under_way_is_incomplete(
    size: int, delay_s: float
) -> None:
    """Guards against MIXED of 2026-12-07: the reset was not awaited."""
    assert_incomplete(
        await upload(answer_half_and_close, size, False, delay_s)
    )


@pytest.mark.parametrize('delay_s', [None, 0.002, 0.035])
@pytest.mark.parametrize('size', [200, 2_000, 50_000, 200_000])
@scripted.run_on_uvloop
async def test_response_cut_between_pieces_of_an_upload_is_incomplete(
    size: int, delay_s: float | None
) -> None:
    """Guards against MIXED of 2026-12-07: no piece could bring a reset."""
    assert_incomplete(await upload(answer_half_and_close, size, True, delay_s))


@pytest.mark.parametrize('delay_s', [None, 0.035])
@scripted.run_on_uvloop
async def test_response_cut_in_an_upload_of_unknown_length_is_incomplete(
    delay_s: float | None,
) -> None:
    """Guards against the same for uploads that end with a last chunk."""
    assert_incomplete(
        await upload(answer_half_and_close, 50_000, True, delay_s, declared=-1)
    )


@pytest.mark.parametrize('pause_s', [0.0, 0.02, 0.08])
@pytest.mark.parametrize('size', [200, 2_000, 50_000])
@scripted.run_on_uvloop
async def test_response_cut_before_a_short_upload_is_read_is_incomplete(
    size: int, pause_s: float
) -> None:
    """Guards against the belief that short uploads are read at once."""
    answer = functools.partial(answer_half_unread, pause_s=pause_s)
    assert_incomplete(await upload(answer, size, True))


@pytest.mark.parametrize('in_pieces', [False, True])
@pytest.mark.parametrize('delay_s', [None, 0.035])
@pytest.mark.parametrize('size', [200, 50_000, 200_000])
@pytest.mark.parametrize(
    'answer', [read_and_answer, answer_and_read, answer_end_and_read]
)
@scripted.run_on_uvloop
async def test_whole_response_to_an_upload_is_served(
    answer: Answer, size: int, delay_s: float | None, in_pieces: bool
) -> None:
    """Guards against the loss of responses that are whole."""
    assert await upload(answer, size, in_pieces, delay_s) == BODY


@pytest.fixture
def endless_wait(monkeypatch: pytest.MonkeyPatch) -> None:
    """Make a wait for a reset longer than any deadline."""
    monkeypatch.setattr(_reset_window, '_RESET_WAIT_S', 1_000.0)


@pytest.mark.usefixtures('endless_wait')
@scripted.run_on_uvloop
async def test_response_to_a_request_without_a_body_is_not_delayed() -> None:
    """Guards against a wait for a reset that nothing can cause."""
    assert await upload(read_and_answer, 0, False, within_ms=1_000) == BODY


@pytest.mark.usefixtures('endless_wait')
@scripted.run_on_uvloop
async def test_end_that_is_not_confirmed_in_time_is_a_timeout() -> None:
    """Guards against a response that counts as whole for want of time."""
    result = await upload(read_and_answer, 200, False, within_ms=300)
    assert isinstance(result, outcome.Failure)
    assert result.code is codes.ResultCode.DEADLINE_EXCEEDED_RUNNING


@scripted.run_on_uvloop
async def test_response_to_an_upload_that_is_never_read_is_incomplete() -> (
    None
):
    """Guards against an end that counts before the request is received."""
    size = 64 * 1_048_576
    answer = functools.partial(answer_half_unread, pause_s=3.0)
    assert_incomplete(await upload(answer, size, True))


@scripted.run_on_uvloop
async def test_upload_ends_with_a_connection_that_brought_no_response() -> (
    None
):
    """Guards against an upload that waits for a target that has ended."""

    async def end(connection: socket.socket, _: int) -> None:
        # By then, the buffers are full.
        await asyncio.sleep(0.3)
        connection.shutdown(socket.SHUT_WR)
        await asyncio.sleep(3.0)
        connection.close()

    result = await upload(end, 64 * 1_048_576, True, within_ms=2_000)
    assert isinstance(result, outcome.Failure)
    assert result.code is codes.ResultCode.TARGET_LOST
    assert result.ran is not codes.Ran.NOT_RUN


@scripted.run_on_uvloop
async def test_early_response_with_a_length_is_served_after_a_reset() -> None:
    """Guards against the loss of an early refusal as the upload goes on."""

    async def refuse(connection: socket.socket, _: int) -> None:
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(
            connection, b'HTTP/1.1 413 X\r\nContent-Length: 2\r\n\r\nno'
        )
        connection.shutdown(socket.SHUT_WR)
        await asyncio.sleep(0.03)
        connection.close()

    assert await upload(refuse, 200_000, True) == b'no'


@pytest.mark.parametrize('in_pieces', [False, True])
@pytest.mark.parametrize('answer', [answer_half_and_close, read_and_answer])
@scripted.run_on_uvloop
async def test_client_that_needs_a_length_accepts_no_other_end(
    answer: Answer, in_pieces: bool
) -> None:
    """Guards against cut responses in `entry` and between hosts."""
    result = await upload(
        answer, 50_000, in_pieces, 0.002, accepts_close_delimited=False
    )
    assert isinstance(result, outcome.Failure)
    assert result.code is codes.ResultCode.TARGET_PROTOCOL
    assert result.ran is codes.Ran.RAN
