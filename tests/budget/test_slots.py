"""Tests of the admission of requests to targets."""

from __future__ import annotations

import anyio
import pytest

from benchmarks import small_config as build
from wigeonhatch import clock as clock_module
from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.budget import slots
from wigeonhatch.config import model

SERVED = slots.AttemptResult.SERVED
SHED = slots.AttemptResult.SHED
FAILED = slots.AttemptResult.CONNECT_FAILED
HOSTS = {'a': 'north1', 'b': 'north1'}


def slot_request(customer: str = '', on_preempt=None) -> slots.SlotRequest:
    return slots.SlotRequest('s', customer, True, 0, on_preempt)


def build_table(targets=1, size=4, warm=True, confirmed=None, **options):
    clock = clock_module.ManualClock()
    table = slots.SlotTable('a', clock, confirmed or (lambda host: None))
    table.configure(
        *build.build_config(
            {'a': 'north1'},
            {f't{index}': ('s', 'north1') for index in range(targets)},
            size,
            **options,
        )
    )
    table.set_lease(True)
    # A restarted host must not use slots that were taken over.
    assert fill(table) == []
    table.resume()
    if warm:
        for _ in range(4):
            step(clock)
            for grant in fill(table):
                grant.release(SERVED, 5)
    return table, clock


def step(clock: clock_module.ManualClock, duration_ms: int = 1_000) -> None:
    clock.advance(duration_ms)


def fill(table: slots.SlotTable, customer: str = '', on_preempt=None):
    grants = []
    while isinstance(
        result := table.acquire(slot_request(customer, on_preempt)),
        outcome.Success,
    ):
        grants.append(result.value)
    assert result.code is codes.ResultCode.NO_CAPACITY
    return grants


def release_all(grants, result=SERVED) -> None:
    for grant in grants:
        grant.release(result, 5)


def test_floor_and_lease_bound_what_is_admitted() -> None:
    """Guards against use of leased slots after the lease has expired."""
    table, clock = build_table(warm=True)
    table.set_lease(True, clock.now_ms + 500)
    assert len(grants := fill(table)) == 4
    release_all(grants)
    step(clock, 500)
    assert len(fill(table)) == 2
    assert table.violations == 0


def test_target_with_lowest_utilization_is_used() -> None:
    """Guards against one target being full while another is idle."""
    table, _ = build_table(targets=3)
    grants = fill(table)
    names = [grant.target for grant in grants]
    for start in range(0, 12, 3):
        assert len(set(names[start : start + 3])) == 3
    release_all(grants)
    release_all(grants)
    assert table.loads()['s'] == slots.LoadSummary(12, 0, 12)


def test_new_target_ramps_up_only_with_success() -> None:
    """Guards against a burst of requests to a target that has just started."""
    table, clock = build_table(warm=False)
    admitted = []
    for _ in range(4):
        grants = fill(table)
        admitted.append(len(grants))
        step(clock)
        release_all(grants)
    assert admitted == [1, 2, 4, 4]
    table, clock = build_table(warm=False)
    for _ in range(4):
        step(clock)
        release_all(fill(table), slots.AttemptResult.TIMEOUT)
    assert len(fill(table)) == 1


def test_shedding_halves_and_recovers() -> None:
    """Guards against undiminished load on a target that sheds load."""
    table, clock = build_table()
    grants = fill(table)
    grants[0].release(SHED, 1)
    grants[1].release(SHED, 1)
    assert table.loads()['s'].capacity == 2
    release_all(grants)
    step(clock)
    assert table.loads()['s'].capacity == 3
    step(clock)
    assert table.loads()['s'].capacity == 4


def test_failed_target_is_ejected_and_returns_with_a_ramp_up() -> None:
    """Guards against attempts at a failed target, and its permanent loss."""
    table, clock = build_table(targets=2)
    for _ in range(40):
        result = table.acquire(slot_request())
        assert isinstance(result, outcome.Success)
        is_failed = result.value.target == 't0'
        result.value.release(FAILED if is_failed else SERVED, 1)
    assert table.loads()['s'].capacity == 4
    table.on_probe('t0', False)
    assert table.loads()['s'].capacity == 4
    table.on_probe('t0', True)
    assert table.loads()['s'].capacity == 5


