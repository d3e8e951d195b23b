"""Transfer of rows of the platform's store between hosts.

Most hosts do not follow the store themselves. They, and hosts whose calls the
store refuses, fetch from a peer the rows that it has read.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import logging
import urllib.parse

import msgspec

from wigeonhatch import decoding
from wigeonhatch import log
from wigeonhatch.peers import peer_call
from wigeonhatch.platform import store as stores

ROWS_PATH = '/rows'
_MAX_VERSION_DIGITS = 18
_LOG = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class SharedRows:
    """Snapshot or delta of a table that a host sends to a peer.

    Args:
        rows: All rows, or the changed and deleted ones, in order of change.
        version: Store version that the receiver holds after applying them.
        is_whole: Whether these are all rows of the table (a snapshot).
        grace_left_ms: Rest of the grace period in ms, in which rows that
            expired during an outage of the store may return.
    """

    rows: tuple[stores.StoredRow, ...]
    version: int
    is_whole: bool
    grace_left_ms: int


class SentRows(msgspec.Struct, frozen=True, array_like=True):
    """Rows that a host sends to a peer that has not requested them.

    Args:
        after: Store version that the peer has announced; it may hold less if
            it has started again since.
        shared: What changed after it.
    """

    after: int
    shared: SharedRows


ReadRows = collections.abc.Callable[[str, int], SharedRows | None]
"""Returns the rows of a table that changed after a store version; None if the
host has not read the table."""


def encode_rows(query: dict[str, str], read_rows: ReadRows) -> bytes | None:
    """Encode the rows that a peer requests.

    Args:
        query: Query parameters: the table and the version that the peer has.
        read_rows: Returns the rows that this host has read.

    Returns:
        Encoded rows; None if this host has not read the table.
    """
    after = query.get('after', '')
    is_version = after.isdecimal() and len(after) <= _MAX_VERSION_DIGITS
    rows = read_rows(query.get('table', ''), int(after) if is_version else 0)
    return None if rows is None else msgspec.msgpack.encode(rows)


async def fetch(
    ip: str, port: int, table: str, after: int
) -> SharedRows | None:
    """Fetch the changed rows of a table from a peer.

    Args:
        ip: Address of the peer.
        port: Port on which it serves rows.
        table: Name of the table.
        after: Store version of the table that this host holds; 0 for none.

    Returns:
        The rows; None if the peer did not return them.
    """
    query = urllib.parse.urlencode({'table': table, 'after': after})
    try:
        content = await peer_call.get(ip, port, f'{ROWS_PATH}?{query}')
        return decoding.decode_msgpack(content, SharedRows)
    except (peer_call.PeerCallError, decoding.DecodeError) as error:
        log.event(
            _LOG, 'row fetch failed', peer=ip, table=table, reason=str(error)
        )
    return None
