"""Leases that this host grants as a standby, and takeovers."""

from __future__ import annotations

import dataclasses
import enum
import logging

import msgspec

from wigeonhatch import clock as clock_module
from wigeonhatch.budget import _rows
from wigeonhatch.budget import departures
from wigeonhatch.budget import lease
from wigeonhatch.budget import slots
from wigeonhatch.config import head as heads
from wigeonhatch.config import model
from wigeonhatch.platform import interface
from wigeonhatch.steering import ownership as ownership_module

STEP_MS = 100
RETRY_MS = 500
"""Interval between attempts that need the platform."""
VALIDATE_MS = 5_000
SCAN_MS = 60_000
"""Interval of the search for takeovers of an earlier incarnation; at 7,300
hosts it takes 122 reads a second."""
NO_RECORD_MS = 10_000
"""Time after which a host of which no peer knows a record counts as one that
never started."""
WAIT_MS = _rows.LEASE_MS + _rows.TAKEOVER_MARGIN_MS

_LOG = logging.getLogger(__name__)
_DENIED = lease.LeaseDecision(lease.LeaseStatus.DENIED, 0)


class _Phase(enum.Enum):
    GRANTING = 'granting'
    TAKING = 'taking'
    TAKEN = 'taken'
    RETURNING = 'returning'


@dataclasses.dataclass(slots=True)
class _Attempt:
    """Write of a takeover row whose effect may be unknown."""

    checks: list[interface.Check]
    row: _rows.TakeoverRow
    is_unknown: bool = False


@dataclasses.dataclass(slots=True)
class _Client:
    """Host whose standby this host is."""

    host: str
    since_version: int
    since_ms: int
    until_ms: int
    previous_standby: str | None
    is_confirmed: bool = False
    is_former: bool = False
    phase: _Phase = _Phase.GRANTING
    incarnation: int | None = None
    released_incarnation: int | None = None
    is_released: bool = False
    is_cleaned: bool = False
    has_granted: bool = False
    include_floor: bool = False
    version: int = interface.ABSENT
    attempt: _Attempt | None = None
    next_try_ms: int = 0
    validated_ms: int = 0


