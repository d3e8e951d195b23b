"""Time until slots are usable again: `python -m benchmarks.takeover`.

Simulates three hosts of a failure domain on a manual clock, without message
latency. For each event, reports how long some slots of a target of the first
host are not in the allowance of any host.
"""

from __future__ import annotations

import collections.abc
import statistics

import anyio

from benchmarks import lease_fleet

PHASES_MS = range(0, 500, 100)
"""Offsets of the event within the interval between lease renewals."""
LIMIT_MS = 20_000
SLOTS = 4
DOMAINS = dict.fromkeys(('a', 'b', 'c'), 'north1')
Event = collections.abc.Callable[[lease_fleet.Fleet, str], None]


def _crash(fleet: lease_fleet.Fleet, standby: str) -> None:
    fleet.crash('a')


def _restart(fleet: lease_fleet.Fleet, standby: str) -> None:
    fleet.crash('a')
    fleet.start('a')


def _return_after_takeover(fleet: lease_fleet.Fleet, standby: str) -> None:
    fleet.crash('a')
    fleet.run(5_000)
    fleet.start('a')


def _stop(fleet: lease_fleet.Fleet, standby: str) -> None:
    anyio.run(fleet.host_by_name['a'].holder.hand_over, 1_000)


def _pause(fleet: lease_fleet.Fleet, standby: str) -> None:
    fleet.host_by_name['a'].is_paused = True
    fleet.run(5_000)
    fleet.host_by_name['a'].is_paused = False


def _crash_standby(fleet: lease_fleet.Fleet, standby: str) -> None:
    fleet.crash(standby)


def _cut_link(fleet: lease_fleet.Fleet, standby: str) -> None:
    fleet.cut_links.add(frozenset(('a', standby)))


EVENT_BY_LABEL: dict[str, tuple[Event, int]] = {
    'owner crashes, leased slots': (_crash, SLOTS // 2),
    'owner crashes and restarts at once': (_restart, SLOTS),
    'owner returns after a takeover': (_return_after_takeover, SLOTS),
    'owner stops as planned': (_stop, SLOTS),
    'owner resumes after a pause of 5 s': (_pause, SLOTS),
    'standby crashes': (_crash_standby, SLOTS),
    'owner cut off from its standby': (_cut_link, SLOTS),
}


def measure(event: Event, required_slots: int, phase_ms: int) -> int:
    """Measure how long slots are not in the allowance of any host.

    Args:
        event: Function that causes the event.
        required_slots: Slots that the hosts together must be able to use.
        phase_ms: Offset of the event in the renewal interval in ms.

    Returns:
        Time in ms until the slots stay usable.
    """
    fleet = lease_fleet.Fleet(DOMAINS, 12)
    target = fleet.owned_target('a')
    fleet.run(2_100 + phase_ms)
    event(fleet, fleet.owners.standby_by_host['a'])
    unusable_ms = 0
    for elapsed_ms in range(0, LIMIT_MS, lease_fleet.TICK_MS):
        if sum(fleet.allowances(target).values()) < required_slots:
            unusable_ms = elapsed_ms + lease_fleet.TICK_MS
        fleet.run(lease_fleet.TICK_MS)
    return unusable_ms


def main() -> None:
    """Print the results as a table."""
    print('| event | mean | longest |')
    print('| --- | --- | --- |')
    for label, (event, required_slots) in EVENT_BY_LABEL.items():
        times = [measure(event, required_slots, phase) for phase in PHASES_MS]
        print(f'| {label} | {statistics.fmean(times):.0f} ms ', end='')
        print(f'| {max(times)} ms |')


if __name__ == '__main__':
    main()
