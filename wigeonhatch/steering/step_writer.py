"""Planning and committing of shift steps in the platform's table."""

from __future__ import annotations

import collections.abc
import dataclasses
import logging
import uuid

import msgspec

from wigeonhatch import clock as clocks
from wigeonhatch import decoding
from wigeonhatch import outcome
from wigeonhatch.config import head as heads
from wigeonhatch.config import model
from wigeonhatch.platform import interface
from wigeonhatch.steering import limiter
from wigeonhatch.steering import rendezvous
from wigeonhatch.steering import split
from wigeonhatch.steering import step as steps

_log = logging.getLogger(__name__)
_POLL_INTERVAL_MS = 500
# Hosts attempt a step one after another, this far apart, in rendezvous order.
_RANK_DELAY_MS = 200


def audit_key(service: str, step: int) -> str:
    """Return the key of the table row that records a step.

    Args:
        service: Name of the service.
        step: Number of the step.
    """
    return f'audit-step/{service}/{step:08d}'


@dataclasses.dataclass(frozen=True, slots=True)
class StepAudit:
    """Audit record of a committed step.

    Args:
        service: Name of the service.
        step: Number of the step.
        change_id: ID of the write.
        host: Host that wrote the step.
        config_version: Version of the configuration that the step applies.
        moved: Number of buckets that changed region.
        wall_ms: Wall-clock time of the host, in ms since the epoch.
    """

    service: str
    step: int
    change_id: str
    host: str
    config_version: int
    moved: int
    wall_ms: int


@dataclasses.dataclass(slots=True)
class _Schedule:
    """Earliest time of this host's next attempt for one pair of versions."""

    versions: tuple[int, int]
    not_before_ms: int


