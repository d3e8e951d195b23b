"""Tests of the exchange of host states."""

from __future__ import annotations

import msgspec

from wigeonhatch import clock as clocks
from wigeonhatch.peers import roster as rosters
from wigeonhatch.peers import state_link

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
    """Guards against datagrams that overtake each other."""
    table = state_link.PeerTable(clocks.ManualClock())
    newer = msgspec.structs.replace(STATE, sequence=5)
    assert table.on_state(newer)
    assert not table.on_state(STATE)
    restarted = msgspec.structs.replace(STATE, incarnation=11)
    assert table.on_state(restarted)
    assert table.live() == [restarted]


def test_silent_peer_is_reported_once() -> None:
    """Guards against lookups that name a host that is gone."""
    clock = clocks.ManualClock()
    table = state_link.PeerTable(clock)
    table.on_state(STATE)
    assert table.note_silence() == []
    clock.advance(state_link.SILENCE_MS + 1)
    assert table.live() == []
    assert table.note_silence() == ['h2']
    assert table.note_silence() == []
    table.on_state(msgspec.structs.replace(STATE, sequence=2))
    assert len(table.live()) == 1


def test_peer_that_starts_with_an_earlier_clock_is_heard() -> None:
    """Guards against a host that is left out after its time of day jumped.

    Its incarnation is then below the one before, for as long as the jump.
    """
    clock = clocks.ManualClock()
    table = state_link.PeerTable(clock)
    assert table.on_state(STATE)
    restarted = msgspec.structs.replace(STATE, incarnation=3)
    assert not table.on_state(restarted)
    clock.advance(state_link.SILENCE_MS + 1)
    assert table.on_state(restarted)
    assert table.live() == [restarted]


def test_replaced_peer_is_forgotten() -> None:
    """Guards against memory that grows with each host that is replaced."""
    clock = clocks.ManualClock()
    table = state_link.PeerTable(clock)
    table.on_state(STATE)
    clock.advance(state_link.SILENCE_MS + 1)
    assert table.note_silence() == ['h2']
    assert table.region_by_host() == {'h2': 'a'}
    clock.advance(state_link.FORGET_MS)
    assert table.note_silence() == []
    assert table.region_by_host() == {}


def test_malformed_datagrams_are_counted() -> None:
    """Guards against a datagram that ends the exchange."""
    seen: list[state_link.HostState] = []
    link = state_link.StateLink(seen.append)
    link.datagram_received(b'\xff\x00', ('10.0.0.9', 1))
    link.datagram_received(msgspec.msgpack.encode([1, 2]), ('10.0.0.9', 1))
    assert (link.malformed, seen) == (2, [])
    link.datagram_received(msgspec.msgpack.encode(STATE), ('10.0.0.2', 1))
    assert seen == [STATE]


def test_roster_leaves_out_its_own_host() -> None:
    """Guards against a host that sends its state to itself."""
    roster = rosters.Roster('h1')
    roster.put('h1', rosters.encode_entry('10.0.0.1', 1))
    roster.put('h2', rosters.encode_entry('10.0.0.2', 1))
    roster.learn('h3', '10.0.0.3')
    assert roster.ip_by_host == {'h2': '10.0.0.2', 'h3': '10.0.0.3'}
    roster.keep(frozenset({'h3'}))
    roster.remove('h3')
    assert roster.ip_by_host == {}
    try:
        roster.put('h2', b'{}')
    except ValueError:
        return
    raise AssertionError('a malformed row was taken')
