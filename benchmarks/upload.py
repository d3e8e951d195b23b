"""Memory growth of hosts during an upload of 500 MB.

The upload passes through one host, or through an entry host and the host
that owns the target. Each host is a separate process, and the growth of its
peak resident memory during the upload is printed.
"""

from __future__ import annotations

import asyncio
import collections.abc
import resource
import signal
import subprocess
import sys
import time
import typing

import anyio
import fire  # type: ignore[import-untyped]
from grpclib import client as grpc_client
from grpclib import const as grpc_const
from grpclib import server as grpc_server
import httpcore
import uvicorn

from benchmarks import request_cost
from wigeonhatch import clock as clocks
from wigeonhatch import settings
from wigeonhatch.peers import peers_grpc
from wigeonhatch.peers import peers_pb2
from wigeonhatch.requests import forward_server
from wigeonhatch.requests import server

# A host that buffered the body would grow by up to 500 MB.
GROWTH_GOAL_KB = 16_000
_FIRST_PORT = 21_500
_CHUNK_BYTES = 65_536
_WARM_UP_BYTES = 16 * 1024 * 1024
_LIMITS = settings.Limits(max_deadline_ms=600_000, default_deadline_ms=600_000)


async def _count_body(
    scope: typing.Any, receive: typing.Any, send: typing.Any
) -> None:
    """Respond with the number of body bytes received."""
    count = 0
    while True:
        message = await receive()
        count += len(message.get('body', b''))
        if not message.get('more_body'):
            break
    content = b'%d' % count
    headers = [(b'content-length', b'%d' % len(content))]
    await send(
        {'type': 'http.response.start', 'status': 200, 'headers': headers}
    )
    await send({'type': 'http.response.body', 'body': content})


class _ForwardService:
    """Peer service that offers only the call `Forward`."""

    def __init__(self, handler: forward_server.ForwardServer) -> None:
        self._handler = handler

    def __mapping__(self) -> dict[str, grpc_const.Handler]:
        return {
            '/wigeonhatch.peers.Peers/Forward': grpc_const.Handler(
                self._handler.handle,
                grpc_const.Cardinality.STREAM_STREAM,
                peers_pb2.ForwardRequest,
                peers_pb2.ForwardReply,
            )
        }


def _report_on_signal() -> None:
    def report(*_: object) -> None:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        print(usage.ru_maxrss, flush=True)

    signal.signal(signal.SIGUSR1, report)


def serve(role: str, port: int, target: str, peer_port: int) -> None:
    """Run one role until SIGTERM.

    Args:
        role: `target`, `local`, `entry` or `owner`.
        port: Port on loopback.
        target: `IP:PORT` of the target.
        peer_port: Port of the owner for connections from other hosts.
    """
    _report_on_signal()
    stubs: typing.Any = request_cost.DependencyStubs(target)
    if role == 'entry':
        stubs.route = request_cost.Route('h2', 'r1', False)
        channels: list[grpc_client.Channel] = []

        def stub(host: str) -> peers_grpc.PeersStub:
            if not channels:
                channels.append(grpc_client.Channel('127.0.0.1', peer_port))
            return peers_grpc.PeersStub(channels[0])

        stubs.stub = stub
    runner, forwarder = request_cost.build_runner(stubs)

    async def serve_peers() -> None:
        handler = forward_server.ForwardServer(
            clocks.Clock(), stubs, runner, forwarder, _LIMITS
        )
        peer_server = grpc_server.Server([_ForwardService(handler)])
        await peer_server.start('127.0.0.1', peer_port)
        await asyncio.sleep(3_600)

    if role == 'owner':
        anyio.run(serve_peers, backend_options={'use_uvloop': True})
        return
    app: typing.Any = _count_body
    if role != 'target':
        app = request_cost.build_application(stubs, runner, _LIMITS)
    config = server.build_server_config(
        app, f'127.0.0.1:{port}', server.build_protocol(_LIMITS)
    )
    uvicorn.Server(config).run()


async def _upload(port: int, size: int) -> None:
    async def read_chunks() -> collections.abc.AsyncIterator[bytes]:
        chunk = b'u' * _CHUNK_BYTES
        for _ in range(size // _CHUNK_BYTES):
            yield chunk

    origin = httpcore.Origin(b'http', b'127.0.0.1', port)
    async with httpcore.AsyncHTTPConnection(origin) as connection:
        response = await connection.request(
            'PUT',
            f'http://127.0.0.1:{port}/svc/x',
            headers={'Host': 'x', 'Content-Length': str(size)},
            content=read_chunks(),
        )
    assert response.content == b'%d' % size, response.content


def main(size_mb: int = 500) -> None:
    """Upload through one host and through two; print their memory growth.

    Exits with 1 if a host grew by more than `GROWTH_GOAL_KB`.

    Args:
        size_mb: Size of the upload in MB.
    """
    is_missed = False
    size = size_mb * 1_000_000 // _CHUNK_BYTES * _CHUNK_BYTES
    target = f'127.0.0.1:{_FIRST_PORT}'
    processes: dict[str, subprocess.Popen[str]] = {}
    ports = {'target': 0, 'local': 1, 'entry': 2, 'owner': 3}
    for role, offset in ports.items():
        processes[role] = subprocess.Popen(
            [sys.executable, '-m', 'benchmarks.upload', 'serve', role]
            + [str(_FIRST_PORT + offset), target, str(_FIRST_PORT + 9)],
            stdout=subprocess.PIPE,
            text=True,
        )

    def peak_kb(role: str) -> int:
        process = processes[role]
        process.send_signal(signal.SIGUSR1)
        assert process.stdout is not None
        return int(process.stdout.readline())

    time.sleep(3)
    try:
        for name, hosts in (('local', ['local']), ('hop', ['entry', 'owner'])):
            port = _FIRST_PORT + ports[hosts[0]]
            request_cost.run_uvloop(_upload, port, _WARM_UP_BYTES)
            before = {role: peak_kb(role) for role in hosts}
            started = time.monotonic()
            request_cost.run_uvloop(_upload, port, size)
            mb_per_s = size / 1e6 / (time.monotonic() - started)
            for role in hosts:
                growth_kb = peak_kb(role) - before[role]
                is_missed |= growth_kb > GROWTH_GOAL_KB
                print(
                    f'{name}: {role}: largest size {before[role] / 1e3:.1f} '
                    f'MB after 16 MiB, {growth_kb / 1e3:+.1f} MB after '
                    f'{size_mb} MB, {mb_per_s:.0f} MB/s'
                )
    finally:
        for process in processes.values():
            process.terminate()
            process.wait()
    sys.exit(int(is_missed))


if __name__ == '__main__':
    if len(sys.argv) > 1 and sys.argv[1] == 'serve':
        fire.Fire({'serve': serve})
    else:
        fire.Fire(main)
