"""Tests of leases on slots and takeovers of slots."""

from __future__ import annotations

import anyio
import pytest

from benchmarks import lease_fleet as fleet_module
from benchmarks import small_config as build
from wigeonhatch import clock as clock_module
from wigeonhatch.budget import _rows
from wigeonhatch.budget import lease
from wigeonhatch.config import head as heads
from wigeonhatch.platform import interface

DOMAINS = {'a': 'north1', 'b': 'north1', 'c': 'north1'}
LIVE = interface.HostState.LIVE


@pytest.fixture
def fleet() -> fleet_module.Fleet:
    """Create three hosts of one domain that hold their leases."""
    created = fleet_module.Fleet(DOMAINS, targets=12)
    created.run(600)
    assert all(host.holder.has_lease for host in created.host_by_name.values())
    return created


def list_hosts(fleet, *names: str) -> None:
    hosts = fleet.platform.set_hosts(dict.fromkeys(names, LIVE))
    for host in fleet.host_by_name.values():
        host.departures.on_host_list(hosts)


def run_and_check_sums(fleet, ticks: int) -> None:
    for _ in range(ticks):
        fleet.run(100)
        for target in fleet.targets:
            assert sum(fleet.allowances(target).values()) <= 4


def write_head(fleet) -> None:
    writes = [interface.Write(heads.HEAD_KEY, b'{"version": 2}')]
    anyio.run(fleet.platform.commit, [], writes)


def other_host(fleet, *names: str) -> str:
    return next(name for name in DOMAINS if name not in names)


def takeover_holders(fleet) -> dict[str, str]:
    result = anyio.run(fleet.platform.scan, 'takeover/')
    return {
        key.removeprefix('takeover/'): _rows.decode(
            row, _rows.TakeoverRow
        ).holder
        for key, row in result.row_by_key.items()
    }


def test_normal_operation_writes_nothing(fleet) -> None:
    """Guards against table load that grows with the number of hosts."""
    fleet.run(10_000)
    table = anyio.run(fleet.platform.scan, '')
    assert table.row_by_key == {}
    assert set(fleet.allowances(fleet.owned_target('a')).values()) == {0, 4}


def test_platform_outage_changes_nothing(fleet) -> None:
    """Guards against leases that expire because the platform is down."""
    for host in fleet.host_by_name.values():
        host.platform.faults.down = True
    fleet.run(10_000)
    assert all(host.holder.has_lease for host in fleet.host_by_name.values())


def test_crash_transfers_leased_slots_and_return_transfers_back(
    fleet,
) -> None:
    """Guards against slots that are unused or used twice around a crash."""
    target = fleet.owned_target('a')
    standby = fleet.owners.standby_by_host['a']
    fleet.crash('a')
    fleet.run(1_900)
    assert fleet.allowances(target)[standby] == 0
    fleet.run(1_000)
    assert fleet.allowances(target)[standby] == 2
    assert fleet.host_by_name[standby].grantor.acting_for == {'a'}
    grant = fleet.admit(standby, target)
    assert grant is not None
    host = fleet.start('a')
    fleet.run(3_000)
    # The lease is not granted while the standby's request is in progress.
    assert not host.holder.has_lease
    assert fleet.allowances(target)['a'] == 2
    grant.release(fleet_module.slots.AttemptResult.SERVED, 1)
    fleet.run(2_000)
    assert host.holder.has_lease
    assert fleet.allowances(target) == {'a': 4, standby: 0} | {
        other_host(fleet, 'a', standby): 0
    }
    assert takeover_holders(fleet) == {}


def test_standby_crash_makes_the_owner_use_the_table(fleet) -> None:
    """Guards against an owner that loses leased slots with its standby."""
    standby = fleet.owners.standby_by_host['a']
    fleet.crash(standby)
    for _ in range(50):
        fleet.run(100)
        assert fleet.host_by_name['a'].holder.has_lease
    result = anyio.run(fleet.platform.scan, 'lease/')
    assert 'lease/a' in result.row_by_key


