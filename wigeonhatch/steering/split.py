"""Splits: which region serves each hash bucket of a service."""

from __future__ import annotations

import dataclasses

import msgspec

from wigeonhatch import clock as clocks
from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.config import model
from wigeonhatch.steering import buckets as hash_buckets
from wigeonhatch.steering import limiter
from wigeonhatch.steering import step as steps

KEY_PREFIX = 'split/'


def row_key(service: str) -> str:
    """Name the table row that holds the split of a service."""
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
    """Split of one service as the platform's table holds it.

    Args:
        service: Name of the service.
        step: Number of the step, from 0; increases by one with each step.
        row_version: Version of the row `split/SERVICE`.
        buckets: Region of each bucket; `BUCKET_COUNT` names.
        change_id: Identifies the write; empty if received from a peer.
    """

    service: str
    step: int
    row_version: int
    buckets: tuple[str, ...]
    change_id: str = ''

    def index_regions(self) -> tuple[list[str], bytes]:
        """Encode the buckets as indexes into a list of regions.

        Returns:
            Names of at most 256 regions in sorted order, and one byte for
            each bucket; the form of `peers.Split`.
        """
        regions = sorted(set(self.buckets))
        index_by_region = {name: at for at, name in enumerate(regions)}
        return regions, bytes(index_by_region[name] for name in self.buckets)

    def encode(self) -> bytes:
        """Encode the value of the row, without the row version."""
        regions, indexes = self.index_regions()
        return msgspec.json.encode(
            _SplitRow(
                self.service, self.step, self.change_id, regions, indexes
            )
        )


def from_index(
    service: str,
    step: int,
    row_version: int,
    regions: list[str],
    indexes: bytes,
    change_id: str = '',
) -> outcome.Success[StoredSplit] | outcome.Failure:
    """Build a split from the form of `peers.Split`.

    Args:
        service: Name of the service.
        step: Number of the step.
        row_version: Version of the row.
        regions: Names of the regions.
        indexes: Index into `regions` for each bucket.
        change_id: Identifies the write, if known.

    Returns:
        The split, or `CONFIG_INVALID` if its size or an index is wrong.
    """
    if len(indexes) != hash_buckets.BUCKET_COUNT:
        return _invalid(service, f'{len(indexes)} buckets')
    if max(indexes) >= len(regions):
        return _invalid(service, f'region index {max(indexes)}')
    if step < 0 or row_version < 0:
        return _invalid(service, f'step {step}, row version {row_version}')
    names = tuple(regions[index] for index in indexes)
    return outcome.Success(
        StoredSplit(service, step, row_version, names, change_id)
    )


def decode(
    value: bytes, row_version: int
) -> outcome.Success[StoredSplit] | outcome.Failure:
    """Decode the value of a row `split/SERVICE`.

    Args:
        value: Value of the row.
        row_version: Version of the row.

    Returns:
        The split, or `CONFIG_INVALID`.
    """
    try:
        row = msgspec.json.decode(value, type=_SplitRow)
    except msgspec.MsgspecError as error:
        return _invalid('(row)', str(error))
    return from_index(
        row.service,
        row.step,
        row_version,
        row.regions,
        row.buckets,
        row.change_id,
    )


def _invalid(service: str, found: str) -> outcome.Failure:
    return outcome.Failure(
        codes.ResultCode.CONFIG_INVALID,
        f'split of service {service!r} is malformed: {found}',
    )


@dataclasses.dataclass(slots=True)
class _ServiceState:
    limit: limiter.ShiftLimiter
    in_force: tuple[str, ...] | None = None


class SplitTable:
    """Split in force on this host for each service.

    A service is unknown (`region` returns None) until its stored split was
    offered, or until `mark_loaded` has shown that there is none. Without
    this wait, a host that starts in the middle of a shift would begin at the
    shares that the shift has yet to reach.

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
        self._is_complete = False

    @property
    def violations(self) -> int:
        """Number of violated invariants since the start."""
        return sum(
            state.limit.violations for state in self._state_by_service.values()
        )

    def configure(self, versioned: model.VersionedConfig) -> None:
        """Take over the services and caps of a configuration.

        Args:
            versioned: Configuration in force.
        """
        self._config = versioned.config
        for name, service in versioned.config.service_by_name.items():
            state = self._state_by_service.get(name)
            if state is None:
                limit = limiter.ShiftLimiter(self._clock, service.shift_cap)
                # An earlier incarnation of this host may have moved as much
                # as the cap right before it ended.
                limit.allow(limit.limit)
                self._state_by_service[name] = _ServiceState(limit)
            else:
                state.limit.configure(service.shift_cap)
        self._start_services()

    def offer(self, split: StoredSplit) -> None:
        """Take note of a stored split unless its version is known.

        The split takes effect through `advance`, or at once for a service
        that has no split in force.

        Args:
            split: Split from the platform or from a peer.
        """
        known = self._stored_by_service.get(split.service)
        if known is not None and split.row_version <= known.row_version:
            return
        self._stored_by_service[split.service] = split
        self._start_services()

    def mark_loaded(self) -> None:
        """Declare that every stored split has been offered.

        From now on a configured service without a stored split starts at
        the split computed from its shares.
        """
        self._is_complete = True
        self._start_services()

    def region(self, service: str, bucket: int) -> str | None:
        """Name the region that a bucket is assigned to on this host.

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
        """Return the newest stored split known here.

        Args:
            service: Name of the service.
        """
        return self._stored_by_service.get(service)

    @property
    def row_version_by_service(self) -> dict[str, int]:
        """Versions of the newest stored splits, for the state exchange."""
        return {
            name: split.row_version
            for name, split in self._stored_by_service.items()
        }

    def pending(self, service: str) -> int:
        """Count the buckets that still have to move on this host.

        Args:
            service: Name of the service.
        """
        return len(self._pending_buckets(service))

    def advance(self) -> None:
        """Move the buckets that the limiter allows now."""
        for service, state in self._state_by_service.items():
            waiting = self._pending_buckets(service)
            if not waiting or state.in_force is None:
                continue
            allowed = state.limit.allow(len(waiting))
            if not allowed:
                continue
            stored = self._stored_by_service[service].buckets
            moved = list(state.in_force)
            for bucket in waiting[:allowed]:
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
                state.limit.on_violation(
                    f'{service}: {changed} buckets changed, {allowed} allowed'
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
            elif self._is_complete:
                initial = steps.initial_split(service.share_by_region)
                self._put_in_force(name, state, initial, 0)
