"""Client of the platform's row store, which numbers all of its changes."""

from __future__ import annotations

import base64
import collections.abc
import dataclasses
import logging
import urllib.parse

import httpcore
import msgspec

from wigeonhatch import log
from wigeonhatch import sockets
from wigeonhatch.platform import _reply
from wigeonhatch.platform import interface
from wigeonhatch.platform import store_version

CALL_TIMEOUT_MS = 1_500
"""Timeout of one call; a slow store responds within about 400 ms."""
CONNECT_TIMEOUT_MS = 500
"""Timeout of a connection attempt; the longest round trip is below 100 ms."""
_LONG_POLL_MARGIN_MS = 1_000
"""Time added to the wait of a long poll to get its read timeout."""
_MAX_CONNECTIONS = 5
_PAGE_ROWS = 500
_STATUS_GONE = 410
_LOG = logging.getLogger(__name__)


class _WireRow(msgspec.Struct):
    """Row as the store sends it; `ver` is the change that wrote it."""

    key: str
    part: str = ''
    value: str = ''
    ver: store_version.Number = 0
    deleted: bool = False


class _WireRows(msgspec.Struct):
    """Rows of one response; `ver` is the newest change of the store."""

    rows: list[_WireRow]
    ver: store_version.Number
    has_more: bool = False


class _WireVersion(msgspec.Struct):
    ver: store_version.Number


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRow:
    """One row of a table.

    Args:
        key: Key of the row.
        value: Content; empty for a deleted row.
        version: Number of the change that wrote the row.
        is_deleted: Whether the row was deleted.
    """

    key: str
    value: bytes
    version: int
    is_deleted: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RowBatch:
    """Rows of a table, complete up to a version of the store."""

    rows: tuple[StoredRow, ...]
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryGone:
    """The store has discarded the requested changes."""


