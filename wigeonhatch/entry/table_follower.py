"""Follow one table of the platform's store, directly or through peers."""

from __future__ import annotations

import collections.abc
import logging
import random

import anyio

from wigeonhatch import clock as clocks
from wigeonhatch import log
from wigeonhatch.entry import row_cache
from wigeonhatch.peers import row_share
from wigeonhatch.platform import interface
from wigeonhatch.platform import store as stores

FLEET_POLL_INTERVAL_MS = 400
"""Interval at which some host's call for changes ends; the first host that
learns of a change tells its peers, which then ask at once."""
MIN_POLL_WAIT_MS = 2_000
"""Shortest wait of a call for changes, while few hosts are known."""
MAX_POLL_WAIT_MS = 10_000
"""Longest wait; a store that swallowed the call is noticed after it."""
PROBE_WAIT_MS = 100
"""Wait of a call during an outage, so that its end is noticed soon, and of a
call that only checks the store."""
BATCH_DELAY_MS = 200
"""Pause after a change, so that changes in quick succession take one call;
a change has to be in force within 2.5 s."""
MIN_REFRESH_INTERVAL_MS = 1_000
"""Shortest interval of calls that peers cause, so that a host that the store
refuses does not flood it."""
READER_CHECK_INTERVAL_MS = 250
"""Longest time until a host finds out that it has to follow the store."""
STORE_PROBE_INTERVAL_MS = 30_000
"""Interval at which such a host calls the store all the same, so that it knows
whether it could take over."""
INITIAL_BACKOFF_MS = 100
"""First pause after a failed call, above the time of an ordinary answer."""
MAX_BACKOFF_MS = 800
"""Longest pause; a change must be in force 2.5 s after the store returns."""
_LOG = logging.getLogger(__name__)

Rows = collections.abc.Sequence[stores.StoredRow]
OnRows = collections.abc.Callable[[Rows], None]
FetchFromPeer = collections.abc.Callable[
    [str, int, int], collections.abc.Awaitable[row_share.SharedRows | None]
]


