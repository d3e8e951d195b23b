"""Splits: which region serves each hash bucket of a service."""

from __future__ import annotations

import dataclasses

import msgspec

from wigeonhatch import clock as clocks
from wigeonhatch import codes
from wigeonhatch import decoding
from wigeonhatch import outcome
from wigeonhatch.config import model
from wigeonhatch.steering import buckets as hash_buckets
from wigeonhatch.steering import limiter
from wigeonhatch.steering import step as steps

KEY_PREFIX = 'split/'


def row_key(service: str) -> str:
    """Return the key of the table row that holds the split of a service."""
    return KEY_PREFIX + service


@dataclasses.dataclass(frozen=True, slots=True)
class _SplitRow:
    service: str
    step: int
    change_id: str
    regions: list[str]
    buckets: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class StoredSplit:
    """Split of one service as stored in the platform's table.

    Args:
        service: Name of the service.
        step: Number of the step, from 0; increases by one with each step.
        row_version: Version of the row `split/SERVICE`.
        buckets: Region of each bucket; `BUCKET_COUNT` names.
        change_id: ID of the write; empty if received from a peer.
    """

    service: str
    step: int
    row_version: int
    buckets: tuple[str, ...]
    change_id: str = ''

    def index_regions(self) -> tuple[list[str], bytes]:
        """Encode the buckets as indexes into a list of regions.

        Returns:
            Sorted names of at most 256 regions, and one index byte for each
            bucket, as in the message `peers.Split`.
        """
        regions = sorted(set(self.buckets))
        index_by_region = {name: index for index, name in enumerate(regions)}
        return regions, bytes(index_by_region[name] for name in self.buckets)

    def encode(self) -> bytes:
        """Encode the value of the row, without the row version."""
        regions, indexes = self.index_regions()
        return msgspec.json.encode(
            _SplitRow(
                self.service, self.step, self.change_id, regions, indexes
            )
        )


def from_region_indexes(
    service: str,
    step: int,
    row_version: int,
    regions: list[str],
    indexes: bytes,
    change_id: str = '',
) -> outcome.Success[StoredSplit] | outcome.Failure:
    """Build a split from the representation used in `peers.Split`.

    Args:
        service: Name of the service.
        step: Number of the step.
        row_version: Version of the row.
        regions: Names of the regions.
        indexes: Index into `regions` for each bucket.
        change_id: ID of the write; empty if not known.

    Returns:
        The split, or `CONFIG_INVALID` if the number of buckets, an index, the
        step or the row version is invalid.
    """
    if len(indexes) != hash_buckets.BUCKET_COUNT:
        return _malformed(service, f'{len(indexes)} buckets')
    if max(indexes) >= len(regions):
        return _malformed(service, f'region index {max(indexes)}')
    if step < 0 or row_version < 0:
        return _malformed(service, f'step {step}, row version {row_version}')
    names = tuple(regions[index] for index in indexes)
    return outcome.Success(
        StoredSplit(service, step, row_version, names, change_id)
    )


def decode(
    value: bytes, row_version: int
) -> outcome.Success[StoredSplit] | outcome.Failure:
    """Decode the value of the row `split/SERVICE`.

    Args:
        value: Value of the row.
        row_version: Version of the row.

    Returns:
        The split, or `CONFIG_INVALID` if the value is malformed.
    """
    try:
        row = decoding.decode_json(value, _SplitRow)
    except decoding.DecodeError as error:
        return _malformed('(row)', str(error))
    return from_region_indexes(
        row.service,
        row.step,
        row_version,
        row.regions,
        row.buckets,
        row.change_id,
    )


def _malformed(service: str, reason: str) -> outcome.Failure:
    return outcome.Failure(
        codes.ResultCode.CONFIG_INVALID,
        f'split of service {service!r} is malformed: {reason}',
    )


@dataclasses.dataclass(slots=True)
class _ServiceState:
    limit: limiter.ShiftLimiter
    in_force: tuple[str, ...] | None = None


