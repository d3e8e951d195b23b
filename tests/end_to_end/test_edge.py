"""The edge daemon as a process, with stand-ins for store and targets."""

from __future__ import annotations

import json
import pathlib
import signal
import time

import anyio
import httpcore
import pytest

from tests.end_to_end import edge_deployment as deployments


def test_whole_path(tmp_path: pathlib.Path) -> None:
    """Guards against a path that breaks between store, host and target."""

    async def scenario(deployment: deployments.Deployment) -> None:
        await deployment.start()
        status, body = await deployment.call(deployment.front, '/r/a')
        assert (status, body) in {(200, b't1'), (200, b't2')}
        assert (await deployment.call(deployment.front, '/q'))[0] == 404
        status, found = await deployment.call(
            deployment.lookup, '/resolve?name=x&region=north&zone=a'
        )
        assert status == 200
        assert json.loads(found)['addresses'] == [
            deployments.address(deployment.front)
        ]
        await deployment.put('op', 'config', deployments.config(2, '/q/'))
        await deployment.wait_for(deployment.front, '/q/a', 200)
        assert (await deployment.call(deployment.front, '/r/a'))[0] == 404

    deployments.play(tmp_path, scenario)


def test_draining_target_gets_nothing_new(tmp_path: pathlib.Path) -> None:
    """Guards against new requests at a target that leaves."""

    async def scenario(deployment: deployments.Deployment) -> None:
        await deployment.start()
        leaving = deployment.targets['t1']
        await deployment.put('servers', 't1', leaving.row('draining'))
        await anyio.sleep(1)
        leaving.served.clear()
        for number in range(20):
            status, _ = await deployment.call(
                deployment.front, '/r/a', f'r{number}'
            )
            assert status == 200
        assert leaving.served == []

    deployments.play(tmp_path, scenario)


def test_outage_of_the_store_changes_nothing(tmp_path: pathlib.Path) -> None:
    """Guards against requests that depend on the store."""

    async def scenario(deployment: deployments.Deployment) -> None:
        await deployment.start()
        store = deployment.processes[0]
        store.kill()
        store.wait()
        await anyio.sleep(1)
        for number in range(10):
            status, _ = await deployment.call(
                deployment.front, '/r/a', f'r{number}'
            )
            assert status == 200

    deployments.play(tmp_path, scenario)


@pytest.mark.parametrize('path', ['/r/slow', '/r/a'])
def test_stop_cuts_no_request(tmp_path: pathlib.Path, path: str) -> None:
    """Guards against requests that a planned stop breaks off.

    Callers go on to use their connections until the process has gone.
    """

    async def scenario(deployment: deployments.Deployment) -> None:
        edge = await deployment.start()
        results: list[int] = []
        lost: list[str] = []

        async def call_until_gone(name: str) -> None:
            async with httpcore.AsyncConnectionPool() as pool:
                for number in range(1_000):
                    request_id = f'{name}-{number}'
                    try:
                        status, _ = await deployment.call(
                            deployment.front, path, request_id, kept=pool
                        )
                        results.append(status)
                    except httpcore.ConnectError:
                        return
                    except (httpcore.NetworkError, httpcore.ProtocolError):
                        lost.append(request_id)
                        return

        async with anyio.create_task_group() as tasks:
            for number in range(4):
                tasks.start_soon(call_until_gone, f'c{number}')
            await anyio.sleep(0.5)
            edge.send_signal(signal.SIGTERM)
            await deployment.wait_for(deployment.ready, '/readiness', 503)
        assert await anyio.to_thread.run_sync(edge.wait) == 0
        served = {
            name
            for target in deployment.targets.values()
            for name in target.served
        }
        assert not served & set(lost)
        assert set(results) <= {200, 503}
        assert results.count(200) > 10

    deployments.play(tmp_path, scenario)


def test_limits_of_the_configuration_hold(tmp_path: pathlib.Path) -> None:
    """Guards against callers that send or idle beyond the limits."""

    async def scenario(deployment: deployments.Deployment) -> None:
        await deployment.start()
        await deployment.put(
            'op', 'config', deployments.config(2, '/q/', '200ms')
        )
        await deployment.wait_for(deployment.front, '/q/a', 200)
        stream = await anyio.connect_tcp('127.0.0.1', deployment.front)
        await stream.send(
            b'GET /q/a HTTP/1.1\r\nHost: x.example\r\nRequest-Id: r\r\n\r\n'
        )
        assert b' 200 ' in await stream.receive()
        started_s = time.monotonic()
        with pytest.raises(anyio.EndOfStream):
            while True:
                await stream.receive()
        assert time.monotonic() - started_s >= 0.2
        stream = await anyio.connect_tcp('127.0.0.1', deployment.front)
        await stream.send(
            b'GET /q/a HTTP/1.1\r\nHost: x.example\r\nX: ' + b'x' * 4_000
        )
        assert b' 431 ' in await stream.receive()

    deployments.play(tmp_path, scenario)


def test_settings_are_read_again(tmp_path: pathlib.Path) -> None:
    """Guards against a host that ends or forgets on a change of settings."""

    async def scenario(deployment: deployments.Deployment) -> None:
        edge = await deployment.start()
        text = deployment.settings.read_text()
        for content in (text.replace('4000ms', '3000ms'), '{'):
            deployment.settings.write_text(content)
            edge.send_signal(signal.SIGHUP)
            await anyio.sleep(0.5)
            status, _ = await deployment.call(deployment.front, '/r/a')
            assert status == 200
        log = deployment.log.read_text()
        assert '"settings read again", "changed": ["bounds"]' in log
        assert 'settings unusable' in log

    deployments.play(tmp_path, scenario)
