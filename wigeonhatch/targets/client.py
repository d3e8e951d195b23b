"""HTTP client for targets."""

from __future__ import annotations

import asyncio
import collections.abc
import typing

import httpcore

from wigeonhatch import clock as clocks
from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.targets import _errors
from wigeonhatch.targets import _pool
from wigeonhatch.targets import _stream
from wigeonhatch.targets import request
from wigeonhatch.targets import response as responses

if typing.TYPE_CHECKING:
    # Hosts on a platform do not use this configuration.
    from wigeonhatch.config import model

CONNECT_TIMEOUT_MS = 1_000
# uvloop rounds timers to ms, so that one may fire slightly early.
_TIMER_TOLERANCE_S = 0.005
# Times in ms are truncated, and timers rounded; without this, a request could
# end before its timeout, while its target is still at work.
_ROUNDING_S = 0.002


class TargetClient:
    """Send requests to targets over pooled connections.

    Args:
        clock: Source of monotonic time.
        accepts_close_delimited: Whether the end of the connection may delimit
            a response without a declared length.
        connect_timeout_ms: Longest wait for a new connection in ms.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        accepts_close_delimited: bool = False,
        connect_timeout_ms: int = CONNECT_TIMEOUT_MS,
    ) -> None:
        self._clock = clock
        self._accepts_close_delimited = accepts_close_delimited
        self._connect_timeout_ms = connect_timeout_ms
        self._pool_by_target: dict[str, _pool.Pool] = {}
        self._closing_tasks: set[asyncio.Task[None]] = set()

    def configure(self, versioned: model.VersionedConfig) -> None:
        """Apply addresses and connection limits of a configuration.

        Args:
            versioned: Configuration in force.
        """
        config = versioned.config
        self.set_targets(
            {
                name: (
                    target.address,
                    config.service_by_name[target.service].connections,
                )
                for name, target in config.target_by_name.items()
            }
        )

    def set_targets(
        self, address_and_limit_by_name: dict[str, tuple[str, int]]
    ) -> None:
        """Replace the targets; requests in progress continue.

        Args:
            address_and_limit_by_name: `IP:PORT` and the largest number of
                connections of each target.
        """
        pool_by_target: dict[str, _pool.Pool] = {}
        for name, (address, limit) in address_and_limit_by_name.items():
            pool = self._pool_by_target.get(name)
            if pool is None or pool.address != address:
                pool = _pool.Pool(address, limit)
            pool.max_connections = limit
            pool_by_target[name] = pool
        for name, pool in self._pool_by_target.items():
            if pool_by_target.get(name) is not pool:
                self._retire(pool)
        self._pool_by_target = pool_by_target

    def close_idle(self, target: str) -> None:
        """Close the idle connections to a target that may not respond.

        Args:
            target: Name of the target.
        """
        pool = self._pool_by_target.get(target)
        while pool is not None and pool.idle:
            self._schedule_close(pool.idle.pop())

    def connection_count(self, target: str) -> int:
        """Count the open connections to a target.

        Args:
            target: Name of the target.
        """
        pool = self._pool_by_target.get(target)
        return 0 if pool is None else pool.open_count

    async def refuses_connections(self, target: str) -> bool:
        """Open a connection to a target and close it.

        Args:
            target: Name of the target.

        Returns:
            Whether the target's machine answered that nothing listens there;
            False also if there was no answer.
        """
        return isinstance(await self._probe(target), ConnectionRefusedError)

    async def accepts_connections(self, target: str) -> bool:
        """Open a connection to a target and close it.

        Args:
            target: Name of the target.

        Returns:
            Whether the connection was established in time.
        """
        return await self._probe(target) is None

    async def _probe(self, target: str) -> OSError | None:
        """Open a connection and close it; return what went wrong."""
        pool = self._pool_by_target.get(target)
        if pool is None:
            return OSError(f'target {target} is not configured')
        try:
            async with asyncio.timeout(self._connect_timeout_ms / 1_000):
                transport, _ = await _stream.open_connection(
                    asyncio.Protocol,
                    pool.origin.host.decode(),
                    pool.origin.port,
                )
        except OSError as error:
            return error
        transport.abort()
        return None

    def close(self) -> None:
        """Close idle connections now, and the others after their requests."""
        for pool in self._pool_by_target.values():
            self._retire(pool)
        self._pool_by_target = {}

    async def send(
        self,
        target: str,
        head: request.RequestHead,
        body: bytes | collections.abc.AsyncIterator[bytes],
        deadline_ms: int,
    ) -> outcome.Success[responses.TargetResponse] | outcome.Failure:
        """Send a request and read the head of its response.

        Args:
            target: Name of the target.
            head: Head of the request.
            body: The body, complete or in chunks.
            deadline_ms: Deadline on the monotonic clock in ms.

        Returns:
            The response, which must be read to its end or closed; or else a
            failure, which is "not run" only if no byte was sent.
        """
        pool = self._pool_by_target.get(target)
        if pool is None:
            return outcome.Failure(
                codes.ResultCode.TARGET_CONNECT_FAILED,
                f'target {target} is not configured',
            )
        remaining_ms = deadline_ms - self._clock.now_ms
        if remaining_ms <= 0:
            return outcome.Failure(codes.ResultCode.DEADLINE_EXCEEDED)
        connection = await self._acquire(pool)
        if connection is None:
            return outcome.Failure(
                codes.ResultCode.NO_CAPACITY,
                f'target {target} has {pool.max_connections} connections',
            )
        loop_time = asyncio.get_running_loop().time
        deadline_s = loop_time() + remaining_ms / 1_000 + _ROUNDING_S
        connection.prepare(deadline_s, head.body_length != 0)

        def is_expired() -> bool:
            return loop_time() >= deadline_s - _TIMER_TOLERANCE_S

        def on_end(is_reusable: bool) -> None:
            self._release(connection, is_reusable)

        # Only the deadline limits the wait for the head.
        timeouts: dict[str, float | None] = {
            'connect': min(self._connect_timeout_ms, remaining_ms) / 1_000,
            'write': responses.STALL_TIMEOUT_MS / 1_000,
            'read': None,
        }
        try:
            response = await connection.http.handle_async_request(
                _build_request(pool, head, body, timeouts)
            )
        except Exception as error:
            sent_bytes = connection.sent_bytes
            await connection.close()
            return _errors.convert_error(error, sent_bytes, is_expired())
        except BaseException:
            await connection.close()
            raise
        connection.update_idle_timeout(response.headers)
        timeouts['read'] = responses.STALL_TIMEOUT_MS / 1_000
        return await responses.accept_response(
            head,
            response,
            on_end,
            is_expired,
            connection.confirm_end if self._accepts_close_delimited else None,
        )

    async def _acquire(self, pool: _pool.Pool) -> _pool.Connection | None:
        while pool.idle:
            connection = pool.idle.pop()
            idle_ms = self._clock.now_ms - connection.idle_since_ms
            if idle_ms < connection.idle_timeout_ms and connection.is_reusable:
                return connection
            await connection.close()
        if pool.open_count >= pool.max_connections:
            return None
        return _pool.Connection(pool)

    def _release(
        self, connection: _pool.Connection, is_reusable: bool
    ) -> None:
        pool = connection.pool
        now_ms = self._clock.now_ms
        if is_reusable and connection.is_reusable and not pool.is_retired:
            connection.set_idle(now_ms)
            pool.idle.append(connection)
        else:
            self._schedule_close(connection)
        oldest = pool.idle[0] if pool.idle else None
        if (
            oldest is not None
            and now_ms - oldest.idle_since_ms >= oldest.idle_timeout_ms
        ):
            self._schedule_close(pool.idle.popleft())

    def _retire(self, pool: _pool.Pool) -> None:
        pool.is_retired = True
        while pool.idle:
            self._schedule_close(pool.idle.pop())

    def _schedule_close(self, connection: _pool.Connection) -> None:
        task = asyncio.get_running_loop().create_task(connection.close())
        self._closing_tasks.add(task)
        task.add_done_callback(self._closing_tasks.discard)


def _build_request(
    pool: _pool.Pool,
    head: request.RequestHead,
    body: bytes | collections.abc.AsyncIterator[bytes],
    timeouts: dict[str, float | None],
) -> httpcore.Request:
    host = (b'Host', head.host_name) if head.host_name else pool.host_header
    headers = [host, *head.headers]
    if head.body_length < 0:
        headers.append((b'Transfer-Encoding', b'chunked'))
    elif head.body_length > 0 or head.method not in ('GET', 'HEAD'):
        headers.append((b'Content-Length', b'%d' % head.body_length))
    return httpcore.Request(
        method=head.method.encode(),
        url=httpcore.URL(
            scheme=b'http',
            host=pool.origin.host,
            port=pool.origin.port,
            target=head.path,
        ),
        headers=headers,
        content=body or None,
        extensions={'timeout': timeouts},
    )
