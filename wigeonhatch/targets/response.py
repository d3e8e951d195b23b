"""Responses of targets."""

from __future__ import annotations

import collections.abc
import typing

import anyio
import httpcore

from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.requests import headers as fields
from wigeonhatch.targets import request

# Longest time without progress of a response body or of a request body.
STALL_TIMEOUT_MS = 10_000
_MAX_DISCARDED_BYTES = 4_096
_DISCARD_TIMEOUT_S = 0.1
"""Longest wait for a body that nobody needs, to reuse the connection."""
_BODYLESS_STATUSES = frozenset({204, 304})

ConfirmEnd = collections.abc.Callable[
    [], collections.abc.Coroutine[typing.Any, typing.Any, None]
]
"""Raises an error of httpcore if a response may be incomplete."""


class TargetResponse:
    """Response of a target whose body has not been read yet.

    Args:
        status: HTTP status.
        headers: Header fields for the caller, names in lower case.
        length: Length of the body in bytes; None if it is not declared.
        confirm_end: Raises an error unless the end of the connection is that
            of the body; None if the body has an end of its own.

    `on_received` is called when the target has ended its response, which may
    be before the end is confirmed.
    """

    def __init__(
        self,
        status: int,
        headers: fields.HeaderTuple,
        length: int | None,
        is_marked_not_run: bool,
        stream: typing.Any,
        on_end: collections.abc.Callable[[bool], None],
        is_expired: collections.abc.Callable[[], bool],
        confirm_end: ConfirmEnd | None,
    ) -> None:
        self.status = status
        self.headers = headers
        self.length = length
        self.is_complete = False
        self.on_received: collections.abc.Callable[[], None] | None = None
        self._is_marked_not_run = is_marked_not_run
        self._stream = stream
        self._chunks = stream.__aiter__()
        self._received_bytes = 0
        self._is_ended = False
        self._on_end = on_end
        self._is_expired = is_expired
        self._confirm_end = confirm_end

    @property
    def is_shed(self) -> bool:
        """Whether the target refused the request without running it."""
        return self._is_marked_not_run and self.status == 503

    async def read(self) -> bytes | None | outcome.Failure:
        """Read the next chunk of the body.

        Returns:
            A chunk; None after the last one if the body is complete and has
            its declared length; otherwise a failure.
        """
        if self._is_ended:
            if self.is_complete:
                return None
            return outcome.Failure(codes.ResultCode.RESPONSE_INCOMPLETE)
        try:
            while True:
                chunk: bytes | None = await anext(self._chunks, None)
                if chunk is None:
                    return await self._finish()
                if chunk:
                    break
            self._received_bytes += len(chunk)
            # The end is read together with the last chunk, so that a caller
            # that reads slowly does not hold the slot.
            if self._received_bytes == self.length:
                if await anext(self._chunks, None) is not None:
                    return self._fail('longer than declared')
                failure = await self._finish()
                if failure is not None:
                    return failure
            return chunk
        except httpcore.TimeoutException:
            if self._is_expired():
                self._on_end(False)
                self._is_ended = True
                return outcome.Failure(
                    codes.ResultCode.DEADLINE_EXCEEDED_RUNNING
                )
            return self._fail(f'no part for {STALL_TIMEOUT_MS} ms')
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            return self._fail(str(error))
        except BaseException:
            self._is_ended = True
            self._on_end(False)
            raise

    async def close(self) -> None:
        """Skip the rest of the body by closing the connection."""
        if not self._is_ended:
            self._is_ended = True
            try:
                await self._chunks.aclose()
                await self._stream.aclose()
            finally:
                self._on_end(False)

    async def discard(self) -> None:
        """Read the rest of the body if short, or else close the connection."""
        limit = _MAX_DISCARDED_BYTES
        if self.length is not None and self.length <= limit:
            with anyio.move_on_after(_DISCARD_TIMEOUT_S):
                while isinstance(await self.read(), bytes):
                    pass
        await self.close()

    async def _finish(self) -> outcome.Failure | None:
        if self.length is not None and self._received_bytes != self.length:
            return self._fail(f'{self._received_bytes} of {self.length} bytes')
        if self.on_received is not None:
            self.on_received()
        if self._confirm_end is not None:
            await self._confirm_end()
        await self._stream.aclose()
        self._is_ended = True
        self.is_complete = True
        self._on_end(True)
        return None

    def _fail(self, detail: str) -> outcome.Failure:
        self._is_ended = True
        self._on_end(False)
        return outcome.Failure(codes.ResultCode.RESPONSE_INCOMPLETE, detail)


async def accept_response(
    head: request.RequestHead,
    response: httpcore.Response,
    on_end: collections.abc.Callable[[bool], None],
    is_expired: collections.abc.Callable[[], bool],
    confirm_end: ConfirmEnd | None,
) -> outcome.Success[TargetResponse] | outcome.Failure:
    """Check the head of a response.

    Args:
        head: Head of the request.
        response: Response whose body has not been read yet.
        on_end: Called once with whether the connection may be reused.
        is_expired: Tells whether the deadline of the request has passed.
        confirm_end: Raises an error unless the end of the connection is that
            of a complete body; None if it may not delimit one.
    """
    length: int | None = None
    is_chunked = False
    is_marked_not_run = False
    for raw_name, value in response.headers:
        name = raw_name.lower()
        if name == b'content-length':
            length = int(value)
        elif name == b'transfer-encoding':
            is_chunked = True
        elif name == fields.RAN:
            is_marked_not_run = value.strip().lower() == fields.NOT_RUN_VALUE
    is_bodyless = (
        head.method == 'HEAD' or response.status in _BODYLESS_STATUSES
    )
    headers = fields.filter_response(response.headers)
    if response.status in _BODYLESS_STATUSES:
        headers = tuple(h for h in headers if h[0] != b'content-length')
    is_close_delimited = length is None and not is_chunked
    is_malformed = not is_bodyless and (
        (length is not None and is_chunked)
        or (is_close_delimited and confirm_end is None)
    )
    accepted = TargetResponse(
        response.status,
        headers,
        0 if is_bodyless else length,
        is_marked_not_run,
        response.stream,
        on_end,
        is_expired,
        confirm_end if is_close_delimited and not is_bodyless else None,
    )
    if is_malformed or not 200 <= response.status < 600:
        # Without a declared length, a truncated response looks complete.
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
