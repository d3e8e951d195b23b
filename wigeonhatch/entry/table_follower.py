"""Follow one table of the platform's store."""

from __future__ import annotations

import collections.abc
import logging
import random

from wigeonhatch import clock as clocks
from wigeonhatch import log
from wigeonhatch.platform import interface
from wigeonhatch.platform import store as stores

WAIT_MS = 2_000
"""Wait of one call for changes; a silent connection shows 1 s later, which
keeps an outage of the connection below the 4 s that operators allow."""
FIRST_BACKOFF_MS = 100
"""First pause after a failed call, above the time of an ordinary answer."""
MAX_BACKOFF_MS = 800
"""Longest pause; a change must be in force 2.5 s after the store returns."""
_LOG = logging.getLogger(__name__)

Rows = collections.abc.Sequence[stores.StoredRow]
OnRows = collections.abc.Callable[[Rows], None]


class TableFollower:
    """Keep up with the changes of one table.

    Args:
        store: Client of the store.
        table: Name of the table.
        on_snapshot: Called with all rows of the table.
        on_changes: Called with changed and deleted rows, in order.
        on_regained: Called after failed calls, before the rows, with the
            time since the last answer in ms.
        clock: Clock of the host.
        rng: Source of randomness.
    """

    def __init__(
        self,
        store: stores.StoreClient,
        table: str,
        on_snapshot: OnRows,
        on_changes: OnRows,
        on_regained: collections.abc.Callable[[int], None],
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self.version: int | None = None
        self.last_answer_ms: int | None = None
        self.is_connected = False
        self._store = store
        self._table = table
        self._on_snapshot = on_snapshot
        self._on_changes = on_changes
        self._on_regained = on_regained
        self._clock = clock
        self._rng = rng
        self._failures = 0

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            if not await self._step():
                ceiling_ms = min(
                    MAX_BACKOFF_MS, FIRST_BACKOFF_MS << min(self._failures, 8)
                )
                self._failures += 1
                await self._clock.sleep_ms(
                    self._rng.randrange(ceiling_ms // 2, ceiling_ms)
                )

    async def _step(self) -> bool:
        if self.version is None:
            result: object = await self._store.list_rows(self._table)
        else:
            result = await self._store.follow(
                self._table, self.version, WAIT_MS
            )
        if isinstance(result, stores.HistoryGone):
            log.event(
                _LOG,
                'history gone',
                table=self._table,
                version=self.version,
            )
            self.version = None
            return True
        if isinstance(result, interface.Unavailable):
            self._note_lost(result.detail)
            return False
        assert isinstance(result, stores.Snapshot)
        self._note_answer(result.version)
        is_first = self.version is None
        self.version = max(result.version, self.version or 0)
        if is_first:
            self._on_snapshot(result.rows)
        elif result.rows:
            self._on_changes(result.rows)
        return True

    def _note_answer(self, version: int) -> None:
        now_ms = self._clock.now_ms
        if not self.is_connected:
            silent_ms = (
                None
                if self.last_answer_ms is None
                else now_ms - self.last_answer_ms
            )
            log.event(
                _LOG,
                'store reached',
                table=self._table,
                version=version,
                silent_ms=silent_ms,
            )
            if silent_ms is not None:
                self._on_regained(silent_ms)
        self.is_connected = True
        self.last_answer_ms = now_ms
        self._failures = 0

    def _note_lost(self, reason: str) -> None:
        if self.is_connected:
            log.event(
                _LOG,
                'store lost',
                table=self._table,
                version=self.version,
                reason=reason,
            )
        self.is_connected = False
