"""Last step of a graceful stop: no connection ends within an exchange."""

from __future__ import annotations

import collections.abc
import logging
import typing

from wigeonhatch import clock as clocks
from wigeonhatch import log
from wigeonhatch.requests import connection_ledger

_POLL_MS = 10
_LOG = logging.getLogger(__name__)


class Server(typing.Protocol):
    """Server of an interface."""

    def stop_accepting(self) -> None:
        """Close the listeners and the idle connections."""


async def close_connections(
    servers: collections.abc.Iterable[Server],
    ledger: connection_ledger.ConnectionLedger,
    is_idle: collections.abc.Callable[[], bool],
    end_ms: int,
    clock: clocks.Clock,
) -> None:
    """Accept no more connections and wait for the open exchanges.

    Exchanges that are still open at the end are logged one by one.

    Args:
        servers: Servers of the host.
        ledger: Connections of callers.
        is_idle: Tells whether no request and no exchange is open.
        end_ms: Time on the monotonic clock in ms at which the process exits.
        clock: Clock of the host.
    """
    for server in servers:
        server.stop_accepting()
    # Requests that have been read, but not processed yet, are refused first.
    await clock.sleep_ms(_POLL_MS)
    while not is_idle() and clock.now_ms < end_ms:
        await clock.sleep_ms(_POLL_MS)
    for exchange in ledger.open_exchanges():
        log.event(
            _LOG,
            'exchange cut',
            request_id=exchange.request_id,
            stage=exchange.stage.value,
            unsent_bytes=exchange.unsent_bytes,
        )
