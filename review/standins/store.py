"""Stand-in for the platform's store: rows, conditional writes and a feed."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import time
import typing
import urllib.parse

from review.standins import http1

_PAGE_ROWS = 500


class Store:
    """Tables of rows with one version counter, served over HTTP."""

    def __init__(self) -> None:
        self.version = 0
        self._rows: dict[tuple[str, str, str], dict[str, typing.Any]] = {}
        self._history: list[dict[str, typing.Any]] = []
        self._change = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._port = 0
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> str:
        """Listen on a free loopback port; return its address."""
        self._server = await http1.listen(self._serve, '127.0.0.1', self._port)
        ip, self._port = self._server.sockets[0].getsockname()[:2]
        return f'{ip}:{self._port}'

    def break_down(self) -> None:
        """Reset all connections and refuse new ones."""
        self.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def come_back(self) -> None:
        """Serve again, with all rows and the history."""
        await self.open()

    def close(self) -> None:
        """Stop to listen."""
        if self._server is not None:
            self._server.close()

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row; bytes as they are, anything else as JSON."""
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.version += 1
        self._write(table, '', key, base64.b64encode(value).decode())

    def remove(self, table: str, key: str) -> None:
        """Delete a row."""
        self.version += 1
        self._write(table, '', key, None)

    def _write(
        self, table: str, part: str, key: str, value: str | None
    ) -> None:
        row: dict[str, typing.Any] = {
            'table': table,
            'part': part,
            'key': key,
            'ver': self.version,
        }
        if value is None:
            if self._rows.pop((table, part, key), None) is None:
                return
            row['deleted'] = True
        else:
            row['value'] = value
            self._rows[table, part, key] = row
        self._history.append(row)
        self._change.set()
        self._change = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await self._answer(reader, writer)
        finally:
            self._writers.discard(writer)

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            request = await http1.read_message(reader)
            _, target, _ = request.start.split(' ')
            path, _, text = target.partition('?')
            query = dict(urllib.parse.parse_qsl(text))
            status, answer = 404, {}
            if path == '/rows-get':
                status, answer = 200, self._get(query)
            elif path == '/rows-feed':
                status, answer = 200, await self._feed(query)
            elif path == '/rows-tx':
                status, answer = self._transact(json.loads(request.body))
            answer |= {'ver': self.version, 'now': f'{_now_ms()}ms'}
            writer.write(
                http1.encode(
                    f'HTTP/1.1 {status} X',
                    {'Content-Type': 'application/json'},
                    json.dumps(answer).encode(),
                )
            )
            await writer.drain()

    def _get(self, query: dict[str, str]) -> dict[str, typing.Any]:
        table, part = query['table'], query.get('part', '')
        rows = [
            row
            for key, row in sorted(self._rows.items())
            if key[:2] == (table, part)
            and key[2] >= query.get('from', '')
            and ('target' not in query or key[2] < query['target'])
        ]
        limit = min(_PAGE_ROWS, int(query.get('limit', _PAGE_ROWS)))
        return {'rows': rows[:limit], 'has_more': len(rows) > limit}

    async def _feed(self, query: dict[str, str]) -> dict[str, typing.Any]:
        after = int(query['after'])
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query['wait_ms']) / 1_000):
                while True:
                    rows = [
                        row
                        for row in self._history
                        if row['table'] == query['table']
                        and row['ver'] > after
                    ]
                    if rows:
                        return {'rows': rows}
                    await self._change.wait()
        return {'rows': []}

    def _transact(
        self, entries: dict[str, typing.Any]
    ) -> tuple[int, dict[str, typing.Any]]:
        def find(row: dict[str, typing.Any]) -> dict[str, typing.Any] | None:
            return self._rows.get(
                (row['table'], row.get('part', ''), row['key'])
            )

        checked = entries.get('precondition', [])
        if any(
            (find(row) or {}).get('ver', 0) != row['ver'] for row in checked
        ):
            current = [row for row in map(find, checked) if row]
            return 412, {'rows': current}
        self.version += 1
        for row in entries.get('writes', []):
            self._write(
                row['table'], row.get('part', ''), row['key'], row['value']
            )
        for row in entries.get('remove', []):
            self._write(row['table'], row.get('part', ''), row['key'], None)
        return 200, {}


def _now_ms() -> int:
    return int(time.monotonic() * 1_000)