class StoreClient:
    """Read and write tables of the platform's store.

    Versions are combined with the era, see `store_version`. `era` is the
    newest one that a response had.

    Args:
        address: `IP:PORT` of the store.
    """

    def __init__(self, address: str) -> None:
        self._base_url = f'http://{address}'
        self.era = 0
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=_MAX_CONNECTIONS,
            keepalive_expiry=10,
            socket_options=sockets.KEEPALIVE_OPTIONS,
        )

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def list_rows(self, table: str) -> RowBatch | interface.Unavailable:
        """Read all rows of a table.

        Args:
            table: Name of the table.

        Returns:
            Rows and the version of the first page; later pages may be newer.
        """
        rows: list[StoredRow] = []
        version: int | None = None
        era = 0
        first_key = ''
        while True:
            query = {'table': table, 'part': '', 'limit': _PAGE_ROWS}
            if first_key:
                query['from'] = first_key
            reply = await self._call('GET', 'rows-get', query)
            page = _reply.decode(reply, _WireRows)
            if isinstance(page, interface.Unavailable):
                return page
            if version is None:
                era = self.era
                version = store_version.combine(era, page.ver)
            if self.era != era:
                return interface.Unavailable('the store was restored')
            rows.extend(_decode_rows(page.rows, era))
            if not page.has_more or not page.rows:
                return RowBatch(tuple(rows), version)
            first_key = page.rows[-1].key + '\0'

    async def follow(
        self, table: str, after: int, wait_ms: int
    ) -> RowBatch | HistoryGone | interface.Unavailable:
        """Wait for changes of a table by a long poll.

        Args:
            table: Name of the table.
            after: Version up to which the caller has the changes.
            wait_ms: Longest time that the store waits for a change in ms.

        Returns:
            Changed rows in order of version; none if the wait timed out.
        """
        query = {
            'table': table,
            'after': store_version.number_of(after),
            'wait_ms': wait_ms,
        }
        reply = await self._call(
            'GET', 'rows-feed', query, wait_ms + _LONG_POLL_MARGIN_MS
        )
        if isinstance(reply, _reply.Reply) and reply.status == _STATUS_GONE:
            return HistoryGone()
        era = self.era
        page = _reply.decode(reply, _WireRows)
        if isinstance(page, interface.Unavailable):
            return page
        if era > store_version.era_of(after):
            return HistoryGone()
        if era < store_version.era_of(after):
            return interface.Unavailable('response of an earlier era')
        return RowBatch(
            tuple(_decode_rows(page.rows, era)),
            store_version.combine(era, page.ver),
        )

    async def put_row(
        self, table: str, key: str, value: bytes
    ) -> int | interface.Unavailable | interface.Unknown:
        """Write one row without a precondition.

        Args:
            table: Name of the table.
            key: Key of the row.
            value: Content.

        Returns:
            Number of the change that wrote the row.
        """
        row = {'table': table, 'part': '', 'key': key}
        encoded = base64.b64encode(value).decode()
        return await self._transact(writes=[row | {'value': encoded}])

    async def remove_row(
        self, table: str, key: str
    ) -> int | interface.Unavailable | interface.Unknown:
        """Delete one row if it exists.

        Args:
            table: Name of the table.
            key: Key of the row.
        """
        row = {'table': table, 'part': '', 'key': key}
        return await self._transact(remove=[row])

    async def _transact(
        self, **operations: list[dict[str, str]]
    ) -> int | interface.Unavailable | interface.Unknown:
        body: dict[str, list[dict[str, str]]] = {
            'precondition': [],
            'writes': [],
            'remove': [],
        }
        body.update(operations)
        reply = await self._call(
            'POST', 'rows-tx', {}, content=msgspec.json.encode(body)
        )
        if isinstance(reply, interface.Unknown):
            return reply
        version = _reply.decode(reply, _WireVersion)
        return (
            version
            if isinstance(version, interface.Unavailable)
            else store_version.combine(self.era, version.ver)
        )

    async def _close_idle(self) -> None:
        """Close idle connections; the same fault may have broken them."""
        for connection in self._pool.connections:
            if connection.is_idle():
                await connection.aclose()

    async def _call(
        self,
        method: str,
        path: str,
        query: collections.abc.Mapping[str, object],
        timeout_ms: int = CALL_TIMEOUT_MS,
        content: bytes | None = None,
    ) -> _reply.Reply | interface.Unavailable | interface.Unknown:
        url = f'{self._base_url}/{path}'
        if query:
            url += '?' + urllib.parse.urlencode(query)
        timeouts = {
            'connect': CONNECT_TIMEOUT_MS / 1_000,
            'read': timeout_ms / 1_000,
            'write': CALL_TIMEOUT_MS / 1_000,
            'pool': CALL_TIMEOUT_MS / 1_000,
        }
        headers = [] if content is None else [_JSON_HEADER]
        try:
            response = await self._pool.request(
                method,
                url,
                headers=headers,
                content=content,
                extensions={'timeout': timeouts},
            )
        except _reply.NOT_SENT as error:
            return interface.Unavailable(type(error).__name__)
        except _reply.MAYBE_SENT as error:
            await self._close_idle()
            return interface.Unknown(type(error).__name__)
        era = _reply.read_era(response.headers)
        if era is not None and era < self.era:
            return interface.Unknown('response of an earlier era')
        if era is not None and era > self.era:
            log.event(_LOG, 'store era changed', era=era, previous=self.era)
            self.era = era
        return _reply.Reply(response.status, response.content)


_JSON_HEADER = (b'Content-Type', b'application/json')


def _decode_rows(
    rows: collections.abc.Iterable[_WireRow], era: int
) -> collections.abc.Iterator[StoredRow]:
    for row in rows:
        try:
            value = base64.b64decode(row.value, validate=True)
        except ValueError:
            # Decoding the empty value reports the row as malformed.
            value = b''
        version = store_version.combine(era, row.ver)
        yield StoredRow(row.key, value, version, row.deleted)
