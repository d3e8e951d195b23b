"""Registry of the targets that the platform lists, with their state."""

from __future__ import annotations

import collections.abc
import dataclasses
import logging

from wigeonhatch import clock as clocks
from wigeonhatch import log
from wigeonhatch.routes import model

Incarnation = tuple[str, int]
"""Name and start of a target; a restarted target is another incarnation."""
_LOG = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRecord:
    """Entry of one target in the platform's list.

    Args:
        name: Name of the target, unique over all services.
        service: Name of its service.
        address: `IP:PORT`.
        domain: Failure domain.
        slots: Requests that it processes concurrently.
        is_draining: Whether it accepts no new requests.
        warmup_left_ms: Remaining time of its warm-up.
        started_ms: Start of the process, ms since the Unix epoch; 0 if
            unknown. A change means a new incarnation under the same name.
    """

    name: str
    service: str
    address: str
    domain: str
    slots: int
    is_draining: bool
    warmup_left_ms: int
    started_ms: int

    @property
    def incarnation(self) -> Incarnation:
        """Name and start of the process."""
        return self.name, self.started_ms


class TargetRegistry:
    """Targets by name, and the failure domains that are evacuated.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.record_by_name: dict[str, TargetRecord] = {}
        self.evacuated_domains: frozenset[str] = frozenset()
        self.epoch = 0
        self._clock = clock
        self._cold_until_by_name: dict[str, int] = {}
        self._usable_by_service: dict[str, tuple[TargetRecord, ...]] = {}
        self._service_by_name: dict[str, model.ServiceConfig] = {}
        self._leaving: frozenset[Incarnation] = frozenset()
        self._is_loaded = False

    def set_services(
        self, service_by_name: dict[str, model.ServiceConfig]
    ) -> None:
        """Set the configuration that the targets of each service share."""
        self._service_by_name = service_by_name

    def replace(self, records: collections.abc.Iterable[TargetRecord]) -> None:
        """Replace the whole list.

        Args:
            records: All targets that the platform lists.
        """
        listed = {record.name: record for record in records}
        for name in self.record_by_name.keys() - listed.keys():
            self._remove(name)
        for record in listed.values():
            self._store(record)
        self._is_loaded = True
        self._rebuild()

    def update(
        self,
        changed: collections.abc.Iterable[TargetRecord],
        removed: collections.abc.Iterable[str],
    ) -> None:
        """Apply changes of the list.

        Args:
            changed: Targets that are new or have changed.
            removed: Names of targets that are no longer listed.
        """
        for record in changed:
            self._store(record)
        for name in removed:
            self._remove(name)
        self._rebuild()

    def set_evacuated_domains(self, domains: frozenset[str]) -> None:
        """Exclude the targets of failure domains from new requests.

        Args:
            domains: All failure domains that are evacuated now.
        """
        restored_domains = self.evacuated_domains - domains
        if domains == self.evacuated_domains:
            return
        self.evacuated_domains = domains
        for record in self.record_by_name.values():
            if record.domain in restored_domains:
                self._set_cold(record.name, self._warmup_ms(record))
        log.event(_LOG, 'evacuation', domains=sorted(domains))
        self._rebuild()

    def set_leaving(self, leaving: frozenset[Incarnation]) -> None:
        """Exclude targets that have stated that they leave.

        Args:
            leaving: All incarnations that have stated it.
        """
        if leaving != self._leaving:
            self._leaving = leaving
            self._rebuild()

    def is_leaving(self, record: TargetRecord) -> bool:
        """Tell whether a target has stated that it leaves.

        Args:
            record: Entry of the target.
        """
        return record.incarnation in self._leaving

    def usable(self, service: str) -> tuple[TargetRecord, ...]:
        """Targets of a service that may receive new requests.

        Args:
            service: Name of the service.
        """
        return self._usable_by_service.get(service, ())

    def group_by_distance(
        self, domain: str, region_by_domain: dict[str, str]
    ) -> tuple[list[str], list[str], list[str]]:
        """Group the targets that do not drain by their distance.

        Args:
            domain: Failure domain from which the distance counts.
            region_by_domain: Region of each failure domain.

        Returns:
            Names of the targets in the domain, of the others in its region,
            and of those elsewhere.
        """
        region = region_by_domain.get(domain, domain)
        in_domain: list[str] = []
        in_region: list[str] = []
        elsewhere: list[str] = []
        for record in self.record_by_name.values():
            if not self._is_accepting(record):
                continue
            if record.domain == domain:
                in_domain.append(record.name)
            elif region_by_domain.get(record.domain) == region:
                in_region.append(record.name)
            else:
                elsewhere.append(record.name)
        return in_domain, in_region, elsewhere

    def is_usable(self, record: TargetRecord) -> bool:
        """Tell whether this incarnation of a target may get new requests."""
        current = self.record_by_name.get(record.name)
        return (
            current is not None
            and current.started_ms == record.started_ms
            and self._is_accepting(current)
            and current.domain not in self.evacuated_domains
        )

    def is_cold(self, name: str) -> bool:
        """Tell whether a target tolerates only a low rate of requests.

        Args:
            name: Name of the target.
        """
        until_ms = self._cold_until_by_name.get(name)
        if until_ms is None:
            return False
        if self._clock.now_ms < until_ms:
            return True
        del self._cold_until_by_name[name]
        return False

    def on_warmup_report(self, name: str, remaining_ms: int) -> None:
        """Apply the remaining warm-up time that a target reports.

        Args:
            name: Name of the target.
            remaining_ms: Time for which it stays cold.
        """
        if remaining_ms > 0 and name in self.record_by_name:
            self._set_cold(name, remaining_ms)

    def _store(self, record: TargetRecord) -> None:
        previous = self.record_by_name.get(record.name)
        if previous == record:
            return
        self.record_by_name[record.name] = record
        is_new = previous is None or previous.started_ms != record.started_ms
        if record.warmup_left_ms > 0:
            self._set_cold(record.name, record.warmup_left_ms)
        elif is_new and self._is_loaded:
            # Its warm-up report may not have arrived yet.
            self._set_cold(record.name, self._warmup_ms(record))
        log.event(
            _LOG,
            'target changed',
            target=record.name,
            service=record.service,
            draining=record.is_draining,
            incarnation=record.started_ms,
        )

    def _remove(self, name: str) -> None:
        if self.record_by_name.pop(name, None) is not None:
            self._cold_until_by_name.pop(name, None)
            log.event(_LOG, 'target removed', target=name)

    def _is_accepting(self, record: TargetRecord) -> bool:
        """Tell whether neither its entry nor a response ends its service."""
        return not record.is_draining and not self.is_leaving(record)

    def _set_cold(self, name: str, remaining_ms: int) -> None:
        until_ms = self._clock.now_ms + remaining_ms
        self._cold_until_by_name[name] = max(
            until_ms, self._cold_until_by_name.get(name, 0)
        )

    def _warmup_ms(self, record: TargetRecord) -> int:
        config = self._service_by_name.get(record.service)
        return 0 if config is None else config.warmup_ms

    def _rebuild(self) -> None:
        by_service: dict[str, list[TargetRecord]] = {}
        for record in self.record_by_name.values():
            if (
                self._is_accepting(record)
                and record.domain not in self.evacuated_domains
            ):
                by_service.setdefault(record.service, []).append(record)
        self._usable_by_service = {
            service: tuple(records) for service, records in by_service.items()
        }
        self.epoch += 1
