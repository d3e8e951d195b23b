"""Processor time and memory of the control plane of one daemon.

Starts real daemons that receive no requests from callers, with three numbers
of targets, and measures them idle and while configuration changes apply.

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
GOAL_MEMORY_MB = 256.0
CHANGES_PER_DAY = 18_000
_WARM_UP_S = 5.0
_PHASE_DURATION_S = 12.0
_TARGETS_PER_SERVICE = (4, 8, 12)
_TICK_S = 1 / os.sysconf('SC_CLK_TCK')
_PAGE_MB = os.sysconf('SC_PAGE_SIZE') / 1_000_000


def build_document(targets_per_service: int) -> dict[str, typing.Any]:
    """Load the Caroni example, limited to a few targets of each service.

    Args:
        targets_per_service: Number of targets to keep of each service.
    """
    document = fleet_module.load_example('caroni')
    selected: dict[str, typing.Any] = {}
    count_by_service: dict[str, int] = {}
    for name, target in document['target_by_name'].items():
        count = count_by_service.get(target['service'], 0)
        if count < targets_per_service:
            selected[name] = target
            count_by_service[target['service']] = count + 1
    document['target_by_name'] = selected
    return document


def _cpu_s(pid: int) -> float:
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) * _TICK_S


def _memory_mb(pid: int) -> float:
    pages = pathlib.Path(f'/proc/{pid}/statm').read_text().split()[1]
    return int(pages) * _PAGE_MB


def _measure_percent(
    pids: list[int], fleet: fleet_module.Fleet, with_changes: bool
) -> float:
    """Measure the mean processor use of a daemon in percent of a core."""
    before_s = [_cpu_s(pid) for pid in pids]
    started = time.monotonic()
    change_count = 0
    while time.monotonic() - started < _PHASE_DURATION_S:
        due_s = (change_count + 1) * 86_400 / CHANGES_PER_DAY
        if with_changes and time.monotonic() - started >= due_s:
            action = 'drain' if change_count % 2 == 0 else 'undrain'
            fleet.run_command(
                action, next(iter(fleet.document['target_by_name']))
            )
            change_count += 1
        time.sleep(0.05)
    elapsed_s = time.monotonic() - started
    used_s = [_cpu_s(pid) - old_s for pid, old_s in zip(pids, before_s)]
    return 100 * statistics.fmean(used_s) / elapsed_s


def _measure(targets_per_service: int) -> tuple[float, float, float, float]:
    fleet = fleet_module.Fleet(build_document(targets_per_service))
    try:
        fleet.start_platform()
        fleet.start_targets()
        fleet.start_hosts()
        fleet.apply_configuration()
        time.sleep(_WARM_UP_S)
        pids = [
            fleet.process_by_name[name].handle.pid
            for name in fleet.document['host_by_name']
        ]
        idle = _measure_percent(pids, fleet, with_changes=False)
        busy = _measure_percent(pids, fleet, with_changes=True)
        memory = max(map(_memory_mb, pids))
        owned = len(fleet.document['target_by_name']) / len(pids)
        return owned, idle, busy, memory
    finally:
        fleet.close()


def main() -> int:
    """Measure three numbers of targets and fit the cost of each target.

    Returns:
        0 if all goals were met, else 1.
    """
    rows = [_measure(size) for size in _TARGETS_PER_SERVICE]
    figures = []
    for owned, idle, busy, memory in rows:
        label = f'{owned:.1f} own targets'
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
            goals.Figure(f'{label}: memory', memory, 'MB', GOAL_MEMORY_MB),
        ]
    own = [row[0] for row in rows]
    slope, base = statistics.linear_regression(own, [row[1] for row in rows])
    figures += [
        goals.Figure('idle, for each own target', slope, '% of core'),
        goals.Figure('idle, without targets', base, '% of core'),
    ]
    return 0 if goals.print_figures(figures) else 1


if __name__ == '__main__':
    sys.exit(main())
