"""Drains by configuration, host list and health responses."""

from __future__ import annotations

import collections.abc
import dataclasses

import xxhash

from wigeonhatch import clock as clocks
from wigeonhatch.config import model


@dataclasses.dataclass(frozen=True, slots=True)
class TargetDrain:
    """Observation of a target's drain state from its health responses.

    Args:
        target: Name of the target.
        count: Number of observations of the target so far.
        observer: Host that received the health response.
        draining: Whether the target asked for no new requests.
    """

    target: str
    count: int
    observer: str
    draining: bool

    @property
    def order(self) -> tuple[int, str, bool]:
        """Sort key; a higher observation replaces a lower one."""
        return self.count, self.observer, self.draining


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingList:
    """Extract of the platform's host list that every host needs.

    Args:
        version: Version of the host list.
        names: Names that the list marks as leaving.
        absent: Configured hosts that the list omits.
    """

    version: int
    names: frozenset[str]
    absent: frozenset[str] = frozenset()


class DrainRegister:
    """Draining hosts and targets from all sources.

    Each source replaces only its own drains, and only by newer information:
    a higher configuration version, a higher list version, or an observation
    with a higher count.

    Args:
        clock: Clock of the host.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._config_version = 0
        self._configured: frozenset[str] = frozenset()
        self._leaving = LeavingList(0, frozenset())
        self._leaving_received_ms = clock.now_ms
        self._drain_by_target: dict[str, TargetDrain] = {}
        self._received_ms_by_target: dict[str, int] = {}
        self._names: frozenset[str] = frozenset()
        self._hash = 0

    @property
    def names(self) -> frozenset[str]:
        """Names of hosts and targets that drain by any source."""
        return self._names

    @property
    def leaving(self) -> LeavingList:
        """Newest list of leaving names."""
        return self._leaving

    @property
    def observations(self) -> collections.abc.Collection[TargetDrain]:
        """Newest observation of each target."""
        return self._drain_by_target.values()

    @property
    def observations_hash(self) -> int:
        """Hash of all observations, equal on hosts with the same ones."""
        return self._hash

    def configure(self, versioned: model.VersionedConfig) -> bool:
        """Apply the drains of a configuration.

        Observations of targets that it does not contain are deleted.

        Returns:
            Whether a drain started or ended.
        """
        if versioned.version <= self._config_version:
            return False
        self._config_version = versioned.version
        self._configured = frozenset(versioned.config.drain_by_name)
        for target in list(self._drain_by_target):
            if target not in versioned.config.target_by_name:
                del self._drain_by_target[target]
                del self._received_ms_by_target[target]
        return self._update()

    def offer_leaving(self, leaving: LeavingList) -> bool:
        """Apply the leaving names of the host list if it is newer.

        Returns:
            Whether the list was newer.
        """
        if leaving.version <= self._leaving.version:
            return False
        self._leaving = leaving
        self._leaving_received_ms = self._clock.now_ms
        self._update()
        return True

    def observe(self, target: str, draining: bool, observer: str) -> bool:
        """Record the drain state in a health response.

        Returns:
            Whether the drain state of the target changed.
        """
        current = self._drain_by_target.get(target)
        if draining == (current is not None and current.draining):
            return False
        count = 1 if current is None else current.count + 1
        return self.merge([TargetDrain(target, count, observer, draining)])

    def merge(self, drains: collections.abc.Iterable[TargetDrain]) -> bool:
        """Merge observations of other hosts.

        Returns:
            Whether any observation was newer.
        """
        is_newer = False
        for drain in drains:
            current = self._drain_by_target.get(drain.target)
            if current is None or drain.order > current.order:
                self._drain_by_target[drain.target] = drain
                self._received_ms_by_target[drain.target] = self._clock.now_ms
                is_newer = True
        if is_newer:
            self._update()
        return is_newer

    def recent_observations(self, since_ms: int) -> list[TargetDrain]:
        """Return the observations that were received since a time."""
        return [
            self._drain_by_target[target]
            for target, received_ms in self._received_ms_by_target.items()
            if received_ms >= since_ms
        ]

    def recent_leaving(self, since_ms: int) -> LeavingList | None:
        """Return the leaving names if they were received since a time."""
        return self._leaving if self._leaving_received_ms >= since_ms else None

    def _update(self) -> bool:
        previous = self._names
        observed = frozenset(
            drain.target
            for drain in self._drain_by_target.values()
            if drain.draining
        )
        self._names = self._configured | self._leaving.names | observed
        text = '\n'.join(
            f'{target}\0{drain.order}'
            for target, drain in sorted(self._drain_by_target.items())
        )
        self._hash = xxhash.xxh3_64_intdigest(text.encode()) if text else 0
        return self._names != previous
