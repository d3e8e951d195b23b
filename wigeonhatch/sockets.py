"""Options of TCP connections."""

from __future__ import annotations

import socket

KEEPALIVE_S = 1
"""Idle time before the first probe, and interval of the probes, in s."""
KEEPALIVE_PROBES = 2
"""Unanswered probes after which a connection is closed."""
USER_TIMEOUT_MS = 2_000
"""Time for which sent data may stay unacknowledged; the longest round trip is
below 100 ms."""

# Detects a dead connection within 2 to 3 s, also where its reader may wait for
# longer, as in a long poll.
KEEPALIVE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
)
