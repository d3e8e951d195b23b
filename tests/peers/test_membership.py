"""Tests of membership and drains on a manual clock."""

from __future__ import annotations

import random

import pytest

from tests.peers import cluster
from wigeonhatch import clock as clocks
from wigeonhatch.config import model
from wigeonhatch.peers import drains
from wigeonhatch.peers import membership
from wigeonhatch.peers import records

_HOSTS = {name: '127.0.0.1:1' for name in ('a', 'b', 'c')}


class _World:
    """Three hosts whose exchanges the test performs."""

    def __init__(self) -> None:
        self.clock = clocks.ManualClock()
        self.rng = random.Random(5)
        self.member_by_host = {
            name: membership.Membership(name, self.clock, 10)
            for name in _HOSTS
        }

    def send(self, sender: str, receiver: str) -> None:
        """Let the receiver take what it lacks from the sender."""
        source = self.member_by_host[sender]
        sink = self.member_by_host[receiver]
        digests, is_partial = sink.make_digests(self.rng)
        if not source.can_resolve(digests):
            digests, is_partial = sink.make_digests(self.rng, True)
        newer, beats = source.compare(digests, is_partial, 10_000)
        sink.on_records(newer)
        sink.on_digests(beats)


def test_silence_makes_suspect_then_unreachable() -> None:
    """Guards against a dead host that passed-on records keep alive."""
    world = _World()
    a, b = world.member_by_host['a'], world.member_by_host['b']
    world.member_by_host['c'].announce()
    world.send('c', 'b')
    world.send('b', 'a')
    assert a.is_reachable('c') and not a.is_suspect('c')
    world.clock.advance(1_500)
    world.send('b', 'a')
    assert a.is_suspect('c') and a.is_reachable('c')
    world.clock.advance(1_500)
    world.send('b', 'a')
    assert not a.is_reachable('c') and not b.is_reachable('c')
    world.member_by_host['c'].announce()
    world.send('c', 'b')
    world.send('b', 'a')
    assert a.is_reachable('c')


def test_age_of_heartbeat_is_passed_on() -> None:
    """Guards against a silence that starts anew with each host it passes."""
    world = _World()
    world.member_by_host['c'].announce()
    world.send('c', 'b')
    world.clock.advance(2_000)
    world.send('b', 'a')
    assert world.member_by_host['a'].heartbeat_age_ms('c') == 2_000


def test_record_of_dead_host_does_not_show_it_alive() -> None:
    """Guards against a new host that routes to a host long gone."""
    world = _World()
    world.member_by_host['c'].announce()
    world.send('c', 'b')
    world.clock.advance(60_000)
    world.send('b', 'a')
    a = world.member_by_host['a']
    assert a.record('c') is not None
    assert not a.is_reachable('c')


def test_old_incarnation_is_ignored_and_learns_of_its_successor() -> None:
    """Guards against a replaced host that resumes and is believed."""
    world = _World()
    old = world.member_by_host['c']
    old.set_state(records.HostState.SERVING)
    world.send('c', 'a')
    new = membership.Membership('c', world.clock, 11)
    new.set_state(records.HostState.SERVING)
    world.member_by_host['c'] = new
    world.send('c', 'a')
    for _ in range(50):
        old.announce()
        old.set_acting_for(frozenset({'b'}))
        old.set_acting_for(frozenset())
    world.member_by_host['c'] = old
    world.send('c', 'a')
    a = world.member_by_host['a']
    known = a.record('c')
    assert known is not None and known.incarnation == 11
    assert a.stale_count > 0 and not old.is_superseded
    world.send('a', 'c')
    assert old.is_superseded and not new.is_superseded
    assert old.incarnation == 10


def test_starting_host_rises_above_its_predecessor() -> None:
    """Guards against a restart that loses because the clock went back."""
    world = _World()
    world.member_by_host['c'].announce()
    world.send('c', 'a')
    late = membership.Membership('c', world.clock, 3)
    world.member_by_host['c'] = late
    world.send('a', 'c')
    assert late.incarnation == 11 and not late.is_superseded
    late.announce()
    world.send('c', 'a')
    known = world.member_by_host['a'].record('c')
    assert known is not None and known.incarnation == 11


def test_serving_needs_state_heartbeat_and_no_drain() -> None:
    """Guards against routing to a host that starts, stops or drains."""
    world = _World()
    a, c = world.member_by_host['a'], world.member_by_host['c']
    c.announce()
    world.send('c', 'a')
    assert not a.is_serving('c')
    c.set_state(records.HostState.SERVING)
    world.send('c', 'a')
    assert a.is_serving('c')
    a.on_leaving(drains.LeavingList(2, frozenset({'c'})))
    assert not a.is_serving('c')
    a.on_leaving(drains.LeavingList(3, frozenset()))
    assert a.is_serving('c')
    c.set_state(records.HostState.DRAINING)
    world.send('c', 'a')
    assert not a.is_serving('c')


