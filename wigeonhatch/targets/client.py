"""HTTP client of the targets."""

from __future__ import annotations

import asyncio
import collections
import collections.abc
import dataclasses
import typing

import httpcore

from wigeonhatch import clock as clocks
from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch import settings
from wigeonhatch.config import model
from wigeonhatch.requests import headers as fields
from wigeonhatch.targets import _stream

CONNECT_TIMEOUT_MS = 1_000
# Longest silence within a response body or while the target reads nothing.
MAX_GAP_MS = 10_000
# Below the 5 s after which common servers close idle connections, so that a
# request rarely meets a connection that is being closed.
IDLE_LIMIT_MS = 4_000
# uvloop rounds timers to ms, so that one may fire just before its time.
_TIMER_TOLERANCE_S = 0.005
_DISCARD_LIMIT_BYTES = 4_096
_BODYLESS_STATUSES = frozenset({204, 304})
_NOT_RUN = codes.Ran.NOT_RUN


@dataclasses.dataclass(frozen=True, slots=True)
class RequestHead:
    """Head of a request to a target.

    Args:
        method: HTTP method.
        path: Path with query, as sent.
        headers: End-to-end header fields, without `Host` and the length.
        body_length: Length of the body in bytes; -1 if not known.
    """

    method: str
    path: bytes
    headers: fields.HeaderTuple
    body_length: int


class BodyInterrupted(Exception):
    """Raised by the iterator of a request body that cannot continue.

    Args:
        failure: Why the body ended.
    """

    def __init__(self, failure: outcome.Failure) -> None:
        super().__init__(failure.detail)
        self.failure = failure


class _Pool:
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
        self.idle: collections.deque[_Connection] = collections.deque()
        self.open_count = 0
        self.is_retired = False


class _Connection:
    """One connection object of httpcore, in use by at most one request."""

    __slots__ = ('_backend', 'http', 'idle_since_ms', 'pool')

    def __init__(self, pool: _Pool) -> None:
        self.pool = pool
        self.idle_since_ms = 0
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

    async def close(self) -> None:
        """Close the connection for good."""
        self.pool.open_count -= 1
        await self.http.aclose()


class TargetResponse:
    """Response of a target whose body is still to be read.

    Args:
        status: HTTP status.
        headers: Header fields for the caller, names in lower case.
        length: Length of the body in bytes; None if it is chunked.
    """

    def __init__(
        self,
        status: int,
        headers: fields.HeaderTuple,
        length: int | None,
        says_not_run: bool,
        stream: typing.Any,
        on_end: collections.abc.Callable[[bool], None],
        is_expired: collections.abc.Callable[[], bool],
    ) -> None:
        self.status = status
        self.headers = headers
        self.length = length
        self.is_complete = False
        self._says_not_run = says_not_run
        self._stream = stream
        self._parts = stream.__aiter__()
        self._count = 0
        self._is_ended = False
        self._on_end = on_end
        self._is_expired = is_expired

    @property
    def is_shed(self) -> bool:
        """Whether the target refused the request without running it."""
        return self._says_not_run and self.status == 503

    async def read(self) -> bytes | None | outcome.Failure:
        """Read the next part of the body.

        Returns:
            A part; None after the last one, when the body is complete and
            has its declared length; a failure if it is not.
        """
        if self._is_ended:
            if self.is_complete:
                return None
            return outcome.Failure(codes.ResultCode.RESPONSE_INCOMPLETE)
        try:
            while True:
                part: bytes | None = await anext(self._parts, None)
                if part is None:
                    return await self._finish()
                if part:
                    break
            self._count += len(part)
            # The end is taken together with the last part, so that the slot
            # does not wait for a caller that reads slowly.
            if self._count == self.length:
                if await anext(self._parts, None) is not None:
                    return self._fail('longer than declared')
                failure = await self._finish()
                if failure is not None:
                    return failure
            return part
        except httpcore.TimeoutException:
            if self._is_expired():
                self._on_end(False)
                self._is_ended = True
                return outcome.Failure(
                    codes.ResultCode.DEADLINE_EXCEEDED_RUNNING
                )
            return self._fail(f'no part for {MAX_GAP_MS} ms')
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            return self._fail(str(error))
        except BaseException:
            self._is_ended = True
            self._on_end(False)
            raise

    async def close(self) -> None:
        """Give up the rest of the body and the connection with it."""
        if not self._is_ended:
            self._is_ended = True
            try:
                await self._parts.aclose()
                await self._stream.aclose()
            finally:
                self._on_end(False)

    async def discard(self) -> None:
        """Read a short rest of the body, or else close the connection."""
        limit = _DISCARD_LIMIT_BYTES
        if self.length is not None and self.length <= limit:
            while isinstance(await self.read(), bytes):
                pass
        await self.close()

    async def _finish(self) -> outcome.Failure | None:
        if self.length is not None and self._count != self.length:
            return self._fail(f'{self._count} of {self.length} bytes')
        await self._stream.aclose()
        self._is_ended = True
        self.is_complete = True
        self._on_end(True)
        return None

    def _fail(self, detail: str) -> outcome.Failure:
        self._is_ended = True
        self._on_end(False)
        return outcome.Failure(codes.ResultCode.RESPONSE_INCOMPLETE, detail)


