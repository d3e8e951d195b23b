"""Cost of the block map at several sizes, and of alternative structures.

Run with `python -m benchmarks.block_map [SIZE ...]`, or with
`--alternatives` for a comparison at the largest size.
"""

from __future__ import annotations

import array
import bisect
import collections.abc
import dataclasses
import gc
import ipaddress
import random
import sys
import time
import tracemalloc
import typing

import anyio

from wigeonhatch import outcome
from wigeonhatch.blocks import _flat_table
from wigeonhatch.blocks import _prefix
from wigeonhatch.blocks import _prefix_table
from wigeonhatch.blocks import block_diff
from wigeonhatch.blocks import block_map
from wigeonhatch.steering import buckets

_Argument = typing.TypeVar('_Argument')
SIZES = (500_000, 1_500_000, 4_500_000)
SITES = 2_200
GOAL_BYTES = 100_000_000
GOAL_LOOKUP_US = 2.0
GOAL_PAUSE_MS = 5.0
_SEED = 1
_LOOKUPS = 200_000
_CHANGES = 20_000
_IPV4_FRACTION = 0.75


@dataclasses.dataclass(frozen=True, slots=True)
class Prefixes:
    """Random prefixes of both address families, sorted by key."""

    keys_by_version: dict[int, array.array[int]]
    sites_by_version: dict[int, array.array[int]]

    def draw_address(self, rng: random.Random) -> str:
        """Draw an address within a random prefix."""
        version = 4 if rng.random() < _IPV4_FRACTION else 6
        keys = self.keys_by_version[version]
        return _to_address(_family(version), keys[rng.randrange(len(keys))])


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """Figures for one number of prefixes.

    Args:
        size: Number of prefixes.
        memory_bytes: Memory allocated by loading the object.
        encoded_bytes: Size of the encoded object.
        lookup_us: Mean processor time of a lookup by client block.
        text_us: Mean processor time of a lookup by address, with parsing.
        change_us: Mean time to apply one change of a diff.
        diff_pause_ms: Longest slice of work in applying a diff.
        load_ms: Time to load the object.
        load_pause_ms: Longest delay of another task while loading.
    """

    size: int
    memory_bytes: int
    encoded_bytes: int
    lookup_us: float
    text_us: float
    change_us: float
    diff_pause_ms: float
    load_ms: float
    load_pause_ms: float


def _family(version: int) -> _prefix.Family:
    return _prefix.IPV4 if version == 4 else _prefix.IPV6


def _to_address(family: _prefix.Family, key: int) -> str:
    block = key >> _prefix.LENGTH_BITS
    value = block << (family.address_bits - family.block_bits) | 1
    if family.version == 4:
        return str(ipaddress.IPv4Address(value))
    return str(ipaddress.IPv6Address(value))


def _format_prefix(family: _prefix.Family, key: int) -> str:
    length = (key & _prefix.LENGTH_MASK) + family.min_length
    block = key >> _prefix.LENGTH_BITS
    value = block << (family.address_bits - family.block_bits)
    if family.version == 4:
        return f'{ipaddress.IPv4Address(value)}/{length}'
    return f'{ipaddress.IPv6Address(value)}/{length}'


def draw_prefixes(size: int) -> Prefixes:
    """Draw distinct random prefixes of mixed lengths.

    Two thirds have the greatest length of their family. The others have one
    of the eight (IPv4) or sixteen (IPv6) next shorter lengths, and one in a
    thousand has any length, so that most blocks are nested.
    """
    rng = random.Random(_SEED)
    keys_by_version: dict[int, array.array[int]] = {}
    sites_by_version: dict[int, array.array[int]] = {}
    for version, fraction in ((4, _IPV4_FRACTION), (6, 1 - _IPV4_FRACTION)):
        drawn: set[int] = set()
        while len(drawn) < size * fraction:
            drawn.add(_draw_key(version, rng))
        typecode = _family(version).typecode
        keys_by_version[version] = array.array(typecode, sorted(drawn))
        sites_by_version[version] = array.array(
            'H', (rng.randrange(SITES) for _ in drawn)
        )
    return Prefixes(keys_by_version, sites_by_version)


