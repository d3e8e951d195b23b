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


class _Hosts:
    """Three hosts whose exchanges the test performs."""

    def __init__(self) -> None:
        self.clock = clocks.ManualClock()
        self.rng = random.Random(5)
        self.membership_by_host = {
            name: membership.Membership(name, self.clock, 10)
            for name in _HOSTS
        }

    def send(self, sender: str, receiver: str) -> None:
        """Deliver to the receiver the records and heartbeats that it lacks."""
        sending = self.membership_by_host[sender]
        receiving = self.membership_by_host[receiver]
        digests, is_partial = receiving.make_digests(self.rng)
        if not sending.can_resolve(digests):
            digests, is_partial = receiving.make_digests(self.rng, True)
        newer, heartbeats = sending.compare(digests, is_partial, 10_000)
        receiving.on_records(newer)
        receiving.on_digests(heartbeats)


def test_missing_heartbeats_make_suspect_then_unreachable() -> None:
    """Guards against a failed host that relayed records keep reachable."""
    hosts = _Hosts()
    a, b = hosts.membership_by_host['a'], hosts.membership_by_host['b']
    hosts.membership_by_host['c'].announce()
    hosts.send('c', 'b')
    hosts.send('b', 'a')
    assert a.is_reachable('c') and not a.is_suspect('c')
    hosts.clock.advance(1_500)
    hosts.send('b', 'a')
    assert a.is_suspect('c') and a.is_reachable('c')
    hosts.clock.advance(1_500)
    hosts.send('b', 'a')
    assert not a.is_reachable('c') and not b.is_reachable('c')
    hosts.membership_by_host['c'].announce()
    hosts.send('c', 'b')
    hosts.send('b', 'a')
    assert a.is_reachable('c')


def test_age_of_heartbeat_is_relayed() -> None:
    """Guards against a heartbeat age that restarts at each relaying host."""
    hosts = _Hosts()
    hosts.membership_by_host['c'].announce()
    hosts.send('c', 'b')
    hosts.clock.advance(2_000)
    hosts.send('b', 'a')
    assert hosts.membership_by_host['a'].heartbeat_age_ms('c') == 2_000


def test_record_without_heartbeat_does_not_make_reachable() -> None:
    """Guards against a new host that routes to a host that failed earlier."""
    hosts = _Hosts()
    hosts.membership_by_host['c'].announce()
    hosts.send('c', 'b')
    hosts.clock.advance(60_000)
    hosts.send('b', 'a')
    a = hosts.membership_by_host['a']
    assert a.record('c') is not None
    assert not a.is_reachable('c')


def test_old_incarnation_is_ignored_and_marked_superseded() -> None:
    """Guards against accepting records of a replaced host that resumes."""
    hosts = _Hosts()
    old = hosts.membership_by_host['c']
    old.set_state(records.HostState.SERVING)
    hosts.send('c', 'a')
    new = membership.Membership('c', hosts.clock, 11)
    new.set_state(records.HostState.SERVING)
    hosts.membership_by_host['c'] = new
    hosts.send('c', 'a')
    for _ in range(50):
        old.announce()
        old.set_acting_for(frozenset({'b'}))
        old.set_acting_for(frozenset())
    hosts.membership_by_host['c'] = old
    hosts.send('c', 'a')
    a = hosts.membership_by_host['a']
    record = a.record('c')
    assert record is not None and record.incarnation == 11
    assert a.stale_count > 0 and not old.is_superseded
    hosts.send('a', 'c')
    assert old.is_superseded and not new.is_superseded
    assert old.incarnation == 10


def test_starting_host_raises_its_incarnation() -> None:
    """Guards against ignoring a host that restarts with its clock set back."""
    hosts = _Hosts()
    hosts.membership_by_host['c'].announce()
    hosts.send('c', 'a')
    late = membership.Membership('c', hosts.clock, 3)
    hosts.membership_by_host['c'] = late
    hosts.send('a', 'c')
    assert late.incarnation == 11 and not late.is_superseded
    late.announce()
    hosts.send('c', 'a')
    record = hosts.membership_by_host['a'].record('c')
    assert record is not None and record.incarnation == 11


