"""Play one seed of the soak.

`python -m tests.faults.run 7` plays seed 7; see DEVELOPERS.md.
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

from tests.faults import callers
from tests.faults import events
from tests.faults import fleet as fleets
from tests.faults import terms

_START_LIMIT_S = 30
_TAIL_S = 4.0
_STALL_CHECK_MS = 50
_PLANNED_ONLY_EVERY = 3
"""One seed of so many has planned work alone, which must cut nothing."""


@dataclasses.dataclass(frozen=True)
class Result:
    """What one seed has shown.

    Args:
        violations: Promises that were broken.
        attempts: Number of requests.
        served_ratio: Part of them with a success.
        events: Names of the faults and the planned work, in order.
    """

    violations: list[str]
    attempts: int
    served_ratio: float
    events: list[str]


async def _note_stalls(fleet: fleets.Fleet) -> None:
    """Record when this process itself did not run."""
    clock = fleet.clock
    names = tuple(host.name for host in fleet.hosts)
    while True:
        before_ms = clock.now_ms
        await clock.sleep_ms(_STALL_CHECK_MS)
        late_ms = clock.now_ms - before_ms - _STALL_CHECK_MS
        if late_ms > terms.STALL_MS:
            fleet.disturb(names, before_ms, clock.now_ms)


async def _wait_until_ready(fleet: fleets.Fleet) -> None:
    async with asyncio.timeout(_START_LIMIT_S):
        for host in fleet.hosts:
            address = host.address(fleet.port('ready'))
            while not await callers.is_ready(address):
                await asyncio.sleep(0.1)


async def _cause_events(
    fleet: fleets.Fleet, rng: random.Random, seconds: float, planned_only: bool
) -> list[str]:
    """Cause events that overlap, and wait until all are over."""
    kinds = (
        events.PLANNED if planned_only else (events.PLANNED + events.UNPLANNED)
    )
    caused = []
    end_ms = fleet.clock.now_ms + seconds * 1_000
    async with asyncio.TaskGroup() as tasks:
        while fleet.clock.now_ms < end_ms:
            event = rng.choice(kinds)
            caused.append(event.__name__)
            tasks.create_task(event(fleet, rng))
            await asyncio.sleep(rng.uniform(0.2, 2.0))
    return caused


async def play(
    seed: int,
    folder: pathlib.Path,
    hosts: int = 8,
    seconds: float = 12.0,
    crowd: int = 6,
    targets_per_service: int = 4,
) -> Result:
    """Play one seed.

    Args:
        seed: Seed of all choices.
        folder: Folder of settings and logs.
        hosts: Number of daemons.
        seconds: Time in which events begin, in s.
        crowd: Number of callers.
        targets_per_service: Targets of each service.
    """
    rng = random.Random(seed)
    fleet = fleets.Fleet(folder, hosts, random.Random(seed))
    tasks: list[asyncio.Task[None]] = []
    try:
        await fleet.start(targets_per_service)
        await _wait_until_ready(fleet)
        loops = [
            _note_stalls(fleet),
            *(fleet.watch(host) for host in fleet.hosts),
            *(callers.Caller(n, fleet, 100).run() for n in range(crowd)),
            *(
                callers.probe_configuration(fleet, host)
                for host in fleet.hosts[:8]
            ),
        ]
        tasks = [asyncio.ensure_future(loop) for loop in loops]
        await asyncio.sleep(terms.CONTACT_MS / 2_000)
        planned_only = seed % _PLANNED_ONLY_EVERY == 0
        caused = await _cause_events(fleet, rng, seconds, planned_only)
        if not planned_only and rng.random() < 0.5:
            caused.append('kill_all')
            for host in fleet.hosts:
                events.kill(fleet, host)
        recovered_ms = fleet.clock.now_ms + terms.RECOVERY_MS
        await asyncio.sleep(terms.RECOVERY_MS / 1_000 + _TAIL_S)
        for task in tasks:
            if task.done() and not task.cancelled():
                task.result()
        end_ms = fleet.clock.now_ms
        for task in tasks:
            task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*tasks, return_exceptions=True)
        fleet.ledger.check_recovery(
            recovered_ms, end_ms, {host.name for host in fleet.hosts}
        )
        fleet.ledger.check_retries()
    finally:
        for task in tasks:
            task.cancel()
        fleet.stop()
    ledger = fleet.ledger
    return Result(
        ledger.violations,
        len(ledger.answer_by_id),
        ledger.served_ratio(),
        caused,
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
    """Play seeds in order and print what each has shown.

    Args:
        seed: First seed.
        count: Number of seeds.
        hosts: Number of daemons.
        seconds: Time in which events begin, in s.
        crowd: Number of callers.
        targets_per_service: Targets of each service.
        logs: Folder in which the logs of failed seeds stay.
    """
    failed = []
    for number in range(seed, seed + count):
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(logs or name) / f'seed-{number}'
            folder.mkdir(parents=True, exist_ok=True)
            result = asyncio.run(
                play(
                    number, folder, hosts, seconds, crowd, targets_per_service
                )
            )
        print(
            f'seed {number}: {result.attempts} requests,'
            f' {result.served_ratio:.1%} served,'
            f' {len(result.violations)} promises broken;'
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
