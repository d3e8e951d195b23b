"""Candidate hosts for the requests of a service in a region."""

from __future__ import annotations

import dataclasses

from wigeonhatch import clock as clocks
from wigeonhatch.config import model
from wigeonhatch.steering import ownership as ownership_module
from wigeonhatch.steering import views

# Reading the record takes about 1 us per owner, so a pool caches the records
# for this long.
_REFRESH_MS = 50
# Hosts exchange records at least this often. A record that is still the same
# after this time shows that the requests sent before have ended.
_REPORT_INTERVAL_MS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Host to send a request to.

    Args:
        host: Name of the host that admits the request.
        region: Region whose targets serve the request.
        is_local: Whether this host admits the request itself.
        is_spillover: Whether `region` differs from the assigned region.
    """

    host: str
    region: str
    is_local: bool
    is_spillover: bool


@dataclasses.dataclass(slots=True)
class Candidate:
    """Remote host that can admit requests of a pool.

    Args:
        host: Name of the host.
        host_region: Region in which the host runs.
        route: Route for requests assigned to the pool's region.
        spillover_route: Route for requests in spillover.
        free: Reported free slots minus the requests sent since the report.
        capacity: Reported total of slots.
        report_id: Incarnation and sequence number of the report.
        refreshed_ms: Time at which `free` was last set from a report.
    """

    host: str
    host_region: str
    route: Route
    spillover_route: Route
    free: int = 0
    capacity: int = 0
    report_id: tuple[int, int] = (0, 0)
    refreshed_ms: int = 0


class HostPool:
    """Hosts that can admit requests of one service in one region."""

    def __init__(self, service: str, region: str, owners: list[str]) -> None:
        self.service = service
        self.region = region
        self.owners = owners
        self.candidates: list[Candidate] = []
        self.has_local = False
        self.refreshed_ms = -_REFRESH_MS
        self.candidate_by_host: dict[str, Candidate] = {}

    @property
    def remote_free_slots(self) -> int:
        """Estimated number of free slots at other hosts."""
        return sum(item.free for item in self.candidates if item.free > 0)

    @property
    def remote_capacity(self) -> int:
        """Reported total of slots at other hosts."""
        return sum(item.capacity for item in self.candidates)


class Candidates:
    """Pools of each service and region, from records up to 1 s old.

    Args:
        host: Name of this host.
        clock: Clock of this host.
        membership: Records of the other hosts.
        get_local_load: Returns the load of a service at this host.
    """

    def __init__(
        self,
        host: str,
        clock: clocks.Clock,
        membership: views.MembershipView,
        get_local_load: views.GetLocalLoad,
    ) -> None:
        self.host = host
        self.local_region = ''
        self.regions: tuple[str, ...] = ()
        self.region_by_host: dict[str, str] = {}
        self.config_version = 0
        self.config: model.SteeringConfig | None = None
        self._clock = clock
        self._membership = membership
        self.get_local_load = get_local_load
        self._pool_by_key: dict[tuple[str, str], HostPool] = {}

    def configure(
        self,
        versioned: model.VersionedConfig,
        ownership: ownership_module.Ownership,
    ) -> None:
        """Build the pools for a configuration.

        Args:
            versioned: Configuration in force.
            ownership: Owners and standbys in this configuration.
        """
        config = versioned.config
        region_by_domain = {
            domain: name
            for name, region in config.region_by_name.items()
            for domain in region.domains
        }
        self.config_version = versioned.version
        self.config = config
        self.regions = tuple(sorted(config.region_by_name))
        self.region_by_host = {
            name: region_by_domain[host.domain]
            for name, host in config.host_by_name.items()
        }
        self.local_region = self.region_by_host.get(self.host, '')
        hosts_by_key: dict[tuple[str, str], set[str]] = {}
        for name, target in config.target_by_name.items():
            owner = ownership.owner_by_target.get(name)
            if owner is not None:
                key = target.service, region_by_domain[target.domain]
                hosts_by_key.setdefault(key, set()).add(owner)
        self._pool_by_key = {
            key: HostPool(*key, sorted(hosts))
            for key, hosts in hosts_by_key.items()
        }

    def pool(self, service: str, region: str) -> HostPool | None:
        """Return the pool of a service in a region, cached for up to 50 ms.

        Args:
            service: Name of the service.
            region: Name of the region.

        Returns:
            The pool; None if no target of the service is in the region.
        """
        pool = self._pool_by_key.get((service, region))
        if pool is None:
            return None
        now_ms = self._clock.now_ms
        if now_ms - pool.refreshed_ms >= _REFRESH_MS:
            pool.refreshed_ms = now_ms
            self._refresh(pool, now_ms)
        return pool

    def local_free_slots(self, service: str) -> int:
        """Count the free slots of this host.

        Args:
            service: Name of the service.
        """
        load = self.get_local_load(service)
        return 0 if load is None else load.free

    def free_slots(self, pool: HostPool) -> int:
        """Estimate the free slots of a pool, including those of this host.

        Args:
            pool: Result of `pool`.
        """
        local = self.local_free_slots(pool.service) if pool.has_local else 0
        return local + pool.remote_free_slots

    def total_slots(self, pool: HostPool) -> int:
        """Count all slots of a pool, including those of this host.

        Args:
            pool: Result of `pool`.
        """
        load = self.get_local_load(pool.service) if pool.has_local else None
        return (load.capacity if load else 0) + pool.remote_capacity

    def is_usable(self, host: str, draining: frozenset[str]) -> bool:
        """Report whether another host may receive new requests.

        Args:
            host: Name of the host.
            draining: Names of draining hosts.
        """
        return (
            host not in draining
            and self._membership.is_reachable(host)
            and self._membership.is_serving(host)
        )

    def draining(self) -> frozenset[str]:
        """Return the names of draining hosts and targets."""
        return self._membership.draining()

    def _refresh(self, pool: HostPool, now_ms: int) -> None:
        draining = self._membership.draining()
        candidate_by_host: dict[str, Candidate] = {}
        has_local = False
        for owner in pool.owners:
            # Both may admit requests: the owner on its floor slots, which
            # need no lease, and the host acting for it on leased slots.
            for name in (owner, self._membership.actor_for(owner)):
                if name == self.host:
                    has_local = True
                elif name is not None and self.is_usable(name, draining):
                    candidate = self._refresh_candidate(pool, name, now_ms)
                    if candidate is not None:
                        candidate_by_host[name] = candidate
        pool.candidates = list(candidate_by_host.values())
        pool.candidate_by_host = candidate_by_host
        pool.has_local = has_local

    def _refresh_candidate(
        self, pool: HostPool, name: str, now_ms: int
    ) -> Candidate | None:
        record = self._membership.record(name)
        load = self._membership.load(name, pool.service)
        if record is None or load is None:
            return None
        report_id = record.incarnation, record.sequence
        candidate = pool.candidate_by_host.get(name)
        if candidate is None:
            candidate = Candidate(
                name,
                self.region_by_host.get(name, pool.region),
                Route(name, pool.region, False, False),
                Route(name, pool.region, False, True),
            )
        elif (
            report_id == candidate.report_id
            and now_ms - candidate.refreshed_ms < _REPORT_INTERVAL_MS
        ):
            return candidate
        candidate.free = load.free
        candidate.capacity = load.capacity
        candidate.report_id = report_id
        candidate.refreshed_ms = now_ms
        return candidate
