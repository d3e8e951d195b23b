"""Latency, headroom, drain and failover, compared with a baseline proxy.

Run with `python -m benchmarks.measures [caroni|tandem ...]`.
"""

from __future__ import annotations

import collections.abc
import contextlib
import dataclasses
import json
import signal
import statistics
import sys
import time
import typing

import anyio
from hdrh import histogram
import httpcore

from benchmarks import goals
from wigeonhatch import clock as clocks
from wigeonhatch.standins import caller as caller_module
from wigeonhatch.standins import fleet as fleet_module
from wigeonhatch.standins import load_tool
from wigeonhatch.standins import target as target_module

ADDED_MEDIAN_GOAL_MS = 3.0
ADDED_P99_GOAL_MS = 10.0
HEADROOM_GOAL_PERCENT = 95.0
GOODPUT_GOAL_PERCENT = 95.0
DRAIN_GOAL_MS = 3_000.0
_LOAD_S = 6.0
_MAX_LATENCY_US = 60_000_000


@dataclasses.dataclass(frozen=True)
class Deployment:
    """Example deployment and the load that it is measured with.

    Args:
        example: Name of the example folder.
        service: Name of the service under load.
        service_ms: Time that a target takes for a request, in ms.
        customer: Customer with reserved slots of `reserved_service`.
    """

    example: str
    service: str
    service_ms: float
    reserved_service: str
    customer: str


DEPLOYMENT_BY_NAME = {
    'caroni': Deployment(
        'caroni', 'rota-board', 250.0, 'bloom-ledger', 'estates'
    ),
    'tandem': Deployment(
        'tandem', 'profile-finder', 120.0, 'session-booker', 'swapmate'
    ),
}


@contextlib.contextmanager
def run_deployment(
    deployment: Deployment, baseline: bool = False
) -> collections.abc.Generator[fleet_module.Fleet, None, None]:
    """Start all processes of a deployment.

    Args:
        deployment: Deployment to start.
        baseline: Whether to start the baseline proxy instead of the hosts.
    """
    document = fleet_module.load_example(deployment.example)
    service_ms = dict.fromkeys(
        document['service_by_name'], deployment.service_ms
    )
    fleet = fleet_module.Fleet(document, service_ms)
    try:
        fleet.start_platform()
        fleet.start_targets()
        if baseline:
            fleet.start_baseline()
        else:
            fleet.start_hosts()
            fleet.apply_configuration()
            # Targets start cold; a short load raises them to full slots.
            _closed_loop(
                fleet, deployment.service, count_slots(fleet, deployment), 6
            )
        yield fleet
    finally:
        fleet.close()


def count_slots(
    fleet: fleet_module.Fleet, deployment: Deployment, service: str = ''
) -> int:
    """Count the slots of all targets of a service."""
    service = service or deployment.service
    slots = int(fleet.document['service_by_name'][service]['slots'])
    targets = fleet.document['target_by_name'].values()
    return slots * sum(1 for item in targets if item['service'] == service)


def _run_async(call: collections.abc.Callable[[], typing.Any]) -> typing.Any:
    return anyio.run(call, backend_options={'use_uvloop': True})


def _open_loop(
    fleet: fleet_module.Fleet,
    plans: list[caller_module.Plan],
    rate: float,
    seconds: float = _LOAD_S,
    action: collections.abc.Callable[[], None] | None = None,
    action_delay_s: float = 0.0,
    seed: int = 1,
) -> caller_module.Report:
    caller = caller_module.Caller(fleet.caller_addresses, seed)

    async def run_action() -> None:
        assert action is not None
        await anyio.sleep(action_delay_s)
        await anyio.to_thread.run_sync(action)

    async def main() -> caller_module.Report:
        async with anyio.create_task_group() as tasks:
            if action is not None:
                tasks.start_soon(run_action)
            await load_tool.run_load(caller, plans, rate, seconds, seed)
        return caller.finish()

    return typing.cast(caller_module.Report, _run_async(main))


def _closed_loop(
    fleet: fleet_module.Fleet,
    service: str,
    workers: int,
    seconds: float,
    seed: int = 1,
) -> caller_module.Report:
    caller = caller_module.Caller(fleet.caller_addresses, seed)
    plan = caller_module.Plan(service)

    async def main() -> caller_module.Report:
        return await load_tool.run_closed_loop(
            caller, plan, workers, seconds, seed
        )

    return typing.cast(caller_module.Report, _run_async(main))


