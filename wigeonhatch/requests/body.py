"""Body of a request, buffered if it is small."""

from __future__ import annotations

import collections.abc

from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.targets import request as target_request

# Bodies up to this size are buffered before a slot is acquired, so that a slow
# sender occupies none and a retry can send them again.
SMALL_BODY_BYTES = 65_536
# Larger bodies belong to the bulk traffic class of a link.
BULK_BODY_BYTES = 262_144

ReadChunk = collections.abc.Callable[
    [], collections.abc.Awaitable[bytes | None | outcome.Failure]
]


class RequestBody:
    """Body of one request.

    Args:
        length: Declared length in bytes; -1 if not declared.
        read_chunk: Reads the next chunk; None after the last one.
        max_bytes: Largest accepted body in bytes.
        buffer_bytes: Largest body in bytes that is buffered completely.
    """

    def __init__(
        self,
        length: int,
        read_chunk: ReadChunk,
        max_bytes: int,
        buffer_bytes: int = SMALL_BODY_BYTES,
    ) -> None:
        self.length = length
        self.is_received = False
        self._read_chunk = read_chunk
        self._max_bytes = max_bytes
        self._buffer_bytes = buffer_bytes
        self._chunks: list[bytes] = []
        self._size = 0
        self._is_streamed = False

    @property
    def is_small(self) -> bool:
        """Whether the length is known and small enough to buffer."""
        return 0 <= self.length <= self._buffer_bytes

    @property
    def is_bulk(self) -> bool:
        """Whether the body is bulk traffic on a link."""
        return self.length < 0 or self.length > BULK_BODY_BYTES

    @property
    def is_replayable(self) -> bool:
        """Whether the complete body can be sent, again if need be."""
        return not self._is_streamed

    @property
    def content(self) -> bytes:
        """The complete body, if it is small."""
        return (
            self._chunks[0]
            if len(self._chunks) == 1
            else b''.join(self._chunks)
        )

    async def buffer(self) -> outcome.Failure | None:
        """Receive a small body completely.

        A body without a declared length is received until it exceeds the
        buffer; if it ends before, its length becomes known.

        Returns:
            The failure of the sender, if any, as "not run".
        """
        if self.length > self._buffer_bytes:
            return None
        while not self.is_received and self._size <= self._buffer_bytes:
            chunk = await self._receive()
            if isinstance(chunk, outcome.Failure):
                return outcome.Failure(
                    chunk.code, chunk.detail, codes.Ran.NOT_RUN
                )
            if chunk:
                self._chunks.append(chunk)
        if self.is_received:
            self.length = self._size
        return None

    def payload(self) -> bytes | collections.abc.AsyncIterator[bytes]:
        """Body to send in one attempt: complete if small, else chunks."""
        return self.content if self.is_small else self.chunks()

    async def chunks(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield the chunks of the body, each received on demand.

        Raises:
            BodyInterrupted: The sender did not deliver the declared body.
        """
        for chunk in self._chunks:
            yield chunk
        if self.is_small:
            return
        self._is_streamed = True
        self._chunks = []
        while not self.is_received:
            chunk_or_end = await self._receive()
            if isinstance(chunk_or_end, outcome.Failure):
                raise target_request.BodyInterrupted(chunk_or_end)
            if chunk_or_end:
                yield chunk_or_end

    async def _receive(self) -> bytes | None | outcome.Failure:
        chunk = await self._read_chunk()
        if isinstance(chunk, outcome.Failure):
            return chunk
        if chunk is None:
            self.is_received = True
            if self.length >= 0 and self._size != self.length:
                return self._length_mismatch()
            return None
        self._size += len(chunk)
        if 0 <= self.length < self._size:
            return self._length_mismatch()
        if self._size > self._max_bytes:
            return outcome.Failure(
                codes.ResultCode.BODY_TOO_LARGE,
                f'the limit is {self._max_bytes} bytes',
                codes.Ran.UNKNOWN,
            )
        return chunk

    def _length_mismatch(self) -> outcome.Failure:
        return outcome.Failure(
            codes.ResultCode.BODY_LENGTH_MISMATCH,
            f'{self._size} bytes, declared {self.length}',
        )
