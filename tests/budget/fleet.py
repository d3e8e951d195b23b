"""Hosts with leases on one clock, for the tests of leases."""

from __future__ import annotations

import anyio

from tests.budget import build
from wigeonhatch import clock as clock_module
from wigeonhatch import outcome
from wigeonhatch.budget import departures
from wigeonhatch.budget import grantor
from wigeonhatch.budget import lease
from wigeonhatch.budget import slots
from wigeonhatch.standins import memory_platform

TICK_MS = 100


class Host:
    """One incarnation of a host with its budget."""

    def __init__(self, fleet: Fleet, name: str, incarnation: int) -> None:
        self.name = name
        self.fleet = fleet
        self.incarnation = incarnation
        self.is_paused = False
        self.version = 0
        self.wait_ms = 0
        self.platform = fleet.platform.client()
        self.departures = departures.Departures(fleet.clock)
        self.table = slots.SlotTable(name, fleet.clock, self.confirmed)
        self.grantor = grantor.LeaseGrantor(
            name,
            fleet.clock,
            self.platform,
            self.table,
            self.confirmed,
            self.departures,
        )

        async def renew(standby: str, release: bool):
            await anyio.lowlevel.checkpoint()
            if not fleet.is_connected(name, standby):
                return None
            peer = fleet.host_by_name[standby]
            decision = peer.grantor.on_renew(name, incarnation, release)
            await anyio.lowlevel.checkpoint()
            return decision if fleet.is_connected(standby, name) else None

        self.holder = lease.LeaseHolder(
            name,
            incarnation,
            fleet.clock,
            self.platform,
            self.table,
            renew,
            self.departures,
        )

    def confirmed(self, name: str) -> int | None:
        if self.departures.has_left(name):
            return slots.HAS_LEFT
        versions = [
            host.version
            for host in self.fleet.host_by_name.values()
            if name in host.grantor.acting_for
        ]
        known = self.fleet.record_by_host.get(name)
        return None if known is None else min([known, *versions])

    def configure(self, versioned, owners) -> None:
        self.version = versioned.version
        for part in (self.table, self.holder, self.grantor):
            part.configure(versioned, owners)


class Fleet:
    """All hosts, the platform and the connections between them."""

    def __init__(self, domains: dict[str, str], targets: int = 6) -> None:
        self.clock = clock_module.ManualClock()
        self.platform = memory_platform.MemoryPlatform(self.clock)
        self.targets = {
            f't{index}': ('s', 'north1') for index in range(targets)
        }
        self.domain_by_host = domains
        self.current = build.build_config(domains, self.targets)
        self.host_by_name: dict[str, Host] = {}
        self.gone: list[Host] = []
        self.cut: set[frozenset[str]] = set()
        self.record_by_host: dict[str, int] = {}
        self.incarnations = 0
        self.on_tick = lambda: None
        for name in domains:
            self.start(name)

    @property
    def owners(self):
        return self.current[1]

    def start(self, name: str) -> Host:
        self.incarnations += 1
        host = Host(self, name, self.incarnations)
        self.host_by_name[name] = host
        host.configure(*self.current)
        self.record_by_host[name] = host.version
        return host

    def crash(self, name: str) -> None:
        self.gone.append(self.host_by_name.pop(name))

    def is_connected(self, one: str, other: str) -> bool:
        peer = self.host_by_name.get(other)
        return (
            peer is not None
            and not peer.is_paused
            and frozenset((one, other)) not in self.cut
        )

    def run(self, duration_ms: int) -> None:
        """Let time pass on all hosts that are not paused."""
        anyio.run(self._run, duration_ms)

    async def _run(self, duration_ms: int) -> None:
        for passed_ms in range(0, duration_ms, TICK_MS):
            self.clock.advance(TICK_MS)
            async with anyio.create_task_group() as tasks:
                for host in list(self.host_by_name.values()):
                    if host.is_paused:
                        continue
                    host.wait_ms -= TICK_MS
                    if host.wait_ms <= 0:
                        host.wait_ms = lease.RENEW_MS
                        tasks.start_soon(host.holder.step)
                    tasks.start_soon(host.grantor.step)
            self.on_tick()

    def allowed(self, target: str) -> dict[str, int]:
        """Slots of a target that each running host may use now."""
        return {
            host.name: host.table.allowance(target)
            for host in self.host_by_name.values()
            if not host.is_paused
        }

    def owned(self, name: str) -> str:
        return self.owners.targets_by_owner[name][0]

    def admit(self, name: str, target: str) -> slots.SlotGrant | None:
        """Admit to a target, returning the slots of others at once."""
        table = self.host_by_name[name].table
        other = []
        found = None
        demand = slots.Demand('s', '', True, 0, None)
        while isinstance(got := table.acquire(demand), outcome.Success):
            if got.value.target == target:
                found = got.value
                break
            other.append(got.value)
        for grant in other:
            grant.release(slots.AttemptResult.CANCELLED, 1)
        return found
