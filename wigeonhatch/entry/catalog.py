"""Apply rows of the platform's store to routes and targets."""

from __future__ import annotations

import collections.abc
import logging

from wigeonhatch import clock as clocks
from wigeonhatch import decoding
from wigeonhatch import log
from wigeonhatch.entry import restore_hold
from wigeonhatch.platform import decode
from wigeonhatch.platform import names
from wigeonhatch.platform import store as stores
from wigeonhatch.routes import model
from wigeonhatch.routes import table as tables
from wigeonhatch.targets import registry

RECOVERY_GRACE_MS = 2_500
"""Grace period after a store outage in which missing targets are retained;
the platform lists live targets again within 2 s."""
MIN_OUTAGE_MS = 2_500
"""Shortest store outage that may expire target entries. An entry expires after
three missed reports of its target, which take longer."""
_LOG = logging.getLogger(__name__)

Rows = collections.abc.Sequence[stores.StoredRow]


class Catalog:
    """Routing configuration and targets as read from the store.

    Args:
        routes: Routes in force.
        targets: Listed targets.
        on_config: Called when a new configuration is in force.
        on_targets: Called when the targets have changed.
        clock: Source of monotonic time.

    Attributes:
        config_content: Row with the configuration in force; empty for none.
    """

    def __init__(
        self,
        routes: tables.RouteTable,
        targets: registry.TargetRegistry,
        on_config: collections.abc.Callable[[model.RoutingConfig], None],
        on_targets: collections.abc.Callable[[], None],
        clock: clocks.Clock,
    ) -> None:
        self.config_content = b''
        self._routes = routes
        self._targets = targets
        self._on_config = on_config
        self._on_targets = on_targets
        self._clock = clock
        self._operator_keys: set[str] = set()
        self._grace_end_ms = 0
        self._down_since_ms = 0
        self._missing_targets: set[str] = set()
        self._hold = restore_hold.RestoreHold(clock)

    def on_operator_snapshot(self, rows: Rows) -> None:
        """Replace the state of the operators' table."""
        self._operator_keys = set()
        self.on_operator_changes(rows)

    def on_operator_changes(self, rows: Rows) -> None:
        """Apply changed rows of the operators' table."""
        for row in rows:
            if row.is_deleted:
                self._operator_keys.discard(row.key)
                self._hold.on_operator_removal(row.key)
                continue
            self._operator_keys.add(row.key)
            if row.key == names.CONFIG_KEY:
                self._apply_config(row.value, row.version)
        self._apply_evacuations()
        self._on_targets()

    def on_config_of_peer(self, content: bytes) -> None:
        """Apply the configuration that a peer has in force if it is newer.

        Args:
            content: Row of the operators' table that contains it.
        """
        self._apply_config(content, None)

    def on_target_snapshot(self, rows: Rows) -> None:
        """Replace the state of the targets' table."""
        records = list(
            self._hold.filter_snapshot(
                self._decode_targets(rows), self._targets.record_by_name
            )
        )
        self._hold.on_left(record for record in records if record.is_draining)
        listed = {record.name for record in records}
        missing = self._targets.record_by_name.keys() - listed
        missing_records = [
            self._targets.record_by_name[name] for name in missing
        ]
        self._missing_targets = set(missing) if self._is_in_grace() else set()
        if self._missing_targets:
            records.extend(missing_records)
        elif not self._hold.is_active:
            self._hold.on_left(missing_records)
        self._targets.replace(records)
        self._on_targets()

    def on_target_changes(self, rows: Rows) -> None:
        """Apply changed rows of the targets' table, in order."""
        rows = list({row.key: row for row in rows}.values())
        removed = {row.key for row in rows if row.is_deleted}
        changed = [row for row in rows if not row.is_deleted]
        records = list(self._decode_targets(changed))
        self._hold.on_target_changes(records, removed)
        listed = {record.name for record in records}
        unusable = {row.key for row in changed} - listed
        removed -= listed
        self._missing_targets -= listed
        if self._is_in_grace():
            self._missing_targets |= removed
            removed = set()
        self._hold.on_left(
            self._targets.record_by_name[name]
            for name in removed & self._targets.record_by_name.keys()
        )
        self._targets.update(records, removed | unusable)
        self._on_targets()

    def on_store_recovered(self, outage_ms: int) -> None:
        """Start the grace period for missing targets after an outage.

        Args:
            outage_ms: Time for which the store did not answer in ms.
        """
        if outage_ms > MIN_OUTAGE_MS:
            self._down_since_ms = self._clock.now_ms - outage_ms
            self._grace_end_ms = self._clock.now_ms + RECOVERY_GRACE_MS

    def on_store_restored(self) -> None:
        """Keep what the store may have lost when it was restored from a copy.

        Configurations need no hold, as older ones are never applied.
        """
        self._hold.begin(self._operator_keys)
        self.extend_grace(RECOVERY_GRACE_MS)

    def on_peer_follow_time(self, followed_ms: int) -> None:
        """End the grace period if only this host had lost the store.

        Entries expire when targets cannot reach the store. If a peer followed
        the store during the whole outage, the missing targets have left.

        Args:
            followed_ms: Time in ms for which a peer has followed the store
                without a failed call.
        """
        now_ms = self._clock.now_ms
        if self._hold.is_active:
            return
        if self._is_in_grace() and now_ms - followed_ms <= self._down_since_ms:
            log.event(_LOG, 'outage was local', peer_followed_ms=followed_ms)
            self._grace_end_ms = now_ms
            self.remove_missing_targets()

    @property
    def grace_left_ms(self) -> int:
        """Rest of the grace period for missing targets in ms."""
        return max(0, self._grace_end_ms - self._clock.now_ms)

    def extend_grace(self, grace_left_ms: int) -> None:
        """Extend the grace period to that of a peer.

        Args:
            grace_left_ms: Rest of the peer's grace period in ms.
        """
        self._grace_end_ms = max(
            self._grace_end_ms, self._clock.now_ms + grace_left_ms
        )

    def expire_holds(self) -> None:
        """Give up what is kept after an outage or a restore of the store."""
        self.remove_missing_targets()
        if self._hold.has_expired:
            self._targets.update(self._hold.end(), ())
            self._apply_evacuations()
            self._on_targets()

    def remove_missing_targets(self) -> None:
        """Remove targets that are still missing after the grace period."""
        if self._missing_targets and not self._is_in_grace():
            missing, self._missing_targets = self._missing_targets, set()
            log.event(_LOG, 'missing targets removed', targets=sorted(missing))
            self._targets.update((), missing)
            self._on_targets()

    def _is_in_grace(self) -> bool:
        return self._clock.now_ms < self._grace_end_ms

    def _apply_evacuations(self) -> None:
        self._targets.set_evacuated_domains(
            decode.read_evacuated_domains(
                self._operator_keys | self._hold.operator_keys
            )
        )

    def _apply_config(self, content: bytes, row_version: int | None) -> None:
        try:
            config = decode.read_config(content)
        except decoding.DecodeError as error:
            _LOG.error(
                'configuration unusable',
                extra={
                    'event_fields': {
                        'reason': str(error),
                        'row_version': row_version,
                    }
                },
            )
            return
        previous = self._routes.config
        if self._routes.configure(config):
            self.config_content = content
            log.event(
                _LOG,
                'configuration in force',
                version=config.version,
                previous=None if previous is None else previous.version,
                row_version=row_version,
                routes=len(config.route_by_name),
                services=len(config.service_by_name),
            )
            self._targets.set_services(config.service_by_name)
            self._on_config(config)

    def _decode_targets(
        self, rows: collections.abc.Iterable[stores.StoredRow]
    ) -> collections.abc.Iterator[registry.TargetRecord]:
        for row in rows:
            try:
                yield decode.read_target(row.key, row.value)
            except decoding.DecodeError as error:
                log.event(
                    _LOG,
                    'target entry unusable',
                    target=row.key,
                    row_version=row.version,
                    reason=str(error),
                )
