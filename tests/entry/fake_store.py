"""Store client that reads the rows of a stand-in without a network."""

from __future__ import annotations

import base64
import typing

import anyio

from wigeonhatch.platform import interface
from wigeonhatch.platform import store as stores
from wigeonhatch.platform import store_version
from wigeonhatch.standins import row_store


class FakeStore:
    """Client that calls a stand-in directly.

    Args:
        rows: Rows to read.
    """

    def __init__(self, rows: row_store.RowStore) -> None:
        self.rows = rows
        self.is_down = False
        self.is_unresponsive = False
        self.list_calls = 0
        self.follow_calls = 0

    async def list_rows(
        self, table: str
    ) -> stores.RowBatch | interface.Unavailable:
        """Read all rows of a table."""
        self.list_calls += 1
        if self.is_down:
            return interface.Unavailable('down')
        return stores.RowBatch(
            tuple(self._decode(row) for row in self.rows.rows(table)),
            self._version,
        )

    async def put_row(self, table: str, key: str, value: bytes) -> int:
        """Write one row."""
        return self.rows.put(table, key, value)

    async def remove_row(self, table: str, key: str) -> int:
        """Delete one row."""
        return self.rows.remove(table, key)

    @property
    def era(self) -> int:
        """Era of the store."""
        return self.rows.era

    async def follow(
        self, table: str, after: int, wait_ms: int
    ) -> stores.RowBatch | stores.HistoryGone | interface.Unavailable:
        """Read the changes of a table."""
        self.follow_calls += 1
        if self.is_unresponsive:
            await anyio.sleep_forever()
        if self.is_down:
            return interface.Unavailable('down')
        number = store_version.number_of(after)
        changes = await self.rows.wait_for_changes(table, number, 1)
        if changes is None or store_version.era_of(after) != self.rows.era:
            return stores.HistoryGone()
        return stores.RowBatch(
            tuple(self._decode(row) for row in changes), self._version
        )

    @property
    def _version(self) -> int:
        return store_version.combine(self.rows.era, self.rows.version)

    def _decode(self, row: dict[str, typing.Any]) -> stores.StoredRow:
        return stores.StoredRow(
            row['key'],
            base64.b64decode(row.get('value', '')),
            store_version.combine(self.rows.era, row['ver']),
            row.get('deleted', False),
        )
