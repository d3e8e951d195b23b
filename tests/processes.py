"""State of a process, as the kernel reports it."""

from __future__ import annotations

import pathlib
import signal


def catches(pid: int, number: signal.Signals) -> bool:
    """Tell whether a process has a handler for a signal.

    Args:
        pid: ID of the process.
        number: The signal.
    """
    try:
        text = pathlib.Path(f'/proc/{pid}/status').read_text()
    except OSError:
        return False
    mask = next(
        int(line.split()[1], 16)
        for line in text.splitlines()
        if line.startswith('SigCgt:')
    )
    return bool(mask >> (number - 1) & 1)