def test_ejected_target_is_tried_again_without_probes() -> None:
    """Guards against a target that stays ejected without probe results."""
    table, clock = build_table()
    release_all(fill(table), FAILED)
    assert fill(table) == []
    for _ in range(5):
        step(clock)
        table.observe_clock()
    trial_grants = fill(table)
    assert len(trial_grants) == 1
    release_all(trial_grants, FAILED)
    assert fill(table) == []


def test_report_lowers_but_never_raises() -> None:
    """Guards against a load report that raises the limit above the slots."""
    table, _ = build_table()
    for serial in range(6):
        table.on_report('t0', slots.LoadReport(0, 9, serial))
    assert table.loads()['s'].capacity == 4
    for serial in range(6, 12):
        table.on_report('t0', slots.LoadReport(0, 2, serial))
    assert table.loads()['s'].capacity == 2


@pytest.mark.parametrize('fault', ['stops', 'repeats', 'contradicts'])
def test_bad_report_loses_its_weight(fault: str) -> None:
    """Guards against wrong load reports that starve a healthy target."""
    table, clock = build_table()
    for serial in range(4):
        table.on_report('t0', slots.LoadReport(0, 0, serial))
    assert table.loads()['s'].capacity == 1
    for serial in range(12):
        if fault == 'stops':
            step(clock, 400)
            table.observe_clock()
        elif fault == 'repeats':
            release_all(fill(table))
            table.on_report('t0', slots.LoadReport(1, 0, 99))
        else:
            table.on_report('t0', slots.LoadReport(40, 0, 100 + serial))
    assert table.loads()['s'].capacity == 4


def test_drained_target_receives_nothing_and_returns_with_a_ramp_up() -> None:
    """Guards against requests to a draining target, and a burst after it."""
    table, _ = build_table(targets=2)
    table.set_drained(frozenset({'t0'}))
    assert {grant.target for grant in fill(table)} == {'t1'}
    table.set_drained(frozenset())
    assert len(fill(table)) == 1


def test_pause_suspends_before_anything_is_admitted() -> None:
    """Guards against admission after a pause; a slow process is not paused."""
    table, clock = build_table()
    for _ in range(5):
        step(clock, 2_000)
        table.observe_clock()
    assert not table.is_suspended
    step(clock, 2_001)
    assert fill(table) == []
    assert table.is_suspended
    table.resume()
    assert len(fill(table)) == 4


def test_takeover_adds_leased_slots_then_floor_slots() -> None:
    """Guards against a standby that uses floor slots too early."""
    clock = clock_module.ManualClock()
    targets = {f't{index}': ('s', 'north1') for index in range(8)}
    versioned, owners = build.build_config(HOSTS, targets, 4)
    table = slots.SlotTable('a', clock, lambda host: 1)
    table.configure(versioned, owners)
    taken = owners.targets_by_owner['b']
    table.take_over('b', False)
    assert {table.allowance(name) for name in taken} == {2}
    grants = fill(table)
    assert table.in_progress_for('b') == len(taken) == len(grants)
    table.take_over('b', True)
    assert {table.allowance(name) for name in taken} == {4}
    table.end_takeover('b')
    assert fill(table) == []
    assert table.in_progress_for('b') == len(taken)
    release_all(grants)
    assert table.in_progress_for('b') == 0


def test_moved_target_waits_for_the_previous_owner() -> None:
    """Guards against two owners that admit to a target at the same time."""
    clock = clock_module.ManualClock()
    version_by_host = {'b': 1}
    targets = {f't{index}': ('s', 'north1') for index in range(8)}
    first, owners = build.build_config(HOSTS, targets)
    table = slots.SlotTable('a', clock, version_by_host.get)
    table.configure(first, owners)
    table.resume()
    moved = owners.targets_by_owner['b']
    before = table.loads()['s'].capacity
    single_host = {'a': 'north1'}
    table.configure(*build.build_config(single_host, targets, version=2))
    assert table.loads()['s'].capacity == before
    version_by_host['b'] = 3
    step(clock, 100)
    assert table.loads()['s'].capacity == before
    version_by_host['b'] = 2
    step(clock, 100)
    assert table.loads()['s'].capacity == before + len(moved)


def test_started_host_waits_for_older_versions_in_its_domain() -> None:
    """Guards against a previous owner in a version that the host missed."""
    clock = clock_module.ManualClock()
    version_by_host = {'b': 1}
    targets = {f't{index}': ('s', 'north1') for index in range(8)}
    table = slots.SlotTable('a', clock, version_by_host.get)
    table.configure(*build.build_config(HOSTS, targets, version=2))
    table.resume()
    assert fill(table) == []
    # A host without a record has not started since this host did.
    del version_by_host['b']
    step(clock, 100)
    assert fill(table)