class TargetClient:
    """Send requests to targets over kept connections.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._pool_by_target: dict[str, _Pool] = {}
        self._closing: set[asyncio.Task[None]] = set()

    def configure(self, versioned: model.VersionedConfig) -> None:
        """Take over addresses and connection limits.

        Args:
            versioned: Configuration in force.
        """
        config = versioned.config
        pool_by_target: dict[str, _Pool] = {}
        for name, target in config.target_by_name.items():
            limit = config.service_by_name[target.service].connections
            pool = self._pool_by_target.get(name)
            if pool is None or pool.address != target.address:
                pool = _Pool(target.address, limit)
            pool.limit = limit
            pool_by_target[name] = pool
        for name, pool in self._pool_by_target.items():
            if pool_by_target.get(name) is not pool:
                self._retire(pool)
        self._pool_by_target = pool_by_target

    def connections(self, target: str) -> int:
        """Count the open connections to a target.

        Args:
            target: Name of the target.
        """
        pool = self._pool_by_target.get(target)
        return 0 if pool is None else pool.open_count

    def close(self) -> None:
        """Close idle connections, and the others after their requests."""
        for pool in self._pool_by_target.values():
            self._retire(pool)
        self._pool_by_target = {}

    async def send(
        self,
        target: str,
        head: RequestHead,
        body: bytes | collections.abc.AsyncIterator[bytes],
        deadline_ms: int,
    ) -> outcome.Success[TargetResponse] | outcome.Failure:
        """Send a request and read the head of its response.

        Args:
            target: Name of the target.
            head: Head of the request.
            body: The body, complete or in parts.
            deadline_ms: End of the request on the monotonic clock in ms.

        Returns:
            The response, which must be read to its end or closed; otherwise
            a failure that is "not run" only if no byte was sent.
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
        connection = await self._take(pool)
        if connection is None:
            return outcome.Failure(
                codes.ResultCode.NO_CAPACITY,
                f'target {target} has {pool.limit} connections',
            )
        loop_time = asyncio.get_running_loop().time
        deadline_s = loop_time() + remaining_ms / 1_000
        connection.prepare(deadline_s)

        def is_expired() -> bool:
            return loop_time() >= deadline_s - _TIMER_TOLERANCE_S

        def on_end(is_reusable: bool) -> None:
            self._put(connection, is_reusable)

        # The wait for the head ends at the deadline only.
        timeouts: dict[str, float | None] = {
            'connect': min(CONNECT_TIMEOUT_MS, remaining_ms) / 1_000,
            'write': MAX_GAP_MS / 1_000,
            'read': None,
        }
        try:
            response = await connection.http.handle_async_request(
                _build_request(pool, head, body, timeouts)
            )
        except Exception as error:
            sent_bytes = connection.sent_bytes
            await connection.close()
            return _describe_error(error, sent_bytes, is_expired())
        except BaseException:
            await connection.close()
            raise
        timeouts['read'] = MAX_GAP_MS / 1_000
        return await _accept(head, response, on_end, is_expired)

    async def _take(self, pool: _Pool) -> _Connection | None:
        while pool.idle:
            connection = pool.idle.pop()
            idle_ms = self._clock.now_ms - connection.idle_since_ms
            if idle_ms < IDLE_LIMIT_MS and connection.is_reusable:
                return connection
            await connection.close()
        if pool.open_count >= pool.limit:
            return None
        return _Connection(pool)

    def _put(self, connection: _Connection, is_reusable: bool) -> None:
        pool = connection.pool
        now_ms = self._clock.now_ms
        if is_reusable and connection.is_reusable and not pool.is_retired:
            connection.idle_since_ms = now_ms
            pool.idle.append(connection)
        else:
            self._close_later(connection)
        oldest = pool.idle[0] if pool.idle else None
        if (
            oldest is not None
            and now_ms - oldest.idle_since_ms >= IDLE_LIMIT_MS
        ):
            self._close_later(pool.idle.popleft())

    def _retire(self, pool: _Pool) -> None:
        pool.is_retired = True
        while pool.idle:
            self._close_later(pool.idle.pop())

    def _close_later(self, connection: _Connection) -> None:
        task = asyncio.get_running_loop().create_task(connection.close())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)


