"""Cost of the control plane on one host."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True)
class ControlCounters:
    """Counters of control messages; requests of callers are not counted.

    Args:
        calls_sent: Calls that this host made.
        calls_received: Calls that other hosts made to it.
        bytes_sent: Encoded messages sent, in bytes, without framing.
        bytes_received: Encoded messages received, in bytes.
        calls_failed: Calls that this host made and that failed.
        platform_reads: Reads, scans and object reads of the platform.
    """

    calls_sent: int = 0
    calls_received: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0
    calls_failed: int = 0
    platform_reads: int = 0