async def _measure_direct(
    fleet: fleet_module.Fleet, service: str, rate: float, seconds: float
) -> histogram.HdrHistogram:
    """Send requests directly to the target with the fewest in flight."""
    latency = histogram.HdrHistogram(1, _MAX_LATENCY_US, 3)
    clock = clocks.Clock()
    used_by_address = {
        target['address']: 0
        for target in fleet.document['target_by_name'].values()
        if target['service'] == service
    }
    idle: dict[str, list[httpcore.AsyncHTTPConnection]] = {
        address: [] for address in used_by_address
    }

    async def send(number: int) -> None:
        started = clock.now_ns
        address = min(used_by_address, key=used_by_address.__getitem__)
        used_by_address[address] += 1
        host, _, port = address.rpartition(':')
        origin = httpcore.Origin(b'http', host.encode(), int(port))
        connection = (
            idle[address].pop()
            if idle[address]
            else httpcore.AsyncHTTPConnection(origin, keepalive_expiry=50)
        )
        request_id = f'direct-{number}'
        response = await connection.request(
            'GET',
            f'http://{address}/{service}/items',
            headers={
                'Host': address,
                'Wigeonhatch-Request-Id': request_id,
                'X-Response-Bytes': '512',
            },
        )
        expected = target_module.expected_body(request_id, 512)
        if response.content == expected:
            latency.record_value((clock.now_ns - started) // 1_000)
        idle[address].append(connection)
        used_by_address[address] -= 1

    async with anyio.create_task_group() as tasks:
        for number in range(int(rate * seconds)):
            tasks.start_soon(send, number)
            await anyio.sleep(1 / rate)
    return latency


def measure_latency(
    fleet: fleet_module.Fleet, deployment: Deployment, label: str
) -> list[goals.Figure]:
    """Measure the latency that is added at 70% of the capacity."""
    slots = count_slots(fleet, deployment)
    rate = 0.7 * slots * 1_000 / deployment.service_ms

    async def direct() -> histogram.HdrHistogram:
        return await _measure_direct(fleet, deployment.service, rate, _LOAD_S)

    direct_latency = _run_async(direct)
    report = _open_loop(fleet, [caller_module.Plan(deployment.service)], rate)
    is_system = label == 'system'
    figures = [
        goals.Figure(f'{label}: refused at 70%', _failed(report), 'requests')
    ]
    for name, measured, percentile, goal in (
        ('median', report.median_ms, 50.0, ADDED_MEDIAN_GOAL_MS),
        ('99%', report.p99_ms, 99.0, ADDED_P99_GOAL_MS),
        ('99.9%', report.p999_ms, 99.9, None),
    ):
        direct_ms = direct_latency.get_value_at_percentile(percentile) / 1_000
        figures.append(
            goals.Figure(
                f'{label}: latency added, {name} (direct {direct_ms:.1f} ms)',
                measured - direct_ms,
                'ms',
                goal if is_system else None,
            )
        )
    return figures


def _failed(report: caller_module.Report) -> int:
    return report.sent - report.served


def measure_headroom(
    fleet: fleet_module.Fleet, deployment: Deployment, label: str
) -> list[goals.Figure]:
    """Measure the load before the first refusal, and goodput in overload."""
    slots = count_slots(fleet, deployment)
    is_system = label == 'system'
    reached = 0.0
    peak = 0.0
    for percent in (70, 80, 85, 90, 93, 95, 97, 99, 100):
        workers = slots * percent // 100
        report = _closed_loop(fleet, deployment.service, workers, 3.0, percent)
        peak = max(peak, report.served / 3.0)
        if _failed(report):
            break
        reached = percent
    peak_report = _closed_loop(fleet, deployment.service, slots, 5.0)
    peak = max(peak, peak_report.served / 5.0)
    overloaded = _closed_loop(fleet, deployment.service, 2 * slots, 5.0)
    full_target_refusals = sum(
        fleet_module.call('GET', target['address'], '/.standin/stats')[
            'refused_full'
        ]
        for target in fleet.document['target_by_name'].values()
    )
    return [
        goals.Figure(
            f'{label}: capacity in use before the first refusal',
            reached,
            '%',
            HEADROOM_GOAL_PERCENT if is_system else None,
            at_least=True,
        ),
        goals.Figure(
            f'{label}: goodput at twice the capacity, of the peak',
            100 * overloaded.served / 5.0 / peak,
            '%',
            GOODPUT_GOAL_PERCENT if is_system else None,
            at_least=True,
        ),
        goals.Figure(
            f'{label}: peak goodput, of slots / service time',
            100 * peak / (slots * 1_000 / deployment.service_ms),
            '%',
        ),
        goals.Figure(
            f'{label}: requests that found a target full',
            full_target_refusals,
            'requests',
            0 if is_system else None,
        ),
    ]


def measure_drain(
    fleet: fleet_module.Fleet, deployment: Deployment
) -> list[goals.Figure]:
    """Measure the time until a draining target receives no requests."""
    slots = count_slots(fleet, deployment)
    rate = 0.5 * slots * 1_000 / deployment.service_ms
    plans = [caller_module.Plan(deployment.service)]
    names = [
        name
        for name, target in fleet.document['target_by_name'].items()
        if target['service'] == deployment.service
    ]
    delays_by_source: dict[str, list[float]] = {}
    clock = clocks.Clock()
    for number, name in enumerate(names[:9]):
        source = ('configuration', 'health', 'host list')[number % 3]
        target = fleet.document['target_by_name'][name]
        started: list[int] = []

        def start_drain(
            source: str = source,
            name: str = name,
            started: list[int] = started,
        ) -> None:
            started.append(clock.now_ms)
            _start_drain(fleet, source, name)

        _open_loop(fleet, plans, rate, 6.0, start_drain, 1.0)
        stats = fleet_module.call('GET', target['address'], '/.standin/stats')
        delay_ms = max(0, stats['last_request_ms'] - started[0])
        delays_by_source.setdefault(source, []).append(delay_ms)
        _end_drain(fleet, source, name)
    return [
        goals.Figure(
            f'system: last request to a drained target, by {source}',
            max(delays),
            'ms',
            DRAIN_GOAL_MS,
        )
        for source, delays in delays_by_source.items()
    ]


def _start_drain(fleet: fleet_module.Fleet, source: str, name: str) -> None:
    if source == 'configuration':
        fleet.run_command('drain', name)
    elif source == 'health':
        address = fleet.document['target_by_name'][name]['address']
        fleet_module.call(
            'POST', address, '/.standin/faults', {'state': 'draining'}
        )
    else:
        _put_host_list(fleet, {name: 'leaving'})


def _end_drain(fleet: fleet_module.Fleet, source: str, name: str) -> None:
    if source == 'configuration':
        fleet.run_command('undrain', name)
    elif source == 'health':
        address = fleet.document['target_by_name'][name]['address']
        fleet_module.call('POST', address, '/.standin/faults', {'state': 'ok'})
    else:
        _put_host_list(fleet, {})


def _put_host_list(fleet: fleet_module.Fleet, changed: dict[str, str]) -> None:
    states = dict.fromkeys(fleet.document['target_by_name'], 'live')
    states.update(dict.fromkeys(fleet.document['host_by_name'], 'live'))
    states.update(changed)
    fleet_module.call('PUT', fleet.platform_address, '/.standin/hosts', states)


def measure_surge(
    fleet: fleet_module.Fleet, deployment: Deployment, label: str
) -> list[goals.Figure]:
    """Measure the first second of a customer's surge in its reservation."""
    service = deployment.reserved_service
    slots = count_slots(fleet, deployment, service)
    reserved = fleet.document['customer_by_name'][deployment.customer][
        'reserved_percent_by_service'
    ][service]
    # Stays below the reservation, which is rounded down in each region.
    workers = max(1, int(slots * reserved / 100 * 0.8))
    others = caller_module.Caller(fleet.caller_addresses, 1)
    surge = caller_module.Caller(fleet.caller_addresses, 2)
    plan = caller_module.Plan(service)
    reserved_plan = caller_module.Plan(service, customer=deployment.customer)

    async def main() -> caller_module.Report:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                load_tool.run_closed_loop,
                others,
                plan,
                slots + slots // 4,
                6.0,
            )
            await anyio.sleep(4)
            await load_tool.run_closed_loop(surge, reserved_plan, workers, 1.0)
        return surge.finish()

    report = _run_async(main)
    is_system = label == 'system'
    return [
        goals.Figure(
            f'{label}: refusals of the customer in its surge',
            _failed(report),
            'requests',
            0 if is_system else None,
        ),
        goals.Figure(
            f'{label}: 99% latency of the customer in its surge',
            report.p99_ms,
            'ms',
        ),
    ]


