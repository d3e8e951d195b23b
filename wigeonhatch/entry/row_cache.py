"""Rows of one table as a host has read them, with their latest changes."""

from __future__ import annotations

import collections
import collections.abc

from wigeonhatch.peers import row_share
from wigeonhatch.platform import store as stores

MAX_CHANGES = 1_000
"""Changes kept for peers; one that is further behind reads all rows."""

Rows = collections.abc.Sequence[stores.StoredRow]


class RowCache:
    """Keep the rows of a table and what changed lately."""

    def __init__(self) -> None:
        self.version: int | None = None
        self.last_change_version = 0
        self._row_by_key: dict[str, stores.StoredRow] = {}
        self._changes: collections.deque[stores.StoredRow] = (
            collections.deque()
        )
        self._history_start = 0

    def replace(self, rows: Rows, version: int) -> None:
        """Take over all rows.

        A row that is gone counts as a change at `version`, since nothing tells
        when it was deleted; peers that still have it would not ask otherwise.

        Args:
            rows: All rows of the table.
            version: Change of the store up to which they hold.
        """
        row_by_key = {row.key: row for row in rows}
        if self._row_by_key.keys() - row_by_key.keys():
            self.last_change_version = max(self.last_change_version, version)
        self._row_by_key = row_by_key
        self._changes.clear()
        self._history_start = version
        self._update_versions(rows, version)

    def apply_changes(self, rows: Rows, version: int) -> None:
        """Take over changed and deleted rows, in order.

        Args:
            rows: The rows; none if nothing changed.
            version: Change of the store up to which the table is known now.
        """
        for row in rows:
            if row.is_deleted:
                self._row_by_key.pop(row.key, None)
            else:
                self._row_by_key[row.key] = row
            self._changes.append(row)
        while len(self._changes) > MAX_CHANGES:
            self._history_start = self._changes.popleft().version
        self._update_versions(rows, version)

    def select_rows_after(
        self, after: int, grace_left_ms: int
    ) -> row_share.SharedRows:
        """Select what a peer has to learn.

        Args:
            after: Change of the store up to which the peer knows the table.
            grace_left_ms: Time for which missing rows may come back in ms.

        Raises:
            ValueError: No row has been read yet.
        """
        if self.version is None:
            raise ValueError('the table has not been read')
        is_whole = after < self._history_start
        row_by_key = self._row_by_key
        if not is_whole:
            row_by_key = {
                row.key: row for row in self._changes if row.version > after
            }
        return row_share.SharedRows(
            tuple(row_by_key.values()), self.version, is_whole, grace_left_ms
        )

    def _update_versions(self, rows: Rows, version: int) -> None:
        self.version = max(version, self.version or 0)
        for row in rows:
            self.last_change_version = max(
                self.last_change_version, row.version
            )
