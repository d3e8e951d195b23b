"""Admission to the targets that this host owns or has taken over."""

from __future__ import annotations

import collections.abc
import contextlib
import dataclasses
import logging
import math
import operator

import anyio

from wigeonhatch import clock as clock_module
from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.budget import _service
from wigeonhatch.budget import _target
from wigeonhatch.budget import reports
from wigeonhatch.config import model
from wigeonhatch.steering import ownership as ownership_module

AttemptResult = _target.AttemptResult
LoadReport = reports.LoadReport

PAUSE_THRESHOLD_MS = 2_000
"""Gap between clock readings that counts as a pause of the process. Equal to
the lease duration: after a shorter gap no other host can hold the slots."""
REFRESH_INTERVAL_MS = 100
"""Interval between updates of limits that change with time."""
MAX_WAIT_MS = 100
MAX_WAITERS_PER_SLOT = 2
"""Queue limit per slot: a slot serves about one request per 50 ms, so that a
longer queue would only delay the refusal of its requests."""
DEPARTED_VERSION = 1 << 61
"""Confirmed version reported for a host that has departed."""
TIE_BREAK_STEP = 1e-12
"""Far below any difference in utilization, so that it only breaks ties."""

_LOG = logging.getLogger(__name__)
_BY_SORT_KEY = operator.attrgetter('sort_key')
_SUSPENDED = outcome.Failure(
    codes.ResultCode.NO_CAPACITY,
    'this host admits nothing until its standby or the platform has responded',
)

ConfirmedVersion = collections.abc.Callable[[str], int | None]


@dataclasses.dataclass(frozen=True, slots=True)
class SlotRequest:
    """Request for a slot of one of a service's targets.

    Args:
        service: Name of the service.
        customer: Name of the customer, '' for none.
        idempotent: Whether the request is idempotent and may be retried.
        bucket: Hash bucket of the client.
        on_preempt: Cancels the attempt; None if it must not be preempted.
    """

    service: str
    customer: str
    idempotent: bool
    bucket: int
    on_preempt: collections.abc.Callable[[], None] | None


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSummary:
    """Load of one service on the targets that a host admits to, in slots.

    Args:
        free: Slots that a request without a reservation may use now.
        used: Requests in progress.
        capacity: Slots that the host may use now.
    """

    free: int
    used: int
    capacity: int


class SlotGrant:
    """Slot of one target granted to a request, to be released exactly once."""

    __slots__ = ('_is_released', '_table', 'request', 'is_reserved', 'serial',
                 'service', 'state', 'target')  # fmt: skip

    def __init__(
        self,
        table: SlotTable,
        service: _service.ServiceSlots,
        state: _target.TargetState,
        request: SlotRequest,
        is_reserved: bool,
        serial: int,
    ) -> None:
        self._table = table
        self._is_released = False
        self.service = service
        self.state = state
        self.request = request
        self.is_reserved = is_reserved
        self.serial = serial
        self.target = state.name

    def release(self, result: AttemptResult, latency_ms: int) -> None:
        """Release the slot; further calls have no effect.

        Args:
            result: Result of the attempt.
            latency_ms: Duration of the attempt in ms.
        """
        if not self._is_released:
            self._is_released = True
            self._table.on_release(self, result, latency_ms)


