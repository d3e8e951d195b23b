"""Body of a request, buffered while it is small."""

from __future__ import annotations

import collections.abc

from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.targets import request as target_request

# Bodies up to this size are received before a slot is taken, so that a slow
# sender holds none, and they can be sent again by a retry.
SMALL_BODY_BYTES = 65_536
# The class of bulk transfers on a link begins above this size.
BULK_BODY_BYTES = 262_144

ReadChunk = collections.abc.Callable[
    [], collections.abc.Awaitable[bytes | None | outcome.Failure]
]


class RequestBody:
    """Body of one request.

    Args:
        length: Declared length in bytes; -1 if not declared.
        read_part: Reads the next part; None after the last one.
        max_bytes: Largest body.
        buffer_bytes: Largest body that is received before it is sent on.
    """

    def __init__(
        self,
        length: int,
        read_part: ReadChunk,
        max_bytes: int,
        buffer_bytes: int = SMALL_BODY_BYTES,
    ) -> None:
        self.length = length
        self.is_received = False
        self._read_part = read_part
        self._max_bytes = max_bytes
        self._buffer_bytes = buffer_bytes
        self._parts: list[bytes] = []
        self._count = 0
        self._is_streamed = False

    @property
    def is_small(self) -> bool:
        """Whether the body has a known length that is buffered."""
        return 0 <= self.length <= self._buffer_bytes

    @property
    def is_bulk(self) -> bool:
        """Whether the body counts as bulk on a link."""
        return self.length < 0 or self.length > BULK_BODY_BYTES

    @property
    def is_replayable(self) -> bool:
        """Whether the complete body can still be sent."""
        return not self._is_streamed

    @property
    def content(self) -> bytes:
        """The complete body, if it is small."""
        return (
            self._parts[0] if len(self._parts) == 1 else b''.join(self._parts)
        )

    async def buffer(self) -> outcome.Failure | None:
        """Receive a small body completely.

        A body without a declared length is received up to the limit of a
        small one; if it ends there, its length is known.

        Returns:
            The failure of the sender, if any; then nothing was run.
        """
        if self.length > self._buffer_bytes:
            return None
        while not self.is_received and self._count <= self._buffer_bytes:
            part = await self._receive()
            if isinstance(part, outcome.Failure):
                return outcome.Failure(
                    part.code, part.detail, codes.Ran.NOT_RUN
                )
            if part:
                self._parts.append(part)
        if self.is_received:
            self.length = self._count
        return None

    def outgoing(self) -> bytes | collections.abc.AsyncIterator[bytes]:
        """The body for one attempt: complete if small, else in parts."""
        return self.content if self.is_small else self.parts()

    async def parts(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield the parts of the body, each received when it is wanted.

        Raises:
            BodyInterrupted: The sender did not deliver the declared body.
        """
        for part in self._parts:
            yield part
        if self.is_small:
            return
        self._is_streamed = True
        self._parts = []
        while not self.is_received:
            part_or_end = await self._receive()
            if isinstance(part_or_end, outcome.Failure):
                raise target_request.BodyInterrupted(part_or_end)
            if part_or_end:
                yield part_or_end

    async def _receive(self) -> bytes | None | outcome.Failure:
        part = await self._read_part()
        if isinstance(part, outcome.Failure):
            return part
        if part is None:
            self.is_received = True
            if self.length >= 0 and self._count != self.length:
                return self._mismatch()
            return None
        self._count += len(part)
        if 0 <= self.length < self._count:
            return self._mismatch()
        if self._count > self._max_bytes:
            return outcome.Failure(
                codes.ResultCode.BODY_TOO_LARGE,
                f'the limit is {self._max_bytes} bytes',
                codes.Ran.UNKNOWN,
            )
        return part

    def _mismatch(self) -> outcome.Failure:
        return outcome.Failure(
            codes.ResultCode.BODY_LENGTH_MISMATCH,
            f'{self._count} bytes, declared {self.length}',
        )
