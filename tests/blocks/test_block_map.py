"""Tests of the block map against a reference model."""

from __future__ import annotations

import ipaddress
import random

import anyio
import hypothesis
from hypothesis import strategies

from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.blocks import block_diff
from wigeonhatch.blocks import block_map

SITES = [block_diff.Site(f'site-{index}', ('north',)) for index in range(5)]


def _random_prefix(rng: random.Random) -> str:
    """Draw a prefix from a small address space, so that many are nested."""
    if rng.random() < 0.5:
        address = 10 << 24 | rng.getrandbits(3) << 16 | rng.getrandbits(3) << 8
        return str(
            ipaddress.ip_network((address, rng.randint(8, 24)), strict=False)
        )
    address = 0x20010DB8 << 96 | rng.getrandbits(6) << 80
    return str(
        ipaddress.ip_network((address, rng.randint(20, 48)), strict=False)
    )


def _expected_site(model: dict[str, str], address: str) -> str | None:
    parsed = ipaddress.ip_address(address)
    networks = [
        net
        for net in map(ipaddress.ip_network, model)
        if net.version == parsed.version and parsed in net
    ]
    if not networks:
        return None
    return model[str(max(networks, key=lambda net: net.prefixlen))]


def _random_addresses(rng: random.Random) -> list[str]:
    return [
        f'10.{rng.randrange(9)}.{rng.randrange(9)}.7',
        f'2001:db8:{rng.randrange(70):x}::1',
        f'2001:d{rng.randrange(16):x}8::1',
    ]


def _assert_equal(
    blocks: block_map.BlockMap, model: dict[str, str], rng: random.Random
) -> None:
    for address in _random_addresses(rng):
        site = blocks.find_site(address)
        assert (site and site.name) == _expected_site(model, address), address


@hypothesis.settings(derandomize=True, deadline=None, max_examples=12)
@hypothesis.given(strategies.integers(0, 10**6))
def test_lookups_follow_the_longest_prefix(seed: int) -> None:
    """Guards against wrong sites after adding and removing prefixes.

    Also checks a map decoded from the encoding, since decoding rebuilds the
    parents of nested prefixes.
    """
    rng = random.Random(seed)
    blocks = block_map.BlockMap()
    model: dict[str, str] = {}
    for version in range(8):
        removed = rng.sample(sorted(model), min(len(model), 15))
        assigned = {
            _random_prefix(rng): rng.choice(SITES).name
            for _ in range(rng.randrange(60))
        }
        assigned = {
            net: name for net, name in assigned.items() if net not in removed
        }
        diff = block_diff.BlockDiff(
            version, version + 1, removed, list(assigned.items()), SITES
        )
        for net in removed:
            del model[net]
        model |= assigned
        assert anyio.run(blocks.apply, diff) == outcome.Success(version + 1)
        for _ in range(20):
            _assert_equal(blocks, model, rng)
    loaded = anyio.run(block_map.load_block_map, blocks.encode())
    assert isinstance(loaded, outcome.Success)
    assert len(loaded.value) == len(blocks) == len(model)
    for _ in range(100):
        _assert_equal(loaded.value, model, rng)


def test_lookups_during_a_change_see_the_state_before_or_after() -> None:
    """Guards against wrong sites while a large prefix is refreshed."""
    rng = random.Random(1)
    blocks = block_map.BlockMap()
    site_by_prefix = {'10.0.0.0/8': 'site-0'}
    for index in range(300):
        site_by_prefix[_random_prefix(rng)] = SITES[index % 4].name
    diff = block_diff.BlockDiff(0, 1, [], list(site_by_prefix.items()), SITES)
    assert not any(blocks.apply_slices(diff))
    addresses = [
        address for _ in range(30) for address in _random_addresses(rng)
    ]
    for version, (removed, assigned) in enumerate(
        (([], [('10.0.0.0/8', 'site-4')]), (['10.0.0.0/8'], [])), 1
    ):
        diff = block_diff.BlockDiff(version, version + 1, removed, assigned)
        before = {
            address: _expected_site(site_by_prefix, address)
            for address in addresses
        }
        site_by_prefix = {
            net: site_by_prefix[net]
            for net in site_by_prefix
            if net not in removed
        }
        site_by_prefix |= dict(assigned)
        after = {
            address: _expected_site(site_by_prefix, address)
            for address in addresses
        }
        slices = 0
        for failure in blocks.apply_slices(diff):
            assert failure is None
            slices += 1
            for address in addresses:
                site = blocks.find_site(address)
                site_name = site and site.name
                assert site_name in (before[address], after[address]), address
        assert slices > 50
        for address in addresses:
            site = blocks.find_site(address)
            assert (site and site.name) == after[address], address


def test_chunk_and_segment_boundaries_lose_no_prefix() -> None:
    """Guards against lost prefixes at chunk and segment boundaries."""
    sites_by_prefix = {
        f'{index >> 16}.{index >> 8 & 255}.{index & 255}.0/24': SITES[
            index % 5
        ].name
        for index in range(10 << 16, (10 << 16) + 40_000, 2)
    }
    sites_by_prefix['10.0.0.0/8'] = 'site-4'
    blocks = block_map.BlockMap()
    diff = block_diff.BlockDiff(0, 1, [], list(sites_by_prefix.items()), SITES)
    for failure in blocks.apply_slices(diff):
        assert failure is None
    loaded = anyio.run(block_map.load_block_map, blocks.encode())
    assert isinstance(loaded, outcome.Success)
    for table in (blocks, loaded.value):
        for index in range(10 << 16, (10 << 16) + 40_000):
            address = f'{index >> 16}.{index >> 8 & 255}.{index & 255}.9'
            site = table.find_site(address)
            expected = SITES[index % 5] if index % 2 == 0 else SITES[4]
            assert site == expected, address


def test_corrupted_objects_are_refused() -> None:
    """Guards against accepting a truncated or corrupted map or diff."""
    blocks = block_map.BlockMap(3)
    diff = block_diff.BlockDiff(3, 4, [], [('10.0.0.0/8', 'a')], [SITES[0]])
    for data in (blocks.encode(), block_diff.encode_diff(diff)):
        for damaged in (data[:-1], data[:30] + b'!' + data[31:], b''):
            loaded = anyio.run(block_map.load_block_map, damaged)
            assert isinstance(loaded, outcome.Failure)
            assert isinstance(block_diff.decode_diff(damaged), outcome.Failure)
    encoded = block_diff.encode_diff(diff)
    assert block_diff.decode_diff(encoded) == outcome.Success(diff)


def test_invalid_diffs_change_nothing() -> None:
    """Guards against a diff that is applied partially or to another base."""
    blocks = block_map.BlockMap(3)
    valid = ('10.0.0.0/8', 'site-0')
    for diff, code in (
        (block_diff.BlockDiff(2, 3, [], [valid], SITES), 'CONFLICT'),
        (
            block_diff.BlockDiff(
                3, 4, [], [valid, ('10.0.0.0/25', 'site-0')], SITES
            ),
            'CONFIG_INVALID',
        ),
        (
            block_diff.BlockDiff(
                3, 4, [], [valid, ('10.0.0.0/9', 'nowhere')], SITES
            ),
            'CONFIG_INVALID',
        ),
        (
            block_diff.BlockDiff(3, 4, ['10.0.0.1/8'], [valid], SITES),
            'CONFIG_INVALID',
        ),
    ):
        result = anyio.run(blocks.apply, diff)
        assert isinstance(result, outcome.Failure)
        assert result.code is codes.ResultCode[code]
        assert (blocks.version, len(blocks)) == (3, 0)
    assert blocks.find_site('no address') is None
