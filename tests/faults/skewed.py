"""Start the program with a clock of the day that is wrong.

`python -m tests.faults.skewed OFFSET_MS ARGUMENT...`
"""

from __future__ import annotations

import runpy
import sys
import time

_NS_PER_MS = 1_000_000


def main() -> None:
    """Shift the time of day, and run the program unchanged."""
    offset_ns = int(sys.argv[1]) * _NS_PER_MS
    read_ns = time.time_ns
    time.time_ns = lambda: read_ns() + offset_ns
    sys.argv[:2] = ['wigeonhatch']
    runpy.run_module('wigeonhatch', run_name='__main__')


if __name__ == '__main__':
    main()
