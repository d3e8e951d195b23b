"""Tests of the client of the platform's store, on loopback."""

from __future__ import annotations

import collections.abc
import contextlib
import socket

import anyio
import uvicorn

from wigeonhatch.entry import http_server
from wigeonhatch.platform import interface
from wigeonhatch.platform import store as stores
from wigeonhatch.standins import row_store


@contextlib.asynccontextmanager
async def connected() -> collections.abc.AsyncIterator[
    tuple[stores.StoreClient, row_store.RowStore]
]:
    """Run the stand-in of the store and a client."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        port = probe.getsockname()[1]
    rows = row_store.RowStore()
    server = http_server.HttpServer(
        uvicorn.Config(
            row_store.RowStoreApplication(rows),
            port=port,
            lifespan='off',
            log_config=None,
        )
    )
    client = stores.StoreClient(f'127.0.0.1:{port}')
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve)
        while not server.started:
            await anyio.sleep(0.01)
        yield client, rows
        await client.aclose()
        tasks.cancel_scope.cancel()


def test_rows_of_many_pages() -> None:
    """Guards against a list that ends with its first page."""

    async def scenario() -> None:
        async with connected() as (client, rows):
            for number in range(1_203):
                rows.put('t', f'k{number:04}', b'%d' % number)
            rows.put('other', 'x', b'')
            found = await client.list_rows('t')
            assert isinstance(found, stores.RowBatch)
            assert [row.value for row in found.rows] == [
                b'%d' % number for number in range(1_203)
            ]
            assert found.version == rows.version

    anyio.run(scenario)


def test_changes_after_a_version() -> None:
    """Guards against changes that are lost, and waits that never end."""

    async def scenario() -> None:
        async with connected() as (client, rows):
            version = rows.put('t', 'a', b'1')
            nothing = await client.follow('t', version, 20)
            assert nothing == stores.RowBatch((), version)
            written = await client.put_row('t', 'b', b'2')
            assert written == version + 1
            await client.remove_row('t', 'a')
            found = await client.follow('t', version, 20)
            assert isinstance(found, stores.RowBatch)
            assert [(row.key, row.is_deleted) for row in found.rows] == [
                ('b', False),
                ('a', True),
            ]
            rows.discard_history()
            gone = await client.follow('t', version, 20)
            assert gone == stores.HistoryGone()

    anyio.run(scenario)


def test_failures_are_told_apart() -> None:
    """Guards against a write that counts as not done though it may be."""

    async def scenario() -> None:
        async with connected() as (client, rows):
            rows.faults.is_down = True
            refused = await client.put_row('t', 'a', b'1')
            assert isinstance(refused, interface.Unavailable)
            rows.faults.is_down = False
            rows.faults.is_silent = True
            silent = await client.put_row('t', 'a', b'1')
            assert isinstance(silent, interface.Unknown)
            rows.faults.is_silent = False
            assert isinstance(await client.put_row('t', 'a', b'1'), int)
        nobody = await stores.StoreClient('127.0.0.1:1').list_rows('t')
        assert isinstance(nobody, interface.Unavailable)

    anyio.run(scenario)
