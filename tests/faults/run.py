"""Runs the soak test for given seeds.

`python -m tests.faults.run 7` runs seed 7; see DEVELOPERS.md.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import pathlib
import random
import sys
import tempfile

import fire  # type: ignore[import-untyped]

from tests.faults import bounds
from tests.faults import callers
from tests.faults import events
from tests.faults import fleet as fleets
from tests.faults import statement_events
from tests.faults import stop_rule

_START_TIMEOUT_S = 30
_RECOVERY_CHECK_S = 4.0
_STALL_CHECK_INTERVAL_MS = 50
_PLANNED_ONLY_INTERVAL = 3
"""One seed in this many has planned events only and must lose no request."""


@dataclasses.dataclass(frozen=True)
class Result:
    """Result of one seed.

    Args:
        violations: Violated rules with details.
        request_count: Number of requests.
        served_ratio: Fraction of requests expected to succeed that did.
        events: Names of the events, in order.
    """

    violations: list[str]
    request_count: int
    served_ratio: float
    events: list[str]


async def _record_stalls(fleet: fleets.Fleet) -> None:
    """Record a disturbance of all hosts when this event loop stalls."""
    clock = fleet.clock
    names = tuple(host.name for host in fleet.hosts)
    while True:
        start_ms = clock.now_ms
        await clock.sleep_ms(_STALL_CHECK_INTERVAL_MS)
        delay_ms = clock.now_ms - start_ms - _STALL_CHECK_INTERVAL_MS
        if delay_ms > bounds.LOOP_STALL_MS:
            fleet.disturb(names, start_ms, clock.now_ms)


async def wait_until_ready(fleet: fleets.Fleet) -> None:
    async with asyncio.timeout(_START_TIMEOUT_S):
        for host in fleet.hosts:
            address = host.address(fleet.port('ready'))
            while not await callers.is_ready(address):
                await asyncio.sleep(0.1)


async def _run_events(
    fleet: fleets.Fleet,
    rng: random.Random,
    seconds: float,
    planned_only: bool,
    restore_seed: str,
) -> list[str]:
    """Start overlapping random events and wait until all have ended."""
    kinds = (
        events.PLANNED if planned_only else (events.PLANNED + events.UNPLANNED)
    )
    event_names = []
    end_ms = fleet.clock.now_ms + seconds * 1_000
    async with asyncio.TaskGroup() as tasks:
        if not planned_only:
            restore_rng = random.Random(restore_seed)
            tasks.create_task(
                events.restore_store(fleet, restore_rng, seconds)
            )
        while fleet.clock.now_ms < end_ms:
            event = rng.choice(kinds)
            event_names.append(event.__name__)
            tasks.create_task(event(fleet, rng))
            await asyncio.sleep(rng.uniform(0.2, 2.0))
    return event_names


async def run_seed(
    seed: int,
    folder: pathlib.Path,
    hosts: int = 8,
    seconds: float = 12.0,
    caller_count: int = 6,
    targets_per_service: int = 4,
) -> Result:
    """Run one seed.

    Args:
        seed: Seed of the events and the load.
        folder: Folder of settings and logs.
        hosts: Number of daemons.
        seconds: Duration of the phase in which events start, in s.
        caller_count: Number of callers.
        targets_per_service: Number of targets of each service.
    """
    rng = random.Random(seed)
    planned_only = seed % _PLANNED_ONLY_INTERVAL == 0
    fleet = fleets.Fleet(folder, hosts, random.Random(seed))
    tasks: list[asyncio.Task[None]] = []
    try:
        await fleet.start(targets_per_service)
        await wait_until_ready(fleet)
        coroutines = [
            _record_stalls(fleet),
            # A random number generator of its own keeps the other events of
            # a seed.
            events.limit_rates(fleet, random.Random(f'{seed}/rates')),
            statement_events.state_departures(
                fleet, random.Random(f'{seed}/departures'), seconds
            ),
            statement_events.ask_for_pauses(
                fleet, random.Random(f'{seed}/pauses'), seconds
            ),
            *(
                []
                if planned_only
                else [
                    events.repeat_deadly(
                        fleet, random.Random(f'{seed}/deadly'), seconds
                    ),
                    events.lose_target_links(
                        fleet, random.Random(f'{seed}/links'), seconds
                    ),
                    events.cut_peers(
                        fleet, random.Random(f'{seed}/peers'), seconds
                    ),
                ]
            ),
            *(fleet.restart_on_exit(host) for host in fleet.hosts),
            *(
                callers.Caller(n, fleet, 100).run()
                for n in range(caller_count)
            ),
            *(
                callers.probe_configuration(fleet, host)
                for host in fleet.hosts[:8]
            ),
        ]
        tasks = [asyncio.ensure_future(coroutine) for coroutine in coroutines]
        await asyncio.sleep(bounds.CONVERGENCE_MS / 2_000)
        event_names = await _run_events(
            fleet, rng, seconds, planned_only, f'{seed}/restores'
        )
        if not planned_only and rng.random() < 0.5:
            event_names.append('kill_all')
            for host in fleet.hosts:
                events.kill(fleet, host)
        recovery_end_ms = fleet.clock.now_ms + bounds.RECOVERY_MS
        await asyncio.sleep(bounds.RECOVERY_MS / 1_000)
        await asyncio.gather(
            asyncio.sleep(_RECOVERY_CHECK_S),
            callers.visit_named_hosts(fleet),
        )
        for task in tasks:
            if task.done() and not task.cancelled():
                task.result()
        end_ms = fleet.clock.now_ms
        for task in tasks:
            task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*tasks, return_exceptions=True)
        fleet.ledger.check_recovery(
            recovery_end_ms, end_ms, {host.name for host in fleet.hosts}
        )
        fleet.ledger.check_retries()
        if planned_only:
            for cut in stop_rule.find_cuts(
                host.log_path for host in fleet.hosts
            ):
                fleet.ledger.fail('stop', cut)
    finally:
        for task in tasks:
            task.cancel()
        fleet.stop()
    ledger = fleet.ledger
    return Result(
        ledger.violations,
        len(ledger.outcome_by_id),
        ledger.served_ratio(),
        event_names,
    )


def main(
    seed: int,
    count: int = 1,
    hosts: int = 8,
    seconds: float = 20.0,
    crowd: int = 6,
    targets_per_service: int = 4,
    logs: str = '',
) -> None:
    """Run consecutive seeds and print the result of each.

    Args:
        seed: First seed.
        count: Number of seeds.
        hosts: Number of daemons.
        seconds: Duration of the phase in which events start, in s.
        crowd: Number of callers.
        targets_per_service: Number of targets of each service.
        logs: Folder for settings and logs; temporary if empty.
    """
    failed = []
    for number in range(seed, seed + count):
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(logs or name) / f'seed-{number}'
            folder.mkdir(parents=True, exist_ok=True)
            result = asyncio.run(
                run_seed(
                    number, folder, hosts, seconds, crowd, targets_per_service
                )
            )
        print(
            f'seed {number}: {result.request_count} requests,'
            f' {result.served_ratio:.1%} served,'
            f' {len(result.violations)} violations;'
            f' {" ".join(result.events)}',
            flush=True,
        )
        for violation in result.violations[:10]:
            print(f'  {violation}', flush=True)
        if result.violations:
            failed.append(number)
    print(f'{count - len(failed)} of {count} seeds passed; failed: {failed}')
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    fire.Fire(main)