def measure_loss(
    fleet: fleet_module.Fleet,
    deployment: Deployment,
    label: str,
    names: list[str],
    what: str,
) -> list[goals.Figure]:
    """Measure goodput and recovery time after processes are killed."""
    slots = count_slots(fleet, deployment)
    rate = 0.5 * slots * 1_000 / deployment.service_ms
    killed_at_s = 3.0

    def kill() -> None:
        for name in names:
            fleet.send_signal(name, signal.SIGKILL)

    report = _open_loop(
        fleet,
        [caller_module.Plan(deployment.service)],
        rate,
        20.0,
        kill,
        killed_at_s,
    )
    served = report.served_by_second
    before = statistics.fmean(served.get(second, 0) for second in (1, 2))
    recovery_s = next(
        (
            second - killed_at_s
            for second in range(int(killed_at_s), 19)
            if all(
                report.failed_by_second.get(later, 0)
                <= 0.05 * max(1, served.get(later, 0))
                for later in range(second, 19)
            )
        ),
        -1.0,
    )
    after = statistics.fmean(served.get(second, 0) for second in (16, 17, 18))
    return [
        goals.Figure(
            f'{label}: goodput 15 s after the loss of {what}',
            100 * after / before,
            '%',
        ),
        goals.Figure(
            f'{label}: time until fewer than 5% fail, {what}', recovery_s, 's'
        ),
        goals.Figure(
            f'{label}: failed requests in 17 s, {what}',
            100 * _failed(report) / report.sent,
            '%',
        ),
    ]


