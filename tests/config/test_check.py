"""Tests of the checks of a configuration."""

from __future__ import annotations

import json
import pathlib

import pytest

from tests.operators import scene
from wigeonhatch import outcome
from wigeonhatch.config import check
from wigeonhatch.config import merge

HOST = {
    'domain': 'north-1',
    'caller_address': '127.0.0.1:7901',
    'peer_address': '127.0.0.1:7902',
    'operator_address': '127.0.0.1:7903',
}
SERVICE = 'service_by_name.rota-board'
# Patch of the example, and what the message says after the file's name.
CASES = [
    ('{"hosts": {}}', 'hosts: found an unknown field; allowed: one of '),
    (
        '{"host_by_name": {"entry-1": {"zone": "a"}}}',
        'host_by_name.entry-1.zone: found an unknown field; allowed: one of '
        'caller_address, domain, operator_address, peer_address',
    ),
    (
        '{"host_by_name": {"entry-1": {"domain": null}}}',
        'host_by_name.entry-1.domain: found nothing; allowed: a value',
    ),
    (
        '{"host_by_name": {"entry-1": {"domain": 7}}}',
        'host_by_name.entry-1.domain: found 7; allowed: a valid string',
    ),
    (
        '{"host_by_name": {"entry-1": {"peer_address": "here:80"}}}',
        'host_by_name.entry-1.peer_address: found "here:80"; allowed: IP:PORT',
    ),
    (
        '{"host_by_name": {"entry-1": {"domain": "west-1"}}}',
        "host_by_name.entry-1.domain: found unknown domain 'west-1'; "
        'allowed: one of central-1, ',
    ),
    (
        '{"host_by_name": [1]}',
        'host_by_name: found [1]; allowed: an object',
    ),
    (
        '{"target_by_name": {"rota-board-1": {"domain": "west-1"}}}',
        'target_by_name.rota-board-1.domain: found unknown domain ',
    ),
    (
        '{"target_by_name": {"rota-board-1": {"service": "rota"}}}',
        "target_by_name.rota-board-1.service: found unknown service 'rota'; "
        'allowed: one of bloom-ledger, field-album, rota-board',
    ),
    (
        '{"target_by_name": {"rota-board-1": {"address": "127.0.0.1:7101"}}}',
        "target_by_name.rota-board-1.address: found '127.0.0.1:7101', also "
        'the value of host_by_name.entry-1.caller_address',
    ),
    (
        json.dumps({'host_by_name': {'a/b': HOST}}),
        'host_by_name.a/b: found "a/b"; allowed: 1 to 63 letters',
    ),
    (
        '{"region_by_name": {"south": {"domains": ["north-1", "south-1", '
        '"south-2"]}}}',
        "region_by_name.south.domains: found domain 'north-1', also listed "
        "in region 'north'; allowed: each domain once, in one region",
    ),
    (
        '{"region_by_name": {"west": {"domains": []}}}',
        'region_by_name.west.domains: found no domains',
    ),
    (
        '{"link_by_pair": {"central/north": null}}',
        'link_by_pair.central/north: found nothing; allowed: a link for each',
    ),
    (
        '{"link_by_pair": {"north/central": {"mbit_per_s": 1}}}',
        "link_by_pair.north/central: found unknown pair 'north/central'",
    ),
    (
        '{"link_by_pair": {"central/north": {"mbit_per_s": 0}}}',
        'link_by_pair.central/north.mbit_per_s: found 0; allowed: greater ',
    ),
    (
        '{"service_by_name": {"rota-board": {"share_by_region": '
        '{"north": 36}}}}',
        f'{SERVICE}.share_by_region: found shares that sum to 99.64 percent; '
        'allowed: a sum of 100 within 0.01',
    ),
    (
        '{"service_by_name": {"rota-board": {"share_by_region": '
        '{"west": 0}}}}',
        f"{SERVICE}.share_by_region.west: found unknown region 'west'",
    ),
    (
        '{"service_by_name": {"rota-board": {"share_by_region": '
        '{"north": 60, "central": 20, "south": 20}}}}',
        f'{SERVICE}.share_by_region.north: found 60 percent, which needs 46.2 '
        "of the 40 slots of 'north' when 70 percent of all 110 slots are in "
        'use; allowed: at most 51.95 percent',
    ),
    (
        '{"service_by_name": {"rota-board": {"shift_cap": {"percent": 0}}}}',
        f'{SERVICE}.shift_cap.percent: found 0.0; allowed: greater than or '
        'equal to 0.1',
    ),
    (
        '{"service_by_name": {"rota-board": {"failover_cap": {"pct": 1}}}}',
        f'{SERVICE}.failover_cap.pct: found an unknown field; allowed: one '
        'of interval_ms, percent',
    ),
    (
        '{"service_by_name": {"rota-board": {"slots": true}}}',
        f'{SERVICE}.slots: found true; allowed: a valid integer',
    ),
    (
        '{"service_by_name": {"10": {"slots": 1, "connections": 1, '
        '"share_by_region": {"north": 100}, '
        '"shift_cap": {"percent": 1, "interval_ms": 1}}}}',
        'service_by_name.10.share_by_region.north: found 100 percent for a '
        "region without targets of '10'",
    ),
    (
        '{"customer_by_name": {"later": {"reserved_percent_by_service": '
        '{"rota-board": 71}}}}',
        'customer_by_name.later.reserved_percent_by_service.rota-board: found '
        '71 percent, so that all customers together reserve 101 percent; '
        'allowed: at most 70 percent',
    ),
    (
        '{"customer_by_name": {"later": {"reserved_percent_by_service": '
        '{"none": 1}}}}',
        'customer_by_name.later.reserved_percent_by_service.none: found '
        "unknown service 'none'",
    ),
    (
        '{"drain_by_name": {"rota-board-1": {"kind": "host"}}}',
        "drain_by_name.rota-board-1: found unknown host 'rota-board-1'",
    ),
    (
        '{"drain_by_name": {"gone": {"kind": "target"}}}',
        "drain_by_name.gone: found unknown target 'gone'",
    ),
    (
        '{"drain_by_name": {"entry-1": {"kind": "zone"}}}',
        'drain_by_name.entry-1.kind: found "zone"; allowed: \'host\' or '
        "'target'",
    ),
    (
        '{"tuning": {"floor_percent": 101}}',
        'tuning.floor_percent: found 101.0; allowed: less than or equal to',
    ),
]
# Errors whose value comes from another file than the patch.
OTHER_FILE_CASES = [
    (
        json.dumps({'host_by_name': {'rota-board-1': HOST}}),
        '40-rota-board-targets.json: target_by_name.rota-board-1: found the '
        "name of a host, 'rota-board-1'; allowed: a name that no host has",
    ),
    (
        '{"region_by_name": {"west": {"domains": ["west-1"]}}}',
        '15-links.json: link_by_pair.central/west: found nothing; allowed: a '
        'link for each pair',
    ),
]


