"""Processor time and memory that control costs one daemon.

Starts real daemons without requests of callers, for three numbers of targets,
idle and while changes are applied.

Run with `python -m benchmarks.control_cost`.
"""

from __future__ import annotations

import os
import pathlib
import statistics
import sys
import time
import typing

from benchmarks import goals
from wigeonhatch.standins import fleet as fleet_module

GOAL_CORE_PERCENT = 2.1
GOAL_MB = 256.0
CHANGES_PER_DAY = 18_000
_SETTLE_S = 5.0
_PHASE_S = 12.0
_TARGETS_PER_SERVICE = (4, 8, 12)
_TICK_S = 1 / os.sysconf('SC_CLK_TCK')
_PAGE_MB = os.sysconf('SC_PAGE_SIZE') / 1_000_000


def build_document(targets_per_service: int) -> dict[str, typing.Any]:
    """Keep the first targets of each service of the Caroni example.

    Args:
        targets_per_service: Targets to keep of each service.
    """
    document = fleet_module.load_example('caroni')
    kept: dict[str, typing.Any] = {}
    count_by_service: dict[str, int] = {}
    for name, target in document['target_by_name'].items():
        count = count_by_service.get(target['service'], 0)
        if count < targets_per_service:
            kept[name] = target
            count_by_service[target['service']] = count + 1
    document['target_by_name'] = kept
    return document


def _cpu_s(pid: int) -> float:
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) * _TICK_S


def _memory_mb(pid: int) -> float:
    pages = pathlib.Path(f'/proc/{pid}/statm').read_text().split()[1]
    return int(pages) * _PAGE_MB


def _measure_percent(
    pids: list[int], fleet: fleet_module.Fleet, changes: bool
) -> float:
    """Measure the mean share of a core over all daemons in percent."""
    before = [_cpu_s(pid) for pid in pids]
    started = time.monotonic()
    number = 0
    while time.monotonic() - started < _PHASE_S:
        due_s = (number + 1) * 86_400 / CHANGES_PER_DAY
        if changes and time.monotonic() - started >= due_s:
            action = 'drain' if number % 2 == 0 else 'undrain'
            fleet.run_command(
                action, next(iter(fleet.document['target_by_name']))
            )
            number += 1
        time.sleep(0.05)
    elapsed_s = time.monotonic() - started
    spent = [_cpu_s(pid) - old for pid, old in zip(pids, before)]
    return 100 * statistics.fmean(spent) / elapsed_s


def _measure(size: int) -> tuple[float, float, float, float]:
    fleet = fleet_module.Fleet(build_document(size))
    try:
        fleet.start_platform()
        fleet.start_targets()
        fleet.start_hosts()
        fleet.apply_configuration()
        time.sleep(_SETTLE_S)
        pids = [
            fleet.process_by_name[name].handle.pid
            for name in fleet.document['host_by_name']
        ]
        idle = _measure_percent(pids, fleet, changes=False)
        busy = _measure_percent(pids, fleet, changes=True)
        memory = max(map(_memory_mb, pids))
        own = len(fleet.document['target_by_name']) / len(pids)
        return own, idle, busy, memory
    finally:
        fleet.close()


def main() -> int:
    """Measure three sizes and fit a slope for each target.

    Returns:
        0 if all goals were met, else 1.
    """
    rows = [_measure(size) for size in _TARGETS_PER_SERVICE]
    figures = []
    for own, idle, busy, memory in rows:
        label = f'{own:.1f} own targets'
        figures += [
            goals.Figure(
                f'{label}: idle', idle, '% of core', GOAL_CORE_PERCENT
            ),
            goals.Figure(
                f'{label}: {CHANGES_PER_DAY} changes a day',
                busy,
                '% of core',
                GOAL_CORE_PERCENT,
            ),
            goals.Figure(f'{label}: memory', memory, 'MB', GOAL_MB),
        ]
    owns = [row[0] for row in rows]
    slope, base = statistics.linear_regression(owns, [row[1] for row in rows])
    figures += [
        goals.Figure('idle, for each own target', slope, '% of core'),
        goals.Figure('idle, without targets', base, '% of core'),
    ]
    return 0 if goals.print_figures(figures) else 1


if __name__ == '__main__':
    sys.exit(main())
