"""Small deployment of separate processes on loopback."""

from __future__ import annotations

import collections
import collections.abc
import contextlib
import os
import socket
import time
import typing

import anyio

from wigeonhatch.standins import caller as caller_module
from wigeonhatch.standins import fleet as fleet_module
from wigeonhatch.standins import load_tool

SERVICES = ('reads', 'bookings')
READS = caller_module.Plan('reads', 0.6)
BOOKINGS = caller_module.Plan(
    'bookings', 0.4, 'POST', request_bytes=200, non_idempotent=True
)
REGIONS = ('east', 'west', 'south')
SLOTS = 4
_PORTS_PER_FLEET = 100
# Below the ports from which systems assign those of outgoing connections.
_BASE_PORTS = range(23_000, 32_000, _PORTS_PER_FLEET)
_WARMUP_S = 3.0


def build_small_document(base_port: int) -> dict[str, typing.Any]:
    """Build a configuration of 3 regions, 6 domains, 7 hosts, 24 targets."""
    domains = [f'{region}-{n}' for region in REGIONS for n in (1, 2)]

    def address(offset: int) -> str:
        return f'127.0.0.1:{base_port + offset}'

    hosts = {
        f'entry-{number + 1}': {
            'domain': domains[number % len(domains)],
            'caller_address': address(1 + number),
            'peer_address': address(11 + number),
            'operator_address': address(21 + number),
        }
        for number in range(7)
    }
    cap = {'percent': 20, 'interval_ms': 1_000}
    shares = {'east': 34, 'west': 33, 'south': 33}
    services = {
        name: {
            'slots': SLOTS,
            'connections': 200,
            'share_by_region': shares,
            'shift_cap': cap,
        }
        for name in SERVICES
    }
    targets = {
        f'{service}-{number}': {
            'service': service,
            'domain': domains[number % len(domains)],
            'address': address(31 + 12 * index + number),
        }
        for index, service in enumerate(SERVICES)
        for number in range(12)
    }
    pairs = [('east', 'west'), ('east', 'south'), ('south', 'west')]
    return {
        'region_by_name': {
            region: {'domains': [f'{region}-1', f'{region}-2']}
            for region in REGIONS
        },
        'link_by_pair': {
            '/'.join(sorted(pair)): {'mbit_per_s': 300} for pair in pairs
        },
        'host_by_name': hosts,
        'service_by_name': services,
        'target_by_name': targets,
    }


def _find_base_port(number: int) -> int:
    """Find a port range that no other run of the tests uses."""
    for offset in range(len(_BASE_PORTS)):
        base_port = _BASE_PORTS[(number + offset) % len(_BASE_PORTS)]
        with contextlib.ExitStack() as stack, contextlib.suppress(OSError):
            for port in range(base_port, base_port + _PORTS_PER_FLEET):
                stack.enter_context(socket.create_server(('127.0.0.1', port)))
            return base_port
    raise OSError('all port ranges of the tests are in use')


@contextlib.contextmanager
def run_fleet(
    number: int,
) -> collections.abc.Generator[fleet_module.Fleet, None, None]:
    """Run the small deployment with its configuration applied.

    Args:
        number: Index of the first port range to try.
    """
    base_port = _find_base_port(number + os.getpid())
    fleet = fleet_module.Fleet(
        build_small_document(base_port),
        {'reads': 15.0, 'bookings': 15.0},
        f'127.0.0.1:{base_port}',
    )
    try:
        fleet.start_platform()
        fleet.start_targets()
        fleet.start_hosts()
        fleet.apply_configuration()
        # Targets start cold, with one slot; the load warms them up.
        run_load(fleet, _WARMUP_S)
        yield fleet
    finally:
        fleet.close()


def run_load(
    fleet: fleet_module.Fleet,
    seconds: float,
    rate: float = 150.0,
    seed: int = 1,
    plans: tuple[caller_module.Plan, ...] = (READS, BOOKINGS),
    action: collections.abc.Callable[[], None] | None = None,
    action_delay_s: float = 1.0,
) -> caller_module.Report:
    """Send a load and optionally run an action meanwhile.

    Args:
        fleet: Deployment under test.
        seconds: Duration of the load, in s.
        rate: Mean request rate per second.
        seed: Seed of the random load.
        plans: Request kinds with their weights.
        action: Function to call in a thread, for example to inject a fault.
        action_delay_s: Delay before the call, in s.
    """
    caller = caller_module.Caller(fleet.caller_addresses, seed)

    async def main() -> caller_module.Report:
        async with anyio.create_task_group() as tasks:
            if action is not None:
                tasks.start_soon(_call_later, action, action_delay_s)
            await load_tool.run_load(caller, list(plans), rate, seconds, seed)
        return caller.finish()

    return anyio.run(main, backend_options={'use_uvloop': True})


async def _call_later(
    function: collections.abc.Callable[[], None], delay_s: float
) -> None:
    await anyio.sleep(delay_s)
    await anyio.to_thread.run_sync(function)


def read_target_stats(
    fleet: fleet_module.Fleet,
) -> dict[str, dict[str, typing.Any]]:
    """Read the statistics of all reachable targets, by name."""
    stats_by_name = {}
    for name, target in fleet.document['target_by_name'].items():
        with contextlib.suppress(Exception):
            stats_by_name[name] = fleet_module.call(
                'GET', target['address'], '/.standin/stats'
            )
    return stats_by_name


def check_targets(fleet: fleet_module.Fleet) -> None:
    """Assert that no key ran twice and no target exceeded its slots."""
    run_counter: collections.Counter[str] = collections.Counter()
    for name, stats in read_target_stats(fleet).items():
        run_counter.update(stats['runs_by_key'])
        assert stats['refused_full'] == 0, name
        assert stats['max_in_use'] <= SLOTS, name
    duplicate_keys = [key for key, count in run_counter.items() if count > 1]
    assert not duplicate_keys


def check_report(
    fleet: fleet_module.Fleet, report: caller_module.Report
) -> None:
    """Assert that responses are correct and that all served keys ran."""
    assert report.wrong == 0
    assert report.served > 0
    executed_keys = {
        key
        for stats in read_target_stats(fleet).values()
        for key in stats['runs_by_key']
    }
    assert not [key for key in report.keys_served if key not in executed_keys]


def wait_until(
    condition: collections.abc.Callable[[], bool], timeout_s: float = 20.0
) -> bool:
    """Poll a condition until it holds or the timeout expires."""
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        if condition():
            return True
        time.sleep(0.1)
    return condition()