class StepWriter:
    """Plan and commit shift steps; any number of hosts may run a writer.

    The row version of `split/SERVICE` fences the writers: one that lost a
    race or resumes after a pause gets a conflict.

    Args:
        host: Name of this host.
        platform: Table of the platform.
        clock: Clock of this host.
        get_config: Returns the configuration in force.
        table: Splits on this host.
        offer: Receives the splits that were read or committed; `table.offer`
            if None.
        new_change_id: Returns a unique change ID.
    """

    def __init__(
        self,
        host: str,
        platform: interface.Platform,
        clock: clocks.Clock,
        get_config: collections.abc.Callable[[], model.VersionedConfig | None],
        table: split.SplitTable,
        offer: collections.abc.Callable[[split.StoredSplit], None]
        | None = None,
        new_change_id: collections.abc.Callable[[], str] = lambda: (
            uuid.uuid4().hex
        ),
    ) -> None:
        self.committed_count = 0
        self.conflict_count = 0
        self._host = host
        self._platform = platform
        self._clock = clock
        self._get_config = get_config
        self._table = table
        self._offer = offer or table.offer
        self._new_change_id = new_change_id
        self._schedule_by_service: dict[str, _Schedule] = {}
        self._completed_by_service: dict[
            str, tuple[tuple[str, ...], dict[str, float]]
        ] = {}
        self._unresolved_by_service: dict[str, split.StoredSplit] = {}

    async def run(self) -> None:
        """Attempt due steps periodically until cancelled."""
        while True:
            await self.poll()
            await self._clock.sleep_ms(_POLL_INTERVAL_MS)

    async def poll(self) -> None:
        """Attempt the steps that are due now, at most one per service."""
        versioned = self._get_config()
        if versioned is None:
            return
        for name in list(versioned.config.service_by_name):
            unresolved = self._unresolved_by_service.get(name)
            if unresolved is not None and not await self._resolve(unresolved):
                continue
            if self._is_due(name, versioned):
                await self._attempt(name, versioned)

    def _rank(self, service: str, config: model.SteeringConfig) -> int:
        ranked = rendezvous.rank(config.host_by_name, f'step/{service}')
        # A host that is not in the configuration yet ranks last.
        return (
            ranked.index(self._host) if self._host in ranked else len(ranked)
        )

    def _is_due(self, name: str, versioned: model.VersionedConfig) -> bool:
        stored = self._table.stored(name)
        service = versioned.config.service_by_name[name]
        if stored is not None:
            if not self._is_step_due(name, stored.buckets, service):
                self._schedule_by_service.pop(name, None)
                return False
        elif self._table.in_force(name) is None:
            # No step can be planned before the stored split is received.
            return False
        versions = (stored.row_version if stored else 0, versioned.version)
        schedule = self._schedule_by_service.get(name)
        if schedule is None or schedule.versions != versions:
            schedule = _Schedule(versions, 0)
            self._schedule_by_service[name] = schedule
            self._delay_attempt(name, versioned, 0)
        return self._clock.now_ms >= schedule.not_before_ms

    def _is_step_due(
        self, name: str, buckets: tuple[str, ...], service: model.Service
    ) -> bool:
        # Planning takes about 1 ms and most polls find no step to plan.
        completed = self._completed_by_service.get(name)
        if (
            completed is not None
            and completed[0] is buckets
            and completed[1] == service.share_by_region
        ):
            return False
        planned = steps.plan_step(buckets, service.share_by_region, 1)
        if planned != buckets:
            return True
        self._completed_by_service[name] = (buckets, service.share_by_region)
        return False

    def _delay_attempt(
        self, name: str, versioned: model.VersionedConfig, delay_ms: int
    ) -> None:
        rank = self._rank(name, versioned.config)
        self._schedule_by_service[name].not_before_ms = (
            self._clock.now_ms + delay_ms + rank * _RANK_DELAY_MS
        )

    async def _attempt(
        self, name: str, versioned: model.VersionedConfig
    ) -> None:
        service = versioned.config.service_by_name[name]
        self._delay_attempt(name, versioned, _POLL_INTERVAL_MS)
        key = split.row_key(name)
        result = await self._platform.read([key, heads.HEAD_KEY])
        if isinstance(result, interface.Unavailable):
            return
        head = result.row_by_key.get(heads.HEAD_KEY)
        if head is None or _config_version(head) != versioned.version:
            # Only a host with the newest configuration may plan; this host
            # will receive it from its peers or the platform.
            return
        row = result.row_by_key.get(key)
        if row is None:
            buckets = self._table.in_force(name)
            if buckets is None:
                return
            base = split.StoredSplit(name, -1, interface.ABSENT, buckets)
            planned = buckets
        else:
            decoded = self._offer_row(row)
            if decoded is None:
                return
            base = decoded
            elapsed_ms = result.platform_ms - row.committed_ms
            remaining_ms = limiter.window_ms(service.shift_cap) - elapsed_ms
            if remaining_ms >= 0:
                self._schedule_by_service[name].versions = (
                    base.row_version,
                    versioned.version,
                )
                self._delay_attempt(name, versioned, remaining_ms + 1)
                return
            planned = steps.plan_step(
                base.buckets,
                service.share_by_region,
                limiter.buckets_per_window(service.shift_cap),
            )
            if planned == base.buckets:
                return
        await self._commit(base, planned, head.version, versioned.version)

    async def _commit(
        self,
        base: split.StoredSplit,
        buckets: tuple[str, ...],
        head_version: int,
        config_version: int,
    ) -> None:
        change_id = self._new_change_id()
        # The commit assigns the row version.
        planned = split.StoredSplit(
            base.service, base.step + 1, 0, buckets, change_id
        )
        moved = sum(old != new for old, new in zip(base.buckets, buckets))
        audit = StepAudit(
            base.service,
            planned.step,
            change_id,
            self._host,
            config_version,
            moved,
            self._clock.wall_ms,
        )
        key = split.row_key(base.service)
        step_key = audit_key(base.service, planned.step)
        result = await self._platform.commit(
            [
                interface.Check(key, base.row_version),
                interface.Check(heads.HEAD_KEY, head_version),
                interface.Check(step_key, interface.ABSENT),
            ],
            [
                interface.Write(key, planned.encode()),
                interface.Write(step_key, msgspec.json.encode(audit)),
            ],
        )
        if isinstance(result, interface.Committed):
            self._on_committed(planned)
            version = result.version_by_key[key]
            self._offer(dataclasses.replace(planned, row_version=version))
        elif isinstance(result, interface.Conflict):
            self.conflict_count += 1
            if key in result.row_by_key:
                self._offer_row(result.row_by_key[key])
        elif isinstance(result, interface.Unknown):
            self._unresolved_by_service[base.service] = planned
            await self._resolve(planned)

    async def _resolve(self, planned: split.StoredSplit) -> bool:
        """Resolve a commit of unknown outcome; return whether it is resolved.

        The audit row of a step is written once and never replaced, so it
        identifies the writer even after later steps.
        """
        key = split.row_key(planned.service)
        step_key = audit_key(planned.service, planned.step)
        result = await self._platform.read([key, step_key])
        if isinstance(result, interface.Unavailable):
            return False
        row = result.row_by_key.get(step_key)
        if row is None:
            # The read may be stale; a commit without writes is not.
            check = await self._platform.commit(
                [interface.Check(step_key, interface.ABSENT)], []
            )
            if not isinstance(check, interface.Committed):
                return False
        elif _change_id(row) == planned.change_id:
            self._on_committed(planned)
        # A write that is still in flight is checked against the base version,
        # so it fails once a step that is planned from now on is committed.
        del self._unresolved_by_service[planned.service]
        if key in result.row_by_key:
            self._offer_row(result.row_by_key[key])
        return True

    def _on_committed(self, planned: split.StoredSplit) -> None:
        self.committed_count += 1
        _log.info(
            'committed step %d of service %s', planned.step, planned.service
        )

    def _offer_row(self, row: interface.Row) -> split.StoredSplit | None:
        decoded = split.decode(row.value, row.version)
        if isinstance(decoded, outcome.Failure):
            _log.error('cannot decode row %s: %s', row.key, decoded.detail)
            return None
        self._offer(decoded.value)
        return decoded.value


def _config_version(row: interface.Row) -> int | None:
    try:
        return decoding.decode_json(row.value, heads.HeadVersion).version
    except decoding.DecodeError as error:
        _log.error('cannot decode row %s: %s', row.key, error)
        return None


def _change_id(row: interface.Row) -> str | None:
    try:
        return decoding.decode_json(row.value, StepAudit).change_id
    except decoding.DecodeError as error:
        _log.error('cannot decode row %s: %s', row.key, error)
        return None
