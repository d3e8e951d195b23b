"""Lease that this host holds from its standby or from the table."""

from __future__ import annotations

import collections.abc
import dataclasses
import enum
import logging

import anyio
import msgspec

from wigeonhatch import clock as clock_module
from wigeonhatch.budget import _rows
from wigeonhatch.budget import departures as host_departures
from wigeonhatch.budget import slots
from wigeonhatch.config import model
from wigeonhatch.platform import interface
from wigeonhatch.steering import ownership as ownership_module

LEASE_MS = _rows.LEASE_MS
RENEW_INTERVAL_MS = 500
RENEW_TIMEOUT_MS = 400
CLOCK_CHECK_INTERVAL_MS = 250
TABLE_FALLBACK_MS = 1_200
"""Remaining validity of the lease below which it is renewed in the table: a
single lost response of the standby causes no write."""
POLL_INTERVAL_MS = 20
RELEASE_ATTEMPTS = 3

_LOG = logging.getLogger(__name__)


class LeaseStatus(enum.IntEnum):
    """Result of a renewal; the numbers are those of the peer protocol."""

    DENIED = 0
    GRANTED = 1
    RETURNING = 2


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseDecision:
    """Response of a standby to a renewal.

    Args:
        status: Whether the lease is granted, denied (the receiving host is
            not the standby), or not yet returned by the standby.
        granted_ms: Validity of a granted lease in ms. With `RETURNING`, 0 if
            the host may not use its floor slots either.
    """

    status: LeaseStatus
    granted_ms: int


Renew = collections.abc.Callable[
    [str, bool], collections.abc.Awaitable[LeaseDecision | None]
]


