"""Rows of the platform's store that hosts give each other.

Most hosts do not follow the store themselves; they and those that the store
refuses learn from a peer what the peer has read.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import logging
import urllib.parse

import httpcore
import msgspec

from wigeonhatch import log
from wigeonhatch.platform import store as stores

ROWS_PATH = '/rows'
FETCH_TIMEOUT_MS = 700
"""Bound of each phase of a call to a peer; a round trip takes up to 90 ms."""
_LOG = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class SharedRows:
    """What one host tells another of a table.

    Args:
        rows: All rows, or those that changed or were deleted, in order.
        version: Change of the store up to which the table is known then.
        is_whole: Whether these are all rows of the table.
        grace_left_ms: Time for which rows that lapsed during an outage of
            the store may come back in ms.
    """

    rows: tuple[stores.StoredRow, ...]
    version: int
    is_whole: bool
    grace_left_ms: int


_DECODER = msgspec.msgpack.Decoder(SharedRows)

ReadRows = collections.abc.Callable[[str, int], SharedRows | None]
"""Rows of a table that changed after a change of the store; None if the table
is not known."""


def encode_rows(query: dict[str, str], read_rows: ReadRows) -> bytes | None:
    """Encode the rows that a peer asks for.

    Args:
        query: Query of the peer: the table and what it knows of it.
        read_rows: Rows that this host has read.

    Returns:
        Encoded rows; None if this host has not read the table.
    """
    after = query.get('after', '')
    rows = read_rows(
        query.get('table', ''), int(after) if after.isdecimal() else 0
    )
    return None if rows is None else msgspec.msgpack.encode(rows)


async def fetch(
    ip: str, port: int, table: str, after: int
) -> SharedRows | None:
    """Read the changed rows of a table from a peer.

    Args:
        ip: Address of the peer.
        port: Port on which it gives rows.
        table: Name of the table.
        after: Change of the store up to which this host knows the table; 0
            for nothing.

    Returns:
        The rows; None if the peer did not give them.
    """
    query = urllib.parse.urlencode({'table': table, 'after': after})
    timeout_s = FETCH_TIMEOUT_MS / 1_000
    timeouts = dict.fromkeys(('connect', 'read', 'write', 'pool'), timeout_s)
    try:
        async with httpcore.AsyncConnectionPool() as pool:
            response = await pool.request(
                'GET',
                f'http://{ip}:{port}{ROWS_PATH}?{query}',
                extensions={'timeout': timeouts},
            )
        if response.status == 200:
            return _DECODER.decode(response.content)
        reason = f'HTTP status {response.status}'
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
        msgspec.DecodeError,
    ) as error:
        reason = type(error).__name__
    log.event(_LOG, 'peer gave no rows', peer=ip, table=table, reason=reason)
    return None
