"""Time of one admission: `python -m benchmarks.admission`."""

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
SLOTS_BY_SERVICE = {
    'rota-board': (22, 5),
    'bloom-ledger': (12, 4),
    'field-album': (12, 3),
}
LARGE_SERVICES = 40


def build_table(copies: int, with_reservation: bool) -> slots.SlotTable:
    """Build a table whose host owns all targets, warm and with a lease.

    Args:
        copies: Times that each service exists.
        with_reservation: Whether a customer has reserved a part of each.
    """
    cap = model.Cap(percent=10.0, interval_ms=1_000)
    services: dict[str, model.Service] = {}
    targets: dict[str, model.Target] = {}
    for copy in range(copies):
        for name, (count, size) in SLOTS_BY_SERVICE.items():
            services[f'{name}-{copy}'] = model.Service(
                size, 400, {'north': 100.0}, cap
            )
            for index in range(count):
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
    """Measure `acquire` and `release` together.

    Args:
        table: Table with warm targets.
        service: Service to ask for.
        customer: Customer, '' for none.
        in_progress: Requests that stay in progress meanwhile.

    Returns:
        Median over the rounds in us of processor time, and the best round.
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
    for kept in held:
        if isinstance(kept, outcome.Success):
            kept.value.release(slots.AttemptResult.SERVED, 10)
    return statistics.median(times), min(times)


def main() -> None:
    """Print the time of one admission for several tables."""
    for label, copies, reservation, customer, held in (
        ('46 targets, idle', 1, False, '', 0),
        ('46 targets, 100 of 110 slots in use', 1, False, '', 100),
        ('46 targets, all slots in use (refusal)', 1, False, '', 110),
        ('46 targets, with a reservation, ordinary', 1, True, '', 50),
        ('46 targets, with a reservation, customer', 1, True, 'florist', 10),
        ('1,840 targets of 120 services', LARGE_SERVICES, False, '', 0),
    ):
        table = build_table(copies, reservation)
        median, best = measure(table, 'rota-board-0', customer, held)
        print(f'{label}: median {median:.2f} us, best {best:.2f} us')
        assert not table.violations


if __name__ == '__main__':
    main()