def test_actor_is_a_reachable_host() -> None:
    """Guards against requests sent to a standby that is gone too."""
    world = _World()
    a, b = world.member_by_host['a'], world.member_by_host['b']
    b.set_acting_for(frozenset({'c'}))
    b.set_loads({'s': records.LoadSummary(1, 2, 3)})
    b.announce()
    world.send('b', 'a')
    assert a.actor_for('c') == 'b'
    assert a.load('b', 's') == records.LoadSummary(1, 2, 3)
    world.clock.advance(3_000)
    assert a.actor_for('c') is None
    b.set_acting_for(frozenset())
    b.announce()
    world.send('b', 'a')
    assert a.actor_for('c') is None


def _configured(version: int, drained: list[str]) -> model.VersionedConfig:
    document = cluster.make_document(_HOSTS)
    document['drain_by_name'] = {name: {'kind': 'target'} for name in drained}
    return cluster.versioned(version, document)


def test_drain_ends_only_by_newer_information_of_its_source() -> None:
    """Guards against a stale list or another source that ends a drain."""
    world = _World()
    a = world.member_by_host['a']
    a.configure(_configured(5, ['t-1']))
    a.on_leaving(drains.LeavingList(7, frozenset({'t-1'})))
    a.on_target_health('t-1', True)
    a.on_leaving(drains.LeavingList(6, frozenset()))
    a.configure(_configured(4, []))
    assert 't-1' in a.draining()
    a.on_leaving(drains.LeavingList(8, frozenset()))
    a.on_target_health('t-1', False)
    assert 't-1' in a.draining()
    a.configure(_configured(6, []))
    assert a.draining() == frozenset()


def test_older_health_statement_does_not_end_a_drain() -> None:
    """Guards against observations that arrive in the wrong order."""
    world = _World()
    a, b = world.member_by_host['a'], world.member_by_host['b']
    a.on_target_health('t-1', True)
    a.on_target_health('t-1', False)
    ended = list(a.drains.observations)
    b.on_drains(ended)
    b.on_target_health('t-1', True)
    b.on_drains(ended)
    assert b.draining() == {'t-1'}
    a.on_drains(b.drains.observations)
    assert a.draining() == {'t-1'}
    assert a.drains.observations_hash == b.drains.observations_hash


def test_version_travels_without_the_record() -> None:
    """Guards against an owner that never sees its predecessor confirm."""
    world = _World()
    a, b = world.member_by_host['a'], world.member_by_host['b']
    b.announce()
    world.send('b', 'a')
    before = a.record('b')
    b.configure(_configured(5, []))
    world.send('b', 'a')
    known = a.record('b')
    assert before is not None and known is not None
    assert (before.config_version, known.config_version) == (0, 5)
    assert known.sequence == before.sequence
    world.send('a', 'c')
    passed_on = world.member_by_host['c'].record('b')
    assert passed_on is not None and passed_on.config_version == 5


def test_digests_without_ids_are_read_only_for_equal_sets() -> None:
    """Guards against heartbeats that are credited to another host."""
    world = _World()
    a, b = world.member_by_host['a'], world.member_by_host['b']
    world.member_by_host['c'].announce()
    world.send('c', 'b')
    world.send('b', 'a')
    world.send('a', 'b')
    equal, _ = b.make_digests(world.rng)
    assert not equal.ids and a.can_resolve(equal)
    other = records.encode_record(records.HostRecord('d', 1, 1))
    b.on_records([other])
    world.clock.advance(2_000)
    b.announce()
    for digests in (equal, b.make_digests(world.rng)[0]):
        assert digests.ids_hash
        digests.heartbeats[:] = [99] * len(digests.heartbeats)
    assert not a.can_resolve(digests)
    a.on_digests(digests)
    assert (a.heartbeat_age_ms('c'), a.heartbeat_age_ms('b')) == (2_000, 5_000)
    world.send('b', 'a')
    assert a.record('d') is not None and a.heartbeat_age_ms('b') == 0


@pytest.mark.parametrize('count', [membership.MAX_DIGESTS * 2])
def test_messages_stay_bounded(count: int) -> None:
    """Guards against messages that grow with the number of hosts."""
    clock = clocks.ManualClock()
    many = membership.Membership('x', clock, 1)
    many.on_records(
        records.encode_record(records.HostRecord(f'host-{index}', 1, 1))
        for index in range(count)
    )
    digests, is_partial = many.make_digests(random.Random(5))
    assert is_partial and len(digests.ids) == membership.MAX_DIGESTS
    empty = type(digests)()
    newer, _ = many.compare(empty, False, 4_096)
    assert 0 < sum(message.ByteSize() for message in newer) <= 4_096
