"""Graceful stop of a daemon."""

from __future__ import annotations

import logging

from wigeonhatch import clock as clocks
from wigeonhatch.config import model
from wigeonhatch.entry import connection_close
from wigeonhatch.entry import control_plane as control_planes
from wigeonhatch.entry import data_plane as data_planes
from wigeonhatch.peers import records
from wigeonhatch.requests import connection_ledger

_RESPONSE_MARGIN_MS = 100
"""Time to answer a request that has reached its deadline."""
_POLL_MS = 50
_DRAIN_PROPAGATION_MS = 1_000
"""Time until all reachable hosts know that this host drains."""
_SLOT_RETURN_TIMEOUT_MS = 3_000
_LOG = logging.getLogger(__name__)


async def hand_over(
    control: control_planes.ControlPlane,
    data_plane: data_planes.DataPlane,
    bound_ms: int,
) -> bool:
    """Withdraw from the lookups and hand the targets over to the standby.

    Callers with an earlier lookup result are still served, through the hosts
    that take over. The next incarnation takes the targets back.

    Args:
        control: Control plane.
        data_plane: Data plane.
        bound_ms: Timeout for requests in progress on the targets in ms.

    Returns:
        Whether the standby has taken over.
    """
    control.membership.set_state(records.HostState.DRAINING)
    await control.clock.sleep_ms(_DRAIN_PROPAGATION_MS)
    # Returning slots of other hosts needs the platform, which may be down;
    # hence the timeout.
    await control.grantor.stop(_SLOT_RETURN_TIMEOUT_MS)
    is_taken_over = await data_plane.lease_holder.hand_over(bound_ms)
    _LOG.info('handover to the standby confirmed: %s', is_taken_over)
    return is_taken_over


async def finish_requests(
    data_plane: data_planes.DataPlane,
    server: connection_close.Server,
    ledger: connection_ledger.ConnectionLedger,
    bound_ms: int,
    clock: clocks.Clock,
) -> None:
    """Serve until earlier lookup results have expired and requests have ended.

    Requests whose deadline is later than the bound are refused as not run.

    Args:
        data_plane: Data plane.
        server: Server of the callers' interface.
        ledger: Connections of callers.
        bound_ms: Timeout for requests in progress in ms, starting after the
            lookup TTL.
        clock: Clock of the host.
    """
    started_ms = clock.now_ms
    end_ms = started_ms + model.LOOKUP_TTL_MS + bound_ms
    data_plane.accept_until(end_ms - _RESPONSE_MARGIN_MS)

    def is_idle() -> bool:
        return not data_plane.in_progress and not ledger.open_exchanges()

    while clock.now_ms - started_ms < model.LOOKUP_TTL_MS:
        await clock.sleep_ms(_POLL_MS)
    while not is_idle() and clock.now_ms < end_ms:
        await clock.sleep_ms(_POLL_MS)
    data_plane.accept_until(started_ms)
    await connection_close.close_connections(
        [server], ledger, is_idle, end_ms, clock
    )
    if data_plane.in_progress:
        _LOG.warning('%d requests interrupted', data_plane.in_progress)
