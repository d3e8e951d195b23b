"""Hosts that can admit requests of a service in a region."""

from __future__ import annotations

import dataclasses

from wigeonhatch import clock as clocks
from wigeonhatch.config import model
from wigeonhatch.steering import ownership as owners
from wigeonhatch.steering import views

# Reading the records of all owners costs about 1 us for each, so a pool is
# read at most this often.
_REFRESH_MS = 50
# A host exchanges records at least this often; an unchanged record older
# than this confirms that earlier requests are no longer in progress.
_REPORT_MS = 1_000


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
    """Another host that admits requests.

    Args:
        host: Name of the host.
        host_region: Region of the host itself.
        route: Route for requests assigned to the region.
        spill_route: Route for requests in spillover.
        free: Reported free slots less the requests sent since.
        capacity: Reported slots.
        order: Incarnation and sequence of the report.
        counted_ms: Time since when sent requests are subtracted.
    """

    host: str
    host_region: str
    route: Route
    spill_route: Route
    free: int = 0
    capacity: int = 0
    order: tuple[int, int] = (0, 0)
    counted_ms: int = 0


class Pool:
    """Hosts that can admit requests of one service in one region."""

    def __init__(self, service: str, region: str, hosts: list[str]) -> None:
        self.service = service
        self.region = region
        self.owners = hosts
        self.members: list[Candidate] = []
        self.has_local = False
        self.read_ms = -_REFRESH_MS
        self.known_by_host: dict[str, Candidate] = {}

    @property
    def remote_free(self) -> int:
        """Estimated free slots at other hosts."""
        return sum(item.free for item in self.members if item.free > 0)

    @property
    def remote_capacity(self) -> int:
        """Reported slots at other hosts."""
        return sum(item.capacity for item in self.members)


class Candidates:
    """Pools of each service and region, from records up to 1 s old.

    Args:
        host: Name of this host.
        clock: Clock of this host.
        membership: Records of the other hosts.
        local_load: Load of this host's own targets.
    """

    def __init__(
        self,
        host: str,
        clock: clocks.Clock,
        membership: views.MembershipView,
        local_load: views.LocalLoad,
    ) -> None:
        self.host = host
        self.region = ''
        self.regions: tuple[str, ...] = ()
        self.region_by_host: dict[str, str] = {}
        self.version = 0
        self.config: model.SteeringConfig | None = None
        self._clock = clock
        self._membership = membership
        self.local_load = local_load
        self._pool_by_key: dict[tuple[str, str], Pool] = {}

    def configure(
        self, versioned: model.VersionedConfig, ownership: owners.Ownership
    ) -> None:
        """Compute the owners for each service and region.

        Args:
            versioned: Configuration in force.
            ownership: Owners under this configuration.
        """
        config = versioned.config
        region_by_domain = {
            domain: name
            for name, region in config.region_by_name.items()
            for domain in region.domains
        }
        self.version = versioned.version
        self.config = config
        self.regions = tuple(sorted(config.region_by_name))
        self.region_by_host = {
            name: region_by_domain[host.domain]
            for name, host in config.host_by_name.items()
        }
        self.region = self.region_by_host.get(self.host, '')
        hosts_by_key: dict[tuple[str, str], set[str]] = {}
        for name, target in config.target_by_name.items():
            owner = ownership.owner_by_target.get(name)
            if owner is not None:
                key = target.service, region_by_domain[target.domain]
                hosts_by_key.setdefault(key, set()).add(owner)
        self._pool_by_key = {
            key: Pool(*key, sorted(hosts))
            for key, hosts in hosts_by_key.items()
        }

    def pool(self, service: str, region: str) -> Pool | None:
        """Return the pool of a service in a region, at most 50 ms old.

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
        if now_ms - pool.read_ms >= _REFRESH_MS:
            pool.read_ms = now_ms
            self._read(pool, now_ms)
        return pool

    def local_free(self, service: str) -> int:
        """Count the free slots of this host.

        Args:
            service: Name of the service.
        """
        load = self.local_load(service)
        return 0 if load is None else load.free

    def free(self, pool: Pool) -> int:
        """Estimate the free slots of a pool, with those of this host.

        Args:
            pool: Result of `pool`.
        """
        local = self.local_free(pool.service) if pool.has_local else 0
        return local + pool.remote_free

    def capacity(self, pool: Pool) -> int:
        """Count the slots of a pool, with those of this host.

        Args:
            pool: Result of `pool`.
        """
        load = self.local_load(pool.service) if pool.has_local else None
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

    def _read(self, pool: Pool, now_ms: int) -> None:
        draining = self._membership.draining()
        members: dict[str, Candidate] = {}
        has_local = False
        for owner in pool.owners:
            # Owner and actor may both admit: floor slots at the owner and
            # leased slots at the host that has taken them over.
            for name in (owner, self._membership.actor_for(owner)):
                if name == self.host:
                    has_local = True
                elif name is not None and self.is_usable(name, draining):
                    candidate = self._read_candidate(pool, name, now_ms)
                    if candidate is not None:
                        members[name] = candidate
        pool.members = list(members.values())
        pool.known_by_host = members
        pool.has_local = has_local

    def _read_candidate(
        self, pool: Pool, name: str, now_ms: int
    ) -> Candidate | None:
        record = self._membership.record(name)
        load = self._membership.load(name, pool.service)
        if record is None or load is None:
            return None
        order = record.incarnation, record.sequence
        known = pool.known_by_host.get(name)
        if known is None:
            known = Candidate(
                name,
                self.region_by_host.get(name, pool.region),
                Route(name, pool.region, False, False),
                Route(name, pool.region, False, True),
            )
        elif order == known.order and now_ms - known.counted_ms < _REPORT_MS:
            return known
        known.free = load.free
        known.capacity = load.capacity
        known.order = order
        known.counted_ms = now_ms
        return known