def _build_request(
    pool: _Pool,
    head: RequestHead,
    body: bytes | collections.abc.AsyncIterator[bytes],
    timeouts: dict[str, float | None],
) -> httpcore.Request:
    headers = [pool.host_header, *head.headers]
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


def _describe_error(
    error: Exception, sent_bytes: int, is_expired: bool
) -> outcome.Failure:
    code = codes.ResultCode
    ran = _NOT_RUN if sent_bytes == 0 else codes.Ran.UNKNOWN
    detail = str(error)
    if isinstance(error, BodyInterrupted):
        return dataclasses.replace(error.failure, ran_override=ran)
    if isinstance(error, (httpcore.ConnectError, httpcore.ConnectTimeout)):
        return outcome.Failure(code.TARGET_CONNECT_FAILED, detail, _NOT_RUN)
    if isinstance(error, httpcore.TimeoutException):
        if is_expired and sent_bytes == 0:
            return outcome.Failure(code.DEADLINE_EXCEEDED, detail)
        if is_expired:
            return outcome.Failure(code.DEADLINE_EXCEEDED_RUNNING, detail)
        return outcome.Failure(code.TARGET_TIMEOUT, detail, ran)
    if isinstance(error, httpcore.LocalProtocolError):
        # The head or the body that the caller sent is not valid HTTP.
        if sent_bytes == 0:
            return outcome.Failure(code.BAD_REQUEST, detail)
        return outcome.Failure(code.BODY_LENGTH_MISMATCH, detail, ran)
    if isinstance(error, httpcore.RemoteProtocolError):
        if 'disconnected' in detail:
            return outcome.Failure(code.TARGET_LOST, detail, ran)
        return outcome.Failure(code.TARGET_PROTOCOL, detail, ran)
    if isinstance(error, httpcore.NetworkError):
        return outcome.Failure(code.TARGET_LOST, detail, ran)
    return outcome.Failure(code.INTERNAL, repr(error), ran)


async def _accept(
    head: RequestHead,
    response: httpcore.Response,
    on_end: collections.abc.Callable[[bool], None],
    is_expired: collections.abc.Callable[[], bool],
) -> outcome.Success[TargetResponse] | outcome.Failure:
    length: int | None = None
    is_chunked = False
    says_not_run = False
    for raw_name, value in response.headers:
        name = raw_name.lower()
        if name == b'content-length':
            length = int(value)
        elif name == b'transfer-encoding':
            is_chunked = True
        elif name == fields.RAN:
            says_not_run = value.strip().lower() == fields.NOT_RUN_VALUE
    is_bodyless = (
        head.method == 'HEAD' or response.status in _BODYLESS_STATUSES
    )
    headers = fields.filter_response(response.headers)
    if response.status in _BODYLESS_STATUSES:
        headers = tuple(h for h in headers if h[0] != b'content-length')
    has_no_end = (length is None) != is_chunked and not is_bodyless
    accepted = TargetResponse(
        response.status,
        headers,
        0 if is_bodyless else length,
        says_not_run,
        response.stream,
        on_end,
        is_expired,
    )
    if has_no_end or not 200 <= response.status < 600:
        # Without a declared length, a lost connection looks like the end.
        await accepted.close()
        return outcome.Failure(
            codes.ResultCode.TARGET_PROTOCOL,
            f'status {response.status} without one length of the body',
            codes.Ran.RAN if response.status >= 200 else None,
        )
    if accepted.length == 0:
        failure = await accepted.read()
        if isinstance(failure, outcome.Failure):
            return failure
    return outcome.Success(accepted)