class LeaseHolder:
    """Hold and renew the lease for this host's leased slots.

    Args:
        host: Name of this host.
        incarnation: Incarnation of this host.
        clock: Source of time.
        platform: Platform for the fallback lease.
        table: Slots of this host.
        renew: Sends `RenewLease` to a standby (host, release); returns None
            if there was no response.
        departures: Hosts that have left the platform's list.
    """

    def __init__(
        self,
        host: str,
        incarnation: int,
        clock: clock_module.Clock,
        platform: interface.Platform,
        table: slots.SlotTable,
        renew: Renew,
        departures: host_departures.Departures,
    ) -> None:
        self._host = host
        self._incarnation = incarnation
        self._clock = clock
        self._platform = platform
        self._table = table
        self._renew = renew
        self._departures = departures
        self._is_configured = False
        self._standby: str | None = None
        self._verified_standby: str | None = None
        self._lease_end_ms = 0
        self._lease_version = interface.ABSENT
        self._takeover_version = interface.ABSENT
        self._may_delete_takeover = False
        self._is_stopping = False

    @property
    def has_lease(self) -> bool:
        """Whether this host may use its leased slots now."""
        return self._clock.now_ms < self._lease_end_ms

    def configure(
        self,
        versioned: model.VersionedConfig,
        ownership: ownership_module.Ownership,
    ) -> None:
        """Apply a configuration.

        Args:
            versioned: Configuration in force.
            ownership: Owners and standbys that follow from it.
        """
        del versioned
        self._is_configured = True
        self._standby = ownership.standby_by_host.get(self._host)
        end_ms = self._clock.now_ms + LEASE_MS
        if self._standby is not None and self._lease_end_ms > end_ms:
            # The lease did not expire, because the host had no standby.
            self._set_lease_end(end_ms)

    async def run(self) -> None:
        """Renew the lease until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_clock)
            while True:
                start_ms = self._clock.now_ms
                await self.step()
                elapsed_ms = self._clock.now_ms - start_ms
                await self._clock.sleep_ms(
                    max(POLL_INTERVAL_MS, RENEW_INTERVAL_MS - elapsed_ms)
                )

    async def step(self) -> None:
        """Renew the lease once, from the standby or the table."""
        self._table.observe_clock()
        if self._is_stopping or not self._is_configured:
            return
        standby = self._standby
        if standby is None:
            if await self._check_no_takeover('') and not self._is_stopping:
                self._set_lease_end(None)
                self._table.resume()
            return
        sent_ms = self._clock.now_ms
        reply = await self._request_renewal(standby, False)
        if self._is_reply_stale(sent_ms) or standby != self._standby:
            return
        if reply is not None and reply.status is LeaseStatus.GRANTED:
            if await self._check_no_takeover(
                standby
            ) and not self._is_reply_stale(sent_ms):
                self._set_lease_end(sent_ms + reply.granted_ms)
                self._table.resume()
        elif reply is not None and reply.status is LeaseStatus.RETURNING:
            self._drop_lease(may_use_floor=reply.granted_ms > 0)
        elif (
            self._lease_end_ms - self._clock.now_ms < TABLE_FALLBACK_MS
            or self._table.is_suspended
        ):
            await self._renew_in_table()

    async def hand_over(self, bound_ms: int) -> bool:
        """Stop admitting and let the standby take over without delay.

        The slots are released when no request is in progress on them, so
        that requests of the standby never add to those still in progress.
        If requests outlast the lease, the standby takes over the leased
        slots when the lease expires, as after a crash.

        Args:
            bound_ms: Timeout for requests in progress in ms.

        Returns:
            Whether the standby has confirmed that it takes over.
        """
        self._is_stopping = True
        self._table.suspend()
        end_ms = self._clock.now_ms + bound_ms
        while self._table.in_progress_for(self._host):
            if self._clock.now_ms >= end_ms:
                return False
            await self._clock.sleep_ms(POLL_INTERVAL_MS)
        self._set_lease_end(0)
        for _ in range(RELEASE_ATTEMPTS):
            if self._standby is None:
                return False
            reply = await self._request_renewal(self._standby, True)
            if reply is not None:
                return reply.status is LeaseStatus.GRANTED
        return False

    async def _watch_clock(self) -> None:
        while True:
            self._table.observe_clock()
            await self._clock.sleep_ms(CLOCK_CHECK_INTERVAL_MS)

    async def _request_renewal(
        self, standby: str, release: bool
    ) -> LeaseDecision | None:
        with anyio.move_on_after(RENEW_TIMEOUT_MS / 1000):
            return await self._renew(standby, release)
        return None

    def _is_reply_stale(self, sent_ms: int) -> bool:
        # The process may have been paused since it sent the request, so that
        # the response is outdated.
        now_ms = self._table.observe_clock()
        return self._is_stopping or now_ms - sent_ms >= LEASE_MS

    def _set_lease_end(self, end_ms: int | None) -> None:
        if end_ms is None:
            # Far beyond any clock reading: the lease does not expire.
            self._lease_end_ms = slots.DEPARTED_VERSION
            self._table.set_lease(True)
        else:
            self._lease_end_ms = end_ms
            self._table.set_lease(end_ms > 0, end_ms)

    def _drop_lease(self, may_use_floor: bool) -> None:
        self._set_lease_end(0)
        if may_use_floor:
            self._table.resume()
        else:
            self._table.suspend()

    async def _check_no_takeover(self, standby: str) -> bool:
        """Return whether no earlier standby still uses the slots."""
        if standby == self._verified_standby:
            return True
        sent_ms = self._clock.now_ms
        key = _rows.takeover_key(self._host)
        result = await _rows.commit(
            self._platform, [interface.Check(key, interface.ABSENT)], []
        )
        if isinstance(result, interface.Conflict):
            row = result.row_by_key.get(key)
            takeover = _rows.decode(row, _rows.TakeoverRow)
            # A row of the granting standby was written by an earlier
            # incarnation of it; the standby deletes the row.
            if takeover is None or takeover.holder != standby:
                if not self._is_reply_stale(sent_ms):
                    await self._renew_in_table()
                return False
        if isinstance(result, interface.Committed | interface.Conflict):
            self._verified_standby = standby
        # Without the platform, no host can have taken over since then.
        return True

    async def _renew_in_table(self) -> None:
        """Write `lease/HOST`, provided that no takeover exists.

        If one exists, the row is written without acquiring the lease: it
        proves to the standby that this host runs, before it uses its floor
        slots.
        """
        lease_key = _rows.lease_key(self._host)
        takeover_key = _rows.takeover_key(self._host)
        # The takeover row may have changed since the previous call.
        self._takeover_version = interface.ABSENT
        self._may_delete_takeover = False
        for _ in range(2):
            row = _rows.LeaseRow(self._incarnation, _rows.generate_change_id())
            writes = [interface.Write(lease_key, msgspec.json.encode(row))]
            if self._may_delete_takeover:
                writes.append(interface.Write(takeover_key, None))
            checks = [
                interface.Check(lease_key, self._lease_version),
                interface.Check(takeover_key, self._takeover_version),
            ]
            sent_ms = self._clock.now_ms
            result = await _rows.commit(self._platform, checks, writes)
            if self._is_reply_stale(sent_ms):
                return
            if isinstance(result, interface.Committed):
                self._lease_version = result.version_by_key[lease_key]
                if (
                    self._may_delete_takeover
                    or self._takeover_version == interface.ABSENT
                ):
                    self._set_lease_end(sent_ms + LEASE_MS)
                else:
                    self._set_lease_end(0)
                self._table.resume()
                return
            if not isinstance(result, interface.Conflict):
                return
            if not self._resolve_conflict(result):
                return

    def _resolve_conflict(self, conflict: interface.Conflict) -> bool:
        lease_row = conflict.row_by_key.get(_rows.lease_key(self._host))
        takeover_row = conflict.row_by_key.get(_rows.takeover_key(self._host))
        self._lease_version = _rows.row_version(lease_row)
        self._takeover_version = _rows.row_version(takeover_row)
        self._may_delete_takeover = False
        lease = _rows.decode(lease_row, _rows.LeaseRow)
        if (
            lease is None or lease.incarnation != self._incarnation
        ) and _rows.is_lease_valid(lease_row, conflict.platform_ms):
            # Another process runs under the name of this host.
            self._drop_lease(may_use_floor=False)
            return False
        if takeover_row is None:
            return True
        takeover = _rows.decode(takeover_row, _rows.TakeoverRow)
        if takeover is not None:
            age_ms = conflict.platform_ms - takeover_row.committed_ms
            self._departures.on_host_alive(takeover.holder, age_ms)
            if self._departures.has_left(takeover.holder):
                self._may_delete_takeover = True
                return True
        self._verified_standby = None
        if takeover is None or takeover.include_floor:
            self._drop_lease(may_use_floor=False)
            return False
        self._set_lease_end(0)
        return self._table.is_suspended