def test_isolated_owner_keeps_only_the_floor(fleet) -> None:
    """Guards against use of leased slots after the lease has expired."""
    standby = fleet.owners.standby_by_host['a']
    fleet.cut_links.add(frozenset(('a', standby)))
    fleet.host_by_name['a'].platform.faults.down = True
    fleet.run(2_500)
    allowed = fleet.allowances(fleet.owned_target('a'))
    assert (allowed['a'], allowed[standby]) == (2, 2)


def test_table_lease_blocks_the_takeover(fleet) -> None:
    """Guards against a takeover despite a valid lease in the table."""
    standby = fleet.owners.standby_by_host['a']
    fleet.cut_links.add(frozenset(('a', standby)))
    fleet.run(10_000)
    assert fleet.host_by_name['a'].holder.has_lease
    assert takeover_holders(fleet) == {}


@pytest.mark.parametrize('fault', ['lost_responses', 'dropped_writes'])
def test_unknown_results_are_resolved(fleet, fault: str) -> None:
    """Guards against a writer that never resolves an unknown commit result."""
    target = fleet.owned_target('a')
    standby = fleet.owners.standby_by_host['a']
    setattr(fleet.host_by_name['a'].platform.faults, fault, 1)
    fleet.cut_links.add(frozenset(('a', standby)))
    fleet.run(3_000)
    assert fleet.host_by_name['a'].holder.has_lease
    assert takeover_holders(fleet) == {}
    fleet.cut_links.clear()
    fleet.crash('a')
    faults = fleet.host_by_name[standby].platform.faults
    setattr(faults, fault, 1)
    fleet.run(5_000)
    assert takeover_holders(fleet) == {'a': standby}
    assert fleet.allowances(target)[standby] == 2
    setattr(faults, fault, 1)
    host = fleet.start('a')
    fleet.run(4_000)
    assert host.holder.has_lease
    assert takeover_holders(fleet) == {}


def test_paused_holder_resumes_without_slots(fleet) -> None:
    """Guards against a paused holder that resumes with an expired lease."""
    target = fleet.owned_target('a')
    standby = fleet.owners.standby_by_host['a']
    host = fleet.host_by_name['a']
    host.is_paused = True
    fleet.run(5_000)
    assert fleet.allowances(target)[standby] == 2
    host.is_paused = False
    assert fleet.allowances(target)['a'] == 0
    fleet.run(4_000)
    assert fleet.allowances(target) == {'a': 4, standby: 0} | {
        other_host(fleet, 'a', standby): 0
    }


def test_paused_standby_grants_before_it_takes_over(fleet) -> None:
    """Guards against a takeover from a healthy owner after a pause."""
    standby = fleet.owners.standby_by_host['a']
    paused = fleet.host_by_name[standby]
    paused.is_paused = True
    fleet.run(5_000)
    paused.is_paused = False
    fleet.run(3_000)
    assert 'a' not in takeover_holders(fleet)


def test_response_from_before_a_pause_is_ignored(fleet) -> None:
    """Guards against an outdated response that ends the suspension."""
    host = fleet.host_by_name['a']

    async def renew(standby: str, release: bool):
        fleet.clock.advance(5_000)
        return lease.LeaseDecision(lease.LeaseStatus.GRANTED, 2_000)

    host.holder._renew = renew
    anyio.run(host.holder.step)
    assert host.table.is_suspended
    assert not host.holder.has_lease


def test_second_process_of_a_name_admits_nothing(fleet) -> None:
    """Guards against two processes that use the slots of one host."""
    old = fleet.host_by_name.pop('a')
    new = fleet.start('a')
    for index in range(20):
        fleet.clock.advance(100)
        for host in fleet.host_by_name.values():
            anyio.run(host.grantor.step)
        if index % 5 == 0:
            anyio.run(old.holder.step)
            anyio.run(new.holder.step)
        target = fleet.owned_target('a')
        assert old.table.allowance(target) == 4
        assert new.table.allowance(target) == 0


