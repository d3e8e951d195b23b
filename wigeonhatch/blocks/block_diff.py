"""Diffs between versions of a block map."""

from __future__ import annotations

import dataclasses
import zlib

import msgspec
import xxhash

from wigeonhatch import decoding
from wigeonhatch import outcome
from wigeonhatch.blocks import _encoding


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """Location of clients, with its regions by distance.

    Args:
        name: Name of the site.
        regions: Regions in order of distance, nearest first.
    """

    name: str
    regions: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class BlockDiff:
    """Changes from one version of a block map to another.

    Args:
        base_version: Version that the diff applies to.
        version: Version after the diff.
        removed: Prefixes to remove.
        assigned: Prefixes to add or change, each with its site name.
        sites: New sites and sites whose regions changed.
    """

    base_version: int
    version: int
    removed: list[str] = dataclasses.field(default_factory=list)
    assigned: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    sites: list[Site] = dataclasses.field(default_factory=list)


def encode_diff(diff: BlockDiff) -> bytes:
    """Encode a diff with a digest.

    Args:
        diff: Diff to encode.
    """
    return _encoding.add_digest(
        zlib.compress(
            msgspec.msgpack.encode(diff), _encoding.COMPRESSION_LEVEL
        )
    )


def decode_diff(
    data: bytes,
) -> outcome.Success[BlockDiff] | outcome.Failure:
    """Decode a diff and verify its digest.

    Args:
        data: Result of `encode_diff`.

    Returns:
        The diff, or `CONFIG_INVALID`.
    """
    content = _encoding.strip_digest(data)
    if not _encoding.has_digest(data, xxhash.xxh3_128_digest(content)):
        return _encoding.invalid(_encoding.DIGEST_MISMATCH)
    try:
        diff = decoding.decode_msgpack(zlib.decompress(content), BlockDiff)
    except (zlib.error, decoding.DecodeError) as error:
        return _encoding.invalid(str(error))
    return outcome.Success(diff)
