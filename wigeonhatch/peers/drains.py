"""Drains from all sources."""

from __future__ import annotations

import collections.abc
import dataclasses

import xxhash

from wigeonhatch import clock as clocks
from wigeonhatch.config import model


@dataclasses.dataclass(frozen=True, slots=True)
class TargetDrain:
    """Statement about a target by its health responses.

    Args:
        target: Name of the target.
        count: Number of observations about the target so far.
        observer: Host that received the health response.
        draining: Whether the target asked for no new requests.
    """

    target: str
    count: int
    observer: str
    draining: bool

    @property
    def order(self) -> tuple[int, str, bool]:
        """Order by which one observation replaces another."""
        return self.count, self.observer, self.draining


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingList:
    """Part of the platform's host list that every host needs.

    Args:
        version: Version of the host list.
        names: Names that it marks as leaving.
        absent: Configured hosts that it omits.
    """

    version: int
    names: frozenset[str]
    absent: frozenset[str] = frozenset()


class DrainRegister:
    """Drains by configuration, host list and health responses.

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
        self._leaving_ms = clock.now_ms
        self._drain_by_target: dict[str, TargetDrain] = {}
        self._changed_ms_by_target: dict[str, int] = {}
        self._names: frozenset[str] = frozenset()
        self._hash = 0

    @property
    def names(self) -> frozenset[str]:
        """Draining hosts and targets, by any source."""
        return self._names

    @property
    def leaving(self) -> LeavingList:
        """Newest list of leaving names."""
        return self._leaving

    @property
    def observations(self) -> collections.abc.Collection[TargetDrain]:
        """Newest observation about each target."""
        return self._drain_by_target.values()

    @property
    def observations_hash(self) -> int:
        """Hash of all observations, equal on hosts that hold the same."""
        return self._hash

    def configure(self, versioned: model.VersionedConfig) -> bool:
        """Take the drains of a configuration.

        Statements about targets that it does not have are dropped.

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
                del self._changed_ms_by_target[target]
        return self._update()

    def offer_leaving(self, leaving: LeavingList) -> bool:
        """Take the leaving names of the host list, if it is newer.

        Returns:
            Whether the list was newer.
        """
        if leaving.version <= self._leaving.version:
            return False
        self._leaving = leaving
        self._leaving_ms = self._clock.now_ms
        self._update()
        return True

    def observe(self, target: str, draining: bool, observer: str) -> bool:
        """Take a health response.

        Returns:
            Whether it differs from what was known.
        """
        known = self._drain_by_target.get(target)
        if draining == (known is not None and known.draining):
            return False
        count = 1 if known is None else known.count + 1
        return self.merge([TargetDrain(target, count, observer, draining)])

    def merge(self, drains: collections.abc.Iterable[TargetDrain]) -> bool:
        """Take observations of other hosts.

        Returns:
            Whether any was newer.
        """
        is_newer = False
        for drain in drains:
            known = self._drain_by_target.get(drain.target)
            if known is None or drain.order > known.order:
                self._drain_by_target[drain.target] = drain
                self._changed_ms_by_target[drain.target] = self._clock.now_ms
                is_newer = True
        if is_newer:
            self._update()
        return is_newer

    def recent_observations(self, since_ms: int) -> list[TargetDrain]:
        """Return the observations that were learnt after a time."""
        return [
            self._drain_by_target[target]
            for target, changed_ms in self._changed_ms_by_target.items()
            if changed_ms >= since_ms
        ]

    def recent_leaving(self, since_ms: int) -> LeavingList | None:
        """Return the leaving names if they were learnt after a time."""
        return self._leaving if self._leaving_ms >= since_ms else None

    def _update(self) -> bool:
        before = self._names
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
        return self._names != before
