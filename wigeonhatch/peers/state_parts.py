"""State in datagrams, as a host with a full link receives it.

Calls need several packets of the host that is behind, which wait in the queue
of its link; datagrams of a peer need none.
"""

from __future__ import annotations

import collections.abc
import zlib

import msgspec

from wigeonhatch import decoding

MARKER = b'\xc1'
"""First byte of each datagram. No encoded state of a host begins with it, and
earlier builds report the datagram as malformed."""
MAX_PARTS = 128
"""Datagrams of one message at most; a larger one is not sent."""
PART_BYTES = 1_400
"""Content of one datagram, which fits into one packet."""
MAX_BYTES = 8 * 1024 * 1024
"""Size limit of a message."""


class Part(msgspec.Struct, frozen=True, array_like=True):
    """Part of a message.

    Args:
        topic: What the message tells.
        version: Version of what it tells.
        index: Number of the part, from 0.
        count: Number of parts.
        content: Part of the compressed message.
    """

    topic: str
    version: int
    index: int
    count: int
    content: bytes

    def __post_init__(self) -> None:
        """Reject numbers that do not fit.

        Raises:
            ValueError: The part is not one of `count`.
        """
        if not 0 <= self.index < self.count <= MAX_PARTS:
            raise ValueError('not a part of a message')


def split(topic: str, version: int, content: bytes) -> list[bytes]:
    """Split a message into datagrams.

    Args:
        topic: What it tells.
        version: Version of what it tells.
        content: The message.

    Returns:
        The datagrams; none if there would be more than `MAX_PARTS`.
    """
    packed = zlib.compress(content)
    starts = range(0, len(packed), PART_BYTES)
    if len(starts) > MAX_PARTS or len(content) > MAX_BYTES:
        return []
    return [
        MARKER
        + msgspec.msgpack.encode(
            Part(
                topic,
                version,
                index,
                len(starts),
                packed[start : start + PART_BYTES],
            )
        )
        for index, start in enumerate(starts)
    ]


class PartAssembler:
    """Join the parts of the newest message of each topic.

    Args:
        topics: Topics of which messages are accepted.
    """

    def __init__(self, topics: collections.abc.Iterable[str]) -> None:
        self._parts_by_topic: dict[str, dict[int, Part]] = {
            topic: {} for topic in topics
        }

    def add(self, data: bytes) -> tuple[str, bytes] | None:
        """Add a datagram.

        Args:
            data: Content of the datagram, with the marker.

        Returns:
            Topic and content of a message once all of its parts have arrived.

        Raises:
            DecodeError: The datagram or the message is malformed.
        """
        part = decoding.decode_msgpack(data[len(MARKER) :], Part)
        parts = self._parts_by_topic.get(part.topic)
        if parts is None:
            raise decoding.DecodeError(f'unknown topic {part.topic[:20]!r}')
        current = next(iter(parts.values()), part)
        if part.version < current.version:
            return None
        if (part.version, part.count) != (current.version, current.count):
            parts.clear()
        parts[part.index] = part
        if len(parts) < part.count:
            return None
        packed = b''.join(parts[index].content for index in range(part.count))
        parts.clear()
        return part.topic, _decompress(packed)


def _decompress(packed: bytes) -> bytes:
    unpacker = zlib.decompressobj()
    try:
        content = unpacker.decompress(packed, MAX_BYTES)
    except zlib.error as error:
        raise decoding.DecodeError(str(error)) from error
    if not unpacker.eof:
        raise decoding.DecodeError('a message that is cut or too large')
    return content
