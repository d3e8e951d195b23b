"""Compact prefix table for longest-prefix matching."""

from __future__ import annotations

import array
from bisect import bisect_left
from bisect import bisect_right
import collections.abc

from wigeonhatch.blocks import _prefix

# Larger chunks move more memory per insertion, smaller ones add objects. At
# this size, both cost less than parsing the key.
_MAX_CHUNK_SIZE = 512
INITIAL_CHUNK_SIZE = 384
_NO_PARENT = 255
NO_SITE = -1
_LENGTH_COUNT = 32
# Translates the parents of prefixes nested in a new prefix, by its length: the
# new prefix replaces shorter parents; longer parents are kept.
_TRANSLATION_BY_LENGTH = [
    bytes(
        length if value == _NO_PARENT or value < length else value
        for value in range(256)
    )
    for length in range(_LENGTH_COUNT)
]


class _Chunk:
    """Sorted run of consecutive prefixes.

    Args:
        keys: Keys of the prefixes.
        sites: Site number of each prefix.
        parents: Length of the longest enclosing prefix of each prefix, minus
            the family's `min_length`; `_NO_PARENT` if there is none.
    """

    __slots__ = ('keys', 'parents', 'sites')

    def __init__(
        self,
        keys: array.array[int],
        sites: array.array[int],
        parents: bytearray,
    ) -> None:
        self.keys = keys
        self.sites = sites
        self.parents = parents


