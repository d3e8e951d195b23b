"""Tests of calls between hosts."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import time

import pytest

from wigeonhatch.peers import peer_call

PIECE_INTERVAL_S = 0.1


@contextlib.asynccontextmanager
async def _serve(
    head: bytes, pieces: int
) -> collections.abc.AsyncIterator[int]:
    """Serve a head, followed by a body that arrives byte by byte."""
    tasks: list[asyncio.Task[None] | None] = []

    async def respond(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        tasks.append(asyncio.current_task())
        await reader.readuntil(b'\r\n\r\n')
        writer.write(head)
        try:
            for _ in range(pieces):
                writer.write(b'x')
                await asyncio.sleep(PIECE_INTERVAL_S)
        finally:
            writer.transport.abort()

    server = await asyncio.start_server(respond, '127.0.0.1', 0)
    async with server:
        yield server.sockets[0].getsockname()[1]
    for task in tasks:
        if task is not None:
            task.cancel()
    await asyncio.gather(*filter(None, tasks), return_exceptions=True)
    # The transports are closed in the next step of the loop.
    await asyncio.sleep(0)


def test_trickle_of_bytes_does_not_prolong_a_call() -> None:
    """Guards against a follower that waits for one slow peer without end."""

    async def scenario() -> None:
        head = b'HTTP/1.1 200 OK\r\nContent-Length: 600\r\n\r\n'
        async with _serve(head, 600) as port:
            started_s = time.monotonic()
            with pytest.raises(peer_call.PeerCallError):
                async with asyncio.timeout(
                    3 * peer_call.CALL_TIMEOUT_MS / 1_000
                ):
                    await peer_call.get('127.0.0.1', port, '/rows')
            elapsed_s = time.monotonic() - started_s
            assert elapsed_s >= peer_call.CALL_TIMEOUT_MS / 1_000

    asyncio.run(scenario())


@pytest.mark.parametrize(
    'head',
    [
        b'HTTP/1.1 503 Unavailable\r\nContent-Length: 2\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n',
        b'nonsense\r\n\r\n',
    ],
)
def test_call_fails_without_a_whole_response(head: bytes) -> None:
    """Guards against a refusal, or a part, that is taken for the content."""

    async def scenario() -> None:
        async with _serve(head, 2) as port:
            with pytest.raises(peer_call.PeerCallError):
                await peer_call.get('127.0.0.1', port, '/rows')

    asyncio.run(scenario())


def test_whole_response_is_returned() -> None:
    """Guards against calls that never succeed."""

    async def scenario() -> None:
        head = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n'
        async with _serve(head, 2) as port:
            assert await peer_call.get('127.0.0.1', port, '/rows') == b'xx'

    asyncio.run(scenario())
