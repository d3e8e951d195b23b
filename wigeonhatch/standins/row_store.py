"""Stand-in for the platform's store of rows, with faults on command."""

from __future__ import annotations

import asyncio
import base64
import dataclasses
import typing
import urllib.parse

import anyio
import fire  # type: ignore[import-untyped]
import msgspec

from wigeonhatch.standins import _asgi

_PAGE_ROWS = 500


@dataclasses.dataclass
class Faults:
    """How the store misbehaves.

    Args:
        is_down: Whether calls get 503.
        is_silent: Whether calls get no answer.
        delay_ms: Time by which answers are late.
    """

    is_down: bool = False
    is_silent: bool = False
    delay_ms: int = 0


class RowStore:
    """Rows of tables with one counter of changes."""

    def __init__(self) -> None:
        self.version = 0
        self.faults = Faults()
        self.oldest_version = 0
        self._row_by_place: dict[tuple[str, str], dict[str, typing.Any]] = {}
        self._changes: list[dict[str, typing.Any]] = []
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, value: object) -> int:
        """Write a row.

        Args:
            table: Name of the table.
            key: Key of the row.
            value: Content, encoded as JSON unless it is bytes.

        Returns:
            Change that wrote it.
        """
        if not isinstance(value, bytes):
            value = msgspec.json.encode(value)
        text = base64.b64encode(value).decode()
        return self._record(table, key, {'value': text})

    def remove(self, table: str, key: str) -> int:
        """Delete a row."""
        if (table, key) not in self._row_by_place:
            return self.version
        return self._record(table, key, {'deleted': True})

    def discard_history(self) -> None:
        """Drop all changes, so that followers have to read again."""
        self._changes.clear()
        self.oldest_version = self.version
        self._wake()

    def rows(self, table: str) -> list[dict[str, typing.Any]]:
        """All rows of a table in the order of their keys."""
        return [
            row
            for (name, _), row in sorted(self._row_by_place.items())
            if name == table
        ]

    async def wait_for_changes(
        self, table: str, after: int, wait_ms: int
    ) -> list[dict[str, typing.Any]] | None:
        """Wait for changes of a table.

        Returns:
            Changed rows; None if the history no longer has them.
        """
        with anyio.move_on_after(wait_ms / 1_000):
            while True:
                if after < self.oldest_version:
                    return None
                found = [
                    row
                    for row in self._changes
                    if row['table'] == table and row['ver'] > after
                ]
                if found:
                    return found
                await self._changed.wait()
        return []

    def _record(
        self, table: str, key: str, content: dict[str, typing.Any]
    ) -> int:
        self.version += 1
        row = {'table': table, 'part': '', 'key': key, 'ver': self.version}
        row |= content
        if content.get('deleted'):
            self._row_by_place.pop((table, key), None)
        else:
            self._row_by_place[table, key] = row
        self._changes.append(row)
        self._wake()
        return self.version

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class RowStoreApplication:
    """ASGI application of the store.

    `POST /.standin/faults` sets the faults.

    Args:
        store: Rows to serve.
    """

    def __init__(self, store: RowStore) -> None:
        self.store = store
        self.calls = 0

    async def __call__(
        self, scope: _asgi.Scope, receive: _asgi.Receive, send: _asgi.Send
    ) -> None:
        """Handle one request."""
        path = scope['path']
        body = await _asgi.read_body(receive)
        if path == '/.standin/faults':
            self.store.faults = msgspec.json.decode(body, type=Faults)
            await _asgi.respond_json(send, 200, {})
            return
        self.calls += 1
        faults = self.store.faults
        if faults.is_silent:
            await anyio.sleep_forever()
        await anyio.sleep(faults.delay_ms / 1_000)
        if faults.is_down:
            await _asgi.respond_json(send, 503, {})
            return
        query = dict(urllib.parse.parse_qsl(scope['query_string'].decode()))
        status, answer = await self._handle(path, query, body)
        answer |= {'ver': self.store.version, 'now': '0ms'}
        await _asgi.respond_json(send, status, answer)

    async def _handle(
        self, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, typing.Any]]:
        if path == '/rows-get':
            return 200, self._read(query)
        if path == '/rows-feed':
            found = await self.store.wait_for_changes(
                query['table'], int(query['after']), int(query['wait_ms'])
            )
            return (410, {}) if found is None else (200, {'rows': found})
        if path == '/rows-tx':
            request = msgspec.json.decode(body)
            for row in request['writes']:
                value = base64.b64decode(row['value'])
                self.store.put(row['table'], row['key'], value)
            for row in request['remove']:
                self.store.remove(row['table'], row['key'])
            return 200, {}
        return 404, {}

    def _read(self, query: dict[str, str]) -> dict[str, typing.Any]:
        rows = [
            row
            for row in self.store.rows(query['table'])
            if row['key'] >= query.get('from', '')
        ]
        limit = min(_PAGE_ROWS, int(query.get('limit', _PAGE_ROWS)))
        return {'rows': rows[:limit], 'has_more': len(rows) > limit}


def run(address: str = '127.0.0.1:7000') -> None:
    """Run the store until SIGTERM.

    Args:
        address: `IP:PORT` to listen on.
    """
    _asgi.serve(RowStoreApplication(RowStore()), address)


if __name__ == '__main__':
    fire.Fire(run)
