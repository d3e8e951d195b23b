"""Demo: runs an example deployment on loopback under a mixed load."""

from __future__ import annotations

import collections
import sys
import time

import anyio
import fire  # type: ignore[import-untyped]

from wigeonhatch.standins import caller as caller_module
from wigeonhatch.standins import fleet as fleet_module
from wigeonhatch.standins import load_tool

PLANS_BY_EXAMPLE = {
    'caroni': [
        caller_module.Plan('rota-board', 0.6, response_bytes=2_048),
        caller_module.Plan(
            'bloom-ledger',
            0.3,
            'POST',
            request_bytes=256,
            non_idempotent=True,
            customer='estates',
        ),
        caller_module.Plan('field-album', 0.1, 'POST', request_bytes=150_000),
    ],
    'tandem': [
        caller_module.Plan('profile-finder', 0.6, response_bytes=4_096),
        caller_module.Plan(
            'session-booker',
            0.3,
            'POST',
            request_bytes=256,
            non_idempotent=True,
            customer='swapmate',
        ),
        caller_module.Plan('audio-drop', 0.1, 'POST', request_bytes=150_000),
    ],
}


def run(
    example: str = 'caroni',
    rate: float = 150.0,
    seconds: float = 10.0,
    seed: int = 1,
) -> None:
    """Run an example; exit with 1 if a check fails or nothing is served.

    Args:
        example: Name of a folder in `examples/`.
        rate: Mean request rate per second.
        seconds: Duration of the load in s.
        seed: Seed of the random load.
    """
    fleet = fleet_module.Fleet(fleet_module.load_example(example))
    try:
        _start_processes(fleet, example)
        plans = PLANS_BY_EXAMPLE[example]
        caller = caller_module.Caller(fleet.caller_addresses, seed)

        async def load() -> caller_module.Report:
            return await load_tool.run_load(caller, plans, rate, seconds, seed)

        print(f'sending {rate:g} requests/s for {seconds:g} s')
        report = anyio.run(load, backend_options={'use_uvloop': True})
        report.doubled = _count_duplicates(fleet)
        lost = _count_lost(fleet, report)
        _print_report(fleet, report, lost)
        print('stopping all processes gracefully')
        statuses = fleet.stop()
    finally:
        fleet.close()
    failed_stops = {
        name: status
        for name, status in statuses.items()
        if status != 0 and name in fleet.document['host_by_name']
    }
    if failed_stops:
        print(f'hosts that did not stop gracefully: {failed_stops}')
    failures = report.wrong + report.doubled + lost + len(failed_stops)
    sys.exit(1 if failures or not report.served else 0)


def _start_processes(fleet: fleet_module.Fleet, example: str) -> None:
    started = time.monotonic()
    fleet.start_platform()
    fleet.start_targets()
    fleet.start_hosts()
    fleet.apply_configuration()
    count = len(fleet.process_by_name)
    elapsed_s = time.monotonic() - started
    print(f'{example}: {count} processes started in {elapsed_s:.1f} s')


def _read_runs_by_key(fleet: fleet_module.Fleet) -> collections.Counter[str]:
    runs_by_key: collections.Counter[str] = collections.Counter()
    for target in fleet.document['target_by_name'].values():
        stats = fleet_module.call('GET', target['address'], '/.standin/stats')
        runs_by_key.update(stats['runs_by_key'])
    return runs_by_key


def _count_duplicates(fleet: fleet_module.Fleet) -> int:
    return sum(1 for count in _read_runs_by_key(fleet).values() if count > 1)


def _count_lost(
    fleet: fleet_module.Fleet, report: caller_module.Report
) -> int:
    runs_by_key = _read_runs_by_key(fleet)
    return sum(1 for key in report.keys_served if key not in runs_by_key)


def _print_report(
    fleet: fleet_module.Fleet, report: caller_module.Report, lost: int
) -> None:
    counts: collections.Counter[tuple[str, str]] = collections.Counter()
    for name, count in report.count_by_target.items():
        target = fleet.document['target_by_name'].get(name)
        if target:
            counts[(target['service'], target['domain'])] += count
    print('served, by service and failure domain:')
    for (service, domain), count in sorted(counts.items()):
        print(f'  {service:16} {domain:14} {count:6}')
    print('results by code:')
    for code, count in sorted(report.count_by_code.items()):
        print(f'  {code:28} {count:6}')
    print(
        f'latency: median {report.median_ms:.1f} ms, '
        f'99% {report.p99_ms:.1f} ms, 99.9% {report.p999_ms:.1f} ms'
    )
    print(
        f'sent {report.sent}, served {report.served}, '
        f'wrong {report.wrong}, lost {lost}, doubled {report.doubled}'
    )


if __name__ == '__main__':
    fire.Fire(run)
