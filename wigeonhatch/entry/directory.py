"""HTTP interface for readiness, host lookups, metrics and rows for peers."""

from __future__ import annotations

import collections.abc
import typing

from wigeonhatch.peers import row_share
from wigeonhatch.platform import messages
from wigeonhatch.platform import names
from wigeonhatch.requests import _asgi
from wigeonhatch.requests import _fields

METRICS_PATH = '/metrics'
_MAX_ADDRESSES = 64
"""Maximum addresses per lookup; callers ignore further ones."""
_JSON = (b'content-type', b'application/json')
_BINARY = (b'content-type', b'application/msgpack')
_TEXT = (b'content-type', b'text/plain; version=0.0.4')


class DirectoryApplication:
    """Serve readiness, host lookups, metrics and rows for peers.

    Args:
        is_serving: Returns whether lookups may return this host.
        find_addresses: Returns host addresses for a region and a caller.
        ttl_ms: TTL of a lookup result in ms.
        render_metrics: Renders the metrics.
        read_rows: Returns the store rows that this host sends to peers.
    """

    def __init__(
        self,
        is_serving: collections.abc.Callable[[], bool],
        find_addresses: collections.abc.Callable[[str, str], list[str]],
        ttl_ms: int,
        render_metrics: collections.abc.Callable[[], bytes],
        read_rows: row_share.ReadRows,
    ) -> None:
        self._is_serving = is_serving
        self._find_addresses = find_addresses
        self._ttl_ms = ttl_ms
        self._render_metrics = render_metrics
        self._read_rows = read_rows

    async def __call__(
        self,
        scope: _asgi.Scope,
        receive: typing.Any,
        send: _asgi.Send,
    ) -> None:
        """Answer one request.

        Args:
            scope: ASGI scope.
            receive: Not used, since the requests have no bodies.
            send: Sends the response.
        """
        if scope['type'] != 'http':
            return
        status, content_type, body = self._respond(scope)
        await _asgi.send_response(
            send,
            status,
            [content_type, (b'content-length', b'%d' % len(body))],
            body,
        )

    def _respond(
        self, scope: _asgi.Scope
    ) -> tuple[int, tuple[bytes, bytes], bytes]:
        path = scope['path']
        if path == names.READINESS_PATH:
            return (200 if self._is_serving() else 503), _TEXT, b''
        if path == METRICS_PATH:
            return 200, _TEXT, self._render_metrics()
        query = _fields.parse_query(scope['query_string'])
        if path == row_share.ROWS_PATH:
            rows = row_share.encode_rows(query, self._read_rows)
            return (503, _TEXT, b'') if rows is None else (200, _BINARY, rows)
        if path != names.DIRECTORY_PATH:
            return 404, _TEXT, b''
        addresses = self._find_addresses(
            query.get('region', ''), _identify_caller(scope, query)
        )[:_MAX_ADDRESSES]
        if not addresses:
            return 503, _TEXT, b''
        return 200, _JSON, messages.encode_directory(addresses, self._ttl_ms)


def _identify_caller(scope: _asgi.Scope, query: dict[str, str]) -> str:
    """Return an identity that is stable across the lookups of a caller."""
    client = scope.get('client')
    return f'{query.get("zone", "")} {client[0] if client else ""}'