class LeaseGrantor:
    """Grant leases, take over the slots of silent hosts and return them.

    Args:
        host: Name of this host.
        clock: Source of time.
        platform: Platform for the takeover rows.
        table: Slots of this host.
        confirmed_version: As for `SlotTable`.
        gone: Hosts that have left the platform's list.
    """

    def __init__(
        self,
        host: str,
        clock: clock_module.Clock,
        platform: interface.Platform,
        table: slots.SlotTable,
        confirmed_version: slots.ConfirmedVersion,
        gone: departures.Departures,
    ) -> None:
        self._host = host
        self._clock = clock
        self._platform = platform
        self._table = table
        self._confirmed_version = confirmed_version
        self._gone = gone
        self._ownership: ownership_module.Ownership | None = None
        self._client_by_host: dict[str, _Client] = {}
        self._version = 0
        self._next_scan_ms = clock.now_ms
        self._last_ms = clock.now_ms
        self._is_stopping = False
        self._is_stepping = False

    @property
    def acting_for(self) -> frozenset[str]:
        """Hosts whose targets this host admits to."""
        return frozenset(
            host
            for host, client in self._client_by_host.items()
            if client.phase is _Phase.TAKEN and self._table.is_acting_for(host)
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
            client = self._client_by_host.get(host)
            if client is not None and not client.is_former and is_next:
                continue
            if client is None:
                client = _Client(host, 0, now_ms, 0, None)
                self._client_by_host[host] = client
            client.is_former = client.is_confirmed = False
            client.since_version = versioned.version
            client.since_ms = now_ms
            client.until_ms = now_ms + WAIT_MS
            client.previous_standby = None
            # A version that this host has not seen may have had another
            # standby.
            if old is not None and is_next:
                client.previous_standby = old.standby_by_host.get(host)
                client.is_confirmed = host not in old.targets_by_owner
        for host, client in list(self._client_by_host.items()):
            if host in hosts:
                continue
            client.is_former = True
            if client.phase is _Phase.GRANTING:
                del self._client_by_host[host]
            elif client.phase is _Phase.TAKEN:
                self._start_return(client)

    def on_renew(
        self, host: str, incarnation: int, release: bool
    ) -> lease.LeaseDecision:
        """Answer a renewal of a host's lease.

        Args:
            host: Host that asks.
            incarnation: Its incarnation.
            release: Whether it stops and uses none of its slots any more.
        """
        client = self._client_by_host.get(host)
        if (
            client is None
            or client.is_former
            or self._is_stopping
            or incarnation == client.released_incarnation
            and not release
        ):
            return _DENIED
        now_ms = self._clock.now_ms
        if not release:
            self._gone.on_host_alive(host)
        if client.phase is not _Phase.GRANTING:
            if release:
                client.released_incarnation = incarnation
                client.is_released = True
                return lease.LeaseDecision(lease.LeaseStatus.GRANTED, 0)
            client.is_released = False
            if client.phase is _Phase.TAKEN:
                self._start_return(client)
            may_use_floor = not client.include_floor and (
                client.attempt is None or not client.attempt.row.include_floor
            )
            return lease.LeaseDecision(
                lease.LeaseStatus.RETURNING,
                _rows.LEASE_MS if may_use_floor else 0,
            )
        if (
            client.incarnation not in (None, incarnation)
            and now_ms < client.until_ms
        ):
            # Requests of the earlier incarnation may still run, or two
            # processes use the same name.
            return lease.LeaseDecision(lease.LeaseStatus.RETURNING, 0)
        client.incarnation = incarnation
        client.is_released = release
        if release:
            client.released_incarnation = incarnation
            client.until_ms = now_ms
            client.next_try_ms = 0
            return lease.LeaseDecision(lease.LeaseStatus.GRANTED, 0)
        client.until_ms = now_ms + WAIT_MS
        client.has_granted = True
        return lease.LeaseDecision(lease.LeaseStatus.GRANTED, _rows.LEASE_MS)

    async def run(self) -> None:
        """Take over and return slots until cancelled."""
        while True:
            await self.step()
            await self._clock.sleep_ms(STEP_MS)

    async def step(self) -> None:
        """Do what is due for each host whose standby this host is.

        A call during another one has no effect: `run` and `stop` may overlap,
        and a late response to one must not undo the progress of the other.
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
            # This process was paused: renewals may wait to be answered.
            for client in self._client_by_host.values():
                if client.phase is _Phase.GRANTING:
                    client.until_ms = now_ms + WAIT_MS
        self._last_ms = now_ms
        if now_ms >= self._next_scan_ms and self._version:
            await self._find_old_rows()
        for client in list(self._client_by_host.values()):
            if client.phase is _Phase.GRANTING:
                await self._step_granting(client)
            elif client.phase is _Phase.TAKING:
                await self._try_attempt(client)
            elif client.phase is _Phase.TAKEN:
                await self._step_taken(client)
            else:
                await self._step_returning(client)

    async def stop(self, bound_ms: int) -> bool:
        """Return all slots of other hosts, for a planned stop.

        Args:
            bound_ms: Longest time to wait in ms.

        Returns:
            Whether all have been returned.
        """
        self._is_stopping = True
        end_ms = self._clock.now_ms + bound_ms
        for client in self._client_by_host.values():
            client.is_former = True
            if client.phase is _Phase.TAKEN:
                self._start_return(client)
        while True:
            await self.step()
            if all(
                client.phase is _Phase.GRANTING
                for client in self._client_by_host.values()
            ):
                return True
            if self._clock.now_ms >= end_ms:
                return False
            await self._clock.sleep_ms(STEP_MS)

    def _start_return(self, client: _Client) -> None:
        self._table.end_takeover(client.host)
        client.phase = _Phase.RETURNING
        client.next_try_ms = 0

    def _is_due(self, client: _Client) -> bool:
        now_ms = self._clock.now_ms
        if now_ms < client.next_try_ms:
            return False
        client.next_try_ms = now_ms + RETRY_MS
        return True

    def _is_silent(self, client: _Client) -> bool:
        """Tell whether no lease of the client can be in use."""
        if self._is_stopping or client.is_former:
            return False
        if not client.is_confirmed and not client.is_released:
            return False
        return self._clock.now_ms >= client.until_ms

    def _check_confirmed(self, client: _Client) -> None:
        now_ms = self._clock.now_ms
        if not client.is_confirmed and self._has_confirmed(client, now_ms):
            # The previous standby may have granted a lease just before it
            # learned the configuration.
            client.is_confirmed = True
            if not client.is_released:
                client.until_ms = now_ms + WAIT_MS

    def _has_confirmed(self, client: _Client, now_ms: int) -> bool:
        confirmed = self._confirmed_version(client.host)
        if confirmed is None:
            if now_ms - client.since_ms >= NO_RECORD_MS:
                return True
        elif confirmed >= client.since_version:
            return True
        if self._gone.has_left(client.host):
            return True
        previous = client.previous_standby
        if previous is None:
            return False
        return (
            self._confirmed_version(previous) or 0
        ) >= client.since_version or self._gone.has_left(previous)

    async def _step_granting(self, client: _Client) -> None:
        self._check_confirmed(client)
        if not self._is_silent(client):
            if client.incarnation is not None and not client.is_cleaned:
                await self._delete_old_row(client)
            return
        if not self._is_due(client):
            return
        lease_key = _rows.lease_key(client.host)
        takeover_key = _rows.takeover_key(client.host)
        keys = [lease_key, takeover_key, heads.HEAD_KEY]
        found = await _rows.read(self._platform, keys)
        if isinstance(found, interface.Unavailable):
            return
        takeover_row = found.row_by_key.get(takeover_key)
        takeover = _rows.decode(takeover_row, _rows.TakeoverRow)
        is_own = takeover is not None and takeover.holder == self._host
        if takeover_row is not None and not is_own:
            if takeover is None:
                return
            age_ms = found.platform_ms - takeover_row.committed_ms
            self._gone.on_host_alive(takeover.holder, age_ms)
            if not self._gone.has_left(takeover.holder):
                return
        if self._may_hold_lease(client, found):
            return
        head = _rows.decode(
            found.row_by_key.get(heads.HEAD_KEY), heads.HeadVersion
        )
        if head is not None and head.version != self._version:
            # This host may not be the standby any more.
            return
        # The host may have renewed its lease during the read.
        if client.phase is not _Phase.GRANTING or not self._is_silent(client):
            return
        include_floor = client.is_released or self._gone.has_left(client.host)
        if is_own and takeover is not None and not client.has_granted:
            # Taken over by an earlier incarnation of this host.
            include_floor = include_floor or takeover.include_floor
        client.phase = _Phase.TAKING
        client.attempt = _Attempt(
            [
                interface.Check(
                    key, _rows.row_version(found.row_by_key.get(key))
                )
                for key in keys
            ],
            _rows.TakeoverRow(
                self._host, include_floor, _rows.generate_change_id()
            ),
        )
        client.next_try_ms = 0
        await self._try_attempt(client)

    def _may_hold_lease(
        self, client: _Client, found: interface.ReadResult
    ) -> bool:
        """Tell whether a lease from the table may be in use."""
        lease_row = found.row_by_key.get(_rows.lease_key(client.host))
        self._note_sign_of_life(client, lease_row, found.platform_ms)
        if not _rows.is_lease_valid(lease_row, found.platform_ms):
            return False
        row = _rows.decode(lease_row, _rows.LeaseRow)
        if client.is_released and row is not None:
            if row.incarnation == client.released_incarnation:
                return False
            # A new incarnation runs, and has not released anything.
            client.is_released = False
            client.until_ms = self._clock.now_ms + WAIT_MS
        return True

    def _note_sign_of_life(
        self,
        client: _Client,
        lease_row: interface.Row | None,
        platform_ms: int,
    ) -> None:
        if lease_row is not None and not client.is_released:
            age_ms = platform_ms - lease_row.committed_ms
            self._gone.on_host_alive(client.host, age_ms)

    async def _find_old_rows(self) -> None:
        """Return what an earlier incarnation took over as a standby.

        The configuration may have another standby since.
        """
        now_ms = self._clock.now_ms
        self._next_scan_ms = now_ms + RETRY_MS
        found = await _rows.scan(self._platform, _rows.takeover_key(''))
        if isinstance(found, interface.Unavailable):
            return
        self._next_scan_ms = now_ms + SCAN_MS
        for key, row in found.row_by_key.items():
            host = key.removeprefix(_rows.takeover_key(''))
            takeover = _rows.decode(row, _rows.TakeoverRow)
            if (
                takeover is None
                or takeover.holder != self._host
                or host in self._client_by_host
            ):
                continue
            client = _Client(host, self._version, now_ms, now_ms, None)
            client.is_former = True
            client.phase = _Phase.RETURNING
            client.include_floor = takeover.include_floor
            client.version = row.version
            self._client_by_host[host] = client

    async def _delete_old_row(self, client: _Client) -> None:
        """Delete the takeover of an earlier incarnation of this host.

        The row would keep the host from a lease from the table.
        """
        if not self._is_due(client):
            return
        key = _rows.takeover_key(client.host)
        found = await _rows.read(self._platform, [key])
        if isinstance(found, interface.Unavailable):
            return
        row = found.row_by_key.get(key)
        takeover = _rows.decode(row, _rows.TakeoverRow)
        if takeover is not None and takeover.holder == self._host:
            checks = [interface.Check(key, _rows.row_version(row))]
            result = await _rows.commit(
                self._platform, checks, [interface.Write(key, None)]
            )
            if not isinstance(result, interface.Committed):
                return
        client.is_cleaned = True

    async def _try_attempt(self, client: _Client) -> None:
        """Write the takeover row; an unknown effect is resolved by retrying.

        The checks stay the same, so that the write takes effect at most
        once, and a conflict returns the rows as they are.
        """
        attempt = client.attempt
        if attempt is None or not self._is_due(client):
            return
        key = _rows.takeover_key(client.host)
        result = await _rows.commit(
            self._platform,
            attempt.checks,
            [interface.Write(key, msgspec.json.encode(attempt.row))],
        )
        if isinstance(result, interface.Committed):
            self._on_taken(client, attempt, result.version_by_key[key])
        elif isinstance(result, interface.Conflict):
            row = result.row_by_key.get(key)
            if _rows.decode(row, _rows.TakeoverRow) == attempt.row:
                self._on_taken(client, attempt, _rows.row_version(row))
            else:
                self._on_not_taken(client)
        elif isinstance(result, interface.Unknown):
            attempt.is_unknown = True
        elif not attempt.is_unknown:
            self._on_not_taken(client)

    def _on_taken(
        self, client: _Client, attempt: _Attempt, version: int
    ) -> None:
        client.attempt = None
        client.version = version
        client.include_floor = attempt.row.include_floor
        client.validated_ms = self._clock.now_ms
        if client.phase is _Phase.RETURNING:
            return
        client.phase = _Phase.TAKEN
        client.incarnation = None
        if client.is_former or self._is_stopping:
            self._start_return(client)
            return
        self._table.observe_clock()
        self._table.take_over(client.host, client.include_floor)
        _LOG.warning(
            'took over the %s of host %r',
            'slots' if client.include_floor else 'leased slots',
            client.host,
        )

    def _on_not_taken(self, client: _Client) -> None:
        client.attempt = None
        if client.phase is not _Phase.TAKING:
            # An extension to the floor slots; the takeover itself stands
            # until the next validation.
            client.validated_ms = -VALIDATE_MS
            return
        self._grant_again(client)

    def _grant_again(self, client: _Client) -> None:
        client.phase = _Phase.GRANTING
        client.attempt = None
        client.include_floor = False
        client.version = interface.ABSENT
        client.until_ms = self._clock.now_ms + WAIT_MS
        if client.is_former and not self._is_stopping:
            self._client_by_host.pop(client.host, None)

    async def _step_taken(self, client: _Client) -> None:
        if client.attempt is not None:
            await self._try_attempt(client)
            return
        now_ms = self._clock.now_ms
        is_acting = self._table.is_acting_for(client.host)
        if is_acting and now_ms - client.validated_ms < VALIDATE_MS:
            if not client.include_floor and (
                client.is_released or self._gone.has_left(client.host)
            ):
                await self._extend(client)
            return
        if not self._is_due(client):
            return
        key = _rows.takeover_key(client.host)
        result = await _rows.commit(
            self._platform, [interface.Check(key, client.version)], []
        )
        if client.phase is not _Phase.TAKEN:
            return
        if self._table.observe_clock() - now_ms >= _rows.LEASE_MS:
            return
        if isinstance(result, interface.Committed):
            client.validated_ms = self._clock.now_ms
            if not self._table.is_acting_for(client.host):
                self._table.take_over(client.host, client.include_floor)
        elif isinstance(result, interface.Conflict):
            # Another host cleared the row because this one seemed to have
            # left, or an extension took effect after all.
            self._start_return(client)

    async def _extend(self, client: _Client) -> None:
        """Take over the floor slots as well."""
        if not self._is_due(client):
            return
        lease_key = _rows.lease_key(client.host)
        found = await _rows.read(self._platform, [lease_key])
        if isinstance(found, interface.Unavailable):
            return
        lease_row = found.row_by_key.get(lease_key)
        self._note_sign_of_life(client, lease_row, found.platform_ms)
        if client.phase is not _Phase.TAKEN or not (
            client.is_released or self._gone.has_left(client.host)
        ):
            return
        # A host that runs again writes its lease row before it uses its
        # floor slots, so that one of the two writes fails.
        client.attempt = _Attempt(
            [
                interface.Check(
                    _rows.takeover_key(client.host), client.version
                ),
                interface.Check(lease_key, _rows.row_version(lease_row)),
            ],
            _rows.TakeoverRow(self._host, True, _rows.generate_change_id()),
        )
        client.next_try_ms = 0

    async def _step_returning(self, client: _Client) -> None:
        if self._table.in_progress_for(client.host):
            return
        if not self._is_due(client):
            return
        key = _rows.takeover_key(client.host)
        result = await _rows.commit(
            self._platform,
            [interface.Check(key, client.version)],
            [interface.Write(key, None)],
        )
        if isinstance(result, interface.Committed):
            self._grant_again(client)
        elif isinstance(result, interface.Conflict):
            row = result.row_by_key.get(key)
            takeover = _rows.decode(row, _rows.TakeoverRow)
            if takeover is not None and takeover.holder == self._host:
                client.version = _rows.row_version(row)
                client.next_try_ms = 0
            else:
                self._grant_again(client)