def test_host_removed_from_the_list_loses_the_floor(fleet) -> None:
    """Guards against floor slots of a departed host that remain unused."""
    target = fleet.owned_target('a')
    standby = fleet.owners.standby_by_host['a']
    list_hosts(fleet, *DOMAINS)
    fleet.crash('a')
    other_hosts = [name for name in DOMAINS if name != 'a']
    for index in range(2):
        list_hosts(fleet, *other_hosts, f'x{index}')
    fleet.run(3_000)
    assert fleet.allowances(target)[standby] == 2
    list_hosts(fleet, *other_hosts)
    fleet.run(1_000)
    assert fleet.allowances(target)[standby] == 4
    host = fleet.start('a')
    fleet.run(500)
    assert fleet.allowances(target)['a'] == 0
    fleet.run(3_000)
    assert host.holder.has_lease
    assert fleet.allowances(target) == {'a': 4} | dict.fromkeys(other_hosts, 0)


def test_restarted_host_is_cut_off_during_a_full_takeover(fleet) -> None:
    """Guards against a retried table lease that skips the takeover check."""
    standby = fleet.owners.standby_by_host['a']
    list_hosts(fleet, *DOMAINS)
    fleet.crash('a')
    for index in range(3):
        list_hosts(fleet, 'b', 'c', f'x{index}')
    fleet.run(3_000)
    fleet.cut_links.add(frozenset(('a', standby)))
    fleet.start('a')
    run_and_check_sums(fleet, 30)


def test_contact_invalidates_earlier_host_lists(fleet) -> None:
    """Guards against host lists from before a host was replaced."""
    target = fleet.owned_target('a')
    standby = fleet.owners.standby_by_host['a']
    list_hosts(fleet, *DOMAINS)
    for index in range(3):
        list_hosts(fleet, 'b', 'c', f'x{index}')
    fleet.run(1_000)
    fleet.cut_links.add(frozenset(('a', standby)))
    fleet.host_by_name['a'].platform.faults.down = True
    fleet.run(4_000)
    assert fleet.allowances(target) == {'a': 2, standby: 2} | {
        other_host(fleet, 'a', standby): 0
    }


def test_owner_rejects_a_new_standby_during_a_takeover(fleet) -> None:
    """Guards against a lease from a standby unaware of a takeover."""
    old = fleet.owners.standby_by_host['a']
    new = other_host(fleet, 'a', old)
    fleet.crash('a')
    fleet.run(3_000)
    other_hosts = {name: 'north1' for name in DOMAINS if name != old}
    fleet.config = build.build_config(other_hosts, fleet.targets, version=2)
    write_head(fleet)
    host = fleet.start('a')
    fleet.host_by_name[new].configure(*fleet.config)
    fleet.recorded_version_by_host[new] = 2
    run_and_check_sums(fleet, 30)
    assert not host.holder.has_lease
    fleet.host_by_name[old].configure(*fleet.config)
    fleet.recorded_version_by_host[old] = 2
    fleet.run(3_000)
    assert host.holder.has_lease


def test_restarted_standby_takes_over_no_floor_after_a_grant(fleet) -> None:
    """Guards against a takeover row that outlives the owner's restart."""
    target = fleet.owned_target('a')
    standby = fleet.owners.standby_by_host['a']
    list_hosts(fleet, *DOMAINS)
    fleet.crash('a')
    for index in range(3):
        list_hosts(fleet, 'b', 'c', f'x{index}')
    fleet.run(3_000)
    assert fleet.allowances(target)[standby] == 4
    fleet.crash(standby)
    fleet.start(standby).platform.faults.down = True
    fleet.start('a').platform.faults.down = True
    fleet.run(1_000)
    assert fleet.allowances(target)['a'] == 4
    fleet.cut_links.add(frozenset(('a', standby)))
    fleet.run(2_500)
    fleet.host_by_name[standby].platform.faults.down = False
    fleet.run(2_000)
    assert sum(fleet.allowances(target).values()) <= 4


