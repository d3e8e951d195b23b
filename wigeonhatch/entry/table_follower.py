"""Follow the changes of a store table, directly or through peers."""

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
from wigeonhatch.platform import store_version

FLEET_POLL_INTERVAL_MS = 400
"""Interval at which a long poll of some reader ends. The first host that
receives a change announces it to its peers, which then fetch it at once."""
MIN_POLL_WAIT_MS = 2_000
"""Minimum wait of a long poll, used while there are few readers."""
MAX_POLL_WAIT_MS = 10_000
"""Maximum wait of a long poll; one that the store never answers is detected
after it."""
PROBE_WAIT_MS = 100
"""Wait of a poll during an outage, so that its end is detected soon, and of a
poll that only probes the store."""
BATCH_DELAY_MS = 200
"""Delay after a change that batches later ones into one call; a change has to
be in force within 2.5 s."""
MIN_REFRESH_MS = 1_000
"""Minimum interval of calls triggered by peers, so that a host that the store
refuses does not flood it."""
READER_CHECK_INTERVAL_MS = 250
"""Interval at which a host checks whether it has become a reader."""
PROBE_INTERVAL_MS = 30_000
"""Interval at which a host that is no reader probes the store, so that it
knows whether it could become one."""
MAX_OUTAGE_GAP_MS = 2_400
"""Longest pause between two calls of one outage: a backoff and a fetch from a
peer that times out. A host that is no reader pauses for longer. Below the
shortest outage that starts a grace period, so that no pause alone does."""
INITIAL_BACKOFF_MS = 100
"""Backoff after the first failed call; longer than a usual response time."""
MAX_BACKOFF_MS = 800
"""Maximum backoff; a change must be in force 2.5 s after an outage ends."""
_LOG = logging.getLogger(__name__)

Rows = collections.abc.Sequence[stores.StoredRow]
OnRows = collections.abc.Callable[[Rows], None]
FetchFromPeer = collections.abc.Callable[
    [str, int, int], collections.abc.Awaitable[row_share.SharedRows | None]
]


