"""Compact table of prefixes for longest-prefix lookups."""

from __future__ import annotations

import array
from bisect import bisect_left
from bisect import bisect_right
import collections.abc

from wigeonhatch.blocks import _prefix

# Inserting into a larger chunk moves more memory; a smaller one adds more
# objects. Both cost less than the key parsing at this size.
_MAX_CHUNK = 512
FILL = 384
_NO_PARENT = 255
NO_SITE = -1
_MAX_LENGTHS = 32
# Parents of the prefixes inside a new prefix of each length: a shorter parent
# is replaced by the new prefix, a longer one stays.
_TABLE_BY_LENGTH = [
    bytes(
        length if value == _NO_PARENT or value < length else value
        for value in range(256)
    )
    for length in range(_MAX_LENGTHS)
]


class _Chunk:
    """Consecutive prefixes in sorted order.

    Args:
        keys: Keys of the prefixes.
        sites: Number of the site of each prefix.
        parents: Length of the longest prefix around each prefix, less the
            family's shortest length; `_NO_PARENT` if there is none.
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
    """Longest-prefix table of one family.

    Prefixes are kept once, in sorted chunks of arrays. The last prefix that
    starts at or before a block is the longest that covers it, unless that
    prefix ends before the block; in that case the search continues with the
    prefix around it.

    Args:
        family: Family of the addresses.
    """

    def __init__(self, family: _prefix.Family) -> None:
        self.family = family
        # Bits of a key behind the prefix, by the length in the key.
        self._low_bits = [
            family.block_bits - length + _prefix.LENGTH_BITS
            for length in range(family.min_length, family.block_bits + 1)
        ]
        self._chunks: list[_Chunk] = []
        self._first_keys: list[int] = []

    def __len__(self) -> int:
        """Count the prefixes."""
        return sum(len(chunk.keys) for chunk in self._chunks)

    def find(self, wanted: int) -> int:
        """Find the site of the longest prefix that covers a block.

        Args:
            wanted: First `block_bits` bits of an address, and a byte of
                ones, which sorts behind all prefixes that start there.

        Returns:
            Number of the site; -1 if no prefix covers the block.
        """
        first_keys = self._first_keys
        block = wanted
        while True:
            at = bisect_right(first_keys, wanted) - 1
            if at < 0:
                return NO_SITE
            chunk = self._chunks[at]
            keys = chunk.keys
            index = bisect_right(keys, wanted) - 1
            key = keys[index]
            if not (key ^ block) >> self._low_bits[key & 255]:
                return chunk.sites[index]
            parent = chunk.parents[index]
            if parent == _NO_PARENT:
                return NO_SITE
            low = self._low_bits[parent]
            wanted = key >> low << low | parent

    def assign(self, key: int, site: int) -> None:
        """Add a prefix or change its site.

        Lookups between any two calls see the state before or after.

        Args:
            key: Key of the prefix.
            site: Number of the site.
        """
        place = self._place(key)
        if place is not None:
            place[0].sites[place[1]] = site
            return
        length = key & _prefix.LENGTH_MASK
        parent = self._enclosing(key)
        self._insert(key, site, parent)
        self._translate_parents(key, _TABLE_BY_LENGTH[length])

    def remove(self, key: int) -> bool:
        """Remove a prefix.

        Args:
            key: Key of the prefix.

        Returns:
            Whether the prefix was in the table.
        """
        place = self._place(key)
        if place is None:
            return False
        chunk, index = place
        table = bytearray(range(256))
        table[key & _prefix.LENGTH_MASK] = chunk.parents[index]
        self._translate_parents(key, bytes(table))
        at = bisect_right(self._first_keys, key) - 1
        del chunk.keys[index], chunk.sites[index], chunk.parents[index]
        if not chunk.keys:
            del self._chunks[at], self._first_keys[at]
        elif index == 0:
            self._first_keys[at] = chunk.keys[0]
        return True

    def refresh(self, key: int) -> collections.abc.Iterator[int]:
        """Bring derived state up to date after a change; there is none.

        Args:
            key: Key of the prefix that was added, changed or removed.
        """
        return iter(())

    def nested_prefixes(
        self, key: int
    ) -> collections.abc.Iterator[tuple[int, int]]:
        """Yield key and site of the prefixes inside a prefix, sorted.

        Args:
            key: Key of the prefix, which need not be in the table.
        """
        end = self.family.end_key(key)
        at = max(0, bisect_right(self._first_keys, key) - 1)
        while at < len(self._chunks) and self._first_keys[at] < end:
            chunk = self._chunks[at]
            start = bisect_right(chunk.keys, key)
            stop = bisect_left(chunk.keys, end)
            yield from zip(chunk.keys[start:stop], chunk.sites[start:stop])
            at += 1

    def iter_chunks(
        self,
    ) -> collections.abc.Iterator[tuple[array.array[int], array.array[int]]]:
        """Yield the prefixes in sorted order, one chunk at a time."""
        for chunk in self._chunks:
            yield chunk.keys, chunk.sites

    def append(
        self, keys: array.array[int], sites: array.array[int]
    ) -> collections.abc.Iterator[bool]:
        """Append prefixes that sort behind all others.

        Args:
            keys: Keys in ascending order.
            sites: Number of the site of each.

        Yields:
            After each chunk, whether its keys were in order; a chunk that
            is not in order is not appended and ends the iteration.
        """
        last = self._chunks[-1].keys[-1] if self._chunks else -1
        stack = self._open_prefixes(last) if self._chunks else []
        for start in range(0, len(keys), FILL):
            part = keys[start : start + FILL]
            parents = bytearray()
            for key in part:
                if key <= last:
                    yield False
                    return
                last = key
                while stack and stack[-1][0] <= key:
                    stack.pop()
                parents.append(stack[-1][1] if stack else _NO_PARENT)
                length = key & _prefix.LENGTH_MASK
                stack.append((self.family.end_key(key), length))
            chunk = _Chunk(part, sites[start : start + FILL], parents)
            self._chunks.append(chunk)
            self._first_keys.append(part[0])
            yield True

    def _open_prefixes(self, last: int) -> list[tuple[int, int]]:
        """List the last prefix and those around it, longest last."""
        stack: list[tuple[int, int]] = []
        key = last
        while True:
            length = key & _prefix.LENGTH_MASK
            stack.append((self.family.end_key(key), length))
            place = self._place(key)
            if place is None or place[0].parents[place[1]] == _NO_PARENT:
                return stack[::-1]
            parent = place[0].parents[place[1]] + self.family.min_length
            key = self.family.covering_key(key >> _prefix.LENGTH_BITS, parent)

    def _place(self, key: int) -> tuple[_Chunk, int] | None:
        at = bisect_right(self._first_keys, key) - 1
        if at < 0:
            return None
        chunk = self._chunks[at]
        index = bisect_left(chunk.keys, key)
        if index == len(chunk.keys) or chunk.keys[index] != key:
            return None
        return chunk, index

    def _enclosing(self, key: int) -> int:
        """Find the length of the longest prefix around a new prefix.

        The key sorts directly behind the prefixes around it and what they
        contain, so the search follows parents from its predecessor.
        """
        block = key >> _prefix.LENGTH_BITS
        wanted = key
        while True:
            at = bisect_right(self._first_keys, wanted) - 1
            if at < 0:
                return _NO_PARENT
            chunk = self._chunks[at]
            index = bisect_right(chunk.keys, wanted) - 1
            found = chunk.keys[index]
            if self.family.end_key(found) > block << _prefix.LENGTH_BITS:
                return found & _prefix.LENGTH_MASK
            parent = chunk.parents[index]
            if parent == _NO_PARENT:
                return _NO_PARENT
            wanted = self.family.covering_key(
                found >> _prefix.LENGTH_BITS, parent + self.family.min_length
            )

    def _insert(self, key: int, site: int, parent: int) -> None:
        if not self._chunks:
            keys = array.array(self.family.typecode, [key])
            sites = array.array('H', [site])
            self._chunks.append(_Chunk(keys, sites, bytearray([parent])))
            self._first_keys.append(key)
            return
        at = max(0, bisect_right(self._first_keys, key) - 1)
        chunk = self._chunks[at]
        index = bisect_left(chunk.keys, key)
        chunk.keys.insert(index, key)
        chunk.sites.insert(index, site)
        chunk.parents.insert(index, parent)
        self._first_keys[at] = chunk.keys[0]
        if len(chunk.keys) <= _MAX_CHUNK:
            return
        half = len(chunk.keys) // 2
        upper = _Chunk(
            chunk.keys[half:], chunk.sites[half:], chunk.parents[half:]
        )
        self._chunks[at] = _Chunk(
            chunk.keys[:half], chunk.sites[:half], chunk.parents[:half]
        )
        self._chunks.insert(at + 1, upper)
        self._first_keys.insert(at + 1, upper.keys[0])

    def _translate_parents(self, key: int, table: bytes) -> None:
        """Replace the parents of all prefixes inside a prefix."""
        end = self.family.end_key(key)
        at = bisect_right(self._first_keys, key) - 1
        while at < len(self._chunks) and self._first_keys[at] < end:
            chunk = self._chunks[at]
            start = bisect_right(chunk.keys, key)
            stop = bisect_left(chunk.keys, end)
            part = chunk.parents[start:stop]
            chunk.parents[start:stop] = part.translate(table)
            at += 1
