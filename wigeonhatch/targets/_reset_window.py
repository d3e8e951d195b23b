"""Time in which a reset may follow the end of a target's connection.

A target that closes a connection before the whole request has arrived ends it
first, and resets it when the next bytes arrive. Until then, the end looks like
that of a complete response.
"""

from __future__ import annotations

# Allows for a round trip, and for a target that ends its own side of the
# connection before it closes it with unread bytes.
_RESET_WAIT_S = 0.25
# A queue on the path, and a link that other traffic shares, delay the bytes
# that were sent.
_MAX_QUEUEING_S = 1.0
_MIN_BYTES_PER_S = 128 * 1024


def compute_end(ended_s: float, sent_s: float, sent_bytes: int) -> float:
    """Compute when a reset can no longer follow.

    Args:
        ended_s: Time in s at which the target ended the connection.
        sent_s: Time in s at which the last byte of the request was sent.
        sent_bytes: Size of the request in bytes.

    Returns:
        Time in s; it has passed if the whole request had arrived by the end.
    """
    arrived_s = sent_s + _MAX_QUEUEING_S + sent_bytes / _MIN_BYTES_PER_S
    return min(max(ended_s, sent_s) + _RESET_WAIT_S, arrived_s)