def _draw_key(version: int, rng: random.Random) -> int:
    family = _family(version)
    length = family.block_bits
    draw = rng.random()
    if draw > 0.999:
        length = rng.randint(family.min_length, family.block_bits)
    elif draw > 0.667:
        length -= rng.randint(1, 8 if version == 4 else 16)
    # Allocated IPv6 space is dense in 2000::/8.
    block = (
        rng.getrandbits(24)
        if version == 4
        else 0x20 << 40 | rng.getrandbits(40)
    )
    return family.covering_key(block, length)


def build(prefixes: Prefixes) -> block_map.BlockMap:
    """Build a map directly from keys, without parsing prefixes."""
    random_map = block_map.BlockMap(1)
    for index in range(SITES):
        random_map._put_site(block_diff.Site(f'site-{index}'))
    for version in (4, 6):
        appended = random_map._table(version).append(
            prefixes.keys_by_version[version],
            prefixes.sites_by_version[version],
        )
        assert all(appended)
    return random_map


def mean_us(
    call: collections.abc.Callable[[_Argument], object],
    arguments: list[_Argument],
) -> float:
    """Return the mean processor time of a call in us, in the best of 5 rounds.

    Processor time and the best round exclude the load of other processes.
    """
    best = float('inf')
    for _ in range(5):
        started = time.process_time()
        for argument in arguments:
            call(argument)
        best = min(best, time.process_time() - started)
    return best / len(arguments) * 1e6


def draw_diff(prefixes: Prefixes, rng: random.Random) -> block_diff.BlockDiff:
    """Draw a diff that removes, moves and adds prefixes in equal numbers."""
    removed: list[str] = []
    assigned: list[tuple[str, str]] = []
    for index in range(_CHANGES):
        version = 4 if rng.random() < _IPV4_FRACTION else 6
        family = _family(version)
        keys = prefixes.keys_by_version[version]
        key = keys[rng.randrange(len(keys))]
        text = _format_prefix(family, key)
        site = f'site-{rng.randrange(SITES)}'
        if index % 3 == 0:
            removed.append(text)
        elif index % 3 == 1:
            assigned.append((text, site))
        else:
            key = _draw_key(version, rng)
            assigned.append((_format_prefix(family, key), site))
    return block_diff.BlockDiff(1, 2, removed, assigned)


def _longest_slice_ms(slices: collections.abc.Iterator[object]) -> float:
    longest = 0.0
    while True:
        started = time.perf_counter()
        result = next(slices, slices)
        longest = max(longest, time.perf_counter() - started)
        if result is slices:
            return longest * 1_000


async def _load(data: bytes) -> tuple[float, float]:
    """Measure the time to load and the longest delay of another task in ms."""
    longest = 0.0
    is_loading = True

    async def measure_delay() -> None:
        nonlocal longest
        before = time.perf_counter()
        while is_loading:
            await anyio.lowlevel.checkpoint()
            now = time.perf_counter()
            longest = max(longest, now - before)
            before = now

    started = time.perf_counter()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(measure_delay)
        await anyio.lowlevel.checkpoint()
        loaded = await block_map.load_block_map(data)
        is_loading = False
    assert isinstance(loaded, outcome.Success)
    return (time.perf_counter() - started) * 1_000, longest * 1_000


def measure(size: int) -> Figures:
    """Measure the block map with one number of prefixes."""
    prefixes = draw_prefixes(size)
    rng = random.Random(_SEED)
    data = build(prefixes).encode()
    load_ms, load_pause_ms = anyio.run(_load, data)
    gc.collect()
    tracemalloc.start()
    loaded = anyio.run(block_map.load_block_map, data)
    gc.collect()
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert isinstance(loaded, outcome.Success)
    addresses = [prefixes.draw_address(rng) for _ in range(_LOOKUPS)]
    blocks = [buckets.client_block(item) or b'' for item in addresses]
    lookup_us = mean_us(loaded.value.find_site_by_block, blocks)
    text_us = mean_us(loaded.value.find_site, addresses)
    diff = draw_diff(prefixes, rng)
    started = time.perf_counter()
    pause_ms = _longest_slice_ms(loaded.value.apply_slices(diff))
    change_us = (time.perf_counter() - started) / _CHANGES * 1e6
    assert loaded.value.version == 2
    return Figures(
        size,
        memory_bytes,
        len(data),
        lookup_us,
        text_us,
        change_us,
        pause_ms,
        load_ms,
        load_pause_ms,
    )