def test_skipped_version_makes_the_standby_wait(fleet) -> None:
    """Guards against a standby that had lost its role in a missed version."""
    standby = fleet.owners.standby_by_host['a']
    new = other_host(fleet, 'a', standby)
    other_hosts = {name: 'north1' for name in DOMAINS if name != standby}
    second = build.build_config(other_hosts, fleet.targets, version=2)
    for name in ('a', new):
        fleet.host_by_name[name].configure(*second)
        fleet.recorded_version_by_host[name] = 2
    third = build.build_config(DOMAINS, fleet.targets, version=3)
    fleet.host_by_name[standby].configure(*third)
    fleet.recorded_version_by_host[standby] = 3
    run_and_check_sums(fleet, 50)
    assert takeover_holders(fleet) == {}


def test_one_stale_list_transfers_nothing(fleet) -> None:
    """Guards against a stale or truncated list that ends a host's floor."""
    hosts = fleet.platform.set_hosts(dict.fromkeys(DOMAINS, LIVE))
    departures = fleet.host_by_name['b'].departures
    departures.on_host_list(hosts)
    for _ in range(5):
        departures.on_host_list(interface.HostList(hosts.version + 1, {}))
    assert not departures.has_left('a')
    departures.on_host_list(interface.HostList(hosts.version + 2, {'b': LIVE}))
    departures.on_host_list(
        interface.HostList(hosts.version + 3, {'a': LIVE, 'b': LIVE})
    )
    departures.on_host_list(interface.HostList(hosts.version + 4, {'b': LIVE}))
    assert not departures.has_left('a')


def test_owner_recovers_slots_from_a_failed_standby(fleet) -> None:
    """Guards against slots that remain taken over by a failed standby."""
    list_hosts(fleet, *DOMAINS)
    standby = fleet.owners.standby_by_host['a']
    fleet.crash('a')
    fleet.run(3_000)
    assert takeover_holders(fleet)['a'] == standby
    fleet.crash(standby)
    host = fleet.start('a')
    fleet.run(3_000)
    assert fleet.allowances(fleet.owned_target('a'))['a'] == 2
    other_hosts = [name for name in DOMAINS if name != standby]
    for index in range(3):
        fleet.run(100)
        list_hosts(fleet, *other_hosts, f'x{index}')
    host.departures.on_host_list(interface.HostList(1, {}))
    for index in range(3, 7):
        list_hosts(fleet, *DOMAINS, f'x{index}')
    for index in range(3):
        list_hosts(fleet, *other_hosts, f'y{index}')
    fleet.run(3_000)
    assert host.holder.has_lease


def test_restarted_standby_clears_its_old_takeover(fleet) -> None:
    """Guards against a stale row that blocks the lease in the table."""
    standby = fleet.owners.standby_by_host['a']
    fleet.crash('a')
    fleet.run(3_000)
    fleet.crash(standby)
    fleet.start(standby)
    fleet.start('a')
    fleet.run(3_000)
    assert takeover_holders(fleet) == {}
    assert fleet.host_by_name['a'].holder.has_lease


def test_planned_stop_transfers_all_slots_at_once(fleet) -> None:
    """Guards against slots that remain unused until the lease expires."""
    target = fleet.owned_target('a')
    standby = fleet.owners.standby_by_host['a']
    host = fleet.host_by_name['a']
    assert anyio.run(host.holder.hand_over, 1_000)
    assert fleet.allowances(target)['a'] == 0
    fleet.run(200)
    assert fleet.allowances(target)[standby] == 4
    fleet.crash('a')
    fleet.start('a')
    fleet.run(3_000)
    assert fleet.allowances(target)['a'] == 4


