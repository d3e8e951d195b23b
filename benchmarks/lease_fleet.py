"""Hosts with leases on one manual clock, for simulations and tests."""

from __future__ import annotations

import collections.abc

import anyio

from benchmarks import small_config
from wigeonhatch import clock as clock_module
from wigeonhatch import outcome
from wigeonhatch.budget import departures
from wigeonhatch.budget import grantor
from wigeonhatch.budget import lease
from wigeonhatch.budget import slots
from wigeonhatch.config import model
from wigeonhatch.standins import memory_platform
from wigeonhatch.steering import ownership

TICK_MS = 100


class Host:
    """One incarnation of a host with its budget.

    Args:
        fleet: Fleet of the host.
        name: Name of the host.
        incarnation: Number of the incarnation.
    """

    def __init__(self, fleet: Fleet, name: str, incarnation: int) -> None:
        self.name = name
        self.incarnation = incarnation
        self.is_paused = False
        self.version = 0
        self.wait_ms = 0
        self.platform = fleet.platform.client()
        self.departures = departures.Departures(fleet.clock)
        self._fleet = fleet
        self.table = slots.SlotTable(
            name, fleet.clock, self.confirmed, lambda: list(fleet.host_by_name)
        )
        self.grantor = grantor.LeaseGrantor(
            name,
            fleet.clock,
            self.platform,
            self.table,
            self.confirmed,
            self.departures,
        )
        self.holder = lease.LeaseHolder(
            name,
            incarnation,
            fleet.clock,
            self.platform,
            self.table,
            self._renew,
            self.departures,
        )

    def confirmed(self, name: str) -> int | None:
        """Name the version that a host and its actors have confirmed."""
        if self.departures.has_left(name):
            return slots.DEPARTED_VERSION
        versions = [
            host.version
            for host in self._fleet.host_by_name.values()
            if name in host.grantor.acting_for
        ]
        known = self._fleet.record_by_host.get(name)
        return None if known is None else min([known, *versions])

    def configure(
        self,
        versioned: model.VersionedConfig,
        owners: ownership.Ownership,
    ) -> None:
        """Apply a configuration to all parts of the budget."""
        self.version = versioned.version
        self.table.configure(versioned, owners)
        self.holder.configure(versioned, owners)
        self.grantor.configure(versioned, owners)

    async def _renew(
        self, standby: str, release: bool
    ) -> lease.LeaseDecision | None:
        await anyio.lowlevel.checkpoint()
        if not self._fleet.is_connected(self.name, standby):
            return None
        peer = self._fleet.host_by_name[standby]
        decision = peer.grantor.on_renew(self.name, self.incarnation, release)
        await anyio.lowlevel.checkpoint()
        if not self._fleet.is_connected(standby, self.name):
            return None
        return decision


class Fleet:
    """All hosts, the platform and the connections between them.

    Args:
        domains: Domain by host.
        targets: Number of targets in the domain `north1`.
        clock: Clock of all hosts; `run` needs a manual one.
    """

    def __init__(
        self,
        domains: dict[str, str],
        targets: int = 6,
        clock: clock_module.Clock | None = None,
    ) -> None:
        self.clock = clock or clock_module.ManualClock()
        self.platform = memory_platform.MemoryPlatform(self.clock)
        self.targets = {
            f't{index}': ('s', 'north1') for index in range(targets)
        }
        self.current = small_config.build_config(domains, self.targets)
        self.host_by_name: dict[str, Host] = {}
        self.cut: set[frozenset[str]] = set()
        self.record_by_host: dict[str, int] = {}
        self.on_tick: collections.abc.Callable[[], None] = lambda: None
        self._incarnations = 0
        for name in domains:
            self.start(name)

    @property
    def owners(self) -> ownership.Ownership:
        """Owners and standbys of the newest configuration."""
        return self.current[1]

    def start(self, name: str) -> Host:
        """Start a host, replacing one of the same name."""
        self._incarnations += 1
        host = Host(self, name, self._incarnations)
        self.host_by_name[name] = host
        host.configure(*self.current)
        self.record_by_host[name] = host.version
        return host

    def crash(self, name: str) -> None:
        """End a host at once."""
        del self.host_by_name[name]

    def is_connected(self, one: str, other: str) -> bool:
        """Tell whether a message reaches the other host."""
        peer = self.host_by_name.get(other)
        return (
            peer is not None
            and not peer.is_paused
            and frozenset((one, other)) not in self.cut
        )

    def run(self, duration_ms: int) -> None:
        """Let time pass on all hosts that are not paused.

        Args:
            duration_ms: Time in ms, in steps of `TICK_MS`.
        """
        anyio.run(self._run, duration_ms)

    async def _run(self, duration_ms: int) -> None:
        assert isinstance(self.clock, clock_module.ManualClock)
        for _ in range(0, duration_ms, TICK_MS):
            self.clock.advance(TICK_MS)
            async with anyio.create_task_group() as tasks:
                for host in list(self.host_by_name.values()):
                    if host.is_paused:
                        continue
                    host.table.loads()
                    host.wait_ms -= TICK_MS
                    if host.wait_ms <= 0:
                        host.wait_ms = lease.RENEW_INTERVAL_MS
                        tasks.start_soon(host.holder.step)
                    tasks.start_soon(host.grantor.step)
            self.on_tick()

    def allowed(self, target: str) -> dict[str, int]:
        """Name the slots that each running host may use on a target."""
        return {
            host.name: host.table.allowance(target)
            for host in self.host_by_name.values()
            if not host.is_paused
        }

    def owned(self, name: str) -> str:
        """Name a target that a host owns."""
        return self.owners.targets_by_owner[name][0]

    def admit(self, name: str, target: str) -> slots.SlotGrant | None:
        """Admit a request to a given target, if it has a free slot."""
        table = self.host_by_name[name].table
        other = []
        found = None
        request = slots.SlotRequest('s', '', True, 0, None)
        while isinstance(got := table.acquire(request), outcome.Success):
            if got.value.target == target:
                found = got.value
                break
            other.append(got.value)
        for grant in other:
            grant.release(slots.AttemptResult.CANCELLED, 1)
        return found
