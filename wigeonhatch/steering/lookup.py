"""Responses to lookups: the hosts that a caller should connect to."""

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
from wigeonhatch.steering import candidates as candidate_module
from wigeonhatch.steering import spillover as spillover_module
from wigeonhatch.steering import split

_REFRESH_MS = 250
# Number of rotations of the host list among which clients are divided. A host
# with less than 1/256 of a region's slots may never be listed first.
_ROTATION_COUNT = 256
_MAX_HOSTS = 8
# Limits the cache of one service and region to about 3 MB.
_MAX_CACHED_RESPONSES = 4_096
_MIN_OTHER_REGION_HOSTS = 2
# A client block moves on to another bucket after this many lookups in one TTL.
# Otherwise all callers behind one address would be sent to one region.
_LOOKUPS_PER_BUCKET = 4
_MAX_COUNTED_BLOCKS = 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class LookupHost:
    """Host in a lookup response."""

    host: str
    address: str
    region: str


@dataclasses.dataclass(slots=True)
class _ResponseCache:
    """Cached responses for a service and region.

    Args:
        refreshed_ms: Time at which `state` was last compared with the hosts.
        state: Snapshot of the hosts that the responses were built from.
        response_by_order: Encoded responses without keys, by rotation and
            order of the regions for the client's site.
    """

    refreshed_ms: int
    state: _HostSnapshot
    response_by_order: dict[tuple[int, tuple[str, ...]], bytes] = (
        dataclasses.field(default_factory=dict)
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _HostSnapshot:
    config_version: int
    usable: frozenset[str]
    weighted: tuple[tuple[str, int], ...]
    full: tuple[str, ...]


class LookupTable:
    """Answer lookups, from cached responses where possible.

    Args:
        clock: Clock of this host.
        candidates: Candidate hosts of each service and region.
        splits: Splits in force on this host.
        spillover: Buckets in spillover on this host.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        candidates: candidate_module.Candidates,
        splits: split.SplitTable,
        spillover: spillover_module.Spillover,
    ) -> None:
        self.generation = 0
        self.block_map: block_maps.BlockMap | None = None
        self._clock = clock
        self._candidates = candidates
        self._splits = splits
        self._spillover = spillover
        self._cache_by_key: dict[tuple[str, str], _ResponseCache] = {}
        self._usable: frozenset[str] = frozenset()
        self._usable_refreshed_ms = -_REFRESH_MS
        self._usable_config_version = -1
        self._lookups_by_block: dict[bytes, int] = {}
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
            `NOT_READY` or `REGION_UNAVAILABLE` (no host is usable).
        """
        block = hash_buckets.client_block(client)
        if block is None:
            return outcome.Failure(
                codes.ResultCode.BAD_CLIENT_ADDRESS,
                f'{client!r} is not an IP address',
            )
        hash_input = service.encode() + b'\0' + block
        sub_block = self._count_lookup(hash_input) // _LOOKUPS_PER_BUCKET
        if sub_block:
            hash_input += b'\0%d' % sub_block
        digest = xxhash.xxh3_64_intdigest(hash_input)
        bucket = digest % hash_buckets.BUCKET_COUNT
        region = self._spillover.region(
            service, bucket
        ) or self._splits.region(service, bucket)
        if region is None:
            return self._describe_missing_split(service)
        site_order: tuple[str, ...] = ()
        if self.block_map is not None:
            site = self.block_map.find_site_by_block(block)
            if site is not None:
                site_order = site.regions
        # The quotient is independent of the remainder that selects the bucket.
        rotation = digest // hash_buckets.BUCKET_COUNT % _ROTATION_COUNT
        cache = self._refresh_cache(service, region)
        body = cache.response_by_order.get((rotation, site_order))
        if body is None:
            hosts = self._rank_hosts(region, rotation, site_order, cache.state)
            if not hosts:
                return outcome.Failure(
                    codes.ResultCode.REGION_UNAVAILABLE,
                    'no host can be reached',
                )
            body = _encode(service, hosts, cache.state.config_version)
            if len(cache.response_by_order) >= _MAX_CACHED_RESPONSES:
                cache.response_by_order.clear()
            cache.response_by_order[rotation, site_order] = body
        # Keys are URL-safe text, so they need no JSON escapes.
        key_json = b'"%b"' % '","'.join(keys).encode() if keys else b''
        return outcome.Success(
            b'%b%b],"bucket":%d}' % (body[:-2], key_json, bucket)
        )

    def _count_lookup(self, block: bytes) -> int:
        """Count a lookup; return the number of earlier ones in this TTL."""
        now_ms = self._clock.now_ms
        if (
            now_ms - self._counted_since_ms >= model.LOOKUP_TTL_MS
            or len(self._lookups_by_block) >= _MAX_COUNTED_BLOCKS
        ):
            self._counted_since_ms = now_ms
            self._lookups_by_block = {}
        count = self._lookups_by_block.get(block, 0)
        self._lookups_by_block[block] = count + 1
        return count

    def _describe_missing_split(self, service: str) -> outcome.Failure:
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

    def _refresh_cache(self, service: str, region: str) -> _ResponseCache:
        now_ms = self._clock.now_ms
        cache = self._cache_by_key.get((service, region))
        if (
            cache is not None
            and now_ms - cache.refreshed_ms < _REFRESH_MS
            and cache.state.config_version == self._candidates.config_version
        ):
            return cache
        state = self._take_snapshot(service, region, now_ms)
        if cache is None or cache.state != state:
            cache = _ResponseCache(now_ms, state)
            self._cache_by_key[service, region] = cache
            self.generation += 1
        cache.refreshed_ms = now_ms
        return cache

    def _take_snapshot(
        self, service: str, region: str, now_ms: int
    ) -> _HostSnapshot:
        candidates = self._candidates
        config_version = candidates.config_version
        if (
            now_ms - self._usable_refreshed_ms >= _REFRESH_MS
            or self._usable_config_version != config_version
        ):
            draining = candidates.draining()
            self._usable = frozenset(
                name
                for name in candidates.region_by_host
                if (name == candidates.host and name not in draining)
                or candidates.is_usable(name, draining)
            )
            self._usable_refreshed_ms = now_ms
            self._usable_config_version = config_version
        pool = candidates.pool(service, region)
        if pool is None:
            return _HostSnapshot(config_version, self._usable, (), ())
        # Hosts are weighted by capacity. The number of free slots changes so
        # often that cached responses would hardly be reused.
        weighted = [
            (item.host, item.capacity)
            for item in pool.candidates
            if item.free > 0
        ]
        full = [item.host for item in pool.candidates if item.free <= 0]
        if pool.has_local:
            load = candidates.get_local_load(service)
            if load is not None and load.free > 0:
                weighted.append((candidates.host, load.capacity))
            else:
                full.append(candidates.host)
        return _HostSnapshot(
            config_version,
            self._usable,
            tuple(
                item for item in sorted(weighted) if item[0] in self._usable
            ),
            tuple(name for name in sorted(full) if name in self._usable),
        )

    def _rank_hosts(
        self,
        region: str,
        rotation: int,
        site_order: tuple[str, ...],
        state: _HostSnapshot,
    ) -> list[LookupHost]:
        config = self._candidates.config
        assert config is not None
        region_by_host = self._candidates.region_by_host
        names = _rotate_by_weight(state.weighted, rotation)
        names += _rotate(state.full, rotation)
        pool_hosts = set(names)
        nearby = [
            name
            for name, host_region in region_by_host.items()
            if host_region == region
            and name in state.usable
            and name not in pool_hosts
        ]
        names += _rotate(nearby, rotation)
        other_regions = self._rank_other_regions(region, site_order)
        remote_by_region: dict[str, list[str]] = {}
        for name, host_region in region_by_host.items():
            if (
                host_region != region
                and name in state.usable
                and name not in pool_hosts
            ):
                remote_by_region.setdefault(host_region, []).append(name)
        remote = [
            name
            for other in other_regions
            for name in _rotate(remote_by_region.get(other, []), rotation)
        ]
        limit = _MAX_HOSTS - min(len(remote), _MIN_OTHER_REGION_HOSTS)
        names = (names[:limit] + remote)[:_MAX_HOSTS]
        return [
            LookupHost(
                name,
                config.host_by_name[name].caller_address,
                region_by_host[name],
            )
            for name in names
        ]

    def _rank_other_regions(
        self, region: str, site_order: tuple[str, ...]
    ) -> list[str]:
        local_region = self._candidates.local_region
        rank_by_region = {name: rank for rank, name in enumerate(site_order)}
        return sorted(
            (name for name in self._candidates.regions if name != region),
            key=lambda name: (
                rank_by_region.get(name, len(site_order)),
                name != local_region,
                name,
            ),
        )


def _rotate(names: collections.abc.Sequence[str], rotation: int) -> list[str]:
    if not names:
        return []
    start = rotation % len(names)
    return [*names[start:], *names[:start]]


def _rotate_by_weight(
    weighted: tuple[tuple[str, int], ...], rotation: int
) -> list[str]:
    """Rotate hosts so that each comes first in proportion to its weight."""
    total = sum(max(1, weight) for _, weight in weighted)
    offset = (rotation + 0.5) * total / _ROTATION_COUNT
    for index, (_, weight) in enumerate(weighted):
        offset -= max(1, weight)
        if offset < 0:
            names = [name for name, _ in weighted]
            return _rotate(names, index)
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
