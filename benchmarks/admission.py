"""Processor time of one admission: `python -m benchmarks.admission`."""

from __future__ import annotations

import statistics
import time

from wigeonhatch import clock as clock_module
from wigeonhatch import outcome
from wigeonhatch.budget import slots
from wigeonhatch.config import model
from wigeonhatch.steering import ownership

ROUNDS = 9
REQUESTS = 20_000
SIZE_BY_SERVICE = {
    'rota-board': (22, 5),
    'bloom-ledger': (12, 4),
    'field-album': (12, 3),
}
"""Number of targets, and slots of each target, by service."""
LARGE_COPIES = 40


def build_table(copies: int, with_reservation: bool) -> slots.SlotTable:
    """Build a table of a host that has a lease and owns all targets, warm.

    Args:
        copies: Number of copies of each service.
        with_reservation: Whether a customer has reserved 20% of each service.
    """
    cap = model.Cap(percent=10.0, interval_ms=1_000)
    services: dict[str, model.Service] = {}
    targets: dict[str, model.Target] = {}
    for copy in range(copies):
        for name, (target_count, slot_count) in SIZE_BY_SERVICE.items():
            services[f'{name}-{copy}'] = model.Service(
                slot_count, 400, {'north': 100.0}, cap
            )
            for index in range(target_count):
                targets[f'{name}-{copy}-{index}'] = model.Target(
                    f'{name}-{copy}', 'north1', '127.0.0.1:1'
                )
    address = '127.0.0.1:1'
    customers = {
        'florist': model.Customer(dict.fromkeys(services, 20.0)),
    }
    config = model.SteeringConfig(
        region_by_name={'north': model.Region(['north1'])},
        host_by_name={'a': model.Host('north1', address, address, address)},
        service_by_name=services,
        target_by_name=targets,
        customer_by_name=customers if with_reservation else {},
    )
    clock = clock_module.ManualClock()
    table = slots.SlotTable('a', clock)
    table.configure(
        model.VersionedConfig(1, 'change', config, {}),
        ownership.assign_owners(config),
    )
    table.set_lease(True)
    table.resume()
    for _ in range(4):
        clock.advance(1_000)
        grants = []
        for name in services:
            request = slots.SlotRequest(name, '', True, 0, None)
            while isinstance(got := table.acquire(request), outcome.Success):
                grants.append(got.value)
        for grant in grants:
            grant.release(slots.AttemptResult.SERVED, 10)
    return table


def measure(
    table: slots.SlotTable, service: str, customer: str, in_progress: int
) -> tuple[float, float]:
    """Measure the processor time of `acquire` and `release` together.

    Args:
        table: Table with warm targets.
        service: Service whose slots are requested.
        customer: Customer that sends the requests, or '' for none.
        in_progress: Number of other requests in progress.

    Returns:
        Median and minimum of the rounds, in us of processor time.
    """
    request = slots.SlotRequest(service, customer, True, 0, lambda: None)
    held = [table.acquire(request) for _ in range(in_progress)]
    times = []
    for _ in range(ROUNDS):
        start_ns = time.process_time_ns()
        for _ in range(REQUESTS):
            result = table.acquire(request)
            if isinstance(result, outcome.Success):
                result.value.release(slots.AttemptResult.SERVED, 10)
        times.append((time.process_time_ns() - start_ns) / REQUESTS / 1000)
    for other in held:
        if isinstance(other, outcome.Success):
            other.value.release(slots.AttemptResult.SERVED, 10)
    return statistics.median(times), min(times)


def main() -> None:
    """Print the time of one admission for several tables."""
    for label, copies, reservation, customer, in_progress in (
        ('46 targets, idle', 1, False, '', 0),
        ('46 targets, 100 of 110 slots in use', 1, False, '', 100),
        ('46 targets, all slots in use (refusal)', 1, False, '', 110),
        ('46 targets, with a reservation, ordinary', 1, True, '', 50),
        ('46 targets, with a reservation, customer', 1, True, 'florist', 10),
        ('1,840 targets of 120 services', LARGE_COPIES, False, '', 0),
    ):
        table = build_table(copies, reservation)
        median, best = measure(table, 'rota-board-0', customer, in_progress)
        print(f'{label}: median {median:.2f} us, best {best:.2f} us')
        assert not table.violations


if __name__ == '__main__':
    main()
