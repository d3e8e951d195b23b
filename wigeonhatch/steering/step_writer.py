"""Writer of shift steps to the platform's table."""

from __future__ import annotations

import collections.abc
import dataclasses
import logging
import uuid

import msgspec

from wigeonhatch import clock as clocks
from wigeonhatch import outcome
from wigeonhatch.config import head as heads
from wigeonhatch.config import model
from wigeonhatch.platform import interface
from wigeonhatch.steering import limiter
from wigeonhatch.steering import rendezvous
from wigeonhatch.steering import split
from wigeonhatch.steering import step as steps

_log = logging.getLogger(__name__)
_POLL_MS = 500
_RANK_DELAY_MS = 200


def audit_key(service: str, step: int) -> str:
    """Name the table row that records a step.

    Args:
        service: Name of the service.
        step: Number of the step.
    """
    return f'audit-step/{service}/{step:08d}'


@dataclasses.dataclass(frozen=True, slots=True)
class StepAudit:
    """Record of one committed step.

    Args:
        service: Name of the service.
        step: Number of the step.
        change_id: Identifies the write.
        host: Host that wrote the step.
        config_version: Configuration that the step follows.
        moved: Number of buckets that changed region.
        wall_ms: Time at the host in ms since the epoch.
    """

    service: str
    step: int
    change_id: str
    host: str
    config_version: int
    moved: int
    wall_ms: int


@dataclasses.dataclass(slots=True)
class _Turn:
    """When this host may attempt the step after a state of the rows."""

    state: tuple[int, int]
    not_before_ms: int


