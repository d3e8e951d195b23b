"""Mapping from client blocks to sites."""

from __future__ import annotations

import array
import collections.abc
import dataclasses
import itertools
import typing
import zlib

import anyio
import msgspec
import xxhash

from wigeonhatch import codes
from wigeonhatch import decoding
from wigeonhatch import outcome
from wigeonhatch.blocks import _encoding
from wigeonhatch.blocks import _flat_table
from wigeonhatch.blocks import _prefix
from wigeonhatch.blocks import _prefix_table
from wigeonhatch.blocks import block_diff
from wigeonhatch.steering import buckets

_Item = typing.TypeVar('_Item')
_PREFIXES_PER_SEGMENT = 8_192
_MAX_SITES = 65_535
_CHECKS_PER_SLICE = 128
# Costs are in refreshed blocks. A change costs about as much as 16 blocks that
# have a prefix each; a slice takes about 1 ms.
_CHANGE_COST = 16
_SLICE_COST = 768
_HASH_CHUNK_BYTES = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Segment:
    """About 8,192 prefixes of one address family, compressed.

    Keys are stored as byte planes (all first bytes, then all second bytes, and
    so on), which compress well since upper bytes of sorted keys rarely change.
    """

    ip_version: int
    keys: memoryview
    sites: memoryview


@dataclasses.dataclass(frozen=True, slots=True)
class _Document:
    version: int
    sites: list[block_diff.Site]
    segments: list[_Segment]


class BlockMap:
    """Mapping from client blocks to sites by longest prefix.

    Args:
        version: Version of the map.
    """

    def __init__(self, version: int = 0) -> None:
        self.version = version
        self._sites: list[block_diff.Site] = []
        self._number_by_site: dict[str, int] = {}
        self._ipv4 = _flat_table.FlatTable()
        self._ipv6 = _prefix_table.PrefixTable(_prefix.IPV6)
        self._find_by_block_size = {3: self._ipv4.find, 6: self._ipv6.find}

    def __len__(self) -> int:
        """Return the number of prefixes."""
        return len(self._ipv4) + len(self._ipv6)

    @property
    def sites(self) -> tuple[block_diff.Site, ...]:
        """All sites."""
        return tuple(self._sites)

    def find_site(self, address: str) -> block_diff.Site | None:
        """Find the site of a client.

        Args:
            address: IPv4 or IPv6 address.

        Returns:
            The site of the longest matching prefix; None if no prefix
            matches or the address is malformed.
        """
        block = buckets.client_block(address)
        return None if block is None else self.find_site_by_block(block)

    def find_site_by_block(self, block: bytes) -> block_diff.Site | None:
        """Find the site of a client block.

        Args:
            block: Result of `buckets.client_block`.

        Returns:
            The site; None if no prefix covers the block.
        """
        find = self._find_by_block_size[len(block)]
        site_number = find(int.from_bytes(block, 'big') << 8 | 255)
        return None if site_number < 0 else self._sites[site_number]

    async def apply(
        self, diff: block_diff.BlockDiff
    ) -> outcome.Success[int] | outcome.Failure:
        """Apply a diff in slices, yielding to the event loop in between.

        Lookups during the call see some of the changes. An invalid diff is
        refused as a whole before the first change. Calls must not overlap.

        Args:
            diff: Diff from the version of this map.

        Returns:
            The new version, `CONFLICT` if the base version differs, or
            `CONFIG_INVALID` for a malformed prefix or unknown site.
        """
        for result in self.apply_slices(diff):
            if isinstance(result, outcome.Failure):
                return result
            await anyio.lowlevel.checkpoint()
        return outcome.Success(self.version)

    def apply_slices(
        self, diff: block_diff.BlockDiff
    ) -> collections.abc.Iterator[outcome.Failure | None]:
        """Apply a diff with a bounded cost between two items.

        Args:
            diff: Diff from the version of this map.

        Yields:
            None after each slice, or the failure that stops it.
        """
        if diff.base_version != self.version:
            yield outcome.Failure(
                codes.ResultCode.CONFLICT,
                f'block diff applies to version {diff.base_version}; this '
                f'map has version {self.version}',
            )
            return
        names = {site.name for site in diff.sites} | set(self._number_by_site)
        for results in _batches(self._check(diff, names)):
            failures = [item for item in results if item is not None]
            if failures:
                yield failures[0]
                return
            yield None
        for site in diff.sites:
            self._put_site(site)
        cost = 0
        for table, key, site_number in self._changes(diff):
            if site_number < 0:
                table.remove(key)
            else:
                table.assign(key, site_number)
            for blocks in itertools.chain([_CHANGE_COST], table.refresh(key)):
                cost += blocks
                if cost > _SLICE_COST:
                    cost = 0
                    yield None
        yield None
        self.version = diff.version

    def encode(self) -> bytes:
        """Encode the map for the object store, with a digest."""
        document = _Document(
            self.version, list(self._sites), list(self._encode_segments())
        )
        return _encoding.add_digest(msgspec.msgpack.encode(document))

    def _check(
        self, diff: block_diff.BlockDiff, names: set[str]
    ) -> collections.abc.Iterator[outcome.Failure | None]:
        if len(names) > _MAX_SITES:
            yield _encoding.invalid(
                f'{len(names)} sites exceed the limit of {_MAX_SITES}'
            )
        for text in diff.removed:
            yield _check_prefix(text)
        for text, name in diff.assigned:
            yield _check_prefix(text)
            if name not in names:
                yield _encoding.invalid(
                    f'site {name!r} of {text} does not exist'
                )

    def _changes(
        self, diff: block_diff.BlockDiff
    ) -> collections.abc.Iterator[tuple[_prefix_table.PrefixTable, int, int]]:
        pairs = itertools.chain(
            ((text, -1) for text in diff.removed),
            (
                (text, self._number_by_site[name])
                for text, name in diff.assigned
            ),
        )
        for text, site_number in pairs:
            parsed = _prefix.parse_prefix(text)
            if parsed is not None:
                family, key = parsed
                yield self._table(family.version), key, site_number

    def _table(self, ip_version: int) -> _prefix_table.PrefixTable:
        return self._ipv4 if ip_version == 4 else self._ipv6

    def _put_site(self, site: block_diff.Site) -> None:
        site_number = self._number_by_site.get(site.name)
        if site_number is None:
            self._number_by_site[site.name] = len(self._sites)
            self._sites.append(site)
        else:
            self._sites[site_number] = site

    def _encode_segments(self) -> collections.abc.Iterator[_Segment]:
        for table in (self._ipv4, self._ipv6):
            keys = array.array(table.family.typecode)
            sites = array.array('H')
            for chunk_keys, chunk_sites in table.iter_chunks():
                keys.extend(chunk_keys)
                sites.extend(chunk_sites)
                if len(keys) >= _PREFIXES_PER_SEGMENT:
                    yield _encode_segment(table.family, keys, sites)
                    del keys[:], sites[:]
            if keys:
                yield _encode_segment(table.family, keys, sites)

    def _append_segment(
        self, segment: _Segment
    ) -> collections.abc.Iterator[outcome.Failure | None]:
        table = self._table(segment.ip_version)
        family = table.family
        keys = array.array(family.typecode)
        sites = array.array('H')
        try:
            keys.frombytes(
                _join_planes(zlib.decompress(segment.keys), keys.itemsize)
            )
            sites.frombytes(zlib.decompress(segment.sites))
        except (zlib.error, ValueError) as error:
            yield _encoding.invalid(f'segment cannot be decoded: {error}')
            return
        if len(keys) != len(sites) or not keys:
            yield _encoding.invalid(f'{len(keys)} keys but {len(sites)} sites')
            return
        if max(sites) >= len(self._sites):
            yield _encoding.invalid(f'site number {max(sites)} does not exist')
            return
        for is_sorted in table.append(keys, sites):
            if is_sorted:
                yield None
            else:
                yield _encoding.invalid('prefixes are not in ascending order')


