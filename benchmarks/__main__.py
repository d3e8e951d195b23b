"""Run all benchmarks in turn and print those that missed a goal."""

from __future__ import annotations

import subprocess
import sys
import time

MODULES = (
    'benchmarks.request_cost',
    'benchmarks.steering',
    'benchmarks.admission',
    'benchmarks.block_map',
    'benchmarks.config_size',
    'benchmarks.spread',
    'benchmarks.control_cost',
    'benchmarks.reservation',
    'benchmarks.takeover',
    'benchmarks.upload',
    'benchmarks.measures',
)


def main() -> int:
    """Run each benchmark in a separate process.

    Returns:
        0 if all goals were met, else 1.
    """
    status_by_module: dict[str, int] = {}
    for module in MODULES:
        started = time.monotonic()
        print(f'== {module}', flush=True)
        status = subprocess.run(
            [sys.executable, '-m', module], check=False
        ).returncode
        elapsed_s = time.monotonic() - started
        print(f'== {module}: status {status}, {elapsed_s:.0f} s', flush=True)
        status_by_module[module] = status
    missed = [name for name, status in status_by_module.items() if status]
    print('goals missed in: ' + (', '.join(missed) or 'none'))
    return 1 if missed else 0


if __name__ == '__main__':
    sys.exit(main())
