"""Slots of one service on the host that admits requests to its targets."""

from __future__ import annotations

import collections
import math
import typing

import anyio

from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.budget import _target

if typing.TYPE_CHECKING:
    from wigeonhatch.budget import slots as slots_module

NEVER_MS = 1 << 62


class Waiter:
    """Request that waits for a slot."""

    __slots__ = ('request', 'event', 'grant')

    def __init__(self, request: slots_module.SlotRequest) -> None:
        self.request = request
        self.event = anyio.Event()
        self.grant: slots_module.SlotGrant | None = None


Queue = collections.deque[Waiter]


class ServiceSlots:
    """Counts of one service over the targets that this host admits to.

    Args:
        name: Name of the service.
        percent_by_customer: Reserved percent of the service's slots.
        hold_back_percent: Percent of a reservation that is never lent.
    """

    def __init__(
        self,
        name: str,
        percent_by_customer: dict[str, float],
        hold_back_percent: float,
    ) -> None:
        self.name = name
        self.states: list[_target.TargetState] = []
        self.refresh_ms = 0
        self.limit = 0
        self.free = 0
        self.held = 0
        self.reserved_by_customer: dict[str, int] = {}
        self.used_by_customer = dict.fromkeys(percent_by_customer, 0)
        self.preemptible: dict[int, slots_module.SlotGrant] = {}
        self.reserved_queue: Queue = collections.deque()
        self.queue: Queue = collections.deque()
        self.no_capacity = outcome.Failure(
            codes.ResultCode.NO_CAPACITY,
            f'no target of {name!r} has a free slot on this host',
        )
        self._percent_by_customer = percent_by_customer
        self._hold_back_percent = hold_back_percent
        self._hold_back_by_customer: dict[str, int] = {}
        self._held_by_customer: dict[str, int] = {}

    def adopt(self, other: ServiceSlots) -> None:
        """Take the reservations from a newer configuration.

        Args:
            other: The same service in the newer configuration.
        """
        self._percent_by_customer = other._percent_by_customer
        self._hold_back_percent = other._hold_back_percent
        self._hold_back_by_customer = {}
        self._held_by_customer = {}
        self.reserved_by_customer = {}
        used_by_customer = self.used_by_customer
        self.used_by_customer = {
            customer: used_by_customer.get(customer, 0)
            for customer in other.used_by_customer
        }
        self.held = 0

    def recount(self) -> None:
        """Recompute all sums from the limits of the targets."""
        self.limit = sum(state.limit for state in self.states)
        self.free = sum(
            max(0, state.limit - state.used) for state in self.states
        )
        if not self._percent_by_customer:
            return
        nominal = sum(state.slots for state in self.states)
        for customer, percent in self._percent_by_customer.items():
            reserved = math.ceil(nominal * percent / 100)
            self.reserved_by_customer[customer] = min(reserved, self.limit)
            # Rounded down: a host with few slots would otherwise hold back
            # far more than the percentage.
            self._hold_back_by_customer[customer] = int(
                reserved * self._hold_back_percent / 100
            )
        self._held_by_customer = {
            customer: self._held_for(customer)
            for customer in self._percent_by_customer
        }
        self.held = sum(self._held_by_customer.values())

    def has_reservation(self, customer: str) -> bool:
        """Tell whether a customer uses less than it has reserved.

        Args:
            customer: Name of the customer, '' for none.
        """
        reserved = self.reserved_by_customer.get(customer)
        return (
            reserved is not None and self.used_by_customer[customer] < reserved
        )

    def may_reclaim(self, customer: str) -> bool:
        """Tell whether a customer may reclaim one more lent slot.

        Args:
            customer: Name of the customer, '' for none.
        """
        reserved = self.reserved_by_customer.get(customer)
        if reserved is None:
            return False
        waiting = sum(
            waiter.request.customer == customer
            for waiter in self.reserved_queue
        )
        return self.used_by_customer[customer] + waiting < reserved

    def free_for(self, is_reserved: bool) -> int:
        """Count the slots that a request may use.

        Args:
            is_reserved: Whether it falls within a reservation.
        """
        if is_reserved:
            return self.free
        # One slot is always lent: targets whose ramp-up or observation
        # depends on requests would otherwise never get one.
        return self.free - min(self.held, max(0, self.limit - 1))

    def add_use(self, customer: str, change: int) -> None:
        """Count a request of a customer within its reservation.

        Args:
            customer: Name of the customer.
            change: 1 for a start, -1 for an end.
        """
        if customer not in self.used_by_customer:
            # The configuration no longer has the reservation.
            return
        used = self.used_by_customer[customer] + change
        if used < 0:
            used = 0
        self.used_by_customer[customer] = used
        before = self._held_by_customer.get(customer, 0)
        after = self._held_for(customer)
        if after != before:
            self._held_by_customer[customer] = after
            self.held += after - before

    def pop_victim(self) -> slots_module.SlotGrant | None:
        """Remove and return the request to cancel for a reservation.

        Returns:
            The youngest preemptible request, which loses the least work, of
            those whose end frees a slot; None if there is none.
        """
        for serial in reversed(self.preemptible):
            grant = self.preemptible[serial]
            if grant.state.used <= grant.state.limit:
                del self.preemptible[serial]
                return grant
        return None

    def _held_for(self, customer: str) -> int:
        reserved = self.reserved_by_customer.get(customer, 0)
        unused = reserved - self.used_by_customer[customer]
        held = self._hold_back_by_customer.get(customer, 0)
        if unused < held:
            return unused if unused > 0 else 0
        return held