async def load_block_map(
    data: bytes,
) -> outcome.Success[BlockMap] | outcome.Failure:
    """Decode a map in slices, yielding to the event loop in between.

    Args:
        data: Result of `BlockMap.encode`.

    Returns:
        The map, or `CONFIG_INVALID`.
    """
    content = _encoding.strip_digest(data)
    hasher = xxhash.xxh3_128()
    for start in range(0, len(content), _HASH_CHUNK_BYTES):
        hasher.update(content[start : start + _HASH_CHUNK_BYTES])
        await anyio.lowlevel.checkpoint()
    if not _encoding.has_digest(data, hasher.digest()):
        return _encoding.invalid(_encoding.DIGEST_MISMATCH)
    try:
        document = decoding.decode_msgpack(content, _Document)
    except decoding.DecodeError as error:
        return _encoding.invalid(str(error))
    loaded = BlockMap(document.version)
    for site in document.sites:
        loaded._put_site(site)
    for segment in document.segments:
        for failure in loaded._append_segment(segment):
            if failure is not None:
                return failure
            await anyio.lowlevel.checkpoint()
    return outcome.Success(loaded)


def _encode_segment(
    family: _prefix.Family,
    keys: array.array[int],
    sites: array.array[int],
) -> _Segment:
    data = keys.tobytes()
    planes = b''.join(
        data[plane :: keys.itemsize] for plane in range(keys.itemsize)
    )
    return _Segment(
        family.version,
        memoryview(zlib.compress(planes, _encoding.COMPRESSION_LEVEL)),
        memoryview(
            zlib.compress(sites.tobytes(), _encoding.COMPRESSION_LEVEL)
        ),
    )


def _join_planes(planes: bytes, itemsize: int) -> bytes:
    count = len(planes) // itemsize
    data = bytearray(count * itemsize)
    for plane in range(itemsize):
        data[plane::itemsize] = planes[plane * count : (plane + 1) * count]
    return bytes(data)


def _batches(
    items: collections.abc.Iterator[_Item],
) -> collections.abc.Iterator[list[_Item]]:
    while batch := list(itertools.islice(items, _CHECKS_PER_SLICE)):
        yield batch


def _check_prefix(text: str) -> outcome.Failure | None:
    if _prefix.parse_prefix(text) is None:
        return _encoding.invalid(f'{text!r} is not a prefix of a client block')
    return None
