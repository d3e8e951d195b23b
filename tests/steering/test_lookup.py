"""Tests of lookup responses."""

from __future__ import annotations

import collections
import typing
import unittest.mock

import msgspec
import pytest

from tests.steering import test_routing
from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.blocks import block_diff
from wigeonhatch.blocks import block_map
from wigeonhatch.steering import buckets
from wigeonhatch.steering import lookup


def _build(
    name: str = 'host-north-1',
) -> tuple[test_routing.RouterHarness, lookup.LookupTable]:
    host = test_routing.RouterHarness(name)
    return host, lookup.LookupTable(
        host.clock, host.candidates, host.splits, host.spillover
    )


def _client(
    host: test_routing.RouterHarness, region: str, index: int = 0
) -> str:
    """Return the address of a client that is assigned to a region."""
    for number in range(65_536):
        address = f'10.{number >> 8}.{number & 255}.1'
        block = buckets.client_block(address)
        assert block is not None
        bucket = buckets.assign_bucket('ledger', block)
        if host.splits.region('ledger', bucket) == region:
            if index == 0:
                return address
            index -= 1
    raise AssertionError(region)


def _look_up(
    table: lookup.LookupTable, client: str, keys: tuple[str, ...] = ()
) -> dict[str, typing.Any]:
    answer = table.answer_lookup('ledger', client, keys)
    assert isinstance(answer, outcome.Success), answer
    return typing.cast(
        dict[str, typing.Any], msgspec.json.decode(answer.value)
    )


def _hosts(answer: dict[str, typing.Any]) -> list[str]:
    return [item['host'].removeprefix('host-') for item in answer['hosts']]


def test_response_names_hosts_of_the_region_first() -> None:
    """Guards against callers that connect to hosts of the wrong region."""
    host, table = _build()
    answer = _look_up(table, _client(host, 'south'), ('a', 'b'))
    assert [item['region'] for item in answer['hosts']] == (
        ['south'] * 2 + ['north'] * 2 + ['central'] * 2
    )
    assert answer['keys'] == ['a', 'b']
    assert (answer['ttl_ms'], answer['version']) == (5_000, 1)
    assert answer['service'] == 'ledger'
    entry = host.candidates.config.host_by_name[answer['hosts'][0]['host']]
    assert answer['hosts'][0]['address'] == entry.caller_address


def test_callers_are_spread_by_capacity() -> None:
    """Guards against listing one host first for all callers."""
    host, table = _build()
    host.membership.load_by_host['host-south-1'].capacity = 15
    counts = collections.Counter(
        _hosts(_look_up(table, _client(host, 'south', index)))[0]
        for index in range(400)
    )
    assert 250 < counts['south-1'] < 350
    assert counts['south-2'] == 400 - counts['south-1']


def test_full_draining_and_unreachable_hosts() -> None:
    """Guards against responses that list hosts that cannot serve."""
    host, table = _build()
    client = _client(host, 'south')
    _look_up(table, client)
    host.membership.load_by_host['host-south-1'].free = 0
    host.membership.record_by_host['host-south-1'].sequence += 1
    host.membership.unreachable = {'host-central-1'}
    host.membership.drained = frozenset({'host-central-2'})
    host.clock.advance(250)
    hosts = _hosts(_look_up(table, client))
    assert hosts[:2] == ['south-2', 'south-1']
    assert set(hosts[2:]) == {'north-1', 'north-2'}
    host.membership.drained = frozenset(host.candidates.region_by_host)
    host.clock.advance(250)
    answer = table.answer_lookup('ledger', client)
    assert isinstance(answer, outcome.Failure)
    assert answer.code is codes.ResultCode.REGION_UNAVAILABLE


def test_encoded_responses_are_reused_until_the_state_changes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against encoding each response and against stale responses."""
    host, table = _build()
    encode = unittest.mock.Mock(wraps=lookup._encode)
    monkeypatch.setattr(lookup, '_encode', encode)
    client = _client(host, 'south')
    before = table.answer_lookup('ledger', client)
    host.clock.advance(10_000)
    assert table.answer_lookup('ledger', client) == before
    generation = table.generation
    assert isinstance(before, outcome.Success)
    assert table.answer_lookup('ledger', client) == before
    assert encode.call_count == 1
    host.membership.unreachable = {'host-south-1'}
    host.clock.advance(250)
    assert table.answer_lookup('ledger', client) != before
    assert table.generation == generation + 1


def test_callers_behind_one_address_reach_all_regions() -> None:
    """Guards against a busy client block that overloads one region."""
    host, table = _build()
    del host
    regions = collections.Counter(
        _look_up(table, '10.1.2.3')['hosts'][0]['region'] for _ in range(3_000)
    )
    assert set(regions) == {'north', 'central', 'south'}
    assert min(regions.values()) > 0.5 * max(regions.values())


def test_few_lookups_of_a_block_keep_their_bucket() -> None:
    """Guards against clients that change region with each lookup."""
    host, table = _build()
    for _ in range(5):
        numbers = {_look_up(table, '10.1.2.3')['bucket'] for _ in range(4)}
        assert len(numbers) == 1
        host.clock.advance(5_000)


def test_spillover_moves_the_lookup_too() -> None:
    """Guards against callers that connect where their bucket is not served."""
    host, table = _build()
    client = _client(host, 'south')
    block = buckets.client_block(client)
    assert block is not None
    bucket = buckets.assign_bucket('ledger', block)
    assert host.spillover.move('ledger', bucket, 'south', 'central')
    answer = _look_up(table, client)
    assert answer['hosts'][0]['region'] == 'central'


def test_site_orders_the_other_regions() -> None:
    """Guards against falling back to a distant region first."""
    host, table = _build()
    table.block_map = block_map.BlockMap()
    client = _client(host, 'north')
    near = block_diff.Site('near', ('south', 'north', 'central'))
    diff = block_diff.BlockDiff(0, 1, [], [('10.0.0.0/8', 'near')], [near])
    assert list(table.block_map.apply_slices(diff))[-1] is None
    regions = [item['region'] for item in _look_up(table, client)['hosts']]
    assert regions[::2] == ['north', 'south', 'central']


def test_refused_lookups() -> None:
    """Guards against a wrong result code for a failed lookup."""
    _, table = _build()
    for service, client, code in (
        ('ledger', 'nowhere', codes.ResultCode.BAD_CLIENT_ADDRESS),
        ('album', '10.0.0.1', codes.ResultCode.UNKNOWN_SERVICE),
    ):
        answer = table.answer_lookup(service, client)
        assert isinstance(answer, outcome.Failure)
        assert answer.code is code
