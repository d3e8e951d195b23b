"""Digest and compression of encoded block maps and their changes."""

from __future__ import annotations

import xxhash

from wigeonhatch import codes
from wigeonhatch import outcome

_MAGIC = b'WHBM0001'
_DIGEST_BYTES = 16
DIGEST_MISMATCH = 'the object is no block map or its digest does not match'
COMPRESSION_LEVEL = 6
"""Level of zlib."""


def add_digest(content: bytes) -> bytes:
    """Put a digest before encoded content."""
    return _MAGIC + xxhash.xxh3_128_digest(content) + content


def strip_digest(data: bytes) -> memoryview:
    """Content of sealed data, whose digest is not checked."""
    return memoryview(data)[len(_MAGIC) + _DIGEST_BYTES :]


def has_digest(data: bytes, digest: bytes) -> bool:
    """Tell whether data starts with the digest of its content.

    Args:
        data: Sealed data.
        digest: Digest of its content.
    """
    return data.startswith(_MAGIC + digest)


def invalid(detail: str) -> outcome.Failure:
    """Describe a block map or a diff that cannot be used."""
    return outcome.Failure(
        codes.ResultCode.CONFIG_INVALID, f'block map: {detail}'
    )
