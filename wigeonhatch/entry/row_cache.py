"""Cache of the rows of one store table, with a log of recent changes."""

from __future__ import annotations

import collections
import collections.abc

from wigeonhatch.peers import row_share
from wigeonhatch.platform import store as stores

MAX_CHANGES = 1_000
"""Maximum length of the change log; a peer further behind gets a snapshot."""

Rows = collections.abc.Sequence[stores.StoredRow]


class RowCache:
    """Cache the rows and the recent changes of a table."""

    def __init__(self) -> None:
        self.version: int | None = None
        self.change_version = 0
        self._row_by_key: dict[str, stores.StoredRow] = {}
        self._changes: collections.deque[stores.StoredRow] = (
            collections.deque()
        )
        self._history_start = 0

    def replace(self, rows: Rows, version: int) -> None:
        """Replace all rows by a snapshot.

        A row that is gone counts as a change at `version`, as its deletion is
        not dated. Otherwise peers that hold the row would not request it.

        Args:
            rows: All rows of the table.
            version: Store version of the snapshot.
        """
        row_by_key = {row.key: row for row in rows}
        if self._row_by_key.keys() - row_by_key.keys():
            self.change_version = max(self.change_version, version)
        self._row_by_key = row_by_key
        self._changes.clear()
        self._history_start = version
        self._update_versions(rows, version)

    def apply_changes(self, rows: Rows, version: int) -> Rows:
        """Apply changed and deleted rows, in order.

        Args:
            rows: The rows; empty if nothing changed.
            version: Store version after the changes.

        Returns:
            The rows that were not applied before.
        """
        held = self.version or 0
        rows = [row for row in rows if row.version > held]
        for row in rows:
            if row.is_deleted:
                self._row_by_key.pop(row.key, None)
            else:
                self._row_by_key[row.key] = row
            self._changes.append(row)
        while len(self._changes) > MAX_CHANGES:
            self._history_start = self._changes.popleft().version
        self._update_versions(rows, version)
        return rows

    def select_after(
        self, after: int, grace_left_ms: int
    ) -> row_share.SharedRows:
        """Select the rows that a peer is missing: a delta or a snapshot.

        Args:
            after: Store version of the table that the peer holds.
            grace_left_ms: Rest of the grace period for missing rows in ms.

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
            self.change_version = max(self.change_version, row.version)