def test_larger_floor_waits_for_the_standby() -> None:
    """Guards against slot counts of two versions that exceed the slots."""
    version_by_host = {'b': 1}
    targets = {f't{index}': ('s', 'north1') for index in range(8)}
    clock = clock_module.ManualClock()
    table = slots.SlotTable('a', clock, version_by_host.get)
    table.configure(*build.build_config(HOSTS, targets))
    table.resume()
    tuning = model.Tuning(floor_percent=75.0)
    versioned, owners = build.build_config(
        HOSTS, targets, version=2, tuning=tuning
    )
    table.configure(versioned, owners)
    own = owners.targets_by_owner['a'][0]
    assert table.allowance(own) == 2
    version_by_host['b'] = 2
    step(clock, 100)
    assert table.allowance(own) == 3


def test_wrong_cached_limit_is_detected_and_counted() -> None:
    """Guards against an overloaded target when a cached limit is wrong."""
    table, _ = build_table()
    grants = fill(table)
    grants[0].state.limit = 9
    grants[0].state.sort_key = 0.0
    grants[0].service.free = 5
    result = table.acquire(slot_request())
    assert isinstance(result, outcome.Failure)
    assert result.code is codes.ResultCode.INVARIANT_VIOLATED
    assert table.violations == 1
    assert grants[0].state.used == 4


def test_hold_back_keeps_slots_for_the_customer() -> None:
    """Guards against a reservation of which every slot is lent."""
    tuning = model.Tuning(hold_back_percent=20.0)
    table, _ = build_table(targets=5, reserved={'c': 50.0}, tuning=tuning)
    ordinary = fill(table)
    assert len(ordinary) == 18
    assert len(fill(table, 'c')) == 2
    assert table.loads()['s'].free == 0


def test_customer_reclaims_a_lent_slot() -> None:
    """Guards against refused requests within a reservation."""
    table, _ = build_table(reserved={'c': 50.0})
    grants: list[slots.SlotGrant] = []

    def admit(customer: str) -> slots.SlotGrant:
        index = len(grants)
        result = table.acquire(
            slot_request(
                customer,
                lambda: grants[index].release(
                    slots.AttemptResult.CANCELLED, 1
                ),
            )
        )
        assert isinstance(result, outcome.Success)
        grants.append(result.value)
        return result.value

    async def run() -> list[object]:
        return [
            await table.acquire_within(slot_request('c'), 5) for _ in range(3)
        ]

    for _ in range(4):
        admit('')
    results = anyio.run(run)
    are_admitted = [isinstance(item, outcome.Success) for item in results]
    # Two slots are reserved; the third request exceeds the reservation.
    assert are_admitted == [True, True, False]
    assert table.in_progress_on('t0') == 4


def test_released_slot_goes_to_the_customer_first() -> None:
    """Guards against a queue that serves unreserved requests first."""
    table, _ = build_table(reserved={'c': 50.0})
    grants = fill(table)
    order: list[str] = []

    async def wait(customer: str) -> None:
        result = await table.acquire_within(slot_request(customer), 100)
        if isinstance(result, outcome.Success):
            order.append(customer)

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(wait, '')
            await anyio.wait_all_tasks_blocked()
            tasks.start_soon(wait, 'c')
            await anyio.wait_all_tasks_blocked()
            grants[0].release(SERVED, 1)
            await anyio.wait_all_tasks_blocked()
            grants[1].release(SERVED, 1)

    anyio.run(run)
    assert order == ['c', '']


def test_cancelled_waiter_loses_no_slot() -> None:
    """Guards against a slot that is lost when its waiter is cancelled."""
    table, _ = build_table()
    grants = fill(table)

    async def call() -> None:
        result = await table.acquire_within(slot_request(), 100)
        assert isinstance(result, outcome.Success)
        try:
            await anyio.sleep_forever()
        finally:
            result.value.release(slots.AttemptResult.CANCELLED, 1)

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call)
            await anyio.wait_all_tasks_blocked()
            grants[0].release(SERVED, 1)
            tasks.cancel_scope.cancel()

    anyio.run(run)
    assert table.loads()['s'].free == 1
