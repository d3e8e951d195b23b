"""Run the program with an offset of the wall clock.

`python -m tests.faults.skewed OFFSET_MS ARGUMENT...`
"""

from __future__ import annotations

import runpy
import sys
import time

_NS_PER_MS = 1_000_000


def main() -> None:
    """Patch the wall clock and run the program."""
    offset_ns = int(sys.argv[1]) * _NS_PER_MS
    original_time_ns = time.time_ns
    time.time_ns = lambda: original_time_ns() + offset_ns
    sys.argv[:2] = ['wigeonhatch']
    runpy.run_module('wigeonhatch', run_name='__main__')


if __name__ == '__main__':
    main()
