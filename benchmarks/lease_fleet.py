"""Simulated hosts with leases on a shared clock, for benchmarks and tests."""

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
    """One incarnation of a host: its slot table, lease holder and grantor.

    Args:
        fleet: Fleet that the host belongs to.
        name: Name of the host.
        incarnation: Number of the incarnation.
    """

    def __init__(self, fleet: Fleet, name: str, incarnation: int) -> None:
        self.name = name
        self.incarnation = incarnation
        self.is_paused = False
        self.version = 0
        self.renew_in_ms = 0
        self.platform = fleet.platform.client()
        self.departures = departures.Departures(fleet.clock)
        self._fleet = fleet
        self.table = slots.SlotTable(
            name,
            fleet.clock,
            self.confirmed_version,
            lambda: list(fleet.host_by_name),
        )
        self.grantor = grantor.LeaseGrantor(
            name,
            fleet.clock,
            self.platform,
            self.table,
            self.confirmed_version,
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

    def confirmed_version(self, name: str) -> int | None:
        """Return the version that a host and those acting for it confirmed."""
        if self.departures.has_left(name):
            return slots.DEPARTED_VERSION
        versions = [
            host.version
            for host in self._fleet.host_by_name.values()
            if name in host.grantor.acting_for
        ]
        recorded = self._fleet.recorded_version_by_host.get(name)
        return None if recorded is None else min([recorded, *versions])

    def configure(
        self, versioned: model.VersionedConfig, owners: ownership.Ownership
    ) -> None:
        """Apply a configuration to the slot table, holder and grantor."""
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
    """Simulated hosts, their platform and the connections between them.

    Args:
        domains: Failure domain by host.
        targets: Number of targets in the domain `north1`.
        clock: Clock of all hosts; `run` needs a manual clock, the default.
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
        self.config = small_config.build_config(domains, self.targets)
        self.host_by_name: dict[str, Host] = {}
        self.cut_links: set[frozenset[str]] = set()
        self.recorded_version_by_host: dict[str, int] = {}
        self.on_tick: collections.abc.Callable[[], None] = lambda: None
        self._incarnations = 0
        for name in domains:
            self.start(name)

    @property
    def owners(self) -> ownership.Ownership:
        """Owners and standbys under the current configuration."""
        return self.config[1]

    def start(self, name: str) -> Host:
        """Start a new incarnation of a host, replacing a running one."""
        self._incarnations += 1
        host = Host(self, name, self._incarnations)
        self.host_by_name[name] = host
        host.configure(*self.config)
        self.recorded_version_by_host[name] = host.version
        return host

    def crash(self, name: str) -> None:
        """Stop a host at once, without releasing its lease."""
        del self.host_by_name[name]

    def is_connected(self, sender: str, receiver: str) -> bool:
        """Return whether a message reaches the receiver."""
        peer = self.host_by_name.get(receiver)
        return (
            peer is not None
            and not peer.is_paused
            and frozenset((sender, receiver)) not in self.cut_links
        )

    def run(self, duration_ms: int) -> None:
        """Advance the clock and run all hosts that are not paused.

        Args:
            duration_ms: Simulated time in ms, in steps of `TICK_MS`.
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
                    host.renew_in_ms -= TICK_MS
                    if host.renew_in_ms <= 0:
                        host.renew_in_ms = lease.RENEW_INTERVAL_MS
                        tasks.start_soon(host.holder.step)
                    tasks.start_soon(host.grantor.step)
            self.on_tick()

    def allowances(self, target: str) -> dict[str, int]:
        """Return the slots of a target that each running host may use."""
        return {
            host.name: host.table.allowance(target)
            for host in self.host_by_name.values()
            if not host.is_paused
        }

    def owned_target(self, name: str) -> str:
        """Return the first target that a host owns."""
        return self.owners.targets_by_owner[name][0]

    def admit(self, name: str, target: str) -> slots.SlotGrant | None:
        """Acquire a slot of one target; None if it has no free slot."""
        table = self.host_by_name[name].table
        others = []
        grant = None
        request = slots.SlotRequest('s', '', True, 0, None)
        while isinstance(result := table.acquire(request), outcome.Success):
            if result.value.target == target:
                grant = result.value
                break
            others.append(result.value)
        for other in others:
            other.release(slots.AttemptResult.CANCELLED, 1)
        return grant
