"""Configurations in datagrams, as a host with a full link receives them.

Calls need several packets of the host that is behind, which wait in the queue
of its link; datagrams of a peer need none.
"""

from __future__ import annotations

import zlib

import msgspec

from wigeonhatch import decoding

MARKER = b'\xc1'
"""First byte of each datagram. No encoded state begins with it, and earlier
builds report the datagram as malformed."""
MAX_PARTS = 128
"""Datagrams of one configuration at most; a larger one is not sent."""
PART_BYTES = 1_400
"""Content of one datagram, which fits into one packet."""
MAX_BYTES = 8 * 1024 * 1024
"""Size limit of a configuration."""


class ConfigPart(msgspec.Struct, frozen=True, array_like=True):
    """Part of a configuration.

    Args:
        version: Version of the configuration.
        index: Number of the part, from 0.
        count: Number of parts.
        content: Part of the compressed row of the operators' table.
    """

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
            raise ValueError('not a part of a configuration')


def split(version: int, content: bytes) -> list[bytes]:
    """Split a configuration into datagrams.

    Args:
        version: Its version.
        content: Row of the operators' table.

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
            ConfigPart(
                version,
                index,
                len(starts),
                packed[start : start + PART_BYTES],
            )
        )
        for index, start in enumerate(starts)
    ]


class PartAssembler:
    """Join the parts of the newest configuration that arrives."""

    def __init__(self) -> None:
        self._version = 0
        self._count = 0
        self._content_by_index: dict[int, bytes] = {}

    def add(self, data: bytes) -> bytes | None:
        """Add a datagram.

        Args:
            data: Content of the datagram, with the marker.

        Returns:
            Row of the operators' table once all of its parts have arrived.

        Raises:
            DecodeError: The datagram or the configuration is malformed.
        """
        part = decoding.decode_msgpack(data[len(MARKER) :], ConfigPart)
        if part.version < self._version:
            return None
        if (part.version, part.count) != (self._version, self._count):
            self._version, self._count = part.version, part.count
            self._content_by_index = {}
        self._content_by_index[part.index] = part.content
        if len(self._content_by_index) < self._count:
            return None
        packed = b''.join(
            self._content_by_index[index] for index in range(self._count)
        )
        # A version that was joined may be sent again, by other peers too.
        self._version = self._count = 0
        self._content_by_index = {}
        return _decompress(packed)


def _decompress(packed: bytes) -> bytes:
    unpacker = zlib.decompressobj()
    try:
        content = unpacker.decompress(packed, MAX_BYTES)
    except zlib.error as error:
        raise decoding.DecodeError(str(error)) from error
    if not unpacker.eof:
        raise decoding.DecodeError('a configuration that is cut or too large')
    return content
