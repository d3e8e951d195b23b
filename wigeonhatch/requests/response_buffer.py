"""Buffers of responses, with a limit for each and for all of a host."""

from __future__ import annotations

import dataclasses

MAX_BUFFERED_RESPONSE_BYTES = 8_388_608
"""Largest response; each is buffered completely before the caller receives a
byte, so that a truncated one can be replaced by a retry."""
MAX_TOTAL_BYTES = 67_108_864
"""Bytes in all buffers from which long responses fail; a quarter of the memory
of a host."""
SHORT_RESPONSE_BYTES = 65_536
"""Length up to which a response is buffered even if other buffers are full."""


@dataclasses.dataclass(slots=True)
class BufferedBytes:
    """Bytes in the buffers of all responses that are being received."""

    total: int = 0


class ResponseBuffer:
    """Body of one response.

    Args:
        buffered: Bytes in the buffers of the host.
    """

    def __init__(self, buffered: BufferedBytes) -> None:
        # Small chunks would need far more memory as separate objects.
        self.content = bytearray()
        self._buffered = buffered

    def append(self, chunk: bytes) -> str | None:
        """Append a chunk.

        Args:
            chunk: Next part of the body.

        Returns:
            Why the response cannot be buffered; None if it can.
        """
        self.content += chunk
        self._buffered.total += len(chunk)
        if len(self.content) > MAX_BUFFERED_RESPONSE_BYTES:
            return f'longer than {MAX_BUFFERED_RESPONSE_BYTES} bytes'
        if (
            len(self.content) > SHORT_RESPONSE_BYTES
            and self._buffered.total > MAX_TOTAL_BYTES
        ):
            return f'{self._buffered.total} bytes of responses are buffered'
        return None

    def close(self) -> None:
        """Release the bytes of this buffer."""
        self._buffered.total -= len(self.content)
