"""Time until slots are in use again: `python -m benchmarks.takeover`.

Simulates three hosts of a domain on a manual clock, without latency of
messages, and reports for how long some or all slots of the first host's
targets are in nobody's allowance after each event.
"""

from __future__ import annotations

import collections.abc
import statistics

import anyio

from benchmarks import lease_fleet

PHASES_MS = range(0, 500, 100)
"""Times between the last renewal and the event."""
LIMIT_MS = 20_000
SLOTS = 4
DOMAINS = dict.fromkeys(('a', 'b', 'c'), 'north1')
Event = collections.abc.Callable[[lease_fleet.Fleet, str], None]


def _crash(fleet: lease_fleet.Fleet, standby: str) -> None:
    fleet.crash('a')


def _restart(fleet: lease_fleet.Fleet, standby: str) -> None:
    fleet.crash('a')
    fleet.start('a')


def _return(fleet: lease_fleet.Fleet, standby: str) -> None:
    fleet.crash('a')
    fleet.run(5_000)
    fleet.start('a')


def _stop(fleet: lease_fleet.Fleet, standby: str) -> None:
    anyio.run(fleet.host_by_name['a'].holder.hand_over, 1_000)


def _pause(fleet: lease_fleet.Fleet, standby: str) -> None:
    fleet.host_by_name['a'].is_paused = True
    fleet.run(5_000)
    fleet.host_by_name['a'].is_paused = False


def _lose_standby(fleet: lease_fleet.Fleet, standby: str) -> None:
    fleet.crash(standby)


def _cut(fleet: lease_fleet.Fleet, standby: str) -> None:
    fleet.cut.add(frozenset(('a', standby)))


EVENT_BY_LABEL: dict[str, tuple[Event, int]] = {
    'owner crashes, leased slots': (_crash, SLOTS // 2),
    'owner crashes and restarts at once': (_restart, SLOTS),
    'owner returns after a takeover': (_return, SLOTS),
    'owner stops as planned': (_stop, SLOTS),
    'owner resumes after a pause of 5 s': (_pause, SLOTS),
    'standby crashes': (_lose_standby, SLOTS),
    'owner cut off from its standby': (_cut, SLOTS),
}


def measure(event: Event, wanted: int, phase_ms: int) -> int:
    """Measure the time in which slots are in nobody's allowance.

    Args:
        event: What happens.
        wanted: Slots that somebody must be able to use at the end.
        phase_ms: Time between the last renewal and the event in ms.

    Returns:
        Time until the slots are in use again for good, in ms.
    """
    fleet = lease_fleet.Fleet(DOMAINS, 12)
    target = fleet.owned('a')
    fleet.run(2_100 + phase_ms)
    event(fleet, fleet.owners.standby_by_host['a'])
    missing_ms = 0
    for passed_ms in range(0, LIMIT_MS, lease_fleet.TICK_MS):
        if sum(fleet.allowed(target).values()) < wanted:
            missing_ms = passed_ms + lease_fleet.TICK_MS
        fleet.run(lease_fleet.TICK_MS)
    return missing_ms


def main() -> None:
    """Print the results as a table."""
    print('| event | mean | longest |')
    print('| --- | --- | --- |')
    for label, (event, wanted) in EVENT_BY_LABEL.items():
        times = [measure(event, wanted, phase) for phase in PHASES_MS]
        print(f'| {label} | {statistics.fmean(times):.0f} ms ', end='')
        print(f'| {max(times)} ms |')


if __name__ == '__main__':
    main()
