"""Log lines that account for all requests of a daemon around its stop."""

from __future__ import annotations

import collections.abc
import dataclasses
import logging

from wigeonhatch import log
from wigeonhatch.requests import connection_ledger
from wigeonhatch.requests import request_counts

_LOG = logging.getLogger(__name__)


def log_account(
    message: str,
    counts: collections.abc.Iterable[request_counts.RequestCounts],
    ledger: connection_ledger.ConnectionLedger,
) -> None:
    """Log what became of the requests since the start of the process.

    Args:
        message: `stopping` at the signal, `stopped` at the end.
        counts: Counts of the requests of callers and of peers.
        ledger: Connections of both.
    """
    total = request_counts.RequestCounts()
    for item in counts:
        total.add(item)
    log.event(
        _LOG,
        message,
        **dataclasses.asdict(total),
        in_progress=total.in_progress,
        unsent_bytes=sum(
            exchange.unsent_bytes for exchange in ledger.open_exchanges()
        ),
        connections=ledger.count_by_stage(),
        missing_lines=log.count_missing_lines(),
    )
