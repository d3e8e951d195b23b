"""Tests of the host states sent as datagrams, and of the roster."""

from __future__ import annotations

import msgspec

from wigeonhatch import clock as clocks
from wigeonhatch.peers import roster as rosters
from wigeonhatch.peers import state_link
from wigeonhatch.peers import state_parts

STATE = state_link.HostState(
    'h2',
    10,
    1,
    'a1',
    'a',
    '10.0.0.2:80',
    state_link.HostReport(True, True, 0, 1.0, 3, {'op': 9}),
    {'t1': 2},
)


def test_older_states_are_ignored() -> None:
    """Guards against a reordered datagram that replaces a newer state."""
    table = state_link.PeerTable(clocks.ManualClock())
    newer = msgspec.structs.replace(STATE, sequence=5)
    assert table.update(newer)
    assert not table.update(STATE)
    restarted = msgspec.structs.replace(STATE, incarnation=11)
    assert table.update(restarted)
    assert table.live_states() == [restarted]


def test_timed_out_peer_is_reported_once() -> None:
    """Guards against lookups that return a host that has failed."""
    clock = clocks.ManualClock()
    table = state_link.PeerTable(clock)
    table.update(STATE)
    assert table.detect_lost_peers() == []
    clock.advance(state_link.PEER_TIMEOUT_MS + 1)
    assert table.live_states() == []
    assert table.detect_lost_peers() == ['h2']
    assert table.detect_lost_peers() == []
    table.update(msgspec.structs.replace(STATE, sequence=2))
    assert len(table.live_states()) == 1


def test_peer_that_starts_with_an_earlier_clock_is_heard() -> None:
    """Guards against ignoring a host whose wall clock was set back.

    Its incarnation then stays below the previous one for as long as the
    clock was set back.
    """
    clock = clocks.ManualClock()
    table = state_link.PeerTable(clock)
    assert table.update(STATE)
    restarted = msgspec.structs.replace(STATE, incarnation=3)
    assert not table.update(restarted)
    clock.advance(state_link.PEER_TIMEOUT_MS + 1)
    assert table.update(restarted)
    assert table.live_states() == [restarted]


def test_replaced_peer_is_deleted() -> None:
    """Guards against a table that grows with each replaced host."""
    clock = clocks.ManualClock()
    table = state_link.PeerTable(clock)
    table.update(STATE)
    clock.advance(state_link.PEER_TIMEOUT_MS + 1)
    assert table.detect_lost_peers() == ['h2']
    assert table.region_by_host() == {'h2': 'a'}
    clock.advance(state_link.RETENTION_MS)
    assert table.detect_lost_peers() == []
    assert table.region_by_host() == {}


def test_malformed_datagrams_are_counted() -> None:
    """Guards against a malformed datagram that stops the receiver."""
    received: list[state_link.HostState] = []
    parts: list[tuple[bytes, str]] = []
    link = state_link.StateLink(
        received.append, lambda data, ip: parts.append((data, ip))
    )
    link.datagram_received(b'\xff\x00', ('10.0.0.9', 1))
    link.datagram_received(msgspec.msgpack.encode([1, 2]), ('10.0.0.9', 1))
    assert (link.malformed_count, received) == (2, [])
    link.datagram_received(msgspec.msgpack.encode(STATE), ('10.0.0.2', 1))
    assert received == [STATE]
    part = state_parts.split('config', 3, b'{}')[0]
    link.datagram_received(part, ('10.0.0.2', 1))
    assert (link.malformed_count, parts) == (2, [(part, '10.0.0.2')])


def test_roster_ignores_its_own_host() -> None:
    """Guards against a host that sends its state to itself."""
    roster = rosters.Roster('h1')
    roster.put_entry('h1', rosters.encode_entry('10.0.0.1', 1))
    roster.put_entry('h2', rosters.encode_entry('10.0.0.2', 1))
    roster.set_ip('h3', '10.0.0.3')
    assert roster.ip_by_host == {'h2': '10.0.0.2', 'h3': '10.0.0.3'}
    roster.retain(frozenset({'h3'}))
    roster.remove('h3')
    assert roster.ip_by_host == {}
    try:
        roster.put_entry('h2', b'{}')
    except ValueError:
        return
    raise AssertionError('a malformed row was accepted')


def test_state_fits_into_one_packet() -> None:
    """Guards against datagrams that are lost because they are fragmented."""
    fractions = {
        region: {f'region-{number}': 303 for number in range(33)}
        for region in ('region-1', 'region-2', 'region-3')
    }
    report = msgspec.structs.replace(
        STATE.report, fractions_by_region=fractions
    )
    counts = {f'i-{number:010x}': number + 1 for number in range(100)}
    state = msgspec.structs.replace(
        STATE, report=report, count_by_target=counts
    )
    data = state_link.encode_state(state)
    assert len(data) <= state_link.MAX_BYTES
    kept = msgspec.msgpack.decode(data, type=state_link.HostState)
    assert kept.report == report
    busiest = sorted(counts.values())[-len(kept.count_by_target) :]
    assert sorted(kept.count_by_target.values()) == busiest


def test_state_that_fits_is_complete() -> None:
    """Guards against targets that are left out without need."""
    counts = {f'i-{number:010x}': 1 for number in range(60)}
    state = msgspec.structs.replace(STATE, count_by_target=counts)
    kept = msgspec.msgpack.decode(
        state_link.encode_state(state), type=state_link.HostState
    )
    assert kept.count_by_target == counts
