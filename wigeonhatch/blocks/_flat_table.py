"""Table of IPv4 prefixes with the site of each block beside it."""

from __future__ import annotations

import array
import collections.abc

from wigeonhatch.blocks import _prefix
from wigeonhatch.blocks import _prefix_table

_PAGE_BITS = 16
_PAGE_BLOCKS = 1 << _PAGE_BITS
_PAGES = 1 << (_prefix.IPV4.block_bits - _PAGE_BITS)
# Parts of 1,024 blocks, which hold up to 2,047 prefixes, held lookups for
# 9 ms at 4.5 million prefixes together with other changes.
_PART_BITS = 8


class FlatTable(_prefix_table.PrefixTable):
    """Longest-prefix table for IPv4 that answers from an array.

    The space of /24 blocks is small enough to keep the site of each block,
    33 MB in total, in pages that are allocated when a prefix needs them.
    After a change, `refresh` brings the pages up to date.
    """

    def __init__(self) -> None:
        super().__init__(_prefix.IPV4)
        # Site number plus one; 0 for none.
        self._pages: list[array.array[int] | None] = [None] * _PAGES

    def find(self, wanted: int) -> int:
        """Find the site of a block; see `PrefixTable.find`."""
        page = self._pages[wanted >> 24]
        return (
            _prefix_table.NO_SITE
            if page is None
            else (page[wanted >> 8 & 0xFFFF] - 1)
        )

    def append(
        self, keys: array.array[int], sites: array.array[int]
    ) -> collections.abc.Iterator[bool]:
        """Append prefixes; see `PrefixTable.append`."""
        start = 0
        for is_sorted in super().append(keys, sites):
            end = min(len(keys), start + _prefix_table.FILL)
            if is_sorted:
                # A prefix sorts before those inside it, which then cover it.
                for at in range(start, end):
                    self._paint(keys[at], sites[at])
            start = end
            yield is_sorted

    def refresh(self, key: int) -> collections.abc.Iterator[int]:
        """Bring the blocks of a prefix up to date after its change.

        Args:
            key: Key of the prefix.

        Yields:
            The number of blocks, after each part of at most 256.
        """
        family = self.family
        length = max(
            (key & _prefix.LENGTH_MASK) + family.min_length,
            family.block_bits - _PART_BITS,
        )
        size = 1 << (family.block_bits - length)
        first = key >> _prefix.LENGTH_BITS
        last = family.end_key(key) >> _prefix.LENGTH_BITS
        for start in range(first, last, size):
            # Every prefix covers all of this part or lies inside it.
            whole = start << _prefix.LENGTH_BITS | (length - family.min_length)
            part = array.array('H', [super().find(whole) + 1]) * size
            for inner, site in self.nested_prefixes(whole):
                at = (inner >> _prefix.LENGTH_BITS) - start
                end = (family.end_key(inner) >> _prefix.LENGTH_BITS) - start
                part[at:end] = array.array('H', [site + 1]) * (end - at)
            page = self._page(start >> _PAGE_BITS)
            offset = start & (_PAGE_BLOCKS - 1)
            page[offset : offset + size] = part
            yield size

    def _paint(self, key: int, site: int) -> None:
        first = key >> _prefix.LENGTH_BITS
        page = self._page(first >> _PAGE_BITS)
        size = 1 << (
            self.family.block_bits
            - self.family.min_length
            - (key & _prefix.LENGTH_MASK)
        )
        offset = first & (_PAGE_BLOCKS - 1)
        if size == 1:
            page[offset] = site + 1
        else:
            page[offset : offset + size] = array.array('H', [site + 1]) * size

    def _page(self, number: int) -> array.array[int]:
        page = self._pages[number]
        if page is None:
            page = array.array('H', bytes(2 * _PAGE_BLOCKS))
            self._pages[number] = page
        return page