@pytest.mark.parametrize('example', ['caroni', 'tandem'])
def test_examples_are_accepted(example: str) -> None:
    """Guards against examples that operators cannot apply."""
    merged = merge.merge_folder(str(scene.EXAMPLES / example))
    assert isinstance(merged, outcome.Success)
    assert isinstance(check.check_merged(merged.value), outcome.Success)


@pytest.mark.parametrize(
    ('patch', 'expected'),
    [
        *((patch, f'90-wrong.json: {expected}') for patch, expected in CASES),
        *OTHER_FILE_CASES,
    ],
)
def test_each_kind_of_error_is_described(
    patch: str, expected: str, tmp_path: pathlib.Path
) -> None:
    """Guards against wrong files that are accepted or poorly described."""
    for name, content in scene.example_files().items():
        (tmp_path / name).write_bytes(content)
    (tmp_path / '90-wrong.json').write_text(patch)
    merged = merge.merge_folder(str(tmp_path))
    assert isinstance(merged, outcome.Success)
    result = check.check_merged(merged.value)
    assert isinstance(result, outcome.Failure)
    lines = result.detail.splitlines()
    assert any(line.startswith(expected) for line in lines), lines


def test_all_errors_are_reported_at_once() -> None:
    """Guards against one error at a time, and against partial acceptance."""
    wrong = {f'{n:03d}.json': case[0].encode() for n, case in enumerate(CASES)}
    merged = merge.merge_files({**scene.example_files(), **wrong})
    assert isinstance(merged, outcome.Success)
    result = check.check_merged(merged.value)
    assert isinstance(result, outcome.Failure)
    sections = {
        line.split(': ')[1].split('.')[0]
        for line in result.detail.splitlines()
    }
    assert {'hosts', 'host_by_name', 'tuning', 'link_by_pair'} <= sections
