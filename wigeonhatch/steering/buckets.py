"""Hash buckets of client blocks."""

from __future__ import annotations

import ipaddress

import xxhash

BUCKET_COUNT = 1_000
_IPV4_BLOCK_BITS = 24
_IPV6_BLOCK_BITS = 48


def client_block(address: str) -> bytes | None:
    """Reduce a client address to its block.

    Args:
        address: IPv4 or IPv6 address as text.

    Returns:
        The address's first 24 (IPv4) or 48 (IPv6) bits; None if the text is
        no address.
    """
    try:
        parsed = ipaddress.ip_address(address)
    except ValueError:
        return None
    if isinstance(parsed, ipaddress.IPv4Address):
        return parsed.packed[: _IPV4_BLOCK_BITS // 8]
    return parsed.packed[: _IPV6_BLOCK_BITS // 8]


def bucket_of(service: str, block: bytes) -> int:
    """Assign a client block to a hash bucket of a service.

    Args:
        service: Name of the service.
        block: Result of `client_block`.

    Returns:
        A number from 0 to `BUCKET_COUNT` - 1.
    """
    digest = xxhash.xxh3_64_intdigest(service.encode() + b'\0' + block)
    return digest % BUCKET_COUNT
