"""Tests of the edge daemon as a process, with stand-ins around it."""

from __future__ import annotations

import json
import pathlib
import signal
import socket
import time

import anyio
import httpcore
import pytest

from tests import processes
from tests.end_to_end import edge_deployment as deployments


def test_whole_path(tmp_path: pathlib.Path) -> None:
    """Guards against broken connections between store, host and target."""

    async def scenario(deployment: deployments.Deployment) -> None:
        await deployment.start()
        status, body = await deployment.call(deployment.port, '/r/a')
        assert (status, body) in {(200, b't1'), (200, b't2')}
        assert (await deployment.call(deployment.port, '/q'))[0] == 404
        status, content = await deployment.call(
            deployment.lookup_port, '/resolve?name=x&region=north&zone=a'
        )
        assert status == 200
        assert json.loads(content)['addresses'] == [
            deployments.address(deployment.port)
        ]
        await deployment.put('op', 'config', deployments.make_config(2, '/q/'))
        await deployment.wait_for(deployment.port, '/q/a', 200)
        assert (await deployment.call(deployment.port, '/r/a'))[0] == 404

    deployments.run_scenario(tmp_path, scenario)


def test_draining_target_gets_nothing_new(tmp_path: pathlib.Path) -> None:
    """Guards against new requests to a draining target."""

    async def scenario(deployment: deployments.Deployment) -> None:
        await deployment.start()
        leaving = deployment.targets['t1']
        await deployment.put('servers', 't1', leaving.make_row('draining'))
        await anyio.sleep(1)
        leaving.served_ids.clear()
        for number in range(20):
            status, _ = await deployment.call(
                deployment.port, '/r/a', f'r{number}'
            )
            assert status == 200
        assert leaving.served_ids == []

    deployments.run_scenario(tmp_path, scenario)


async def _serve_beside(
    deployment: deployments.Deployment, content: bytes
) -> None:
    """Check that a row of another writer changes nothing, also at a start."""
    edge = await deployment.start()
    await deployment.put_bytes('servers', 'foreign', content)
    await anyio.sleep(1)
    assert edge.poll() is None
    edge.kill()
    edge.wait()
    edge = deployment.spawn_edge()
    await deployment.wait_for(deployment.ready_port, '/readiness', 200)
    for number in range(4):
        status, _ = await deployment.call(
            deployment.port, '/r/a', f'r{number}'
        )
        assert status == 200
    assert edge.poll() is None


@pytest.mark.parametrize(
    'content', [b'{"x":' + b'[' * 4_000 + b']' * 4_000 + b'}', b'\xff']
)
def test_unreadable_row_ends_no_daemon(
    tmp_path: pathlib.Path, content: bytes
) -> None:
    """Guards against one row in the list of targets that ends all daemons."""

    async def scenario(deployment: deployments.Deployment) -> None:
        await _serve_beside(deployment, content)

    deployments.run_scenario(tmp_path, scenario)


@pytest.mark.parametrize(
    'change',
    [
        {'address': '127.0.0.1:http'},
        {'address': '127.0.0.1:0', 'status': {'state': 'draining'}},
        {'address': 'target.example:80'},
        {'born': 10**400},
        {'info': {'service': 's', 'zone': 'a', 'concurrency': 10**400}},
    ],
)
def test_unusable_row_ends_no_daemon(
    tmp_path: pathlib.Path, change: dict[str, object]
) -> None:
    """Guards against a field whose value fails where it is used."""

    async def scenario(deployment: deployments.Deployment) -> None:
        row = deployment.targets['t1'].make_row() | change
        await _serve_beside(deployment, json.dumps(row).encode())

    deployments.run_scenario(tmp_path, scenario)


