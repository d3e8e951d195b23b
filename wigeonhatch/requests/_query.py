"""Requirements of a request for its target."""

from __future__ import annotations

from wigeonhatch.balance import picker as pickers
from wigeonhatch.requests import relay_model

LATE_WAIT_FRACTION = 0.5
"""Fraction of the remaining time that a request past its objective may wait
for a slot, so that it ends well before its caller times out."""


def build_query(
    request: relay_model.RelayRequest,
    remaining_ms: int,
    duration_ms: float,
    can_retry: bool,
) -> pickers.Query:
    """Limit the wait for a slot to what the latency objective allows.

    A request that misses the objective even without a wait may wait for a
    fraction of the time to its deadline.

    Args:
        request: Validated head.
        remaining_ms: Time to the deadline in ms.
        duration_ms: Usual duration of the service's requests in ms.
        can_retry: Whether another target may be tried if one refuses.
    """
    waited_ms = request.deadline_ms - remaining_ms - request.received_ms
    max_wait_ms = request.route.objective_ms - waited_ms - duration_ms
    if max_wait_ms <= 0:
        max_wait_ms = (remaining_ms - duration_ms) * LATE_WAIT_FRACTION
    return pickers.Query(
        request.service,
        request.affinity_key if request.route.has_affinity else b'',
        request.route.allowed_regions,
        max(0.0, max_wait_ms),
        can_retry,
    )
