"""Run the program with an offset of the wall clock and faulty links.

`python -m tests.faults.skewed OFFSET_MS edge SETTINGS`
"""

from __future__ import annotations

import runpy
import sys
import time

from tests.faults import links
from tests.faults import peer_links

_NS_PER_MS = 1_000_000


def main() -> None:
    """Patch the wall clock and the links, and run the program."""
    offset_ns = int(sys.argv[1]) * _NS_PER_MS
    original_time_ns = time.time_ns
    time.time_ns = lambda: original_time_ns() + offset_ns
    links.install(sys.argv[-1])
    peer_links.install(sys.argv[-1])
    sys.argv[:2] = ['wigeonhatch']
    runpy.run_module('wigeonhatch', run_name='__main__')


if __name__ == '__main__':
    main()
