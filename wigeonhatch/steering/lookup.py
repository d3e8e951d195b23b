"""Responses to lookups of callers."""

from __future__ import annotations

import collections.abc
import dataclasses

import msgspec
import xxhash

from wigeonhatch import clock as clocks
from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.blocks import block_map as block_maps
from wigeonhatch.config import model
from wigeonhatch.steering import buckets as hash_buckets
from wigeonhatch.steering import candidates as pools
from wigeonhatch.steering import spillover as spillovers
from wigeonhatch.steering import split

_REFRESH_MS = 250
# Callers of one bucket group are spread over this many orders of hosts; a
# host with less than 1/256 of a region's slots may receive no first place.
_SPREAD = 256
_MAX_HOSTS = 8
# Bounds the memory of one service and region to about 3 MB.
_MAX_RESPONSES = 4_096
_MIN_OTHER_REGION_HOSTS = 2
# A block with more callers than this in one lookup TTL is divided among
# several buckets; otherwise the callers behind one address would all go to
# one region.
_LOOKUPS_PER_BUCKET = 4
_MAX_COUNTED_BLOCKS = 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class LookupHost:
    """One host of a lookup response."""

    host: str
    address: str
    region: str


@dataclasses.dataclass(slots=True)
class _View:
    """State that the responses of a service and region depend on.

    Args:
        read_ms: Time of the last reading.
        state: Usable hosts and which of them report free slots.
        response_by_group: Encoded responses without keys, by spread number
            and order of the other regions.
    """

    read_ms: int
    state: _ViewState
    response_by_group: dict[tuple[int, tuple[str, ...]], bytes] = (
        dataclasses.field(default_factory=dict)
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _ViewState:
    version: int
    usable: frozenset[str]
    free: tuple[tuple[str, int], ...]
    busy: tuple[str, ...]


class LookupTable:
    """Answer lookups from encoded responses.

    Args:
        clock: Clock of this host.
        candidates: Hosts of each service and region.
        splits: Split in force on this host.
        spillover: Buckets in spillover on this host.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        candidates: pools.Candidates,
        splits: split.SplitTable,
        spillover: spillovers.Spillover,
    ) -> None:
        self.generation = 0
        self.block_map: block_maps.BlockMap | None = None
        self._clock = clock
        self._candidates = candidates
        self._splits = splits
        self._spillover = spillover
        self._view_by_key: dict[tuple[str, str], _View] = {}
        self._usable: frozenset[str] = frozenset()
        self._usable_read_ms = -_REFRESH_MS
        self._usable_version = -1
        self._count_by_subject: dict[bytes, int] = {}
        self._counted_since_ms = clock.now_ms

    def answer_lookup(
        self,
        service: str,
        client: str,
        keys: collections.abc.Sequence[str] = (),
    ) -> outcome.Success[bytes] | outcome.Failure:
        """Answer a lookup.

        Args:
            service: Name of the service.
            client: IP address of the client.
            keys: Idempotency keys that were issued for this lookup.

        Returns:
            The JSON body, or `BAD_CLIENT_ADDRESS`, `UNKNOWN_SERVICE`,
            `NOT_READY` or `REGION_UNAVAILABLE` (no host can be named).
        """
        block = hash_buckets.client_block(client)
        if block is None:
            return outcome.Failure(
                codes.ResultCode.BAD_CLIENT_ADDRESS,
                f'{client!r} is not an IP address',
            )
        subject = service.encode() + b'\0' + block
        part = self._count(subject) // _LOOKUPS_PER_BUCKET
        if part:
            subject += b'\0%d' % part
        digest = xxhash.xxh3_64_intdigest(subject)
        bucket = digest % hash_buckets.BUCKET_COUNT
        region = self._spillover.region(
            service, bucket
        ) or self._splits.region(service, bucket)
        if region is None:
            return self._refuse(service)
        order: tuple[str, ...] = ()
        if self.block_map is not None:
            site = self.block_map.site_of_block(block)
            if site is not None:
                order = site.regions
        # The digits above those that chose the bucket are independent of it.
        spread = digest // hash_buckets.BUCKET_COUNT % _SPREAD
        view = self._read_view(service, region)
        body = view.response_by_group.get((spread, order))
        if body is None:
            hosts = self._rank_hosts(region, spread, order, view.state)
            if not hosts:
                return outcome.Failure(
                    codes.ResultCode.REGION_UNAVAILABLE,
                    'no host can be reached',
                )
            body = _encode(service, hosts, view.state.version)
            if len(view.response_by_group) >= _MAX_RESPONSES:
                view.response_by_group.clear()
            view.response_by_group[spread, order] = body
        # Keys are URL-safe text, so they need no escapes.
        joined = b'"%b"' % '","'.join(keys).encode() if keys else b''
        return outcome.Success(
            b'%b%b],"bucket":%d}' % (body[:-2], joined, bucket)
        )

    def _count(self, subject: bytes) -> int:
        """Count the earlier lookups of a block within the TTL."""
        now_ms = self._clock.now_ms
        if (
            now_ms - self._counted_since_ms >= model.LOOKUP_TTL_MS
            or len(self._count_by_subject) >= _MAX_COUNTED_BLOCKS
        ):
            self._counted_since_ms = now_ms
            self._count_by_subject = {}
        count = self._count_by_subject.get(subject, 0)
        self._count_by_subject[subject] = count + 1
        return count

    def _refuse(self, service: str) -> outcome.Failure:
        config = self._candidates.config
        if config is not None and service not in config.service_by_name:
            return outcome.Failure(
                codes.ResultCode.UNKNOWN_SERVICE,
                f'service {service!r} does not exist',
            )
        return outcome.Failure(
            codes.ResultCode.NOT_READY,
            f'the split of service {service!r} is not known yet',
        )

    def _read_view(self, service: str, region: str) -> _View:
        now_ms = self._clock.now_ms
        view = self._view_by_key.get((service, region))
        if (
            view is not None
            and now_ms - view.read_ms < _REFRESH_MS
            and view.state.version == self._candidates.version
        ):
            return view
        state = self._read_state(service, region, now_ms)
        if view is None or view.state != state:
            view = _View(now_ms, state)
            self._view_by_key[service, region] = view
            self.generation += 1
        view.read_ms = now_ms
        return view

    def _read_state(
        self, service: str, region: str, now_ms: int
    ) -> _ViewState:
        candidates = self._candidates
        version = candidates.version
        if (
            now_ms - self._usable_read_ms >= _REFRESH_MS
            or self._usable_version != version
        ):
            draining = candidates.draining()
            self._usable = frozenset(
                name
                for name in candidates.region_by_host
                if (name == candidates.host and name not in draining)
                or candidates.is_usable(name, draining)
            )
            self._usable_read_ms = now_ms
            self._usable_version = version
        pool = candidates.pool(service, region)
        if pool is None:
            return _ViewState(version, self._usable, (), ())
        # The capacity, not the changing number of free slots, decides how
        # many callers a host receives; otherwise responses could hardly be
        # reused.
        free = [
            (item.host, item.capacity)
            for item in pool.members
            if item.free > 0
        ]
        busy = [item.host for item in pool.members if item.free <= 0]
        if pool.has_local:
            load = candidates.local_load(service)
            if load is not None and load.free > 0:
                free.append((candidates.host, load.capacity))
            else:
                busy.append(candidates.host)
        return _ViewState(
            version,
            self._usable,
            tuple(item for item in sorted(free) if item[0] in self._usable),
            tuple(name for name in sorted(busy) if name in self._usable),
        )

    def _rank_hosts(
        self,
        region: str,
        spread: int,
        order: tuple[str, ...],
        state: _ViewState,
    ) -> list[LookupHost]:
        config = self._candidates.config
        assert config is not None
        region_by_host = self._candidates.region_by_host
        names = _rotate_by_weight(state.free, spread)
        names += _rotate(state.busy, spread)
        owners = set(names)
        near = [
            name
            for name, at in region_by_host.items()
            if at == region and name in state.usable and name not in owners
        ]
        names += _rotate(near, spread)
        far_regions = self._far_regions(region, order)
        far_by_region: dict[str, list[str]] = {}
        for name, at in region_by_host.items():
            if at != region and name in state.usable and name not in owners:
                far_by_region.setdefault(at, []).append(name)
        far = [
            name
            for at in far_regions
            for name in _rotate(far_by_region.get(at, []), spread)
        ]
        kept = _MAX_HOSTS - min(len(far), _MIN_OTHER_REGION_HOSTS)
        names = (names[:kept] + far)[:_MAX_HOSTS]
        return [
            LookupHost(
                name,
                config.host_by_name[name].caller_address,
                region_by_host[name],
            )
            for name in names
        ]

    def _far_regions(self, region: str, order: tuple[str, ...]) -> list[str]:
        own = self._candidates.region
        place_by_region = {name: at for at, name in enumerate(order)}
        return sorted(
            (name for name in self._candidates.regions if name != region),
            key=lambda name: (
                place_by_region.get(name, len(order)),
                name != own,
                name,
            ),
        )


def _rotate(names: collections.abc.Sequence[str], spread: int) -> list[str]:
    if not names:
        return []
    at = spread % len(names)
    return [*names[at:], *names[:at]]


def _rotate_by_weight(
    weighted: tuple[tuple[str, int], ...], spread: int
) -> list[str]:
    """Order hosts so that each comes first in proportion to its weight."""
    total = sum(max(1, weight) for _, weight in weighted)
    point = (spread + 0.5) * total / _SPREAD
    for at, (_, weight) in enumerate(weighted):
        point -= max(1, weight)
        if point < 0:
            names = [name for name, _ in weighted]
            return _rotate(names, at)
    return []


def _encode(service: str, hosts: list[LookupHost], version: int) -> bytes:
    return msgspec.json.encode(
        {
            'service': service,
            'hosts': hosts,
            'ttl_ms': model.LOOKUP_TTL_MS,
            'version': version,
            'keys': [],
        }
    )