class SplitTable:
    """Split in force on this host for each service.

    `region` returns None for a service until its stored split is offered, or
    until `mark_loaded` states that there is none. Otherwise, a host that
    starts during a shift would apply the final shares before the shift has
    reached them.

    Args:
        clock: Clock of this host.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.generation = 0
        self._clock = clock
        self._stored_by_service: dict[str, StoredSplit] = {}
        self._state_by_service: dict[str, _ServiceState] = {}
        self._in_force: dict[str, tuple[str, ...]] = {}
        self._config: model.SteeringConfig | None = None
        self._is_loaded = False

    @property
    def violations(self) -> int:
        """Number of violated invariants since the start."""
        return sum(
            state.limit.violations for state in self._state_by_service.values()
        )

    def configure(self, versioned: model.VersionedConfig) -> None:
        """Apply the services and caps of a configuration.

        Args:
            versioned: Configuration in force.
        """
        self._config = versioned.config
        for name, service in versioned.config.service_by_name.items():
            state = self._state_by_service.get(name)
            if state is None:
                limit = limiter.ShiftLimiter(self._clock, service.shift_cap)
                # The previous incarnation of this host may have used the
                # whole cap shortly before it stopped.
                limit.acquire(limit.max_moves)
                self._state_by_service[name] = _ServiceState(limit)
            else:
                state.limit.configure(service.shift_cap)
        self._start_services()

    def offer(self, split: StoredSplit) -> None:
        """Record a stored split if it is newer than the recorded one.

        The split takes effect through `advance`, or at once for a service
        that has no split in force.

        Args:
            split: Split from the platform or from a peer.
        """
        stored = self._stored_by_service.get(split.service)
        if stored is not None and split.row_version <= stored.row_version:
            return
        self._stored_by_service[split.service] = split
        self._start_services()

    def mark_loaded(self) -> None:
        """State that all stored splits have been offered.

        From now on, a configured service without a stored split starts with
        the split computed from its shares.
        """
        self._is_loaded = True
        self._start_services()

    def region(self, service: str, bucket: int) -> str | None:
        """Return the region that a bucket is assigned to on this host.

        Args:
            service: Name of the service.
            bucket: Number from 0 to `BUCKET_COUNT` - 1.

        Returns:
            The region; None if the service has no split yet.
        """
        buckets = self._in_force.get(service)
        return None if buckets is None else buckets[bucket]

    def in_force(self, service: str) -> tuple[str, ...] | None:
        """Return the region of each bucket on this host.

        Args:
            service: Name of the service.

        Returns:
            The regions; None if the service has no split yet.
        """
        return self._in_force.get(service)

    def stored(self, service: str) -> StoredSplit | None:
        """Return the newest stored split that was offered to this host.

        Args:
            service: Name of the service.
        """
        return self._stored_by_service.get(service)

    @property
    def row_version_by_service(self) -> dict[str, int]:
        """Row versions of the newest stored splits, for state exchange."""
        return {
            name: split.row_version
            for name, split in self._stored_by_service.items()
        }

    def count_pending(self, service: str) -> int:
        """Count the buckets that have yet to move on this host.

        Args:
            service: Name of the service.
        """
        return len(self._pending_buckets(service))

    def advance(self) -> None:
        """Move as many pending buckets as the limit allows now."""
        for service, state in self._state_by_service.items():
            pending = self._pending_buckets(service)
            if not pending or state.in_force is None:
                continue
            allowed = state.limit.acquire(len(pending))
            if not allowed:
                continue
            stored = self._stored_by_service[service].buckets
            moved = list(state.in_force)
            for bucket in pending[:allowed]:
                moved[bucket] = stored[bucket]
            self._put_in_force(service, state, tuple(moved), allowed)

    def _pending_buckets(self, service: str) -> list[int]:
        stored = self._stored_by_service.get(service)
        in_force = self._in_force.get(service)
        if stored is None or in_force is None or stored.buckets == in_force:
            return []
        return [
            bucket
            for bucket, pair in enumerate(zip(in_force, stored.buckets))
            if pair[0] != pair[1]
        ]

    def _put_in_force(
        self,
        service: str,
        state: _ServiceState,
        buckets: tuple[str, ...],
        allowed: int,
    ) -> None:
        if state.in_force is not None:
            changed = sum(
                old != new for old, new in zip(state.in_force, buckets)
            )
            if changed > allowed:
                state.limit.record_violation(
                    f'{service}: {changed} buckets to move, {allowed} allowed'
                )
                return
        state.in_force = buckets
        self._in_force[service] = buckets
        self.generation += 1

    def _start_services(self) -> None:
        if self._config is None:
            return
        for name, service in self._config.service_by_name.items():
            state = self._state_by_service[name]
            if state.in_force is not None:
                continue
            stored = self._stored_by_service.get(name)
            if stored is not None:
                self._put_in_force(name, state, stored.buckets, 0)
            elif self._is_loaded:
                initial = steps.initial_split(service.share_by_region)
                self._put_in_force(name, state, initial, 0)
