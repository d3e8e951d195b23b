"""Leases that this host grants as a standby, and takeovers of slots."""

from __future__ import annotations

import dataclasses
import enum
import logging

import msgspec

from wigeonhatch import clock as clock_module
from wigeonhatch.budget import _rows
from wigeonhatch.budget import departures as host_departures
from wigeonhatch.budget import lease
from wigeonhatch.budget import slots
from wigeonhatch.config import head as heads
from wigeonhatch.config import model
from wigeonhatch.platform import interface
from wigeonhatch.steering import ownership as ownership_module

STEP_INTERVAL_MS = 100
RETRY_INTERVAL_MS = 500
"""Interval between retries of operations on the platform."""
VALIDATE_INTERVAL_MS = 5_000
SCAN_INTERVAL_MS = 60_000
"""Interval between scans for takeovers by an earlier incarnation; 7,300 hosts
cause 122 reads per second."""
NO_RECORD_TIMEOUT_MS = 10_000
"""Time after which a host is assumed never to have started if no peer knows a
record of it."""
TAKEOVER_DELAY_MS = _rows.LEASE_MS + _rows.TAKEOVER_MARGIN_MS

_LOG = logging.getLogger(__name__)
_DENIED = lease.LeaseDecision(lease.LeaseStatus.DENIED, 0)


class _Phase(enum.Enum):
    GRANTING = 'granting'
    TAKING_OVER = 'taking over'
    TAKEN_OVER = 'taken over'
    RETURNING = 'returning'


@dataclasses.dataclass(slots=True)
class _TakeoverWrite:
    """Write of a takeover row whose result may be unknown."""

    checks: list[interface.Check]
    row: _rows.TakeoverRow
    is_result_unknown: bool = False


@dataclasses.dataclass(slots=True)
class _Owner:
    """Owner of targets that has, or had, this host as its standby."""

    host: str
    assigned_version: int
    assigned_ms: int
    lease_end_ms: int
    previous_standby: str | None
    is_sole_grantor: bool = False
    is_reassigned: bool = False
    phase: _Phase = _Phase.GRANTING
    incarnation: int | None = None
    released_incarnation: int | None = None
    is_released: bool = False
    has_no_stale_row: bool = False
    has_granted: bool = False
    include_floor: bool = False
    row_version: int = interface.ABSENT
    pending_write: _TakeoverWrite | None = None
    next_attempt_ms: int = 0
    validated_ms: int = 0


