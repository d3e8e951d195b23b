"""Tests of the open exchanges on callers' connections, over sockets."""

from __future__ import annotations

import collections.abc
import contextlib
import typing

import anyio
import uvicorn

from tests.targets import scripted
from wigeonhatch import settings
from wigeonhatch.requests import _asgi
from wigeonhatch.requests import connection_ledger
from wigeonhatch.requests import server as request_server

HEAD = b'POST /x HTTP/1.1\r\nHost: x\r\nRequest-Id: r1\r\n'
Stage = connection_ledger.Stage


class Interface:
    """Callers' interface whose requests wait until they are released."""

    def __init__(self, body: bytes = b'ok') -> None:
        self.ledger = connection_ledger.ConnectionLedger()
        self.release = anyio.Event()
        self.port = 0
        self._body = body

    async def serve(
        self, scope: object, receive: object, send: _asgi.Send
    ) -> None:
        """Respond and close the connection."""
        await self.release.wait()
        headers = [
            (b'content-length', b'%d' % len(self._body)),
            (b'connection', b'close'),
        ]
        await _asgi.send_response(send, 503, headers, self._body)

    @contextlib.asynccontextmanager
    async def run(self) -> collections.abc.AsyncIterator[Interface]:
        """Listen on a free port."""
        config = request_server.build_server_config(
            typing.cast(typing.Any, self.serve),
            '127.0.0.1:1',
            request_server.build_protocol(settings.Limits(), self.ledger),
        )
        config.port = 0
        config.load()
        server = uvicorn.Server(config)
        server.lifespan = config.lifespan_class(config)
        await server.startup()
        self.port = server.servers[0].sockets[0].getsockname()[1]
        try:
            yield self
        finally:
            server.servers[0].close()

    async def wait_for(self, *expected: Stage) -> None:
        """Wait until the open exchanges have the expected stages."""
        with anyio.fail_after(5):
            while [
                item.stage for item in self.ledger.open_exchanges()
            ] != list(expected):
                await anyio.sleep(0.005)


@scripted.run_on_uvloop
async def test_request_is_open_until_its_response_is_sent() -> None:
    """Guards against a stop that overlooks a request in progress."""
    async with Interface().run() as interface:
        caller = await anyio.connect_tcp('127.0.0.1', interface.port)
        await caller.send(HEAD[:10])
        await anyio.sleep(0.05)
        assert interface.ledger.open_exchanges() == []
        assert interface.ledger.count_by_stage() == {'receiving': 1}
        await caller.send(HEAD[10:] + b'\r\n')
        await interface.wait_for(Stage.RUNNING)
        assert interface.ledger.open_exchanges()[0].request_id == 'r1'
        interface.release.set()
        await interface.wait_for()
        assert (await caller.receive()).startswith(b'HTTP/1.1 503')


@scripted.run_on_uvloop
async def test_response_is_open_until_its_caller_has_read_it() -> None:
    """Guards against an exit with a response in the transport's buffer."""
    body = b'x' * 8_000_000
    async with Interface(body).run() as interface:
        caller = await anyio.connect_tcp('127.0.0.1', interface.port)
        interface.release.set()
        await caller.send(HEAD + b'\r\n')
        await interface.wait_for(Stage.SENDING)
        assert interface.ledger.open_exchanges()[0].unsent_bytes
        received = b''
        with contextlib.suppress(anyio.EndOfStream):
            while True:
                received += await caller.receive()
        assert received.endswith(body)
        await interface.wait_for()


@scripted.run_on_uvloop
async def test_early_response_is_not_reset() -> None:
    """Guards against a refusal that is lost while its caller is sending."""
    async with Interface().run() as interface:
        caller = await anyio.connect_tcp('127.0.0.1', interface.port)
        interface.release.set()
        await caller.send(HEAD + b'Content-Length: 100000\r\n\r\n')
        await interface.wait_for(Stage.DISCARDING)
        for _ in range(10):
            await caller.send(b'x' * 10_000)
            await anyio.sleep(0.01)
        assert (await caller.receive()).startswith(b'HTTP/1.1 503')
        await interface.wait_for()


@scripted.run_on_uvloop
async def test_caller_that_leaves_is_no_open_exchange() -> None:
    """Guards against a stop that waits for a caller that has gone."""
    async with Interface().run() as interface:
        caller = await anyio.connect_tcp('127.0.0.1', interface.port)
        await caller.send(HEAD + b'\r\n')
        await interface.wait_for(Stage.RUNNING)
        await caller.aclose()
        await interface.wait_for()
