"""Graceful stop of an edge daemon."""

from __future__ import annotations

import collections.abc
import typing

import anyio

from wigeonhatch import clock as clocks
from wigeonhatch import supervision
from wigeonhatch.entry import connection_close
from wigeonhatch.requests import connection_ledger

EXIT_MARGIN_MS = 400
"""Time before the forced termination at which the process exits itself."""
RESPONSE_MARGIN_MS = 100
"""Time to answer a request that has reached its timeout."""
_POLL_MS = 50


class Application(typing.Protocol):
    """Application whose requests are finished.

    It refuses requests that may last beyond `end_ms`.
    """

    end_ms: int | None

    @property
    def in_progress(self) -> int:
        """Number of requests that have not been answered."""


async def stop_gracefully(
    applications: collections.abc.Sequence[Application],
    servers: collections.abc.Sequence[connection_close.Server],
    ledger: connection_ledger.ConnectionLedger,
    leave: collections.abc.Callable[[], collections.abc.Awaitable[None]],
    ttl_ms: int,
    grace_ms: int,
    clock: clocks.Clock,
) -> None:
    """Withdraw from the lookups and finish the exchanges in progress.

    Callers with an earlier lookup result are served until its TTL has expired
    and the host is idle. A request is accepted only if it ends before the
    process exits, even if it takes until its timeout; others are refused as
    not run, so that another host can serve them.

    Args:
        applications: Applications that receive requests.
        servers: Servers of the host.
        ledger: Connections of the applications.
        leave: Withdraws the host from the lookups.
        ttl_ms: TTL of a lookup result in ms.
        grace_ms: Time until the forced termination in ms.
        clock: Clock of the host.
    """
    started_ms = clock.now_ms
    end_ms = started_ms + grace_ms - EXIT_MARGIN_MS
    for application in applications:
        application.end_ms = end_ms - RESPONSE_MARGIN_MS

    def is_idle() -> bool:
        is_running = any(item.in_progress for item in applications)
        return not is_running and not ledger.open_exchanges()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(supervision.run_step, 'deregistration', leave)
        while clock.now_ms < end_ms:
            is_expired = clock.now_ms - started_ms > ttl_ms
            if is_expired and is_idle():
                break
            await clock.sleep_ms(_POLL_MS)
        tasks.cancel_scope.cancel()
    for application in applications:
        application.end_ms = started_ms
    await connection_close.close_connections(
        servers, ledger, is_idle, end_ms, clock
    )
