"""Options of TCP connections."""

from __future__ import annotations

import socket

KEEPALIVE_S = 1
"""Idle time until the first probe, and between probes, in s."""
KEEPALIVE_PROBES = 2
"""Probes without an answer that end a connection."""
USER_TIMEOUT_MS = 2_000
"""Time for which sent bytes may stay unacknowledged; the longest round trip is
below 100 ms."""

# End a connection that went silent after 2 to 3 s, also while its reader may
# rightly wait for longer.
KEEPALIVE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
)