def test_steps_do_not_overlap(fleet) -> None:
    """Guards against a late response that repeats an ended takeover."""
    standby = fleet.owners.standby_by_host['a']
    fleet.crash('a')
    fleet.run(1_500)
    host = fleet.host_by_name[standby]
    host.platform.faults.delay_ms = 700
    before = host.platform.count_by_operation['commit']
    fleet.clock.advance(1_000)
    other = fleet.host_by_name[other_host(fleet, 'a', standby)]

    step_granting = host.grantor._step_granting
    counts = [0]

    async def count_concurrent(owner) -> None:
        counts.append(counts[-1] + 1)
        await step_granting(owner)
        counts.append(counts[-1] - 1)

    host.grantor._step_granting = count_concurrent

    async def repeat() -> None:
        for _ in range(6):
            # Only `a` does not renew; responses take longer than a lease.
            host.grantor.on_renew(other.name, other.incarnation, False)
            if not host.grantor.acting_for:
                await host.grantor.step()
            await anyio.lowlevel.checkpoint()

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(repeat)
            tasks.start_soon(repeat)

    anyio.run(run)
    assert max(counts) == 1
    assert host.grantor.acting_for == {'a'}
    assert host.platform.count_by_operation['commit'] == before + 1


def test_planned_stop_waits_for_requests_in_progress(fleet) -> None:
    """Guards against a standby that adds to requests in progress."""
    target = fleet.owned_target('a')
    grant = fleet.admit('a', target)
    host = fleet.host_by_name['a']
    assert not anyio.run(host.holder.hand_over, 200)
    assert fleet.admit('a', target) is None
    grant.release(fleet_module.slots.AttemptResult.SERVED, 1)


def test_standby_of_an_older_configuration_does_not_take_over(fleet) -> None:
    """Guards against two standbys of different configuration versions."""
    standby = fleet.owners.standby_by_host['a']
    write_head(fleet)
    fleet.crash('a')
    fleet.run(5_000)
    assert fleet.allowances(fleet.owned_target('a'))[standby] == 0
    assert takeover_holders(fleet) == {}


def test_new_standby_waits_for_the_version_of_the_old_one(fleet) -> None:
    """Guards against a takeover while the old standby still grants leases."""
    old = fleet.owners.standby_by_host['a']
    other_hosts = {name: 'north1' for name in DOMAINS if name != old}
    new = other_host(fleet, 'a', old)
    fleet.config = build.build_config(other_hosts, fleet.targets, version=2)
    fleet.host_by_name[new].configure(*fleet.config)
    fleet.recorded_version_by_host[new] = 2
    run_and_check_sums(fleet, 60)
    assert fleet.host_by_name['a'].holder.has_lease
    for name in ('a', old):
        fleet.host_by_name[name].configure(*fleet.config)
        fleet.recorded_version_by_host[name] = 2
    fleet.run(4_000)
    assert fleet.host_by_name['a'].holder.has_lease
    assert takeover_holders(fleet) == {}


def test_tasks_keep_and_transfer_leases_on_the_real_clock() -> None:
    """Guards against tasks that stop or never run their next step."""
    fleet = fleet_module.Fleet(DOMAINS, 12, clock_module.Clock())
    standby = fleet.owners.standby_by_host['a']

    async def run() -> None:
        with anyio.fail_after(30):
            async with anyio.create_task_group() as tasks:
                for name, host in fleet.host_by_name.items():
                    tasks.start_soon(host.grantor.run)
                    if name != 'a':
                        tasks.start_soon(host.holder.run)
                async with anyio.create_task_group() as owner:
                    holder = fleet.host_by_name['a'].holder
                    owner.start_soon(holder.run)
                    while not holder.has_lease:
                        await anyio.sleep(0.01)
                    owner.cancel_scope.cancel()
                peer = fleet.host_by_name[standby].grantor
                while 'a' not in peer.acting_for:
                    await anyio.sleep(0.01)
                tasks.cancel_scope.cancel()

    anyio.run(run)
    assert not fleet.host_by_name['a'].holder.has_lease
