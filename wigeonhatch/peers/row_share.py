"""Rows of the platform's store that hosts give each other.

A host that the store refuses or does not reach learns from a peer what the
peer has read.
"""

from __future__ import annotations

import collections.abc
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
_DECODER = msgspec.msgpack.Decoder(stores.Snapshot)

ReadRows = collections.abc.Callable[[str], stores.Snapshot | None]
"""Rows of a table and the change up to which they hold; None if unknown."""


def answer(query: dict[str, str], read_rows: ReadRows) -> bytes | None:
    """Encode the rows that a peer asks for.

    Args:
        query: Query of the peer, with the name of the table.
        read_rows: Rows that this host has read.

    Returns:
        Encoded rows; None if this host has not read the table.
    """
    snapshot = read_rows(query.get('table', ''))
    return None if snapshot is None else msgspec.msgpack.encode(snapshot)


async def fetch(ip: str, port: int, table: str) -> stores.Snapshot | None:
    """Read the rows of a table from a peer.

    Args:
        ip: Address of the peer.
        port: Port on which it gives rows.
        table: Name of the table.

    Returns:
        The rows; None if the peer did not give them.
    """
    query = urllib.parse.urlencode({'table': table})
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
