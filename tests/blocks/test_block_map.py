"""Tests of the block map against a plain model."""

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

SITES = [block_diff.Site(f'site-{at}', ('north',)) for at in range(5)]


def _network(rng: random.Random) -> str:
    """Draw a prefix from a small space, so that prefixes nest."""
    if rng.random() < 0.5:
        address = 10 << 24 | rng.getrandbits(3) << 16 | rng.getrandbits(3) << 8
        return str(
            ipaddress.ip_network((address, rng.randint(8, 24)), strict=False)
        )
    address = 0x20010DB8 << 96 | rng.getrandbits(6) << 80
    return str(
        ipaddress.ip_network((address, rng.randint(20, 48)), strict=False)
    )


def _expected(model: dict[str, str], address: str) -> str | None:
    parsed = ipaddress.ip_address(address)
    nets = [
        net
        for net in map(ipaddress.ip_network, model)
        if net.version == parsed.version and parsed in net
    ]
    if not nets:
        return None
    return model[str(max(nets, key=lambda net: net.prefixlen))]


def _addresses(rng: random.Random) -> list[str]:
    return [
        f'10.{rng.randrange(9)}.{rng.randrange(9)}.7',
        f'2001:db8:{rng.randrange(70):x}::1',
        f'2001:d{rng.randrange(16):x}8::1',
    ]


def _assert_equal(
    blocks: block_map.BlockMap, model: dict[str, str], rng: random.Random
) -> None:
    for address in _addresses(rng):
        site = blocks.find_site(address)
        assert (site and site.name) == _expected(model, address), address


@hypothesis.settings(derandomize=True, deadline=None, max_examples=12)
@hypothesis.given(strategies.integers(0, 10**6))
def test_lookups_follow_the_longest_prefix(seed: int) -> None:
    """Guards against a wrong site after adding and removing prefixes.

    Also checks a copy that went through the encoding, which rebuilds the
    nesting.
    """
    rng = random.Random(seed)
    blocks = block_map.BlockMap()
    model: dict[str, str] = {}
    for version in range(8):
        removed = rng.sample(sorted(model), min(len(model), 15))
        assigned = {
            _network(rng): rng.choice(SITES).name
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
    """Guards against wrong sites while a large prefix is repainted."""
    rng = random.Random(1)
    blocks = block_map.BlockMap()
    nets = {'10.0.0.0/8': 'site-0'}
    for at in range(300):
        nets[_network(rng)] = SITES[at % 4].name
    diff = block_diff.BlockDiff(0, 1, [], list(nets.items()), SITES)
    assert not any(blocks.apply_slices(diff))
    addresses = [address for _ in range(30) for address in _addresses(rng)]
    for version, (removed, assigned) in enumerate(
        (([], [('10.0.0.0/8', 'site-4')]), (['10.0.0.0/8'], [])), 1
    ):
        diff = block_diff.BlockDiff(version, version + 1, removed, assigned)
        before = {address: _expected(nets, address) for address in addresses}
        nets = {net: nets[net] for net in nets if net not in removed}
        nets |= dict(assigned)
        after = {address: _expected(nets, address) for address in addresses}
        slices = 0
        for failure in blocks.apply_slices(diff):
            assert failure is None
            slices += 1
            for address in addresses:
                site = blocks.find_site(address)
                found = site and site.name
                assert found in (before[address], after[address]), address
        assert slices > 50
        for address in addresses:
            site = blocks.find_site(address)
            assert (site and site.name) == after[address], address


def test_chunks_split_and_segments_join() -> None:
    """Guards against prefixes lost where chunks and segments meet."""
    names = {
        f'{at >> 16}.{at >> 8 & 255}.{at & 255}.0/24': SITES[at % 5].name
        for at in range(10 << 16, (10 << 16) + 40_000, 2)
    }
    names['10.0.0.0/8'] = 'site-4'
    blocks = block_map.BlockMap()
    diff = block_diff.BlockDiff(0, 1, [], list(names.items()), SITES)
    for failure in blocks.apply_slices(diff):
        assert failure is None
    loaded = anyio.run(block_map.load_block_map, blocks.encode())
    assert isinstance(loaded, outcome.Success)
    for table in (blocks, loaded.value):
        for at in range(10 << 16, (10 << 16) + 40_000):
            address = f'{at >> 16}.{at >> 8 & 255}.{at & 255}.9'
            site = table.find_site(address)
            expected = SITES[at % 5] if at % 2 == 0 else SITES[4]
            assert site == expected, address


def test_damaged_objects_are_refused() -> None:
    """Guards against a map or diff that was cut or altered on its way."""
    blocks = block_map.BlockMap(3)
    diff = block_diff.BlockDiff(3, 4, [], [('10.0.0.0/8', 'a')], [SITES[0]])
    for data in (blocks.encode(), block_diff.encode_diff(diff)):
        for bad in (data[:-1], data[:30] + b'!' + data[31:], b''):
            loaded = anyio.run(block_map.load_block_map, bad)
            assert isinstance(loaded, outcome.Failure)
            assert isinstance(block_diff.decode_diff(bad), outcome.Failure)
    encoded = block_diff.encode_diff(diff)
    assert block_diff.decode_diff(encoded) == outcome.Success(diff)


def test_faulty_diffs_change_nothing() -> None:
    """Guards against a diff that is applied in part or to another base."""
    blocks = block_map.BlockMap(3)
    good = ('10.0.0.0/8', 'site-0')
    for diff, code in (
        (block_diff.BlockDiff(2, 3, [], [good], SITES), 'CONFLICT'),
        (
            block_diff.BlockDiff(
                3, 4, [], [good, ('10.0.0.0/25', 'site-0')], SITES
            ),
            'CONFIG_INVALID',
        ),
        (
            block_diff.BlockDiff(
                3, 4, [], [good, ('10.0.0.0/9', 'nowhere')], SITES
            ),
            'CONFIG_INVALID',
        ),
        (
            block_diff.BlockDiff(3, 4, ['10.0.0.1/8'], [good], SITES),
            'CONFIG_INVALID',
        ),
    ):
        result = anyio.run(blocks.apply, diff)
        assert isinstance(result, outcome.Failure)
        assert result.code is codes.ResultCode[code]
        assert (blocks.version, len(blocks)) == (3, 0)
    assert blocks.find_site('no address') is None
