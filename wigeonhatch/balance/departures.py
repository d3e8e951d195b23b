"""Targets that state in their responses that they leave."""

from __future__ import annotations

import collections.abc
import dataclasses
import logging

import msgspec

from wigeonhatch import clock as clocks
from wigeonhatch import log
from wigeonhatch.balance import _rotation
from wigeonhatch.targets import registry

MAX_FRESH = 6
"""Maximum departures per report that this host has just learned of."""
MAX_REPEATED = 2
"""Maximum other departures per report, which peers report as well."""
RETENTION_MS = 600_000
"""Time for which a departure is kept after its target was last listed. A store
that was away, or restored from a copy, may list the target again."""
MAX_KNOWN = 4_096
"""Departures beyond which a new one replaces that of an unlisted target."""
_FRESH_MS = 2_000
"""Time after which all hosts report a departure, since the host that received
the response may have been restarted."""
_REPEAT_MS = 60_000
"""Time for which a departure is repeated to peers that may have missed it,
and as long as the target is listed as ready."""
_LOG = logging.getLogger(__name__)


class Departure(msgspec.Struct, frozen=True, array_like=True):
    """Target that accepts no new requests, as reported to peers.

    Args:
        target: Name of the target.
        started_ms: Start of the target, ms since the Unix epoch.
        age_ms: Time since its first known response that stated it, in ms.
    """

    target: str
    started_ms: int
    age_ms: int


@dataclasses.dataclass(slots=True)
class _Known:
    """Departure that this host knows.

    Args:
        stated_ms: Time of the first response that stated it.
        is_own: Whether this host has received such a response.
        listed_ms: Time at which the target was last listed.
    """

    stated_ms: int
    is_own: bool
    listed_ms: int


class DepartureTable:
    """Incarnations of targets that leave, from responses and from peers.

    A departure is final: only a new incarnation accepts requests again.

    Args:
        on_change: Called with the incarnations that leave when they change.
        clock: Source of monotonic time.
    """

    def __init__(
        self,
        on_change: collections.abc.Callable[
            [frozenset[registry.Incarnation]], None
        ],
        clock: clocks.Clock,
    ) -> None:
        self._on_change = on_change
        self._clock = clock
        self._known_by_key: dict[registry.Incarnation, _Known] = {}
        self._ready_keys: frozenset[registry.Incarnation] = frozenset()

    def on_response(self, target: registry.TargetRecord) -> None:
        """Record a response which states that its target leaves.

        Args:
            target: The target.
        """
        known = self._known_by_key.get(target.incarnation)
        if known is None:
            self._add(target.incarnation, self._clock.now_ms, is_own=True)
        else:
            known.is_own = True

    def on_report(
        self, departures: collections.abc.Iterable[Departure]
    ) -> None:
        """Apply the departures that a peer reports.

        Args:
            departures: Departures; unknown targets may be listed later.
        """
        for item in departures:
            key = (item.target, item.started_ms)
            is_current = 0 <= item.age_ms < RETENTION_MS
            if key not in self._known_by_key and (
                is_current or key in self._ready_keys
            ):
                self._add(key, self._clock.now_ms - max(0, item.age_ms), False)

    def build_report(self) -> tuple[Departure, ...]:
        """Select the departures to report to the peers."""
        now_ms = self._clock.now_ms
        fresh: list[Departure] = []
        repeated: list[Departure] = []
        for key, known in self._known_by_key.items():
            age_ms = now_ms - known.stated_ms
            if age_ms < _FRESH_MS:
                if known.is_own:
                    fresh.append(Departure(*key, age_ms))
            elif age_ms < _REPEAT_MS or key in self._ready_keys:
                repeated.append(Departure(*key, age_ms))
        return (
            *_rotation.select(fresh, MAX_FRESH, now_ms),
            *_rotation.select(repeated, MAX_REPEATED, now_ms),
        )

    def retain(
        self, targets: collections.abc.Iterable[registry.TargetRecord]
    ) -> None:
        """Discard departures of targets that were not listed for long.

        Args:
            targets: Listed targets.
        """
        now_ms = self._clock.now_ms
        listed = {target.incarnation: target for target in targets}
        self._ready_keys = frozenset(
            key for key, target in listed.items() if not target.is_draining
        )
        expired = set()
        for key, known in self._known_by_key.items():
            if key in listed:
                known.listed_ms = now_ms
            elif not key[1] or now_ms - known.listed_ms > RETENTION_MS:
                # Without its start, a target that is listed again may be a
                # new incarnation.
                expired.add(key)
        self._discard(expired)

    def _add(
        self, key: registry.Incarnation, stated_ms: int, is_own: bool
    ) -> None:
        now_ms = self._clock.now_ms
        if len(self._known_by_key) >= MAX_KNOWN:
            unlisted = self._known_by_key.keys() - self._ready_keys
            self._discard(
                {min(unlisted, key=lambda x: self._known_by_key[x].listed_ms)}
                if unlisted
                else set()
            )
        self._known_by_key[key] = _Known(stated_ms, is_own, now_ms)
        log.event(
            _LOG,
            'target leaves',
            target=key[0],
            incarnation=key[1],
            source='response' if is_own else 'peer',
            age_ms=now_ms - stated_ms,
        )
        self._on_change(frozenset(self._known_by_key))

    def _discard(self, keys: set[registry.Incarnation]) -> None:
        if keys:
            for key in keys:
                del self._known_by_key[key]
            self._on_change(frozenset(self._known_by_key))
