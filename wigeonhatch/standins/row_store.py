"""HTTP stand-in for the platform's row store, with fault injection."""

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

_MAX_PAGE_ROWS = 500


@dataclasses.dataclass
class Faults:
    """Injected faults of the store.

    Args:
        is_down: Whether requests get status 503.
        is_silent: Whether requests never get a response.
        delay_ms: Delay before each response, in ms.
    """

    is_down: bool = False
    is_silent: bool = False
    delay_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Copy:
    """Content of a store at one moment."""

    version: int
    row_by_key: dict[tuple[str, str], dict[str, typing.Any]]


class RowStore:
    """Tables of rows and a change log with one version counter."""

    def __init__(self) -> None:
        self.version = 0
        self.faults = Faults()
        self.history_start_version = 0
        self.era = 0
        self._row_by_key: dict[tuple[str, str], dict[str, typing.Any]] = {}
        self._change_log: list[dict[str, typing.Any]] = []
        self._change_event = asyncio.Event()

    def put(self, table: str, key: str, value: object) -> int:
        """Write a row.

        Args:
            table: Name of the table.
            key: Key of the row.
            value: Content, encoded as JSON unless it is bytes.

        Returns:
            Version of the change.
        """
        if not isinstance(value, bytes):
            value = msgspec.json.encode(value)
        encoded = base64.b64encode(value).decode()
        return self._append_change(table, key, {'value': encoded})

    def remove(self, table: str, key: str) -> int:
        """Delete a row and return the version of the change."""
        if (table, key) not in self._row_by_key:
            return self.version
        return self._append_change(table, key, {'deleted': True})

    def discard_history(self) -> None:
        """Discard the change log, so that followers must read all rows."""
        self._change_log.clear()
        self.history_start_version = self.version
        self._notify_followers()

    def copy(self) -> Copy:
        """Copy the rows and the version."""
        return Copy(self.version, dict(self._row_by_key))

    def restore(self, copy: Copy) -> None:
        """Go back to a copy; later versions are given out again."""
        self.version = copy.version
        self._row_by_key = dict(copy.row_by_key)
        self.era += 1
        self.discard_history()

    def rows(self, table: str) -> list[dict[str, typing.Any]]:
        """Return all rows of a table, sorted by key."""
        return [
            row
            for (name, _), row in sorted(self._row_by_key.items())
            if name == table
        ]

    async def wait_for_changes(
        self, table: str, after: int, wait_ms: int
    ) -> list[dict[str, typing.Any]] | None:
        """Wait for changes to a table.

        Returns:
            Later changes, empty on timeout; None if the log starts later.
        """
        with anyio.move_on_after(wait_ms / 1_000):
            while True:
                if not self.history_start_version <= after <= self.version:
                    return None
                changes = [
                    row
                    for row in self._change_log
                    if row['table'] == table and row['ver'] > after
                ]
                if changes:
                    return changes
                await self._change_event.wait()
        return []

    def _append_change(
        self, table: str, key: str, content: dict[str, typing.Any]
    ) -> int:
        self.version += 1
        row = {'table': table, 'part': '', 'key': key, 'ver': self.version}
        row |= content
        if content.get('deleted'):
            self._row_by_key.pop((table, key), None)
        else:
            self._row_by_key[table, key] = row
        self._change_log.append(row)
        self._notify_followers()
        return self.version

    def _notify_followers(self) -> None:
        self._change_event.set()
        self._change_event = asyncio.Event()


class RowStoreApplication:
    """ASGI application of the store.

    `POST /.standin/faults` sets `Faults`.

    Args:
        store: Rows to serve.
    """

    def __init__(self, store: RowStore) -> None:
        self.store = store
        self.request_count = 0

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
        self.request_count += 1
        faults = self.store.faults
        if faults.is_silent:
            await anyio.sleep_forever()
        await anyio.sleep(faults.delay_ms / 1_000)
        if faults.is_down:
            await _asgi.respond_json(send, 503, {})
            return
        query = dict(urllib.parse.parse_qsl(scope['query_string'].decode()))
        status, response = await self._handle(path, query, body)
        response |= {'ver': self.store.version, 'now': '0ms'}
        era = str(self.store.era).encode()
        await _asgi.respond_json(send, status, response, [(b'store-era', era)])

    async def _handle(
        self, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, typing.Any]]:
        if path == '/rows-get':
            return 200, self._read(query)
        if path == '/rows-feed':
            changes = await self.store.wait_for_changes(
                query['table'], int(query['after']), int(query['wait_ms'])
            )
            return (410, {}) if changes is None else (200, {'rows': changes})
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
        limit = min(_MAX_PAGE_ROWS, int(query.get('limit', _MAX_PAGE_ROWS)))
        return {'rows': rows[:limit], 'has_more': len(rows) > limit}


def run(address: str = '127.0.0.1:7000') -> None:
    """Run the store until SIGTERM.

    Args:
        address: `IP:PORT` to listen on.
    """
    _asgi.serve(RowStoreApplication(RowStore()), address)


if __name__ == '__main__':
    fire.Fire(run)
