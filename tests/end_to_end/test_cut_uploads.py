"""Tests of uploads whose target breaks off a response without a length."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import pathlib
import socket

import anyio
import pytest

from tests.end_to_end import edge_deployment as deployments
from tests.routes import test_table
from wigeonhatch import clock as clocks
from wigeonhatch import codes
from wigeonhatch.requests import body as bodies
from wigeonhatch.requests import model
from wigeonhatch.requests import peer_forwarder
from wigeonhatch.requests import relay_model
from wigeonhatch.targets import client as target_client

WHOLE = b'whole answer'
HALF = WHOLE[: len(WHOLE) // 2]
CUT_PATH = '/r/cut'
SOUND_PATH = '/r/sound'
PIECES = 20
PIECE_PAUSE_S = 0.01
UNREAD_S = 0.05
TIMEOUT_MS = 3_000
# The last one exceeds the buffer for bodies, so that it is passed on while it
# arrives.
SIZES = [2_000, 50_000, 2_000_000]


class BreakingTarget(deployments.Target):
    """Target whose responses end with the connection, some before time."""

    async def run(self) -> None:
        """Serve until cancelled; what is not read stays in the socket."""
        loop = asyncio.get_running_loop()
        with socket.create_server(('127.0.0.1', self.port)) as listener:
            listener.setblocking(False)
            async with anyio.create_task_group() as tasks:
                while True:
                    connection, _ = await loop.sock_accept(listener)
                    connection.setblocking(False)
                    tasks.start_soon(self._answer, connection)

    async def _answer(self, connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        data = b''
        with connection, contextlib.suppress(ConnectionError):
            while b'\r\n\r\n' not in data:
                received = await loop.sock_recv(connection, 256)
                if not received:
                    return
                data += received
            head, _, body = data.partition(b'\r\n\r\n')
            fields = dict(
                line.lower().split(': ', 1)
                for line in head.decode().split('\r\n')[1:]
            )
            is_cut = CUT_PATH.encode() in head
            left = 0 if is_cut else int(fields['content-length']) - len(body)
            while left > 0:
                left -= len(await loop.sock_recv(connection, 65_536))
            await loop.sock_sendall(
                connection,
                b'HTTP/1.1 200 OK\r\nRequest-Id: %b\r\n'
                b'Response-Signature: s\r\n\r\n%b'
                % (fields['request-id'].encode(), HALF if is_cut else WHOLE),
            )
            connection.shutdown(socket.SHUT_WR)
            await asyncio.sleep(UNREAD_S)


async def upload(
    deployment: deployments.Deployment, path: str, size: int, pause_s: float
) -> bytes:
    """Upload a body in pieces; return the response up to its end."""
    stream = await anyio.connect_tcp('127.0.0.1', deployment.port)
    async with stream:
        await stream.send(
            f'POST {path} HTTP/1.1\r\nHost: x.example\r\nRequest-Id: r1\r\n'
            f'Content-Length: {size}\r\nConnection: close\r\n\r\n'.encode()
        )
        for _ in range(PIECES):
            await stream.send(b'x' * (size // PIECES))
            await anyio.sleep(pause_s)
        response = b''
        async for data in stream:
            response += data
        return response


async def forward(
    deployment: deployments.Deployment, path: str, size: int, pause_s: float
) -> relay_model.Response | relay_model.Refusal | None:
    """Let the daemon run an upload for a host without links to targets."""
    clock = clocks.Clock()
    peer = peer_forwarder.Peer('h1', deployments.address(deployment.peer_port))
    forwarder = peer_forwarder.PeerForwarder(
        target_client.TargetClient(clock), lambda _: [peer], clock
    )
    remaining = PIECES

    async def read_chunk() -> bytes | None:
        nonlocal remaining
        if not remaining:
            return None
        remaining -= 1
        await anyio.sleep(pause_s)
        return b'x' * (size // PIECES)

    body = bodies.RequestBody(size, read_chunk, size)
    await body.buffer()
    now_ms = clock.now_ms
    return await forwarder.forward(
        relay_model.RelayRequest(
            b'r1',
            test_table.build_route('r', '/r/', ('s', 1)),
            's',
            1,
            'POST',
            path.encode(),
            b'x.example',
            ((b'request-id', b'r1'),),
            b'',
            now_ms,
            now_ms + TIMEOUT_MS,
        ),
        body,
        model.RequestControl(),
        1,
    )


def run_with_breaking_targets(
    folder: pathlib.Path,
    scenario: collections.abc.Callable[
        [deployments.Deployment], collections.abc.Awaitable[None]
    ],
) -> None:
    """Run a scenario against a daemon whose targets break off responses."""

    async def run(deployment: deployments.Deployment) -> None:
        await deployment.start()
        await scenario(deployment)

    deployments.run_scenario(folder, run, BreakingTarget)


@pytest.mark.parametrize('pause_s', [0.0, PIECE_PAUSE_S])
@pytest.mark.parametrize('size', SIZES)
def test_cut_response_to_an_upload_is_a_failure(
    tmp_path: pathlib.Path, size: int, pause_s: float
) -> None:
    """Guards against MIXED of 2026-12-07: callers got a part as the whole."""

    async def scenario(deployment: deployments.Deployment) -> None:
        response = await upload(deployment, CUT_PATH, size, pause_s)
        assert response.startswith(b'HTTP/1.1 502 '), response
        response = await upload(deployment, SOUND_PATH, size, pause_s)
        assert response.startswith(b'HTTP/1.1 200 '), response
        assert response.endswith(b'\r\n\r\n' + WHOLE)

    run_with_breaking_targets(tmp_path, scenario)


@pytest.mark.parametrize('pause_s', [0.0, PIECE_PAUSE_S])
@pytest.mark.parametrize('size', SIZES)
def test_cut_response_to_a_forwarded_upload_is_a_failure(
    tmp_path: pathlib.Path, size: int, pause_s: float
) -> None:
    """Guards against the same where one host runs requests for another."""

    async def scenario(deployment: deployments.Deployment) -> None:
        result = await forward(deployment, CUT_PATH, size, pause_s)
        assert isinstance(result, relay_model.Refusal), result
        assert result.failure.code is codes.ResultCode.RESPONSE_INCOMPLETE
        assert result.failure.ran is not codes.Ran.NOT_RUN
        result = await forward(deployment, SOUND_PATH, size, pause_s)
        assert isinstance(result, relay_model.Response), result
        assert (result.status, result.body) == (200, WHOLE)

    run_with_breaking_targets(tmp_path, scenario)
