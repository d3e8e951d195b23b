"""Counters of the control plane traffic of one host."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True)
class ControlCounters:
    """Counters of control plane calls; caller requests are not counted.

    Args:
        calls_sent: Calls to peers.
        calls_received: Calls from peers.
        bytes_sent: Encoded messages sent, in bytes, without framing.
        bytes_received: Encoded messages received, in bytes.
        calls_failed: Failed calls to peers.
        platform_reads: Reads, scans and object reads of the platform.
    """

    calls_sent: int = 0
    calls_received: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0
    calls_failed: int = 0
    platform_reads: int = 0
