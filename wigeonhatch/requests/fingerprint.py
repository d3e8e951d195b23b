"""Fingerprints, which identify repeats of a request at any host."""

from __future__ import annotations

import collections.abc
import hashlib

_DIGEST_BYTES = 8


def compute_fingerprint(parts: collections.abc.Iterable[bytes]) -> int:
    """Hash what repeats of a request have in common.

    The hash is cryptographic, so that a caller cannot craft a request with the
    fingerprint of another one.

    Args:
        parts: Method, path, fields that identify the caller, and body.

    Returns:
        Fingerprint of 64 bits, the same at all hosts.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in parts:
        digest.update(b'%d:' % len(part))
        digest.update(part)
    return int.from_bytes(digest.digest())


def format_fingerprint(fingerprint: int) -> str:
    """Format a fingerprint for the log.

    Args:
        fingerprint: The fingerprint.
    """
    return f'{fingerprint:0{2 * _DIGEST_BYTES}x}'