class SlotTable:
    """Slots of the targets that this host owns or has taken over.

    The table starts suspended, with nothing admitted until `resume`: another
    incarnation of the host or its standby may still use the slots.

    Args:
        host: Name of this host.
        clock: Source of time.
        confirmed_version: Returns the configuration version that a host, and
            the host that acts for it if there is one, have confirmed; None if
            there is no record of the host, `DEPARTED_VERSION` if the host has
            left the platform's list.
        recorded_hosts: Returns the hosts that have a record, including those
            that the configuration no longer has.
    """

    def __init__(
        self,
        host: str,
        clock: clock_module.Clock,
        confirmed_version: ConfirmedVersion = lambda host: None,
        recorded_hosts: collections.abc.Callable[
            [], collections.abc.Iterable[str]
        ] = tuple,
    ) -> None:
        self.host = host
        self.violations = 0
        self._clock = clock
        self._confirmed_version = confirmed_version
        self._recorded_hosts = recorded_hosts
        self._last_clock_ms = clock.now_ms
        self._versioned: model.VersionedConfig | None = None
        self._ownership: ownership_module.Ownership | None = None
        self._is_suspended = True
        self._lease_until_ms = 0
        self._has_lease = False
        self._include_floor_by_host: dict[str, bool] = {}
        self._draining_targets: frozenset[str] = frozenset()
        self._service_by_name: dict[str, _service.ServiceSlots] = {}
        self._state_by_target: dict[str, _target.TargetState] = {}
        self._old_owners_by_target: dict[str, dict[str, tuple[int, bool]]] = {}
        # First configuration version after the latest gap in those received.
        self._gap_version = 0
        self._last_serial = 0

    @property
    def is_suspended(self) -> bool:
        """Whether nothing is admitted to the host's own targets."""
        return self._is_suspended

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
        previous = self._versioned
        if previous is not None and previous.version >= versioned.version:
            return
        self._record_ownership_changes(versioned, ownership)
        self._versioned = versioned
        self._ownership = ownership
        old_by_name = self._service_by_name
        self._service_by_name = {}
        for name, configured in versioned.config.service_by_name.items():
            hold_back = configured.hold_back_percent
            if hold_back is None:
                hold_back = versioned.config.tuning.hold_back_percent
            service = _service.ServiceSlots(
                name,
                {
                    customer: item.reserved_percent_by_service[name]
                    for customer, item in (
                        versioned.config.customer_by_name.items()
                    )
                    if item.reserved_percent_by_service.get(name)
                },
                hold_back,
            )
            old = old_by_name.get(name)
            if old is not None:
                # Grants keep a reference to their service until release.
                old.copy_reservations(service)
                service = old
            self._service_by_name[name] = service
        self._rebuild_targets()

    def acquire(
        self, request: SlotRequest
    ) -> outcome.Success[SlotGrant] | outcome.Failure:
        """Admit a request to the target with the lowest utilization.

        Args:
            request: Request for a slot.

        Returns:
            A slot, or `NO_CAPACITY` (not run), or `UNKNOWN_SERVICE`.
        """
        now_ms = self._clock.now_ms
        # Inlined condition of `observe_clock`, to save a call.
        if (
            now_ms - self._last_clock_ms > PAUSE_THRESHOLD_MS
            or (now_ms < self._lease_until_ms) is not self._has_lease
        ):
            now_ms = self.observe_clock()
        self._last_clock_ms = now_ms
        service = self._service_by_name.get(request.service)
        if service is None:
            return outcome.Failure(
                codes.ResultCode.UNKNOWN_SERVICE, repr(request.service)
            )
        if now_ms >= service.next_refresh_ms:
            self._refresh(service, now_ms)
        return self._admit(service, request, now_ms)

    async def acquire_within(
        self, request: SlotRequest, wait_ms: int
    ) -> outcome.Success[SlotGrant] | outcome.Failure:
        """Admit a request, queueing it if no slot is free.

        A request within its customer's reservation also preempts a request
        on a lent slot, and is served before other queued requests.

        Args:
            request: Request for a slot.
            wait_ms: Timeout in ms, limited to `MAX_WAIT_MS`.

        Returns:
            As for `acquire`.
        """
        result = self.acquire(request)
        if (
            isinstance(result, outcome.Success)
            or result.code is not codes.ResultCode.NO_CAPACITY
            or wait_ms <= 0
        ):
            return result
        service = self._service_by_name[request.service]
        may_reclaim = service.may_reclaim(request.customer)
        queue = service.reserved_queue if may_reclaim else service.queue
        if len(queue) >= service.limit * MAX_WAITERS_PER_SLOT:
            return result
        waiter = _service.Waiter(request)
        queue.append(waiter)
        if may_reclaim:
            self.preempt(request.service, request.customer)
        try:
            with anyio.move_on_after(min(wait_ms, MAX_WAIT_MS) / 1000):
                await waiter.event.wait()
        except BaseException:
            if waiter.grant is not None:
                waiter.grant.release(AttemptResult.CANCELLED, 0)
            raise
        finally:
            if waiter.grant is None:
                with contextlib.suppress(ValueError):
                    queue.remove(waiter)
        if waiter.grant is None:
            return result
        return outcome.Success(waiter.grant)

    def preempt(self, service: str, customer: str) -> bool:
        """Cancel one request on a lent slot to serve a reservation.

        Args:
            service: Name of the service.
            customer: Customer with the reservation.

        Returns:
            Whether a request was cancelled; its slot becomes free when its
            grant is released.
        """
        service_slots = self._service_by_name[service]
        if not service_slots.has_reservation(customer):
            return False
        victim = service_slots.pop_victim()
        if victim is None or victim.request.on_preempt is None:
            return False
        victim.request.on_preempt()
        return True

    def set_drained(self, targets: frozenset[str]) -> None:
        """Stop admitting to draining targets, and resume on all others.

        Args:
            targets: All targets that are draining.
        """
        now_ms = self._clock.now_ms
        self._draining_targets = targets
        for state in self._state_by_target.values():
            is_draining = state.name in targets
            if state.is_draining and not is_draining:
                state.start_ramp_up(now_ms)
            state.is_draining = is_draining
        self._invalidate_all()

    def set_lease(self, held: bool, until_ms: int | None = None) -> None:
        """Allow or stop the use of this host's own leased slots.

        Args:
            held: Whether this host holds its lease.
            until_ms: Expiry of the lease on this host's clock in ms; None if
                the lease does not expire.
        """
        if not held:
            self._lease_until_ms = 0
        elif until_ms is None:
            self._lease_until_ms = _service.NEVER_MS
        else:
            self._lease_until_ms = until_ms
        self.observe_clock()

    def suspend(self) -> None:
        """Stop admitting to own targets until `resume`."""
        if not self._is_suspended:
            self._is_suspended = True
            self._invalidate_all()

    def resume(self) -> None:
        """Admit to own targets again; no other host uses their floor slots."""
        if self._is_suspended:
            self._is_suspended = False
            self._invalidate_all()
            self._serve_waiters()

    def observe_clock(self) -> int:
        """Read the clock, and detect process pauses and the end of the lease.

        After a pause no slots may be used until `resume` and `take_over`.

        Returns:
            Current time in ms.
        """
        now_ms = self._clock.now_ms
        if now_ms - self._last_clock_ms > PAUSE_THRESHOLD_MS:
            _LOG.warning(
                'process paused for %d ms: admission suspended',
                now_ms - self._last_clock_ms,
            )
            self._is_suspended = True
            self._include_floor_by_host.clear()
            self._last_clock_ms = now_ms
            self._rebuild_targets()
        self._last_clock_ms = now_ms
        if (now_ms < self._lease_until_ms) is not self._has_lease:
            self._has_lease = not self._has_lease
            self._invalidate_all()
            if self._has_lease:
                self._serve_waiters()
        return now_ms

    def take_over(self, host: str, include_floor: bool) -> None:
        """Start admitting to the targets of another host.

        Args:
            host: Owner of the targets.
            include_floor: Whether the takeover includes the floor slots.
        """
        self._include_floor_by_host[host] = include_floor
        self._rebuild_targets()

    def end_takeover(self, host: str) -> None:
        """Stop admitting to the targets of another host.

        Args:
            host: Owner of the targets.
        """
        if self._include_floor_by_host.pop(host, None) is not None:
            self._rebuild_targets()

    def is_acting_for(self, host: str) -> bool:
        """Return whether this host admits to another host's targets.

        Args:
            host: Owner of the targets.
        """
        return host in self._include_floor_by_host

    def in_progress_for(self, host: str) -> int:
        """Count the requests in progress on the targets of a host.

        Args:
            host: Owner of the targets, or this host.
        """
        return sum(
            state.used
            for state in self._state_by_target.values()
            if state.owner == host
        )

    def in_progress_on(self, target: str) -> int:
        """Count the requests in progress on a target.

        Args:
            target: Name of the target.
        """
        state = self._state_by_target.get(target)
        return 0 if state is None else state.used

    def allowance(self, target: str) -> int:
        """Return the number of slots of a target that this host may use.

        Args:
            target: Name of the target.
        """
        now_ms = self.observe_clock()
        state = self._state_by_target.get(target)
        if state is None or not state.is_admitting:
            return 0
        self._check_confirmations(state)
        return self._allowance(state, now_ms)

    def on_report(self, target: str, report: LoadReport) -> None:
        """Apply a load report; it can only lower the limit of the target.

        Args:
            target: Name of the target.
            report: Load reported by the target.
        """
        state = self._state_by_target.get(target)
        if state is None:
            return
        state.report.on_report(
            report, state.min_used, state.max_used, self._clock.now_ms
        )
        state.min_used = state.max_used = state.used
        self._invalidate(state.service)

    def on_probe(self, target: str, is_healthy: bool) -> None:
        """Apply the result of a health probe; a success ends an ejection.

        Args:
            target: Name of the target.
            is_healthy: Whether the target answered the probe.
        """
        state = self._state_by_target.get(target)
        if state is None or not state.ejected_until_ms:
            return
        if is_healthy:
            state.start_ramp_up(self._clock.now_ms)
        else:
            state.eject(self._clock.now_ms)
        self._invalidate(state.service)

    def loads(self) -> dict[str, LoadSummary]:
        """Summarize the load of each service that has targets here.

        Returns:
            Load by service.
        """
        return {
            name: load
            for name in self._service_by_name
            if (load := self.load(name)) is not None
        }

    def load(self, name: str) -> LoadSummary | None:
        """Summarize the load of one service.

        Args:
            name: Name of the service.

        Returns:
            The load; None if the service has no target here.
        """
        now_ms = self.observe_clock()
        service = self._service_by_name.get(name)
        if service is None or not service.target_states:
            return None
        if now_ms >= service.next_refresh_ms:
            self._refresh(service, now_ms)
        return LoadSummary(
            max(0, service.free_slots(False)),
            sum(state.used for state in service.target_states),
            service.limit,
        )

    def on_release(
        self, grant: SlotGrant, result: AttemptResult, latency_ms: int
    ) -> None:
        """Free the slot of a grant; called by `SlotGrant.release`.

        Args:
            grant: Grant that is released.
            result: Result of the attempt.
            latency_ms: Duration of the attempt in ms.
        """
        state = grant.state
        service = grant.service
        used = state.used = state.used - 1
        if used < state.min_used:
            state.min_used = used
        if used < state.limit:
            service.free += 1
            state.sort_key = used / state.limit + state.tie_break
        if service.preemptible:
            service.preemptible.pop(grant.serial, None)
        if grant.is_reserved:
            service.count_use(grant.request.customer, -1)
        state.average_latency_ms += (latency_ms - state.average_latency_ms) / 8
        now_ms = self.observe_clock()
        if state.on_result(result, now_ms):
            service.next_refresh_ms = 0
        if service.reserved_queue or service.queue:
            self._serve_queues(service, now_ms)

    def _admit(
        self, service: _service.ServiceSlots, request: SlotRequest, now_ms: int
    ) -> outcome.Success[SlotGrant] | outcome.Failure:
        is_reserved = False
        if service.used_by_customer:
            is_reserved = service.has_reservation(request.customer)
            if service.free_slots(is_reserved) <= 0:
                return self._refuse(service)
        elif service.free <= 0:
            return self._refuse(service)
        state = min(service.target_states, key=_BY_SORT_KEY)
        used = state.used + 1
        # Checked without the cached limit, which a bug could leave too high.
        if used > self._allowance(state, now_ms):
            return self._on_violation(state)
        state.used = used
        if used > state.max_used:
            state.max_used = used
        service.free -= 1
        self._last_serial = serial = self._last_serial + 1
        state.tie_break = serial * TIE_BREAK_STEP
        state.sort_key = (
            used / state.limit + state.tie_break
            if used < state.limit
            else _target.FULL_SORT_KEY
        )
        grant = SlotGrant(self, service, state, request, is_reserved, serial)
        if service.used_by_customer:
            if is_reserved:
                service.count_use(request.customer, 1)
            elif request.idempotent and request.on_preempt is not None:
                service.preemptible[serial] = grant
        return outcome.Success(grant)

    def _refuse(self, service: _service.ServiceSlots) -> outcome.Failure:
        return _SUSPENDED if self._is_suspended else service.no_capacity

    def _on_violation(self, state: _target.TargetState) -> outcome.Failure:
        self.violations += 1
        detail = (
            f'target {state.name!r}: {state.used} requests in progress '
            'use up the allowance'
        )
        _LOG.error('%s: %s', codes.ResultCode.INVARIANT_VIOLATED.name, detail)
        self._invalidate(state.service)
        return outcome.Failure(codes.ResultCode.INVARIANT_VIOLATED, detail)

    def _allowance(self, state: _target.TargetState, now_ms: int) -> int:
        if state.pending_by_host:
            return 0
        if state.is_own:
            if self._is_suspended:
                return 0
            if now_ms < self._lease_until_ms:
                return state.floor + state.leased
            return state.floor
        include_floor = self._include_floor_by_host.get(state.owner)
        if include_floor is None:
            return 0
        return state.leased + state.floor if include_floor else state.leased

    def _refresh(self, service: _service.ServiceSlots, now_ms: int) -> None:
        is_steady = True
        for state in service.target_states:
            self._check_confirmations(state)
            limit = min(self._allowance(state, now_ms), state.capacity(now_ms))
            state.limit = limit
            state.sort_key = (
                state.used / limit + state.tie_break
                if state.used < limit
                else _target.FULL_SORT_KEY
            )
            is_steady = is_steady and state.is_steady
        service.next_refresh_ms = (
            _service.NEVER_MS if is_steady else now_ms + REFRESH_INTERVAL_MS
        )
        service.recompute_sums()

    def _check_confirmations(self, state: _target.TargetState) -> None:
        """Apply the configuration versions that other hosts have confirmed."""
        if state.pending_by_host:
            self._check_pending_hosts(state)
        if len(state.versions) > 1:
            self._check_slot_versions(state)

    def _check_pending_hosts(self, state: _target.TargetState) -> None:
        assert self._versioned is not None
        for host, (version, was_owner) in list(state.pending_by_host.items()):
            confirmed = self._confirmed_version(host)
            if confirmed is None:
                if not was_owner:
                    del state.pending_by_host[host]
            elif confirmed >= DEPARTED_VERSION:
                del state.pending_by_host[host]
            # A version newer than this host's may have moved the target back.
            elif version <= confirmed <= self._versioned.version:
                del state.pending_by_host[host]

    def _check_slot_versions(self, state: _target.TargetState) -> None:
        assert self._ownership is not None
        peer: str | None = state.owner
        if state.is_own:
            peer = self._ownership.standby_by_host.get(self.host)
        confirmed = math.inf if peer is None else self._confirmed_version(peer)
        if confirmed is not None:
            state.drop_superseded(int(min(confirmed, _service.NEVER_MS)))

    def _record_ownership_changes(
        self,
        versioned: model.VersionedConfig,
        ownership: ownership_module.Ownership,
    ) -> None:
        previous = self._versioned
        version = versioned.version
        if previous is None or version > previous.version + 1:
            self._gap_version = version
        if self._ownership is None:
            return
        for target, owner in ownership.owner_by_target.items():
            old = self._ownership.owner_by_target.get(target)
            if old is not None and old != owner:
                self._old_owners_by_target.setdefault(target, {})[old] = (
                    version,
                    True,
                )
        for target, old_owners in list(self._old_owners_by_target.items()):
            for host, (moved_in, _) in list(old_owners.items()):
                if (self._confirmed_version(host) or 0) >= moved_in:
                    del old_owners[host]
            if not old_owners or target not in ownership.owner_by_target:
                del self._old_owners_by_target[target]

    def _pending_hosts(self, target: str) -> dict[str, tuple[int, bool]]:
        assert self._versioned is not None and self._ownership is not None
        config = self._versioned.config
        owner = self._ownership.owner_by_target[target]
        # The owner in a version that this host has missed can only be another
        # host of the target's domain, or one that has been removed.
        domain = config.target_by_name[target].domain
        pending = {
            name: (self._gap_version, False)
            for name, host in config.host_by_name.items()
            if host.domain == domain
        }
        for name in self._recorded_hosts():
            if name not in config.host_by_name:
                pending[name] = (self._gap_version, False)
        pending.update(self._old_owners_by_target.get(target, {}))
        pending.pop(owner, None)
        pending.pop(self.host, None)
        return pending

    def _rebuild_targets(self) -> None:
        """Recompute the targets that this host admits to and their slots."""
        if self._versioned is None or self._ownership is None:
            return
        version = self._versioned.version
        config = self._versioned.config
        now_ms = self._clock.now_ms
        for service in self._service_by_name.values():
            service.target_states = []
        owner_by_target = {
            target: host
            for host in (self.host, *self._include_floor_by_host)
            for target in self._ownership.targets_by_owner.get(host, ())
        }
        for state in list(self._state_by_target.values()):
            if state.name not in owner_by_target:
                state.limit = 0
                state.sort_key = _target.FULL_SORT_KEY
                state.is_admitting = False
                if not state.used:
                    del self._state_by_target[state.name]
        percent = config.tuning.floor_percent
        for target, owner in owner_by_target.items():
            service_name = config.target_by_name[target].service
            slots = config.service_by_name[service_name].slots
            known = self._state_by_target.get(target)
            if known is None or known.owner != owner or not known.is_admitting:
                known = self._reset_state(target, service_name, owner, known)
                known.start_ramp_up(now_ms)
                known.pending_by_host = self._pending_hosts(target)
            known.add_version(version, slots, math.ceil(slots * percent / 100))
            self._service_by_name[service_name].target_states.append(known)
        self._invalidate_all()

    def _reset_state(
        self,
        target: str,
        service: str,
        owner: str,
        old_state: _target.TargetState | None,
    ) -> _target.TargetState:
        state = old_state or _target.TargetState(target, service, owner)
        state.service = service
        state.owner = owner
        state.is_own = owner == self.host
        state.is_admitting = True
        state.is_draining = target in self._draining_targets
        state.versions.clear()
        self._state_by_target[target] = state
        return state

    def _invalidate(self, service: str) -> None:
        service_slots = self._service_by_name.get(service)
        if service_slots is not None:
            service_slots.next_refresh_ms = 0

    def _invalidate_all(self) -> None:
        for service in self._service_by_name.values():
            service.next_refresh_ms = 0

    def _serve_waiters(self) -> None:
        now_ms = self.observe_clock()
        for service in self._service_by_name.values():
            if service.reserved_queue or service.queue:
                self._serve_queues(service, now_ms)

    def _serve_queues(
        self, service: _service.ServiceSlots, now_ms: int
    ) -> None:
        if now_ms >= service.next_refresh_ms:
            self._refresh(service, now_ms)
        for queue in (service.reserved_queue, service.queue):
            while queue:
                result = self._admit(service, queue[0].request, now_ms)
                if isinstance(result, outcome.Failure):
                    break
                waiter = queue.popleft()
                waiter.grant = result.value
                waiter.event.set()
