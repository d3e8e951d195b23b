"""IPv4 prefix table with a direct lookup array of blocks."""

from __future__ import annotations

import array
import collections.abc

from wigeonhatch.blocks import _prefix
from wigeonhatch.blocks import _prefix_table

_PAGE_BITS = 16
_PAGE_BLOCKS = 1 << _PAGE_BITS
_PAGE_COUNT = 1 << (_prefix.IPV4.block_bits - _PAGE_BITS)
# Ranges of 1,024 blocks, which contain up to 2,047 prefixes, together with
# other changes delayed lookups by 9 ms in a table of 4.5 million prefixes.
_RANGE_BITS = 8


class FlatTable(_prefix_table.PrefixTable):
    """Longest-prefix table for IPv4 with array lookups.

    The /24 blocks are few enough to store the site of each, 33 MB in total,
    in pages that are allocated when a prefix first needs them. After a
    change, `refresh` updates the pages.
    """

    def __init__(self) -> None:
        super().__init__(_prefix.IPV4)
        # Site number of each block plus one; 0 for none.
        self._pages: list[array.array[int] | None] = [None] * _PAGE_COUNT

    def find(self, search_key: int) -> int:
        """Find the site of a block; see `PrefixTable.find`."""
        page = self._pages[search_key >> 24]
        return (
            _prefix_table.NO_SITE
            if page is None
            else (page[search_key >> 8 & 0xFFFF] - 1)
        )

    def append(
        self, keys: array.array[int], sites: array.array[int]
    ) -> collections.abc.Iterator[bool]:
        """Append prefixes; see `PrefixTable.append`."""
        start = 0
        for is_sorted in super().append(keys, sites):
            end = min(len(keys), start + _prefix_table.INITIAL_CHUNK_SIZE)
            if is_sorted:
                # A prefix sorts before its nested prefixes, which replace it.
                for index in range(start, end):
                    self._set_blocks(keys[index], sites[index])
            start = end
            yield is_sorted

    def refresh(self, key: int) -> collections.abc.Iterator[int]:
        """Update the blocks of a prefix after it has changed.

        Args:
            key: Key of the prefix that was added, changed or removed.

        Yields:
            The number of blocks in each updated range, at most 256.
        """
        family = self.family
        length = max(
            (key & _prefix.LENGTH_MASK) + family.min_length,
            family.block_bits - _RANGE_BITS,
        )
        size = 1 << (family.block_bits - length)
        first_block = key >> _prefix.LENGTH_BITS
        end_block = family.end_key(key) >> _prefix.LENGTH_BITS
        for start in range(first_block, end_block, size):
            # Each overlapping prefix covers this range or is nested in it.
            range_key = start << _prefix.LENGTH_BITS | (
                length - family.min_length
            )
            sites = array.array('H', [super().find(range_key) + 1]) * size
            for nested, site in self.nested_prefixes(range_key):
                index = (nested >> _prefix.LENGTH_BITS) - start
                end = (family.end_key(nested) >> _prefix.LENGTH_BITS) - start
                sites[index:end] = array.array('H', [site + 1]) * (end - index)
            page = self._get_page(start >> _PAGE_BITS)
            offset = start & (_PAGE_BLOCKS - 1)
            page[offset : offset + size] = sites
            yield size

    def _set_blocks(self, key: int, site: int) -> None:
        first_block = key >> _prefix.LENGTH_BITS
        page = self._get_page(first_block >> _PAGE_BITS)
        size = 1 << (
            self.family.block_bits
            - self.family.min_length
            - (key & _prefix.LENGTH_MASK)
        )
        offset = first_block & (_PAGE_BLOCKS - 1)
        if size == 1:
            page[offset] = site + 1
        else:
            page[offset : offset + size] = array.array('H', [site + 1]) * size

    def _get_page(self, number: int) -> array.array[int]:
        page = self._pages[number]
        if page is None:
            page = array.array('H', bytes(2 * _PAGE_BLOCKS))
            self._pages[number] = page
        return page