def _find_names(fleet: fleet_module.Fleet, domains: list[str]) -> list[str]:
    return [
        name
        for section in ('host_by_name', 'target_by_name')
        for name, item in fleet.document[section].items()
        if item['domain'] in domains
    ]


def measure_platform_outage(
    fleet: fleet_module.Fleet, deployment: Deployment
) -> list[goals.Figure]:
    """Measure failures and latency while the platform is down."""
    slots = count_slots(fleet, deployment)
    rate = 0.7 * slots * 1_000 / deployment.service_ms
    plans = [caller_module.Plan(deployment.service)]
    normal = _open_loop(fleet, plans, rate)
    fleet_module.call(
        'POST', fleet.platform_address, '/.standin/faults', {'down': True}
    )
    time.sleep(3)
    outage = _open_loop(fleet, plans, rate, 15.0)
    fleet_module.call('POST', fleet.platform_address, '/.standin/faults', {})
    return [
        goals.Figure(
            'system: failed requests with the platform down',
            _failed(outage),
            'requests',
            0,
        ),
        goals.Figure(
            'system: median latency, platform down minus up',
            outage.median_ms - normal.median_ms,
            'ms',
        ),
    ]


def measure(deployment: Deployment) -> list[goals.Figure]:
    """Run all measurements of a deployment and of the baseline proxy."""
    figures: list[goals.Figure] = []
    for baseline in (True, False):
        label = 'baseline' if baseline else 'system'
        with run_deployment(deployment, baseline) as fleet:
            figures += measure_latency(fleet, deployment, label)
            figures += measure_headroom(fleet, deployment, label)
            figures += measure_surge(fleet, deployment, label)
            if not baseline:
                figures += measure_platform_outage(fleet, deployment)
                figures += measure_drain(fleet, deployment)
        regions = list(
            fleet_module.load_example(deployment.example)['region_by_name']
        )
        last = regions[-1]
        for what, domains in (
            ('a host', []),
            ('a failure domain', [f'{last}-1']),
            ('a region', [f'{last}-1', f'{last}-2']),
        ):
            with run_deployment(deployment, baseline) as fleet:
                names = _find_names(fleet, domains) or ['entry-3']
                figures += measure_loss(fleet, deployment, label, names, what)
    return figures


def main() -> int:
    """Measure the deployments that the command line names.

    Returns:
        0 if all goals were met, else 1.
    """
    names = sys.argv[1:] or list(DEPLOYMENT_BY_NAME)
    all_met = True
    for name in names:
        print(f'--- {name}')
        figures = measure(DEPLOYMENT_BY_NAME[name])
        all_met &= goals.print_figures(figures)
        print(json.dumps([dataclasses.asdict(item) for item in figures]))
    return 0 if all_met else 1


if __name__ == '__main__':
    sys.exit(main())
