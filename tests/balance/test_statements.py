"""Tests of what targets state of themselves in their responses."""

from __future__ import annotations

import pytest

from tests.balance import harness as harnesses
from wigeonhatch.balance import statements
from wigeonhatch.peers import state_link
from wigeonhatch.platform import messages
from wigeonhatch.targets import registry

LEAVING = ((b'request-id', b'r1'), (b'server-leaving', b'1'))


def _build_table() -> tuple[
    statements.StatementTable, registry.TargetRegistry
]:
    scene = harnesses.PickerHarness([harnesses.build_target('t1')])
    return scene.statements, scene.targets


@pytest.mark.parametrize('status', [200, 404, 500, 503])
def test_any_response_states_a_departure(status: int) -> None:
    """Guards against a departure that is read in some responses only."""
    table, targets = _build_table()
    record = targets.record_by_name['t1']
    table.on_response(
        record, b'r1', messages.read_target_fields(LEAVING, status)
    )
    assert targets.usable('board') == ()


@pytest.mark.parametrize('value', [b'-1', b'soon', b'', b'\xff' * 400])
def test_unreadable_pause_has_no_effect(
    value: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a malformed field that takes a target out of use."""
    table, targets = _build_table()
    caplog.set_level('INFO')
    record = targets.record_by_name['t1']
    fields = messages.read_target_fields([(b'retry-after', value)], 503)
    table.on_response(record, b'r1', fields)
    assert table.pauses.left_ms(record) == 0
    assert [item.message for item in caplog.records] == [
        'target field unusable'
    ]


@pytest.mark.parametrize('hosts', [7, 60])
def test_state_with_all_statements_fits_into_one_packet(hosts: int) -> None:
    """Guards against states that are split or lost while much is stated."""
    table, _ = _build_table()
    for number in range(10 * hosts):
        target = harnesses.build_target(
            f'i-{number:010x}', started_ms=1_796_508_614_768
        )
        fields = messages.read_target_fields(
            [(b'server-limit', b'3.75'), *LEAVING], 200
        )
        table.on_response(target, b'r1', fields)
    report = table.build_report()
    assert len(report.departures) + len(report.rate_limits) == 20
    regions = {f'region-{number}': 1_000 for number in range(3)}
    state = state_link.HostState(
        'front-north-a-1',
        1_796_508_614_768,
        1,
        'north-a',
        'north',
        '10.100.100.100:8548',
        state_link.HostReport(
            True,
            True,
            10_000_000,
            0.5,
            100_000,
            {'op': 1_000_000_001, 'servers': 1_000_000_001},
            True,
            {name: regions for name in regions},
        ),
        {f'i-{number:010x}': 3 for number in range(100)},
        report.rate_limits,
        (),
        report.departures,
    )
    data = state_link.encode_state(state)
    assert len(data) <= state_link.MAX_BYTES
    decoded = state_link.decode_state(data)
    assert decoded.departures == report.departures
    assert decoded.count_by_target