def test_serving_needs_state_heartbeat_and_no_drain() -> None:
    """Guards against routing to a host that starts, stops or drains."""
    hosts = _Hosts()
    a, c = hosts.membership_by_host['a'], hosts.membership_by_host['c']
    c.announce()
    hosts.send('c', 'a')
    assert not a.is_serving('c')
    c.set_state(records.HostState.SERVING)
    hosts.send('c', 'a')
    assert a.is_serving('c')
    a.on_leaving(drains.LeavingList(2, frozenset({'c'})))
    assert not a.is_serving('c')
    a.on_leaving(drains.LeavingList(3, frozenset()))
    assert a.is_serving('c')
    c.set_state(records.HostState.DRAINING)
    hosts.send('c', 'a')
    assert not a.is_serving('c')


def test_actor_is_a_reachable_host() -> None:
    """Guards against requests sent to a standby that has failed as well."""
    hosts = _Hosts()
    a, b = hosts.membership_by_host['a'], hosts.membership_by_host['b']
    b.set_acting_for(frozenset({'c'}))
    b.set_loads({'s': records.LoadSummary(1, 2, 3)})
    b.announce()
    hosts.send('b', 'a')
    assert a.actor_for('c') == 'b'
    assert a.load('b', 's') == records.LoadSummary(1, 2, 3)
    hosts.clock.advance(3_000)
    assert a.actor_for('c') is None
    b.set_acting_for(frozenset())
    b.announce()
    hosts.send('b', 'a')
    assert a.actor_for('c') is None


def _configured(version: int, drained: list[str]) -> model.VersionedConfig:
    document = cluster.make_document(_HOSTS)
    document['drain_by_name'] = {name: {'kind': 'target'} for name in drained}
    return cluster.versioned(version, document)


def test_drain_ends_only_by_newer_information_of_its_source() -> None:
    """Guards against a drain that a stale list or another source ends."""
    hosts = _Hosts()
    a = hosts.membership_by_host['a']
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


def test_older_health_observation_does_not_end_a_drain() -> None:
    """Guards against observations that arrive out of order."""
    hosts = _Hosts()
    a, b = hosts.membership_by_host['a'], hosts.membership_by_host['b']
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


def test_version_is_sent_without_the_record() -> None:
    """Guards against an owner that waits forever for a confirmation.

    The previous owner confirms a version with its heartbeats, while its
    record stays the same.
    """
    hosts = _Hosts()
    a, b = hosts.membership_by_host['a'], hosts.membership_by_host['b']
    b.announce()
    hosts.send('b', 'a')
    before = a.record('b')
    b.configure(_configured(5, []))
    hosts.send('b', 'a')
    record = a.record('b')
    assert before is not None and record is not None
    assert (before.config_version, record.config_version) == (0, 5)
    assert record.sequence == before.sequence
    hosts.send('a', 'c')
    relayed = hosts.membership_by_host['c'].record('b')
    assert relayed is not None and relayed.config_version == 5


def test_digests_without_ids_need_equal_host_sets() -> None:
    """Guards against heartbeats that are assigned to the wrong host."""
    hosts = _Hosts()
    a, b = hosts.membership_by_host['a'], hosts.membership_by_host['b']
    hosts.membership_by_host['c'].announce()
    hosts.send('c', 'b')
    hosts.send('b', 'a')
    hosts.send('a', 'b')
    equal, _ = b.make_digests(hosts.rng)
    assert not equal.ids and a.can_resolve(equal)
    other = records.encode_record(records.HostRecord('d', 1, 1))
    b.on_records([other])
    hosts.clock.advance(2_000)
    b.announce()
    for digests in (equal, b.make_digests(hosts.rng)[0]):
        assert digests.ids_hash
        digests.heartbeats[:] = [99] * len(digests.heartbeats)
    assert not a.can_resolve(digests)
    a.on_digests(digests)
    assert (a.heartbeat_age_ms('c'), a.heartbeat_age_ms('b')) == (2_000, 5_000)
    hosts.send('b', 'a')
    assert a.record('d') is not None and a.heartbeat_age_ms('b') == 0


@pytest.mark.parametrize('count', [membership.MAX_DIGESTS * 2])
def test_messages_stay_bounded(count: int) -> None:
    """Guards against messages that grow with the number of hosts."""
    clock = clocks.ManualClock()
    member = membership.Membership('x', clock, 1)
    member.on_records(
        records.encode_record(records.HostRecord(f'host-{index}', 1, 1))
        for index in range(count)
    )
    digests, is_partial = member.make_digests(random.Random(5))
    assert is_partial and len(digests.ids) == membership.MAX_DIGESTS
    empty = type(digests)()
    newer, _ = member.compare(empty, False, 4_096)
    assert 0 < sum(message.ByteSize() for message in newer) <= 4_096
