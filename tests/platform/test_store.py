"""Tests of the store client against the stand-in, over loopback."""

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
async def client_and_store() -> collections.abc.AsyncIterator[
    tuple[stores.StoreClient, row_store.RowStore]
]:
    """Run the stand-in of the store and a client that uses it."""
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


def test_list_of_many_pages() -> None:
    """Guards against a listing that ends after its first page."""

    async def scenario() -> None:
        async with client_and_store() as (client, rows):
            for number in range(1_203):
                rows.put('t', f'k{number:04}', b'%d' % number)
            rows.put('other', 'x', b'')
            batch = await client.list_rows('t')
            assert isinstance(batch, stores.RowBatch)
            assert [row.value for row in batch.rows] == [
                b'%d' % number for number in range(1_203)
            ]
            assert batch.version == rows.version

    anyio.run(scenario)


def test_changes_after_a_version() -> None:
    """Guards against missed changes and long polls that never end."""

    async def scenario() -> None:
        async with client_and_store() as (client, rows):
            version = rows.put('t', 'a', b'1')
            empty = await client.follow('t', version, 20)
            assert empty == stores.RowBatch((), version)
            written_version = await client.put_row('t', 'b', b'2')
            assert written_version == version + 1
            await client.remove_row('t', 'a')
            batch = await client.follow('t', version, 20)
            assert isinstance(batch, stores.RowBatch)
            assert [(row.key, row.is_deleted) for row in batch.rows] == [
                ('b', False),
                ('a', True),
            ]
            rows.discard_history()
            expired = await client.follow('t', version, 20)
            assert expired == stores.HistoryGone()

    anyio.run(scenario)


def test_unavailable_and_unknown_are_distinguished() -> None:
    """Guards against a lost write that is reported as not executed."""

    async def scenario() -> None:
        async with client_and_store() as (client, rows):
            rows.faults.is_down = True
            unavailable = await client.put_row('t', 'a', b'1')
            assert isinstance(unavailable, interface.Unavailable)
            rows.faults.is_down = False
            rows.faults.is_silent = True
            unknown = await client.put_row('t', 'a', b'1')
            assert isinstance(unknown, interface.Unknown)
            rows.faults.is_silent = False
            assert isinstance(await client.put_row('t', 'a', b'1'), int)
        unreachable = await stores.StoreClient('127.0.0.1:1').list_rows('t')
        assert isinstance(unreachable, interface.Unavailable)

    anyio.run(scenario)


def test_versions_rise_when_the_store_is_restored() -> None:
    """Guards against changes of a lost history that count as known."""

    async def scenario() -> None:
        async with client_and_store() as (client, rows):
            rows.put('t', 'a', b'1')
            copy = rows.copy()
            lost = await client.put_row('t', 'lost', b'2')
            assert isinstance(lost, int)
            rows.restore(copy)
            assert rows.put('t', 'b', b'3') == lost
            assert await client.follow('t', lost, 20) == stores.HistoryGone()
            batch = await client.list_rows('t')
            assert isinstance(batch, stores.RowBatch)
            assert [row.key for row in batch.rows] == ['a', 'b']
            assert all(row.version > lost for row in batch.rows)
            rows.put('t', 'c', b'4')
            changes = await client.follow('t', batch.version, 20)
            assert isinstance(changes, stores.RowBatch)
            assert [row.key for row in changes.rows] == ['c']

    anyio.run(scenario)


def test_response_of_an_earlier_era_is_discarded() -> None:
    """Guards against rows that go back to those of a lost history."""

    async def scenario() -> None:
        async with client_and_store() as (client, rows):
            rows.era = 2
            assert isinstance(await client.list_rows('t'), stores.RowBatch)
            rows.era = 1
            result = await client.list_rows('t')
            assert isinstance(result, interface.Unavailable)

    anyio.run(scenario)
