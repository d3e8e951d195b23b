"""What targets state of themselves in their responses."""

from __future__ import annotations

import collections.abc
import dataclasses
import logging

from wigeonhatch import clock as clocks
from wigeonhatch import log
from wigeonhatch.balance import departures
from wigeonhatch.balance import pauses
from wigeonhatch.balance import rate_limits
from wigeonhatch.platform import messages
from wigeonhatch.targets import registry

MAX_STATEMENTS = 20
"""Maximum statements per report, so that it fits into one packet."""
_LOG = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class StatementReport:
    """Statements of targets that a host tells its peers.

    Args:
        rate_limits: Rate limits.
        departures: Targets that leave.
    """

    rate_limits: tuple[rate_limits.RateStatement, ...]
    departures: tuple[departures.Departure, ...]


class StatementTable:
    """Rate limits, departures and pauses of targets.

    Each statement ends with the incarnation of its target. Rate limits and
    departures concern all hosts and are told to the peers.

    Args:
        targets: Listed targets; those that leave get no new requests.
        clock: Source of monotonic time.
    """

    def __init__(
        self, targets: registry.TargetRegistry, clock: clocks.Clock
    ) -> None:
        self.rate_limits = rate_limits.RateLimitTable(clock)
        self.departures = departures.DepartureTable(targets.set_leaving, clock)
        self.pauses = pauses.PauseTable(clock)

    def on_response(
        self,
        target: registry.TargetRecord,
        request_id: bytes,
        fields: messages.TargetFields,
    ) -> None:
        """Apply what a response states.

        Args:
            target: Target that sent it.
            request_id: ID of the request that was sent.
            fields: Header fields of the response.
        """
        is_own = fields.is_signed and fields.request_id == request_id
        if is_own or fields.max_rate_per_s is not None:
            self.rate_limits.on_response(target, fields.max_rate_per_s)
        if fields.is_leaving:
            self.departures.on_response(target)
        if fields.pause_ms:
            self.pauses.on_response(target, fields.pause_ms)
        if fields.unusable:
            log.event(
                _LOG,
                'target field unusable',
                target=target.name,
                incarnation=target.started_ms,
                field=fields.unusable,
            )

    def on_report(self, report: StatementReport) -> None:
        """Apply the statements that a peer reports.

        Args:
            report: Report of the peer.
        """
        self.rate_limits.on_report(report.rate_limits)
        self.departures.on_report(report.departures)

    def build_report(self) -> StatementReport:
        """Select the statements to report to the peers."""
        leaving = self.departures.build_report()
        return StatementReport(
            self.rate_limits.build_report(MAX_STATEMENTS - len(leaving)),
            leaving,
        )

    def retain(
        self, targets: collections.abc.Collection[registry.TargetRecord]
    ) -> None:
        """Discard what is known of targets that are no longer listed.

        Args:
            targets: Listed targets.
        """
        self.rate_limits.retain(targets)
        self.departures.retain(targets)
        self.pauses.retain(targets)