def test_outage_of_the_store_changes_nothing(tmp_path: pathlib.Path) -> None:
    """Guards against requests that fail while the store is down."""

    async def scenario(deployment: deployments.Deployment) -> None:
        await deployment.start()
        store = deployment.processes[0]
        store.kill()
        store.wait()
        await anyio.sleep(1)
        for number in range(10):
            status, _ = await deployment.call(
                deployment.port, '/r/a', f'r{number}'
            )
            assert status == 200

    deployments.run_scenario(tmp_path, scenario)


@pytest.mark.parametrize('path', ['/r/slow', '/r/a'])
def test_stop_cuts_no_request(tmp_path: pathlib.Path, path: str) -> None:
    """Guards against requests that a graceful stop interrupts.

    Callers keep using their connections until the process has exited.
    """

    async def scenario(deployment: deployments.Deployment) -> None:
        edge = await deployment.start()
        statuses: list[int] = []
        interrupted_ids: list[str] = []

        async def call_until_gone(name: str) -> None:
            async with httpcore.AsyncConnectionPool() as pool:
                for number in range(1_000):
                    request_id = f'{name}-{number}'
                    try:
                        status, _ = await deployment.call(
                            deployment.port,
                            path,
                            request_id,
                            shared_pool=pool,
                            deadline_ms=1_500,
                        )
                        statuses.append(status)
                    except httpcore.ConnectError:
                        return
                    except (httpcore.NetworkError, httpcore.ProtocolError):
                        interrupted_ids.append(request_id)
                        return

        async with anyio.create_task_group() as tasks:
            for number in range(4):
                tasks.start_soon(call_until_gone, f'c{number}')
            await anyio.sleep(0.5)
            edge.send_signal(signal.SIGTERM)
            await deployment.wait_for(deployment.ready_port, '/readiness', 503)
        assert await anyio.to_thread.run_sync(edge.wait) == 0
        served_ids = {
            name
            for target in deployment.targets.values()
            for name in target.served_ids
        }
        assert not served_ids & set(interrupted_ids)
        assert set(statuses) <= {200, 503}
        assert statuses.count(200) > 10

    deployments.run_scenario(tmp_path, scenario)


def test_stop_interrupts_no_long_request(tmp_path: pathlib.Path) -> None:
    """Guards against a stopping host that accepts what it cannot finish."""

    async def scenario(deployment: deployments.Deployment) -> None:
        edge = await deployment.start()
        statuses: list[int] = []
        interrupted_ids: list[str] = []

        async def call(request_id: str) -> None:
            try:
                status, _ = await deployment.call(
                    deployment.port, '/r/long', request_id
                )
                statuses.append(status)
                if status not in (200, 503):
                    interrupted_ids.append(request_id)
            except httpcore.ConnectError:
                return
            except (httpcore.NetworkError, httpcore.ProtocolError):
                interrupted_ids.append(request_id)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call, 'early')
            await anyio.sleep(0.5)
            edge.send_signal(signal.SIGTERM)
            for number in range(50):
                tasks.start_soon(call, f'r{number}')
                await anyio.sleep(0.08)
        assert await anyio.to_thread.run_sync(edge.wait) == 0
        assert interrupted_ids == []
        assert {200, 503} <= set(statuses)

    deployments.run_scenario(tmp_path, scenario)


def test_limits_of_the_configuration_hold(tmp_path: pathlib.Path) -> None:
    """Guards against callers that exceed the header size or idle timeout."""

    async def scenario(deployment: deployments.Deployment) -> None:
        await deployment.start()
        await deployment.put(
            'op', 'config', deployments.make_config(2, '/q/', '200ms')
        )
        await deployment.wait_for(deployment.port, '/q/a', 200)
        stream = await anyio.connect_tcp('127.0.0.1', deployment.port)
        await stream.send(
            b'GET /q/a HTTP/1.1\r\nHost: x.example\r\nRequest-Id: r\r\n\r\n'
        )
        assert b' 200 ' in await stream.receive()
        started_s = time.monotonic()
        with pytest.raises(anyio.EndOfStream):
            while True:
                await stream.receive()
        assert time.monotonic() - started_s >= 0.2
        stream = await anyio.connect_tcp('127.0.0.1', deployment.port)
        await stream.send(
            b'GET /q/a HTTP/1.1\r\nHost: x.example\r\nX: ' + b'x' * 4_000
        )
        assert b' 431 ' in await stream.receive()

    deployments.run_scenario(tmp_path, scenario)