def slope(points: list[tuple[float, float]]) -> float:
    """Fit a line by least squares and return its slope."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    squares = sum((x - mean_x) ** 2 for x, _ in points)
    return sum((x - mean_x) * (y - mean_y) for x, y in points) / squares


def report(sizes: collections.abc.Iterable[int] = SIZES) -> bool:
    """Measure all sizes and print the figures below the goals.

    Returns:
        Whether every goal is met.
    """
    print(
        'prefixes  memory MB  object MB  lookup us  by text us  '
        'change us  diff pause ms  load ms  load pause ms'
    )
    print(
        f'{"goal":>8}  {GOAL_BYTES / 1e6:9.0f}  {"":9}  '
        f'{GOAL_LOOKUP_US:9.2f}  {"":10}  {"":9}  '
        f'{GOAL_PAUSE_MS:13.1f}  {"":7}  {GOAL_PAUSE_MS:13.1f}'
    )
    all_figures = []
    for size in sizes:
        figures = measure(size)
        all_figures.append(figures)
        print(
            f'{figures.size:8}  {figures.memory_bytes / 1e6:9.1f}  '
            f'{figures.encoded_bytes / 1e6:9.1f}  {figures.lookup_us:9.2f}  '
            f'{figures.text_us:10.2f}  {figures.change_us:9.1f}  '
            f'{figures.diff_pause_ms:13.2f}  {figures.load_ms:7.0f}  '
            f'{figures.load_pause_ms:13.2f}'
        )
    if len(all_figures) > 1:
        memory = slope([(f.size, f.memory_bytes) for f in all_figures])
        lookup = slope([(f.size / 1e6, f.lookup_us) for f in all_figures])
        print(f'memory slope: {memory:.2f} bytes for each prefix')
        print(f'lookup slope: {lookup:.3f} us for each million prefixes')
    return all(
        item.memory_bytes < GOAL_BYTES
        and item.lookup_us < GOAL_LOOKUP_US
        and item.diff_pause_ms < GOAL_PAUSE_MS
        and item.load_pause_ms < GOAL_PAUSE_MS
        for item in all_figures
    )


def _compare(
    name: str,
    build_table: collections.abc.Callable[
        [], tuple[object, collections.abc.Callable[[int], int]]
    ],
    blocks: list[int],
    change: collections.abc.Callable[[object, int], None],
) -> None:
    gc.collect()
    tracemalloc.start()
    table, find = build_table()
    gc.collect()
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    lookup_us = mean_us(find, blocks)
    longest = total = 0.0
    for block in blocks[:500]:
        started = time.perf_counter()
        change(table, block)
        elapsed = time.perf_counter() - started
        longest = max(longest, elapsed)
        total += elapsed
    print(
        f'{name:28}  {memory_bytes / 1e6:9.1f}  {lookup_us:9.2f}  '
        f'{total / 500 * 1e6:9.1f}  {longest * 1e3:17.2f}'
    )


def compare_alternatives(size: int = SIZES[-1]) -> None:
    """Compare alternative structures with the IPv4 prefixes."""
    prefixes = draw_prefixes(size)
    family = _prefix.IPV4
    keys, sites = prefixes.keys_by_version[4], prefixes.sites_by_version[4]
    rng = random.Random(_SEED)
    blocks = [
        keys[rng.randrange(len(keys))] >> _prefix.LENGTH_BITS
        for _ in range(_LOOKUPS)
    ]
    print(f'{len(keys)} IPv4 prefixes; changes add a prefix of 22 bits')
    print(f'{"":28}  memory MB  lookup us  change us  longest change ms')

    def build_chunks() -> tuple[object, collections.abc.Callable[[int], int]]:
        table = _prefix_table.PrefixTable(family)
        assert all(table.append(keys, sites))
        return table, lambda block: table.find(block << 8 | 255)

    def change_chunks(table: object, block: int) -> None:
        assert isinstance(table, _prefix_table.PrefixTable)
        table.assign(family.covering_key(block, 22), 1)

    def build_flat() -> tuple[object, collections.abc.Callable[[int], int]]:
        table = _flat_table.FlatTable()
        assert all(table.append(keys, sites))
        return table, lambda block: table.find(block << 8 | 255)

    def change_flat(table: object, block: int) -> None:
        assert isinstance(table, _flat_table.FlatTable)
        key = family.covering_key(block, 22)
        table.assign(key, 1)
        for _ in table.refresh(key):
            pass

    def build_dict() -> tuple[object, collections.abc.Callable[[int], int]]:
        site_by_key = dict(zip(keys, sites))

        def find(block: int) -> int:
            for length in range(family.block_bits, family.min_length - 1, -1):
                site = site_by_key.get(family.covering_key(block, length))
                if site is not None:
                    return site
            return -1

        return site_by_key, find

    def change_dict(table: object, block: int) -> None:
        assert isinstance(table, dict)
        table[family.covering_key(block, 22)] = 1

    def build_array() -> tuple[object, collections.abc.Callable[[int], int]]:
        starts, values = _flatten(family, keys, sites)

        def find(block: int) -> int:
            return values[bisect.bisect_right(starts, block) - 1]

        return (starts, values), find

    def change_array(table: object, block: int) -> None:
        assert isinstance(table, tuple)
        starts, values = table
        index = bisect.bisect_right(starts, block)
        starts.insert(index, block)
        values.insert(index, 1)

    def build_pages() -> tuple[object, collections.abc.Callable[[int], int]]:
        flat = array.array('H')
        starts, values = _flatten(family, keys, sites)
        ends = [*starts[1:], 1 << family.block_bits]
        for start, end, value in zip(starts, ends, values):
            flat.extend(array.array('H', [max(0, value)]) * (end - start))
        pages = [flat[i : i + 256] for i in range(0, len(flat), 256)]
        del flat, starts, values, ends
        lengths = bytearray(1 << family.block_bits)

        def find(block: int) -> int:
            return pages[block >> 8][block & 255]

        return (pages, lengths), find

    def change_pages(table: object, block: int) -> None:
        assert isinstance(table, tuple)
        pages, lengths = table
        first = block >> 2 << 2
        for covered in range(first, first + 4):
            if lengths[covered] <= 22:
                pages[covered >> 8][covered & 255] = 1
                lengths[covered] = 22

    _compare('chunks and array (IPv4)', build_flat, blocks, change_flat)
    _compare('sorted chunks (IPv6)', build_chunks, blocks, change_chunks)
    _compare('dict by length and prefix', build_dict, blocks, change_dict)
    _compare('flat ranges, one array', build_array, blocks, change_array)
    _compare('page table with lengths', build_pages, blocks, change_pages)


def _flatten(
    family: _prefix.Family, keys: array.array[int], sites: array.array[int]
) -> tuple[array.array[int], array.array[int]]:
    """Convert prefixes to disjoint ranges; return first blocks and sites."""
    starts, values = array.array('I'), array.array('i')

    def add_range(start: int, value: int) -> None:
        if starts and starts[-1] == start:
            values[-1] = value
        elif not values or values[-1] != value:
            starts.append(start)
            values.append(value)

    add_range(0, -1)
    stack: list[tuple[int, int]] = []
    for key, site in zip(keys, sites):
        start = key >> _prefix.LENGTH_BITS
        while stack and stack[-1][0] <= start:
            end, _ = stack.pop()
            add_range(end, stack[-1][1] if stack else -1)
        add_range(start, site)
        end = family.end_key(key) >> _prefix.LENGTH_BITS
        stack.append((end, site))
    while stack:
        end, _ = stack.pop()
        add_range(end, stack[-1][1] if stack else -1)
    return starts, values


def main(arguments: list[str]) -> int:
    """Run the benchmark; return 0 if all goals are met, else 1."""
    sizes = [int(text) for text in arguments if text.isdecimal()]
    if '--alternatives' in arguments:
        compare_alternatives(max(sizes or SIZES))
        return 0
    return 0 if report(sizes or SIZES) else 1


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
