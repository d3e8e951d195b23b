"""Digest and compression of encoded block maps and diffs."""

from __future__ import annotations

import xxhash

from wigeonhatch import codes
from wigeonhatch import outcome

_MAGIC = b'WHBM0001'
_DIGEST_BYTES = 16
DIGEST_MISMATCH = 'not a block map or diff, or its digest does not match'
COMPRESSION_LEVEL = 6
"""Compression level of zlib."""


def add_digest(content: bytes) -> bytes:
    """Prepend the magic bytes and the digest to encoded content."""
    return _MAGIC + xxhash.xxh3_128_digest(content) + content


def strip_digest(data: bytes) -> memoryview:
    """Return the content after the digest, without checking the digest."""
    return memoryview(data)[len(_MAGIC) + _DIGEST_BYTES :]


def has_digest(data: bytes, digest: bytes) -> bool:
    """Return whether data starts with the magic bytes and a digest.

    Args:
        data: Result of `add_digest`.
        digest: Digest of the content.
    """
    return data.startswith(_MAGIC + digest)


def invalid(detail: str) -> outcome.Failure:
    """Build the failure for an invalid block map or diff."""
    return outcome.Failure(
        codes.ResultCode.CONFIG_INVALID, f'block map: {detail}'
    )