@pytest.mark.parametrize('number', [signal.SIGHUP, signal.SIGTERM])
def test_signal_during_a_stop_cuts_no_request(
    tmp_path: pathlib.Path, number: signal.Signals
) -> None:
    """Guards against a stopping host that a further signal ends at once."""

    async def scenario(deployment: deployments.Deployment) -> None:
        edge = await deployment.start()
        statuses: list[int] = []

        async def call_slowly() -> None:
            status, _ = await deployment.call(deployment.port, '/r/slow')
            statuses.append(status)

        async with anyio.create_task_group() as tasks:
            edge.send_signal(signal.SIGTERM)
            await deployment.wait_for(deployment.ready_port, '/readiness', 503)
            tasks.start_soon(call_slowly)
            await anyio.sleep(0.1)
            edge.send_signal(number)
        assert statuses == [200]
        assert await anyio.to_thread.run_sync(edge.wait) == 0

    deployments.run_scenario(tmp_path, scenario)


def test_metrics_port_in_use_ends_no_daemon(tmp_path: pathlib.Path) -> None:
    """Guards against a daemon that does not start without its metrics."""

    async def scenario(deployment: deployments.Deployment) -> None:
        settings = json.loads(deployment.settings_path.read_text())
        with socket.create_server(('127.0.0.1', settings['metrics_port'])):
            edge = await deployment.start()
            status, _ = await deployment.call(deployment.port, '/r/a')
            assert status == 200
            assert edge.poll() is None
            edge.send_signal(signal.SIGTERM)
            assert await anyio.to_thread.run_sync(edge.wait) == 0

    deployments.run_scenario(tmp_path, scenario)


def test_signal_at_the_start_ends_no_daemon(tmp_path: pathlib.Path) -> None:
    """Guards against SIGHUP that ends a daemon which still starts."""

    async def scenario(deployment: deployments.Deployment) -> None:
        edge = await deployment.start()
        edge.kill()
        edge.wait()
        edge = deployment.spawn_edge()
        # Before the interpreter runs, no program can handle a signal.
        while not processes.catches(edge.pid, signal.SIGHUP):
            await anyio.sleep(0.005)
        assert deployment.log_path.read_bytes().count(b'"started"') == 1
        while deployment.log_path.read_bytes().count(b'"started"') < 2:
            edge.send_signal(signal.SIGHUP)
            await anyio.sleep(0.05)
            assert edge.poll() is None
        await deployment.wait_for(deployment.ready_port, '/readiness', 200)
        assert b'settings read again' in deployment.log_path.read_bytes()

    deployments.run_scenario(tmp_path, scenario)


SETTINGS_S = 4.0
"""Time in which changed settings are in use without a signal."""


def test_settings_are_read_again(tmp_path: pathlib.Path) -> None:
    """Guards against a host that fails when its settings are reloaded.

    The last change comes without a signal.
    """

    async def scenario(deployment: deployments.Deployment) -> None:
        edge = await deployment.start()
        text = deployment.settings_path.read_text()
        for content in (text.replace('4000ms', '3000ms'), '{'):
            deployment.settings_path.write_text(content)
            edge.send_signal(signal.SIGHUP)
            await anyio.sleep(0.5)
            status, _ = await deployment.call(deployment.port, '/r/a')
            assert status == 200
        deployment.settings_path.write_text(text)
        await anyio.sleep(SETTINGS_S)
        log = deployment.log_path.read_text()
        assert log.count('"settings read again", "changed": ["bounds"]') == 2
        assert 'settings unusable' in log

    deployments.run_scenario(tmp_path, scenario)
