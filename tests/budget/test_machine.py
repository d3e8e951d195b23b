"""Stateful tests of leases under crashes, pauses, partitions and changes."""

from __future__ import annotations

import os

import anyio
import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from benchmarks import lease_fleet as fleet_module
from benchmarks import small_config as build
from wigeonhatch.budget import slots
from wigeonhatch.config import head as heads
from wigeonhatch.config import model
from wigeonhatch.platform import interface

HOSTS = ('a', 'b', 'c', 'd')
SLOTS = 4
DOMAINS = dict.fromkeys(HOSTS[:3], 'north1') | {'d': 'north2'}
# Hosts and floor percentages of the configurations that are applied.
VARIANTS = (
    (HOSTS, 50.0),
    (('a', 'b'), 50.0),
    (('b', 'c', 'd'), 25.0),
    (HOSTS, 75.0),
    (('a', 'd'), 50.0),
)
host_names = strategies.sampled_from(HOSTS)
EXAMPLES = int(os.environ.get('MACHINE_EXAMPLES', '60'))


class SlotMachine(stateful.RuleBasedStateMachine):
    """Inject faults in any order and check the sum of the allowances."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = fleet_module.Fleet(DOMAINS, targets=5)
        self.fleet.on_tick = self.check
        self.grants: list[tuple[str, int, slots.SlotGrant]] = []
        self.write_head(1)

    def write_head(self, version: int) -> None:
        value = f'{{"version": {version}}}'.encode()
        writes = [interface.Write(heads.HEAD_KEY, value)]
        anyio.run(self.fleet.platform.commit, [], writes)

    @stateful.rule(ticks=strategies.integers(1, 45))
    def wait(self, ticks: int) -> None:
        self.fleet.run(ticks * fleet_module.TICK_MS)

    @stateful.rule(name=host_names)
    def crash_or_replace(self, name: str) -> None:
        if name in self.fleet.host_by_name:
            self.fleet.crash(name)
        else:
            self.fleet.start(name)
            self.list_hosts(1)

    @stateful.rule(name=host_names)
    def pause_or_resume(self, name: str) -> None:
        host = self.fleet.host_by_name.get(name)
        if host is not None:
            host.is_paused = not host.is_paused

    @stateful.rule(one=host_names, other=host_names)
    def cut_or_heal(self, one: str, other: str) -> None:
        self.fleet.cut_links ^= {frozenset((one, other))}

    @stateful.rule(
        name=host_names,
        fault=strategies.sampled_from(
            ('down', 'lost_responses', 'dropped_writes', 'stale_reads')
        ),
    )
    def fail_platform(self, name: str, fault: str) -> None:
        host = self.fleet.host_by_name.get(name)
        if host is not None:
            value = int(not getattr(host.platform.faults, fault))
            setattr(host.platform.faults, fault, value)

    @stateful.rule(variant=strategies.sampled_from(VARIANTS))
    def apply(self, variant) -> None:
        names, floor = variant
        version = self.fleet.config[0].version + 1
        self.fleet.config = build.build_config(
            {name: DOMAINS[name] for name in names},
            self.fleet.targets,
            SLOTS,
            version,
            tuning=model.Tuning(floor_percent=floor),
        )
        self.write_head(version)

    @stateful.rule(name=host_names)
    def deliver(self, name: str) -> None:
        host = self.fleet.host_by_name.get(name)
        if host is not None and not host.is_paused:
            host.configure(*self.fleet.config)
            self.fleet.recorded_version_by_host[name] = host.version

    @stateful.rule(count=strategies.integers(1, 3))
    def list_hosts(self, count: int) -> None:
        names = dict.fromkeys(
            self.fleet.host_by_name, interface.HostState.LIVE
        )
        for _ in range(count):
            hosts = self.fleet.platform.set_hosts(names)
            for host in self.fleet.host_by_name.values():
                if not host.platform.faults.down and not host.is_paused:
                    host.departures.on_host_list(hosts)

    @stateful.rule(name=host_names)
    def stop(self, name: str) -> None:
        host = self.fleet.host_by_name.get(name)
        if host is None or host.is_paused:
            return

        async def run() -> None:
            await host.holder.hand_over(100)
            await host.grantor.stop(100)

        anyio.run(run)
        self.fleet.crash(name)

    @stateful.rule(name=host_names, index=strategies.integers(0, 4))
    def admit(self, name: str, index: int) -> None:
        host = self.fleet.host_by_name.get(name)
        if host is None or host.is_paused:
            return
        target = f't{index}'
        grant = self.fleet.admit(name, target)
        if grant is not None:
            assert host.table.in_progress_on(target) <= host.table.allowance(
                target
            )
            self.grants.append((name, host.incarnation, grant))

    @stateful.rule(data=strategies.data())
    def finish(self, data: strategies.DataObject) -> None:
        if self.grants:
            index = data.draw(strategies.integers(0, len(self.grants) - 1))
            name, incarnation, grant = self.grants.pop(index)
            host = self.fleet.host_by_name.get(name)
            if host is not None and host.incarnation == incarnation:
                grant.release(slots.AttemptResult.SERVED, 1)

    @stateful.invariant()
    def check(self) -> None:
        for target in self.fleet.targets:
            allowed = self.fleet.allowances(target)
            assert sum(allowed.values()) <= SLOTS, (target, allowed)
        for host in self.fleet.host_by_name.values():
            assert host.table.violations == 0


class RecoveryMachine(SlotMachine):
    """Inject the same faults and check that all slots are recovered."""

    def teardown(self) -> None:
        fleet = self.fleet
        fleet.cut_links.clear()
        for name in HOSTS:
            if name not in fleet.host_by_name:
                fleet.start(name)
        for name, host in fleet.host_by_name.items():
            host.is_paused = False
            host.platform.faults = type(host.platform.faults)()
            host.configure(*fleet.config)
            fleet.recorded_version_by_host[name] = host.version
        for name, incarnation, grant in self.grants:
            if fleet.host_by_name[name].incarnation == incarnation:
                grant.release(slots.AttemptResult.SERVED, 1)
        self.list_hosts(1)
        for _ in range(7):
            fleet.run(10_000)
            missing = {
                target: fleet.allowances(target)
                for target, owner in fleet.owners.owner_by_target.items()
                if fleet.allowances(target)[owner] != SLOTS
            }
            if not missing:
                break
        assert not missing


SETTINGS = hypothesis.settings(
    max_examples=EXAMPLES,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)


def test_sum_of_allowances_never_exceeds_the_slots() -> None:
    """Guards against an overloaded target after any sequence of faults."""
    stateful.run_state_machine_as_test(SlotMachine, settings=SETTINGS)


def test_all_slots_return_after_the_faults() -> None:
    """Guards against slots that remain unused after the faults have ended."""
    stateful.run_state_machine_as_test(RecoveryMachine, settings=SETTINGS)
