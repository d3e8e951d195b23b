"""Tests of the HTTP client for targets, against raw sockets."""

from __future__ import annotations

import collections.abc
import contextlib
import socket
import time
import typing

import anyio
import pytest

from tests.targets import scripted
from wigeonhatch import clock as clocks
from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.targets import client as target_client
from wigeonhatch.targets import request as target_request

CLOCK = clocks.Clock()
CODE = codes.ResultCode
GET = target_request.RequestHead('GET', b'/svc/x', ((b'x-a', b'b'),), 0)


@contextlib.asynccontextmanager
async def connected(
    *scripts: scripted.Script, connections: int = 10
) -> collections.abc.AsyncIterator[
    tuple[target_client.TargetClient, scripted.ScriptedTarget]
]:
    """Run a scripted target and a client that is configured for it."""
    async with scripted.ScriptedTarget(*scripts) as target:
        client = target_client.TargetClient(CLOCK)
        config = scripted.build_config({'t1': target.address}, connections)
        client.configure(config)
        yield client, target
        client.close()


async def fetch(
    client: target_client.TargetClient,
    head: target_request.RequestHead = GET,
    body: bytes | collections.abc.AsyncIterator[bytes] = b'',
    within_ms: int = 5_000,
) -> bytes | outcome.Failure:
    """Send a request and read the complete response."""
    result = await client.send('t1', head, body, CLOCK.now_ms + within_ms)
    if isinstance(result, outcome.Failure):
        return result
    content = b''
    while True:
        chunk = await result.value.read()
        if chunk is None:
            return content
        if isinstance(chunk, outcome.Failure):
            return chunk
        content += chunk


@scripted.run_on_uvloop
async def test_connection_is_reused() -> None:
    """Guards against a new connection for each request."""
    async with connected(scripted.respond(b'a'), scripted.respond(b'b')) as (
        client,
        target,
    ):
        assert await fetch(client) == b'a'
        assert await fetch(client) == b'b'
        assert target.connection_count == 1
        assert target.requests[0].target_path == b'/svc/x'


FAULTY_RESPONSES = {
    'short': (scripted.respond(b'half', declared=8), CODE.RESPONSE_INCOMPLETE),
    'no end of chunks': (
        scripted.send_raw(
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf'
            b'\r\n'
        ),
        CODE.RESPONSE_INCOMPLETE,
    ),
    'no length': (
        scripted.send_raw(b'HTTP/1.1 200 OK\r\n\r\nhalf'),
        CODE.TARGET_PROTOCOL,
    ),
    'two lengths': (
        scripted.send_raw(
            b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: '
            b'chunked\r\n\r\n4\r\nhalf\r\n0\r\n\r\n'
        ),
        CODE.TARGET_PROTOCOL,
    ),
    'garbage': (scripted.send_raw(b'\0\1garbage'), CODE.TARGET_PROTOCOL),
    'half a head': (scripted.send_raw(b'HTTP/1.1 200'), CODE.TARGET_LOST),
    'endless head': (
        scripted.send_raw(b'HTTP/1.1 200 OK\r\nX: ' + b'x' * 300_000),
        CODE.TARGET_PROTOCOL,
    ),
    'early close': (scripted.drop, CODE.TARGET_LOST),
    'switch': (
        scripted.send_raw(b'HTTP/1.1 101 Switching\r\n\r\n'),
        CODE.TARGET_PROTOCOL,
    ),
    'status 000': (
        scripted.send_raw(b'HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nok'),
        CODE.TARGET_PROTOCOL,
    ),
    'status 000 without a length': (
        scripted.send_raw(b'HTTP/1.1 000 X\r\n\r\nok'),
        CODE.TARGET_PROTOCOL,
    ),
    'hang': (scripted.hang, CODE.DEADLINE_EXCEEDED_RUNNING),
}


@pytest.mark.parametrize('fault', FAULTY_RESPONSES)
@scripted.run_on_uvloop
async def test_faulty_response_is_never_complete(fault: str) -> None:
    """Guards against a faulty response that counts as complete, or that
    leaves bytes for the next request."""
    script, code = FAULTY_RESPONSES[fault]
    async with connected(script, scripted.respond(b'mine')) as (client, _):
        result = await fetch(client, within_ms=300)
        assert isinstance(result, outcome.Failure), result
        assert result.code is code, result
        assert result.ran is not codes.Ran.NOT_RUN
        assert await fetch(client) == b'mine'
        await scripted.until(lambda: client.connection_count('t1') == 1)


@scripted.run_on_uvloop
async def test_surplus_bytes_are_not_the_next_response() -> None:
    """Guards against surplus bytes in the parser of a reused connection."""
    surplus = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n'
    double = scripted.send_raw(surplus + b'first' + surplus + b'other', False)
    async with connected(double, scripted.respond(b'mine')) as (client, _):
        assert await fetch(client) == b'first'
        assert await fetch(client) == b'mine'


@scripted.run_on_uvloop
async def test_late_response_is_closed_with_its_connection() -> None:
    """Guards against a late response that is returned for the next request."""
    async with connected(
        scripted.respond(b'late', delay_s=0.3), scripted.respond(b'mine')
    ) as (client, target):
        result = await fetch(client, within_ms=100)
        assert isinstance(result, outcome.Failure)
        assert await fetch(client) == b'mine'
        await anyio.sleep(0.4)
        assert await fetch(client) == b'mine'
        assert target.connection_count == 2


