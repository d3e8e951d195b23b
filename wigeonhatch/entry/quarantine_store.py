"""Quarantines in the platform's store, for hosts that hear few peers."""

from __future__ import annotations

import collections.abc
import logging

import msgspec

from wigeonhatch import clock as clocks
from wigeonhatch import decoding
from wigeonhatch import log
from wigeonhatch.platform import interface
from wigeonhatch.platform import names
from wigeonhatch.platform import store as stores
from wigeonhatch.requests import quarantine as quarantines
from wigeonhatch.steering import rendezvous

INTERVAL_MS = 1_000
"""Interval of the checks for changes to write and to read."""
PURGE_INTERVAL_MS = 60_000
"""Interval at which rows of hosts that have gone are looked for."""
MAX_ROWS = 16
"""Rows that one host keeps in the store."""
_READER_SUBJECT = 'quarantine'
_LOG = logging.getLogger(__name__)


class QuarantineStore:
    """Exchange quarantines among groups of hosts that cannot hear each other.

    One host of each group writes what the group refuses. Only groups without
    the majority of the hosts read, each by one of its hosts, which tells the
    others.

    Args:
        host: Name of this host.
        store: Client of the platform's store.
        quarantine: Requests that crash targets.
        find_hosts: Returns the hosts that may receive a repeat.
        clock: Clock of the host.
    """

    def __init__(
        self,
        host: str,
        store: stores.StoreClient,
        quarantine: quarantines.QuarantineTable,
        find_hosts: collections.abc.Callable[[], quarantines.HostView],
        clock: clocks.Clock,
    ) -> None:
        self._host = host
        self._store = store
        self._quarantine = quarantine
        self._find_hosts = find_hosts
        self._clock = clock
        self._written: set[int] = set()
        self._purged_ms = clock.now_ms

    async def run(self) -> None:
        """Write and read until cancelled."""
        while True:
            await self._clock.sleep_ms(INTERVAL_MS)
            await self.run_once()

    async def run_once(self) -> None:
        """Write what has changed, and read if most hosts are silent."""
        hosts = self._find_hosts()
        await self._write(hosts.live)
        if rendezvous.rank(hosts.live, _READER_SUBJECT)[0] != self._host:
            return
        if 2 * len(hosts.live) <= len(hosts.known):
            await self._read()
        elif self._clock.now_ms - self._purged_ms >= PURGE_INTERVAL_MS:
            self._purged_ms = self._clock.now_ms
            await self._purge()

    async def _write(self, live: frozenset[str]) -> None:
        """Write what this host refuses for its group; remove the rest."""
        refused = {
            item.fingerprint: item
            for item in self._quarantine.refused()[:MAX_ROWS]
            if rendezvous.rank(live, str(item.fingerprint))[0] == self._host
        }
        for fingerprint in self._written - refused.keys():
            if _is_done(
                await self._store.remove_row(
                    names.QUARANTINE_TABLE, self._key(fingerprint)
                )
            ):
                self._written.discard(fingerprint)
        for fingerprint in refused.keys() - self._written:
            row = msgspec.msgpack.encode(refused[fingerprint])
            if _is_done(
                await self._store.put_row(
                    names.QUARANTINE_TABLE, self._key(fingerprint), row
                )
            ):
                self._written.add(fingerprint)

    async def _read(self) -> None:
        batch = await self._store.list_rows(names.QUARANTINE_TABLE)
        if isinstance(batch, interface.Unavailable):
            return
        for row in batch.rows:
            try:
                statement = decoding.decode_msgpack(
                    row.value, quarantines.CrashStatement
                )
            except decoding.DecodeError as error:
                log.event(
                    _LOG, 'quarantine row unusable', key=row.key, reason=error
                )
                continue
            self._quarantine.on_report((statement,))

    async def _purge(self) -> None:
        """Remove the rows of requests that are no longer refused."""
        batch = await self._store.list_rows(names.QUARANTINE_TABLE)
        if isinstance(batch, interface.Unavailable):
            return
        refused = {
            _format(item.fingerprint) for item in self._quarantine.refused()
        }
        for row in batch.rows:
            if row.key.partition('/')[0] not in refused:
                await self._store.remove_row(names.QUARANTINE_TABLE, row.key)

    def _key(self, fingerprint: int) -> str:
        return f'{_format(fingerprint)}/{self._host}'


def _format(fingerprint: int) -> str:
    return f'{fingerprint:016x}'


def _is_done(
    result: int | interface.Unavailable | interface.Unknown,
) -> bool:
    return isinstance(result, int)