class PrefixTable:
    """Longest-prefix table of one address family.

    Each prefix is stored once, in sorted chunks of arrays. The last prefix
    that starts at or before a block is the longest match, unless it ends
    before the block; in that case the search continues with its parent.

    Args:
        family: Address family.
    """

    def __init__(self, family: _prefix.Family) -> None:
        self.family = family
        # Number of key bits after the prefix, by encoded prefix length.
        self._low_bits = [
            family.block_bits - length + _prefix.LENGTH_BITS
            for length in range(family.min_length, family.block_bits + 1)
        ]
        self._chunks: list[_Chunk] = []
        self._first_keys: list[int] = []

    def __len__(self) -> int:
        """Return the number of prefixes."""
        return sum(len(chunk.keys) for chunk in self._chunks)

    def find(self, search_key: int) -> int:
        """Find the site of the longest prefix that covers a block.

        Args:
            search_key: First `block_bits` bits of an address, then a byte of
                ones, which sorts after all prefixes that start there.

        Returns:
            Site number; `NO_SITE` if no prefix covers the block.
        """
        first_keys = self._first_keys
        block = search_key
        while True:
            chunk_index = bisect_right(first_keys, search_key) - 1
            if chunk_index < 0:
                return NO_SITE
            chunk = self._chunks[chunk_index]
            keys = chunk.keys
            index = bisect_right(keys, search_key) - 1
            key = keys[index]
            if not (key ^ block) >> self._low_bits[key & 255]:
                return chunk.sites[index]
            parent = chunk.parents[index]
            if parent == _NO_PARENT:
                return NO_SITE
            shift = self._low_bits[parent]
            search_key = key >> shift << shift | parent

    def assign(self, key: int, site: int) -> None:
        """Add a prefix or change its site.

        Lookups see the table as it is before or after the call.

        Args:
            key: Key of the prefix.
            site: Site number.
        """
        entry = self._locate(key)
        if entry is not None:
            entry[0].sites[entry[1]] = site
            return
        length = key & _prefix.LENGTH_MASK
        parent = self._find_parent_length(key)
        self._insert(key, site, parent)
        self._translate_parents(key, _TRANSLATION_BY_LENGTH[length])

    def remove(self, key: int) -> bool:
        """Remove a prefix.

        Args:
            key: Key of the prefix.

        Returns:
            Whether the prefix was in the table.
        """
        entry = self._locate(key)
        if entry is None:
            return False
        chunk, index = entry
        translation = bytearray(range(256))
        translation[key & _prefix.LENGTH_MASK] = chunk.parents[index]
        self._translate_parents(key, bytes(translation))
        chunk_index = bisect_right(self._first_keys, key) - 1
        del chunk.keys[index], chunk.sites[index], chunk.parents[index]
        if not chunk.keys:
            del self._chunks[chunk_index], self._first_keys[chunk_index]
        elif index == 0:
            self._first_keys[chunk_index] = chunk.keys[0]
        return True

    def refresh(self, key: int) -> collections.abc.Iterator[int]:
        """Update derived state after a change; this class has none.

        Args:
            key: Key of the prefix that was added, changed or removed.
        """
        return iter(())

    def nested_prefixes(
        self, key: int
    ) -> collections.abc.Iterator[tuple[int, int]]:
        """Yield key and site of the prefixes nested in a prefix, sorted.

        Args:
            key: Key of the prefix, which need not be in the table.
        """
        end = self.family.end_key(key)
        chunk_index = max(0, bisect_right(self._first_keys, key) - 1)
        while (
            chunk_index < len(self._chunks)
            and self._first_keys[chunk_index] < end
        ):
            chunk = self._chunks[chunk_index]
            start = bisect_right(chunk.keys, key)
            stop = bisect_left(chunk.keys, end)
            yield from zip(chunk.keys[start:stop], chunk.sites[start:stop])
            chunk_index += 1

    def iter_chunks(
        self,
    ) -> collections.abc.Iterator[tuple[array.array[int], array.array[int]]]:
        """Yield the prefixes in sorted order, one chunk at a time."""
        for chunk in self._chunks:
            yield chunk.keys, chunk.sites

    def append(
        self, keys: array.array[int], sites: array.array[int]
    ) -> collections.abc.Iterator[bool]:
        """Append prefixes that sort after all others.

        Args:
            keys: Keys in ascending order.
            sites: Site number of each prefix.

        Yields:
            Whether the keys of each chunk were in ascending order; a chunk
            out of order is not appended and ends the iteration.
        """
        last_key = self._chunks[-1].keys[-1] if self._chunks else -1
        stack = self._enclosing_prefixes(last_key) if self._chunks else []
        for start in range(0, len(keys), INITIAL_CHUNK_SIZE):
            chunk_keys = keys[start : start + INITIAL_CHUNK_SIZE]
            parents = bytearray()
            for key in chunk_keys:
                if key <= last_key:
                    yield False
                    return
                last_key = key
                while stack and stack[-1][0] <= key:
                    stack.pop()
                parents.append(stack[-1][1] if stack else _NO_PARENT)
                length = key & _prefix.LENGTH_MASK
                stack.append((self.family.end_key(key), length))
            chunk = _Chunk(
                chunk_keys, sites[start : start + INITIAL_CHUNK_SIZE], parents
            )
            self._chunks.append(chunk)
            self._first_keys.append(chunk_keys[0])
            yield True

    def _enclosing_prefixes(self, last_key: int) -> list[tuple[int, int]]:
        """List (end key, length) of a prefix and its parents, longest last."""
        stack: list[tuple[int, int]] = []
        key = last_key
        while True:
            length = key & _prefix.LENGTH_MASK
            stack.append((self.family.end_key(key), length))
            entry = self._locate(key)
            if entry is None or entry[0].parents[entry[1]] == _NO_PARENT:
                return stack[::-1]
            parent = entry[0].parents[entry[1]] + self.family.min_length
            key = self.family.covering_key(key >> _prefix.LENGTH_BITS, parent)

    def _locate(self, key: int) -> tuple[_Chunk, int] | None:
        chunk_index = bisect_right(self._first_keys, key) - 1
        if chunk_index < 0:
            return None
        chunk = self._chunks[chunk_index]
        index = bisect_left(chunk.keys, key)
        if index == len(chunk.keys) or chunk.keys[index] != key:
            return None
        return chunk, index

    def _find_parent_length(self, key: int) -> int:
        """Find the length of the longest enclosing prefix of a new prefix.

        If there is one, the predecessor of the key is that prefix or nested in
        it, so the search starts at the predecessor and follows the parents.
        """
        block = key >> _prefix.LENGTH_BITS
        search_key = key
        while True:
            chunk_index = bisect_right(self._first_keys, search_key) - 1
            if chunk_index < 0:
                return _NO_PARENT
            chunk = self._chunks[chunk_index]
            index = bisect_right(chunk.keys, search_key) - 1
            nearest = chunk.keys[index]
            if self.family.end_key(nearest) > block << _prefix.LENGTH_BITS:
                return nearest & _prefix.LENGTH_MASK
            parent = chunk.parents[index]
            if parent == _NO_PARENT:
                return _NO_PARENT
            search_key = self.family.covering_key(
                nearest >> _prefix.LENGTH_BITS, parent + self.family.min_length
            )

    def _insert(self, key: int, site: int, parent: int) -> None:
        if not self._chunks:
            keys = array.array(self.family.typecode, [key])
            sites = array.array('H', [site])
            self._chunks.append(_Chunk(keys, sites, bytearray([parent])))
            self._first_keys.append(key)
            return
        chunk_index = max(0, bisect_right(self._first_keys, key) - 1)
        chunk = self._chunks[chunk_index]
        index = bisect_left(chunk.keys, key)
        chunk.keys.insert(index, key)
        chunk.sites.insert(index, site)
        chunk.parents.insert(index, parent)
        self._first_keys[chunk_index] = chunk.keys[0]
        if len(chunk.keys) <= _MAX_CHUNK_SIZE:
            return
        half = len(chunk.keys) // 2
        upper = _Chunk(
            chunk.keys[half:], chunk.sites[half:], chunk.parents[half:]
        )
        self._chunks[chunk_index] = _Chunk(
            chunk.keys[:half], chunk.sites[:half], chunk.parents[:half]
        )
        self._chunks.insert(chunk_index + 1, upper)
        self._first_keys.insert(chunk_index + 1, upper.keys[0])

    def _translate_parents(self, key: int, translation: bytes) -> None:
        """Translate the parents of all prefixes nested in a prefix."""
        end = self.family.end_key(key)
        chunk_index = bisect_right(self._first_keys, key) - 1
        while (
            chunk_index < len(self._chunks)
            and self._first_keys[chunk_index] < end
        ):
            chunk = self._chunks[chunk_index]
            start = bisect_right(chunk.keys, key)
            stop = bisect_left(chunk.keys, end)
            parents = chunk.parents[start:stop]
            chunk.parents[start:stop] = parents.translate(translation)
            chunk_index += 1