class TableFollower:
    """Keep a local copy of one table up to date.

    Args:
        store: Client of the store.
        table: Name of the table.
        on_snapshot: Called with all rows of the table.
        on_changes: Called with changed and deleted rows, in order.
        on_recovered: Called after an outage, before the rows are delivered,
            with the length of the outage in ms.
        on_restored: Called before the first rows of a store that was restored
            from a copy are delivered.
        on_peer_grace: Called before rows of a peer are delivered, with the
            rest of the peer's grace period for missing rows in ms.
        is_reader: Returns whether this host follows the store itself.
        count_readers: Returns the number of hosts that do.
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
        on_restored: collections.abc.Callable[[], None],
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
        self._on_restored = on_restored
        self._on_peer_grace = on_peer_grace
        self._is_reader = is_reader
        self._count_readers = count_readers
        self._fetch_from_peer = fetch_from_peer
        self._clock = clock
        self._rng = rng
        self._failures = 0
        self._down_since_ms: int | None = None
        self._refreshed_ms = clock.now_ms
        self._last_call_ms: int | None = None
        self._has_failed_peers = False
        self._followed_since_ms: int | None = None
        self._call: anyio.CancelScope | None = None
        self._peer_change = anyio.Event()
        self._peer_version = 0
        self._era: int | None = None

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            if self._is_call_due():
                await self._call_store()
            else:
                await self._follow_peers()

    def forget(self) -> None:
        """Read all rows again, as some may not have been applied."""
        self.cache.version = None

    @property
    def followed_ms(self) -> int:
        """Time in ms for which this host has followed the store itself."""
        since_ms = self._followed_since_ms
        return 0 if since_ms is None else self._clock.now_ms - since_ms

    def on_rows_of_peer(self, sent: row_share.SentRows) -> None:
        """Apply rows that a peer has sent, if they are newer and complete.

        Args:
            sent: Rows that this host lacked by what it had announced.
        """
        version = self.cache.version
        if version is None or sent.shared.version <= version:
            return
        if sent.shared.is_whole or sent.after <= version:
            self._take_over(sent.shared)

    def on_peer_version(self, change_version: int) -> None:
        """Fetch changes at once if a peer has newer ones.

        Args:
            change_version: Store version of a peer's newest change.
        """
        if self.cache.version is None or change_version <= self.cache.version:
            return
        self._peer_version = change_version
        self._peer_change.set()
        now_ms = self._clock.now_ms
        if self._call is None or now_ms - self._refreshed_ms < MIN_REFRESH_MS:
            return
        self._refreshed_ms = now_ms
        log.event(
            _LOG,
            'table behind a peer',
            table=self._table,
            version=self.cache.version,
            peer_version=change_version,
        )
        self._call.cancel()

    def _is_call_due(self) -> bool:
        return (
            self._last_call_ms is None
            or self._has_failed_peers
            or self.cache.version is None
            or self._clock.now_ms - self._last_call_ms >= PROBE_INTERVAL_MS
            or self._is_reader()
        )

    async def _call_store(self) -> None:
        has_response = False
        with anyio.CancelScope() as self._call:
            has_response = await self._poll()
        self._call = None
        self._last_call_ms = self._clock.now_ms
        self._has_failed_peers = False
        if not has_response and not await self._update_from_peer():
            ceiling_ms = min(
                MAX_BACKOFF_MS, INITIAL_BACKOFF_MS << min(self._failures, 8)
            )
            self._failures += 1
            await self._clock.sleep_ms(
                self._rng.randrange(ceiling_ms // 2, ceiling_ms)
            )

    async def _follow_peers(self) -> None:
        """Wait until a peer announces a newer change, then fetch it."""
        self._followed_since_ms = None
        with anyio.move_on_after(READER_CHECK_INTERVAL_MS / 1_000):
            await self._peer_change.wait()
        if not self._peer_change.is_set():
            return
        # Meanwhile the reader of this domain announces the same change.
        await self._clock.sleep_ms(BATCH_DELAY_MS)
        self._peer_change = anyio.Event()
        is_behind = self._peer_version > (self.cache.version or 0)
        if is_behind and not await self._update_from_peer():
            self._has_failed_peers = True

    async def _poll(self) -> bool:
        started_ms = self._clock.now_ms
        self._end_unobserved_outage(started_ms)
        wait_ms = self._select_wait_ms()
        if self.cache.version is None:
            result: object = await self._store.list_rows(self._table)
        else:
            result = await self._store.follow(
                self._table, self.cache.version, wait_ms
            )
        if isinstance(result, stores.HistoryGone):
            log.event(
                _LOG,
                'change history unavailable',
                table=self._table,
                version=self.cache.version,
            )
            self.cache.version = None
            return True
        if isinstance(result, interface.Unavailable):
            # If the call failed after its full wait, the outage may have begun
            # with the call. An earlier failure shows no earlier outage.
            is_timeout = self._clock.now_ms - started_ms >= wait_ms
            self._on_outage(
                result.detail, started_ms if is_timeout else self._clock.now_ms
            )
            return False
        assert isinstance(result, stores.RowBatch)
        self._on_response(result.version)
        if self.cache.version is None:
            self._apply_snapshot(result.rows, result.version)
        else:
            self._apply_changes(result.rows, result.version)
            if result.rows:
                with anyio.CancelScope(shield=True):
                    await self._clock.sleep_ms(BATCH_DELAY_MS)
        return True

    def _end_unobserved_outage(self, now_ms: int) -> None:
        """Forget an outage whose end this host has not observed.

        Meanwhile it took over the rows and the grace period of its peers.
        """
        last_ms = self._last_call_ms
        if last_ms is not None and now_ms - last_ms > MAX_OUTAGE_GAP_MS:
            self._down_since_ms = None

    async def _update_from_peer(self) -> bool:
        """Apply the rows that a peer has read if they are newer."""
        cache = self.cache
        update = await self._fetch_from_peer(
            self._table, cache.change_version, cache.version or 0
        )
        if update is None or update.version <= (cache.version or 0):
            return False
        self._take_over(update)
        return True

    def _take_over(self, update: row_share.SharedRows) -> None:
        log.event(
            _LOG,
            'rows of a peer taken over',
            table=self._table,
            version=update.version,
            previous=self.cache.version,
            rows=len(update.rows),
            whole=update.is_whole,
        )
        # The peer knows whether expired rows may still return.
        self._on_peer_grace(update.grace_left_ms)
        if update.is_whole:
            self._apply_snapshot(update.rows, update.version)
        else:
            self._apply_changes(update.rows, update.version)

    def _apply_snapshot(self, rows: Rows, version: int) -> None:
        era = store_version.era_of(version)
        if self._era is not None and era > self._era:
            self._on_restored()
        self._era = era
        self.cache.replace(rows, version)
        self._on_snapshot(rows)

    def _apply_changes(self, rows: Rows, version: int) -> None:
        # Rows that a peer has sent may precede the response of a call.
        rows = self.cache.apply_changes(rows, version)
        if rows:
            self._on_changes(rows)

    def _select_wait_ms(self) -> int:
        if not self.is_connected or not self._is_reader():
            return PROBE_WAIT_MS
        wait_ms = FLEET_POLL_INTERVAL_MS * self._count_readers()
        wait_ms = min(MAX_POLL_WAIT_MS, max(MIN_POLL_WAIT_MS, wait_ms))
        # Jitter spreads the calls of hosts that start at the same time.
        return self._rng.randrange(wait_ms * 3 // 4, wait_ms)

    def _on_response(self, version: int) -> None:
        now_ms = self._clock.now_ms
        if not self.is_connected:
            since_ms = self._down_since_ms
            is_observed = self.last_response_ms is not None
            outage_ms = 0
            if is_observed and since_ms is not None:
                outage_ms = now_ms - since_ms
            log.event(
                _LOG,
                'store reached',
                table=self._table,
                version=version,
                outage_ms=outage_ms,
            )
            if outage_ms > 0:
                self._on_recovered(outage_ms)
        self.is_connected = True
        self._down_since_ms = None
        self.last_response_ms = now_ms
        if self._followed_since_ms is None:
            self._followed_since_ms = now_ms
        self._failures = 0

    def _on_outage(self, reason: str, since_ms: int) -> None:
        if self._down_since_ms is None:
            self._down_since_ms = since_ms
            log.event(
                _LOG,
                'store lost',
                table=self._table,
                version=self.cache.version,
                reason=reason,
            )
        self.is_connected = False
        self._followed_since_ms = None
