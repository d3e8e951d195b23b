"""Policies for reserved slots: `python -m benchmarks.reservation`.

Simulates one service on the real `SlotTable` with a manual clock. The other
customers overload the service. In a surge, the reserving customer goes at once
from no requests to as many concurrent requests as it has reserved slots. On a
quiet day it sends nothing.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import heapq
import random
import statistics

from wigeonhatch import clock as clock_module
from wigeonhatch import outcome
from wigeonhatch.budget import slots
from wigeonhatch.config import model
from wigeonhatch.steering import ownership

SEEDS = range(10)
TARGETS = 12
SLOTS = 4
RESERVED_PERCENT = 25.0
SERVICE_TIMES_MS = (80, 800)
"""Means of the exponentially distributed request times: pages, uploads."""
OVERLOAD = 1.3
"""Demand of the other customers, relative to all slots."""
IDEMPOTENT_FRACTION = 0.7
STEADY_MS = 5_000
"""Duration of the warm-up and of a measured quiet day."""
SURGE_MS = 1_000
WAIT_MS = 100


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """How unused reserved slots are lent and reclaimed.

    Args:
        name: Label in the table of results.
        hold_back_percent: Percent of the reserved slots that is never lent.
        cancels: Whether requests on lent slots are cancelled.
    """

    name: str
    hold_back_percent: float
    cancels: bool


POLICIES = (
    Policy('hold back everything', 100.0, False),
    Policy('reclaim only', 0.0, False),
    Policy('hold back 20%, reclaim', 20.0, False),
    Policy('cancel', 0.0, True),
    Policy('hold back 20%, cancel', 20.0, True),
)


@dataclasses.dataclass(slots=True)
class Counts:
    """Counters of one simulation run."""

    customer: int = 0
    refused: int = 0
    cancelled: int = 0
    served_others: int = 0
    waits_ms: list[int] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class _WaitingRequest:
    since_ms: int
    request_ms: int
    has_preempted: bool = False


class Simulation:
    """Simulation of a policy in steps of 1 ms.

    Args:
        policy: How unused reserved slots are lent and reclaimed.
        service_ms: Mean duration of a request in ms.
        seed: Seed of all random numbers.
    """

    def __init__(self, policy: Policy, service_ms: int, seed: int) -> None:
        self.counts = Counts()
        self._service_ms = service_ms
        self._customer_in_flight = 0
        self._policy = policy
        self._random = random.Random(seed)
        self._clock = clock_module.ManualClock()
        self._table = slots.SlotTable('a', self._clock)
        self._table.configure(*_build_config(policy.hold_back_percent))
        self._table.set_lease(True)
        self._table.resume()
        self._completions: list[tuple[int, int]] = []
        self._grant_by_id: dict[int, slots.SlotGrant] = {}
        self._next_id = 0
        self._waiting: list[_WaitingRequest] = []
        self._ids_to_cancel: list[int] = []

    def run(self, duration_ms: int, customer_limit: int) -> None:
        """Simulate a period of constant demand.

        Args:
            duration_ms: Simulated time in ms.
            customer_limit: Concurrent requests of the reserving customer.
        """
        other_rate = OVERLOAD * TARGETS * SLOTS / self._service_ms
        for _ in range(duration_ms):
            self._clock.advance(1)
            now_ms = self._clock.now_ms
            while self._completions and self._completions[0][0] <= now_ms:
                self._finish(heapq.heappop(self._completions)[1])
            for request in self._waiting:
                if self._policy.cancels and not request.has_preempted:
                    request.has_preempted = self._preempt()
            self._serve_waiting(now_ms)
            while self._customer_in_flight < customer_limit:
                self._customer_in_flight += 1
                self.counts.customer += 1
                self._waiting.append(_WaitingRequest(now_ms, self._draw_ms()))
                self._serve_waiting(now_ms)
            for _ in range(self._draw_count(other_rate)):
                self._start('', self._draw_ms())

    def _serve_waiting(self, now_ms: int) -> None:
        still_waiting = []
        for request in self._waiting:
            waited_ms = now_ms - request.since_ms
            if self._start('florist', request.request_ms):
                self.counts.waits_ms.append(waited_ms)
            elif waited_ms >= WAIT_MS:
                self.counts.refused += 1
                self._customer_in_flight -= 1
            else:
                still_waiting.append(request)
        self._waiting = still_waiting

    def _start(self, customer: str, request_ms: int) -> bool:
        is_idempotent = self._random.random() < IDEMPOTENT_FRACTION
        identifier = self._next_id = self._next_id + 1
        result = self._table.acquire(
            slots.SlotRequest(
                'service',
                customer,
                is_idempotent,
                0,
                lambda: self._ids_to_cancel.append(identifier),
            )
        )
        if not isinstance(result, outcome.Success):
            return False
        self._grant_by_id[identifier] = result.value
        heapq.heappush(
            self._completions, (self._clock.now_ms + request_ms, identifier)
        )
        return True

    def _preempt(self) -> bool:
        is_preempted = self._table.preempt('service', 'florist')
        while self._ids_to_cancel:
            grant = self._grant_by_id.pop(self._ids_to_cancel.pop(), None)
            if grant is not None:
                self.counts.cancelled += 1
                grant.release(slots.AttemptResult.CANCELLED, 1)
        return is_preempted

    def _finish(self, identifier: int) -> None:
        grant = self._grant_by_id.pop(identifier, None)
        if grant is not None:
            if grant.request.customer:
                self._customer_in_flight -= 1
            else:
                self.counts.served_others += 1
            grant.release(slots.AttemptResult.SERVED, self._service_ms)

    def _draw_ms(self) -> int:
        return max(1, round(self._random.expovariate(1 / self._service_ms)))

    def _draw_count(self, rate: float) -> int:
        count = 0
        elapsed = self._random.expovariate(1) / rate if rate else 2.0
        while elapsed < 1:
            count += 1
            elapsed += self._random.expovariate(1) / rate
        return count


def _build_config(
    hold_back_percent: float,
) -> tuple[model.VersionedConfig, ownership.Ownership]:
    address = '127.0.0.1:1'
    cap = model.Cap(percent=10.0, interval_ms=1_000)
    config = model.SteeringConfig(
        region_by_name={'north': model.Region(['north1'])},
        host_by_name={'a': model.Host('north1', address, address, address)},
        service_by_name={
            'service': model.Service(SLOTS, 400, {'north': 100.0}, cap)
        },
        target_by_name={
            f'target-{index}': model.Target('service', 'north1', address)
            for index in range(TARGETS)
        },
        customer_by_name={
            'florist': model.Customer({'service': RESERVED_PERCENT})
        },
        tuning=model.Tuning(hold_back_percent=hold_back_percent),
    )
    versioned = model.VersionedConfig(1, 'change', config, {})
    return versioned, ownership.assign_owners(config)


def measure(policy: Policy, service_ms: int) -> collections.abc.Iterator[str]:
    """Measure a policy in surges and on quiet days.

    Args:
        policy: How unused reserved slots are lent and reclaimed.
        service_ms: Mean duration of a request in ms.

    Yields:
        Columns of the table of results.
    """
    surges = []
    quiet_served = []
    reserved = int(TARGETS * SLOTS * RESERVED_PERCENT / 100)
    for seed in SEEDS:
        simulation = Simulation(policy, service_ms, seed)
        simulation.run(STEADY_MS, 0)
        simulation.counts = Counts()
        simulation.run(SURGE_MS, reserved)
        surges.append(simulation.counts)
        simulation = Simulation(policy, service_ms, seed)
        simulation.run(STEADY_MS, 0)
        simulation.counts = Counts()
        simulation.run(STEADY_MS, 0)
        quiet_served.append(simulation.counts.served_others)
    sent = sum(counts.customer for counts in surges)
    refused = sum(counts.refused for counts in surges)
    waits = sorted(wait for counts in surges for wait in counts.waits_ms)
    cancelled = sum(counts.cancelled for counts in surges)
    max_served = TARGETS * SLOTS / service_ms * STEADY_MS
    yield f'{service_ms} ms'
    yield policy.name
    yield f'{refused} of {sent}'
    yield f'{statistics.fmean(waits):.1f} ms'
    yield f'{waits[int(len(waits) * 0.99)]} ms'
    yield f'{cancelled / len(surges):.1f}'
    yield f'{100 * (1 - statistics.fmean(quiet_served) / max_served):.1f}%'


def main() -> None:
    """Print the results as a table."""
    columns = (
        'mean request',
        'policy',
        'customer refused in the first second',
        'mean wait',
        '99th percentile',
        'cancelled per surge',
        'slots unused on quiet days',
    )
    print('| ' + ' | '.join(columns) + ' |')
    print('|' + ' --- |' * len(columns))
    for service_ms in SERVICE_TIMES_MS:
        for policy in POLICIES:
            print('| ' + ' | '.join(measure(policy, service_ms)) + ' |')


if __name__ == '__main__':
    main()
