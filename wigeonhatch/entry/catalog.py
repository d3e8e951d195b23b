"""What this host has learned from the platform's store."""

from __future__ import annotations

import collections.abc
import logging

from wigeonhatch import clock as clocks
from wigeonhatch import log
from wigeonhatch.platform import decode
from wigeonhatch.platform import names
from wigeonhatch.platform import store as stores
from wigeonhatch.routes import model
from wigeonhatch.routes import table as tables
from wigeonhatch.targets import registry

RECOVERY_GRACE_MS = 2_500
"""Time after an outage of the store for which missing targets are kept; the
platform lists targets that live again within 2 s."""
MIN_OUTAGE_MS = 2_500
"""Outage of the store after which entries may have lapsed; they do after
three missed reports of a target, which take longer."""
_LOG = logging.getLogger(__name__)

Rows = collections.abc.Sequence[stores.StoredRow]


class Catalog:
    """Apply rows of the store to routes and targets.

    Args:
        routes: Routes in force.
        targets: Listed targets.
        on_config: Called when another configuration is in force.
        on_targets: Called when the targets have changed.
        clock: Source of monotonic time.
    """

    def __init__(
        self,
        routes: tables.RouteTable,
        targets: registry.TargetRegistry,
        on_config: collections.abc.Callable[[model.RoutingConfig], None],
        on_targets: collections.abc.Callable[[], None],
        clock: clocks.Clock,
    ) -> None:
        self._routes = routes
        self._targets = targets
        self._on_config = on_config
        self._on_targets = on_targets
        self._clock = clock
        self._operator_keys: set[str] = set()
        self._grace_until_ms = 0
        self._lost_ms = 0
        self._missing: set[str] = set()

    def on_operator_snapshot(self, rows: Rows) -> None:
        """Take over all rows of the operators' table."""
        self._operator_keys = set()
        self.on_operator_changes(rows)

    def on_operator_changes(self, rows: Rows) -> None:
        """Take over changed rows of the operators' table."""
        for row in rows:
            if row.is_deleted:
                self._operator_keys.discard(row.key)
                continue
            self._operator_keys.add(row.key)
            if row.key == names.CONFIG_KEY:
                self._apply_config(row)
        self._targets.set_evacuated_domains(
            decode.read_evacuated_domains(self._operator_keys)
        )
        self._on_targets()

    def on_target_snapshot(self, rows: Rows) -> None:
        """Take over all rows of the targets' table."""
        records = list(self._read_targets(rows))
        listed = {record.name for record in records}
        missing = self._targets.record_by_name.keys() - listed
        if self._is_in_grace():
            kept = [self._targets.record_by_name[name] for name in missing]
            self._missing = set(missing)
            records.extend(kept)
        self._targets.replace(records)
        self._on_targets()

    def on_target_changes(self, rows: Rows) -> None:
        """Take over changed rows of the targets' table, in order."""
        rows = list({row.key: row for row in rows}.values())
        removed = {row.key for row in rows if row.is_deleted}
        changed = [row for row in rows if not row.is_deleted]
        records = list(self._read_targets(changed))
        listed = {record.name for record in records}
        unusable = {row.key for row in changed} - listed
        removed -= listed
        self._missing -= listed
        if self._is_in_grace():
            self._missing |= removed
            removed = set()
        self._targets.update(records, removed | unusable)
        self._on_targets()

    def on_store_recovered(self, outage_ms: int) -> None:
        """Start the grace for missing targets after an outage.

        Args:
            outage_ms: Time for which the store did not answer in ms.
        """
        if outage_ms > MIN_OUTAGE_MS:
            self._lost_ms = self._clock.now_ms - outage_ms
            self._grace_until_ms = self._clock.now_ms + RECOVERY_GRACE_MS

    def on_peer_follow_time(self, followed_ms: int) -> None:
        """End the grace if the store was not down but only out of reach.

        Entries lapse because targets do not reach the store. While a peer
        followed it all the time, those that are missing have left.

        Args:
            followed_ms: Time for which a peer has followed the store without
                a failed call in ms.
        """
        now_ms = self._clock.now_ms
        if self._is_in_grace() and now_ms - followed_ms <= self._lost_ms:
            log.event(_LOG, 'store was up', peer_followed_ms=followed_ms)
            self._grace_until_ms = now_ms
            self.remove_missing_targets()

    @property
    def grace_left_ms(self) -> int:
        """Time for which missing targets are kept in ms."""
        return max(0, self._grace_until_ms - self._clock.now_ms)

    def extend_grace(self, left_ms: int) -> None:
        """Keep missing targets as long as a peer does.

        Args:
            left_ms: Time for which the peer keeps them in ms.
        """
        self._grace_until_ms = max(
            self._grace_until_ms, self._clock.now_ms + left_ms
        )

    def remove_missing_targets(self) -> None:
        """Remove targets that are still missing after the grace."""
        if self._missing and not self._is_in_grace():
            missing, self._missing = self._missing, set()
            log.event(_LOG, 'targets lapsed', targets=sorted(missing))
            self._targets.update((), missing)
            self._on_targets()

    def _is_in_grace(self) -> bool:
        return self._clock.now_ms < self._grace_until_ms

    def _apply_config(self, row: stores.StoredRow) -> None:
        try:
            config = decode.read_config(row.value)
        except decode.DecodeError as error:
            _LOG.error(
                'configuration unusable',
                extra={
                    'event_fields': {
                        'reason': str(error),
                        'row_version': row.version,
                    }
                },
            )
            return
        known = self._routes.config
        if self._routes.configure(config):
            log.event(
                _LOG,
                'configuration in force',
                version=config.version,
                previous=None if known is None else known.version,
                routes=len(config.route_by_name),
                services=len(config.service_by_name),
            )
            self._targets.set_services(config.service_by_name)
            self._on_config(config)

    def _read_targets(
        self, rows: collections.abc.Iterable[stores.StoredRow]
    ) -> collections.abc.Iterator[registry.TargetRecord]:
        for row in rows:
            try:
                yield decode.read_target(row.key, row.value)
            except decode.DecodeError as error:
                log.event(
                    _LOG,
                    'target entry unusable',
                    target=row.key,
                    row_version=row.version,
                    reason=str(error),
                )
