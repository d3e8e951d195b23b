"""Connection pools of targets."""

from __future__ import annotations

import collections
import collections.abc
import re
import typing

import httpcore

from wigeonhatch import settings
from wigeonhatch.targets import _stream

# Common servers close idle connections after 5 s. A shorter timeout makes it
# rare that a request is sent while the target closes the connection.
IDLE_TIMEOUT_MS = 4_000
# Percentage of the timeout stated by a target that is used; the rest allows
# for its clock and the network delay.
_USED_PERCENT = 75
_KEEP_ALIVE_TIMEOUT = re.compile(rb'timeout\s*=\s*(\d{1,4})', re.ASCII)


class Pool:
    """Pool of connections to one target.

    Connections are reused last in, first out, so that no more stay open than
    slots are in use.
    """

    def __init__(self, address: str, max_connections: int) -> None:
        host, port = settings.parse_address(address)
        self.address = address
        self.max_connections = max_connections
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

    def prepare(self, deadline_s: float, has_body: bool) -> None:
        """Prepare the connection for the next request.

        Args:
            deadline_s: Event loop time in s at which every wait times out.
            has_body: Whether the request has a body.
        """
        self._backend.deadline_s = deadline_s
        self._backend.has_body = has_body
        stream = self._backend.stream
        if stream is not None:
            stream.start_request(deadline_s, has_body)

    async def confirm_end(self) -> None:
        """Wait until no reset can follow the end of the connection.

        Raises:
            httpcore.ReadError: The target has not received the whole request.
            httpcore.ReadTimeout: The deadline has passed.
        """
        stream = self._backend.stream
        if stream is not None:
            await stream.confirm_end()

    def set_idle(self, now_ms: int) -> None:
        """Record that no request uses the connection.

        Args:
            now_ms: Monotonic time in ms.
        """
        self.idle_since_ms = now_ms
        stream = self._backend.stream
        if stream is not None:
            stream.is_idle = True

    @property
    def is_reusable(self) -> bool:
        """Whether the next request may use the connection."""
        if not self.http.is_idle() or self.http.has_expired():
            return False
        # httpcore keeps bytes that follow a response in its parser, which
        # would read them as the response to the next request. It has no
        # public access to them; therefore its version is pinned.
        http11: typing.Any = self.http._connection
        return bool(http11._h11_state.trailing_data == (b'', False))

    def update_idle_timeout(
        self, headers: collections.abc.Iterable[tuple[bytes, bytes]]
    ) -> None:
        """Apply the keep-alive timeout that the target states.

        Args:
            headers: Header fields of a response.
        """
        for name, value in headers:
            if name.lower() == b'keep-alive':
                match = _KEEP_ALIVE_TIMEOUT.search(value)
                if match is not None:
                    self.idle_timeout_ms = int(match[1]) * 10 * _USED_PERCENT

    async def close(self) -> None:
        """Close the connection and release its place in the pool."""
        self.pool.open_count -= 1
        await self.http.aclose()