class TableFollower:
    """Keep up with the changes of one table.

    Args:
        store: Client of the store.
        table: Name of the table.
        on_snapshot: Called with all rows of the table.
        on_changes: Called with changed and deleted rows, in order.
        on_recovered: Called after failed calls, before the rows, with the
            length of the outage in ms.
        on_peer_grace: Called before rows of a peer with the time for which it
            keeps rows that are missing in ms.
        is_reader: Tells whether this host has to follow the store itself.
        count_readers: Number of hosts that do.
        fetch_from_peer: Fetches the rows that changed after a store version
            from a peer that has a newer change than this host; None if there
            is no such peer.
        clock: Clock of the host.
        rng: Source of randomness.
    """

    def __init__(
        self,
        store: stores.StoreClient,
        table: str,
        on_snapshot: OnRows,
        on_changes: OnRows,
        on_recovered: collections.abc.Callable[[int], None],
        on_peer_grace: collections.abc.Callable[[int], None],
        is_reader: collections.abc.Callable[[], bool],
        count_readers: collections.abc.Callable[[], int],
        fetch_from_peer: FetchFromPeer,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self.cache = row_cache.RowCache()
        self.last_response_ms: int | None = None
        self.is_connected = False
        self._store = store
        self._table = table
        self._on_snapshot = on_snapshot
        self._on_changes = on_changes
        self._on_recovered = on_recovered
        self._on_peer_grace = on_peer_grace
        self._is_reader = is_reader
        self._count_readers = count_readers
        self._fetch_from_peer = fetch_from_peer
        self._clock = clock
        self._rng = rng
        self._failures = 0
        self._lost_ms = 0
        self._nudged_ms = clock.now_ms
        self._called_ms: int | None = None
        self._followed_since_ms: int | None = None
        self._call: anyio.CancelScope | None = None
        self._news = anyio.Event()
        self._news_version = 0

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            if self._is_call_due():
                await self._call_store()
            else:
                await self._follow_peers()

    @property
    def followed_ms(self) -> int:
        """Time for which this host has followed the store itself in ms."""
        since_ms = self._followed_since_ms
        return 0 if since_ms is None else self._clock.now_ms - since_ms

    def on_peer_version(self, last_change_version: int) -> None:
        """Read the change at once if a peer has a newer one.

        Args:
            last_change_version: Store version of a peer's newest change.
        """
        if (
            self.cache.version is None
            or last_change_version <= self.cache.version
        ):
            return
        self._news_version = last_change_version
        self._news.set()
        now_ms = self._clock.now_ms
        if (
            self._call is None
            or now_ms - self._nudged_ms < MIN_REFRESH_INTERVAL_MS
        ):
            return
        self._nudged_ms = now_ms
        log.event(
            _LOG,
            'table behind a peer',
            table=self._table,
            version=self.cache.version,
            peer_version=last_change_version,
        )
        self._call.cancel()

    def _is_call_due(self) -> bool:
        return (
            self._called_ms is None
            or self.cache.version is None
            or self._clock.now_ms - self._called_ms >= STORE_PROBE_INTERVAL_MS
            or self._is_reader()
        )

    async def _call_store(self) -> None:
        is_answered = False
        with anyio.CancelScope() as self._call:
            is_answered = await self._step()
        self._call = None
        self._called_ms = self._clock.now_ms
        if not is_answered and not await self._learn_from_peer():
            ceiling_ms = min(
                MAX_BACKOFF_MS, INITIAL_BACKOFF_MS << min(self._failures, 8)
            )
            self._failures += 1
            await self._clock.sleep_ms(
                self._rng.randrange(ceiling_ms // 2, ceiling_ms)
            )

    async def _follow_peers(self) -> None:
        """Wait until a peer has seen a newer change, and take it over."""
        self._followed_since_ms = None
        with anyio.move_on_after(READER_CHECK_INTERVAL_MS / 1_000):
            await self._news.wait()
        if not self._news.is_set():
            return
        # The reader of the own domain tells of the same change meanwhile.
        await self._clock.sleep_ms(BATCH_DELAY_MS)
        self._news = anyio.Event()
        is_behind = self._news_version > (self.cache.version or 0)
        if is_behind and not await self._learn_from_peer():
            self._called_ms = None

    async def _step(self) -> bool:
        started_ms = self._clock.now_ms
        wait_ms = self._wait_ms()
        if self.cache.version is None:
            result: object = await self._store.list_rows(self._table)
        else:
            result = await self._store.follow(
                self._table, self.cache.version, wait_ms
            )
        if isinstance(result, stores.HistoryGone):
            log.event(
                _LOG,
                'history gone',
                table=self._table,
                version=self.cache.version,
            )
            self.cache.version = None
            return True
        if isinstance(result, interface.Unavailable):
            # A call that was answered late shows that nothing was answered
            # while it lasted; one that broke off shows nothing of the kind.
            is_late = self._clock.now_ms - started_ms >= wait_ms
            self._note_lost(
                result.detail, started_ms if is_late else self._clock.now_ms
            )
            return False
        assert isinstance(result, stores.RowBatch)
        self._note_answer(result.version)
        if self.cache.version is None:
            self._replace(result.rows, result.version)
        else:
            self._change(result.rows, result.version)
            if result.rows:
                with anyio.CancelScope(shield=True):
                    await self._clock.sleep_ms(BATCH_DELAY_MS)
        return True

    async def _learn_from_peer(self) -> bool:
        """Take over what a peer has read, if that is newer."""
        known = self.cache
        found = await self._fetch_from_peer(
            self._table, known.last_change_version, known.version or 0
        )
        if found is None or found.version <= (known.version or 0):
            return False
        log.event(
            _LOG,
            'rows of a peer taken over',
            table=self._table,
            version=found.version,
            previous=known.version,
            rows=len(found.rows),
            whole=found.is_whole,
        )
        # The peer has followed the store and knows whether rows may be back.
        self._on_peer_grace(found.grace_left_ms)
        if found.is_whole:
            self._replace(found.rows, found.version)
        else:
            self._change(found.rows, found.version)
        return True

    def _replace(self, rows: Rows, version: int) -> None:
        self.cache.replace(rows, version)
        self._on_snapshot(rows)

    def _change(self, rows: Rows, version: int) -> None:
        self.cache.apply_changes(rows, version)
        if rows:
            self._on_changes(rows)

    def _wait_ms(self) -> int:
        if not self.is_connected or not self._is_reader():
            return PROBE_WAIT_MS
        wait_ms = FLEET_POLL_INTERVAL_MS * self._count_readers()
        wait_ms = min(MAX_POLL_WAIT_MS, max(MIN_POLL_WAIT_MS, wait_ms))
        # Hosts that start together must not call together for good.
        return self._rng.randrange(wait_ms * 3 // 4, wait_ms)

    def _note_answer(self, version: int) -> None:
        now_ms = self._clock.now_ms
        if not self.is_connected:
            is_first = self.last_response_ms is None
            outage_ms = 0 if is_first else now_ms - self._lost_ms
            log.event(
                _LOG,
                'store reached',
                table=self._table,
                version=version,
                outage_ms=outage_ms,
            )
            if not is_first:
                self._on_recovered(outage_ms)
        self.is_connected = True
        self.last_response_ms = now_ms
        if self._followed_since_ms is None:
            self._followed_since_ms = now_ms
        self._failures = 0

    def _note_lost(self, reason: str, since_ms: int) -> None:
        if self.is_connected:
            self._lost_ms = since_ms
            log.event(
                _LOG,
                'store lost',
                table=self._table,
                version=self.cache.version,
                reason=reason,
            )
        self.is_connected = False
        self._followed_since_ms = None
