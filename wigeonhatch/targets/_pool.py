"""Kept connections to targets."""

from __future__ import annotations

import collections
import collections.abc
import re
import typing

import httpcore

from wigeonhatch import settings
from wigeonhatch.targets import _stream

# Below the 5 s after which common servers close idle connections, so that a
# request rarely meets a connection that is being closed.
IDLE_TIMEOUT_MS = 4_000
# Part of the idle time that a target states, for its clock and the way.
_IDLE_PERCENT = 75
_KEEP_ALIVE_TIMEOUT = re.compile(rb'timeout\s*=\s*(\d{1,4})', re.ASCII)


class Pool:
    """Connections to one target.

    Connections are reused last in, first out, so that no more are held open
    than slots are in use.
    """

    def __init__(self, address: str, limit: int) -> None:
        host, port = settings.parse_address(address)
        self.address = address
        self.limit = limit
        self.origin = httpcore.Origin(b'http', host.encode(), port)
        self.host_header = (b'Host', address.encode())
        self.idle: collections.deque[Connection] = collections.deque()
        self.open_count = 0
        self.is_retired = False


class Connection:
    """One connection object of httpcore, in use by at most one request."""

    __slots__ = (
        '_backend',
        'http',
        'idle_timeout_ms',
        'idle_since_ms',
        'pool',
    )

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self.idle_since_ms = 0
        self.idle_timeout_ms = IDLE_TIMEOUT_MS
        self._backend = _stream.StreamBackend()
        self.http = httpcore.AsyncHTTPConnection(
            origin=pool.origin, network_backend=self._backend
        )
        pool.open_count += 1

    @property
    def sent_bytes(self) -> int:
        """Bytes of the current request that may have reached the target."""
        stream = self._backend.stream
        return 0 if stream is None else stream.sent_bytes

    def prepare(self, deadline_s: float) -> None:
        """Set the deadline of the next request."""
        self._backend.deadline_s = deadline_s
        stream = self._backend.stream
        if stream is not None:
            stream.deadline_s = deadline_s
            stream.sent_bytes = 0

    @property
    def is_reusable(self) -> bool:
        """Whether the next request may use the connection."""
        if not self.http.is_idle() or self.http.has_expired():
            return False
        # httpcore keeps bytes that follow a response in its parser, where
        # they would become the response to the next request. It has no
        # public access to them; the version is pinned.
        inner: typing.Any = self.http._connection
        return bool(inner._h11_state.trailing_data == (b'', False))

    def update_idle_timeout(
        self, headers: collections.abc.Iterable[tuple[bytes, bytes]]
    ) -> None:
        """Take over how long the target keeps the connection open.

        Args:
            headers: Header fields of a response.
        """
        for name, value in headers:
            if name.lower() == b'keep-alive':
                match = _KEEP_ALIVE_TIMEOUT.search(value)
                if match is not None:
                    self.idle_timeout_ms = int(match[1]) * 10 * _IDLE_PERCENT

    async def close(self) -> None:
        """Close the connection for good."""
        self.pool.open_count -= 1
        await self.http.aclose()