@scripted.run_on_uvloop
async def test_closed_idle_connection_is_not_used() -> None:
    """Guards against requests on a connection that the target has closed."""

    async def close_after(*args: typing.Any) -> None:
        await scripted.respond(b'a')(*args)
        await anyio.sleep(0.05)
        raise scripted.CloseConnection

    async with connected(close_after, scripted.respond(b'b')) as (
        client,
        target,
    ):
        assert await fetch(client) == b'a'
        await scripted.until(lambda: target.open_count == 0)
        assert await fetch(client) == b'b'
        assert len(target.requests) == 2


@scripted.run_on_uvloop
async def test_refused_connection_means_not_run() -> None:
    """Guards against "unknown" although nothing was sent."""
    with socket.socket() as unused:
        unused.bind(('127.0.0.1', 0))
        address = f'127.0.0.1:{unused.getsockname()[1]}'
        client = target_client.TargetClient(CLOCK)
        client.configure(scripted.build_config({'t1': address}))
        result = await fetch(client)
    assert isinstance(result, outcome.Failure)
    assert result.code is CODE.TARGET_CONNECT_FAILED
    assert result.ran is codes.Ran.NOT_RUN
    assert client.connection_count('t1') == 0


@scripted.run_on_uvloop
async def test_connection_limit_holds() -> None:
    """Guards against more connections than a target accepts, and against a
    slow target that blocks requests to others."""
    async with (
        connected(scripted.hang, connections=2) as (client, target),
        scripted.ScriptedTarget(scripted.respond()) as other,
        anyio.create_task_group() as tasks,
    ):
        addresses = {'t1': target.address, 't2': other.address}
        client.configure(scripted.build_config(addresses, 2))
        tasks.start_soon(fetch, client)
        tasks.start_soon(fetch, client)
        await scripted.until(lambda: len(target.requests) == 2)
        refused = await fetch(client)
        assert isinstance(refused, outcome.Failure)
        assert refused.code is CODE.NO_CAPACITY
        deadline_ms = CLOCK.now_ms + 5_000
        result = await client.send('t2', GET, b'', deadline_ms)
        assert isinstance(result, outcome.Success)
        await result.value.close()
        tasks.cancel_scope.cancel()


@scripted.run_on_uvloop
async def test_cancelled_request_closes_its_connection() -> None:
    """Guards against a target that continues to run a cancelled request."""
    async with connected(scripted.hang) as (client, target):
        with anyio.move_on_after(0.1):
            await fetch(client)
        await scripted.until(lambda: target.open_count == 0)
        assert client.connection_count('t1') == 0


@scripted.run_on_uvloop
async def test_interrupted_body_is_incomplete_at_the_target() -> None:
    """Guards against a target that processes a truncated upload."""

    async def chunks() -> collections.abc.AsyncIterator[bytes]:
        yield b'a' * 100
        raise target_request.BodyInterrupted(outcome.Failure(CODE.CALLER_GONE))

    async with connected(scripted.respond(b'done')) as (client, target):
        for length in (-1, 200):
            head = target_request.RequestHead('PUT', b'/svc/x', (), length)
            result = await fetch(client, head, chunks())
            assert isinstance(result, outcome.Failure)
            assert result.code is CODE.CALLER_GONE
            assert result.ran is codes.Ran.UNKNOWN
        await scripted.until(lambda: target.open_count == 0)
        assert target.scripts


@scripted.run_on_uvloop
async def test_early_response_ends_an_upload() -> None:
    """Guards against an upload that waits until its deadline although the
    target has already responded."""

    async def chunks() -> collections.abc.AsyncIterator[bytes]:
        for _ in range(400):
            yield b'a' * 65_536

    async def refuse(*args: typing.Any) -> None:
        await scripted.respond(b'no', status=413)(*args)
        await scripted.hang(*args)

    head = target_request.RequestHead('PUT', b'/svc/x', (), 400 * 65_536)
    async with connected(refuse) as (client, target):
        target.reads_body = False
        end_ms = CLOCK.now_ms + 5_000
        assert await fetch(client, head, chunks(), within_ms=5_000) == b'no'
        assert CLOCK.now_ms < end_ms


@scripted.run_on_uvloop
async def test_deadline_never_passes_early() -> None:
    """Guards against a response that is replaced before its timeout.

    The caller measures the timeout from the moment before the host reads its
    clock.
    """
    count, timeout_ms = 200, 30
    elapsed_ms: list[float] = []

    async def time_out(client: target_client.TargetClient) -> None:
        started_s = time.monotonic()
        result = await fetch(client, within_ms=timeout_ms)
        elapsed_ms.append((time.monotonic() - started_s) * 1_000)
        assert isinstance(result, outcome.Failure)

    scripts = [scripted.respond(delay_s=1)] * count
    async with connected(*scripts, connections=count) as (client, _):
        async with anyio.create_task_group() as tasks:
            for _ in range(count):
                tasks.start_soon(time_out, client)
                await anyio.sleep(0.0013)
    assert min(elapsed_ms) >= timeout_ms
