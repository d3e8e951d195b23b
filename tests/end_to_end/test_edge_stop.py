"""Tests of how a stop of the edge daemon ends, seen by its callers."""

from __future__ import annotations

import pathlib
import signal
import socket
import time

import anyio
import httpcore
import pytest

from tests.end_to_end import edge_deployment as deployments

TTL_S = 2.0
"""Time after SIGTERM for which callers with an earlier lookup are served."""


def open_connection(
    deployment: deployments.Deployment, receive_bytes: int = 0
) -> socket.socket:
    """Connect to the callers' interface.

    Args:
        deployment: Deployment with the daemon.
        receive_bytes: Size of the receive buffer; 0 for the default.
    """
    connection = socket.socket()
    if receive_bytes:
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes
        )
    connection.settimeout(10)
    connection.connect(('127.0.0.1', deployment.port))
    return connection


def read_all(connection: socket.socket) -> bytes:
    """Read until the end of the connection."""
    data = b''
    while chunk := connection.recv(65_536):
        data += chunk
    return data


def test_stop_delivers_a_response_that_is_read_late(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against an end of the process with a response in its buffer."""

    async def scenario(deployment: deployments.Deployment) -> None:
        edge = await deployment.start()
        connection = open_connection(deployment, receive_bytes=4_096)
        connection.sendall(
            b'GET /r/large HTTP/1.1\r\nHost: x.example\r\nRequest-Id: r1\r\n'
            b'Connection: close\r\n\r\n'
        )
        start = await anyio.to_thread.run_sync(connection.recv, 1_024)
        edge.send_signal(signal.SIGTERM)
        await anyio.sleep(TTL_S + 1.0)
        response = start + await anyio.to_thread.run_sync(read_all, connection)
        assert response.partition(b'\r\n\r\n')[2] == deployments.LARGE_BODY
        assert await anyio.to_thread.run_sync(edge.wait) == 0

    deployments.run_scenario(tmp_path, scenario)


def test_stop_delivers_the_refusal_of_a_body_that_is_still_sent(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a reset that discards the refusal of an upload."""

    async def scenario(deployment: deployments.Deployment) -> None:
        edge = await deployment.start()
        edge.send_signal(signal.SIGTERM)
        # With 3 s of timeout, requests are refused from 0.5 s on.
        await anyio.sleep(1.0)
        connection = open_connection(deployment)
        connection.sendall(
            b'POST /r/a HTTP/1.1\r\nHost: x.example\r\nRequest-Id: r1\r\n'
            b'Content-Length: 100000\r\n\r\n'
        )
        for _ in range(10):
            await anyio.sleep(0.05)
            connection.sendall(b'x' * 10_000)
        response = await anyio.to_thread.run_sync(read_all, connection)
        assert response.startswith(b'HTTP/1.1 503 ')
        assert await anyio.to_thread.run_sync(edge.wait) == 0

    deployments.run_scenario(tmp_path, scenario)


@pytest.mark.parametrize('number', [signal.SIGTERM, signal.SIGHUP])
def test_signals_until_the_exit_do_not_kill_the_process(
    tmp_path: pathlib.Path, number: signal.Signals
) -> None:
    """Guards against a signal that ends the process before its last lines."""

    async def scenario(deployment: deployments.Deployment) -> None:
        edge = await deployment.start()
        edge.send_signal(signal.SIGTERM)
        while edge.poll() is None:
            edge.send_signal(number)
            await anyio.sleep(0.005)
        assert edge.returncode == 0
        assert b'"stopped"' in deployment.log_path.read_bytes()

    deployments.run_scenario(tmp_path, scenario)


def test_busy_host_ends_before_it_is_killed(tmp_path: pathlib.Path) -> None:
    """Guards against a stop that takes the whole grace on a slow processor.

    Callers keep the host busy for as long as it accepts requests, and the
    process runs for a third of the time.
    """

    async def scenario(deployment: deployments.Deployment) -> None:
        edge = await deployment.start()

        async def call_until_gone(name: str) -> None:
            for number in range(10_000):
                try:
                    await deployment.call(
                        deployment.port,
                        '/r/slow',
                        f'{name}-{number}',
                        deadline_ms=1_000,
                    )
                except Exception:
                    if edge.poll() is not None:
                        return
                    await anyio.sleep(0.01)

        async def slow_down() -> None:
            while edge.poll() is None:
                edge.send_signal(signal.SIGSTOP)
                await anyio.sleep(0.02)
                edge.send_signal(signal.SIGCONT)
                await anyio.sleep(0.01)

        async with anyio.create_task_group() as tasks:
            for number in range(8):
                tasks.start_soon(call_until_gone, f'c{number}')
            await anyio.sleep(0.5)
            tasks.start_soon(slow_down)
            edge.send_signal(signal.SIGTERM)
            stopped_s = time.monotonic()
            while edge.poll() is None:
                await anyio.sleep(0.005)
            took_s = time.monotonic() - stopped_s
        assert edge.returncode == 0
        assert took_s < deployments.STOP_GRACE_MS / 1_000

    deployments.run_scenario(tmp_path, scenario)


def test_reloads_cut_no_request(tmp_path: pathlib.Path) -> None:
    """Guards against settings or a configuration that end a connection.

    Both change while callers wait for responses on connections that they keep.
    """

    async def scenario(deployment: deployments.Deployment) -> None:
        edge = await deployment.start()
        text = deployment.settings_path.read_text()
        statuses: list[int] = []
        is_ended = False

        async def call(name: str) -> None:
            async with httpcore.AsyncConnectionPool() as pool:
                number = 0
                while not is_ended:
                    number += 1
                    status, _ = await deployment.call(
                        deployment.port,
                        '/r/slow',
                        f'{name}-{number}',
                        shared_pool=pool,
                    )
                    statuses.append(status)

        async with anyio.create_task_group() as tasks:
            for number in range(4):
                tasks.start_soon(call, f'c{number}')
            for version in range(2, 22):
                await anyio.sleep(0.1)
                deployment.settings_path.write_text(
                    text.replace('4000ms', f'{4_000 + version}ms')
                )
                edge.send_signal(signal.SIGHUP)
                await deployment.put(
                    'op',
                    'config',
                    deployments.make_config(
                        version, idle_timeout=f'{version}s'
                    ),
                )
            is_ended = True
        assert len(statuses) >= 8
        assert set(statuses) == {200}

    deployments.run_scenario(tmp_path, scenario)