class StepWriter:
    """Commit shift steps; any number of hosts may run one.

    The row version of `split/SERVICE` orders the steps: a writer that lost a
    race or resumes after a pause gets a conflict.

    Args:
        host: Name of this host.
        platform: Table of the platform.
        clock: Clock of this host.
        get_config: Returns the configuration in force.
        table: Splits known on this host.
        offer: Receives the splits that were read or committed; the table's
            `offer` if None.
        new_id: Draws a change ID.
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
        new_id: collections.abc.Callable[[], str] = lambda: uuid.uuid4().hex,
    ) -> None:
        self.committed = 0
        self.conflicts = 0
        self._host = host
        self._platform = platform
        self._clock = clock
        self._get_config = get_config
        self._table = table
        self._offer = offer or table.offer
        self._new_id = new_id
        self._turn_by_service: dict[str, _Turn] = {}
        self._finished_by_service: dict[
            str, tuple[tuple[str, ...], dict[str, float]]
        ] = {}
        self._attempt_by_service: dict[str, split.StoredSplit] = {}

    async def run(self) -> None:
        """Attempt due steps until cancelled."""
        while True:
            await self.poll()
            await self._clock.sleep_ms(_POLL_MS)

    async def poll(self) -> None:
        """Attempt the steps that are due now, one for each service."""
        versioned = self._get_config()
        if versioned is None:
            return
        for name in list(versioned.config.service_by_name):
            attempt = self._attempt_by_service.get(name)
            if attempt is not None and not await self._resolve(attempt):
                continue
            if self._is_turn(name, versioned):
                await self._attempt(name, versioned)

    def _rank(self, service: str, config: model.SteeringConfig) -> int:
        ranked = rendezvous.rank(config.host_by_name, f'step/{service}')
        # A host that the configuration does not list yet comes last.
        return (
            ranked.index(self._host) if self._host in ranked else len(ranked)
        )

    def _is_turn(self, name: str, versioned: model.VersionedConfig) -> bool:
        stored = self._table.stored(name)
        service = versioned.config.service_by_name[name]
        if stored is not None:
            if not self._is_step_due(name, stored.buckets, service):
                self._turn_by_service.pop(name, None)
                return False
        elif self._table.in_force(name) is None:
            # The stored split has not arrived, so nothing can be planned.
            return False
        state = (stored.row_version if stored else 0, versioned.version)
        turn = self._turn_by_service.get(name)
        if turn is None or turn.state != state:
            turn = _Turn(state, 0)
            self._turn_by_service[name] = turn
            self._wait(name, versioned, 0)
        return self._clock.now_ms >= turn.not_before_ms

    def _is_step_due(
        self, name: str, buckets: tuple[str, ...], service: model.Service
    ) -> bool:
        # Planning takes about 1 ms, and nearly all polls find nothing to do.
        finished = self._finished_by_service.get(name)
        if (
            finished is not None
            and finished[0] is buckets
            and finished[1] == service.share_by_region
        ):
            return False
        planned = steps.plan_step(buckets, service.share_by_region, 1)
        if planned != buckets:
            return True
        self._finished_by_service[name] = (buckets, service.share_by_region)
        return False

    def _wait(
        self, name: str, versioned: model.VersionedConfig, delay_ms: int
    ) -> None:
        rank = self._rank(name, versioned.config)
        self._turn_by_service[name].not_before_ms = (
            self._clock.now_ms + delay_ms + rank * _RANK_DELAY_MS
        )

    async def _attempt(
        self, name: str, versioned: model.VersionedConfig
    ) -> None:
        service = versioned.config.service_by_name[name]
        self._wait(name, versioned, _POLL_MS)
        key = split.row_key(name)
        found = await self._platform.read([key, heads.HEAD_KEY])
        if isinstance(found, interface.Unavailable):
            return
        head = found.row_by_key.get(heads.HEAD_KEY)
        if head is None or _config_version(head) != versioned.version:
            # Only a host with the newest configuration may plan; the
            # propagation of the configuration resolves this.
            return
        row = found.row_by_key.get(key)
        if row is None:
            buckets = self._table.in_force(name)
            if buckets is None:
                return
            base = split.StoredSplit(name, -1, interface.ABSENT, buckets)
            planned = buckets
        else:
            known = self._offer_row(row)
            if known is None:
                return
            base = known
            elapsed_ms = found.platform_ms - row.committed_ms
            remaining_ms = limiter.window_ms(service.shift_cap) - elapsed_ms
            if remaining_ms >= 0:
                self._turn_by_service[name].state = (
                    base.row_version,
                    versioned.version,
                )
                self._wait(name, versioned, remaining_ms + 1)
                return
            planned = steps.plan_step(
                base.buckets,
                service.share_by_region,
                limiter.cap_buckets(service.shift_cap),
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
        change_id = self._new_id()
        # The row version follows from the commit.
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
        audited = audit_key(base.service, planned.step)
        result = await self._platform.commit(
            [
                interface.Check(key, base.row_version),
                interface.Check(heads.HEAD_KEY, head_version),
                interface.Check(audited, interface.ABSENT),
            ],
            [
                interface.Write(key, planned.encode()),
                interface.Write(audited, msgspec.json.encode(audit)),
            ],
        )
        if isinstance(result, interface.Committed):
            self._on_committed(planned)
            version = result.version_by_key[key]
            self._offer(dataclasses.replace(planned, row_version=version))
        elif isinstance(result, interface.Conflict):
            self.conflicts += 1
            if key in result.row_by_key:
                self._offer_row(result.row_by_key[key])
        elif isinstance(result, interface.Unknown):
            self._attempt_by_service[base.service] = planned
            await self._resolve(planned)

    async def _resolve(self, planned: split.StoredSplit) -> bool:
        """Find out whether an attempt took effect.

        The audit row of a step is written once and never replaced, so it
        names the writer even after later steps.
        """
        key = split.row_key(planned.service)
        audited = audit_key(planned.service, planned.step)
        found = await self._platform.read([key, audited])
        if isinstance(found, interface.Unavailable):
            return False
        row = found.row_by_key.get(audited)
        if row is None:
            # The read may be stale; a commit without writes is not.
            valid = await self._platform.commit(
                [interface.Check(audited, interface.ABSENT)], []
            )
            if not isinstance(valid, interface.Committed):
                return False
        elif _change_id(row) == planned.change_id:
            self._on_committed(planned)
        # A write that is still on its way is checked against the base
        # version, so it cannot follow a step that is planned from now on.
        del self._attempt_by_service[planned.service]
        if key in found.row_by_key:
            self._offer_row(found.row_by_key[key])
        return True

    def _on_committed(self, planned: split.StoredSplit) -> None:
        self.committed += 1
        _log.info(
            'committed step %d of service %s', planned.step, planned.service
        )

    def _offer_row(self, row: interface.Row) -> split.StoredSplit | None:
        decoded = split.decode(row.value, row.version)
        if isinstance(decoded, outcome.Failure):
            _log.error('row %s: %s', row.key, decoded.detail)
            return None
        self._offer(decoded.value)
        return decoded.value


def _config_version(row: interface.Row) -> int | None:
    try:
        return msgspec.json.decode(row.value, type=heads.HeadVersion).version
    except msgspec.MsgspecError as error:
        _log.error('row %s: %s', row.key, error)
        return None


def _change_id(row: interface.Row) -> str | None:
    try:
        return msgspec.json.decode(row.value, type=StepAudit).change_id
    except msgspec.MsgspecError as error:
        _log.error('row %s: %s', row.key, error)
        return None
