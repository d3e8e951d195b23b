"""Tests of decoding what another process has written."""

from __future__ import annotations

import collections.abc
import typing

import msgspec
import pytest

from tests.peers import test_state_link
from wigeonhatch import clock as clocks
from wigeonhatch import codes
from wigeonhatch import decoding
from wigeonhatch import outcome
from wigeonhatch.blocks import block_diff
from wigeonhatch.config import delta as deltas
from wigeonhatch.operators import records
from wigeonhatch.peers import config_store
from wigeonhatch.peers import peers_pb2
from wigeonhatch.peers import roster
from wigeonhatch.peers import row_share
from wigeonhatch.peers import state_link
from wigeonhatch.platform import _reply
from wigeonhatch.platform import decode
from wigeonhatch.platform import interface
from wigeonhatch.platform import store as stores
from wigeonhatch.requests import forward_fields
from wigeonhatch.steering import split as splits
from wigeonhatch.targets import health
from wigeonhatch.tracing import reader

DEPTH = 4_000
NESTED_JSON = b'{"x":' + b'[' * DEPTH + b']' * DEPTH + b'}'
NESTED_MSGPACK = b'\x91' * DEPTH + b'\xc0'
JSON_TYPES: tuple[type, ...] = (
    dict[str, typing.Any],
    deltas.Document,
    roster.HostEntry,
    records.AuditRecord,
    interface.HostList,
    interface.ReadResult,
    stores._WireRows,
    splits._SplitRow,
    health._HealthBody,
)
MSGPACK_TYPES: tuple[type, ...] = (
    state_link.HostState,
    row_share.SharedRows,
    block_diff.BlockDiff,
)


@pytest.mark.parametrize('content', [b'', b'{', b'"\xff"', NESTED_JSON])
@pytest.mark.parametrize('kind', JSON_TYPES, ids=str)
def test_unreadable_json_is_rejected(kind: type, content: bytes) -> None:
    """Guards against bytes of another process that end this one."""
    with pytest.raises(decoding.DecodeError):
        decoding.decode_json(content, kind)


@pytest.mark.parametrize('content', [b'', b'\xc1', NESTED_MSGPACK])
@pytest.mark.parametrize('kind', MSGPACK_TYPES, ids=str)
def test_unreadable_msgpack_is_rejected(kind: type, content: bytes) -> None:
    """Guards against bytes of another process that end this one."""
    with pytest.raises(decoding.DecodeError):
        decoding.decode_msgpack(content, kind)


@pytest.mark.parametrize(
    'read',
    [
        decode.read_config,
        lambda content: decode.read_target('t1', content),
        lambda content: roster.Roster('h1').put_entry('h2', content),
    ],
)
def test_unreadable_row_is_rejected(
    read: collections.abc.Callable[[bytes], object],
) -> None:
    """Guards against a reader of rows that raises another error."""
    with pytest.raises(decoding.DecodeError):
        read(NESTED_JSON)


def test_unreadable_response_counts_as_none() -> None:
    """Guards against a response of the store that ends the daemon."""
    reply = _reply.Reply(200, NESTED_JSON)
    result = _reply.decode(reply, stores._WireRows)
    assert isinstance(result, interface.Unavailable)


def test_unreadable_datagram_is_counted() -> None:
    """Guards against a datagram that raises in the event loop."""
    states: list[state_link.HostState] = []
    link = state_link.StateLink(states.append, lambda data, ip: None)
    link.datagram_received(NESTED_MSGPACK[-1_400:], ('127.0.0.1', 1))
    assert (link.malformed_count, states) == (1, [])


def test_unreadable_rows_of_the_platform_are_passed_over() -> None:
    """Guards against rows that end a daemon on the stand-ins."""
    row = interface.Row('drain/x', NESTED_JSON, 1, 0)
    assert records.decode(row, records.AuditRecord) is None
    split = splits.decode(NESTED_JSON, 1)
    assert isinstance(split, outcome.Failure)


def test_unreadable_configuration_of_a_peer_is_refused() -> None:
    """Guards against an update of a peer that ends the exchange with it."""
    store = config_store.ConfigStore()
    update = peers_pb2.ConfigUpdate(
        version=3, change_id='c', document=NESTED_JSON
    )
    result = store.accept(update)
    assert isinstance(result, outcome.Failure)
    assert result.code is codes.ResultCode.CONFIG_INVALID
    assert store.version == 0


def test_unreadable_health_response_is_a_failure() -> None:
    """Guards against a target whose response ends its probes."""
    prober = health.HealthMonitor.__new__(health.HealthMonitor)
    prober._clock = clocks.ManualClock()
    assert isinstance(prober._parse(200, NESTED_JSON), outcome.Failure)


def test_host_without_an_address_is_rejected() -> None:
    """Guards against a row or datagram that ends the heartbeats."""
    with pytest.raises(decoding.DecodeError):
        roster.Roster('h1').put_entry('h2', b'{"ip":"h2","incarnation":1}')
    state = msgspec.structs.replace(
        test_state_link.STATE, caller_address='h2:80'
    )
    with pytest.raises(decoding.DecodeError):
        state_link.decode_state(state_link.encode_state(state))


@pytest.mark.parametrize('value', [b'1', b'1 x', b'1 ' + b'9' * 5_000])
def test_unreadable_limits_of_a_peer_are_absent(value: bytes) -> None:
    """Guards against a field of a peer that fails a forwarded request."""
    assert forward_fields.parse_limits(value) is None


def test_unreadable_era_is_absent() -> None:
    """Guards against a field of the store that ends its followers."""
    assert _reply.read_era([(b'store-era', b'9' * 5_000)]) is None


def test_unreadable_log_line_is_passed_over() -> None:
    """Guards against a log line that ends an operator's command."""
    assert reader._decode(NESTED_JSON, 'h1') is None