class LeaseGrantor:
    """Grant leases, and take over and return the slots of failed hosts.

    Args:
        host: Name of this host.
        clock: Source of time.
        platform: Platform for the takeover rows.
        table: Slots of this host.
        confirmed_version: As for `SlotTable`.
        departures: Hosts that have left the platform's list.
    """

    def __init__(
        self,
        host: str,
        clock: clock_module.Clock,
        platform: interface.Platform,
        table: slots.SlotTable,
        confirmed_version: slots.ConfirmedVersion,
        departures: host_departures.Departures,
    ) -> None:
        self._host = host
        self._clock = clock
        self._platform = platform
        self._table = table
        self._confirmed_version = confirmed_version
        self._departures = departures
        self._ownership: ownership_module.Ownership | None = None
        self._owner_by_host: dict[str, _Owner] = {}
        self._version = 0
        self._next_scan_ms = clock.now_ms
        self._last_ms = clock.now_ms
        self._is_stopping = False
        self._is_stepping = False

    @property
    def acting_for(self) -> frozenset[str]:
        """Hosts to whose targets this host admits requests."""
        return frozenset(
            host
            for host, owner in self._owner_by_host.items()
            if owner.phase is _Phase.TAKEN_OVER
            and self._table.is_acting_for(host)
        )

    def configure(
        self,
        versioned: model.VersionedConfig,
        ownership: ownership_module.Ownership,
    ) -> None:
        """Apply a configuration; an older one has no effect.

        Args:
            versioned: Configuration in force.
            ownership: Owners and standbys that follow from it.
        """
        if versioned.version <= self._version:
            return
        now_ms = self._clock.now_ms
        old = self._ownership
        is_next = versioned.version == self._version + 1
        self._ownership = ownership
        self._version = versioned.version
        hosts = {
            host
            for host, standby in ownership.standby_by_host.items()
            if standby == self._host
        }
        for host in sorted(hosts):
            owner = self._owner_by_host.get(host)
            if owner is not None and not owner.is_reassigned and is_next:
                continue
            if owner is None:
                owner = _Owner(host, 0, now_ms, 0, None)
                self._owner_by_host[host] = owner
            owner.is_reassigned = owner.is_sole_grantor = False
            owner.assigned_version = versioned.version
            owner.assigned_ms = now_ms
            owner.lease_end_ms = now_ms + TAKEOVER_DELAY_MS
            owner.previous_standby = None
            # A version that this host has missed may have had another standby.
            if old is not None and is_next:
                owner.previous_standby = old.standby_by_host.get(host)
                owner.is_sole_grantor = host not in old.targets_by_owner
        for host, owner in list(self._owner_by_host.items()):
            if host in hosts:
                continue
            owner.is_reassigned = True
            if owner.phase is _Phase.GRANTING:
                del self._owner_by_host[host]
            elif owner.phase is _Phase.TAKEN_OVER:
                self._start_return(owner)

    def on_renew(
        self, host: str, incarnation: int, release: bool
    ) -> lease.LeaseDecision:
        """Grant or deny the renewal of a host's lease.

        Args:
            host: Host that requests the renewal.
            incarnation: Incarnation of that host.
            release: Whether the host is stopping and releases all its slots.
        """
        owner = self._owner_by_host.get(host)
        if (
            owner is None
            or owner.is_reassigned
            or self._is_stopping
            or incarnation == owner.released_incarnation
            and not release
        ):
            return _DENIED
        now_ms = self._clock.now_ms
        if not release:
            self._departures.on_host_alive(host)
        if owner.phase is not _Phase.GRANTING:
            if release:
                owner.released_incarnation = incarnation
                owner.is_released = True
                return lease.LeaseDecision(lease.LeaseStatus.GRANTED, 0)
            owner.is_released = False
            if owner.phase is _Phase.TAKEN_OVER:
                self._start_return(owner)
            may_use_floor = not owner.include_floor and (
                owner.pending_write is None
                or not owner.pending_write.row.include_floor
            )
            return lease.LeaseDecision(
                lease.LeaseStatus.RETURNING,
                _rows.LEASE_MS if may_use_floor else 0,
            )
        if (
            owner.incarnation not in (None, incarnation)
            and now_ms < owner.lease_end_ms
        ):
            # Requests of the earlier incarnation may still be in progress, or
            # two processes run under the same host name.
            return lease.LeaseDecision(lease.LeaseStatus.RETURNING, 0)
        owner.incarnation = incarnation
        owner.is_released = release
        if release:
            owner.released_incarnation = incarnation
            owner.lease_end_ms = now_ms
            owner.next_attempt_ms = 0
            return lease.LeaseDecision(lease.LeaseStatus.GRANTED, 0)
        owner.lease_end_ms = now_ms + TAKEOVER_DELAY_MS
        owner.has_granted = True
        return lease.LeaseDecision(lease.LeaseStatus.GRANTED, _rows.LEASE_MS)

    async def run(self) -> None:
        """Take over and return slots until cancelled."""
        while True:
            await self.step()
            await self._clock.sleep_ms(STEP_INTERVAL_MS)

    async def step(self) -> None:
        """Advance the leases and takeovers of all owners.

        A concurrent call has no effect: `run` and `stop` may overlap, and a
        late response in one must not undo the progress of the other.
        """
        if self._is_stepping:
            return
        self._is_stepping = True
        try:
            await self._step_all()
        finally:
            self._is_stepping = False

    async def _step_all(self) -> None:
        now_ms = self._table.observe_clock()
        if now_ms - self._last_ms >= _rows.LEASE_MS:
            # This process was paused: unprocessed renewals may be queued.
            for owner in self._owner_by_host.values():
                if owner.phase is _Phase.GRANTING:
                    owner.lease_end_ms = now_ms + TAKEOVER_DELAY_MS
        self._last_ms = now_ms
        if now_ms >= self._next_scan_ms and self._version:
            await self._find_stale_takeovers()
        for owner in list(self._owner_by_host.values()):
            if owner.phase is _Phase.GRANTING:
                await self._step_granting(owner)
            elif owner.phase is _Phase.TAKING_OVER:
                await self._write_takeover(owner)
            elif owner.phase is _Phase.TAKEN_OVER:
                await self._step_taken_over(owner)
            else:
                await self._step_returning(owner)

    async def stop(self, bound_ms: int) -> bool:
        """Return all slots taken over from other hosts, for a graceful stop.

        Args:
            bound_ms: Timeout in ms.

        Returns:
            Whether all slots have been returned.
        """
        self._is_stopping = True
        end_ms = self._clock.now_ms + bound_ms
        for owner in self._owner_by_host.values():
            owner.is_reassigned = True
            if owner.phase is _Phase.TAKEN_OVER:
                self._start_return(owner)
        while True:
            await self.step()
            if all(
                owner.phase is _Phase.GRANTING
                for owner in self._owner_by_host.values()
            ):
                return True
            if self._clock.now_ms >= end_ms:
                return False
            await self._clock.sleep_ms(STEP_INTERVAL_MS)

    def _start_return(self, owner: _Owner) -> None:
        self._table.end_takeover(owner.host)
        owner.phase = _Phase.RETURNING
        owner.next_attempt_ms = 0

    def _start_if_due(self, owner: _Owner) -> bool:
        now_ms = self._clock.now_ms
        if now_ms < owner.next_attempt_ms:
            return False
        owner.next_attempt_ms = now_ms + RETRY_INTERVAL_MS
        return True

    def _has_no_lease(self, owner: _Owner) -> bool:
        """Return whether no lease of the owner can be in use."""
        if self._is_stopping or owner.is_reassigned:
            return False
        if not owner.is_sole_grantor and not owner.is_released:
            return False
        return self._clock.now_ms >= owner.lease_end_ms

    def _check_handover(self, owner: _Owner) -> None:
        now_ms = self._clock.now_ms
        if not owner.is_sole_grantor and self._is_handover_done(owner, now_ms):
            # The previous standby may have granted a lease just before it
            # applied the configuration.
            owner.is_sole_grantor = True
            if not owner.is_released:
                owner.lease_end_ms = now_ms + TAKEOVER_DELAY_MS

    def _is_handover_done(self, owner: _Owner, now_ms: int) -> bool:
        confirmed = self._confirmed_version(owner.host)
        if confirmed is None:
            if now_ms - owner.assigned_ms >= NO_RECORD_TIMEOUT_MS:
                return True
        elif confirmed >= owner.assigned_version:
            return True
        if self._departures.has_left(owner.host):
            return True
        previous = owner.previous_standby
        if previous is None:
            return False
        return (
            self._confirmed_version(previous) or 0
        ) >= owner.assigned_version or self._departures.has_left(previous)

    async def _step_granting(self, owner: _Owner) -> None:
        self._check_handover(owner)
        if not self._has_no_lease(owner):
            if owner.incarnation is not None and not owner.has_no_stale_row:
                await self._delete_stale_takeover(owner)
            return
        if not self._start_if_due(owner):
            return
        lease_key = _rows.lease_key(owner.host)
        takeover_key = _rows.takeover_key(owner.host)
        keys = [lease_key, takeover_key, heads.HEAD_KEY]
        snapshot = await _rows.read(self._platform, keys)
        if isinstance(snapshot, interface.Unavailable):
            return
        takeover_row = snapshot.row_by_key.get(takeover_key)
        takeover = _rows.decode(takeover_row, _rows.TakeoverRow)
        is_own = takeover is not None and takeover.holder == self._host
        if takeover_row is not None and not is_own:
            if takeover is None:
                return
            age_ms = snapshot.platform_ms - takeover_row.committed_ms
            self._departures.on_host_alive(takeover.holder, age_ms)
            if not self._departures.has_left(takeover.holder):
                return
        if self._may_hold_lease(owner, snapshot):
            return
        head = _rows.decode(
            snapshot.row_by_key.get(heads.HEAD_KEY), heads.HeadVersion
        )
        if head is not None and head.version != self._version:
            # This host may no longer be the standby.
            return
        # The owner may have renewed its lease during the read.
        if owner.phase is not _Phase.GRANTING or not self._has_no_lease(owner):
            return
        include_floor = owner.is_released or self._departures.has_left(
            owner.host
        )
        if is_own and takeover is not None and not owner.has_granted:
            # An earlier incarnation of this host wrote the takeover.
            include_floor = include_floor or takeover.include_floor
        owner.phase = _Phase.TAKING_OVER
        owner.pending_write = _TakeoverWrite(
            [
                interface.Check(
                    key, _rows.row_version(snapshot.row_by_key.get(key))
                )
                for key in keys
            ],
            _rows.TakeoverRow(
                self._host, include_floor, _rows.generate_change_id()
            ),
        )
        owner.next_attempt_ms = 0
        await self._write_takeover(owner)

    def _may_hold_lease(
        self, owner: _Owner, snapshot: interface.ReadResult
    ) -> bool:
        """Return whether a lease written to the table may be in use."""
        lease_row = snapshot.row_by_key.get(_rows.lease_key(owner.host))
        self._record_host_alive(owner, lease_row, snapshot.platform_ms)
        if not _rows.is_lease_valid(lease_row, snapshot.platform_ms):
            return False
        row = _rows.decode(lease_row, _rows.LeaseRow)
        if owner.is_released and row is not None:
            if row.incarnation == owner.released_incarnation:
                return False
            # A new incarnation is running and has not released its slots.
            owner.is_released = False
            owner.lease_end_ms = self._clock.now_ms + TAKEOVER_DELAY_MS
        return True

    def _record_host_alive(
        self, owner: _Owner, lease_row: interface.Row | None, platform_ms: int
    ) -> None:
        if lease_row is not None and not owner.is_released:
            age_ms = platform_ms - lease_row.committed_ms
            self._departures.on_host_alive(owner.host, age_ms)

    async def _find_stale_takeovers(self) -> None:
        """Return slots taken over by an earlier incarnation of this host.

        The configuration may have assigned another standby since then.
        """
        now_ms = self._clock.now_ms
        self._next_scan_ms = now_ms + RETRY_INTERVAL_MS
        snapshot = await _rows.scan(self._platform, _rows.takeover_key(''))
        if isinstance(snapshot, interface.Unavailable):
            return
        self._next_scan_ms = now_ms + SCAN_INTERVAL_MS
        for key, row in snapshot.row_by_key.items():
            host = key.removeprefix(_rows.takeover_key(''))
            takeover = _rows.decode(row, _rows.TakeoverRow)
            if (
                takeover is None
                or takeover.holder != self._host
                or host in self._owner_by_host
            ):
                continue
            owner = _Owner(host, self._version, now_ms, now_ms, None)
            owner.is_reassigned = True
            owner.phase = _Phase.RETURNING
            owner.include_floor = takeover.include_floor
            owner.row_version = row.version
            self._owner_by_host[host] = owner

    async def _delete_stale_takeover(self, owner: _Owner) -> None:
        """Delete the takeover row of an earlier incarnation of this host.

        The row would prevent the owner from writing a lease to the table.
        """
        if not self._start_if_due(owner):
            return
        key = _rows.takeover_key(owner.host)
        snapshot = await _rows.read(self._platform, [key])
        if isinstance(snapshot, interface.Unavailable):
            return
        row = snapshot.row_by_key.get(key)
        takeover = _rows.decode(row, _rows.TakeoverRow)
        if takeover is not None and takeover.holder == self._host:
            checks = [interface.Check(key, _rows.row_version(row))]
            result = await _rows.commit(
                self._platform, checks, [interface.Write(key, None)]
            )
            if not isinstance(result, interface.Committed):
                return
        owner.has_no_stale_row = True

    async def _write_takeover(self, owner: _Owner) -> None:
        """Write the takeover row; an unknown result is resolved by a retry.

        Each retry uses the same checks, so that the write takes effect at
        most once and a conflict returns the current rows.
        """
        write = owner.pending_write
        if write is None or not self._start_if_due(owner):
            return
        key = _rows.takeover_key(owner.host)
        result = await _rows.commit(
            self._platform,
            write.checks,
            [interface.Write(key, msgspec.json.encode(write.row))],
        )
        if isinstance(result, interface.Committed):
            self._on_takeover_written(owner, write, result.version_by_key[key])
        elif isinstance(result, interface.Conflict):
            row = result.row_by_key.get(key)
            if _rows.decode(row, _rows.TakeoverRow) == write.row:
                self._on_takeover_written(owner, write, _rows.row_version(row))
            else:
                self._on_takeover_rejected(owner)
        elif isinstance(result, interface.Unknown):
            write.is_result_unknown = True
        elif not write.is_result_unknown:
            self._on_takeover_rejected(owner)

    def _on_takeover_written(
        self, owner: _Owner, write: _TakeoverWrite, version: int
    ) -> None:
        owner.pending_write = None
        owner.row_version = version
        owner.include_floor = write.row.include_floor
        owner.validated_ms = self._clock.now_ms
        if owner.phase is _Phase.RETURNING:
            return
        owner.phase = _Phase.TAKEN_OVER
        owner.incarnation = None
        if owner.is_reassigned or self._is_stopping:
            self._start_return(owner)
            return
        self._table.observe_clock()
        self._table.take_over(owner.host, owner.include_floor)
        _LOG.warning(
            'took over the %s of host %r',
            'slots' if owner.include_floor else 'leased slots',
            owner.host,
        )

    def _on_takeover_rejected(self, owner: _Owner) -> None:
        owner.pending_write = None
        if owner.phase is not _Phase.TAKING_OVER:
            # The extension to the floor slots failed; the takeover remains in
            # force until the next validation.
            owner.validated_ms = -VALIDATE_INTERVAL_MS
            return
        self._resume_granting(owner)

    def _resume_granting(self, owner: _Owner) -> None:
        owner.phase = _Phase.GRANTING
        owner.pending_write = None
        owner.include_floor = False
        owner.row_version = interface.ABSENT
        owner.lease_end_ms = self._clock.now_ms + TAKEOVER_DELAY_MS
        if owner.is_reassigned and not self._is_stopping:
            self._owner_by_host.pop(owner.host, None)

    async def _step_taken_over(self, owner: _Owner) -> None:
        if owner.pending_write is not None:
            await self._write_takeover(owner)
            return
        now_ms = self._clock.now_ms
        is_acting = self._table.is_acting_for(owner.host)
        if is_acting and now_ms - owner.validated_ms < VALIDATE_INTERVAL_MS:
            if not owner.include_floor and (
                owner.is_released or self._departures.has_left(owner.host)
            ):
                await self._extend_to_floor(owner)
            return
        if not self._start_if_due(owner):
            return
        key = _rows.takeover_key(owner.host)
        result = await _rows.commit(
            self._platform, [interface.Check(key, owner.row_version)], []
        )
        if owner.phase is not _Phase.TAKEN_OVER:
            return
        if self._table.observe_clock() - now_ms >= _rows.LEASE_MS:
            return
        if isinstance(result, interface.Committed):
            owner.validated_ms = self._clock.now_ms
            if not self._table.is_acting_for(owner.host):
                self._table.take_over(owner.host, owner.include_floor)
        elif isinstance(result, interface.Conflict):
            # Another host deleted the row because this one seemed to have
            # departed, or an extension took effect after all.
            self._start_return(owner)

    async def _extend_to_floor(self, owner: _Owner) -> None:
        """Extend the takeover to the floor slots."""
        if not self._start_if_due(owner):
            return
        lease_key = _rows.lease_key(owner.host)
        snapshot = await _rows.read(self._platform, [lease_key])
        if isinstance(snapshot, interface.Unavailable):
            return
        lease_row = snapshot.row_by_key.get(lease_key)
        self._record_host_alive(owner, lease_row, snapshot.platform_ms)
        if owner.phase is not _Phase.TAKEN_OVER or not (
            owner.is_released or self._departures.has_left(owner.host)
        ):
            return
        # A restarted host writes its lease row before it uses its floor
        # slots, so that one of the two writes fails.
        owner.pending_write = _TakeoverWrite(
            [
                interface.Check(
                    _rows.takeover_key(owner.host), owner.row_version
                ),
                interface.Check(lease_key, _rows.row_version(lease_row)),
            ],
            _rows.TakeoverRow(self._host, True, _rows.generate_change_id()),
        )
        owner.next_attempt_ms = 0

    async def _step_returning(self, owner: _Owner) -> None:
        if self._table.in_progress_for(owner.host):
            return
        if not self._start_if_due(owner):
            return
        key = _rows.takeover_key(owner.host)
        result = await _rows.commit(
            self._platform,
            [interface.Check(key, owner.row_version)],
            [interface.Write(key, None)],
        )
        if isinstance(result, interface.Committed):
            self._resume_granting(owner)
        elif isinstance(result, interface.Conflict):
            row = result.row_by_key.get(key)
            takeover = _rows.decode(row, _rows.TakeoverRow)
            if takeover is not None and takeover.holder == self._host:
                owner.row_version = _rows.row_version(row)
                owner.next_attempt_ms = 0
            else:
                self._resume_granting(owner)
